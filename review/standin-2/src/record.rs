//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
    is_brief: Arc<AtomicBool>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Self { start: Instant::now(), out: Arc::new(Mutex::new(out)), is_brief: Arc::default() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.out.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// Leaves the lines of single requests out from now on.
    pub fn be_brief(&self) {
        self.is_brief.store(true, Ordering::Relaxed);
    }

    /// Writes a line about a single request or signal.
    pub fn detail(&self, text: impl FnOnce() -> String) {
        if !self.is_brief.load(Ordering::Relaxed) {
            self.line(text());
        }
    }

    /// Writes a line that is also shown on the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        self.line(text);
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
