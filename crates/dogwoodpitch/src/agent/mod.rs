//! Agent: ends the callers' flows beside a backend server and runs their requests.

use std::io;

use crate::protocol::settings;

/// Runs an agent until SIGTERM and the end of its graceful stop.
pub async fn run(settings: settings::Agent) -> io::Result<()> {
    let _ = settings;
    Ok(())
}
