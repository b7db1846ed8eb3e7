//! The project's own programs, as the platform runs them: with rendered settings, and started again when they end.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::json;

use crate::{ports, record::Record};

/// Command of both roles in `deploy/system.toml`.
const RUN: &str = "target/release/dogwoodpitch-platform";
/// Pause before a process that has ended is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct Program {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    state: Arc<Mutex<State>>,
}

struct State {
    child: Option<Child>,
    started_at: Instant,
    starts: u32,
    restart_at: Option<Instant>,
    closed: bool,
}

/// Settings of one node that differ between nodes.
pub struct Site {
    pub ip: Ipv4Addr,
    pub zone: u8,
    /// Service of the host beside an agent; `None` for a balancer.
    pub service: Option<String>,
    pub store: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
    pub beat_ms: u64,
}

impl Program {
    /// Starts a program with settings as `deploy/settings.json` renders them.
    pub fn spawn(site: &Site, directory: &Path, record: &Record) -> Self {
        let ip = site.ip;
        let backend = site.service.as_ref().map(|service| {
            json!({
                "service": service, "address": format!("{ip}:{}", ports::APP),
                "outbound": format!("{ip}:{}", ports::OUTBOUND), "heartbeats": format!("{ip}:{}", ports::CONTROL),
                "heartbeat_interval_ms": site.beat_ms,
            })
        });
        let seeds: Vec<_> = site
            .seeds
            .iter()
            .map(|seed| format!("{seed}:{}", ports::CONTROL))
            .collect();
        let values = json!({
            "name": format!("{}-{ip}", if backend.is_some() { "side" } else { "front" }), "ip": ip,
            "data_centre": format!("z{}", site.zone), "port": ports::INTERNAL, "packets": format!("{ip}:{}", ports::PACKETS),
            "ready": format!("{ip}:{}", ports::READY), "store": site.store, "seeds": seeds,
            "memory_mb": if backend.is_some() { 128 } else { 260 }, "stop_timeout_s": 6, "backend": backend,
        });
        let program = Self {
            ip,
            settings: directory.join(format!("{ip}.json")),
            state: Arc::new(Mutex::new(State {
                child: None,
                started_at: Instant::now(),
                starts: 0,
                restart_at: Some(Instant::now()),
                closed: false,
            })),
        };
        fs::write(&program.settings, values.to_string()).unwrap();
        let supervised = program.clone();
        let (log, record) = (directory.join(format!("{ip}.log")), record.clone());
        thread::spawn(move || supervised.supervise(&log, &record));
        program
    }

    fn supervise(&self, log: &Path, record: &Record) {
        let log = File::options().create(true).append(true).open(log).unwrap();
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = self.state.lock().unwrap();
            if state.closed {
                return;
            }
            let ended = state.child.as_mut().and_then(|child| child.try_wait().unwrap());
            if let Some(status) = ended {
                record.note(&format!("process of {} has ended: {status}", self.ip));
                state.child = None;
                state.restart_at = Some(Instant::now() + RESTART_DELAY);
            }
            if state.restart_at.is_some_and(|at| Instant::now() >= at) {
                state.restart_at = None;
                state.child = Some(self.start(&log));
                state.started_at = Instant::now();
                state.starts += 1;
                record.note(&format!("process of {} started", self.ip));
            }
        }
    }

    fn start(&self, log: &File) -> Child {
        let mut command = Command::new(RUN);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // SAFETY: the closure makes one system call, and allocates nothing.
        unsafe {
            command.pre_exec(|| Ok(nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?));
        }
        command
            .env("DOGWOODPITCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log.try_clone().unwrap())
            .spawn()
            .unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.state.lock().unwrap().child {
            let _ = kill(Pid::from_raw(i32::try_from(child.id()).unwrap()), signal);
        }
    }

    pub fn running_for(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        state.child.as_ref().map(|_| state.started_at.elapsed())
    }

    pub fn starts(&self) -> u32 {
        self.state.lock().unwrap().starts
    }

    /// Ends the process for good.
    pub fn close(&self) {
        let mut state = self.state.lock().unwrap();
        state.closed = true;
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
