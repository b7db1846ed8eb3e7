//! Processes of the system under test.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Record,
    net::{Net, ZONE},
};

/// Command of both roles in `deploy/system.toml`.
const COMMAND: &str = "target/release/dogwoodpitch-platform";
/// Interval of the heartbeats, as in the settings of `nhsc-edge`.
pub const BEAT_MS: u64 = 1_200;
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub struct Program {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

impl Program {
    /// Starts a balancer, or an agent for a backend server of a service. The settings are those that `deploy/settings.json` renders.
    pub fn spawn(
        net: &Net,
        ip: Ipv4Addr,
        service: Option<&str>,
        store: SocketAddr,
        seeds: &[String],
        folder: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        let name = format!("{}-{}", if service.is_some() { "side" } else { "front" }, ip.octets()[3]);
        let backend = service.map(|service| {
            json!({
                "service": service, "address": format!("{ip}:{}", net.app()),
                "outbound": format!("{ip}:{}", net.outbound()), "heartbeats": format!("{ip}:{}", net.control()),
                "heartbeat_interval_ms": BEAT_MS,
            })
        });
        let settings = json!({
            "name": name, "ip": ip, "data_centre": ZONE, "port": net.frames(),
            "packets": format!("{ip}:{}", net.packets()), "ready": format!("{ip}:{}", net.ready()), "store": store,
            "seeds": seeds, "memory_mb": if service.is_some() { 128 } else { 260 }, "stop_timeout_s": 6, "backend": backend,
        });
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = start(&path, &log)?;
        record.line(&format!("{name} starts at {ip}, process {}", child.id()));
        Ok(Self {
            name,
            settings: path,
            log,
            child,
            record: record.clone(),
        })
    }

    pub fn signal(&self, signal: libc::c_int) {
        self.record.line(&format!("signal {signal} to {}", self.name));
        // SAFETY: sends a signal to a process that this one has started and not waited for.
        unsafe { libc::kill(self.child.id().cast_signed(), signal) };
    }

    /// Waits for the end of a process that was asked to stop, and starts it again.
    pub fn restart(&mut self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while self.child.try_wait().map_err(|error| error.to_string())?.is_none() {
            if Instant::now() > end {
                return Err(format!("{} did not stop", self.name));
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(RESTART_DELAY);
        self.child = start(&self.settings, &self.log)?;
        self.record.line(&format!("{} starts again, process {}", self.name, self.child.id()));
        Ok(())
    }
}

fn start(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    Command::new(COMMAND)
        .env_clear()
        .env("DOGWOODPITCH_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("{COMMAND}: {error}"))
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
