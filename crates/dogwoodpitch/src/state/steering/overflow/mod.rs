//! Overflow: the share of a data centre's new flows that leaves it.
//!
//! Demand moves between data centres, so that one has too few backend servers for a while when others have room. Traffic
//! between data centres is slow and costs money, so flows leave only where the time that they save is worth more.
//!
//! A balancer [plans](Overflow::plan) from the loads that the agents report. The work of each data centre is moved in small
//! parts from where a request costs the most to where it costs the least, as long as a move pays. All balancers see the same
//! reports and plan alike, and the hash of a flow decides whether it belongs to the share that leaves, so they send their
//! shares without knowing of one another. Reports show the effect of a share late. The plan therefore remembers which share
//! they reflect and derives from it the demand, which the share does not change.
//!
//! A plan is as old as the reports, and under overload it finds no room that lasts. While a data centre is busy, the flows
//! that do not belong to the share are therefore compared with a remote backend server one by one, with a penalty.

mod pool;

use std::{
    collections::{BTreeMap, VecDeque},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::Deserialize;

pub use self::pool::{Pool, Pools, pools};
use crate::state::steering::{member::BUSY_GAIN, placement::Scope, rank, segment::Flow};

/// Interval of plans: that of the agents' reports.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// Time between plans above which the process has stood still. Reports have then not been read, so agents may look silent.
const MAX_GAP: Duration = Duration::from_millis(400);
/// Time after which a plan is no longer followed, because the process has stood still.
const PLAN_TTL: Duration = Duration::from_secs(1);
/// Time that a flow needs in addition in another data centre: a round trip to open it and one for the request. Nodes do
/// not measure the time between data centres.
const EXTRA_MS: f64 = 10.0;
/// Service time that is assumed while none has been measured.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// Saved waiting that the bytes of a request between data centres are worth, in service times.
const BYTES_COST: f64 = 0.5;
/// Factor of the cost that has to be saved before the first flows leave.
const START_FACTOR: f64 = 1.5;
/// Utilisation up to which a data centre has room for flows of others.
const MAX_UTILISATION: f64 = 0.9;
/// Utilisation up to which work tells the demand. More is a backlog, which tells how long the overload has lasted.
const MAX_KNOWN: f64 = 1.1;
/// Parts into which the demand is divided.
const PARTS: f64 = 50.0;
/// Maximum number of moves in a plan.
const MAX_MOVES: usize = 400;
/// Part of the way to the planned share in one interval.
const GAIN: f64 = 0.5;
/// Maximum change of the share in one interval.
const MAX_STEP: f64 = 0.15;
/// Fall of the own capacity, relative to the largest remembered one, above which the share follows without damping.
const SUDDEN_LOSS: f64 = 1.0 / 3.0;
/// Smallest share.
const MIN_SHARE: f64 = 0.02;
/// Smallest planned share with which an overflow starts. Less does not stand out from the noise of the loads.
const MIN_START: f64 = 0.06;
/// Share from which the reported work does not tell the demand, because too little of it is left.
const MAX_SEEN: f64 = 0.9;
/// Factor of the bound on the idle work up to which a service whose flows last stays one.
const LASTING_END: f64 = 0.75;
/// Change of the share that is logged.
const LOGGED_CHANGE: f64 = 0.25;
/// Number of former shares that are remembered: reports are at most this number of intervals old.
const HISTORY: usize = 8;

/// Whether flows leave the data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// To a sampled backend server that is less loaded by a margin.
    #[default]
    Penalty,
    /// Only if the data centre has no backend server.
    Never,
    /// Always to the least loaded backend server.
    LeastLoaded,
    /// As many as pays.
    Adaptive,
}

