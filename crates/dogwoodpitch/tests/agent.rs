//! Routing and placement decisions of an agent, and an agent between a minimal balancer and a minimal backend server.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    agent::{
        Handle, backend,
        flow::{self, Addresses, Misroute},
        return_path::Balancers,
    },
    caller::{self, Session, Settings},
    coordination::config::Replica,
    protocol::{
        cid::{Codec, Key, Target},
        code::Code,
        datagram::{self, Header},
        peer::Message,
        request::{Head, Id as RequestId, Kind},
        settings::{self, Certificate, IdKey, Keys, Pem, Policy, Secret},
    },
    state::{
        config::{Item, Snapshot},
        label::Set,
        roster::{Node, Role},
        service::{Id, Service},
    },
    transport::{
        http::{self, Body},
        quic::Relay,
        runtime, time,
        udp::Channel,
        websocket::Link,
    },
};
use http_body_util::{BodyExt, channel};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};

const SERVICE: &str = "order-board";
const CLUSTER_KEY: [u8; 32] = [7; 32];
const FRAME_KEY: datagram::Key = datagram::Key([8; 16]);
const OTHER_AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2);
const LOCAL_AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

fn run<F: Future<Output = ()> + 'static>(test: F) {
    let mut runtime = runtime::open().expect("a runtime starts");
    runtime.block_on(async {
        time::timeout_at(Instant::now() + Duration::from_mins(1), test)
            .await
            .expect("the test ends in time");
    });
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        time::sleep_until(Instant::now() + Duration::from_millis(10)).await;
    }
}

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

struct Services;

impl Addresses for Services {
    fn address(&self, service: Id) -> Option<SocketAddrV4> {
        [(Id(1), address(101)), (Id(2), address(102))]
            .into_iter()
            .find_map(|(id, address)| (id == service).then_some(address))
    }

    fn at(&self, at: SocketAddrV4) -> Option<Id> {
        [Id(1), Id(2)].into_iter().find(|id| self.address(*id) == Some(at))
    }
}

/// Guards against packets that reach the endpoint of another service, and against resets of connections that belong to a
/// newer incarnation of the agent.
#[test]
fn misrouted_packets_are_dropped() {
    let codec = Codec::new(&[Key {
        epoch: 1,
        secret: [3; 16],
    }]);
    let short = |service: u16, agent: SocketAddrV4, incarnation: u32| {
        let target = Target {
            service: Id(service),
            agent,
            incarnation,
        };
        let mut packet = vec![0x40];
        packet.extend_from_slice(&codec.seal(&target, [1, 2, 3]));
        packet.extend_from_slice(&[0; 30]);
        packet
    };
    let long = |first: u8| {
        let mut packet = vec![first, 0, 0, 0, 1, 8];
        packet.extend_from_slice(&[9; 40]);
        packet
    };
    let cases = [
        (short(1, LOCAL_AGENT, 50), 101, Ok(Id(1))),
        (short(1, LOCAL_AGENT, 49), 101, Ok(Id(1))),
        (short(2, LOCAL_AGENT, 50), 102, Ok(Id(2))),
        (short(1, LOCAL_AGENT, 50), 102, Err(Misroute::WrongService)),
        (short(1, LOCAL_AGENT, 50), 999, Err(Misroute::WrongService)),
        (short(3, LOCAL_AGENT, 50), 101, Err(Misroute::UnknownService)),
        (short(1, OTHER_AGENT, 50), 101, Err(Misroute::OtherAgent)),
        (short(1, LOCAL_AGENT, 51), 101, Err(Misroute::NewerIncarnation)),
        (vec![0x40; 51], 101, Err(Misroute::UnknownId)),
        (vec![0x40, 1, 2], 101, Err(Misroute::UnknownId)),
        (Vec::new(), 101, Err(Misroute::UnknownId)),
        (long(0xc0), 101, Ok(Id(1))),
        (long(0xc0), 999, Err(Misroute::UnknownService)),
        (long(0xe0), 101, Err(Misroute::UnknownId)),
    ];
    for (index, (packet, port, expected)) in cases.into_iter().enumerate() {
        let routed = flow::route(&codec, (LOCAL_AGENT, 50), &Services, address(port), &packet);
        assert_eq!(routed, expected, "case {index}");
    }
}

