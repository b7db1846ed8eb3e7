//! Gossip among the nodes: announces revisions by digests and pulls newer configuration.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use rand::seq::{IteratorRandom, SliceRandom};

use crate::{
    coordination::config::{MIN_HEAD_INTERVAL, MIN_ROSTER_PAUSE, Network, Replica, Source, jittered},
    protocol::{
        datagram::{Header, Kind},
        peer::{Digest, Message},
    },
    state::config::Snapshot,
    transport::{time, websocket::Link},
};

/// How long a starting node waits for its first configuration from the store before it also asks peers.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Mean interval between digests; each goes to one random node.
const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Number of random nodes that get a digest when the configuration changes.
const DIGEST_FANOUT: usize = 4;
/// Shortest time between rounds of digests, so that a burst of changes takes few rounds.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// Additional pause after a change of the roster alone. When a fleet starts, each node's announcement is such a change.
const ROSTER_DIGEST_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Clock difference between nodes that an incremental pull of the roster tolerates, in deciseconds (the unit of incarnations).
const INCARNATION_MARGIN_DS: u32 = 600;
/// Lowest incarnation in a pull that requests no roster entries.
const NO_NODES: u32 = u32::MAX;
/// Longest pause after a pull of the whole roster. The pause doubles while such pulls add no nodes: otherwise an entry that
/// only some nodes have already removed would cause a pull with each digest.
const MAX_ROSTER_PAUSE: Duration = Duration::from_mins(10);

impl Replica {
    /// Pulls from random known nodes and seeds until one has replied and there is a configuration or a reachable store. The
    /// pulls make this node known to the others and, while the store is down, fetch the configuration.
    pub(super) async fn bootstrap(self) {
        let Some(network) = &self.0.network else { return };
        let first_read = Instant::now() + FIRST_READ_TIMEOUT;
        let _ = time::timeout_at(first_read, self.changed(&self.snapshot())).await;
        loop {
            let mut addresses: Vec<_> = self.snapshot().peer_addresses(&self.local_node().name).collect();
            addresses.extend(&network.seeds);
            addresses.retain(|address| *address != self.local_node().peer);
            addresses.shuffle(&mut rand::rng());
            // With a reachable store most of the roster is known; without it, the whole roster is pulled from the peer.
            let incarnation = if self.is_store_reachable() {
                self.recent_incarnation()
            } else {
                0
            };
            let mut replied = false;
            for address in addresses.into_iter().take(DIGEST_FANOUT) {
                replied = replied || self.pull(network, address, incarnation).await;
            }
            if replied && (self.snapshot().revision > 0 || self.is_store_reachable()) {
                return;
            }
            time::sleep_until(Instant::now() + jittered(MIN_HEAD_INTERVAL)).await;
        }
    }

    /// Sends digests after each change and periodically.
    pub(super) async fn gossip(self) {
        let Some(network) = &self.0.network else { return };
        let mut known = self.snapshot();
        loop {
            let deadline = Instant::now() + jittered(DIGEST_INTERVAL);
            if let Some(snapshot) = time::timeout_at(deadline, self.changed(&known)).await {
                let only_roster = snapshot.revision == known.revision;
                known = snapshot;
                self.send_digests(network, DIGEST_FANOUT);
                time::sleep_until(Instant::now() + DIGEST_PAUSE).await;
                if only_roster {
                    let _ = time::timeout_at(
                        Instant::now() + ROSTER_DIGEST_PAUSE,
                        self.wait_for_revision_after(known.revision),
                    )
                    .await;
                }
            } else {
                self.send_digests(network, 1);
            }
        }
    }

    /// Waits until the revision exceeds the given one.
    async fn wait_for_revision_after(&self, revision: u64) {
        let mut current = self.snapshot();
        while current.revision <= revision {
            current = self.changed(&current).await;
        }
    }

    fn send_digests(&self, network: &Network, count: usize) {
        let snapshot = self.snapshot();
        let others = snapshot
            .roster
            .iter()
            .filter(|node| node.name != self.local_node().name);
        for node in others.sample(&mut rand::rng(), count) {
            self.send_digest(network, node.datagram);
        }
        network.channel.flush();
    }

