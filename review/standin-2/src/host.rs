//! Stand-in for an application host (PROTOCOL.md, "Flows", "Hosts" and "Service discovery").

use std::{
    collections::HashMap,
    io::{BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{
    Net,
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    program::BEAT_MS,
    record::Record,
    store::read_request,
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(4);
const MAX_RETRANSMISSIONS: u32 = 8;

struct Flow {
    /// Next sequence number of the host.
    next: u32,
    /// Sequence number of the SYN+ACK.
    first: u32,
    /// Next sequence number that the client sends.
    expected: u32,
    open: bool,
    unacked: Option<(Packet, Instant, u32)>,
}

#[derive(Default)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    /// Responses that are being worked on.
    work: Vec<(Instant, SocketAddrV4, SocketAddrV4, Vec<u8>)>,
    /// Requests that have run, by their text.
    ran: HashMap<String, u32>,
    foreign: u32,
}

#[derive(Clone)]
pub struct Host {
    pub ip: Ipv4Addr,
    service: String,
    net: Net,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    record: Record,
}

impl Host {
    pub fn start(net: Net, ip: Ipv4Addr, zone: &str, service: &str, record: &Record) -> std::io::Result<Self> {
        let host = Self {
            ip,
            service: service.to_owned(),
            net,
            state: Arc::default(),
            stop: Arc::default(),
            record: record.clone(),
        };
        let socket = UdpSocket::bind((ip, net.app))?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let listener = TcpListener::bind((ip, net.app))?;
        let (serving, beating, health, zone) = (host.clone(), host.clone(), host.clone(), zone.to_owned());
        thread::spawn(move || serving.serve(&socket));
        thread::spawn(move || beating.send_beats(&zone));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if health.stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::spawn(move || answer_health(stream));
            }
        });
        record.line(format!("host {ip} of {service} started"));
        Ok(host)
    }

    /// Whether this host holds an open flow.
    pub fn holds(&self, client: SocketAddrV4, target: SocketAddrV4) -> bool {
        self.state.lock().unwrap().flows.get(&(client, target)).is_some_and(|flow| flow.open)
    }

    /// Requests that ran more than once.
    pub fn repeated(&self) -> usize {
        self.state.lock().unwrap().ran.values().filter(|count| **count > 1).count()
    }

    /// Packets that their senders had not written so.
    pub fn foreign(&self) -> u32 {
        self.state.lock().unwrap().foreign
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn send_beats(&self, zone: &str) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let born = u64::try_from(born).unwrap_or(0);
        let mut seq = 0;
        while !self.stop.load(Ordering::Relaxed) {
            seq += 1;
            let body = json!({
                "service": self.service, "addr": SocketAddrV4::new(self.ip, self.net.app).to_string(), "zone": zone,
                "version": "v1", "slots": 5, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
            });
            let _ = self.call(&body.to_string());
            thread::sleep(Duration::from_millis(BEAT_MS));
        }
    }

    fn call(&self, body: &str) -> std::io::Result<()> {
        let address = SocketAddrV4::new(self.ip, self.net.control).into();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let id = u32::from(self.ip);
        let head = format!(
            "PUT /instances/i-{id:x} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body).as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(())
    }

    fn serve(&self, socket: &UdpSocket) {
        let outbound = SocketAddrV4::new(self.ip, self.net.outbound);
        let send = |packet: &Packet| {
            let _ = socket.send_to(&packet.encode(), outbound);
        };
        let mut buffer = [0; 2_048];
        while !self.stop.load(Ordering::Relaxed) {
            if let Ok((len, _)) = socket.recv_from(&mut buffer)
                && let Some((packet, _, as_written)) = Packet::decode(&buffer[..len])
            {
                if !as_written {
                    self.state.lock().unwrap().foreign += 1;
                    self.record.line(format!("host {}: got a packet that its sender didn't write so: {packet:?}", self.ip));
                }
                if let Some(reply) = self.handle(&packet) {
                    send(&reply);
                }
            }
            for packet in self.due() {
                send(&packet);
            }
        }
    }

    fn handle(&self, packet: &Packet) -> Option<Packet> {
        let (client, target) = (packet.src, packet.dst);
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let reply = |flags, seq, ack| Packet { src: target, dst: client, flags, seq, ack, data: Vec::new() };
        if packet.flags & SYN != 0 {
            let flow = state.flows.entry((client, target)).or_insert_with(|| {
                let first = first_seq(self.ip, client);
                Flow { next: first.wrapping_add(1), first, expected: packet.seq.wrapping_add(1), open: false, unacked: None }
            });
            return Some(reply(SYN | ACK, flow.first, packet.seq.wrapping_add(1)));
        }
        let known = state.flows.get_mut(&(client, target));
        // The client has opened the flow elsewhere if it acknowledges another host's SYN+ACK.
        let Some(flow) = known.filter(|flow| packet.ack.wrapping_sub(flow.first.wrapping_add(1)) <= flow.next.wrapping_sub(flow.first)) else {
            let mut bounced = packet.clone();
            bounced.flags |= BOUNCED;
            self.record.line(format!("host {}: bounces a packet of {client} to {target}", self.ip));
            return Some(bounced);
        };
        if !flow.open {
            flow.open = true;
            self.record.line(format!("host {}: flow of {client} to {target} is open", self.ip));
        }
        if packet.flags & RST != 0 {
            state.flows.remove(&(client, target));
            return None;
        }
        if packet.ack == flow.next {
            flow.unacked = None;
        }
        if packet.flags & FIN != 0 {
            let answer = reply(FIN | ACK, flow.next, packet.seq.wrapping_add(1));
            state.flows.remove(&(client, target));
            return Some(answer);
        }
        if packet.data.is_empty() {
            return None;
        }
        if packet.seq != flow.expected {
            return Some(reply(ACK, flow.next, flow.expected));
        }
        flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        self.record.detail(|| format!("host {}: runs {}", self.ip, text.trim()));
        *state.ran.entry(text).or_default() += 1;
        state.work.push((Instant::now() + WORK, client, target, packet.data.clone()));
        None
    }

    /// Packets that are to be sent now.
    fn due(&self) -> Vec<Packet> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let mut out = Vec::new();
        let (done, rest): (Vec<_>, Vec<_>) = state.work.drain(..).partition(|(at, ..)| now >= *at);
        state.work = rest;
        for (_, client, target, request) in done {
            let Some(flow) = state.flows.get_mut(&(client, target)) else { continue };
            let data = [b"200 sealed by ".as_slice(), self.ip.to_string().as_bytes(), b" for ", &request].concat();
            let packet = Packet { src: target, dst: client, flags: ACK, seq: flow.next, ack: flow.expected, data };
            flow.next = flow.next.wrapping_add(packet.data.len() as u32);
            flow.unacked = Some((packet.clone(), now + Duration::from_millis(200), 0));
            out.push(packet);
        }
        for flow in state.flows.values_mut() {
            if let Some((packet, at, count)) = &mut flow.unacked
                && now >= *at
            {
                *count += 1;
                *at = now + Duration::from_millis((200 << *count).min(1_600));
                out.push(packet.clone());
                if *count == MAX_RETRANSMISSIONS {
                    flow.unacked = None;
                }
            }
        }
        out
    }
}

fn first_seq(ip: Ipv4Addr, client: SocketAddrV4) -> u32 {
    let mix = u32::from(ip).wrapping_mul(0x9e37_79b1) ^ u32::from(*client.ip()).rotate_left(9) ^ u32::from(client.port()).wrapping_mul(0x85eb_ca6b);
    mix.wrapping_mul(0xc2b2_ae35) | 0x1000_0000
}

fn answer_health(mut stream: TcpStream) {
    let Ok(reading) = stream.try_clone() else { return };
    if read_request(&mut BufReader::new(reading)).is_some() {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    }
}
