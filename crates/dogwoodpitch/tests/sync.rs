//! Replication of the configuration to and among nodes.

mod stand_in;

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    coordination::{
        change::{self, Base, Change},
        config::Replica,
        peer, status,
        store::Store,
    },
    protocol::{
        peer::{Digest, Message},
        request::{self, Head},
        settings,
        store::{NODE_PREFIX, Range, SERVICE_PREFIX},
    },
    state::{
        config::{Item, Snapshot},
        expiry::{Expiry, GRACE_PERIOD},
        label,
        roster::{Node, Role, Roster},
        service::{Id, Service},
    },
    transport::{
        http,
        metric::Recorder,
        time::{sleep_until, timeout_at},
        udp::Channel,
        websocket::Link,
    },
};
use quickcheck::{TestResult, quickcheck};
use serde_json::json;

use stand_in::{free_address, run, set_fault, start};

const CLUSTER_KEY: [u8; 32] = [7; 32];
const BOUND: Duration = Duration::from_mins(1);
/// Time in which a change has to be in force everywhere, at the size planned for two years ahead.
const APPLY_BOUND: Duration = Duration::from_secs(19);

fn settings(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> settings::Node {
    serde_json::from_value(json!({
        "name": name, "data_centre": "peristeri", "datagram": free_address(), "peer": free_address(),
        "http": free_address(), "store": [store], "seeds": seeds,
        "keys": {
            "connection_id": [{ "epoch": 1, "secret": "AAAAAAAAAAAAAAAAAAAAAA==" }],
            "frame": "AAAAAAAAAAAAAAAAAAAAAA==",
            "cluster": "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=",
        },
    }))
    .unwrap()
}

/// Starts the replica of a node as a daemon does, with its links.
fn spawn(name: &str, incarnation: u32, store: SocketAddr, seeds: &[SocketAddr]) -> Replica {
    let settings = settings(name, store, seeds);
    let channel = Channel::bind(settings.datagram, settings.keys.frame()).unwrap();
    let replica = Replica::spawn(&settings, Role::Agent, incarnation, channel.clone());
    peer::listen(&replica, CLUSTER_KEY, |_link, _message| std::future::ready(None)).unwrap();
    let receiver = replica.clone();
    monoio::spawn(async move {
        loop {
            let handle = |from, _header, payload: &[u8]| {
                if let Ok(digest) = request::parse::<Digest>(payload) {
                    receiver.receive_digest(from, &digest);
                }
            };
            if channel.recv(handle).await.is_err() {
                return;
            }
        }
    });
    replica
}

async fn wait(replica: &Replica, what: &str, condition: impl Fn(&Snapshot) -> bool) {
    let bound = Instant::now() + BOUND;
    let mut snapshot = replica.snapshot();
    while !condition(&snapshot) {
        let next = timeout_at(bound, replica.changed(&snapshot)).await;
        snapshot = next.unwrap_or_else(|| panic!("{} does not see {what}", replica.local_node().name));
    }
}

async fn apply_service(store: &Store, name: &str, port: u16) -> u64 {
    let deadline = Instant::now() + BOUND;
    let key = format!("{SERVICE_PREFIX}{name}");
    let base: Base<Service> = change::read_item(store, &key, deadline).await.unwrap();
    let service = Service {
        id: Id(1),
        name: name.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
    };
    let change = Change::new(key, &base, Some(&service));
    change.commit(store, deadline).await.unwrap().revision
}

fn port_of(snapshot: &Snapshot, service: &str) -> Option<u16> {
    snapshot.service(service).map(|service| service.address.port())
}

/// Guards against a node that loses its configuration in an outage, cannot start in one, or misses a change after it.
#[test]
fn nodes_keep_and_share_the_configuration_in_an_outage() {
    let address = start();
    run(async {
        let store = Store::open(vec![address]);
        apply_service(&store, "counter", 1).await;
        let first = spawn("first", 1, address, &[]);
        wait(&first, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(1)
        })
        .await;
        set_fault(address, "outage", 0);
        let second = spawn("second", 2, address, &[first.local_node().peer]);
        wait(&second, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(1)
        })
        .await;
        wait(&first, "the new node", |snapshot| {
            snapshot.roster.get("second").is_some()
        })
        .await;
        wait(&second, "the seed", |snapshot| snapshot.roster.get("first").is_some()).await;
        assert_eq!(port_of(&first.snapshot(), "counter"), Some(1));
        set_fault(address, "none", 0);
        let revision = apply_service(&store, "counter", 2).await;
        for replica in [&first, &second] {
            wait(replica, "the change", |snapshot| snapshot.revision >= revision).await;
            assert_eq!(port_of(&replica.snapshot(), "counter"), Some(2));
        }
    });
}

