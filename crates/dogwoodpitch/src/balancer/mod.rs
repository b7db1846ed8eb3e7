//! Balancer: forwards packets between the fabric and the agents without state per flow.

use std::io;

use crate::protocol::settings;

/// Runs a balancer until SIGTERM and the end of its graceful stop.
pub async fn run(settings: settings::Balancer) -> io::Result<()> {
    let _ = settings;
    Ok(())
}