/// Plan for one service.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// What the plan was derived from.
    pub pools: Pools,
    /// Share of the new flows that is sent to each other data centre.
    pub shares: BTreeMap<Bytes, f64>,
    /// Shares that the reported loads reflect.
    seen: BTreeMap<Bytes, f64>,
    history: VecDeque<(Instant, BTreeMap<Bytes, f64>)>,
    /// Own capacity at the plans in the history.
    capacities: VecDeque<f64>,
    /// Demand of the own data centre in slots, wherever it is served.
    demand: f64,
    /// Whether flows last so long that moving new ones does not move the load.
    lasting: bool,
    logged: f64,
    valid_until: Option<Instant>,
}

/// Overflow of a balancer's data centre.
#[derive(Debug)]
pub struct Overflow {
    data_centre: Bytes,
    /// Mode in force.
    pub mode: Mode,
    plans: BTreeMap<Bytes, Plan>,
    planned_at: Option<Instant>,
}

impl Overflow {
    /// Overflow of a data centre, without a plan.
    pub fn new(data_centre: Bytes) -> Self {
        Self {
            data_centre,
            mode: Mode::default(),
            plans: BTreeMap::new(),
            planned_at: None,
        }
    }

    /// Plans by service.
    pub fn plans(&self) -> impl Iterator<Item = (&Bytes, &Plan)> {
        self.plans.iter()
    }

    /// Plans the shares of all services from their pools, or leaves them as they are after a pause of this process. Returns
    /// the services whose share has changed notably.
    pub fn plan(&mut self, services: BTreeMap<Bytes, Pools>, now: Instant) -> Vec<Bytes> {
        let planned_at = self.planned_at.replace(now);
        if planned_at.is_some_and(|at| now.saturating_duration_since(at) > MAX_GAP) {
            return Vec::new();
        }
        self.plans.retain(|service, _| services.contains_key(service));
        let mut changed = Vec::new();
        for (service, pools) in services {
            let plan = self.plans.entry(service.clone()).or_default();
            plan.update(&self.data_centre, pools, now);
            if plan.is_notable() {
                changed.push(service);
            }
        }
        changed
    }

    /// Ends all plans.
    pub fn end(&mut self) {
        self.plans.clear();
        self.planned_at = None;
    }

    /// Data centre that gets a new flow, and the scope of its candidates there.
    pub fn direct(&self, service: &Bytes, flow: Flow, now: Instant) -> (Scope, &Bytes) {
        match self.mode {
            Mode::Penalty => (Scope::Near, &self.data_centre),
            Mode::Never => (Scope::Local, &self.data_centre),
            Mode::LeastLoaded => (Scope::All, &self.data_centre),
            Mode::Adaptive => match self.plans.get(service) {
                Some(plan) if !plan.lasting && plan.valid_until.is_some_and(|until| now < until) => {
                    match plan.target(flow) {
                        Some(data_centre) => (Scope::Local, data_centre),
                        None if plan.pools.get(&self.data_centre).is_none_or(Pool::is_calm) => {
                            (Scope::Local, &self.data_centre)
                        }
                        None => (Scope::Near, &self.data_centre),
                    }
                }
                _ => (Scope::Near, &self.data_centre),
            },
        }
    }
}

impl Plan {
    /// Share of the new flows that leaves.
    pub fn share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Data centre to which a flow leaves.
    #[expect(clippy::cast_precision_loss, reason = "the weight is taken as a uniform number")]
    fn target(&self, flow: Flow) -> Option<&Bytes> {
        if self.shares.is_empty() {
            return None;
        }
        let mut point = rank::weight(flow, Ipv4Addr::UNSPECIFIED) as f64 / u64::MAX as f64;
        for (data_centre, share) in &self.shares {
            if point < *share {
                return Some(data_centre);
            }
            point -= share;
        }
        None
    }

    /// Whether the share starts, ends or has changed much since it was last notable.
    fn is_notable(&mut self) -> bool {
        let share = self.share();
        let notable = (share > 0.0) != (self.logged > 0.0) || (share - self.logged).abs() >= LOGGED_CHANGE;
        if notable {
            self.logged = share;
        }
        notable
    }

