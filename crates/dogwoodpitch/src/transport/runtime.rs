//! The async runtime of the daemons.

use std::io;

use monoio::{LegacyDriver, RuntimeBuilder, time::TimeDriver};

/// Single-threaded runtime with timers.
pub type Runtime = monoio::Runtime<TimeDriver<LegacyDriver>>;

/// Opens a runtime on epoll, because `io_uring`, used by the default driver, is not available to the daemons.
pub fn open() -> io::Result<Runtime> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}
