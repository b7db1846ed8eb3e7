//! Forwarding path of the balancer, between real sockets.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use dogwoodpitch::{
    balancer::forward::{Forwarder, Refusal},
    protocol::{
        cid::{self, Codec, Target},
        datagram::{self, Header, Kind},
        proxy,
    },
    state::{
        config::{Item, Snapshot},
        label,
        roster::{Node, Role},
        route::Table,
        service::{Id, Service},
    },
    transport::{
        runtime, time,
        udp::{Channel, Socket},
    },
};
use quickcheck::{Arbitrary, Gen};

const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const FRAME_KEY: datagram::Key = datagram::Key([7; 16]);
const CID_KEY: cid::Key = cid::Key {
    epoch: 1,
    secret: [9; 16],
};
const FORMER_CID_KEY: cid::Key = cid::Key {
    epoch: 0,
    secret: [8; 16],
};
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 4433);
const ORDER_BOARD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443);
const INTAKE_DESK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 443);
const NO_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3), 443);
const BOUND: Duration = Duration::from_secs(20);
const REVISION: u64 = 7;

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = runtime::open().expect("runtime");
    runtime.block_on(future)
}

fn bind() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind(ANY).expect("bind");
    socket.set_nonblocking(true).expect("nonblocking");
    match socket.local_addr().expect("address") {
        SocketAddr::V4(address) => (socket, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// A balancer with one agent for each of two services, a third agent in another data centre, and a fabric.
struct Bench {
    forwarder: Forwarder,
    ingress: SocketAddrV4,
    port: SocketAddrV4,
    fabric: UdpSocket,
    agents: Vec<(UdpSocket, SocketAddrV4)>,
    codec: Codec,
}

impl Bench {
    fn open() -> Self {
        let ingress = Socket::bind(ANY).expect("bind");
        let port = Channel::bind(ANY, FRAME_KEY).expect("bind");
        let codec = Codec::new(&[CID_KEY, FORMER_CID_KEY]);
        Self {
            ingress: ingress.local(),
            port: port.local(),
            forwarder: Forwarder::new(ingress, port, codec.clone()),
            fabric: bind().0,
            agents: (0..3).map(|_| bind()).collect(),
            codec,
        }
    }

    fn configured() -> Self {
        let bench = Self::open();
        let mut snapshot = Snapshot {
            revision: REVISION,
            ..Snapshot::default()
        };
        let item = |value| Item {
            revision: REVISION,
            value: Some(value),
        };
        for (id, name, address) in [(1, "order-board", ORDER_BOARD), (2, "intake-desk", INTAKE_DESK)] {
            let service = Service {
                id: Id(id),
                name: name.to_owned(),
                address,
            };
            snapshot.services.insert(name.to_owned(), item(service));
            let selector = format!("app={name}").parse().expect("selector");
            let selector = Item {
                revision: REVISION,
                value: Some(selector),
            };
            snapshot.selectors.insert(name.to_owned(), selector);
        }
        for (index, (_, address)) in bench.agents.iter().enumerate() {
            let name = format!("agent-{index}");
            let app = if index == 1 { "intake-desk" } else { "order-board" };
            let labels = label::Set(BTreeMap::from([("app".to_owned(), app.to_owned())]));
            let labels = Item {
                revision: REVISION,
                value: Some(labels),
            };
            snapshot.labels.insert(name.clone(), labels);
            snapshot.roster.insert(Node {
                name,
                role: Role::Agent,
                data_centre: if index == 2 { "rentis" } else { "egaleo" }.to_owned(),
                datagram: *address,
                peer: SocketAddr::V4(*address),
                http: SocketAddr::V4(*address),
                incarnation: 1,
            });
        }
        let agents = bench.agents.iter().map(|(_, address)| (*address, 1));
        bench.forwarder.set_table(Table::new(&snapshot, "egaleo", 0), agents);
        bench
    }

    fn target(&self, service: u16, agent: usize, incarnation: u32) -> Target {
        Target {
            service: Id(service),
            agent: self.agents[agent].1,
            incarnation,
        }
    }

    fn id(&self, service: u16, agent: usize) -> Vec<u8> {
        self.codec.seal(&self.target(service, agent, 1), [1, 2, 3]).to_vec()
    }

    async fn ingress(&self, datagram: &[u8]) {
        self.fabric.send_to(datagram, self.ingress).expect("send");
        let batch = time::timeout_at(Instant::now() + BOUND, self.forwarder.forward_ingress());
        batch.await.expect("datagram in time").expect("receive");
    }

    async fn packet(&self, service: SocketAddrV4, packet: &[u8]) {
        let header = proxy::Header {
            source: CALLER,
            destination: service,
        };
        self.ingress(&[&header.encode()[..], packet].concat()).await;
    }

    async fn frame(&self, agent: usize, header: &Header, payload: &[u8]) {
        let frame = [&FRAME_KEY.encode(header, payload)[..], payload].concat();
        self.agents[agent].0.send_to(&frame, self.port).expect("send");
        let batch = time::timeout_at(Instant::now() + BOUND, self.forwarder.forward_frames(|_, _| ()));
        batch.await.expect("frame in time").expect("receive");
    }

    /// Takes the frames that wait at the agents: agent, header, payload.
    fn delivered(&self) -> Vec<(usize, Header, Vec<u8>)> {
        let mut frames = Vec::new();
        let mut buffer = [0; 2048];
        for (index, (socket, _)) in self.agents.iter().enumerate() {
            while let Ok(len) = socket.recv(&mut buffer) {
                let (header, payload) = FRAME_KEY.decode(&buffer[..len]).expect("authentic frame");
                frames.push((index, header, payload.to_vec()));
            }
        }
        frames
    }

    fn returned(&self) -> Option<Vec<u8>> {
        let mut buffer = [0; 2048];
        let len = self.fabric.recv(&mut buffer).ok()?;
        Some(buffer[..len].to_vec())
    }
}

fn short(id: &[u8]) -> Vec<u8> {
    [&[0x40], id, &[0x55; 60]].concat()
}

fn long(kind: u8, version: u32, id: &[u8]) -> Vec<u8> {
    let len = u8::try_from(id.len()).expect("short ID");
    [&[0xc0 | kind << 4][..], &version.to_be_bytes(), &[len], id, &[0; 60]].concat()
}

/// Guards against packets of one service that reach another one, and against packets with IDs that no agent issued.
#[test]
fn packets_reach_only_the_agent_that_their_id_names() {
    run(async {
        let bench = Bench::configured();
        let own = bench.id(1, 0);
        let flip = |index: usize| {
            let mut id = own.clone();
            id[index] ^= 1;
            id
        };
        let foreign = [0xaa; 20];
        let former = Codec::new(&[FORMER_CID_KEY]).seal(&bench.target(1, 0, 1), [1, 2, 3]);
        let stale = bench.codec.seal(&bench.target(1, 0, 0), [1, 2, 3]);
        let cases = [
            ("established", ORDER_BOARD, short(&own), Ok(0)),
            (
                "older incarnation, which the agent judges",
                ORDER_BOARD,
                short(&stale),
                Ok(0),
            ),
            ("former epoch during a key change", ORDER_BOARD, short(&former), Ok(0)),
            ("handshake", ORDER_BOARD, long(2, 1, &own), Ok(0)),
            ("after a retry", ORDER_BOARD, long(0, 1, &bench.id(1, 2)), Ok(2)),
            ("other service", INTAKE_DESK, short(&bench.id(2, 1)), Ok(1)),
            ("wrong service", INTAKE_DESK, short(&own), Err(Refusal::WrongService)),
            (
                "wrong service in an Initial",
                INTAKE_DESK,
                long(0, 1, &own),
                Err(Refusal::WrongService),
            ),
            ("unknown address", NO_SERVICE, short(&own), Err(Refusal::NoService)),
            (
                "unknown address, new flow",
                NO_SERVICE,
                long(0, 1, &foreign),
                Err(Refusal::NoService),
            ),
            ("other epoch", ORDER_BOARD, short(&flip(0)), Err(Refusal::ForeignId)),
            (
                "unknown epoch",
                ORDER_BOARD,
                short(&[&[2], &own[1..]].concat()),
                Err(Refusal::ForeignId),
            ),
            ("changed nonce", ORDER_BOARD, short(&flip(2)), Err(Refusal::ForeignId)),
            ("changed block", ORDER_BOARD, short(&flip(19)), Err(Refusal::ForeignId)),
            (
                "foreign handshake",
                ORDER_BOARD,
                long(2, 1, &foreign),
                Err(Refusal::ForeignId),
            ),
            (
                "foreign version",
                ORDER_BOARD,
                long(0, 2, &foreign),
                Err(Refusal::ForeignId),
            ),
            ("new flow, 20 bytes", ORDER_BOARD, long(0, 1, &foreign), Ok(0)),
            ("new flow, 8 bytes", INTAKE_DESK, long(0, 1, &foreign[..8]), Ok(1)),
            (
                "truncated short header",
                ORDER_BOARD,
                short(&own)[..20].to_vec(),
                Err(Refusal::BadPacket),
            ),
            (
                "truncated long header",
                ORDER_BOARD,
                long(0, 1, &own)[..25].to_vec(),
                Err(Refusal::BadPacket),
            ),
            ("empty", ORDER_BOARD, Vec::new(), Err(Refusal::BadPacket)),
        ];
        for (name, service, packet, expected) in cases {
            let before = expected.map_or_else(|reason| bench.forwarder.dropped(reason), |_| 0);
            bench.packet(service, &packet).await;
            let frames = bench.delivered();
            match expected {
                Ok(agent) => {
                    let header = Header {
                        kind: Kind::Forward,
                        flags: 0,
                        service,
                        caller: CALLER,
                    };
                    assert_eq!(frames, [(agent, header, packet)], "{name}");
                }
                Err(reason) => {
                    assert_eq!(frames, [], "{name}");
                    assert_eq!(bench.forwarder.dropped(reason), before + 1, "{name}");
                }
            }
        }
    });
}

/// Guards against a balancer without configuration that cuts open flows, or that routes new ones by guesswork.
#[test]
fn open_flows_pass_without_configuration() {
    run(async {
        let bench = Bench::open();
        bench.packet(ORDER_BOARD, &short(&bench.id(1, 2))).await;
        assert_eq!(bench.delivered().len(), 1);
        bench.packet(ORDER_BOARD, &long(0, 1, &[0xaa; 8])).await;
        assert_eq!(bench.delivered(), []);
    });
}

/// Guards against returned packets that come from an address which is no service, and against lost probe payloads.
#[test]
fn frames_of_agents_are_returned_or_answered() {
    run(async {
        let bench = Bench::configured();
        let header = |service| Header {
            kind: Kind::Return,
            flags: 0,
            service,
            caller: CALLER,
        };
        bench
            .frame(0, &header(ORDER_BOARD), b"before any fabric is known")
            .await;
        assert_eq!(bench.returned(), None);
        bench.frame(0, &Header::control(Kind::Probe), b"too early").await;
        assert_eq!(bench.delivered(), []);
        bench.ingress(&proxy::LOCAL_HEADER).await;
        bench.frame(0, &header(ORDER_BOARD), b"answer").await;
        let route = proxy::Header {
            source: ORDER_BOARD,
            destination: CALLER,
        };
        let datagram = bench.returned().expect("returned packet");
        assert_eq!(proxy::Header::decode(&datagram), Some((route, &b"answer"[..])));
        bench.frame(0, &header(NO_SERVICE), b"answer").await;
        assert_eq!(bench.returned(), None);
        bench.frame(1, &Header::control(Kind::Probe), b"payload").await;
        let reply = Header::control(Kind::ProbeReply);
        assert_eq!(bench.delivered(), [(1, reply, b"payload".to_vec())]);
        bench.forwarder.drain();
        bench.frame(1, &Header::control(Kind::Probe), b"payload").await;
        assert_eq!(
            bench.delivered(),
            [],
            "a draining balancer is no choice for returned packets"
        );
        bench.frame(0, &header(ORDER_BOARD), b"late answer").await;
        assert!(bench.returned().is_some(), "a draining balancer still forwards");
    });
}

/// Guards against new flows that keep going to a silent agent, and against one that is never used again.
#[test]
fn new_flows_avoid_a_silent_agent_until_it_is_heard() {
    run(async {
        let bench = Bench::configured();
        let start = Instant::now();
        let new_flow = long(0, 1, &[0xaa; 8]);
        bench.packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(
            bench.delivered()[0].0,
            0,
            "the agent of the own data centre comes first"
        );
        // The calls of a minute, without the wait.
        for check in 0..1200 {
            bench.forwarder.check_agents(start + check * Duration::from_millis(50));
        }
        assert_eq!(bench.forwarder.suspected(), 1);
        bench.delivered();
        bench.packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(bench.delivered()[0].0, 2);
        bench.frame(0, &Header::control(Kind::ProbeReply), b"").await;
        assert_eq!(bench.forwarder.suspected(), 0);
        bench.packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(bench.delivered()[0].0, 0);
    });
}

/// Any bytes, many of them behind a valid header.
#[derive(Debug, Clone)]
struct Noise(Vec<u8>);

impl Arbitrary for Noise {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::arbitrary(g);
        if bool::arbitrary(g) {
            let header = proxy::Header {
                source: CALLER,
                destination: ORDER_BOARD,
            };
            bytes.splice(0..0, header.encode());
        }
        Self(bytes)
    }
}

quickcheck::quickcheck! {
    /// Guards against panics on random datagrams, and against random packets that are taken for established ones.
    fn random_datagrams_are_dropped(noise: Vec<Noise>) -> bool {
        run(async {
            let bench = Bench::open();
            for Noise(bytes) in &noise {
                bench.ingress(bytes).await;
                bench.agents[0].0.send_to(bytes, bench.port).expect("send");
                let batch = time::timeout_at(Instant::now() + BOUND, bench.forwarder.forward_frames(|_, _| ()));
                batch.await.expect("frame in time").expect("receive");
            }
            bench.delivered().is_empty() && bench.returned().is_none()
        })
    }
}
