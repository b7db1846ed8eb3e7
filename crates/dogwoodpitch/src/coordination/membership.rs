//! Announces this node in the store and drops the entries that have expired there.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        config::{Peers, READ_TIMEOUT, Replica, jittered},
        store::Error,
    },
    protocol::store::{Compare, NODE_HEAD_KEY, NODE_PREFIX, Put, Range, Step, Txn},
    state::roster::Node,
};

/// Time to live of a node's announcement.
const LEASE_TTL: Duration = Duration::from_mins(10);
/// Interval of lease renewals: two renewals may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(200);

/// Lease of this node's announcement, 0 for none. Whether it still holds is only known from the store's answer to a
/// renewal.
#[derive(Debug, Clone, Copy)]
pub(super) struct Announced {
    lease: u64,
    renew_at: Instant,
}

impl Replica {
    /// Reads all announced names and drops the entries that have been missing for long.
    pub(super) async fn read_roster(&self, peers: &Peers) -> Result<(), Error> {
        let range = Range {
            keys_only: true,
            ..Range::prefix_after(NODE_PREFIX, 0)
        };
        let reply = peers.store.range(&range, Instant::now() + READ_TIMEOUT).await?;
        let names = reply.kvs.iter().filter_map(|entry| {
            let key = std::str::from_utf8(&entry.key).ok()?;
            key.strip_prefix(NODE_PREFIX).map(str::to_owned)
        });
        let mut listed: BTreeSet<_> = names.collect();
        listed.insert(self.local_node().name.clone());
        let known = self.snapshot();
        let names = peers
            .absence
            .borrow_mut()
            .expire_missing(&known.roster, &listed, Instant::now());
        if names.is_empty() {
            return Ok(());
        }
        let mut snapshot = (*known).clone();
        for name in names {
            log::info!(event = "node.dropped", name = name.as_str(); "the entry of a node has expired");
            snapshot.remove_node(&name);
        }
        self.replace(snapshot);
        Ok(())
    }

    /// Writes this node's entry with a lease, or renews the lease when it is due.
    pub(super) async fn announce(
        &self,
        peers: &Peers,
        announced: Option<Announced>,
    ) -> Result<Option<Announced>, Error> {
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
        let key = format!("{NODE_PREFIX}{}", self.local_node().name);
        let current = peers.store.range(&Range::key(&key), deadline).await?.kvs.pop();
        let other = current
            .as_ref()
            .and_then(|entry| serde_json::from_slice::<Node>(&entry.value).ok());
        if other.is_some_and(|node| node.incarnation > self.local_node().incarnation) {
            log::error!(event = "node.superseded"; "a newer process announced itself under this node's name");
            return Ok(Some(Announced {
                lease: 0,
                renew_at: Instant::now() + jittered(RENEW_INTERVAL),
            }));
        }
        let lease = peers.store.grant(LEASE_TTL, deadline).await?.id;
        let value = serde_json::to_vec(self.local_node()).expect("a node has string keys");
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
                put(NODE_HEAD_KEY.to_owned(), self.local_node().name.clone().into_bytes(), 0),
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
}
