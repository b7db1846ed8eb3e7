//! Keeps the configuration of a node current: reads the store, spreads revisions by digests and pulls from peers.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::poll_fn,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use rand::{RngExt, seq::IteratorRandom, seq::SliceRandom};

use crate::{
    coordination::store::{self, Error, Store},
    protocol::{
        datagram::{Header, Kind},
        peer::{Digest, Message},
        settings,
        store::{Compare, HEAD, NODE, NODE_HEAD, Put, Range, Step, Txn},
    },
    state::{
        absence::Absence,
        config::{Item, Snapshot},
        roster::{Node, Role},
    },
    transport::{time, udp::Port, websocket::Link},
};

/// Rate of head reads of all nodes together, in reads a second.
const HEAD_READS_PER_S: f64 = 20.0;
/// Shortest mean interval of head reads of one node.
const MIN_HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for one call of a daemon to the store. With the longest interval of head reads it stays below the 5 s
/// in which a change has to be in force after an outage.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Mean interval of complete reads of the announced names, which find the entries that have expired. A read is about
/// 260 KB at the two-year size, which is 150 bytes a second.
const ROSTER_INTERVAL: Duration = Duration::from_mins(30);
/// Time that the store has for the first configuration before peers are asked too.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to live of a node's announcement.
const LEASE_TTL: Duration = Duration::from_mins(10);
/// Interval of lease renewals: two renewals may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(200);
/// Mean interval of digests to one random node.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Nodes that get a digest of a new revision at once.
const DIGEST_FANOUT: usize = 4;
/// Shortest time between two rounds of digests, so that a burst of changes costs few rounds.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// The same after a change of the roster only: when a fleet starts, each node's announcement is such a change.
const ROSTER_DIGEST_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Clock difference between nodes that an incremental pull of the roster tolerates, in deciseconds.
const INCARNATION_MARGIN: u32 = 600;
/// Lowest incarnation of a pull that needs no roster entries.
const NO_NODES: u32 = u32::MAX;
/// Pause after a pull of the whole roster that brought nothing new; it doubles up to the maximum. Entries that some
/// nodes have already dropped would otherwise cause such pulls with each digest.
const MIN_ROSTER_PAUSE: Duration = Duration::from_secs(1);
const MAX_ROSTER_PAUSE: Duration = Duration::from_mins(10);

/// Running synchronization of one node's configuration.
#[derive(Debug, Clone)]
pub struct Sync(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    snapshot: RefCell<Rc<Snapshot>>,
    wakers: RefCell<Vec<Waker>>,
    own: Node,
    source: Cell<Source>,
    link: Option<Peers>,
}

/// What a node needs to reach other nodes and the store.
#[derive(Debug)]
struct Peers {
    port: Port,
    key: [u8; 32],
    seeds: Vec<SocketAddr>,
    store: Store,
    pulling: Cell<bool>,
    /// Latest digest that arrived during a pull.
    waiting: RefCell<Option<Digest>>,
    roster_pause: Cell<Duration>,
    roster_pull_after: Cell<Option<Instant>>,
    pulled_bytes: Cell<u64>,
    absence: RefCell<Absence>,
    /// Outcome of the latest read of the store; `None` before the first.
    store_reachable: Cell<Option<bool>>,
    /// Whether the store had an older revision at the latest read.
    store_behind: Cell<bool>,
}

/// Where the revision in force was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    None,
    Store,
    Peer,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

impl Sync {
    /// Starts to synchronize and announces this node in the store.
    pub fn spawn(settings: &settings::Node, role: Role, incarnation: u32, port: Port) -> Self {
        let own = Node {
            name: settings.name.clone(),
            role,
            data_centre: settings.data_centre.clone(),
            datagram: settings.datagram,
            peer: settings.peer,
            http: settings.http,
            incarnation,
        };
        let peers = Peers {
            port,
            key: settings.keys.cluster.0,
            seeds: settings.seeds.clone(),
            store: Store::open(settings.store.clone()),
            pulling: Cell::new(false),
            waiting: RefCell::default(),
            roster_pause: Cell::new(MIN_ROSTER_PAUSE),
            roster_pull_after: Cell::new(None),
            pulled_bytes: Cell::new(0),
            absence: RefCell::default(),
            store_reachable: Cell::new(None),
            store_behind: Cell::new(false),
        };
        let sync = Self::open(own, Snapshot::default(), Some(peers));
        monoio::spawn(sync.clone().follow_store());
        monoio::spawn(sync.clone().gossip());
        monoio::spawn(sync.clone().introduce());
        sync
    }

