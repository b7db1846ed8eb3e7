//! Admission control, load exchange and hand-over of requests between agents, on the async runtime.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashSet},
    future::pending,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    coordination::{
        admission::{Controller, Permit},
        config::Replica,
        exchange::Exchange,
        peer,
    },
    protocol::{
        code::Code,
        datagram::{Key, Kind as Frame},
        peer::{Message, Report},
        request::{self, Head, Id as RequestId, Kind, Reply},
        settings::Policy,
    },
    state::{
        config::{Item, Snapshot},
        label,
        load::Load,
        roster::{Node, Role, Roster},
        service::{Id, Service},
    },
    transport::{runtime, time, udp::Channel, websocket::Link},
};
use futures_util::future::join_all;

const KEY: [u8; 32] = [9; 32];
const SERVICE: Id = Id(1);
const BOUND: Duration = Duration::from_secs(30);

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = runtime::open().expect("runtime");
    runtime.block_on(future)
}

fn deadline() -> Instant {
    Instant::now() + BOUND
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < end, "not reached: {what}");
        time::sleep_until(Instant::now() + Duration::from_millis(5)).await;
    }
}

fn head(kind: Kind, timeout_ms: u32) -> Head {
    Head {
        id: RequestId([3; 16]),
        kind,
        class: "reserve".to_owned(),
        idempotent: false,
        timeout_ms,
        position: 0,
        length: None,
    }
}

fn acquire(controller: &Controller, kind: Kind) -> impl Future<Output = Result<Permit, Reply>> + 'static {
    let controller = controller.clone();
    async move {
        controller
            .acquire(SERVICE, "caller", &head(kind, 30_000), deadline())
            .await
    }
}

/// Guards against slots and queue entries that leak when a request is cancelled while it waits or runs.
#[test]
fn dropping_a_wait_or_a_permit_frees_its_place() {
    run(async {
        let controller = Controller::new(1, 2_000, 1, Policy::Product);
        let running = acquire(&controller, Kind::Request).await.unwrap();
        let abandoned = monoio::spawn({
            let wait = acquire(&controller, Kind::Request);
            async move {
                time::timeout_at(Instant::now() + Duration::from_millis(50), wait)
                    .await
                    .is_none()
            }
        });
        let waiting = monoio::spawn(acquire(&controller, Kind::Request));
        until("two wait", || controller.current_load().queued == 2).await;
        assert!(abandoned.await, "the slot is taken");
        until("one waits", || controller.current_load().queued == 1).await;
        drop(running);
        let permit = waiting.await.unwrap();
        assert_eq!(
            (controller.current_load().busy, controller.current_load().queued),
            (1, 0)
        );
        assert!(
            controller
                .try_acquire(SERVICE, "b", &head(Kind::Request, 100), deadline())
                .is_none()
        );
        permit.complete(0, false);
        assert_eq!(controller.current_load().busy, 0);
        assert!(
            controller
                .try_acquire(SERVICE, "b", &head(Kind::Request, 100), deadline())
                .is_some()
        );
    });
}

