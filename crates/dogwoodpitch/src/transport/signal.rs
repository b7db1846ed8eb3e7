//! Signal handling.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Interval for polling the flag that the signal handler sets.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Termination request by SIGTERM or SIGINT.
#[derive(Debug, Clone)]
pub struct Termination(Arc<AtomicBool>);

impl Termination {
    /// Installs the signal handlers.
    pub fn open() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&flag))?;
        }
        Ok(Self(flag))
    }

    /// Whether termination was requested.
    pub fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Requests termination, as a signal does.
    pub fn request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Waits until termination is requested.
    pub async fn requested(&self) {
        while !self.is_requested() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Request to reload the settings, by SIGHUP.
#[derive(Debug, Clone)]
pub struct Reload(Arc<AtomicBool>);

impl Reload {
    /// Installs the signal handler.
    pub fn open() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, Arc::clone(&flag))?;
        Ok(Self(flag))
    }

    /// Whether a reload was requested since the last call.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}
