//! Daemon of the balancer.

use std::{convert::Infallible, process::ExitCode};

use dogwoodpitch::{balancer, daemon::Program, protocol::settings::Balancer};

fn main() -> ExitCode {
    let program = Program {
        name: env!("CARGO_PKG_NAME"),
        version: env!("CARGO_PKG_VERSION"),
        description: "Forwards packets between the fabric and the agents",
    };
    program.run(
        |settings: &Balancer| &settings.node,
        |_| Ok::<_, Infallible>(()),
        balancer::run,
    )
}
