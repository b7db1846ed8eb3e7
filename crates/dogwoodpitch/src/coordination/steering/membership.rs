//! Registers this node in the store and discovers the other nodes there.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    coordination::{
        kv::{self, Entry, Response},
        steering::{agent, era, node::Node},
        store::Error,
    },
    protocol::{steer, store::NODE_PREFIX},
    state::steering::{
        announcement::{self, Lease, Listing, Verdict},
        era::Era,
        report::{Report, Stance},
    },
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
/// Time over which the nodes spread their calls after a return of the store.
const RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Timeout of the lease revocation at shutdown.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Announces this node, renews its lease and refreshes the list of the other nodes until the process exits.
pub(super) async fn maintain_membership(node: Rc<Node>) {
    contact_seeds(&node);
    let mut pause = MIN_PAUSE;
    let mut renewal = Renewal::default();
    let mut stale = false;
    loop {
        let (next, listed_in) = match update(&node, stale, &mut renewal).await {
            Ok(listed_in) => {
                stale = true;
                pause = MIN_PAUSE;
                (Instant::now() + LIST_INTERVAL, listed_in)
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
                (next, node.view.borrow().eras().newest())
            }
        };
        let is_newer = || (node.view.borrow().eras().newest() != listed_in).then_some(());
        if time::timeout_at(next, node.era_changed.wait(is_newer)).await.is_some() {
            let delay = RETURN_SPREAD.mul_f64(rand::rng().random());
            time::sleep_until((Instant::now() + delay).min(next)).await;
        }
    }
}

/// When the lease is renewed.
#[derive(Debug, Default)]
struct Renewal {
    /// `None` before the first renewal.
    due_at: Option<Instant>,
    /// Era of the last one. A copy of the store may be older than the last renewals of the era before.
    era: Option<Era>,
}

/// Refreshes the list of the other nodes, and renews the announcement of this one or writes it again. Returns the era of the
/// list.
async fn update(node: &Rc<Node>, stale: bool, renewal: &mut Renewal) -> Result<Option<Era>, Error> {
    let now = Instant::now();
    let mut list = if stale { read_stale_members(node).await? } else { None };
    // A stale list may be older than the announcement, and even than the era.
    list = list.filter(|list| announcement::judge(node.lease.get(), list.own) != Verdict::Missing);
    let mut list = match list {
        Some(list) => list,
        None => read_members(node).await?,
    };
    match announcement::judge(node.lease.get(), list.own) {
        Verdict::Stands(id) => node.lease.set(Some(Lease { id, era: list.era })),
        Verdict::Missing => {
            if let Some(lease) = node.lease.take() {
                metrics::counter!("dogwoodpitch_announcements_lost_total").increment(1);
                log::warn!(
                    event = "announcement.displaced", lease = lease.id, listed_lease = list.own.map(|own| own.lease);
                    "the announcement of this node is missing or hangs on another lease; announcing again"
                );
            }
        }
    }
    let is_due = renewal.due_at.is_none_or(|due_at| now >= due_at) || renewal.era != node.view.borrow().eras().newest();
    if is_due && !keep_alive(node).await? {
        node.lease.set(None);
    }
    if node.lease.get().is_none() {
        announce(node).await?;
        // Other nodes may have announced themselves since the list was read.
        list = read_members(node).await?;
    }
    if is_due {
        *renewal = Renewal {
            due_at: Some(now + RENEW_INTERVAL),
            era: node.view.borrow().eras().newest(),
        };
    }
    if node.first_listed_in.get().is_none() {
        node.first_listed_in.set(list.era);
        era::expect_announcements(node);
    }
    agent::update_agent(node, &[], |agent, _, _| agent.mark_announced());
    Ok(list.era)
}

fn contact_seeds(node: &Node) {
    let seeds: Vec<_> = node.live_settings.borrow().seeds().collect();
    node.send_greetings(seeds.iter().copied());
    node.request_node_lists(seeds);
}

/// Renews the lease, if there is one. Returns false if it has expired.
async fn keep_alive(node: &Rc<Node>) -> Result<bool, Error> {
    let Some(lease) = node.lease.get() else { return Ok(true) };
    let answer = (node.platform.store.keep_alive)(lease.id, Instant::now() + CALL_TIMEOUT).await?;
    let (exists, _) = era::record_answer(node, "keep alive", answer)?;
    if !exists {
        log::warn!(
            event = "lease.lost", lease = lease.id;
            "lease expired and the announcement was removed; announcing again"
        );
    }
    Ok(exists)
}

