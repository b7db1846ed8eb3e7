//! Processes of the system under test.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
};

use serde_json::json;

use crate::{
    Record,
    net::{Net, SERVICE, ZONE},
};

/// Command of both roles in `deploy/system.toml`.
const COMMAND: &str = "target/release/dogwoodpitch-platform";
/// Interval of the heartbeats, as in the settings of `nhsc-edge`.
pub const BEAT_MS: u64 = 1_200;

/// A running process. It ends with this value, or with the process that has started it.
#[derive(Debug)]
pub struct Program(Child);

impl Program {
    /// Starts a balancer, or an agent. The settings are those that `deploy/settings.json` renders.
    pub fn spawn(
        net: &Net,
        ip: Ipv4Addr,
        is_agent: bool,
        store: SocketAddr,
        seeds: &[String],
        folder: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        let name = format!("{}-{}", if is_agent { "side" } else { "front" }, ip.octets()[3]);
        let backend = is_agent.then(|| {
            json!({
                "service": SERVICE, "address": format!("{ip}:{}", net.app()),
                "outbound": format!("{ip}:{}", net.outbound()), "heartbeats": format!("{ip}:{}", net.control()),
                "heartbeat_interval_ms": BEAT_MS,
            })
        });
        let settings = json!({
            "name": name, "ip": ip, "data_centre": ZONE, "port": net.frames(),
            "packets": format!("{ip}:{}", net.packets()), "ready": format!("{ip}:{}", net.ready()), "store": store,
            "seeds": seeds, "memory_mb": if is_agent { 128 } else { 260 }, "stop_timeout_s": 6, "backend": backend,
        });
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = start(&path, &log)?;
        record.line(&format!("{name} starts at {ip}, process {}", child.id()));
        Ok(Self(child))
    }
}

fn start(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(COMMAND);
    command
        .env_clear()
        .env("DOGWOODPITCH_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    let end_with_parent = || {
        // SAFETY: asks the kernel to kill this child when its parent ends.
        match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    };
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn().map_err(|error| format!("{COMMAND}: {error}"))
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
