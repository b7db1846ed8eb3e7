//! Daemon of the agent.

use std::{path::PathBuf, process::ExitCode};

use dogwoodpitch::{
    agent,
    protocol::settings::{self, Agent},
    transport::log as output,
};
use monoio::{LegacyDriver, RuntimeBuilder};
use pico_args::Arguments;

const HELP: &str = "\
Agent of dogwoodpitch: ends callers' flows beside a backend server and runs their requests

Usage: dogwoodpitch-agent --settings FILE [--check]

Options:
  --settings FILE   settings in JSON
  --check           checks the settings and exits
  --help            prints this text
  --version         prints the version

SIGTERM stops the agent gracefully.
";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("dogwoodpitch-agent: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut args: Arguments) -> Result<(), String> {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("dogwoodpitch-agent {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let check = args.contains("--check");
    let path: PathBuf = args.value_from_str("--settings").map_err(|error| error.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help"));
    }
    let settings: Agent = settings::open(&path).map_err(|error| error.to_string())?;
    agent::check(&settings).map_err(|error| error.to_string())?;
    if check {
        return Ok(());
    }
    let level = settings
        .node
        .log
        .parse()
        .map_err(|_invalid| "unknown log level".to_owned())?;
    output::open(&settings.node.name, level).map_err(|error| error.to_string())?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| error.to_string())?;
    runtime
        .block_on(agent::run(settings))
        .map_err(|error| error.to_string())
}
