//! Start of the runtime.

use std::io;

use monoio::{LegacyDriver, RuntimeBuilder, time::TimeDriver};

/// Runtime of one thread with timers.
pub type Runtime = monoio::Runtime<TimeDriver<LegacyDriver>>;

/// Opens a runtime on epoll. The default driver uses `io_uring`, which is not available to the daemons.
pub fn open() -> io::Result<Runtime> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}