/// Guards against refusals without a code for `not run`, or without a time to retry after.
#[test]
fn refusals_carry_the_codes_of_requests_that_were_not_run() {
    run(async {
        for policy in [Policy::Product, Policy::RoundRobin] {
            let controller = Controller::new(1, 3, 1, policy);
            let _running = acquire(&controller, Kind::Request).await.unwrap();
            let soon = Instant::now() + Duration::from_millis(30);
            let late = controller
                .acquire(SERVICE, "a", &head(Kind::Request, 30), soon)
                .await
                .unwrap_err();
            assert_eq!(late.code, Code::OVERLOADED);
            assert!(late.retry_after_ms > 0);
            let past = controller
                .acquire(SERVICE, "a", &head(Kind::Request, 0), soon)
                .await
                .unwrap_err();
            assert_eq!(past.code, Code::DEADLINE);
            let waiting = monoio::spawn(acquire(&controller, Kind::Request));
            until("one waits", || controller.current_load().queued == 1).await;
            controller.set_draining(true);
            assert_eq!(waiting.await.unwrap_err().code, Code::DRAINING);
            assert_eq!(
                acquire(&controller, Kind::Upload).await.unwrap_err().code,
                Code::DRAINING
            );
            assert_eq!(acquire(&controller, Kind::Feed).await.unwrap_err().code, Code::DRAINING);
            assert!(controller.next_load().draining);
            controller.set_draining(false);
            let first = acquire(&controller, Kind::Feed).await.unwrap();
            let _second = acquire(&controller, Kind::Feed).await.unwrap();
            assert_eq!(
                controller.current_load().busy,
                1,
                "a feed takes a connection, not a slot"
            );
            assert_eq!(
                acquire(&controller, Kind::Feed).await.unwrap_err().code,
                Code::OVERLOADED
            );
            first.complete(0, false);
            assert!(acquire(&controller, Kind::Feed).await.is_ok());
        }
    });
}

/// Guards against a slot that is not freed at the end of the time for which a fast error holds it.
#[test]
fn the_slot_of_a_fast_error_is_given_on_when_its_usual_time_ends() {
    run(async {
        let controller = Controller::new(1, 2_000, 1, Policy::Product);
        let permit = acquire(&controller, Kind::Request).await.unwrap();
        time::sleep_until(Instant::now() + Duration::from_millis(30)).await;
        permit.complete(0, false);
        acquire(&controller, Kind::Request).await.unwrap().complete(0, true);
        assert_eq!(controller.current_load().busy, 1, "held");
        assert!(acquire(&controller, Kind::Request).await.is_ok());
    });
}

/// An agent with its links and frames, and the part of the request handler that these tests need.
struct Agent {
    replica: Replica,
    controller: Controller,
    exchange: Exchange,
    channel: Channel,
    silent: Rc<Cell<bool>>,
    break_offers: Rc<Cell<u32>>,
}

fn node(name: &str, channel: &Channel, incarnation: u32) -> Node {
    // A loopback address of its own: on a shared one, another test may take the port before the agent listens.
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed));
    let free = TcpListener::bind((ip, 0)).unwrap();
    let peer = free.local_addr().unwrap();
    Node {
        name: name.to_owned(),
        role: Role::Agent,
        data_centre: "peristeri".to_owned(),
        datagram: channel.local(),
        peer,
        http: peer,
        incarnation,
    }
}

fn snapshot(nodes: &[Node]) -> Snapshot {
    let mut roster = Roster::default();
    let mut labels = BTreeMap::new();
    for node in nodes {
        roster.insert(node.clone());
        let set = label::Set([("app".to_owned(), "counter".to_owned())].into());
        labels.insert(
            node.name.clone(),
            Item {
                revision: 1,
                value: Some(set),
            },
        );
    }
    let service = Service {
        id: SERVICE,
        name: "counter".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443),
    };
    let selector = Some("app=counter".parse().unwrap());
    Snapshot {
        revision: 1,
        services: [(
            "counter".to_owned(),
            Item {
                revision: 1,
                value: Some(service),
            },
        )]
        .into(),
        labels,
        selectors: [(
            "counter".to_owned(),
            Item {
                revision: 1,
                value: selector,
            },
        )]
        .into(),
        roster,
        ..Snapshot::default()
    }
}

/// Starts agents whose roster contains all of them and one that does not run.
fn fleet(names: &[&str], policy: Policy) -> Vec<Agent> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let bind = || Channel::bind(any, Key([1; 16])).unwrap();
    let channels: Vec<_> = names.iter().map(|_| bind()).collect();
    let mut nodes: Vec<_> = names
        .iter()
        .zip(&channels)
        .map(|(name, channel)| node(name, channel, 5))
        .collect();
    nodes.push(node("dead", &bind(), 5));
    let snapshot = snapshot(&nodes);
    let agents = nodes.into_iter().zip(channels);
    agents
        .map(|(node, channel)| spawn(&node, channel, &snapshot, policy))
        .collect()
}