    fn update(&mut self, own: &Bytes, pools: Pools, now: Instant) {
        self.pools = pools;
        self.valid_until = Some(now + PLAN_TTL);
        let total = |value: fn(&Pool) -> f64| self.pools.values().map(value).sum::<f64>();
        let bound = 1.0 + total(|pool| pool.work - pool.idle_work);
        let factor = if self.lasting { LASTING_END } else { 1.0 };
        self.lasting = total(|pool| pool.idle_work) > factor * bound;
        self.observe(own, now);
        let capacity = self.pools.get(own).map_or(0.0, |pool| pool.capacity);
        let former = self.capacities.iter().copied().fold(0.0, f64::max);
        let has_lost = capacity < (1.0 - SUDDEN_LOSS) * former;
        let planned = match self.pools.get(own) {
            _ if self.lasting => BTreeMap::new(),
            Some(pool) => {
                let seen = self.seen.values().sum::<f64>();
                // The work of agents that have died is not reported, and what they would have got is not yet.
                if (seen < MAX_SEEN && !has_lost) || self.demand <= 0.0 {
                    let known = pool.work.min(MAX_KNOWN * pool.capacity);
                    self.demand = known / (1.0 - seen.min(MAX_SEEN));
                }
                self.fill(own)
            }
            None => self.spread(own),
        };
        let cut_off = !self.pools.contains_key(own);
        self.approach(&planned, cut_off, has_lost);
        self.history.push_back((now, self.shares.clone()));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        self.capacities.push_back(capacity);
        if self.capacities.len() > HISTORY {
            self.capacities.pop_front();
        }
    }

    /// Brings the shares that the reported loads reflect up to date. Loads are smoothed over reports, but not those of
    /// agents that have just started, as after a cut-off.
    fn observe(&mut self, own: &Bytes, now: Instant) {
        let (age, gain) = match self.pools.get(own) {
            Some(pool) => (pool.age, BUSY_GAIN),
            None => (Duration::ZERO, 1.0),
        };
        let in_force = self.history.iter().rev().find(|(since, _)| *since + age <= now);
        let in_force = in_force.map(|(_, shares)| shares.clone()).unwrap_or_default();
        blend(&mut self.seen, &in_force, gain);
    }

    /// Pools as they would be if all flows stayed in their data centre, by the reported work of other data centres.
    fn unshared(&self, own: &Bytes) -> Pools {
        let mut pools = self.pools.clone();
        for (data_centre, pool) in &mut pools {
            let seen = self.seen.get(data_centre).copied().unwrap_or_default();
            let known = pool.work.min(MAX_KNOWN * pool.capacity);
            pool.work = (known - self.demand * seen).max(0.0);
        }
        let pool = pools.entry(own.clone()).or_default();
        pool.work = self.demand;
        pools
    }

