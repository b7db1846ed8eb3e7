//! Forwarding between the fabric and the agents, over real sockets.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use dogwoodpitch::{
    balancer::forward::{Forwarder, Reason},
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

const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const FRAME_KEY: datagram::Key = datagram::Key([7; 16]);
const CID_KEY: cid::Key = cid::Key {
    epoch: 1,
    secret: [9; 16],
};
const OLD_CID_KEY: cid::Key = cid::Key {
    epoch: 0,
    secret: [8; 16],
};
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 4433);
const ORDER_BOARD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443);
const INTAKE_DESK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 443);
const NO_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3), 443);
const TIMEOUT: Duration = Duration::from_secs(20);
const REVISION: u64 = 7;

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = runtime::open().expect("runtime");
    runtime.block_on(future)
}

fn bind() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind(ANY_PORT).expect("bind");
    socket.set_nonblocking(true).expect("nonblocking");
    match socket.local_addr().expect("address") {
        SocketAddr::V4(address) => (socket, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// A balancer with one agent for each of two services, a third agent in another data centre, and a fabric.
struct Fixture {
    forwarder: Forwarder,
    ingress: SocketAddrV4,
    port: SocketAddrV4,
    fabric: UdpSocket,
    agents: Vec<(UdpSocket, SocketAddrV4)>,
    codec: Codec,
}

impl Fixture {
    fn open() -> Self {
        let ingress = Socket::bind(ANY_PORT).expect("bind");
        let port = Channel::bind(ANY_PORT, FRAME_KEY).expect("bind");
        let codec = Codec::new(&[CID_KEY, OLD_CID_KEY]);
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
        let fixture = Self::open();
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
        for (index, (_, address)) in fixture.agents.iter().enumerate() {
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
        let agents = fixture.agents.iter().map(|(_, address)| (*address, 1));
        fixture.forwarder.set_table(Table::new(&snapshot, "egaleo", 0), agents);
        fixture
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

    async fn send_ingress(&self, datagram: &[u8]) {
        self.fabric.send_to(datagram, self.ingress).expect("send");
        let batch = time::timeout_at(Instant::now() + TIMEOUT, self.forwarder.forward_ingress());
        batch.await.expect("datagram in time").expect("receive");
    }

    async fn send_packet(&self, service: SocketAddrV4, packet: &[u8]) {
        let header = proxy::Header {
            source: CALLER,
            destination: service,
        };
        self.send_ingress(&[&header.encode()[..], packet].concat()).await;
    }

    async fn send_frame(&self, agent: usize, header: &Header, payload: &[u8]) {
        let frame = [&FRAME_KEY.encode(header, payload)[..], payload].concat();
        self.agents[agent].0.send_to(&frame, self.port).expect("send");
        let batch = time::timeout_at(Instant::now() + TIMEOUT, self.forwarder.forward_frames(|_, _| ()));
        batch.await.expect("frame in time").expect("receive");
    }

    /// Receives the frames delivered to the agents: agent, header, payload.
    fn take_delivered(&self) -> Vec<(usize, Header, Vec<u8>)> {
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

    fn take_returned(&self) -> Option<Vec<u8>> {
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

/// Guards against packets that reach an agent of another service, and against forwarding of packets whose connection ID
/// was not issued by an agent.
#[test]
fn packets_reach_only_the_agent_that_their_id_names() {
    run(async {
        let fixture = Fixture::configured();
        let own = fixture.id(1, 0);
        let flip = |index: usize| {
            let mut id = own.clone();
            id[index] ^= 1;
            id
        };
        let foreign = [0xaa; 20];
        let old = Codec::new(&[OLD_CID_KEY]).seal(&fixture.target(1, 0, 1), [1, 2, 3]);
        let stale = fixture.codec.seal(&fixture.target(1, 0, 0), [1, 2, 3]);
        let cases = [
            ("established", ORDER_BOARD, short(&own), Ok(0)),
            (
                "older incarnation, which the agent judges",
                ORDER_BOARD,
                short(&stale),
                Ok(0),
            ),
            ("former epoch during a key change", ORDER_BOARD, short(&old), Ok(0)),
            ("handshake", ORDER_BOARD, long(2, 1, &own), Ok(0)),
            ("after a retry", ORDER_BOARD, long(0, 1, &fixture.id(1, 2)), Ok(2)),
            ("other service", INTAKE_DESK, short(&fixture.id(2, 1)), Ok(1)),
            ("wrong service", INTAKE_DESK, short(&own), Err(Reason::WrongService)),
            (
                "wrong service in an Initial",
                INTAKE_DESK,
                long(0, 1, &own),
                Err(Reason::WrongService),
            ),
            ("unknown address", NO_SERVICE, short(&own), Err(Reason::NoService)),
            (
                "unknown address, new flow",
                NO_SERVICE,
                long(0, 1, &foreign),
                Err(Reason::NoService),
            ),
            ("other epoch", ORDER_BOARD, short(&flip(0)), Err(Reason::ForeignId)),
            (
                "unknown epoch",
                ORDER_BOARD,
                short(&[&[2], &own[1..]].concat()),
                Err(Reason::ForeignId),
            ),
            ("changed nonce", ORDER_BOARD, short(&flip(2)), Err(Reason::ForeignId)),
            ("changed block", ORDER_BOARD, short(&flip(19)), Err(Reason::ForeignId)),
            (
                "foreign handshake",
                ORDER_BOARD,
                long(2, 1, &foreign),
                Err(Reason::ForeignId),
            ),
            (
                "foreign version",
                ORDER_BOARD,
                long(0, 2, &foreign),
                Err(Reason::ForeignId),
            ),
            ("new flow, 20 bytes", ORDER_BOARD, long(0, 1, &foreign), Ok(0)),
            ("new flow, 8 bytes", INTAKE_DESK, long(0, 1, &foreign[..8]), Ok(1)),
            (
                "truncated short header",
                ORDER_BOARD,
                short(&own)[..20].to_vec(),
                Err(Reason::BadPacket),
            ),
            (
                "truncated long header",
                ORDER_BOARD,
                long(0, 1, &own)[..25].to_vec(),
                Err(Reason::BadPacket),
            ),
            ("empty", ORDER_BOARD, Vec::new(), Err(Reason::BadPacket)),
        ];
        for (name, service, packet, expected) in cases {
            let before = expected.map_or_else(|reason| fixture.forwarder.dropped(reason), |_| 0);
            fixture.send_packet(service, &packet).await;
            let frames = fixture.take_delivered();
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
                    assert_eq!(fixture.forwarder.dropped(reason), before + 1, "{name}");
                }
            }
        }
    });
}

/// Guards against a balancer without a configuration that drops packets of open flows or routes new flows.
#[test]
fn open_flows_pass_without_configuration() {
    run(async {
        let fixture = Fixture::open();
        fixture.send_packet(ORDER_BOARD, &short(&fixture.id(1, 2))).await;
        assert_eq!(fixture.take_delivered().len(), 1);
        fixture.send_packet(ORDER_BOARD, &long(0, 1, &[0xaa; 8])).await;
        assert_eq!(fixture.take_delivered(), []);
    });
}

/// Guards against returned packets whose source address belongs to no service, and against probe replies without the
/// payload of the probe.
#[test]
fn frames_of_agents_are_returned_or_answered() {
    run(async {
        let fixture = Fixture::configured();
        let header = |service| Header {
            kind: Kind::Return,
            flags: 0,
            service,
            caller: CALLER,
        };
        fixture
            .send_frame(0, &header(ORDER_BOARD), b"before any fabric is known")
            .await;
        assert_eq!(fixture.take_returned(), None);
        fixture.send_frame(0, &Header::control(Kind::Probe), b"too early").await;
        assert_eq!(fixture.take_delivered(), []);
        fixture.send_ingress(&proxy::LOCAL_HEADER).await;
        fixture.send_frame(0, &header(ORDER_BOARD), b"answer").await;
        let route = proxy::Header {
            source: ORDER_BOARD,
            destination: CALLER,
        };
        let datagram = fixture.take_returned().expect("returned packet");
        assert_eq!(proxy::Header::decode(&datagram), Some((route, &b"answer"[..])));
        fixture.send_frame(0, &header(NO_SERVICE), b"answer").await;
        assert_eq!(fixture.take_returned(), None);
        fixture.send_frame(1, &Header::control(Kind::Probe), b"payload").await;
        let reply = Header::control(Kind::ProbeReply);
        assert_eq!(fixture.take_delivered(), [(1, reply, b"payload".to_vec())]);
        fixture.forwarder.drain();
        fixture.send_frame(1, &Header::control(Kind::Probe), b"payload").await;
        assert_eq!(
            fixture.take_delivered(),
            [],
            "a draining balancer is no choice for returned packets"
        );
        fixture.send_frame(0, &header(ORDER_BOARD), b"late answer").await;
        assert!(fixture.take_returned().is_some(), "a draining balancer still forwards");
    });
}

/// Guards against new flows that keep going to a silent agent, and against an agent that gets no flows after it is heard
/// again.
#[test]
fn new_flows_avoid_a_silent_agent_until_it_is_heard() {
    run(async {
        let fixture = Fixture::configured();
        let start = Instant::now();
        let new_flow = long(0, 1, &[0xaa; 8]);
        fixture.send_packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(
            fixture.take_delivered()[0].0,
            0,
            "the agent of the own data centre comes first"
        );
        // Simulates one minute of checks.
        for check in 0..1200 {
            fixture
                .forwarder
                .check_agents(start + check * Duration::from_millis(50));
        }
        assert_eq!(fixture.forwarder.suspected_agents(), 1);
        fixture.take_delivered();
        fixture.send_packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(fixture.take_delivered()[0].0, 2);
        fixture.send_frame(0, &Header::control(Kind::ProbeReply), b"").await;
        assert_eq!(fixture.forwarder.suspected_agents(), 0);
        fixture.send_packet(ORDER_BOARD, &new_flow).await;
        assert_eq!(fixture.take_delivered()[0].0, 0);
    });
}

/// Random bytes, half of the time behind a valid PROXY protocol header.
#[derive(Debug, Clone)]
struct Datagram(Vec<u8>);

impl Arbitrary for Datagram {
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
    /// Guards against panics on random datagrams, and against random datagrams that are forwarded as packets of open flows.
    fn random_datagrams_are_dropped(datagrams: Vec<Datagram>) -> bool {
        run(async {
            let fixture = Fixture::open();
            for Datagram(bytes) in &datagrams {
                fixture.send_ingress(bytes).await;
                fixture.agents[0].0.send_to(bytes, fixture.port).expect("send");
                let batch = time::timeout_at(Instant::now() + TIMEOUT, fixture.forwarder.forward_frames(|_, _| ()));
                batch.await.expect("frame in time").expect("receive");
            }
            fixture.take_delivered().is_empty() && fixture.take_returned().is_none()
        })
    }
}