/// Guards against a node that reverts to an older configuration because a store or a peer is behind.
#[test]
fn revisions_never_go_back() {
    let (newer, older) = (start(), start());
    run(async {
        let (newer_store, older_store) = (Store::open(vec![newer]), Store::open(vec![older]));
        apply_service(&older_store, "counter", 9).await;
        for port in 1..=20 {
            apply_service(&newer_store, "counter", port).await;
        }
        let first = spawn("first", 1, newer, &[]);
        wait(&first, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(20)
        })
        .await;
        let revision = first.snapshot().revision;
        let second = spawn("second", 2, older, &[first.local_node().peer]);
        wait(&second, "the revision of the seed", |snapshot| {
            snapshot.revision == revision
        })
        .await;
        let mut stale = first.delta(0, 0);
        stale.revision = 3;
        let item = stale.services.get_mut("counter").unwrap();
        item.revision = 3;
        item.value = None;
        let before = read_calls(older);
        let bound = Instant::now() + BOUND;
        while read_calls(older) < before + 3 {
            assert!(Instant::now() < bound, "the node does not read its store");
            second.apply(stale.clone());
            assert_eq!(second.snapshot().revision, revision);
            assert_eq!(port_of(&second.snapshot(), "counter"), Some(20));
            sleep_until(Instant::now() + Duration::from_millis(50)).await;
        }
    });
}

/// After a return of the store, the next changes have revisions that the nodes know already, and they ignored them.
#[test]
fn a_change_after_the_store_came_back_older_is_in_force() {
    let address = start();
    run(async {
        let store = Store::open(vec![address]);
        apply_service(&store, "counter", 1).await;
        sleep_until(Instant::now() + Duration::from_millis(300)).await;
        for port in 2..=20 {
            apply_service(&store, "counter", port).await;
        }
        let first = spawn("first", 1, address, &[]);
        wait(&first, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(20)
        })
        .await;
        let era = stand_in::post(address, "/lab/restore", &json!({ "millis": 200 }));
        assert_eq!(era, json!(1));
        apply_service(&store, "counter", 20).await;
        apply_service(&store, "counter", 21).await;
        let bound = Instant::now() + APPLY_BOUND;
        while port_of(&first.snapshot(), "counter") != Some(21) {
            assert!(Instant::now() < bound, "the change is not in force");
            sleep_until(Instant::now() + Duration::from_millis(50)).await;
        }
    });
}

fn read_calls(store: SocketAddr) -> u64 {
    stand_in::post(store, "/lab/stats", &json!({}))["/v3/kv/txn"]
        .as_u64()
        .unwrap_or(0)
}

/// Guards against a node without a store that ignores the digest of a node that it does not know yet.
#[test]
fn digests_lead_to_pulls() {
    let address = start();
    run(async {
        let store = Store::open(vec![address]);
        apply_service(&store, "counter", 1).await;
        let first = spawn("first", 1, address, &[]);
        wait(&first, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(1)
        })
        .await;
        let second = spawn("second", 2, free_address(), &[]);
        let snapshot = first.snapshot();
        let digest = Digest {
            node: "first".to_owned(),
            revision: snapshot.revision,
            nodes: 1,
            incarnation: 1,
            peer: first.local_node().peer,
        };
        second.receive_digest(first.local_node().datagram, &digest);
        wait(&second, "the service", |snapshot| {
            port_of(snapshot, "counter") == Some(1)
        })
        .await;
    });
}

