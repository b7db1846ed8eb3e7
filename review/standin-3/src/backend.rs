//! Stand-in for a backend server: opens and serves flows, sends heartbeats, accepts connections at its address.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    Record,
    net::{Net, SERVICE, ZONE},
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    program::BEAT_MS,
};

/// Flows that backend servers hold open, by the client's end and the first sequence number of the backend server.
pub type Open = Arc<Mutex<HashMap<(SocketAddrV4, u32), Ipv4Addr>>>;

#[derive(Debug)]
struct Flow {
    first_seq: u32,
    next_seq: u32,
    expected: u32,
    opened: bool,
    /// Last response, with the sequence number of its request.
    last: Option<(u32, Vec<u8>)>,
}

#[derive(Debug, Clone)]
pub struct Backend {
    pub ip: Ipv4Addr,
    id: String,
    net: Net,
    born: u64,
    seq: Arc<AtomicU64>,
    open: Open,
    record: Record,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}

impl Backend {
    pub fn spawn(net: &Net, ip: Ipv4Addr, open: &Open, record: &Record) -> Result<Self, String> {
        let backend = Self {
            ip,
            id: format!("i-{:08x}", random() as u32),
            net: *net,
            born: unix_ms(),
            seq: Arc::default(),
            open: Arc::clone(open),
            record: record.clone(),
        };
        let address = SocketAddrV4::new(ip, net.app());
        let socket = UdpSocket::bind(address).map_err(|error| error.to_string())?;
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        record.line(&format!("server {} starts at {address}", backend.id));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || answer_health(stream));
            }
        });
        let serving = backend.clone();
        thread::spawn(move || serving.serve(&socket));
        let beating = backend.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(Duration::from_millis(BEAT_MS));
            }
        });
        Ok(backend)
    }

    /// Liveness report of this backend server.
    pub fn report(&self) -> Value {
        json!({
            "service": SERVICE, "addr": SocketAddrV4::new(self.ip, self.net.app()).to_string(), "zone": ZONE, "version": "v1",
            "slots": 5, "state": "ready", "cold_left_ms": 0, "seq": self.seq.fetch_add(1, Ordering::Relaxed) + 1,
            "born": self.born,
        })
    }

    fn beat(&self) {
        let report = self.report();
        let status = self.put(&self.id, &report);
        self.record
            .line(&format!("server {} reports {}: {status:?}", self.id, report["seq"]));
    }

    /// Sends a liveness report to the node beside this backend server. Returns the status of the answer.
    pub fn put(&self, id: &str, report: &Value) -> Option<u16> {
        let address = SocketAddrV4::new(self.ip, self.net.control());
        let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let body = report.to_string();
        let head = format!(
            "PUT /instances/{id} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    fn serve(&self, socket: &UdpSocket) {
        let outbound = SocketAddrV4::new(self.ip, self.net.outbound());
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut buffer = [0; 2_048];
        while let Ok((len, _)) = socket.recv_from(&mut buffer) {
            let Some((packet, _, is_own)) = Packet::decode(&buffer[..len]) else {
                self.record
                    .broken(&format!("UNASKED: server {} got bytes that are no packet", self.id));
                continue;
            };
            if !is_own {
                self.record
                    .broken(&format!("UNASKED: server {} got a changed packet {packet:?}", self.id));
                continue;
            }
            if let Some(reply) = self.handle(&mut flows, &packet) {
                let _ = socket.send_to(&reply, outbound);
            }
        }
    }

    fn handle(&self, flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Flow>, packet: &Packet) -> Option<Vec<u8>> {
        let key = (packet.source, packet.target);
        let reply = |flags, seq, ack, data| Packet {
            source: packet.target,
            target: packet.source,
            flags,
            seq,
            ack,
            data,
        };
        let bounce = || {
            Some(
                Packet {
                    flags: packet.flags | BOUNCED,
                    ..packet.clone()
                }
                .encode(),
            )
        };
        if packet.flags & SYN != 0 {
            let flow = flows.entry(key).or_insert_with(|| {
                let first_seq = random() as u32;
                Flow {
                    first_seq,
                    next_seq: first_seq.wrapping_add(1),
                    expected: packet.seq.wrapping_add(1),
                    opened: false,
                    last: None,
                }
            });
            return Some(reply(SYN | ACK, flow.first_seq, flow.expected, Vec::new()).encode());
        }
        let Some(flow) = flows.get_mut(&key) else {
            return bounce();
        };
        if !flow.opened {
            if packet.ack != flow.first_seq.wrapping_add(1) {
                return bounce();
            }
            flow.opened = true;
            self.open
                .lock()
                .unwrap()
                .insert((packet.source, flow.first_seq), self.ip);
            self.record
                .line(&format!("server {} has the flow of {}", self.id, packet.source));
        }
        if packet.flags & RST != 0 {
            self.open.lock().unwrap().remove(&(packet.source, flow.first_seq));
            flows.remove(&key);
            return None;
        }
        if packet.flags & FIN != 0 {
            let fin = reply(FIN | ACK, flow.next_seq, packet.seq.wrapping_add(1), Vec::new()).encode();
            self.open.lock().unwrap().remove(&(packet.source, flow.first_seq));
            flows.remove(&key);
            return Some(fin);
        }
        if packet.data.is_empty() {
            return None;
        }
        if packet.seq != flow.expected {
            // A copy of a request that was answered.
            return flow
                .last
                .as_ref()
                .filter(|(seq, _)| *seq == packet.seq)
                .map(|(_, answer)| answer.clone());
        }
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("Request-Id: "))
            .unwrap_or("?")
            .to_owned();
        self.record
            .line(&format!("server {} runs request {id} of {}", self.id, packet.source));
        let body = format!("{} answers {id}", self.id);
        let data = format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        let answer = reply(ACK, flow.next_seq, flow.expected, data.into_bytes());
        flow.next_seq = flow.next_seq.wrapping_add(answer.data.len() as u32);
        let answer = answer.encode();
        flow.last = Some((packet.seq, answer.clone()));
        Some(answer)
    }
}

fn answer_health(mut stream: TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    if stream.read(&mut [0; 1_024]).is_ok_and(|len| len > 0) {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
}
