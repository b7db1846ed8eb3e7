//! Registers this node in the store and discovers the other nodes there.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    coordination::{
        kv::{self, Entry},
        steering::{agent, era, node::Node},
        store::Error,
    },
    protocol::{steer, store::NODE_PREFIX},
    state::steering::report::{Report, Stance},
    transport::time,
};

/// Time to live of an announcement. Liveness is determined by reports between nodes. The lease only removes entries of VMs
/// that never come back, so it is long enough to outlast an outage of the store.
const LEASE_TTL: Duration = Duration::from_mins(1);
/// Interval between lease renewals: two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(18);
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts of the first, hedged list read. It is less urgent than the routes, because nodes also send
/// each other greetings.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the first failure; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Interval between list reads. The list is only a fallback, because starting nodes send greetings to the others.
const LIST_INTERVAL: Duration = Duration::from_secs(9);
/// Timeout of the lease revocation at shutdown.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Announces this node, renews its lease and refreshes the list of the other nodes until the process exits.
pub(super) async fn maintain_membership(node: Rc<Node>) {
    contact_seeds(&node);
    let mut pause = MIN_PAUSE;
    let mut renew_at = Instant::now();
    let mut stale = false;
    loop {
        let now = Instant::now();
        let result: Result<(), Error> = async {
            // The list may contain the announcement of this node's previous process, which is adopted.
            refresh_members(&node, stale).await?;
            if now >= renew_at {
                let renewal = renew(&node).await?;
                renew_at = now + RENEW_INTERVAL;
                if renewal == Renewal::Written {
                    // Other nodes may have announced themselves since the list was read.
                    refresh_members(&node, false).await?;
                }
            }
            agent::update_agent(&node, &[], |agent, _, _| agent.mark_announced());
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
                    "cannot announce this node or list the others"
                );
                contact_seeds(&node);
                let next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.6..1.4));
                // Before its first list, an agent cannot conclude that no agent holds a flow, so it retries quickly.
                let max_pause = if stale { MAX_PAUSE } else { MIN_PAUSE };
                pause = (pause * 2).min(max_pause);
                next
            }
        };
        time::sleep_until(next).await;
    }
}

fn contact_seeds(node: &Node) {
    let seeds: Vec<_> = node.live_settings.borrow().seeds().collect();
    node.send_greetings(seeds.iter().copied());
    node.request_node_lists(seeds);
}

/// Outcome of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Renewal {
    /// The existing announcement stays, with a renewed lease.
    Kept,
    /// A new announcement was written.
    Written,
}

async fn renew(node: &Rc<Node>) -> Result<Renewal, Error> {
    let store = &node.platform.store;
    let deadline = || Instant::now() + CALL_TIMEOUT;
    if let Some(lease) = node.lease.get() {
        let answer = (store.keep_alive)(lease, deadline()).await?;
        if era::record_answer(node, "keep alive", answer)?.0 {
            return Ok(Renewal::Kept);
        }
        log::warn!(event = "lease.lost", lease; "lease expired and the announcement was removed; announcing again");
        node.lease.set(None);
    }
    let answer = (store.grant)(LEASE_TTL, deadline()).await?;
    let (lease, _) = era::record_answer(node, "grant", answer)?;
    let mut value = Vec::new();
    let report = Report {
        evacuations: None,
        era: None,
        recovery: None,
        ..node.build_report(false)
    };
    ciborium::into_writer(&report, &mut value).expect("reports have no failing serializers");
    let entry = Entry {
        key: format!("{NODE_PREFIX}{}", node.settings.ip).into(),
        value: value.into(),
        lease,
    };
    let answer = (store.put)(entry, deadline()).await?;
    if !era::record_answer(node, "put", answer)?.0 {
        let text = "the lease ended before the announcement was written".to_owned();
        return Err(Error::Unavailable { text });
    }
    node.lease.set(Some(lease));
    Ok(Renewal::Written)
}

async fn refresh_members(node: &Rc<Node>, stale: bool) -> Result<(), Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let read = || (node.platform.store.list)(NODE_PREFIX.to_owned(), stale, deadline);
    let interval = if stale { CALL_TIMEOUT } else { HEDGE_INTERVAL };
    let answer = kv::read_hedged(read, interval, deadline).await?;
    let newest = node.view.borrow().eras().newest();
    if stale && answer.era.as_ref().is_ok_and(|era| Some(*era) < newest) {
        let text = "the stale list is of an earlier era".to_owned();
        return Err(Error::Unavailable { text });
    }
    let (response, _) = era::record_answer(node, "members", answer)?;
    let mut listed = Vec::new();
    let mut own_listed = None;
    for reason in &response.rejected {
        node.reject_entry(reason);
    }
    for entry in response.entries {
        match decode_member(&entry) {
            Ok((ip, report)) if ip != node.settings.ip => listed.push((ip, report)),
            Ok((_, report)) => {
                own_listed = Some(entry.lease);
                adopt_lease(node, &report, entry.lease);
            }
            Err(reason) => node.reject_entry(&reason),
        }
    }
    if let Some(lease) = node.lease.get()
        && own_listed != Some(lease)
    {
        log::warn!(
            event = "announcement.displaced", lease, listed_lease = own_listed, stale;
            "the announcement of this node is missing or hangs on another lease"
        );
    }
    if own_listed.is_none() && !stale && node.lease.get().is_none() {
        agent::update_agent(node, &[], |agent, _, _| agent.mark_first_process());
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
    node.send_greetings(added.into_iter().chain(silent));
    Ok(())
}

/// Takes over the lease of the previous process's announcement if its content is still valid for this process.
fn adopt_lease(node: &Node, announced: &Report, lease: u64) {
    if node.lease.get().is_none() && lease != 0 && announced.is_same_node(&node.build_report(false)) {
        node.lease.set(Some(lease));
    }
}

fn decode_member(entry: &Entry) -> Result<(Ipv4Addr, Report), String> {
    let key = String::from_utf8_lossy(&entry.key);
    let ip = key.strip_prefix(NODE_PREFIX).and_then(|ip| ip.parse().ok());
    let ip = ip.ok_or_else(|| format!("{key} names no address of a node"))?;
    let report = ciborium::from_reader(&entry.value[..]).map_err(|error| format!("value of {key}: {error}"))?;
    steer::check_node(ip).map_err(|error| format!("{key}: {error}"))?;
    Ok((ip, report))
}

/// Revokes the lease of a node that leaves for good. A process that only restarts keeps its announcement.
pub(super) async fn withdraw(node: &Node) {
    let leaving = node.stance(Instant::now()) == Stance::Leaving;
    let Some(lease) = node.lease.get().filter(|_| leaving) else {
        return;
    };
    if let Err(error) = (node.platform.store.revoke)(lease, Instant::now() + WITHDRAW_TIMEOUT).await {
        log::warn!(event = "lease.not_revoked", error:% = error; "cannot revoke the lease; the announcement stays until it expires");
    }
}
