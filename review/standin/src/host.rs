//! Host of a service, beside an agent (`PROTOCOL.md`, Packets, Flows, Hosts, Service discovery).

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN, Sum, random},
    ports,
    record::Record,
};

const FIRST_INTERVAL: Duration = Duration::from_millis(200);
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

/// A request that a host began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub request: String,
    pub service: String,
}

struct Flow {
    /// Sequence number of the host's SYN+ACK.
    first: u32,
    next_seq: u32,
    next_ack: u32,
    open: bool,
    ended: bool,
    /// Packet that the client has not acknowledged.
    unacked: Option<(Packet, Instant, u32)>,
}

#[derive(Clone)]
pub struct Host {
    pub ip: Ipv4Addr,
    pub service: String,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    born_ms: u64,
    beat: Duration,
    flows: Mutex<BTreeMap<SocketAddrV4, Flow>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    beats: AtomicU64,
}

impl Host {
    pub fn spawn(ip: Ipv4Addr, service: &str, beat: Duration, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> Self {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let host = Self {
            ip,
            service: service.to_owned(),
            shared: Arc::new(Shared {
                id: format!("i-{:08x}", random()),
                born_ms,
                beat,
                flows: Mutex::default(),
                runs: Arc::clone(runs),
                record: record.clone(),
                beats: AtomicU64::new(0),
            }),
        };
        let socket = UdpSocket::bind((ip, ports::APP)).unwrap();
        let listener = TcpListener::bind((ip, ports::APP)).unwrap();
        let (serving, health, beating) = (host.clone(), host.clone(), host.clone());
        thread::spawn(move || serving.serve(&socket));
        thread::spawn(move || health.serve_health(&listener));
        thread::spawn(move || beating.send_beats());
        host
    }

    fn serve_health(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().flatten() {
            let id = self.shared.id.clone();
            thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                let mut buffer = [0; 1_024];
                if stream.read(&mut buffer).unwrap_or(0) > 0 {
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    );
                }
            });
        }
    }

    fn send_beats(&self) {
        loop {
            let seq = self.shared.beats.fetch_add(1, Ordering::Relaxed) + 1;
            let body = json!({
                "service": self.service, "addr": format!("{}:{}", self.ip, ports::APP), "zone": "z1", "version": "v1",
                "slots": 7, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": self.shared.born_ms,
            });
            let _ = self.beat(&body.to_string());
            thread::sleep(self.shared.beat);
        }
    }

    fn beat(&self, body: &str) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&(self.ip, ports::CONTROL).into(), Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(
            stream,
            "PUT /instances/{} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.shared.id,
            body.len()
        )?;
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply)?;
        Ok(())
    }

    fn serve(&self, socket: &UdpSocket) {
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((len, _)) = socket.recv_from(&mut buffer)
                && let Some((packet, sum)) = Packet::decode(&buffer[..len])
            {
                if sum != Sum::Valid {
                    self.shared.record.note(&format!(
                        "host {} got a packet that nobody wrote so: {packet:?}",
                        self.ip
                    ));
                    continue;
                }
                let raw = &buffer[..len];
                for reply in self.handle(&packet, raw) {
                    let _ = socket.send_to(&reply, (self.ip, ports::OUTBOUND));
                }
            }
            self.retransmit(socket);
        }
    }

    fn retransmit(&self, socket: &UdpSocket) {
        let now = Instant::now();
        let mut flows = self.shared.flows.lock().unwrap();
        for flow in flows.values_mut() {
            let Some((packet, due, count)) = &mut flow.unacked else {
                continue;
            };
            if now < *due {
                continue;
            }
            if *count == MAX_RETRANSMISSIONS {
                flow.unacked = None;
                flow.ended = true;
                continue;
            }
            *count += 1;
            *due = now + (FIRST_INTERVAL * (1 << (*count).min(4))).min(MAX_INTERVAL);
            let _ = socket.send_to(&packet.encode(), (self.ip, ports::OUTBOUND));
        }
        flows.retain(|_, flow| flow.open || !flow.ended);
    }

    fn handle(&self, packet: &Packet, raw: &[u8]) -> Vec<Vec<u8>> {
        let mut flows = self.shared.flows.lock().unwrap();
        let answer = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
            src: packet.dst,
            dst: packet.src,
            flags,
            seq,
            ack,
            data,
        };
        let bounce = || {
            let mut bounced = raw.to_vec();
            bounced[18] |= BOUNCED;
            bounced[19..24].fill(0);
            bounced
        };
        if packet.flags & SYN != 0 && packet.flags & ACK == 0 {
            let flow = flows.entry(packet.src).or_insert_with(|| Flow {
                first: random(),
                next_seq: 0,
                next_ack: packet.seq.wrapping_add(1),
                open: false,
                ended: false,
                unacked: None,
            });
            if flow.open {
                return vec![answer(ACK, flow.next_seq, flow.next_ack, Vec::new()).encode()];
            }
            flow.next_seq = flow.first.wrapping_add(1);
            let reply = answer(SYN | ACK, flow.first, flow.next_ack, Vec::new());
            flow.unacked = Some((reply.clone(), Instant::now() + FIRST_INTERVAL, 0));
            return vec![reply.encode()];
        }
        let Some(flow) = flows.get_mut(&packet.src) else {
            self.shared.record.note(&format!(
                "host {} returns a packet of {} that it does not hold",
                self.ip, packet.src
            ));
            return vec![bounce()];
        };
        if !flow.open {
            if packet.ack != flow.first.wrapping_add(1) {
                return vec![bounce()];
            }
            flow.open = true;
            self.shared.record.note(&format!(
                "host {} ({}) holds the open flow {} -> {}",
                self.ip, self.service, packet.src, packet.dst
            ));
        }
        if packet.flags & RST != 0 {
            flows.remove(&packet.src);
            return Vec::new();
        }
        if flow.ended {
            let flags = if packet.flags & FIN != 0 { ACK } else { RST };
            let is_empty = packet.data.is_empty() && packet.flags & FIN == 0;
            return if is_empty {
                Vec::new()
            } else {
                vec![answer(flags, flow.next_seq, flow.next_ack, Vec::new()).encode()]
            };
        }
        if packet.ack == flow.next_seq {
            flow.unacked = None;
        }
        if packet.flags & FIN != 0 {
            flow.ended = true;
            flow.next_ack = packet.seq.wrapping_add(1);
            return vec![answer(FIN | ACK, flow.next_seq, flow.next_ack, Vec::new()).encode()];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if packet.seq != flow.next_ack {
            return match &flow.unacked {
                Some((reply, ..)) => vec![reply.encode()],
                None => vec![answer(ACK, flow.next_seq, flow.next_ack, Vec::new()).encode()],
            };
        }
        flow.next_ack = flow.next_ack.wrapping_add(u32::try_from(packet.data.len()).unwrap());
        let text = String::from_utf8_lossy(&packet.data);
        let request = text
            .lines()
            .find_map(|line| line.strip_prefix("Request-Id: "))
            .unwrap_or("")
            .to_owned();
        let at = self.shared.record.note(&format!(
            "host {} ({}) runs {request} of {} -> {}",
            self.ip, self.service, packet.src, packet.dst
        ));
        self.shared.runs.lock().unwrap().push(Run {
            at,
            request: request.clone(),
            service: self.service.clone(),
        });
        let body = format!("{request} run by {} of {}", self.ip, self.service);
        let data = format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.shared.id,
            body.len()
        );
        let reply = answer(ACK, flow.next_seq, flow.next_ack, data.into_bytes());
        flow.next_seq = flow.next_seq.wrapping_add(u32::try_from(reply.data.len()).unwrap());
        flow.unacked = Some((reply.clone(), Instant::now() + FIRST_INTERVAL, 0));
        vec![reply.encode()]
    }

    /// Whether the host holds an open flow of a client.
    pub fn holds(&self, client: SocketAddrV4) -> bool {
        self.shared
            .flows
            .lock()
            .unwrap()
            .get(&client)
            .is_some_and(|flow| flow.open && !flow.ended)
    }
}
