//! Processes of the project, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use serde_json::{Value, json};

use crate::{Net, record::Record};

/// Program of both roles in deploy/system.toml.
pub const PROGRAM: &str = "target/release/dogwoodpitch-platform";
/// Time between the end of a process and its start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `beat_ms` of the settings.
pub const BEAT_MS: u64 = 1_200;

struct Inner {
    child: Option<Child>,
    keep: bool,
    expected: bool,
    /// How long the machine stays without power after the next end of the process.
    dark: Duration,
    /// Number of times that the process ended by itself.
    own_ends: u32,
}

pub struct Program {
    pub ip: Ipv4Addr,
    pub settings: PathBuf,
    log: PathBuf,
    inner: Arc<Mutex<Inner>>,
    record: Record,
}

/// Settings as deploy/settings.json renders them.
pub fn settings(net: Net, name: &str, ip: Ipv4Addr, zone: &str, store: SocketAddrV4, seeds: &[Ipv4Addr], service: Option<&str>) -> Value {
    let at = |port: u16| SocketAddrV4::new(ip, port).to_string();
    let seeds: Vec<_> = seeds.iter().map(|seed| SocketAddrV4::new(*seed, net.control).to_string()).collect();
    let backend = service.map(|service| {
        json!({
            "service": service, "address": at(net.app), "outbound": at(net.outbound), "heartbeats": at(net.control),
            "heartbeat_interval_ms": BEAT_MS,
        })
    });
    json!({
        "name": name, "ip": ip, "data_centre": zone, "port": net.frames, "packets": at(net.packets), "ready": at(net.ready),
        "store": store, "seeds": seeds, "memory_mb": if service.is_some() { 128 } else { 260 }, "stop_timeout_s": 6,
        "backend": backend,
    })
}

impl Program {
    pub fn start(folder: &Path, settings: &Value, record: &Record) -> std::io::Result<Self> {
        let name = settings["name"].as_str().unwrap_or_default().to_owned();
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let program = Self {
            ip: settings["ip"].as_str().and_then(|ip| ip.parse().ok()).unwrap_or(Ipv4Addr::LOCALHOST),
            settings: path,
            log: folder.join(format!("{name}.log")),
            inner: Arc::new(Mutex::new(Inner { child: None, keep: true, expected: false, dark: Duration::ZERO, own_ends: 0 })),
            record: record.clone(),
        };
        program.inner.lock().unwrap().child = Some(spawn(&program.settings, &program.log)?);
        record.line(format!("platform: {name} at {} started", program.ip));
        let (inner, settings, log, record) = (Arc::clone(&program.inner), program.settings.clone(), program.log.clone(), record.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = inner.lock().unwrap();
                if !state.keep {
                    return;
                }
                let Some(child) = &mut state.child else { continue };
                let Ok(Some(status)) = child.try_wait() else { continue };
                let cause = if state.expected { "" } else { " by itself" };
                record.line(format!("platform: process of {name} ended{cause}: {status}"));
                state.child = None;
                state.own_ends += u32::from(!state.expected);
                state.expected = false;
                let pause = RESTART_DELAY.max(std::mem::take(&mut state.dark));
                drop(state);
                thread::sleep(pause);
                let mut state = inner.lock().unwrap();
                if state.keep {
                    state.child = spawn(&settings, &log).ok();
                    record.line(format!("platform: process of {name} started again"));
                }
            }
        });
        Ok(program)
    }

    /// The machine loses power for a time.
    pub fn power_off(&self, time: Duration) {
        self.inner.lock().unwrap().dark = time;
        self.signal(Signal::SIGKILL);
    }

    /// Number of times that the process ended by itself.
    pub fn own_ends(&self) -> u32 {
        self.inner.lock().unwrap().own_ends
    }

    pub fn signal(&self, signal: Signal) {
        let mut state = self.inner.lock().unwrap();
        state.expected |= matches!(signal, Signal::SIGKILL | Signal::SIGTERM);
        if let Some(child) = &state.child {
            let _ = signal::kill(Pid::from_raw(child.id().cast_signed()), signal);
            self.record.detail(|| format!("platform: {signal} to the process at {}", self.ip));
        }
    }

    /// Lines of the process's log with a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("DOGWOODPITCH_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Drop for Program {
    fn drop(&mut self) {
        let mut state = self.inner.lock().unwrap();
        state.keep = false;
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