/// Announces this node under a new lease.
async fn announce(node: &Rc<Node>) -> Result<(), Error> {
    let store = &node.platform.store;
    let deadline = || Instant::now() + CALL_TIMEOUT;
    let answer = (store.grant)(LEASE_TTL, deadline()).await?;
    let (lease, granted_in) = era::record_answer(node, "grant", answer)?;
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
    let (written, written_in) = era::record_answer(node, "put", answer)?;
    // In a later era another node may have got the same lease.
    let has_returned = written_in.is_some() && granted_in.is_some_and(|era| Some(era) != written_in);
    if !written || has_returned {
        let text = "the lease ended before the announcement was written".to_owned();
        return Err(Error::Unavailable { text });
    }
    let era = node.view.borrow().eras().newest();
    node.lease.set(Some(Lease { id: lease, era }));
    Ok(())
}

/// What a list of the store tells of this node.
#[derive(Debug)]
struct List {
    era: Option<Era>,
    own: Option<Listing>,
}

async fn read_members(node: &Rc<Node>) -> Result<List, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let read = || (node.platform.store.list)(NODE_PREFIX.to_owned(), false, deadline);
    let answer = kv::read_hedged(read, HEDGE_INTERVAL, deadline).await?;
    let (response, _) = era::record_answer(node, "members", answer)?;
    Ok(refresh_members(node, &response, false))
}

/// Returns `None` if the list is of an earlier era.
async fn read_stale_members(node: &Rc<Node>) -> Result<Option<List>, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let answer = (node.platform.store.list)(NODE_PREFIX.to_owned(), true, deadline).await?;
    let newest = node.view.borrow().eras().newest();
    if answer.era.as_ref().is_ok_and(|era| Some(*era) < newest) {
        return Ok(None);
    }
    let (response, _) = era::record_answer(node, "members", answer)?;
    Ok(Some(refresh_members(node, &response, true)))
}

fn refresh_members(node: &Rc<Node>, response: &Response, stale: bool) -> List {
    let mut listed = Vec::new();
    let mut own = None;
    for reason in &response.rejected {
        node.reject_entry(reason);
    }
    for entry in &response.entries {
        match decode_member(entry) {
            Ok((ip, report)) if ip != node.settings.ip => listed.push((ip, report)),
            Ok((_, report)) => {
                let on_same_lease = |other: &&Entry| other.lease == entry.lease;
                own = Some(Listing {
                    lease: entry.lease,
                    shared: response.entries.iter().filter(on_same_lease).count() > 1,
                    same_node: report.is_same_node(&node.build_report(false)),
                });
            }
            Err(reason) => node.reject_entry(&reason),
        }
    }
    let now = Instant::now();
    let eras = *node.view.borrow().eras();
    // A store that has come back recently may have lost the announcement of an earlier process.
    if own.is_none() && !stale && node.lease.get().is_none() && !eras.is_rewriting(now) {
        agent::update_agent(node, &[], |agent, _, _| agent.mark_first_process());
    }
    let added = node.members.borrow_mut().add_listed(listed, now);
    let silent: Vec<_> = {
        let members = node.members.borrow();
        members
            .iter()
            .filter(|member| !member.heard)
            .map(|member| member.ip)
            .collect()
    };
    node.send_greetings(added.into_iter().chain(silent));
    List {
        era: eras.newest(),
        own,
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
pub(super) async fn withdraw(node: &Rc<Node>) {
    let leaving = node.stance(Instant::now()) == Stance::Leaving;
    // In a later era the lease may be that of another node.
    let era = node.view.borrow().eras().newest();
    let Some(lease) = node.lease.get().filter(|lease| leaving && lease.era == era) else {
        return;
    };
    let answer = (node.platform.store.revoke)(lease.id, Instant::now() + WITHDRAW_TIMEOUT).await;
    if let Err(error) = answer.and_then(|answer| era::record_answer(node, "revoke", answer)) {
        log::warn!(event = "lease.not_revoked", error:% = error; "cannot revoke the lease; the announcement stays until it expires");
    }
}
