//! Rules that the simulation checks. The oracle knows which backend server holds each flow, and nothing of the reasons of
//! the code.

use std::{collections::BTreeMap, net::Ipv4Addr};

use dogwoodpitch::state::steering::segment::Flow;

use super::{MS, Time, World, client::ClientState};
use crate::build::SERVICE;

/// Time before an event in which an impairment may explain it.
const IMPAIRMENT_WINDOW: Time = 5_000 * MS;
/// Time for which a flow's packets may reach other backend servers only.
const STRAY_TIME: Time = 2_000 * MS;
/// Number of packets that may reach other backend servers in that time.
const STRAY_PACKETS: usize = 3;
/// Time after which a request that waits for a backend server that is gone counts as hanging.
const HANG_TIME: Time = 3_000 * MS;

/// Time that flows of an ended backend server may take to end, if its VM lives.
const END_TIME: Time = 6_000 * MS;
/// The same time if its VM is gone.
const REMOVED_END_TIME: Time = 12_000 * MS;

/// Time after an evacuation from which no new flow may reach the data centre.
const EVACUATION_TIME: Time = 5_000 * MS;

/// Reset that a node sends to a client.
#[derive(Debug, Clone)]
pub(super) struct Reset {
    pub(super) by: Ipv4Addr,
    pub(super) kind: &'static str,
    pub(super) evidence: String,
}

#[derive(Debug, Clone)]
struct Record {
    owner: Ipv4Addr,
    lifetime: u64,
    opened_at: Time,
    /// Packets that have reached other backend servers since the last one that reached the owner.
    strays: Vec<(Time, Ipv4Addr)>,
}

/// Impairment of a node, or of all if the address is unspecified.
#[derive(Debug, Clone, Copy)]
struct Impairment {
    ip: Ipv4Addr,
    kind: &'static str,
    from: Time,
    until: Time,
}

/// Violation of a rule.
#[derive(Debug, Clone)]
pub(super) struct Violation {
    /// Rule and evidence, without details of the case.
    pub(super) kind: String,
    /// Whether an unplanned impairment of the nodes concerned may explain it.
    pub(super) impaired: bool,
    pub(super) flow: Flow,
    pub(super) nodes: Vec<Ipv4Addr>,
    pub(super) at: Time,
    pub(super) text: String,
}

/// Owners of all open flows.
#[derive(Debug, Clone, Default)]
pub(super) struct Oracle {
    open: BTreeMap<Flow, Record>,
    ended_lifetimes: BTreeMap<u64, Time>,
    impairments: Vec<Impairment>,
    pub(super) violations: Vec<Violation>,
    /// Number of flows by the reason for which their clients ended them.
    pub(super) ends: BTreeMap<&'static str, u64>,
    pub(super) opened: u64,
    pub(super) resets: u64,
    /// Resets of flows whose backend server was gone.
    pub(super) due_resets: u64,
}

impl Oracle {
    pub(super) fn open(&mut self, flow: Flow, owner: Ipv4Addr, lifetime: u64, now: Time) {
        self.opened += 1;
        let record = Record {
            owner,
            lifetime,
            opened_at: now,
            strays: Vec::new(),
        };
        self.open.insert(flow, record);
    }

    pub(super) fn close(&mut self, flow: Flow) {
        self.open.remove(&flow);
    }

    /// Ends the checks of a flow whose client has accepted a reset.
    pub(super) fn forget(&mut self, flow: Flow) {
        self.open.remove(&flow);
    }

    pub(super) fn end_lifetime(&mut self, lifetime: u64, now: Time) {
        self.ended_lifetimes.insert(lifetime, now);
    }

    pub(super) fn record_impairment(&mut self, ip: Ipv4Addr, kind: &'static str, from: Time, until: Time) {
        self.impairments.push(Impairment { ip, kind, from, until });
    }

    /// Impairments of a node that may explain an event.
    fn impairments(&self, ip: Ipv4Addr, now: Time) -> Vec<&'static str> {
        let recent = |impairment: &&Impairment| {
            (impairment.ip == ip || impairment.ip.is_unspecified())
                && impairment.from <= now
                && now < impairment.until + IMPAIRMENT_WINDOW
        };
        let mut kinds: Vec<_> = self
            .impairments
            .iter()
            .filter(recent)
            .map(|impairment| impairment.kind)
            .collect();
        kinds.sort_unstable();
        kinds.dedup();
        kinds
    }

    /// Records that a client's packet reached a backend server.
    pub(super) fn record_arrival(&mut self, flow: Flow, ip: Ipv4Addr, lifetime: u64, now: Time) {
        let Some(record) = self.open.get_mut(&flow) else { return };
        if record.lifetime == lifetime {
            record.strays.clear();
            return;
        }
        record.strays.push((now, ip));
        let (first, _) = record.strays[0];
        if record.strays.len() < STRAY_PACKETS
            || now < first + STRAY_TIME
            || self.ended_lifetimes.contains_key(&record.lifetime)
        {
            return;
        }
        let text = format!("packets reached other backend servers only: {:?}", record.strays);
        let (owner, opened_at) = (record.owner, record.opened_at);
        record.strays.clear();
        let impairments = self.impairments(owner, now);
        self.violations.push(Violation {
            kind: format!("stray; owner {impairments:?}"),
            impaired: is_unplanned(&impairments),
            flow,
            nodes: vec![owner],
            at: now,
            text: format!("{text}; owner {owner}, opened at {} ms", opened_at / MS),
        });
    }
}

