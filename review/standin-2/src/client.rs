//! Stand-in for clients and the platform's routers (PROTOCOL.md, "Ingress" and "Flows").

use std::{
    collections::{BTreeMap, HashMap},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Net,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

/// Largest distance of a reset's number from the client's last acknowledgment.
const RESET_WINDOW: u32 = 76_800;
/// Time in which a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// The platform's routers. They poll each balancer twice a second.
#[derive(Clone)]
pub struct Router {
    misses: Arc<Mutex<BTreeMap<Ipv4Addr, u32>>>,
    record: Record,
}

impl Router {
    pub fn start(net: Net, stop: &Arc<AtomicBool>, record: &Record) -> Self {
        let router = Self { misses: Arc::default(), record: record.clone() };
        let (polling, stop) = (router.clone(), Arc::clone(stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let nodes: Vec<_> = polling.misses.lock().unwrap().keys().copied().collect();
                for ip in nodes {
                    let ready = is_ready(net, ip);
                    let mut misses = polling.misses.lock().unwrap();
                    let Some(count) = misses.get_mut(&ip) else { continue };
                    let before = *count < 2;
                    *count = if ready { 0 } else { *count + 1 };
                    if before != (*count < 2) {
                        polling.record.line(format!("router: {ip} is {} rotation", if *count < 2 { "in" } else { "out of" }));
                    }
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        router
    }

    /// Adds a balancer, which is not in rotation before it has answered.
    pub fn add(&self, ip: Ipv4Addr) {
        self.misses.lock().unwrap().insert(ip, 2);
    }

    pub fn rotation(&self) -> Vec<Ipv4Addr> {
        let misses = self.misses.lock().unwrap();
        misses.iter().filter(|(_, count)| **count < 2).map(|(ip, _)| *ip).collect()
    }

    /// Balancer for the packets of a flow, by `mod`.
    fn choose(&self, client: SocketAddrV4, target: SocketAddrV4) -> Option<Ipv4Addr> {
        let rotation = self.rotation();
        let mut hash = u64::from(u32::from(*client.ip())) << 16 ^ u64::from(client.port());
        hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(u32::from(*target.ip())) << 16) ^ u64::from(target.port());
        hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let index = usize::try_from(hash >> 33).unwrap_or(0) % rotation.len().max(1);
        rotation.get(index).copied()
    }
}

fn is_ready(net: Net, ip: Ipv4Addr) -> bool {
    let timeout = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddrV4::new(ip, net.ready).into(), timeout) else { return false };
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    Opening,
    Open,
    /// A reset of the system's own reached the client on an open flow, at this time of the record.
    Reset(String),
    /// The flow's host reset it, or the client gave up.
    Ended(String),
}

#[derive(Clone, Debug)]
pub struct Flow {
    pub target: SocketAddrV4,
    pub phase: Phase,
    pub opened: bool,
    pub reset_at: f64,
    pub answers: u32,
    pub missing: u32,
    seq: u32,
    ack: u32,
    syns: u32,
    started: Instant,
    request: Option<(Vec<u8>, Instant, Instant, u32)>,
    next_request: Option<Instant>,
    numbers: u32,
}

struct State {
    flows: HashMap<SocketAddrV4, Flow>,
    next_port: u16,
    wrong: u32,
    /// Pause between an answer and the next request of its flow.
    pause: Option<Duration>,
}

#[derive(Clone)]
pub struct Client {
    ip: Ipv4Addr,
    net: Net,
    router: Router,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Client {
    pub fn start(net: Net, ip: Ipv4Addr, router: &Router, stop: &Arc<AtomicBool>, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((ip, net.packets))?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let state = State { flows: HashMap::new(), next_port: 40_000, wrong: 0, pause: None };
        let client = Self { ip, net, router: router.clone(), state: Arc::new(Mutex::new(state)), record: record.clone() };
        let (running, stop) = (client.clone(), Arc::clone(stop));
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !stop.load(Ordering::Relaxed) {
                if let Ok((len, _)) = socket.recv_from(&mut buffer)
                    && let Some((packet, sum, as_written)) = Packet::decode(&buffer[..len])
                    && let Some(reply) = running.handle(&packet, sum, as_written)
                {
                    running.send(&socket, &reply);
                }
                for packet in running.due() {
                    running.send(&socket, &packet);
                }
            }
        });
        Ok(client)
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        if let Some(balancer) = self.router.choose(packet.src, packet.dst) {
            let _ = socket.send_to(&packet.encode(), (balancer, self.net.packets));
        }
    }

    /// Opens a flow with a request, and sends another one after each pause, if there is one.
    pub fn open(&self, target: SocketAddrV4) -> SocketAddrV4 {
        let mut state = self.state.lock().unwrap();
        state.next_port += 1;
        let address = SocketAddrV4::new(self.ip, state.next_port);
        let now = Instant::now();
        let flow = Flow {
            target,
            phase: Phase::Opening,
            opened: false,
            reset_at: 0.0,
            answers: 0,
            missing: 0,
            seq: 0x2000_0000 + u32::from(address.port()) * 97,
            ack: 0,
            syns: 0,
            started: now,
            request: None,
            next_request: None,
            numbers: 0,
        };
        state.flows.insert(address, flow);
        address
    }

    /// Lets each open flow send a request within a span from now, evenly spread.
    pub fn request_within(&self, span: Duration) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let open = state.flows.values_mut().filter(|flow| flow.phase == Phase::Open);
        let mut open: Vec<_> = open.collect();
        let count = u32::try_from(open.len().max(1)).unwrap_or(1);
        for (index, flow) in (0..).zip(&mut open) {
            flow.next_request = Some(now + span * index / count);
        }
    }

    /// Lets each flow send its next request soon after an answer.
    pub fn set_pause(&self, pause: Duration) {
        self.state.lock().unwrap().pause = Some(pause);
    }

    pub fn flows(&self) -> Vec<(SocketAddrV4, Flow)> {
        let state = self.state.lock().unwrap();
        state.flows.iter().map(|(address, flow)| (*address, flow.clone())).collect()
    }

    /// Packets that no end of a flow wrote so, and that are no resets of the system's own.
    pub fn wrong(&self) -> u32 {
        self.state.lock().unwrap().wrong
    }

    fn handle(&self, packet: &Packet, sum: u32, as_written: bool) -> Option<Packet> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let own_reset = packet.flags == RST && sum == 0 && packet.data.is_empty();
        if !as_written && !own_reset {
            state.wrong += 1;
            self.record.line(format!("client: got a packet that its sender didn't write so: {packet:?}"));
            return None;
        }
        let address = packet.dst;
        let flow = state.flows.get_mut(&address).filter(|flow| flow.target == packet.src)?;
        if matches!(flow.phase, Phase::Reset(_) | Phase::Ended(_)) {
            return None;
        }
        if packet.flags & RST != 0 {
            let distance = packet.seq.wrapping_sub(flow.ack);
            let in_window = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            if flow.phase == Phase::Open && own_reset && !in_window {
                self.record.line(format!("client: {address} ignores a reset outside of its window"));
            } else if flow.phase == Phase::Open && own_reset {
                flow.reset_at = self.record.seconds();
                flow.phase = Phase::Reset(format!("reset by the system, seq {}", packet.seq));
                self.record.line(format!("client: open flow {address} to {} is reset by the system", flow.target));
            } else {
                flow.phase = Phase::Ended("reset before it was open, or by its host".to_owned());
                self.record.line(format!("client: {address} ends by a reset, own {own_reset}"));
            }
            return None;
        }
        if packet.flags & SYN != 0 {
            if flow.phase == Phase::Opening {
                flow.phase = Phase::Open;
                flow.opened = true;
                flow.seq = flow.seq.wrapping_add(1);
                flow.ack = packet.seq.wrapping_add(1);
                flow.next_request = Some(Instant::now());
            }
            return None;
        }
        if flow.phase != Phase::Open || packet.data.is_empty() {
            return None;
        }
        let reply = |flow: &Flow| Packet { src: address, dst: flow.target, flags: ACK, seq: flow.seq, ack: flow.ack, data: Vec::new() };
        if packet.seq != flow.ack {
            return Some(reply(flow));
        }
        flow.ack = packet.seq.wrapping_add(packet.data.len() as u32);
        if let Some((data, ..)) = flow.request.take() {
            flow.seq = flow.seq.wrapping_add(data.len() as u32);
            flow.answers += 1;
            flow.next_request = state.pause.map(|pause| Instant::now() + pause);
            let is_own = packet.data.ends_with(&data);
            state.wrong += u32::from(!is_own);
            self.record.detail(|| format!("client: {address} is answered, own answer {is_own}: {}", String::from_utf8_lossy(&packet.data).trim()));
        }
        if packet.flags & FIN != 0 {
            flow.phase = Phase::Ended("closed by its host".to_owned());
        }
        Some(reply(flow))
    }

    /// Packets that are to be sent now.
    fn due(&self) -> Vec<Packet> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let mut out = Vec::new();
        for (address, flow) in &mut state.flows {
            match flow.phase {
                Phase::Opening => {
                    let at = [0, 200, 600].map(|ms| flow.started + Duration::from_millis(ms));
                    if let Some(at) = at.get(flow.syns as usize) {
                        if now >= *at {
                            out.push(Packet { src: *address, dst: flow.target, flags: SYN, seq: flow.seq, ack: flow.syns, data: Vec::new() });
                            flow.syns += 1;
                        }
                    } else if now >= flow.started + Duration::from_millis(1_400) {
                        flow.phase = Phase::Ended("never opened".to_owned());
                        self.record.line(format!("client: {address} to {} never opened", flow.target));
                    }
                }
                Phase::Open => {
                    if flow.request.is_none() && flow.next_request.is_some_and(|at| now >= at) {
                        flow.next_request = None;
                        flow.numbers += 1;
                        let text = format!("GET /feed request-id: {address}-{}\r\n\r\n", flow.numbers);
                        self.record.detail(|| format!("client: sends {}", text.trim()));
                        flow.request = Some((text.into_bytes(), now, now, 0));
                    }
                    if let Some((data, since, at, count)) = &mut flow.request {
                        if now >= *since + DEADLINE {
                            flow.missing += 1;
                            flow.phase = Phase::Ended("given up at the deadline".to_owned());
                            self.record.line(format!("client: {address} gives up at its deadline"));
                        } else if now >= *at {
                            *at = now + Duration::from_millis((200 << *count).min(1_600));
                            *count += 1;
                            out.push(Packet { src: *address, dst: flow.target, flags: ACK, seq: flow.seq, ack: flow.ack, data: data.clone() });
                        }
                    }
                }
                Phase::Reset(_) | Phase::Ended(_) => {}
            }
        }
        out
    }
}