/// Guards against a reply that says "not run" for a request that may have run.
#[test]
fn only_a_marked_refusal_is_not_run() {
    let cases = [
        (StatusCode::OK, false, Code::OK),
        (StatusCode::CREATED, true, Code::OK),
        (StatusCode::SERVICE_UNAVAILABLE, true, Code::REFUSED),
        (StatusCode::SERVICE_UNAVAILABLE, false, Code::BACKEND_ERROR),
        (StatusCode::INTERNAL_SERVER_ERROR, true, Code::BACKEND_ERROR),
        (StatusCode::NOT_FOUND, false, Code::BACKEND_ERROR),
    ];
    for (status, marked, expected) in cases {
        assert_eq!(
            backend::result_code(status, marked, false),
            expected,
            "{status} {marked}"
        );
    }
    assert_eq!(
        backend::result_code(StatusCode::SERVICE_UNAVAILABLE, true, true),
        Code::DRAINING
    );
    let error = |sent| backend::Error {
        sent,
        detail: String::new(),
    };
    assert!(error(false).reply().code.is_not_run());
    assert!(error(true).reply().code.is_unknown());
}

/// Guards against a flow that keeps using a dead balancer, and against one that leaves a live balancer without need.
#[test]
fn silent_flows_rotate_over_live_balancers() {
    let balancers = Balancers::default();
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    for port in 1..=3 {
        balancers.record_balancer(address(port), at(0));
    }
    let relay = Cell::new(Relay {
        address: Some(address(2)),
        received: Some(at(0)),
        sent: None,
    });
    let choose = |ms| balancers.choose(&relay, at(ms)).map(|choice| choice.port());
    // Acknowledged traffic and the first datagram after an idle period keep the balancer.
    assert_eq!(choose(10), Some(2));
    assert_eq!(choose(200), Some(2));
    // Silence after a datagram selects the next live balancer each time.
    assert_eq!([choose(300), choose(301), choose(302)], [Some(3), Some(1), Some(2)]);
    // A received packet ends the rotation.
    relay.set(Relay {
        address: Some(address(1)),
        received: Some(at(2000)),
        sent: None,
    });
    assert_eq!(balancers.choose(&relay, at(2400)), Some(address(1)));
    // A balancer that is not alive is replaced at once, and another one that is not alive is not chosen.
    balancers.record_balancer(address(3), at(2000));
    assert_eq!(balancers.choose(&relay, at(2600)), Some(address(3)));
    assert_eq!(balancers.choose(&relay, at(2601)), Some(address(3)));
    assert_eq!(balancers.live_count(at(2600)), 1);
    balancers.prune(at(9000));
    // Without any live balancer the flow stays with the last one.
    assert_eq!(balancers.choose(&relay, at(9000)), Some(address(3)));
    assert_eq!(balancers.choose(&Cell::default(), at(9000)), None);
}

/// Requests that the backend server has received, and switches for its behaviour.
#[derive(Default)]
struct State {
    /// Path of each request that arrived.
    started: RefCell<Vec<String>>,
    /// Length of each body that arrived completely.
    complete_bodies: RefCell<Vec<u64>>,
    broken_bodies: Cell<usize>,
    draining: Cell<bool>,
    /// While this is set, the server neither reads bodies nor answers requests.
    paused: Cell<bool>,
    /// Open feeds; a third one is refused.
    feeds: RefCell<Vec<channel::Sender<Bytes, io::Error>>>,
    refused_feeds: Cell<u64>,
}

fn open_feed(backend: &State) -> Response<Body> {
    let mut feeds = backend.feeds.borrow_mut();
    if feeds.len() == 2 {
        backend.refused_feeds.set(backend.refused_feeds.get() + 1);
        return http::response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "no more feeds");
    }
    let (sender, body) = channel::Channel::new(1);
    feeds.push(sender);
    Response::new(body.boxed_unsync())
}

/// Sends an event on the feed that was opened last.
async fn send_event(backend: &State, position: u64) {
    let event = serde_json::json!({ "position": position, "payload": "" });
    let mut feed = backend.feeds.borrow_mut().pop().expect("an open feed");
    feed.send_data(format!("{event}\n").into())
        .await
        .expect("the feed is open");
    backend.feeds.borrow_mut().push(feed);
}

/// Counts a body as broken when it is dropped.
struct Guard(Rc<State>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.broken_bodies.set(self.0.broken_bodies.get() + 1);
    }
}