    /// Synchronization that starts from a snapshot and uses no store and no peers, for tests.
    pub fn open_fixed(own: Node, snapshot: Snapshot) -> Self {
        Self::open(own, snapshot, None)
    }

    fn open(own: Node, mut snapshot: Snapshot, link: Option<Peers>) -> Self {
        snapshot.roster.insert(own.clone());
        Self(Rc::new(Inner {
            snapshot: RefCell::new(Rc::new(snapshot)),
            wakers: RefCell::default(),
            own,
            source: Cell::new(Source::None),
            link,
        }))
    }

    /// Entry of this node.
    pub fn own(&self) -> &Node {
        &self.0.own
    }

    /// Current configuration. It never goes back to a lower revision.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.0.snapshot.borrow())
    }

    /// Waits until the configuration differs from the revision and roster that `known` holds.
    pub async fn changed(&self, known: &Rc<Snapshot>) -> Rc<Snapshot> {
        poll_fn(|context| {
            let current = self.0.snapshot.borrow();
            if !Rc::ptr_eq(&current, known) && *current != *known {
                return Poll::Ready(Rc::clone(&current));
            }
            let mut wakers = self.0.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Merges a snapshot that a peer gave.
    pub fn apply(&self, snapshot: Snapshot) {
        self.merge(snapshot, Source::Peer);
    }

    /// Whether the latest read of the store succeeded.
    pub fn is_store_reachable(&self) -> bool {
        let peers = self.0.link.as_ref();
        peers.is_some_and(|peers| peers.store_reachable.get() == Some(true))
    }

    /// Bytes of HTTP calls to the store, of pulls, and of control frames.
    pub fn control_bytes(&self) -> u64 {
        self.0.link.as_ref().map_or(0, |peers| {
            peers.port.control_bytes() + peers.store.bytes() + peers.pulled_bytes.get()
        })
    }

    /// Answer to a pull: the items after a revision and the nodes from an incarnation on.
    pub fn delta(&self, revision: u64, incarnation: u32) -> Snapshot {
        let snapshot = self.snapshot();
        let mut delta = Snapshot {
            revision: snapshot.revision,
            services: after(&snapshot.services, revision),
            labels: after(&snapshot.labels, revision),
            selectors: after(&snapshot.selectors, revision),
            ..Snapshot::default()
        };
        for node in snapshot.roster.iter().filter(|node| node.incarnation >= incarnation) {
            delta.roster.insert(node.clone());
        }
        delta
    }

    /// Counts bytes of a link that carried configuration.
    pub(crate) fn count_link_bytes(&self, bytes: u64) {
        if let Some(peers) = &self.0.link {
            peers.pulled_bytes.set(peers.pulled_bytes.get() + bytes);
        }
    }

    /// Merges a snapshot and returns whether anything changed.
    fn merge(&self, mut other: Snapshot, source: Source) -> bool {
        let known = self.snapshot();
        if let (Source::Peer, Some(peers)) = (source, &self.0.link) {
            let absence = peers.absence.borrow();
            let dropped: Vec<_> = other.roster.iter().filter(|node| !absence.admits(node)).collect();
            let dropped: Vec<_> = dropped.into_iter().map(|node| node.name.clone()).collect();
            for name in dropped {
                other.roster.remove(&name);
            }
        }
        let mut merged = (*known).clone();
        if !merged.apply(other) {
            return false;
        }
        if merged.revision > known.revision {
            log::info!(
                event = "config.applied", revision = merged.revision, former = known.revision, source = source.name();
                "configuration applied"
            );
            let former = self.0.source.replace(source);
            if former != source {
                log::info!(
                    event = "config.source", source = source.name(), former = former.name();
                    "source of the configuration changed"
                );
            }
        }
        self.replace(merged);
        true
    }

    fn replace(&self, snapshot: Snapshot) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "revisions and node counts stay far below 2^52"
        )]
        {
            metrics::gauge!("dogwoodpitch_config_revision").set(snapshot.revision as f64);
            metrics::gauge!("dogwoodpitch_nodes").set(snapshot.roster.len() as f64);
        }
        self.0.snapshot.replace(Rc::new(snapshot));
        for waker in self.0.wakers.take() {
            waker.wake();
        }
    }
}

/// Items that were written after a revision.
fn after<T: Clone>(items: &BTreeMap<String, Item<T>>, revision: u64) -> BTreeMap<String, Item<T>> {
    let newer = items.iter().filter(|(_, item)| item.revision > revision);
    newer.map(|(name, item)| (name.clone(), item.clone())).collect()
}

