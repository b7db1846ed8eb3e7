//! Replicates the configuration to a node: reads the store, announces revisions to peers by digests and pulls from peers.

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

/// Total rate of head reads of all nodes, in reads per second.
const HEAD_READS_PER_S: f64 = 20.0;
/// Shortest mean interval between head reads of one node.
pub(super) const MIN_HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one call to the store. Together with the longest interval between head reads it stays below the 5 s in which
/// a change has to be in force after an outage.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Mean interval between complete reads of the announced names, which detect expired entries. A read is about 260 KB at the
/// fleet size planned for two years ahead, which is 150 bytes per second.
const ROSTER_INTERVAL: Duration = Duration::from_mins(30);
/// Pause after a pull of the whole roster that added nodes.
pub(super) const MIN_ROSTER_PAUSE: Duration = Duration::from_secs(1);

/// Local copy of the configuration, kept current from the store and from peers. Clones share the copy.
#[derive(Debug, Clone)]
pub struct Replica(pub(super) Rc<Inner>);

#[derive(Debug)]
pub(super) struct Inner {
    snapshot: RefCell<Rc<Snapshot>>,
    change: Notify,
    local_node: Node,
    source: Cell<Source>,
    pub(super) network: Option<Network>,
}

/// Access to the store and to other nodes, with the state of their synchronization.
#[derive(Debug)]
pub(super) struct Network {
    pub(super) channel: Channel,
    pub(super) key: [u8; 32],
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) store: Store,
    pub(super) pulling: Cell<bool>,
    /// Latest digest that arrived during a pull; handled after it.
    pub(super) pending_digest: RefCell<Option<Digest>>,
    pub(super) roster_pause: Cell<Duration>,
    pub(super) roster_pull_after: Cell<Option<Instant>>,
    pub(super) pulled_bytes: Cell<u64>,
    pub(super) absence: RefCell<Expiry>,
    /// Outcome of the latest read of the store; `None` before the first.
    pub(super) store_reachable: Cell<Option<bool>>,
    /// Whether the store had an older revision at the latest read.
    pub(super) store_behind: Cell<bool>,
}

/// Source of the revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    None,
    Store,
    Peer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

impl Replica {
    /// Starts the replication and announces this node in the store.
    pub fn spawn(settings: &settings::Node, role: Role, incarnation: u32, channel: Channel) -> Self {
        let local_node = Node {
            name: settings.name.clone(),
            role,
            data_centre: settings.data_centre.clone(),
            datagram: settings.datagram,
            peer: settings.peer,
            http: settings.http,
            incarnation,
        };
        let network = Network {
            channel,
            key: settings.keys.cluster.0,
            seeds: settings.seeds.clone(),
            store: Store::open(settings.store.clone()),
            pulling: Cell::new(false),
            pending_digest: RefCell::default(),
            roster_pause: Cell::new(MIN_ROSTER_PAUSE),
            roster_pull_after: Cell::new(None),
            pulled_bytes: Cell::new(0),
            absence: RefCell::default(),
            store_reachable: Cell::new(None),
            store_behind: Cell::new(false),
        };
        let replica = Self::open(local_node, Snapshot::default(), Some(network));
        monoio::spawn(replica.clone().follow_store());
        monoio::spawn(replica.clone().gossip());
        monoio::spawn(replica.clone().bootstrap());
        replica
    }

    /// Creates a replica from a snapshot that uses no store and no peers, for tests.
    pub fn from_snapshot(local_node: Node, snapshot: Snapshot) -> Self {
        Self::open(local_node, snapshot, None)
    }

    fn open(local_node: Node, mut snapshot: Snapshot, network: Option<Network>) -> Self {
        snapshot.roster.insert(local_node.clone());
        Self(Rc::new(Inner {
            snapshot: RefCell::new(Rc::new(snapshot)),
            change: Notify::default(),
            local_node,
            source: Cell::new(Source::None),
            network,
        }))
    }

    /// Roster entry of this node.
    pub fn local_node(&self) -> &Node {
        &self.0.local_node
    }

