//! Command line and start of the daemons.

use std::{ffi::OsString, fmt::Display, future::Future, io, path::PathBuf, process::ExitCode};

use pico_args::Arguments;
use serde::de::DeserializeOwned;

use crate::{
    protocol::settings::{self, Check, Node},
    transport::{self, runtime},
};

/// Exit code of a wrong command line.
const USAGE: u8 = 2;
/// Exit code of settings that cannot be used, and of a daemon that fails.
const FAILED: u8 = 1;

/// What the command line prints of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version of its package.
    pub version: &'static str,
    /// One line on what it does.
    pub purpose: &'static str,
}

impl Program {
    /// Reads the command line and the settings, and runs the daemon until it ends. `check` judges what the settings'
    /// own checks cannot.
    pub fn run<S, E, F>(
        self,
        node: impl Fn(&S) -> &Node,
        check: impl Fn(&S) -> Result<(), E>,
        run: impl FnOnce(S) -> F,
    ) -> ExitCode
    where
        S: DeserializeOwned + Check,
        E: Display,
        F: Future<Output = io::Result<()>>,
    {
        let mut args = Arguments::from_env();
        if args.contains("--help") {
            self.print_help();
            return ExitCode::SUCCESS;
        }
        if args.contains("--version") {
            println!("{} {}", self.name, self.version);
            return ExitCode::SUCCESS;
        }
        let check_only = args.contains("--check");
        let path = args.value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)));
        let rest = args.finish();
        let path = match path {
            Ok(path) if rest.is_empty() => path,
            Ok(_) => return self.fail(USAGE, format!("unexpected arguments {}; see --help", join(&rest))),
            Err(error) => return self.fail(USAGE, format!("{error}; see --help")),
        };
        let settings: S = match settings::load(&path) {
            Ok(settings) => settings,
            Err(error) => return self.fail(FAILED, error),
        };
        if let Err(error) = check(&settings) {
            return self.fail(FAILED, error);
        }
        if check_only {
            return ExitCode::SUCCESS;
        }
        let started = start(node(&settings)).and_then(|mut runtime| runtime.block_on(run(settings)));
        match started {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => self.fail(FAILED, error),
        }
    }

    fn print_help(self) {
        let Self { name, purpose, .. } = self;
        println!(
            "{purpose}

Usage: {name} --settings FILE [--check]

Options:
  --settings FILE   settings in JSON
  --check           checks the settings and exits
  --help            prints this text
  --version         prints the version

SIGTERM stops the daemon gracefully."
        );
    }

    fn fail(self, code: u8, text: impl Display) -> ExitCode {
        eprintln!("{}: {text}", self.name);
        ExitCode::from(code)
    }
}

/// Starts logging and the runtime.
fn start(node: &Node) -> io::Result<runtime::Runtime> {
    let level = node.log.parse().map_err(io::Error::other)?;
    transport::log::init(&node.name, level).map_err(io::Error::other)?;
    runtime::open()
}

fn join(args: &[OsString]) -> String {
    let args: Vec<_> = args.iter().map(|arg| arg.to_string_lossy()).collect();
    args.join(" ")
}
