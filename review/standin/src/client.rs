//! Client (`PROTOCOL.md`, Flows) and the routers in front of it (Ingress).

use std::{
    hash::{DefaultHasher, Hasher},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN, Sum, random},
    ports,
    record::Record,
};

/// Largest distance of a reset of the system from the client's last acknowledgment.
const WINDOW: u32 = 76_800;

/// The platform's routers.
#[derive(Clone)]
pub struct Router(Arc<Mutex<Vec<Front>>>);

struct Front {
    ip: Ipv4Addr,
    zone: u8,
    misses: u32,
}

impl Router {
    pub fn spawn() -> Self {
        let router = Self(Arc::default());
        let polled = router.clone();
        thread::spawn(move || {
            loop {
                let fronts: Vec<_> = polled.0.lock().unwrap().iter().map(|front| front.ip).collect();
                for ip in fronts {
                    let ready = is_ready(ip);
                    let mut fronts = polled.0.lock().unwrap();
                    if let Some(front) = fronts.iter_mut().find(|front| front.ip == ip) {
                        front.misses = if ready { 0 } else { front.misses + 1 };
                    }
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        router
    }

    /// Adds a front node, which is in rotation once it answers with 200.
    pub fn add(&self, ip: Ipv4Addr, zone: u8) {
        self.0.lock().unwrap().push(Front { ip, zone, misses: 2 });
    }

    pub fn in_rotation(&self) -> usize {
        self.0.lock().unwrap().iter().filter(|front| front.misses < 2).count()
    }

    fn choose(&self, zone: u8, packet: &Packet) -> Option<Ipv4Addr> {
        let fronts = self.0.lock().unwrap();
        let all: Vec<_> = fronts.iter().filter(|front| front.zone == zone).collect();
        let mut ready: Vec<_> = all.iter().filter(|front| front.misses < 2).copied().collect();
        if ready.is_empty() {
            ready = fronts.iter().filter(|front| front.misses < 2).collect();
        } else if 2 * ready.len() < all.len() {
            ready = all;
        }
        if ready.is_empty() {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        for end in [packet.src, packet.dst] {
            hasher.write(&end.ip().octets());
            hasher.write_u16(end.port());
        }
        let index = (hasher.finish() >> 33) as usize % ready.len();
        Some(ready[index].ip)
    }
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::from((ip, ports::READY)), limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    let mut reply = [0; 12];
    stream.read_exact(&mut reply).is_ok() && reply.ends_with(b"200")
}

/// Why a try ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The system has reset the flow.
    ResetBySystem,
    /// The host has reset the flow.
    ResetByHost,
    Silence,
}

pub struct Client {
    pub ip: Ipv4Addr,
    zone: u8,
    socket: UdpSocket,
    router: Router,
    record: Record,
    next_port: u16,
}

pub struct Flow {
    pub end: SocketAddrV4,
    pub service: SocketAddrV4,
    next_seq: u32,
    next_ack: u32,
}

impl Client {
    pub fn bind(ip: Ipv4Addr, zone: u8, router: &Router, record: &Record) -> Self {
        let socket = UdpSocket::bind((ip, ports::PACKETS)).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
        Self {
            ip,
            zone,
            socket,
            router: router.clone(),
            record: record.clone(),
            next_port: 10_000,
        }
    }

    fn send(&self, packet: &Packet) {
        if let Some(front) = self.router.choose(self.zone, packet) {
            let _ = self.socket.send_to(&packet.encode(), (front, ports::PACKETS));
        }
    }

    /// Waits for a packet of the flow until a time.
    fn receive(&self, end: SocketAddrV4, until: Instant) -> Option<(Packet, Sum)> {
        let mut buffer = [0; 2_048];
        while Instant::now() < until {
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer)
                && let Some((packet, sum)) = Packet::decode(&buffer[..len])
                && packet.dst == end
            {
                return Some((packet, sum));
            }
        }
        None
    }

    /// Opens a flow: a SYN, and copies after 200 and 600 ms; the try ends after 1.4 s.
    pub fn open(&mut self, service: SocketAddrV4) -> Result<Flow, End> {
        self.next_port += 1;
        let end = SocketAddrV4::new(self.ip, self.next_port);
        let first = random();
        let start = Instant::now();
        for (copy, next_ms) in [(0, 200), (1, 600), (2, 1_400)] {
            self.send(&Packet {
                src: end,
                dst: service,
                flags: SYN,
                seq: first,
                ack: copy,
                data: Vec::new(),
            });
            let until = start + Duration::from_millis(next_ms);
            while let Some((packet, sum)) = self.receive(end, until) {
                if packet.flags & RST != 0 {
                    return Err(if sum == Sum::Zero {
                        End::ResetBySystem
                    } else {
                        End::ResetByHost
                    });
                }
                if packet.flags & SYN != 0 && sum == Sum::Valid && packet.ack == first.wrapping_add(1) {
                    let flow = Flow {
                        end,
                        service,
                        next_seq: packet.ack,
                        next_ack: packet.seq.wrapping_add(1),
                    };
                    self.send(&flow.packet(ACK, Vec::new()));
                    return Ok(flow);
                }
            }
        }
        Err(End::Silence)
    }

    /// Sends one request and waits for its answer. Returns the answer.
    pub fn request(&self, flow: &mut Flow, id: &str, deadline: Duration) -> Result<String, End> {
        let request = format!("GET /feed HTTP/1.1\r\nHost: service\r\nRequest-Id: {id}\r\n\r\n");
        let packet = flow.packet(ACK, request.into_bytes());
        flow.next_seq = flow.next_seq.wrapping_add(u32::try_from(packet.data.len()).unwrap());
        let deadline = Instant::now() + deadline;
        let mut interval = Duration::from_millis(200);
        while Instant::now() < deadline {
            self.send(&packet);
            let until = (Instant::now() + interval).min(deadline);
            while let Some((reply, sum)) = self.receive(flow.end, until) {
                if reply.flags & RST != 0 {
                    let distance = reply.seq.wrapping_sub(flow.next_ack);
                    if sum == Sum::Zero && distance.min(distance.wrapping_neg()) > WINDOW {
                        continue;
                    }
                    return Err(if sum == Sum::Zero {
                        End::ResetBySystem
                    } else {
                        End::ResetByHost
                    });
                }
                if sum != Sum::Valid {
                    self.record.note(&format!(
                        "client {} got a packet that nobody wrote so: {reply:?}",
                        flow.end
                    ));
                    continue;
                }
                if reply.data.is_empty() || reply.seq != flow.next_ack {
                    continue;
                }
                flow.next_ack = flow.next_ack.wrapping_add(u32::try_from(reply.data.len()).unwrap());
                self.send(&flow.packet(ACK, Vec::new()));
                return Ok(String::from_utf8_lossy(&reply.data).into_owned());
            }
            interval = (interval * 2).min(Duration::from_millis(1_600));
        }
        Err(End::Silence)
    }

    pub fn close(&self, flow: &Flow) {
        self.send(&flow.packet(FIN | ACK, Vec::new()));
    }
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            src: self.end,
            dst: self.service,
            flags,
            seq: self.next_seq,
            ack: self.next_ack,
            data,
        }
    }
}
