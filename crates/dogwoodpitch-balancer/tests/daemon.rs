//! Tests of the daemon as a process.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    protocol::{
        cid::{Codec, Key, Target},
        proxy::Header,
    },
    state::service::Id,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

const LOCAL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// 16 and 32 bytes of zeros in base64.
const KEY_16: &str = "AAAAAAAAAAAAAAAAAAAAAA==";
const KEY_32: &str = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// Returns a free address. Another process may take it before the daemon binds it; then the test fails at startup.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(LOCAL).expect("bind");
    listener.local_addr().expect("address")
}

fn settings(name: &str, node_name: &str) -> (PathBuf, SocketAddr, SocketAddr) {
    let (ingress, http) = (free_address(), free_address());
    let settings = serde_json::json!({
        "node": {
            "name": node_name, "data_centre": "egaleo", "datagram": free_address(), "peer": free_address(), "http": http,
            "store": [free_address()],
            "keys": {"connection_id": [{"epoch": 1, "secret": KEY_16}], "frame": KEY_16, "cluster": KEY_32},
        },
        "ingress": ingress,
    });
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings.to_string()).expect("write settings");
    (path, ingress, http)
}

/// Process that is killed when it is dropped, also when the test fails.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn daemon(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodpitch-balancer"));
    command.arg("--settings").arg(settings).stderr(Stdio::piped());
    command
}

/// Returns the status line of `/health`.
fn health(http: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(http).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: balancer\r\nconnection: close\r\n\r\n")
        .ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.lines().next().map(str::to_owned)
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen in time");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a balancer that stops while the fabric still sends packets, that does not announce the stop on
/// `/health`, or that never exits. The store is unreachable throughout.
#[test]
fn stop_waits_for_the_end_of_traffic() {
    let (path, ingress, http) = settings("stop.json", "balancer-1");
    let mut daemon = Daemon(daemon(&path).spawn().expect("spawn"));
    wait_for("start", || health(http).is_some_and(|line| line.contains(" 200 ")));

    let agent = UdpSocket::bind(LOCAL).expect("bind");
    agent.set_read_timeout(Some(TEST_TIMEOUT)).expect("timeout");
    let SocketAddr::V4(agent_address) = agent.local_addr().expect("address") else {
        unreachable!("bound to IPv4")
    };
    let target = Target {
        service: Id(1),
        agent: agent_address,
        incarnation: 1,
    };
    let codec = Codec::new(&[Key {
        epoch: 1,
        secret: [0; 16],
    }]);
    let header = Header {
        source: agent_address,
        destination: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443),
    };
    let packet = [&[0x40][..], &codec.seal(&target, [1, 2, 3]), &[0x55; 40]].concat();
    let datagram = [&header.encode()[..], &packet].concat();
    let fabric = UdpSocket::bind(LOCAL).expect("bind");
    let exchange = || {
        fabric.send_to(&datagram, ingress).expect("send");
        let mut buffer = [0; 2048];
        let len = agent.recv(&mut buffer).expect("the packet is forwarded");
        assert!(buffer[..len].ends_with(&packet));
    };
    exchange();

    let pid = i32::try_from(daemon.0.id()).expect("pid");
    kill(Pid::from_raw(pid), Signal::SIGTERM).expect("signal");
    wait_for("draining", || {
        // The balancer keeps running while packets arrive.
        exchange();
        health(http).is_some_and(|line| line.contains(" 503 "))
    });
    // Longer than the time without packets after which the balancer stops.
    for _ in 0..40 {
        exchange();
        thread::sleep(Duration::from_millis(50));
    }
    let mut status = None;
    wait_for("exit", || {
        status = daemon.0.try_wait().expect("wait");
        status.is_some()
    });
    assert!(status.is_some_and(|status| status.success()));
}

/// Guards against errors that do not name file and field, and against `--check` starting the daemon.
#[test]
fn check_reports_invalid_field() {
    let (path, _, _) = settings("good.json", "balancer-1");
    let output = daemon(&path).arg("--check").output().expect("run");
    assert!(output.status.success());
    let (path, _, _) = settings("bad.json", "no spaces");
    let output = daemon(&path).arg("--check").output().expect("run");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(text.contains("bad.json") && text.contains("node.name"), "{text}");
}