fn spawn(node: &Node, channel: Channel, snapshot: &Snapshot, policy: Policy) -> Agent {
    let replica = Replica::from_snapshot(node.clone(), snapshot.clone());
    let controller = Controller::new(2, 2_000, node.incarnation, policy);
    let exchange = Exchange::spawn(&replica, controller.clone(), channel.clone(), KEY, policy);
    let agent = Agent {
        replica,
        controller,
        exchange,
        channel,
        silent: Rc::default(),
        break_offers: Rc::default(),
    };
    let (receiver, exchange) = (agent.channel.clone(), agent.exchange.clone());
    monoio::spawn(async move {
        loop {
            let handle = |_from, header: dogwoodpitch::protocol::datagram::Header, payload: &[u8]| {
                if header.kind == Frame::Load {
                    exchange.receive_load(&request::parse::<Report>(payload).unwrap());
                }
            };
            receiver.recv(handle).await.unwrap();
        }
    });
    let controller = agent.controller.clone();
    let (silent, break_offers) = (Rc::clone(&agent.silent), Rc::clone(&agent.break_offers));
    peer::listen(&agent.replica, KEY, move |link, message| {
        let Message::Run { service, caller, head } = message else {
            panic!("unexpected message")
        };
        let controller = controller.clone();
        let (silent, break_offers) = (Rc::clone(&silent), Rc::clone(&break_offers));
        async move {
            if silent.get() {
                pending::<()>().await;
            }
            if break_offers.get() > 0 {
                break_offers.set(break_offers.get() - 1);
                return None;
            }
            answer(&controller, service, &caller, &head, link).await
        }
    })
    .unwrap();
    agent
}

/// Replies to an offer as an agent does; the response is the length of the body.
async fn answer(controller: &Controller, service: Id, caller: &str, head: &Head, mut link: Link) -> Option<Link> {
    let Some(permit) = controller.try_acquire(service, caller, head, deadline()) else {
        let refused = Message::Refused {
            code: Code::OVERLOADED,
            retry_after_ms: 7,
            load: controller.next_load(),
        };
        link.send(&refused).await.ok()?;
        return Some(link);
    };
    link.send(&Message::Admitted).await.ok()?;
    let mut len = 0;
    loop {
        match link.recv().await.ok()? {
            Message::Body(bytes) => len += bytes.len(),
            Message::BodyEnd => break,
            other => panic!("unexpected {other:?}"),
        }
    }
    let ok = Reply {
        code: Code::OK,
        retry_after_ms: 0,
        detail: String::new(),
    };
    link.send(&Message::Reply(ok)).await.ok()?;
    link.send(&Message::Body(Bytes::from(len.to_string()))).await.ok()?;
    link.send(&Message::End).await.ok()?;
    permit.complete(len as u64, false);
    Some(link)
}

async fn offer(from: &Agent, to: &Agent) -> Result<String, Reply> {
    offer_at(from, to.replica.local_node().peer).await
}

async fn offer_at(from: &Agent, peer: SocketAddr) -> Result<String, Reply> {
    let head = head(Kind::Request, 0);
    let offered = from.exchange.offer(peer, SERVICE, "caller", &head, deadline());
    let mut remote = offered.await?;
    remote.send_body(Bytes::from_static(b"1234")).await.unwrap();
    remote.send_body(Bytes::from_static(b"56")).await.unwrap();
    remote.end_body().await.unwrap();
    assert_eq!(remote.recv_reply().await.unwrap().code, Code::OK);
    let mut body = Vec::new();
    while let Some(bytes) = remote.recv_body().await.unwrap() {
        body.extend_from_slice(&bytes);
    }
    from.exchange.release(remote);
    Ok(String::from_utf8(body).unwrap())
}