/// Lease of this node's announcement, 0 for none. Whether it still holds is only known from the store's answer to a
/// renewal.
#[derive(Debug, Clone, Copy)]
struct Announced {
    lease: u64,
    renew_at: Instant,
}

/// The store.
impl Sync {
    async fn follow_store(self) {
        let Some(peers) = &self.0.link else { return };
        let mut nodes_revision = 0;
        let mut announced = None;
        let mut roster_at = Instant::now() + jittered(ROSTER_INTERVAL);
        loop {
            let mut read = self.read_store(peers, &mut nodes_revision).await;
            if read.is_ok() && Instant::now() >= roster_at {
                read = self.read_roster(peers).await;
                roster_at = Instant::now() + jittered(ROSTER_INTERVAL);
            }
            self.note_store(peers, &read);
            if read.is_ok() {
                match self.announce(peers, announced).await {
                    Ok(state) => announced = state,
                    Err(error) => {
                        log::warn!(event = "node.announce_failed", error:% = error; "cannot announce this node");
                    }
                }
            }
            time::sleep_until(Instant::now() + jittered(self.head_interval())).await;
        }
    }

    /// Logs when the store stops or starts to answer.
    fn note_store(&self, peers: &Peers, read: &Result<(), Error>) {
        let former = peers.store_reachable.replace(Some(read.is_ok()));
        let revision = self.snapshot().revision;
        match read {
            Ok(()) if former == Some(false) => {
                log::info!(event = "store.available", revision = revision; "the store answers again");
            }
            Err(error) if former != Some(false) => log::warn!(
                event = "store.unavailable", code = error.code().0, revision = revision, error:% = error;
                "the store does not answer; the configuration in force stays"
            ),
            _ => {}
        }
    }

