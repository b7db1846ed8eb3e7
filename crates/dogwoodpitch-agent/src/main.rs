//! Daemon of the agent.

use std::process::ExitCode;

use dogwoodpitch::{agent, daemon::Program, protocol::settings::Agent};

fn main() -> ExitCode {
    let program = Program {
        name: env!("CARGO_PKG_NAME"),
        version: env!("CARGO_PKG_VERSION"),
        description: "Ends the callers' flows beside a backend server and runs their requests",
    };
    program.run(|settings: &Agent| &settings.node, agent::check, agent::run)
}