    /// Cost of a move in service times, without the waiting.
    fn move_cost(&self) -> f64 {
        let known = self.pools.values().map(|pool| pool.service_ms).filter(|ms| *ms > 0.0);
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), ms| (count + 1.0, sum + ms));
        let service_ms = if count > 0.0 { sum / count } else { DEFAULT_SERVICE_MS };
        EXTRA_MS / service_ms + BYTES_COST
    }

    /// Shares that level the cost. The moves of other data centres' work leave less room for the own.
    fn fill(&self, own: &Bytes) -> BTreeMap<Bytes, f64> {
        let mut sent = BTreeMap::new();
        if self.demand <= 0.0 || self.pools.len() < 2 {
            return sent;
        }
        let part = self.demand / PARTS;
        let factor = if self.shares.is_empty() { START_FACTOR } else { 1.0 };
        let worth = factor * self.move_cost();
        let mut pools: Vec<_> = self.unshared(own).into_iter().collect();
        let mut costs: Vec<_> = pools.iter().map(|(_, pool)| pool.marginal_cost()).collect();
        for _ in 0..MAX_MOVES {
            let order = |a: &usize, b: &usize| costs[*a].total_cmp(&costs[*b]);
            // The work of a pool must not become negative.
            let has_part = |index: &usize| pools[*index].1.work >= part;
            let Some(from) = (0..pools.len()).filter(has_part).max_by(order) else {
                break;
            };
            let has_room = |index: &usize| {
                let pool = &pools[*index].1;
                *index != from && pool.work + part <= MAX_UTILISATION * pool.capacity
            };
            let Some(to) = (0..pools.len()).filter(has_room).min_by(order) else {
                break;
            };
            pools[to].1.work += part;
            let cost = pools[to].1.marginal_cost();
            if costs[from] - cost <= worth {
                break;
            }
            pools[from].1.work -= part;
            costs[from] = pools[from].1.marginal_cost();
            costs[to] = cost;
            if pools[from].0 == *own {
                *sent.entry(pools[to].0.clone()).or_default() += 1.0 / PARTS;
            }
        }
        let starts = self.shares.is_empty();
        if starts && sent.values().sum::<f64>() < MIN_START {
            sent.clear();
        }
        sent
    }

    /// Shares if no own backend server is open: all of the flows leave, to where there is room. Without a known demand, they
    /// are split by capacity.
    fn spread(&self, own: &Bytes) -> BTreeMap<Bytes, f64> {
        let mut pools = self.unshared(own);
        pools.remove(own);
        let mut sent: BTreeMap<Bytes, f64> = BTreeMap::new();
        let part = self.demand / PARTS;
        let mut parts = 0.0;
        while parts < PARTS && part > 0.0 {
            let cheapest = pools
                .iter_mut()
                .min_by(|(_, a), (_, b)| a.marginal_cost().total_cmp(&b.marginal_cost()));
            let Some((data_centre, pool)) = cheapest else { break };
            pool.work += part;
            *sent.entry(data_centre.clone()).or_default() += 1.0 / PARTS;
            parts += 1.0;
        }
        if sent.is_empty() {
            let capacity: f64 = pools.values().map(|pool| pool.capacity).sum();
            let share = |(data_centre, pool): (Bytes, Pool)| (data_centre, pool.capacity / capacity);
            sent = pools.into_iter().map(share).collect();
        }
        sent
    }

    /// Moves the shares towards the planned ones, or to them at once if the data centre has become unable to serve or has
    /// lost much of its capacity.
    fn approach(&mut self, planned: &BTreeMap<Bytes, f64>, cut_off: bool, has_lost: bool) {
        // What is planned for a data centre that is gone can be sent nowhere.
        let pools = &self.pools;
        self.shares.retain(|data_centre, _| pools.contains_key(data_centre));
        if cut_off && self.share() < 1.0 - MIN_SHARE {
            self.shares.clone_from(planned);
            return;
        }
        let target: f64 = planned.values().sum();
        if has_lost && target > self.share() {
            self.shares.clone_from(planned);
            return;
        }
        let step = (GAIN * (target - self.share())).abs();
        let gain = if step > MAX_STEP { GAIN * MAX_STEP / step } else { GAIN };
        blend(&mut self.shares, planned, gain);
        if planned.is_empty() && self.share() < MIN_SHARE {
            self.shares.clear();
        }
    }
}

/// Moves each value towards its target. A missing one is 0.
fn blend(values: &mut BTreeMap<Bytes, f64>, targets: &BTreeMap<Bytes, f64>, gain: f64) {
    for data_centre in targets.keys() {
        values.entry(data_centre.clone()).or_default();
    }
    for (data_centre, value) in &mut *values {
        let target = targets.get(data_centre).copied().unwrap_or_default();
        *value += gain * (target - *value);
    }
    values.retain(|_, value| *value > 1e-3);
}
