//! Spreads revisions among the nodes by digests, and pulls what is new.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use rand::seq::{IteratorRandom, SliceRandom};

use crate::{
    coordination::config::{MIN_HEAD_INTERVAL, MIN_ROSTER_PAUSE, Peers, Replica, Source, jittered},
    protocol::{
        datagram::{Header, Kind},
        peer::{Digest, Message},
    },
    state::config::Snapshot,
    transport::{time, websocket::Link},
};

/// Time that the store has for the first configuration before peers are asked too.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
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
/// Longest pause after a pull of the whole roster. The pause doubles while such pulls bring nothing new: entries that
/// some nodes have already dropped would otherwise cause one with each digest.
const MAX_ROSTER_PAUSE: Duration = Duration::from_mins(10);

impl Replica {
    /// Pulls from a random known node or seed until one has answered and there is a configuration or a store. This tells
    /// the others about this node and, while the store is down, gives the configuration.
    pub(super) async fn introduce(self) {
        let Some(peers) = &self.0.peers else { return };
        let first_read = Instant::now() + FIRST_READ_TIMEOUT;
        let _ = time::timeout_at(first_read, self.changed(&self.snapshot())).await;
        loop {
            let mut addresses: Vec<_> = self.snapshot().peer_addresses(&self.local_node().name).collect();
            addresses.extend(&peers.seeds);
            addresses.retain(|address| *address != self.local_node().peer);
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

    pub(super) async fn gossip(self) {
        let Some(peers) = &self.0.peers else { return };
        let mut known = self.snapshot();
        loop {
            let deadline = Instant::now() + jittered(DIGEST_INTERVAL);
            if let Some(snapshot) = time::timeout_at(deadline, self.changed(&known)).await {
                let only_roster = snapshot.revision == known.revision;
                known = snapshot;
                self.send_digests(peers, DIGEST_FANOUT);
                time::sleep_until(Instant::now() + DIGEST_PAUSE).await;
                if only_roster {
                    let _ = time::timeout_at(Instant::now() + ROSTER_DIGEST_PAUSE, self.newer(known.revision)).await;
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
        let others = snapshot
            .roster
            .iter()
            .filter(|node| node.name != self.local_node().name);
        for node in others.sample(&mut rand::rng(), count) {
            self.send_digest(peers, node.datagram);
        }
        peers.port.flush();
    }

    fn send_digest(&self, peers: &Peers, to: SocketAddrV4) {
        let snapshot = self.snapshot();
        let digest = Digest {
            node: self.local_node().name.clone(),
            revision: snapshot.revision,
            nodes: u32::try_from(snapshot.roster.len()).unwrap_or(u32::MAX),
            incarnation: newest(&snapshot),
            peer: self.local_node().peer,
        };
        let mut payload = Vec::new();
        ciborium::into_writer(&digest, &mut payload).expect("writing CBOR to memory does not fail");
        peers.port.send(to, &Header::control(Kind::Digest), &payload);
    }

    /// Handles a `Digest` frame.
    pub fn receive_digest(&self, from: SocketAddrV4, digest: &Digest) {
        let Some(peers) = &self.0.peers else { return };
        if digest.node == self.local_node().name {
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
        let Some(peers) = &self.0.peers else { return };
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
            let mut link = Link::connect(address, &peers.key, &self.local_node().name, deadline).await?;
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
pub(super) fn message_len(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing CBOR to memory does not fail");
    bytes.len() as u64
}
