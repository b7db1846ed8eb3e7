//! Load of the backend servers of a service in one data centre, and the wait expected from it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::state::steering::{
    member::{Member, Members},
    overflow::{DEFAULT_SERVICE_MS, EXTRA_MS},
    placement::{self, Candidate, LOCAL_CHOICES},
    route::Table,
};

/// Utilisation above which the cost grows linearly, because no queue is in equilibrium there.
const SATURATION: f64 = 0.95;

/// Open backend servers of a service in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pool {
    /// Number of backend servers.
    pub backends: f64,
    /// Slots, scaled by speed.
    pub capacity: f64,
    /// Requests queued, in progress or expected.
    pub work: f64,
    /// Part of the work that is expected from idle flows.
    pub idle_work: f64,
    /// Mean service time in milliseconds; 0 if it is not known.
    pub service_ms: f64,
    /// Mean age of the reports.
    pub age: Duration,
}

/// Pools by data centre.
pub type Pools = BTreeMap<Bytes, Pool>;

impl Pool {
    /// Work relative to the capacity.
    pub fn utilisation(&self) -> f64 {
        if self.capacity > 0.0 {
            self.work / self.capacity
        } else {
            f64::INFINITY
        }
    }

    /// Expected wait for a slot in service times, by Sakasegawa's approximation of a queue with several servers. Placement
    /// compares some backend servers, whose slots form one queue.
    pub fn wait(&self) -> f64 {
        let utilisation = self.utilisation().min(SATURATION);
        utilisation.powf(self.exponent()) / (self.queue_slots() * (1.0 - utilisation))
    }

    #[expect(clippy::cast_precision_loss, reason = "the number is small")]
    fn queue_slots(&self) -> f64 {
        (self.capacity / self.backends.max(1.0)).max(0.1) * LOCAL_CHOICES as f64
    }

    fn exponent(&self) -> f64 {
        ((2.0 * (self.queue_slots() + 1.0)).sqrt() - 1.0).max(0.0)
    }

    /// Waiting that one more request causes, its own and that of others, in service times: the derivative of the total
    /// [wait](Self::wait) by the work.
    pub(super) fn marginal_cost(&self) -> f64 {
        let reported = self.utilisation();
        if reported.is_infinite() {
            return reported;
        }
        let utilisation = reported.min(SATURATION);
        let free = 1.0 - utilisation;
        let exponent = self.exponent();
        let power = utilisation.powf(exponent);
        let cost = ((exponent + 1.0) * power * free + power * utilisation) / (self.queue_slots() * free * free);
        cost * (1.0 + (reported - utilisation) / (1.0 - SATURATION))
    }

    /// Whether the expected wait is shorter than the additional time that a flow needs elsewhere.
    pub(super) fn is_calm(&self) -> bool {
        let service_ms = if self.service_ms > 0.0 {
            self.service_ms
        } else {
            DEFAULT_SERVICE_MS
        };
        self.wait() * service_ms < EXTRA_MS
    }
}

/// Sums the loads of all open agents by service and data centre. Agents that have not reported recently have no room. A
/// service with more joining than open agents is left out: balancers place its flows on both.
pub fn pools(members: &Members, routes: &Table, now: Instant) -> BTreeMap<Bytes, Pools> {
    let mut services: BTreeMap<&Bytes, Vec<&Member>> = BTreeMap::new();
    for member in members
        .iter()
        .filter(|member| member.is_open(&member.report.service, now))
    {
        services.entry(&member.report.service).or_default().push(member);
    }
    let mut joining: BTreeMap<&Bytes, usize> = BTreeMap::new();
    for member in members.iter() {
        let service = &member.report.service;
        if member.is_joining(service, now) {
            *joining.entry(service).or_default() += 1;
        }
    }
    services
        .into_iter()
        .filter(|(service, open)| joining.get(service).is_none_or(|joining| *joining <= open.len()))
        .map(|(service, members)| (service.clone(), sum(&members, routes.cold_rate(service), now)))
        .collect()
}

fn sum(members: &[&Member], cold_rate: Option<f64>, now: Instant) -> Pools {
    let candidate = |member: &&Member| Candidate {
        // The other balancers' placements since the reports are not known.
        pending_placements: 0,
        ..Candidate::from_member(member, &member.report.data_centre, cold_rate)
    };
    let mut candidates: Vec<_> = members.iter().map(candidate).collect();
    placement::estimate_speeds(&mut candidates);
    let mut pools = Pools::new();
    let mut measured: BTreeMap<&Bytes, f64> = BTreeMap::new();
    for (candidate, member) in candidates.iter().zip(members) {
        let pool = pools.entry(member.report.data_centre.clone()).or_default();
        pool.backends += 1.0;
        pool.capacity += candidate.capacity();
        pool.work += candidate.work();
        pool.idle_work += candidate.idle_work();
        if candidate.load.latency_ms > 0 {
            pool.service_ms += f64::from(candidate.load.latency_ms);
            *measured.entry(&member.report.data_centre).or_default() += 1.0;
        }
        pool.age += member.age(now);
    }
    for (data_centre, pool) in &mut pools {
        pool.service_ms /= measured.get(data_centre).copied().unwrap_or(1.0);
        pool.age = pool.age.div_f64(pool.backends);
    }
    pools
}