async fn answer(backend: Rc<State>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path == "/health" {
        let status = if backend.draining.get() { "draining" } else { "ok" };
        return http::json_response(StatusCode::OK, &serde_json::json!({ "status": status }));
    }
    if path == "/feed" {
        return open_feed(&backend);
    }
    if request.method() == Method::GET {
        let load = serde_json::json!({"slots_total": 2, "slots_busy": 0, "connections": 0});
        return http::json_response(StatusCode::OK, &load);
    }
    backend.started.borrow_mut().push(path);
    // The HTTP server drops this future when the connection breaks.
    let guard = Guard(Rc::clone(&backend));
    let mut body = request.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return http::response(StatusCode::BAD_REQUEST, "text/plain", "broken body");
        };
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        wait_until(|| !backend.paused.get()).await;
    }
    std::mem::forget(guard);
    backend.complete_bodies.borrow_mut().push(bytes.len() as u64);
    wait_until(|| !backend.paused.get()).await;
    match &bytes[..] {
        b"error" => http::response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed"),
        b"refuse" => {
            let mut response = http::response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no slot");
            let headers = response.headers_mut();
            headers.insert("x-not-run", HeaderValue::from_static("true"));
            response
        }
        _ => http::response(StatusCode::OK, "text/plain", bytes),
    }
}

/// An agent with a backend server and one balancer.
struct Fixture {
    agent: Handle,
    backend: Rc<State>,
    service: SocketAddrV4,
    peer: SocketAddr,
    roots: String,
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn free_udp() -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    match socket.local_addr().expect("an address") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("the socket is IPv4"),
    }
}

impl Fixture {
    fn open() -> Self {
        let backend = Rc::new(State::default());
        let backend_address = free_tcp();
        let listener = monoio::net::TcpListener::bind(backend_address).expect("the backend server listens");
        let state = Rc::clone(&backend);
        monoio::spawn(http::serve(listener, http::IDLE_TIMEOUT, move |_peer, request| {
            answer(Rc::clone(&state), request)
        }));
        let certificate = rcgen::generate_simple_self_signed(vec![SERVICE.to_owned()]).expect("a certificate");
        let service = free_udp();
        let settings = settings::Agent {
            node: settings::Node {
                name: "agent".to_owned(),
                data_centre: "rentis".to_owned(),
                datagram: free_udp(),
                peer: free_tcp(),
                http: free_tcp(),
                store: Vec::new(),
                seeds: Vec::new(),
                keys: Keys {
                    connection_id: vec![IdKey {
                        epoch: 1,
                        secret: Secret([3; 16]),
                    }],
                    frame: Secret(FRAME_KEY.0),
                    cluster: Secret(CLUSTER_KEY),
                },
                log: "info".to_owned(),
                stop_timeout_ms: 20_000,
            },
            backend: settings::Backend {
                address: backend_address,
                slots: 2,
                connections: 10,
            },
            certificates: vec![Certificate {
                service: SERVICE.to_owned(),
                certificate: certificate.cert.pem(),
                key: Pem(certificate.signing_key.serialize_pem()),
            }],
            token: Secret([5; 32]),
            reset: Secret([6; 32]),
            policy: Policy::Product,
        };
        let node = &settings.node;
        let own = Node {
            name: node.name.clone(),
            role: Role::Agent,
            data_centre: node.data_centre.clone(),
            datagram: node.datagram,
            peer: node.peer,
            http: node.http,
            incarnation: 1,
        };
        let port = Channel::bind(node.datagram, FRAME_KEY).expect("the agent's port");
        let (datagram, peer) = (node.datagram, node.peer);
        let sync = Replica::from_snapshot(own, snapshot(service));
        let agent = Handle::open(settings, &sync, port).expect("the agent opens");
        forward(service, datagram);
        Self {
            agent,
            backend,
            service,
            peer,
            roots: certificate.cert.pem(),
        }
    }

    fn session(&self) -> Session {
        Session::open(Settings {
            service: SERVICE.to_owned(),
            address: self.service,
            local: Ipv4Addr::LOCALHOST,
            roots: self.roots.clone(),
            keepalive_ms: 500,
            silence_ms: 5_000,
        })
    }
}

fn snapshot(address: SocketAddrV4) -> Snapshot {
    let mut snapshot = Snapshot {
        revision: 1,
        ..Snapshot::default()
    };
    let labels = Set([("service".to_owned(), SERVICE.to_owned())].into());
    let selector = format!("service={SERVICE}").parse().expect("a valid selector");
    let service = Service {
        id: Id(1),
        name: SERVICE.to_owned(),
        address,
    };
    snapshot.services.insert(SERVICE.to_owned(), item(service));
    snapshot.selectors.insert(SERVICE.to_owned(), item(selector));
    snapshot.labels.insert("agent".to_owned(), item(labels));
    snapshot
}

