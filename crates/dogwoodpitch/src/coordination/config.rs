//! Keeps the configuration of a node current: reads the store, spreads revisions by digests and pulls from peers.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    coordination::store::{self, Error, Store},
    protocol::{
        peer::Digest,
        settings,
        store::{CONFIG_HEAD_KEY, NODE_HEAD_KEY, Range},
    },
    state::{
        config::{Item, Snapshot},
        expiry::Expiry,
        roster::{Node, Role},
    },
    transport::{notify::Notify, time, udp::Channel},
};

/// Rate of head reads of all nodes together, in reads a second.
const HEAD_READS_PER_S: f64 = 20.0;
/// Shortest mean interval of head reads of one node.
pub(super) const MIN_HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for one call of a daemon to the store. With the longest interval of head reads it stays below the 5 s
/// in which a change has to be in force after an outage.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Mean interval of complete reads of the announced names, which find the entries that have expired. A read is about
/// 260 KB at the two-year size, which is 150 bytes a second.
const ROSTER_INTERVAL: Duration = Duration::from_mins(30);
/// Pause after a pull of the whole roster that brought something new.
pub(super) const MIN_ROSTER_PAUSE: Duration = Duration::from_secs(1);

/// Running synchronization of one node's configuration.
#[derive(Debug, Clone)]
pub struct Replica(pub(super) Rc<Inner>);

#[derive(Debug)]
pub(super) struct Inner {
    snapshot: RefCell<Rc<Snapshot>>,
    change: Notify,
    own: Node,
    source: Cell<Source>,
    pub(super) peers: Option<Peers>,
}

/// What a node needs to reach other nodes and the store.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) port: Channel,
    pub(super) key: [u8; 32],
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) store: Store,
    pub(super) pulling: Cell<bool>,
    /// Latest digest that arrived during a pull.
    pub(super) waiting: RefCell<Option<Digest>>,
    pub(super) roster_pause: Cell<Duration>,
    pub(super) roster_pull_after: Cell<Option<Instant>>,
    pub(super) pulled_bytes: Cell<u64>,
    pub(super) absence: RefCell<Expiry>,
    /// Outcome of the latest read of the store; `None` before the first.
    pub(super) store_reachable: Cell<Option<bool>>,
    /// Whether the store had an older revision at the latest read.
    pub(super) store_behind: Cell<bool>,
}

/// Where the revision in force was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
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

impl Replica {
    /// Starts to synchronize and announces this node in the store.
    pub fn spawn(settings: &settings::Node, role: Role, incarnation: u32, port: Channel) -> Self {
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
    pub fn from_snapshot(own: Node, snapshot: Snapshot) -> Self {
        Self::open(own, snapshot, None)
    }

    fn open(own: Node, mut snapshot: Snapshot, peers: Option<Peers>) -> Self {
        snapshot.roster.insert(own.clone());
        Self(Rc::new(Inner {
            snapshot: RefCell::new(Rc::new(snapshot)),
            change: Notify::default(),
            own,
            source: Cell::new(Source::None),
            peers,
        }))
    }

    /// Entry of this node.
    pub fn local_node(&self) -> &Node {
        &self.0.own
    }

    /// Current configuration. It never goes back to a lower revision.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.0.snapshot.borrow())
    }

    /// Waits until the configuration differs from the revision and roster that `known` holds.
    pub async fn changed(&self, known: &Rc<Snapshot>) -> Rc<Snapshot> {
        let differs = || {
            let current = self.0.snapshot.borrow();
            (!Rc::ptr_eq(&current, known) && *current != *known).then(|| Rc::clone(&current))
        };
        self.0.change.wait(differs).await
    }

    /// Merges a snapshot that a peer gave.
    pub fn apply(&self, snapshot: Snapshot) {
        self.merge(snapshot, Source::Peer);
    }

    /// Whether the latest read of the store succeeded.
    pub fn is_store_reachable(&self) -> bool {
        let peers = self.0.peers.as_ref();
        peers.is_some_and(|peers| peers.store_reachable.get() == Some(true))
    }

    /// Bytes of HTTP calls to the store, of pulls, and of control frames.
    pub fn control_bytes(&self) -> u64 {
        self.0.peers.as_ref().map_or(0, |peers| {
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
        if let Some(peers) = &self.0.peers {
            peers.pulled_bytes.set(peers.pulled_bytes.get() + bytes);
        }
    }

    /// Merges a snapshot and returns whether anything changed.
    pub(super) fn merge(&self, mut other: Snapshot, source: Source) -> bool {
        let known = self.snapshot();
        if let (Source::Peer, Some(peers)) = (source, &self.0.peers) {
            let absence = peers.absence.borrow();
            let dropped: Vec<_> = other.roster.iter().filter(|node| !absence.accepts(node)).collect();
            let dropped: Vec<_> = dropped.into_iter().map(|node| node.name.clone()).collect();
            for name in dropped {
                other.roster.remove(&name);
            }
        }
        let mut merged = (*known).clone();
        if !merged.merge(other) {
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

    pub(super) fn replace(&self, snapshot: Snapshot) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "revisions and node counts stay far below 2^52"
        )]
        {
            metrics::gauge!("dogwoodpitch_config_revision").set(snapshot.revision as f64);
            metrics::gauge!("dogwoodpitch_nodes").set(snapshot.roster.len() as f64);
        }
        self.0.snapshot.replace(Rc::new(snapshot));
        self.0.change.notify_waiters();
    }
}

/// Items that were written after a revision.
fn after<T: Clone>(items: &BTreeMap<String, Item<T>>, revision: u64) -> BTreeMap<String, Item<T>> {
    let newer = items.iter().filter(|(_, item)| item.revision > revision);
    newer.map(|(name, item)| (name.clone(), item.clone())).collect()
}

/// The store.
impl Replica {
    async fn follow_store(self) {
        let Some(peers) = &self.0.peers else { return };
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
        let heads = vec![Range::key(CONFIG_HEAD_KEY), Range::key(NODE_HEAD_KEY)];
        let reply = peers.store.ranges(heads, Instant::now() + READ_TIMEOUT).await?;
        let (mut config, mut nodes) = (0, 0);
        for entry in reply.entries() {
            if entry.key == CONFIG_HEAD_KEY.as_bytes() {
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
        let ranges = store::ranges_after(known, *nodes_revision);
        let reply = peers.store.ranges(ranges, Instant::now() + READ_TIMEOUT).await?;
        let revision = reply.header.revision;
        self.merge(store::decode_snapshot(reply.entries()), Source::Store);
        *nodes_revision = revision;
        Ok(())
    }
}

/// Pause around a mean, so that nodes do not act in step.
pub(super) fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
