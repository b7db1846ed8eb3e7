//! Command line and startup of the daemons.

use std::{ffi::OsString, fmt::Display, future::Future, io, path::PathBuf, process::ExitCode};

use pico_args::Arguments;
use serde::de::DeserializeOwned;

use crate::{
    protocol::settings::{self, Check, Node},
    transport::{self, runtime},
};

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings and for a daemon that fails.
const EXIT_FAILURE: u8 = 1;

/// Texts that the command line prints about a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Binary name.
    pub name: &'static str,
    /// Package version.
    pub version: &'static str,
    /// One-line description.
    pub description: &'static str,
}

impl Program {
    /// Parses the command line, loads the settings and runs the daemon until it ends. `check` does the checks that
    /// [`Check`] cannot do.
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
        let path_arg = args.value_from_os_str("--settings", |text| Ok::<_, String>(PathBuf::from(text)));
        let rest = args.finish();
        let path = match path_arg {
            Ok(path) if rest.is_empty() => path,
            Ok(_) => return self.fail(EXIT_USAGE, format!("unexpected arguments {}; see --help", join(&rest))),
            Err(error) => return self.fail(EXIT_USAGE, format!("{error}; see --help")),
        };
        let settings: S = match settings::load(&path) {
            Ok(settings) => settings,
            Err(error) => return self.fail(EXIT_FAILURE, error),
        };
        if let Err(error) = check(&settings) {
            return self.fail(EXIT_FAILURE, error);
        }
        if check_only {
            return ExitCode::SUCCESS;
        }
        let result = init(node(&settings)).and_then(|mut runtime| runtime.block_on(run(settings)));
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => self.fail(EXIT_FAILURE, error),
        }
    }

    fn print_help(self) {
        let Self { name, description, .. } = self;
        println!(
            "{description}

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

/// Initializes the log and opens the runtime.
fn init(node: &Node) -> io::Result<runtime::Runtime> {
    let level = node.log.parse().map_err(io::Error::other)?;
    transport::log::init(&node.name, level).map_err(io::Error::other)?;
    runtime::open()
}

fn join(args: &[OsString]) -> String {
    let args: Vec<_> = args.iter().map(|arg| arg.to_string_lossy()).collect();
    args.join(" ")
}
