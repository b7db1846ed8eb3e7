//! The fabric stand-in as a process, between callers and balancers that are plain sockets.

use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use dogwoodpitch::protocol::proxy::Header;

const LOCAL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const BOUND: Duration = Duration::from_secs(30);
/// Time without packets after which a socket is taken to have got all of them.
const SETTLE: Duration = Duration::from_millis(300);

/// A free address. It may be taken again before it is used, which fails the test at the start.
fn free() -> SocketAddr {
    let listener = TcpListener::bind(LOCAL).expect("bind");
    listener.local_addr().expect("address")
}

/// Ends the process even if the test fails.
struct Fabric {
    process: Child,
    vip: SocketAddr,
    control: SocketAddr,
}

impl Drop for Fabric {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Fabric {
    fn open(balancers: &[&Balancer], options: &[&str]) -> Self {
        let (vip, control) = (free(), free());
        let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodpitch-lab"));
        command.args(["fabric", "--vip", &vip.to_string(), "--control", &control.to_string()]);
        for balancer in balancers {
            command.args(["--balancer", &format!("{},{}", balancer.ingress(), balancer.http)]);
        }
        let process = command.args(options).spawn().expect("spawn");
        Self { process, vip, control }
    }

    fn control(&self, method: &str, path: &str, body: &str) -> Option<serde_json::Value> {
        let mut stream = TcpStream::connect(self.control).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: fabric\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }
}

struct Balancer {
    socket: UdpSocket,
    http: SocketAddr,
    healthy: Arc<AtomicBool>,
}

impl Balancer {
    fn open() -> Self {
        let listener = TcpListener::bind(LOCAL).expect("bind");
        let http = listener.local_addr().expect("address");
        let healthy = Arc::new(AtomicBool::new(true));
        let state = Arc::clone(&healthy);
        // The thread ends with the test process.
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let _ = stream.read(&mut [0; 1024]);
                let status = if state.load(Ordering::Relaxed) {
                    "200 OK"
                } else {
                    "503 Draining"
                };
                let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
                let _ = stream.write_all(answer.as_bytes());
            }
        });
        let socket = UdpSocket::bind(LOCAL).expect("bind");
        socket.set_read_timeout(Some(SETTLE)).expect("timeout");
        Self { socket, http, healthy }
    }

    fn ingress(&self) -> SocketAddr {
        self.socket.local_addr().expect("address")
    }

    /// Takes what has arrived and answers each packet. Returns headers and packets.
    fn serve(&self) -> Vec<(Header, Vec<u8>)> {
        let mut packets = Vec::new();
        let mut buffer = [0; 2048];
        // LOCAL datagrams come all the time, so that a time-out does not tell the end.
        let end = Instant::now() + SETTLE;
        while Instant::now() < end {
            let Ok((len, fabric)) = self.socket.recv_from(&mut buffer) else {
                break;
            };
            let Some((header, packet)) = Header::decode(&buffer[..len]) else {
                continue;
            };
            let answer = Header {
                source: header.destination,
                destination: header.source,
            };
            let datagram = [&answer.encode()[..], packet].concat();
            self.socket.send_to(&datagram, fabric).expect("send");
            packets.push((header, packet.to_vec()));
        }
        packets
    }
}

fn caller() -> UdpSocket {
    let caller = UdpSocket::bind(LOCAL).expect("bind");
    caller.set_read_timeout(Some(SETTLE)).expect("timeout");
    caller
}

/// Takes the first bytes of the packets that wait at a caller. All must come from the service's address.
fn answers(caller: &UdpSocket, vip: SocketAddr) -> HashSet<u8> {
    let mut buffer = [0; 2048];
    let mut seen = HashSet::new();
    while let Ok((_, from)) = caller.recv_from(&mut buffer) {
        assert_eq!(from, vip);
        seen.insert(buffer[0]);
    }
    seen
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + BOUND;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen in time");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a fabric that sends to unhealthy balancers, leaves out healthy ones, mixes up addresses, or loses its
/// state of removed members.
#[test]
fn packets_are_sprayed_over_healthy_balancers_and_back() {
    let (first, second) = (Balancer::open(), Balancer::open());
    let fabric = Fabric::open(
        &[&first, &second],
        &["--seed", "3", "--delay-ms", "2", "--jitter-ms", "2"],
    );
    let caller = caller();
    let SocketAddr::V4(source) = caller.local_addr().expect("address") else {
        unreachable!("bound to IPv4")
    };
    let round = |first_gets: bool, second_gets: bool| {
        wait_for("the expected spread", || {
            for number in 0..40 {
                caller.send_to(&[number; 100], fabric.vip).expect("send");
            }
            let (one, two) = (first.serve(), second.serve());
            for (header, _) in one.iter().chain(&two) {
                assert_eq!(
                    (header.source, SocketAddr::V4(header.destination)),
                    (source, fabric.vip)
                );
            }
            let answered = !answers(&caller, fabric.vip).is_empty();
            answered && (!one.is_empty(), !two.is_empty()) == (first_gets, second_gets)
        });
    };
    round(true, true);
    second.healthy.store(false, Ordering::Relaxed);
    round(true, false);
    second.healthy.store(true, Ordering::Relaxed);
    let member = format!(r#"[{{"ingress":"{}","http":"{}"}}]"#, second.ingress(), second.http);
    assert!(fabric.control("POST", "/balancers", &member).is_some());
    round(false, true);
    let stats = fabric.control("GET", "/stats", "").expect("stats");
    let per_balancer = stats["per_balancer"].as_object().expect("object");
    assert_eq!(per_balancer.keys().collect::<Vec<_>>(), [&second.ingress().to_string()]);
}

/// Guards against a silent path that still passes packets, heals, or also cuts new addresses.
#[test]
fn forgotten_callers_stay_cut_and_new_ones_work() {
    let balancer = Balancer::open();
    let fabric = Fabric::open(&[&balancer], &[]);
    let (old, new) = (caller(), caller());
    let exchange = |caller: &UdpSocket| {
        caller.send_to(&[7; 100], fabric.vip).expect("send");
        balancer.serve();
        !answers(caller, fabric.vip).is_empty()
    };
    wait_for("the first answer", || exchange(&old));
    let forgotten = fabric.control("POST", "/forget", r#"{"percent":100}"#);
    assert_eq!(forgotten.expect("answer")["forgotten"], 1);
    assert!(!exchange(&old));
    assert!(exchange(&new));
    assert!(!exchange(&old));
}
