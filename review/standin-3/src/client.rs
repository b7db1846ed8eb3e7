//! Stand-ins for the platform's routers and for clients that keep flows open and send a request from time to time.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    backend::Open,
    net::{Net, ROUTE},
    packet::{ACK, Packet, RST, SYN},
};

/// Interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the answer to a request to the next request of the flow.
const PAUSE: Duration = Duration::from_millis(900);
/// Times after the first SYN at which its copies are sent and the try ends.
const COPIES_AT: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Largest distance of a reset from the client's last acknowledgement.
const WINDOW: u32 = 76_800;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(5);

/// Balancers in rotation: those whose last two checks have not both failed.
#[derive(Debug, Clone)]
pub struct Router(Arc<Mutex<Vec<Ipv4Addr>>>);

impl Router {
    pub fn spawn(net: &Net, balancers: &[Ipv4Addr], record: &Record) -> Self {
        let router = Self(Arc::new(Mutex::new(Vec::new())));
        let (rotation, balancers, port, record) = (router.clone(), balancers.to_vec(), net.ready(), record.clone());
        thread::spawn(move || {
            let mut misses = vec![2_u32; balancers.len()];
            loop {
                for (balancer, misses) in balancers.iter().zip(&mut misses) {
                    *misses = if is_ready((*balancer, port).into()) {
                        0
                    } else {
                        *misses + 1
                    };
                }
                let ready = balancers.iter().zip(&misses).filter(|(_, misses)| **misses < 2);
                let ready: Vec<_> = ready.map(|(balancer, _)| *balancer).collect();
                let mut current = rotation.0.lock().unwrap();
                if *current != ready {
                    record.line(&format!("in rotation: {ready:?}"));
                    *current = ready;
                }
                drop(current);
                thread::sleep(CHECK_INTERVAL);
            }
        });
        router
    }

    pub fn len(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    fn choose(&self, flow: SocketAddrV4) -> Option<Ipv4Addr> {
        let mut hasher = DefaultHasher::new();
        (flow, ROUTE).hash(&mut hasher);
        let rotation = self.0.lock().unwrap();
        rotation
            .get((hasher.finish() >> 8) as usize % rotation.len().max(1))
            .copied()
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Waits for the SYN+ACK; number of copies that were sent.
    Opening(u32),
    /// Waits for the answer to a request.
    Waiting,
    Idle,
}

#[derive(Debug)]
struct Flow {
    end: SocketAddrV4,
    state: State,
    since: Instant,
    due_at: Instant,
    interval: Duration,
    first_seq: u32,
    ack: u32,
    seq: u32,
    request: Vec<u8>,
    id: u64,
}

/// Counts of all clients.
#[derive(Debug, Default)]
pub struct Counts {
    pub answered: AtomicU64,
    pub failed: AtomicU64,
    pub resets: AtomicU64,
}

/// Starts a client with a number of flows.
pub fn spawn(
    net: &Net,
    ip: Ipv4Addr,
    flows: u16,
    router: &Router,
    open: &Open,
    counts: &Arc<Counts>,
    record: &Record,
) -> Result<(), String> {
    let socket = UdpSocket::bind((ip, net.packets())).map_err(|error| error.to_string())?;
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .map_err(|error| error.to_string())?;
    let mut client = Client {
        ip,
        port: 1_024,
        packets: net.packets(),
        socket,
        router: router.clone(),
        open: Arc::clone(open),
        counts: Arc::clone(counts),
        record: record.clone(),
    };
    thread::spawn(move || {
        let mut all: Vec<_> = (0..flows)
            .map(|index| client.open(Duration::from_millis(20) * index.into()))
            .collect();
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((len, _)) = client.socket.recv_from(&mut buffer) {
                client.receive(&mut all, &buffer[..len]);
            }
            let now = Instant::now();
            for flow in &mut all {
                if now >= flow.due_at {
                    client.act(flow, now);
                }
            }
        }
    });
    Ok(())
}

struct Client {
    ip: Ipv4Addr,
    port: u16,
    packets: u16,
    socket: UdpSocket,
    router: Router,
    open: Open,
    counts: Arc<Counts>,
    record: Record,
}

impl Client {
    /// A flow from a new port, whose SYN is due after a delay.
    fn open(&mut self, delay: Duration) -> Flow {
        self.port += 1;
        let now = Instant::now();
        Flow {
            end: SocketAddrV4::new(self.ip, self.port),
            state: State::Opening(0),
            since: now + delay,
            due_at: now + delay,
            interval: Duration::ZERO,
            first_seq: 0,
            ack: 0,
            seq: u32::from(self.port) << 12,
            request: Vec::new(),
            id: 0,
        }
    }