    /// Current configuration. It never goes back to a lower revision.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.0.snapshot.borrow())
    }

    /// Waits until the configuration differs from `known`, and returns it.
    pub async fn changed(&self, known: &Rc<Snapshot>) -> Rc<Snapshot> {
        let differs = || {
            let current = self.0.snapshot.borrow();
            (!Rc::ptr_eq(&current, known) && *current != *known).then(|| Rc::clone(&current))
        };
        self.0.change.wait(differs).await
    }

    /// Merges a snapshot of a peer.
    pub fn apply(&self, snapshot: Snapshot) {
        self.merge(snapshot, Source::Peer);
    }

    /// Whether the latest read of the store succeeded.
    pub fn is_store_reachable(&self) -> bool {
        let network = self.0.network.as_ref();
        network.is_some_and(|network| network.store_reachable.get() == Some(true))
    }

    /// Total bytes of HTTP calls to the store, of pulls and of control frames.
    pub fn control_bytes(&self) -> u64 {
        self.0.network.as_ref().map_or(0, |network| {
            network.channel.control_bytes() + network.store.bytes() + network.pulled_bytes.get()
        })
    }

    /// Reply to a pull: the items written after a revision, and the nodes of an incarnation or a later one.
    pub fn delta(&self, revision: u64, incarnation: u32) -> Snapshot {
        let snapshot = self.snapshot();
        let mut delta = Snapshot {
            revision: snapshot.revision,
            services: items_after(&snapshot.services, revision),
            labels: items_after(&snapshot.labels, revision),
            selectors: items_after(&snapshot.selectors, revision),
            ..Snapshot::default()
        };
        for node in snapshot.roster.iter().filter(|node| node.incarnation >= incarnation) {
            delta.roster.insert(node.clone());
        }
        delta
    }

    /// Counts bytes of configuration that a link carried.
    pub(crate) fn count_link_bytes(&self, bytes: u64) {
        if let Some(network) = &self.0.network {
            network.pulled_bytes.set(network.pulled_bytes.get() + bytes);
        }
    }

    /// Merges a snapshot and returns whether anything changed.
    pub(super) fn merge(&self, mut other: Snapshot, source: Source) -> bool {
        let known = self.snapshot();
        if let (Source::Peer, Some(network)) = (source, &self.0.network) {
            let absence = network.absence.borrow();
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
                event = "config.applied", revision = merged.revision, former = known.revision, source = source.as_str();
                "configuration applied"
            );
            let former = self.0.source.replace(source);
            if former != source {
                log::info!(
                    event = "config.source", source = source.as_str(), former = former.as_str();
                    "source of the configuration changed"
                );
            }
        }
        self.replace(merged);
        true
    }

    /// Replaces the configuration and wakes those that wait for a change.
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
fn items_after<T: Clone>(items: &BTreeMap<String, Item<T>>, revision: u64) -> BTreeMap<String, Item<T>> {
    let newer = items.iter().filter(|(_, item)| item.revision > revision);
    newer.map(|(name, item)| (name.clone(), item.clone())).collect()
}

/// Replication from the store.
impl Replica {
    /// Polls the store for changes and keeps this node announced there.
    async fn follow_store(self) {
        let Some(network) = &self.0.network else { return };
        let mut nodes_revision = 0;
        let mut announcement = None;
        let mut next_roster_read = Instant::now() + jittered(ROSTER_INTERVAL);
        loop {
            let mut read = self.read_store(network, &mut nodes_revision).await;
            if read.is_ok() && Instant::now() >= next_roster_read {
                read = self.read_roster(network).await;
                next_roster_read = Instant::now() + jittered(ROSTER_INTERVAL);
            }
            self.log_store_transition(network, &read);
            if read.is_ok() {
                match self.announce(network, announcement).await {
                    Ok(current) => announcement = current,
                    Err(error) => {
                        log::warn!(event = "node.announce_failed", error:% = error; "cannot announce this node");
                    }
                }
            }
            time::sleep_until(Instant::now() + jittered(self.head_interval())).await;
        }
    }

    /// Logs when the store becomes unavailable or available again.
    fn log_store_transition(&self, network: &Network, read: &Result<(), Error>) {
        let former = network.store_reachable.replace(Some(read.is_ok()));
        let revision = self.snapshot().revision;
        match read {
            Ok(()) if former == Some(false) => {
                log::info!(event = "store.available", revision = revision; "the store is available again");
            }
            Err(error) if former != Some(false) => log::warn!(
                event = "store.unavailable", code = error.code().0, revision = revision, error:% = error;
                "the store is unavailable; the configuration in force stays"
            ),
            _ => {}
        }
    }

    /// Mean interval between head reads, which grows with the number of nodes to keep the total rate.
    fn head_interval(&self) -> Duration {
        let nodes = u32::try_from(self.snapshot().roster.len()).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(nodes) / HEAD_READS_PER_S).max(MIN_HEAD_INTERVAL)
    }

    /// Reads the head keys, and the entries written since the last read if the head keys changed.
    async fn read_store(&self, network: &Network, nodes_revision: &mut u64) -> Result<(), Error> {
        let heads = vec![Range::key(CONFIG_HEAD_KEY), Range::key(NODE_HEAD_KEY)];
        let reply = network.store.ranges(heads, Instant::now() + CALL_TIMEOUT).await?;
        let (mut config_head, mut nodes_head) = (0, 0);
        for entry in reply.entries() {
            if entry.key == CONFIG_HEAD_KEY.as_bytes() {
                config_head = entry.mod_revision;
            } else {
                nodes_head = entry.mod_revision;
            }
        }
        let known = self.snapshot().revision;
        let is_behind = config_head < known && config_head > 0;
        if is_behind && !network.store_behind.replace(is_behind) {
            log::warn!(
                event = "config.store_behind", store_revision = config_head, revision = known;
                "the store has an older revision; the configuration in force stays"
            );
        }
        network.store_behind.set(is_behind);
        if config_head <= known && nodes_head <= *nodes_revision {
            return Ok(());
        }
        let ranges = store::ranges_after(known, *nodes_revision);
        let reply = network.store.ranges(ranges, Instant::now() + CALL_TIMEOUT).await?;
        let revision = reply.header.revision;
        self.merge(store::decode_snapshot(reply.entries()), Source::Store);
        *nodes_revision = revision;
        Ok(())
    }
}

/// Random duration around a mean, so that nodes do not act in lockstep.
pub(super) fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
