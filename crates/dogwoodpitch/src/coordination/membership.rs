//! Announces this node in the store, and removes nodes from the roster whose entries there have expired.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        config::{CALL_TIMEOUT, Network, Replica, jittered},
        store::Error,
    },
    protocol::store::{Compare, NODE_HEAD_KEY, NODE_PREFIX, Put, Range, Step, Txn},
    state::roster::Node,
};

/// Time to live of a node's announcement.
const LEASE_TTL: Duration = Duration::from_mins(10);
/// Interval between lease renewals: two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(200);

/// Announcement of this node in the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Announcement {
    /// Lease of the entry; 0 for none. Only the store's reply to a renewal tells whether it has expired.
    lease: u64,
    renew_at: Instant,
}

impl Replica {
    /// Reads all announced names and removes the nodes that have been missing for the grace time.
    pub(super) async fn read_roster(&self, network: &Network) -> Result<(), Error> {
        let range = Range {
            keys_only: true,
            ..Range::prefix_after(NODE_PREFIX, 0)
        };
        let reply = network.store.range(&range, Instant::now() + CALL_TIMEOUT).await?;
        let names = reply.kvs.iter().filter_map(|entry| {
            let key = std::str::from_utf8(&entry.key).ok()?;
            key.strip_prefix(NODE_PREFIX).map(str::to_owned)
        });
        let mut listed: BTreeSet<_> = names.collect();
        listed.insert(self.local_node().name.clone());
        let known = self.snapshot();
        let names = network
            .absence
            .borrow_mut()
            .expire_missing(&known.roster, &listed, Instant::now());
        if names.is_empty() {
            return Ok(());
        }
        let mut snapshot = (*known).clone();
        for name in names {
            log::info!(event = "node.dropped", name = name.as_str(); "node removed; its entry in the store has expired");
            snapshot.remove_node(&name);
        }
        self.replace(snapshot);
        Ok(())
    }

    /// Writes this node's entry with a lease, or renews the lease when it is due.
    pub(super) async fn announce(
        &self,
        network: &Network,
        announcement: Option<Announcement>,
    ) -> Result<Option<Announcement>, Error> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        if let Some(current) = announcement {
            if Instant::now() < current.renew_at {
                return Ok(announcement);
            }
            if current.lease != 0 && network.store.keep_alive(current.lease, deadline).await?.ttl > 0 {
                return Ok(Some(Announcement {
                    renew_at: Instant::now() + jittered(RENEW_INTERVAL),
                    ..current
                }));
            }
            log::warn!(event = "node.lease_expired", lease = current.lease; "this node's entry in the store has no valid lease");
        }
        let key = format!("{NODE_PREFIX}{}", self.local_node().name);
        let existing = network.store.range(&Range::key(&key), deadline).await?.kvs.pop();
        let announced = existing
            .as_ref()
            .and_then(|entry| serde_json::from_slice::<Node>(&entry.value).ok());
        if announced.is_some_and(|node| node.incarnation > self.local_node().incarnation) {
            log::error!(event = "node.superseded"; "a newer process announced itself under this node's name");
            return Ok(Some(Announcement {
                lease: 0,
                renew_at: Instant::now() + jittered(RENEW_INTERVAL),
            }));
        }
        let lease = network.store.grant(LEASE_TTL, deadline).await?.id;
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
                mod_revision: existing.map_or(0, |entry| entry.mod_revision),
                ..Compare::default()
            }],
            success: vec![
                put(key, value, lease),
                put(NODE_HEAD_KEY.to_owned(), self.local_node().name.clone().into_bytes(), 0),
            ],
            failure: Vec::new(),
        };
        // After a failed comparison or a lost reply, the next round reads the entry again and retries the write.
        if !network.store.txn(&txn, deadline).await?.succeeded {
            return Ok(None);
        }
        log::info!(event = "node.announced", lease = lease; "node announced");
        Ok(Some(Announcement {
            lease,
            renew_at: Instant::now() + jittered(RENEW_INTERVAL),
        }))
    }
}
