//! Daemon of the balancer.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use dogwoodpitch::{
    balancer,
    protocol::settings::{self, Balancer},
    transport,
};
use monoio::{LegacyDriver, RuntimeBuilder};
use pico_args::Arguments;

const HELP: &str = "\
Forwards packets between the fabric and the agents

Usage: dogwoodpitch-balancer --settings FILE [--check]

Options:
  --settings FILE   settings in JSON
  --check           checks the settings and exits
  --help            prints this text
  --version         prints the version

SIGTERM stops the balancer gracefully.
";

/// Exit code of a wrong command line.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("dogwoodpitch-balancer {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check = args.contains("--check");
    let path = args.value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)));
    let rest = args.finish();
    let path = match path {
        Ok(path) if rest.is_empty() => path,
        Ok(_) => return fail(USAGE, &format!("unexpected arguments {}; see --help", join(&rest))),
        Err(error) => return fail(USAGE, &format!("{error}; see --help")),
    };
    let settings: Balancer = match settings::open(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(1, &error.to_string()),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => fail(1, &text),
    }
}

fn start(settings: Balancer) -> Result<(), String> {
    let level = settings
        .node
        .log
        .parse()
        .map_err(|_unknown| "field `node.log`: unknown level".to_owned())?;
    transport::log::open(&settings.node.name, level).map_err(|error| error.to_string())?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| error.to_string())?;
    runtime
        .block_on(balancer::run(settings))
        .map_err(|error| error.to_string())
}

fn join(args: &[OsString]) -> String {
    let args: Vec<_> = args.iter().map(|arg| arg.to_string_lossy()).collect();
    args.join(" ")
}

fn fail(code: u8, text: &str) -> ExitCode {
    eprintln!("dogwoodpitch-balancer: {text}");
    ExitCode::from(code)
}