    fn act(&mut self, flow: &mut Flow, now: Instant) {
        match flow.state {
            State::Opening(copies) => {
                if copies as usize == COPIES_AT.len() {
                    self.record.line(&format!("{} is not opened", flow.end));
                    self.counts.failed.fetch_add(1, Ordering::Relaxed);
                    *flow = self.open(PAUSE);
                    return;
                }
                self.send(flow, SYN, flow.seq, copies, Vec::new());
                flow.state = State::Opening(copies + 1);
                flow.due_at = flow.since + COPIES_AT[copies as usize];
            }
            State::Idle => {
                flow.id += 1;
                let id = format!(
                    "{:x}-{}",
                    u64::from(u32::from(self.ip)) << 16 | u64::from(flow.end.port()),
                    flow.id
                );
                flow.request = format!("GET / HTTP/1.1\r\nHost: counter\r\nRequest-Id: {id}\r\n\r\n").into_bytes();
                self.record.line(&format!("{} sends request {id}", flow.end));
                flow.state = State::Waiting;
                flow.since = now;
                flow.interval = Duration::from_millis(200);
                flow.due_at = now + flow.interval;
                self.send(flow, ACK, flow.seq, flow.ack, flow.request.clone());
            }
            State::Waiting if now >= flow.since + DEADLINE => {
                self.record.line(&format!("{} gives up", flow.end));
                self.counts.failed.fetch_add(1, Ordering::Relaxed);
                *flow = self.open(PAUSE);
            }
            State::Waiting => {
                self.send(flow, ACK, flow.seq, flow.ack, flow.request.clone());
                flow.interval = (flow.interval * 2).min(Duration::from_millis(1_600));
                flow.due_at = now + flow.interval;
            }
        }
    }

    fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            source: flow.end,
            target: ROUTE,
            flags,
            seq,
            ack,
            data,
        };
        if let Some(balancer) = self.router.choose(flow.end) {
            let _ = self.socket.send_to(&packet.encode(), (balancer, self.packets));
        }
    }

    fn receive(&mut self, flows: &mut [Flow], bytes: &[u8]) {
        let Some((packet, sum, is_own)) = Packet::decode(bytes) else {
            self.record
                .broken(&format!("MIXED: {} got bytes that are no packet", self.ip));
            return;
        };
        let Some(flow) = flows.iter_mut().find(|flow| flow.end == packet.target) else {
            return;
        };
        let is_system_reset = packet.flags == RST && sum == 0 && packet.data.is_empty();
        if !is_own && !is_system_reset {
            self.record
                .broken(&format!("MIXED: {} got a changed packet {packet:?}", flow.end));
            return;
        }
        let now = Instant::now();
        let opening = matches!(flow.state, State::Opening(_));
        if packet.flags & RST != 0 {
            let distance = packet.seq.wrapping_sub(flow.ack);
            if !opening && distance > WINDOW && distance.wrapping_neg() > WINDOW {
                return;
            }
            self.counts.resets.fetch_add(1, Ordering::Relaxed);
            let holder = self.open.lock().unwrap().get(&(flow.end, flow.first_seq)).copied();
            match holder.filter(|_| is_system_reset && !opening) {
                Some(ip) => self.record.broken(&format!(
                    "FLOW: the open flow of {} was reset, and its server at {ip} lives and has not sent that",
                    flow.end
                )),
                None => self.record.line(&format!("{} is reset", flow.end)),
            }
            *flow = self.open(PAUSE);
            return;
        }
        if packet.flags & SYN != 0 {
            if opening {
                flow.first_seq = packet.seq;
                flow.ack = packet.seq.wrapping_add(1);
                flow.seq = flow.seq.wrapping_add(1);
                flow.state = State::Idle;
                flow.due_at = now;
                self.record.line(&format!("{} opens", flow.end));
                self.act(flow, now);
            }
            return;
        }
        if flow.state == State::Waiting && !packet.data.is_empty() && packet.seq == flow.ack {
            let answer = String::from_utf8_lossy(&packet.data).into_owned();
            let request = String::from_utf8_lossy(&flow.request).into_owned();
            let id = request
                .lines()
                .find_map(|line| line.strip_prefix("Request-Id: "))
                .unwrap_or("?");
            if !answer.ends_with(&format!("answers {id}")) {
                self.record
                    .broken(&format!("MIXED: {} got the answer of another request", flow.end));
            }
            self.counts.answered.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("{} has the answer to {id}", flow.end));
            flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
            flow.seq = flow.seq.wrapping_add(flow.request.len() as u32);
            flow.state = State::Idle;
            flow.due_at = now + PAUSE;
            self.send(flow, ACK, flow.seq, flow.ack, Vec::new());
        }
    }
}