/// Guards against placement on agents that are only in the roster, that are draining, or whose loads were discarded.
#[test]
fn flows_go_to_agents_that_report_and_do_not_drain() {
    run(async {
        let agents = fleet(&["a", "b", "c"], Policy::Product);
        let alive = |agent: &Agent| {
            let others = agents
                .iter()
                .filter(|other| other.replica.local_node() != agent.replica.local_node());
            others
                .filter(|other| agent.exchange.is_alive(other.replica.local_node()))
                .count()
        };
        until("all report", || agents.iter().all(|agent| alive(agent) == 2)).await;
        let chosen = |agent: &Agent, count| -> HashSet<SocketAddrV4> {
            let place = |_| agent.exchange.place_flow(SERVICE).expect("an agent").agent;
            (0..count).map(place).collect()
        };
        let [a, b, c] = &agents[..] else { panic!("three agents") };
        let all: HashSet<_> = agents.iter().map(|agent| agent.channel.local()).collect();
        assert_eq!(
            chosen(a, 300),
            all,
            "each running agent and not the one that is only in the roster"
        );
        b.controller.set_draining(true);
        until("the draining agent gets no flow", || {
            !chosen(a, 50).contains(&b.channel.local())
        })
        .await;
        a.exchange.discard_loads();
        assert_eq!(
            chosen(a, 50),
            [a.channel.local()].into(),
            "nothing is known of the others"
        );
        until("reports arrive again", || chosen(a, 50).contains(&c.channel.local())).await;
        assert!(!chosen(a, 100).contains(&b.channel.local()));
        assert!(a.exchange.place_flow(Id(9)).is_none(), "unknown service");
        c.controller.set_connections(2_000);
        a.controller.set_connections(2_000);
        until("all are full", || a.exchange.place_flow(SERVICE).is_none()).await;
    });
}

/// Guards against late reports that revive an agent or overwrite its newer load.
#[test]
fn old_reports_do_not_count() {
    run(async {
        let agents = fleet(&["a", "b"], Policy::Product);
        let [a, b] = &agents[..] else { panic!("two agents") };
        until("b reports", || a.exchange.is_alive(b.replica.local_node())).await;
        b.controller.set_draining(true);
        let flow = || a.exchange.place_flow(SERVICE).expect("an agent").agent;
        until("b drains", || (0..50).all(|_| flow() == a.channel.local())).await;
        let old = Load {
            draining: false,
            sequence: 1,
            ..b.controller.current_load()
        };
        a.exchange.receive_load(&Report {
            node: "b".to_owned(),
            load: old,
        });
        assert!((0..50).all(|_| flow() == a.channel.local()));
    });
}

/// Guards against requests that block each other on one link, and refusals whose load is not recorded.
#[test]
fn offers_are_admitted_or_refused() {
    run(async {
        let agents = fleet(&["a", "b"], Policy::Product);
        let [a, b] = &agents[..] else { panic!("two agents") };
        until("b reports", || a.exchange.is_alive(b.replica.local_node())).await;
        let place = || a.exchange.place_request(SERVICE, &head(Kind::Request, 1_000));
        assert_eq!(place().map(|node| node.name).as_deref(), Some("b"));
        for _ in 0..5 {
            assert_eq!(offer(a, b).await.unwrap(), "6");
        }
        let first = b
            .controller
            .try_acquire(SERVICE, "x", &head(Kind::Request, 1_000), deadline())
            .unwrap();
        let _second = b
            .controller
            .try_acquire(SERVICE, "x", &head(Kind::Request, 1_000), deadline())
            .unwrap();
        let refused = offer(a, b).await.unwrap_err();
        assert_eq!((refused.code, refused.retry_after_ms), (Code::OVERLOADED, 7));
        assert!(place().is_none(), "the refusal says that no slot is free");
        drop(first);
        until("the free slot is known", || place().is_some()).await;
        let both = join_all((0..2).map(|_| offer(a, b))).await;
        assert!(both.iter().any(Result::is_ok), "{both:?}");
    });
}