/// Guards against a paused process that resumes and takes the name back from its replacement.
#[test]
fn older_processes_do_not_take_the_name_back() {
    let address = start();
    run(async {
        let entry = async || {
            let store = Store::open(vec![address]);
            let reply = store
                .range(&Range::key(&format!("{NODE_PREFIX}node")), Instant::now() + BOUND)
                .await;
            let entry = reply.unwrap().kvs.pop();
            entry.map(|entry| serde_json::from_slice::<Node>(&entry.value).unwrap())
        };
        let _newer = spawn("node", 10, address, &[]);
        let bound = Instant::now() + BOUND;
        while entry().await.is_none() {
            assert!(Instant::now() < bound, "the node is not announced");
            sleep_until(Instant::now() + Duration::from_millis(20)).await;
        }
        let before = read_calls(address);
        let _older = spawn("node", 5, address, &[]);
        while read_calls(address) < before + 6 {
            assert!(Instant::now() < bound, "the nodes do not read the store");
            assert_eq!(entry().await.unwrap().incarnation, 10);
            sleep_until(Instant::now() + Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a draining daemon that still looks healthy to the platform, and a missing metric of the control traffic.
#[test]
fn endpoints_show_the_state_of_the_daemon() {
    run(async {
        let mut own = node("node", 4);
        own.http = free_address();
        let snapshot = Snapshot {
            revision: 12,
            ..Snapshot::default()
        };
        let replica = Replica::from_snapshot(own, snapshot);
        let draining = Rc::new(Cell::new(false));
        let extra = || json!({ "flows": 3 });
        status::serve(&replica, Recorder::open(), Rc::clone(&draining), extra).unwrap();
        let get = async |path: &str| {
            let request = hyper::Request::get(path).header("host", "node");
            let request = request.body(http_body_util::Full::default()).unwrap();
            let (code, body) = http::call(replica.local_node().http, Instant::now() + BOUND, request)
                .await
                .unwrap();
            (code.as_u16(), String::from_utf8(body.to_vec()).unwrap())
        };
        assert_eq!(get("/health").await.0, 200);
        draining.set(true);
        assert_eq!(get("/health").await.0, 503);
        assert_eq!(get("/other").await.0, 404);
        let status: serde_json::Value = serde_json::from_str(&get("/status").await.1).unwrap();
        let expected = json!({
            "node": "node", "role": "agent", "data_centre": "giza", "revision": 12, "nodes": 1,
            "store_reachable": false, "incarnation": 4, "draining": true, "flows": 3,
        });
        assert_eq!(status, expected);
        let (code, metrics) = get("/metrics").await;
        assert!(
            code == 200 && metrics.contains("dogwoodpitch_control_bytes_total 0"),
            "{metrics}"
        );
    });
}

/// Guards against a link that is closed or out of step after a handed-over request, and accepted messages out of order.
#[test]
fn links_carry_requests_and_pulls_in_turn() {
    run(async {
        let mut own = node("node", 4);
        own.peer = free_address();
        let replica = Replica::from_snapshot(own, Snapshot::default());
        peer::listen(&replica, CLUSTER_KEY, |mut link, message| async move {
            let Message::Run { service, .. } = message else {
                panic!("expected a request, got {message:?}")
            };
            link.send(&Message::Admitted).await.unwrap();
            (service == Id(1)).then_some(link)
        })
        .unwrap();
        let request = |service| Message::Run {
            service: Id(service),
            caller: "caller".to_owned(),
            head: Head {
                id: request::Id([1; 16]),
                kind: request::Kind::Request,
                class: String::new(),
                idempotent: true,
                timeout_ms: 1,
                position: 0,
                length: None,
            },
        };
        let pull = || Message::Pull {
            revision: 0,
            incarnation: 0,
            node: Box::new(node("other", 2)),
        };
        let open = async || {
            let deadline = Instant::now() + BOUND;
            Link::connect(replica.local_node().peer, &CLUSTER_KEY, "other", deadline)
                .await
                .unwrap()
        };
        let mut link = open().await;
        for _ in 0..2 {
            link.send(&request(1)).await.unwrap();
            assert_eq!(link.recv::<Message>().await.unwrap(), Message::Admitted);
            link.send(&pull()).await.unwrap();
            assert!(matches!(link.recv().await.unwrap(), Message::Snapshot(_)));
        }
        link.send(&request(2)).await.unwrap();
        assert_eq!(link.recv::<Message>().await.unwrap(), Message::Admitted);
        assert!(link.recv::<Message>().await.is_err(), "the link was not given back");
        let mut link = open().await;
        link.send(&Message::End).await.unwrap();
        assert!(
            link.recv::<Message>().await.is_err(),
            "an unexpected message was accepted"
        );
        let wrong = Link::connect(replica.local_node().peer, &[8; 32], "other", Instant::now() + BOUND).await;
        assert!(wrong.is_err(), "a wrong key was accepted");
    });
}

fn node(name: &str, incarnation: u32) -> Node {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    Node {
        name: name.to_owned(),
        role: Role::Agent,
        data_centre: "giza".to_owned(),
        datagram: address,
        peer: address.into(),
        http: address.into(),
        incarnation,
    }
}

fn roster(nodes: &[(&str, u32)]) -> Roster {
    let mut roster = Roster::default();
    for (name, incarnation) in nodes {
        roster.insert(node(name, *incarnation));
    }
    roster
}

/// Guards against live nodes that are removed when all leases expire in a long outage, and dead ones that peers add again.
#[test]
fn expired_entries_are_dropped_only_after_the_grace_time() {
    let mut expiry = Expiry::default();
    let start = Instant::now();
    let known = roster(&[("alive", 1), ("dead", 1)]);
    assert!(expiry.expire_missing(&known, &BTreeSet::new(), start).is_empty());
    let listed = BTreeSet::from(["alive".to_owned()]);
    let almost = start + GRACE_PERIOD.saturating_sub(Duration::from_secs(1));
    assert!(expiry.expire_missing(&known, &listed, almost).is_empty());
    assert_eq!(expiry.expire_missing(&known, &listed, start + GRACE_PERIOD), ["dead"]);
    assert!(!expiry.accepts(&node("dead", 1)));
    assert!(expiry.accepts(&node("dead", 2)) && expiry.accepts(&node("alive", 1)));
    expiry.expire_missing(&known, &BTreeSet::from(["dead".to_owned()]), start + GRACE_PERIOD);
    assert!(expiry.accepts(&node("dead", 1)), "the store lists the node again");
}

/// One write: number of the item, and its revision, which determines the value.
type Write = (u8, u8);

fn snapshot(writes: &[Write]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for &(item, revision) in writes {
        let revision = u64::from(revision);
        let labels = label::Set([("revision".to_owned(), revision.to_string())].into());
        let value = (revision % 3 != 0).then_some(labels);
        let part = Snapshot {
            revision,
            labels: [(format!("node{}", item % 4), Item { revision, value })].into(),
            roster: roster(&[(["a", "b"][usize::from(item % 2)], u32::from(item))]),
            ..Snapshot::default()
        };
        snapshot.merge(part);
    }
    snapshot
}

quickcheck! {
    /// Guards against nodes that end with different configurations because pulls and reads arrive in different orders.
    fn merges_do_not_depend_on_order_and_never_go_back(left: Vec<Write>, right: Vec<Write>) -> TestResult {
        let (left, right) = (snapshot(&left), snapshot(&right));
        let (mut one, mut other) = (left.clone(), right.clone());
        one.merge(right.clone());
        other.merge(left.clone());
        let monotone = one.revision == left.revision.max(right.revision)
            && left.labels.iter().all(|(name, item)| one.labels[name].revision >= item.revision);
        let unchanged = !one.clone().merge(left) && !one.clone().merge(right);
        TestResult::from_bool(one == other && monotone && unchanged)
    }
}