    fn send_digest(&self, network: &Network, to: SocketAddrV4) {
        let snapshot = self.snapshot();
        let digest = Digest {
            node: self.local_node().name.clone(),
            revision: snapshot.revision,
            nodes: u32::try_from(snapshot.roster.len()).unwrap_or(u32::MAX),
            incarnation: newest_incarnation(&snapshot),
            peer: self.local_node().peer,
        };
        let mut payload = Vec::new();
        ciborium::into_writer(&digest, &mut payload).expect("writing CBOR to memory does not fail");
        network.channel.send(to, &Header::control(Kind::Digest), &payload);
    }

    /// Handles a `Digest` frame: sends a digest back to a sender with an older revision, and pulls from one with newer data.
    pub fn receive_digest(&self, from: SocketAddrV4, digest: &Digest) {
        let Some(network) = &self.0.network else { return };
        if digest.node == self.local_node().name {
            return;
        }
        if digest.revision < self.snapshot().revision {
            self.send_digest(network, from);
            network.channel.flush();
        }
        if self.pull_incarnation(network, digest).is_none() {
            return;
        }
        if network.pulling.get() {
            network.pending_digest.replace(Some(digest.clone()));
            return;
        }
        network.pulling.set(true);
        monoio::spawn(self.clone().catch_up(digest.clone()));
    }

    /// Pulls from the sender of a digest, then from the sender of the latest digest that arrived meanwhile, and so on.
    async fn catch_up(self, digest: Digest) {
        let Some(network) = &self.0.network else { return };
        let mut next = Some(digest);
        while let Some(digest) = next {
            if let Some(incarnation) = self.pull_incarnation(network, &digest) {
                let known_nodes = self.snapshot().roster.len();
                self.pull(network, digest.peer, incarnation).await;
                if incarnation == 0 {
                    let pause = if self.snapshot().roster.len() > known_nodes {
                        MIN_ROSTER_PAUSE
                    } else {
                        (network.roster_pause.get() * 2).min(MAX_ROSTER_PAUSE)
                    };
                    network.roster_pause.set(pause);
                    network.roster_pull_after.set(Some(Instant::now() + pause));
                }
            }
            next = network.pending_digest.take();
        }
        network.pulling.set(false);
    }

    /// Lowest incarnation to pull if the sender of a digest has newer data; `None` if it has not.
    fn pull_incarnation(&self, network: &Network, digest: &Digest) -> Option<u32> {
        let snapshot = self.snapshot();
        let may_pull_roster = network.roster_pull_after.get().is_none_or(|at| Instant::now() >= at);
        if digest.nodes as usize > snapshot.roster.len() && may_pull_roster {
            return Some(0);
        }
        if digest.incarnation > newest_incarnation(&snapshot) {
            return Some(self.recent_incarnation());
        }
        (digest.revision > snapshot.revision).then_some(NO_NODES)
    }

    /// Lowest incarnation that a node may have that started after the newest known one, given different clocks.
    fn recent_incarnation(&self) -> u32 {
        newest_incarnation(&self.snapshot())
            .saturating_sub(INCARNATION_MARGIN_DS)
            .max(1)
    }

    /// Pulls newer data from a node. Returns whether it replied.
    async fn pull(&self, network: &Network, address: SocketAddr, incarnation: u32) -> bool {
        let deadline = Instant::now() + PULL_TIMEOUT;
        let exchange = async {
            let mut link = Link::connect(address, &network.key, &self.local_node().name, deadline).await?;
            let pull = Message::Pull {
                revision: self.snapshot().revision,
                incarnation,
                node: Box::new(self.local_node().clone()),
            };
            link.send(&pull).await?;
            link.recv::<Message>().await
        };
        match time::timeout_at(deadline, Box::pin(exchange)).await {
            Some(Ok(message @ Message::Snapshot(_))) => {
                self.count_link_bytes(message_len(&message));
                if let Message::Snapshot(snapshot) = message {
                    self.merge(*snapshot, Source::Peer);
                }
                return true;
            }
            Some(Ok(_)) => log::warn!(event = "pull.unexpected", peer:% = address; "unexpected reply to a pull"),
            Some(Err(error)) => log::debug!(event = "pull.failed", peer:% = address, error:% = error; "pull failed"),
            None => log::debug!(event = "pull.timeout", peer:% = address; "pull timed out"),
        }
        false
    }
}

fn newest_incarnation(snapshot: &Snapshot) -> u32 {
    snapshot.roster.iter().map(|node| node.incarnation).max().unwrap_or(0)
}

/// Encoded length of a message.
pub(super) fn message_len(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing CBOR to memory does not fail");
    bytes.len() as u64
}