/// Whether some of the impairments are not planned work.
fn is_unplanned(kinds: &[&str]) -> bool {
    kinds.iter().any(|kind| *kind != "restart")
}

impl World {
    /// Checks a reset that a node has sent to a client.
    pub(super) fn check_reset(&mut self, flow: Flow, reset: &Reset) {
        let now = self.now;
        self.oracle.resets += 1;
        self.trace(flow, || format!("reset by {}: {}", reset.by, reset.evidence));
        let Some(record) = self.oracle.open.get(&flow) else {
            return;
        };
        let (owner, opened_at, lifetime) = (record.owner, record.opened_at, record.lifetime);
        let backend = self.backends.get(&owner);
        if !backend.is_some_and(|backend| backend.lifetime == lifetime && backend.holds(flow)) {
            self.oracle.due_resets += 1;
            return;
        }
        let owners = self.oracle.impairments(owner, now);
        let resetters = self.oracle.impairments(reset.by, now);
        let own = if owner == reset.by { "own agent" } else { "another node" };
        let repeatable = if flow.service == SERVICE {
            ""
        } else {
            ", not repeatable"
        };
        self.oracle.violations.push(Violation {
            kind: format!(
                "reset: {} by {own}; owner {owners:?}, resetter {resetters:?}{repeatable}",
                reset.kind.trim_start_matches("reset: ")
            ),
            impaired: is_unplanned(&owners) || is_unplanned(&resetters),
            flow,
            nodes: vec![owner, reset.by],
            at: now,
            text: format!(
                "reset by {} ({}); owner {owner}, opened at {} ms",
                reset.by,
                reset.evidence,
                opened_at / MS
            ),
        });
    }

    /// Checks that a SYN does not reach the backend server of an evacuated data centre.
    pub(super) fn check_evacuation(&mut self, flow: Flow, ip: Ipv4Addr) {
        let now = self.now;
        let is_late = self.evacuated_at.is_some_and(|at| now >= at + EVACUATION_TIME);
        if !is_late || self.vms.get(&ip).is_none_or(|vm| vm.data_centre != "west") {
            return;
        }
        let impairments = self.oracle.impairments(ip, now);
        self.oracle.violations.push(Violation {
            kind: format!("SYN after the evacuation; agent {impairments:?}"),
            impaired: impairments.iter().any(|kind| matches!(*kind, "cut" | "paused")),
            flow,
            nodes: vec![ip],
            at: now,
            text: format!("SYN at {ip}, evacuated at {:?} ms", self.evacuated_at.map(|at| at / MS)),
        });
    }

    /// Checks after a time without faults that no request of a flow waits for a backend server that is gone.
    pub(super) fn check_hanging_flows(&mut self) {
        let now = self.now;
        let waiting = self.clients.iter().filter(|(flow, client)| {
            flow.service == SERVICE
                && client.state == ClientState::Open
                && client.waiting_since.is_some_and(|since| now >= since + HANG_TIME)
        });
        let waiting: Vec<_> = waiting
            .map(|(flow, client)| (*flow, client.waiting_since, client.has_unacknowledged()))
            .collect();
        for (flow, since, client_sends) in waiting {
            let Some(record) = self.oracle.open.get(&flow) else {
                continue;
            };
            let ended = self.oracle.ended_lifetimes.get(&record.lifetime).copied();
            let allowed = if self.vms.contains_key(&record.owner) {
                END_TIME
            } else {
                REMOVED_END_TIME
            };
            if ended.is_some_and(|at| now < at + allowed) {
                continue;
            }
            let owner = record.owner;
            let waited = (now - since.unwrap_or(now)) / MS;
            // A process that has started since knows nothing of a flow whose client only waits.
            let opened_at = record.opened_at;
            let is_known = self.nodes.get(&owner).is_some_and(|node| node.started_at < opened_at);
            let (kind, impaired) = match (ended, client_sends) {
                (Some(_), true) => ("hang: backend server is gone", false),
                (Some(_), false) if is_known => ("hang: backend server is gone, client only waits", true),
                (None, true) => ("hang: backend server lives", false),
                (_, false) => continue,
            };
            self.oracle.violations.push(Violation {
                kind: kind.to_owned(),
                impaired,
                flow,
                nodes: vec![owner],
                at: now,
                text: format!(
                    "waits for {waited} ms; owner {owner}, ended at {:?}",
                    ended.map(|at| at / MS)
                ),
            });
        }
    }
}