/// Guards against `unknown` outcomes of requests that cannot have run, leaked links, and reuse of dead idle links.
#[test]
fn offers_that_fail_before_admission_are_not_run() {
    run(async {
        let agents = fleet(&["a", "b"], Policy::Product);
        let [a, b] = &agents[..] else { panic!("two agents") };
        until("b reports", || a.exchange.is_alive(b.replica.local_node())).await;
        let dead = a.replica.snapshot().roster.get("dead").unwrap().peer;
        let head_of_failed = head(Kind::Request, 0);
        let failed = a.exchange.offer(dead, SERVICE, "caller", &head_of_failed, deadline());
        assert!(failed.await.unwrap_err().code.is_not_run());
        assert_eq!(offer(a, b).await.unwrap(), "6");
        b.break_offers.set(1);
        assert_eq!(
            offer(a, b).await.unwrap(),
            "6",
            "the link of the last request is used again, and replaced when it breaks"
        );
        b.break_offers.set(2);
        assert!(offer(a, b).await.unwrap_err().code.is_not_run());
        let place = || a.exchange.place_request(SERVICE, &head(Kind::Request, 1_000));
        assert!(place().is_none(), "a peer whose link fails gets no request for a while");
        until("the peer is tried again", || place().is_some()).await;
        b.silent.set(true);
        assert!(offer(a, b).await.unwrap_err().code.is_not_run());
        assert_eq!(b.controller.current_load().busy, 0);
    });
}

/// TCP proxy whose open connections can fall silent while new ones work.
#[derive(Clone, Default)]
struct Proxy(Arc<AtomicU32>);

impl Proxy {
    fn spawn(&self, upstream: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let silences = Arc::clone(&self.0);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let far = TcpStream::connect(upstream).unwrap();
                let opened = silences.load(Ordering::SeqCst);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let silences = Arc::clone(&silences);
                    thread::spawn(move || {
                        let mut buffer = [0; 4096];
                        while let Ok(count @ 1..) = from.read(&mut buffer) {
                            if silences.load(Ordering::SeqCst) == opened && to.write_all(&buffer[..count]).is_err() {
                                return;
                            }
                        }
                    });
                }
            }
        });
        address
    }

    fn silence_connections(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// After the links to a peer had fallen silent, each idle one made an offer fail after a second.
#[test]
fn silent_links_are_not_used_one_after_the_other() {
    run(async {
        let agents = fleet(&["a", "b"], Policy::Product);
        let [a, b] = &agents[..] else { panic!("two agents") };
        until("b reports", || a.exchange.is_alive(b.replica.local_node())).await;
        let proxy = Proxy::default();
        let address = proxy.spawn(b.replica.local_node().peer);
        let both = join_all((0..2).map(|_| offer_at(a, address))).await;
        assert!(both.iter().all(Result::is_ok), "{both:?}");
        proxy.silence_connections();
        assert!(offer_at(a, address).await.unwrap_err().code.is_not_run());
        assert_eq!(offer_at(a, address).await.unwrap(), "6");
    });
}

/// Guards against control traffic that exceeds its budget of 4 KB/s per node.
#[test]
fn a_load_report_is_small() {
    let load = Load {
        incarnation: 600_000_000,
        sequence: 4_000_000,
        slots: 7,
        busy: 7,
        long: 5,
        queued: 300,
        connection_limit: 2_000,
        connections: 1_500,
        draining: true,
        warm_percent: 100,
        long_limit: 5,
        slot_ms: u32::MAX,
    };
    let report = Report {
        node: "agent-peristeri-12".to_owned(),
        load,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= 80, "{} bytes", bytes.len());
    assert_eq!(request::parse::<Report>(&bytes).unwrap(), report);
}
