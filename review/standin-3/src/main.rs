//! Plays a scenario of the review: starts the programs of the deploy file on loopback addresses beside stand-ins for the
//! platform's store and routers, backend servers and clients, and checks what clients and backend servers see.
//!
//! `review-standin-3 SCENARIO FOLDER` writes `FOLDER/record.txt`. With `TROUBLE=0` it leaves out the disruption. It exits with 1 if
//! a rule was broken, 0 if it held, and 2 if the scenario could not run.

mod backend;
mod client;
mod net;
mod packet;
mod program;
mod scenario;
mod store;

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, and which rules were broken.
#[derive(Debug, Clone)]
pub struct Record(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    start: Instant,
    file: Mutex<File>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            broken: Mutex::default(),
        })))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.file.lock().unwrap(), "{:9.3} s  {text}", self.now());
    }

    /// Writes a line on a broken rule.
    pub fn broken(&self, text: &str) {
        self.line(&format!("BROKEN {text}"));
        self.0.broken.lock().unwrap().push(text.to_owned());
    }
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("expected SCENARIO FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = match Record::open(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let result = scenario::play(name, !trouble, &record);
    let broken = record.0.broken.lock().unwrap().clone();
    let code = match result {
        Err(error) => {
            record.line(&format!("cannot run: {error}"));
            eprintln!("cannot run: {error}");
            2
        }
        Ok(()) if broken.is_empty() => 0,
        Ok(()) => 1,
    };
    record.line(&format!("{} broken; exit {code}", broken.len()));
    println!("{name}: {} broken; exit {code}", broken.len());
    std::process::exit(code);
}