    fn head_interval(&self) -> Duration {
        let nodes = u32::try_from(self.snapshot().roster.len()).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(nodes) / HEAD_READS_PER_S).max(MIN_HEAD_INTERVAL)
    }

    /// Reads the head keys, and what is new if they changed.
    async fn read_store(&self, peers: &Peers, nodes_revision: &mut u64) -> Result<(), Error> {
        let heads = vec![Range::key(HEAD), Range::key(NODE_HEAD)];
        let reply = peers.store.ranges(heads, Instant::now() + READ_TIMEOUT).await?;
        let (mut config, mut nodes) = (0, 0);
        for entry in reply.entries() {
            if entry.key == HEAD.as_bytes() {
                config = entry.mod_revision;
            } else {
                nodes = entry.mod_revision;
            }
        }
        let known = self.snapshot().revision;
        let is_behind = config < known && config > 0;
        if is_behind && !peers.store_behind.replace(is_behind) {
            log::warn!(
                event = "config.store_behind", store_revision = config, revision = known;
                "the store has an older revision; the configuration in force stays"
            );
        }
        peers.store_behind.set(is_behind);
        if config <= known && nodes <= *nodes_revision {
            return Ok(());
        }
        let ranges = store::incremental(known, *nodes_revision);
        let reply = peers.store.ranges(ranges, Instant::now() + READ_TIMEOUT).await?;
        let revision = reply.header.revision;
        self.merge(store::snapshot(reply.entries()), Source::Store);
        *nodes_revision = revision;
        Ok(())
    }

    /// Reads all announced names and drops the entries that have been missing for long.
    async fn read_roster(&self, peers: &Peers) -> Result<(), Error> {
        let range = Range {
            keys_only: true,
            ..Range::prefix_after(NODE, 0)
        };
        let reply = peers.store.range(&range, Instant::now() + READ_TIMEOUT).await?;
        let names = reply.kvs.iter().filter_map(|entry| {
            let key = std::str::from_utf8(&entry.key).ok()?;
            key.strip_prefix(NODE).map(str::to_owned)
        });
        let mut listed: BTreeSet<_> = names.collect();
        listed.insert(self.own().name.clone());
        let known = self.snapshot();
        let names = peers
            .absence
            .borrow_mut()
            .observe(&known.roster, &listed, Instant::now());
        if names.is_empty() {
            return Ok(());
        }
        let mut snapshot = (*known).clone();
        for name in names {
            log::info!(event = "node.dropped", name = name.as_str(); "the entry of a node has expired");
            snapshot.drop_node(&name);
        }
        self.replace(snapshot);
        Ok(())
    }

    /// Writes this node's entry with a lease, or renews the lease when it is due.
    async fn announce(&self, peers: &Peers, announced: Option<Announced>) -> Result<Option<Announced>, Error> {
        let deadline = Instant::now() + READ_TIMEOUT;
        if let Some(state) = announced {
            if Instant::now() < state.renew_at {
                return Ok(announced);
            }
            if state.lease != 0 && peers.store.keep_alive(state.lease, deadline).await?.ttl > 0 {
                return Ok(Some(Announced {
                    renew_at: Instant::now() + jittered(RENEW_INTERVAL),
                    ..state
                }));
            }
            log::warn!(event = "node.lease_expired", lease = state.lease; "this node's entry is not held by its lease");
        }
        let key = format!("{NODE}{}", self.own().name);
        let current = peers.store.range(&Range::key(&key), deadline).await?.kvs.pop();
        let other = current
            .as_ref()
            .and_then(|entry| serde_json::from_slice::<Node>(&entry.value).ok());
        if other.is_some_and(|node| node.incarnation > self.own().incarnation) {
            log::error!(event = "node.superseded"; "a newer process announced itself under this node's name");
            return Ok(Some(Announced {
                lease: 0,
                renew_at: Instant::now() + jittered(RENEW_INTERVAL),
            }));
        }
        let lease = peers.store.grant(LEASE_TTL, deadline).await?.id;
        let value = serde_json::to_vec(self.own()).expect("a node has string keys");
        let put = |key: String, value: Vec<u8>, lease| {
            Step::Put(Put {
                key: key.into(),
                value: value.into(),
                lease,
            })
        };
        let txn = Txn {
            compare: vec![Compare {
                key: key.clone().into(),
                mod_revision: current.map_or(0, |entry| entry.mod_revision),
                ..Compare::default()
            }],
            success: vec![
                put(key, value, lease),
                put(NODE_HEAD.to_owned(), self.own().name.clone().into_bytes(), 0),
            ],
            failure: Vec::new(),
        };
        // If the reply is lost or the comparison fails, the next round reads the entry again and repeats the write.
        if !peers.store.txn(&txn, deadline).await?.succeeded {
            return Ok(None);
        }
        log::info!(event = "node.announced", lease = lease; "node announced");
        Ok(Some(Announced {
            lease,
            renew_at: Instant::now() + jittered(RENEW_INTERVAL),
        }))
    }

    /// Pulls from a random known node or seed until one has answered and there is a configuration or a store. This tells
    /// the others about this node and, while the store is down, gives the configuration.
    async fn introduce(self) {
        let Some(peers) = &self.0.link else { return };
        let first_read = Instant::now() + FIRST_READ_TIMEOUT;
        let _ = time::before(first_read, self.changed(&self.snapshot())).await;
        loop {
            let mut addresses: Vec<_> = self.snapshot().peers(&self.own().name).collect();
            addresses.extend(&peers.seeds);
            addresses.retain(|address| *address != self.own().peer);
            addresses.shuffle(&mut rand::rng());
            // The store has given the roster; without it the whole roster comes from the peer.
            let incarnation = if self.is_store_reachable() {
                self.recent_incarnation()
            } else {
                0
            };
            let mut answered = false;
            for address in addresses.into_iter().take(DIGEST_FANOUT) {
                answered = answered || self.pull(peers, address, incarnation).await;
            }
            if answered && (self.snapshot().revision > 0 || self.is_store_reachable()) {
                return;
            }
            time::sleep_until(Instant::now() + jittered(MIN_HEAD_INTERVAL)).await;
        }
    }
}

/// Gossip and pulls.
impl Sync {
    async fn gossip(self) {
        let Some(peers) = &self.0.link else { return };
        let mut known = self.snapshot();
        loop {
            let deadline = Instant::now() + jittered(DIGEST_INTERVAL);
            if let Some(snapshot) = time::before(deadline, self.changed(&known)).await {
                let only_roster = snapshot.revision == known.revision;
                known = snapshot;
                self.send_digests(peers, DIGEST_FANOUT);
                time::sleep_until(Instant::now() + DIGEST_PAUSE).await;
                if only_roster {
                    let _ = time::before(Instant::now() + ROSTER_DIGEST_PAUSE, self.newer(known.revision)).await;
                }
            } else {
                self.send_digests(peers, 1);
            }
        }
    }

    /// Waits for a revision above the given one.
    async fn newer(&self, revision: u64) {
        let mut current = self.snapshot();
        while current.revision <= revision {
            current = self.changed(&current).await;
        }
    }

    fn send_digests(&self, peers: &Peers, count: usize) {
        let snapshot = self.snapshot();
        let others = snapshot.roster.iter().filter(|node| node.name != self.own().name);
        for node in others.sample(&mut rand::rng(), count) {
            self.send_digest(peers, node.datagram);
        }
        peers.port.flush();
    }