fn item<T>(value: T) -> Item<T> {
    Item {
        revision: 1,
        value: Some(value),
    }
}

/// Runs a balancer without a fabric, which forwards packets between the service address and the agent.
fn forward(service: SocketAddrV4, agent: SocketAddrV4) {
    let socket = UdpSocket::bind(service).expect("the service address");
    socket.set_nonblocking(true).expect("a nonblocking socket");
    let back = socket.try_clone().expect("a second handle");
    let port = Channel::bind(free_udp(), FRAME_KEY).expect("the balancer's port");
    let output = port.clone();
    monoio::spawn(async move {
        let socket = monoio::net::udp::UdpSocket::from_std(socket).expect("a socket of the runtime");
        let mut buffer = vec![0; 2048];
        loop {
            let (result, returned) = socket.recv_from(buffer).await;
            buffer = returned;
            let Ok((len, SocketAddr::V4(caller))) = result else {
                continue;
            };
            let header = Header {
                kind: datagram::Kind::Forward,
                flags: 0,
                service,
                caller,
            };
            output.send(agent, &header, &buffer[..len]);
            output.flush();
        }
    });
    monoio::spawn(async move {
        let handle = |_from, header: Header, payload: &[u8]| {
            assert_eq!(header.kind, datagram::Kind::Return);
            assert_eq!(header.service, service);
            let _ = back.send_to(payload, header.caller);
        };
        while port.recv(handle).await.is_ok() {}
    });
}

fn request(id: u8, body: impl Into<Bytes>) -> caller::Request {
    caller::Request {
        id: RequestId([id; 16]),
        class: "reservation".to_owned(),
        idempotent: false,
        deadline: Instant::now() + Duration::from_secs(30),
        body: body.into(),
    }
}

/// Guards against lost or mixed-up answers, and against wrong result codes on the path from caller to backend server.
#[test]
fn requests_and_uploads_get_their_answers() {
    run(async {
        let fixture = Fixture::open();
        let session = fixture.session();
        let answer = session.request(request(1, "hello")).await;
        assert_eq!((answer.code, &answer.body[..]), (Code::OK, &b"hello"[..]));
        let answer = session.request(request(2, "error")).await;
        assert_eq!((answer.code, &answer.body[..]), (Code::BACKEND_ERROR, &b"failed"[..]));
        let body: Vec<u8> = (0..3_000_000_u32).map(|at| at.to_le_bytes()[1]).collect();
        let answer = session.upload(request(3, body.clone())).await;
        assert_eq!(answer.code, Code::OK);
        assert!(answer.body == body, "the upload came back changed");
        let mut refused = request(4, "refuse");
        refused.deadline = Instant::now() + Duration::from_secs(2);
        assert!(session.request(refused).await.code.is_not_run());
        assert_eq!(fixture.agent.connections(), 1);
    });
}

/// Guards against a cancelled upload whose truncated body looks complete to the backend server.
#[test]
fn a_cancelled_upload_never_looks_complete() {
    run(async {
        let fixture = Fixture::open();
        let session = fixture.session();
        fixture.backend.paused.set(true);
        {
            let mut upload = std::pin::pin!(session.upload(request(1, vec![1; 60_000_000])));
            let started = wait_until(|| !fixture.backend.started.borrow().is_empty());
            monoio::select! {
                _ = &mut upload => panic!("the upload cannot end yet"),
                () = started => {}
            }
        }
        fixture.backend.paused.set(false);
        wait_until(|| fixture.backend.broken_bodies.get() == 1).await;
        assert!(fixture.backend.complete_bodies.borrow().is_empty());
    });
}

