//! Stand-ins for the outside systems, and the load tool.

mod backend;
mod cluster;
mod demo;
mod fabric;
mod forward;
mod gateway;
mod measure;
mod slopes;
mod store;

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
Stand-ins for the outside systems of dogwoodpitch, and its load tool

Usage: dogwoodpitch-lab COMMAND [OPTIONS]

Commands:
  store     stand-in for the platform's key-value store (etcd v3 JSON gateway, a subset)
  fabric    stand-in for the fabric that sprays packets over the balancers
  backend   stand-in for a backend server
  demo      runs the whole path on loopback and checks it
  measure   runs one scenario under load and faults, and prints its figures
  forward   measures the data path of the balancer
  slopes    measures how state, processor time and traffic grow

Options:
  --help      prints this text, or the options of a command
  --version   prints the version
";

/// Result of a command; an error text goes to standard error and gives a non-zero exit code.
type Outcome = Result<(), String>;

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let command = args.subcommand();
    let outcome = match command {
        Ok(Some(command)) => match command.as_str() {
            "store" => store::run(args),
            "fabric" => fabric::run(args),
            "backend" => backend::run(args),
            "demo" => demo::run(args),
            "measure" => measure::run(args),
            "forward" => forward::run(args),
            "slopes" => slopes::run(args),
            other => Err(format!("unknown command {other:?}; see --help")),
        },
        Ok(None) if args.contains("--version") => {
            println!("dogwoodpitch-lab {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(None) => {
            print!("{HELP}");
            Ok(())
        }
        Err(error) => Err(error.to_string()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("dogwoodpitch-lab: {text}");
            ExitCode::FAILURE
        }
    }
}
