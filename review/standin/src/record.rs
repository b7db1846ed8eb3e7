//! Record of a run: what was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    /// Writes one line. Returns its time.
    pub fn note(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.0.file.lock().unwrap();
        writeln!(file, "{now:9.3} {text}").unwrap();
        now
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) -> f64 {
        println!("{:9.3} {text}", self.now());
        let now = self.note(text);
        self.0.file.lock().unwrap().flush().unwrap();
        now
    }
}