/// Guards against a request that runs twice because its offer was withdrawn after the peer had admitted it.
#[test]
fn an_abandoned_offer_does_not_run() {
    run(async {
        let fixture = Fixture::open();
        let head = |id: u8| Head {
            id: RequestId([id; 16]),
            kind: Kind::Request,
            class: "reservation".to_owned(),
            idempotent: false,
            timeout_ms: 30_000,
            position: 0,
            length: None,
        };
        let offer = |id: u8| Message::Run {
            service: Id(1),
            caller: "caller".to_owned(),
            head: head(id),
        };
        let deadline = Instant::now() + Duration::from_secs(30);
        let mut abandoned = Link::connect(fixture.peer, &CLUSTER_KEY, "peer", deadline)
            .await
            .expect("a link");
        let mut link = Link::connect(fixture.peer, &CLUSTER_KEY, "peer", deadline)
            .await
            .expect("a link");
        abandoned.send(&offer(1)).await.expect("an offer");
        assert_eq!(abandoned.recv::<Message>().await.expect("an answer"), Message::Admitted);
        drop(abandoned);
        // Both slots become free again once the abandoned offer is dropped.
        for id in 2..4 {
            link.send(&offer(id)).await.expect("an offer");
            assert_eq!(link.recv::<Message>().await.expect("an answer"), Message::Admitted);
            link.send(&Message::Body("hello".into())).await.expect("a body");
            link.send(&Message::BodyEnd).await.expect("an end");
            let Message::Reply(reply) = link.recv().await.expect("a reply") else {
                panic!("expected a reply")
            };
            assert_eq!(reply.code, Code::OK);
            assert_eq!(
                link.recv::<Message>().await.expect("a body"),
                Message::Body("hello".into())
            );
            assert_eq!(link.recv::<Message>().await.expect("an end"), Message::End);
        }
        let ids: Vec<String> = [2_u8, 3].map(|id| format!("/requests/{}", RequestId([id; 16]))).into();
        assert_eq!(*fixture.backend.started.borrow(), ids);
    });
}

/// Guards against a stop that interrupts a running request or admits a new one.
#[test]
fn a_stop_finishes_running_requests_and_takes_no_new_ones() {
    run(async {
        let fixture = Fixture::open();
        fixture.backend.paused.set(true);
        let session = fixture.session();
        let running = monoio::spawn({
            let session = session.clone();
            async move { session.request(request(1, "running")).await }
        });
        wait_until(|| !fixture.backend.started.borrow().is_empty()).await;
        let stopped = monoio::spawn(fixture.agent.clone().stop());
        let mut refused = request(2, "late");
        refused.deadline = Instant::now() + Duration::from_secs(1);
        assert!(session.request(refused).await.code.is_not_run());
        fixture.backend.paused.set(false);
        assert_eq!(running.await.code, Code::OK);
        assert_eq!(fixture.backend.started.borrow().len(), 1);
        drop(session);
        stopped.await;
    });
}

/// Guards against requests that reach a draining backend server, and against an agent that stays closed after the drain.
#[test]
fn a_draining_backend_server_gets_no_new_work() {
    run(async {
        let fixture = Fixture::open();
        let session = fixture.session();
        assert_eq!(session.request(request(1, "before")).await.code, Code::OK);
        fixture.backend.draining.set(true);
        let mut refusals = 0;
        while refusals == 0 {
            let mut late = request(2, "late");
            late.deadline = Instant::now() + Duration::from_millis(500);
            let answer = session.request(late).await;
            refusals += u32::from(answer.code.is_not_run());
        }
        let before = fixture.backend.started.borrow().len();
        let mut late = request(3, "late");
        late.deadline = Instant::now() + Duration::from_millis(500);
        assert!(session.request(late).await.code.is_not_run());
        assert_eq!(fixture.backend.started.borrow().len(), before);
        fixture.backend.draining.set(false);
        loop {
            let mut again = request(4, "again");
            again.deadline = Instant::now() + Duration::from_secs(1);
            if fixture.session().request(again).await.code == Code::OK {
                break;
            }
        }
    });
}

/// A feed whose connection to the backend server went silent stayed open for good, and its caller heard of no further event. One
/// that may just have no news must not be given up for it.
#[test]
fn a_silent_feed_is_opened_again_and_kept_until_then() {
    run(async {
        let fixture = Fixture::open();
        let backend = Rc::clone(&fixture.backend);
        let mut feed = fixture.session().feed(0);
        let events = monoio::spawn(async move {
            let mut positions = Vec::new();
            while positions.len() < 3 {
                positions.push(feed.next().await.position);
            }
            positions
        });
        wait_until(|| backend.feeds.borrow().len() == 1).await;
        send_event(&backend, 1).await;
        wait_until(|| backend.feeds.borrow().len() == 2).await;
        send_event(&backend, 2).await;
        wait_until(|| backend.refused_feeds.get() > 0).await;
        send_event(&backend, 3).await;
        assert_eq!(events.await, [1, 2, 3]);
    });
}
