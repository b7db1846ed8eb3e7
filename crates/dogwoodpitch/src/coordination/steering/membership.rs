//! Announces this node in the store and finds the others there.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    coordination::{
        kv::{self, Entry},
        steering::{
            agent,
            node::{Node, reject},
        },
        store::Error,
    },
    protocol::store::NODE_PREFIX,
    state::steering::report::{Report, Stance},
    transport::time,
};

/// Time to live of an announcement. Life is judged by reports between nodes; the lease only removes entries of VMs that
/// never come back, and outlasts an outage of the store.
const LEASE_TTL: Duration = Duration::from_mins(1);
/// Time between renewals: two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_secs(18);
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two tries of the first list while earlier ones are pending. It is less urgent than the routes, because
/// nodes also greet each other.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the first failure; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time between reads of the list. Nodes greet each other at their start, so the list is only a second way.
const LIST_INTERVAL: Duration = Duration::from_secs(9);
/// Time for the store to remove the entry at the end.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Announces the node and reads the list of the others, as long as the process runs.
pub(super) async fn announce(node: Rc<Node>) {
    greet_seeds(&node);
    let mut pause = MIN_PAUSE;
    let mut renew_at = Instant::now();
    let mut stale = false;
    loop {
        let now = Instant::now();
        let result: Result<(), Error> = async {
            // The list may show the announcement of the process that ran here before, which is kept.
            list(&node, stale).await?;
            if now >= renew_at {
                let renewal = renew(&node).await?;
                renew_at = now + RENEW_INTERVAL;
                if renewal == Renewal::Written {
                    // Others may have announced themselves since the list was read.
                    list(&node, false).await?;
                }
            }
            agent::decide(&node, &[], |agent, _, _| agent.mark_announced());
            Ok(())
        }
        .await;
        let next = match result {
            Ok(()) => {
                stale = true;
                pause = MIN_PAUSE;
                Instant::now() + LIST_INTERVAL
            }
            Err(error) => {
                log::warn!(
                    event = "store.unavailable", call = "membership", error:% = error;
                    "node cannot be announced or others cannot be listed"
                );
                greet_seeds(&node);
                let next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.6..1.4));
                // An agent that does not know all others cannot tell that nobody holds a flow.
                let max_pause = if stale { MAX_PAUSE } else { MIN_PAUSE };
                pause = (pause * 2).min(max_pause);
                next
            }
        };
        time::sleep_until(next).await;
    }
}

fn greet_seeds(node: &Node) {
    let seeds: Vec<_> = node.live.borrow().seeds().collect();
    node.greet(seeds.iter().copied());
    node.discover(seeds);
}

/// How a node is announced after a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Renewal {
    /// By the announcement that was there.
    Kept,
    /// By a new one.
    Written,
}

async fn renew(node: &Node) -> Result<Renewal, Error> {
    let store = &node.platform.store;
    let deadline = || Instant::now() + CALL_TIMEOUT;
    if let Some(lease) = node.lease.get() {
        if (store.keep_alive)(lease, deadline()).await? {
            return Ok(Renewal::Kept);
        }
        log::warn!(event = "lease.lost", lease; "the announcement was removed; announcing again");
        node.lease.set(None);
    }
    let lease = (store.grant)(LEASE_TTL, deadline()).await?;
    let mut value = Vec::new();
    ciborium::into_writer(&node.report(false), &mut value).expect("reports have no failing serializers");
    let item = Entry {
        key: format!("{NODE_PREFIX}{}", node.settings.ip).into(),
        value: value.into(),
        lease,
    };
    if !(store.put)(item, deadline()).await? {
        let text = "the lease ended before the announcement was written".to_owned();
        return Err(Error::Unavailable { text });
    }
    node.lease.set(Some(lease));
    Ok(Renewal::Written)
}

async fn list(node: &Rc<Node>, stale: bool) -> Result<(), Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let read = || (node.platform.store.list)(NODE_PREFIX.to_owned(), stale, deadline);
    let interval = if stale { CALL_TIMEOUT } else { HEDGE_INTERVAL };
    let response = kv::read_hedged(read, interval, deadline).await?;
    let mut listed = Vec::new();
    for item in response.entries {
        match parse(&item) {
            Some((ip, report)) if ip != node.settings.ip => listed.push((ip, report)),
            Some((_, report)) => adopt(node, &report, item.lease),
            None => reject(node.settings.ip, "entry of a node in the store is malformed"),
        }
    }
    let added = node.members.borrow_mut().add_listed(listed, Instant::now());
    let silent: Vec<_> = {
        let members = node.members.borrow();
        members
            .iter()
            .filter(|member| !member.heard)
            .map(|member| member.ip)
            .collect()
    };
    node.greet(added.into_iter().chain(silent));
    Ok(())
}

/// Goes on with the announcement of the process that ran here before, if it still says what others need to know.
fn adopt(node: &Node, announced: &Report, lease: u64) {
    if node.lease.get().is_none() && lease != 0 && announced.is_same_node(&node.report(false)) {
        node.lease.set(Some(lease));
    }
}

fn parse(item: &Entry) -> Option<(Ipv4Addr, Report)> {
    let key = std::str::from_utf8(&item.key).ok()?;
    let ip = key.strip_prefix(NODE_PREFIX)?.parse().ok()?;
    let report = ciborium::from_reader(&item.value[..]).ok()?;
    Some((ip, report))
}

/// Removes the announcement of a node that does not come back. A process that only restarts keeps it.
pub(super) async fn withdraw(node: &Node) {
    let leaving = node.stance(Instant::now()) == Stance::Leaving;
    let Some(lease) = node.lease.get().filter(|_| leaving) else {
        return;
    };
    if let Err(error) = (node.platform.store.revoke)(lease, Instant::now() + WITHDRAW_TIMEOUT).await {
        log::warn!(event = "lease.not_revoked", error:% = error; "the announcement stays until its lease ends");
    }
}