    fn send_digest(&self, peers: &Peers, to: SocketAddrV4) {
        let snapshot = self.snapshot();
        let digest = Digest {
            node: self.own().name.clone(),
            revision: snapshot.revision,
            nodes: u32::try_from(snapshot.roster.len()).unwrap_or(u32::MAX),
            incarnation: newest(&snapshot),
            peer: self.own().peer,
        };
        let mut payload = Vec::new();
        ciborium::into_writer(&digest, &mut payload).expect("writing CBOR to memory does not fail");
        peers.port.send(to, &Header::control(Kind::Digest), &payload);
    }

    /// Handles a `Digest` frame.
    pub fn receive_digest(&self, from: SocketAddrV4, digest: &Digest) {
        let Some(peers) = &self.0.link else { return };
        if digest.node == self.own().name {
            return;
        }
        if digest.revision < self.snapshot().revision {
            self.send_digest(peers, from);
            peers.port.flush();
        }
        if self.is_behind(peers, digest).is_none() {
            return;
        }
        if peers.pulling.get() {
            peers.waiting.replace(Some(digest.clone()));
            return;
        }
        peers.pulling.set(true);
        monoio::spawn(self.clone().catch_up(digest.clone()));
    }

    /// Pulls from the sender of a digest, and then from that of the latest digest that arrived meanwhile.
    async fn catch_up(self, digest: Digest) {
        let Some(peers) = &self.0.link else { return };
        let mut next = Some(digest);
        while let Some(digest) = next {
            if let Some(incarnation) = self.is_behind(peers, &digest) {
                let nodes = self.snapshot().roster.len();
                self.pull(peers, digest.peer, incarnation).await;
                if incarnation == 0 {
                    let pause = if self.snapshot().roster.len() > nodes {
                        MIN_ROSTER_PAUSE
                    } else {
                        (peers.roster_pause.get() * 2).min(MAX_ROSTER_PAUSE)
                    };
                    peers.roster_pause.set(pause);
                    peers.roster_pull_after.set(Some(Instant::now() + pause));
                }
            }
            next = peers.waiting.take();
        }
        peers.pulling.set(false);
    }

    /// Lowest incarnation to pull if the sender of a digest has something new.
    fn is_behind(&self, peers: &Peers, digest: &Digest) -> Option<u32> {
        let snapshot = self.snapshot();
        let may_pull_roster = peers.roster_pull_after.get().is_none_or(|at| Instant::now() >= at);
        if digest.nodes as usize > snapshot.roster.len() && may_pull_roster {
            return Some(0);
        }
        if digest.incarnation > newest(&snapshot) {
            return Some(self.recent_incarnation());
        }
        (digest.revision > snapshot.revision).then_some(NO_NODES)
    }

    /// Lowest incarnation of the nodes that may have started after the newest known one, as clocks differ.
    fn recent_incarnation(&self) -> u32 {
        newest(&self.snapshot()).saturating_sub(INCARNATION_MARGIN).max(1)
    }

    /// Asks a node for what is new. Returns whether it answered.
    async fn pull(&self, peers: &Peers, address: SocketAddr, incarnation: u32) -> bool {
        let deadline = Instant::now() + PULL_TIMEOUT;
        let exchange = async {
            let mut link = Link::connect(address, &peers.key, &self.own().name, deadline).await?;
            let pull = Message::Pull {
                revision: self.snapshot().revision,
                incarnation,
                node: Box::new(self.own().clone()),
            };
            link.send(&pull).await?;
            link.recv::<Message>().await
        };
        match time::before(deadline, Box::pin(exchange)).await {
            Some(Ok(message @ Message::Snapshot(_))) => {
                self.count_link_bytes(message_len(&message));
                if let Message::Snapshot(snapshot) = message {
                    self.merge(*snapshot, Source::Peer);
                }
                return true;
            }
            Some(Ok(_)) => log::warn!(event = "pull.unexpected", peer:% = address; "unexpected answer to a pull"),
            Some(Err(error)) => log::debug!(event = "pull.failed", peer:% = address, error:% = error; "pull failed"),
            None => log::debug!(event = "pull.timeout", peer:% = address; "pull timed out"),
        }
        false
    }
}

fn newest(snapshot: &Snapshot) -> u32 {
    snapshot.roster.iter().map(|node| node.incarnation).max().unwrap_or(0)
}

/// Encoded length of a message.
pub(crate) fn message_len(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing CBOR to memory does not fail");
    bytes.len() as u64
}

fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
