//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Self { start: Instant::now(), out: Arc::new(Mutex::new(out)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.out.lock().unwrap(), "{at:8.3} {}", text.as_ref());
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
