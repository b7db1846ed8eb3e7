//! Tests of the choice of agents for flows and requests, in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use dogwoodpitch::state::{
    admission::{Discipline, Scheduler, Ticket, Work},
    estimate::Key,
    load::Load,
    placement::{self, Candidate, Offload, Pending, REPORT_VALIDITY, Table, Usage},
    service::Id,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SLOTS: u16 = 7;
const CONNECTION_LIMIT: u32 = 2_000;
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Received reports as (ms, incarnation, sequence), time of the lookup in ms, incarnation in the roster, and sequence
/// number of the report that is found.
type ReportCase = (&'static [(u64, u32, u32)], u64, u32, Option<u32>);
/// Name, candidates as (in the local data centre, load), minimum and maximum share of the first candidate.
type FlowCase = (&'static str, Vec<(bool, Load)>, f64, f64);

fn load(sequence: u32) -> Load {
    Load {
        incarnation: 1,
        sequence,
        slots: SLOTS,
        connection_limit: CONNECTION_LIMIT,
        warm_percent: 100,
        long_limit: SLOTS - 2,
        ..Load::default()
    }
}

fn candidate(local: bool, load: Load) -> Candidate {
    Candidate {
        local,
        load,
        pending: 0,
        mean_busy: None,
    }
}

/// Share of the choices that goes to each candidate.
fn shares(candidates: &[Candidate], mut choose: impl FnMut(&mut SmallRng) -> Option<usize>) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0.0; candidates.len()];
    for _ in 0..10_000 {
        if let Some(index) = choose(&mut rng) {
            counts[index] += 1.0 / 10_000.0;
        }
    }
    counts
}

/// Ratio of the maximum to the mean.
fn imbalance(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap());
    values.iter().copied().fold(0.0, f64::max) / mean
}

/// Guards against placement on an agent that has failed or restarted, or whose old reports arrive late.
#[test]
fn only_fresh_reports_of_the_current_incarnation_count() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let report = |incarnation, sequence| Load {
        incarnation,
        ..load(sequence)
    };
    let cases: [ReportCase; 9] = [
        (&[], 0, 1, None),
        (&[(0, 1, 1)], 0, 1, Some(1)),
        (&[(0, 1, 1)], 1_999, 1, Some(1)),
        (&[(0, 1, 1)], 2_000, 1, None),
        (&[(0, 1, 5), (1_900, 1, 4)], 2_100, 1, None),
        (&[(0, 1, 5), (3_000, 1, 5)], 3_000, 1, None),
        (&[(0, 1, 5), (100, 2, 1)], 200, 1, Some(1)),
        (&[(0, 1, 5), (100, 2, 1), (150, 1, 6)], 200, 2, Some(1)),
        (&[(0, 1, 5)], 100, 2, None),
    ];
    for (reports, lookup_ms, roster, expected) in cases {
        let mut table = Table::default();
        for &(ms, incarnation, sequence) in reports {
            table.record_report("a", report(incarnation, sequence), at(ms));
        }
        let known = table.load("a", roster, at(lookup_ms)).map(|load| load.sequence);
        assert_eq!(
            known, expected,
            "{reports:?} lookup at {lookup_ms} ms for incarnation {roster}"
        );
        table.clear();
        assert_eq!(table.load("a", roster, at(lookup_ms)), None, "discarded");
    }
    assert_eq!(REPORT_VALIDITY, Duration::from_secs(2));
}

/// Guards against another request to a peer that has just refused one or does not reply.
#[test]
fn refusals_and_failures_exclude_a_peer_from_requests_for_a_while() {
    let now = Instant::now();
    let mut table = Table::default();
    table.record_report("a", load(1), now);
    table.record_report("b", load(1), now);
    let full = Load { busy: SLOTS, ..load(2) };
    table.record_refusal("a", full, now);
    assert!(table.request_candidate("a", 1, true, now).is_none());
    assert_eq!(table.load("a", 1, now), Some(full), "the refusal updates the load");
    table.record_failure("b", now);
    let later = now + Duration::from_millis(500);
    assert!(table.request_candidate("a", 1, true, later).is_some());
    assert!(table.request_candidate("b", 1, true, later).is_none());
    assert!(
        table.flow_candidate("b", 1, true, later).is_some(),
        "a failed link does not affect packets"
    );
    assert!(
        table
            .request_candidate("b", 1, true, now + Duration::from_millis(1_500))
            .is_some()
    );
}

/// Guards against sending all new work to the agent with the lowest load in the last report: until the next report, the
/// load must include the local placements.
#[test]
fn local_placements_count_until_a_report_includes_them() {
    let now = Instant::now();
    let mut table = Table::default();
    table.record_report("a", load(1), now);
    for _ in 0..3 {
        table.record_flow("a", now);
        table.record_request("a", now);
    }
    let recent = |table: &Table, now| {
        let flow = table.flow_candidate("a", 1, true, now).unwrap().pending;
        (flow, table.request_candidate("a", 1, true, now).unwrap().pending)
    };
    assert_eq!(recent(&table, now), (3, 3));
    let soon = now + Duration::from_millis(50);
    table.record_report("a", load(2), soon);
    assert_eq!(
        recent(&table, soon),
        (3, 0),
        "a flow shows in the load later than a request"
    );
    let later = now + Duration::from_millis(150);
    table.record_report("a", load(3), later);
    assert_eq!(recent(&table, later), (0, 0));
}

/// Guards against flows to agents that are draining, full or cold, and against flows to the wrong data centre.
#[test]
fn flows_go_to_suitable_agents_of_the_preferred_data_centre() {
    let draining = Load {
        draining: true,
        ..load(1)
    };
    let with = |connections| Load { connections, ..load(1) };
    let cold = |warm_percent| Load {
        warm_percent,
        ..load(1)
    };
    let cases: [FlowCase; 9] = [
        ("alone", vec![(false, load(1))], 1.0, 1.0),
        ("draining", vec![(true, draining), (true, with(1_999))], 0.0, 0.0),
        ("all draining", vec![(true, draining)], 0.0, 0.0),
        (
            "full",
            vec![(true, with(CONNECTION_LIMIT)), (false, with(1_999))],
            0.0,
            0.0,
        ),
        ("emptier", vec![(true, with(10)), (true, with(1_000))], 0.95, 1.0),
        (
            "local and as full",
            vec![(true, with(100)), (false, with(100))],
            0.99,
            1.0,
        ),
        (
            "local and fuller",
            vec![(true, with(200)), (false, with(100))],
            0.0,
            0.05,
        ),
        (
            "cold",
            vec![(true, cold(20)), (true, with(1)), (true, with(1))],
            0.1,
            0.25,
        ),
        ("only cold", vec![(true, cold(10))], 1.0, 1.0),
    ];
    for (name, loads, min_share, max_share) in cases {
        let candidates: Vec<_> = loads.into_iter().map(|(local, load)| candidate(local, load)).collect();
        let shares = shares(&candidates, |rng| {
            Some(placement::choose_for_flow(&candidates, rng)?.index)
        });
        assert!(
            shares[0] >= min_share - 1e-9 && shares[0] <= max_share + 1e-9,
            "{name}: {shares:?}"
        );
    }
}

/// Guards against offers to peers without free slots, and against agents that all choose the same peer.
#[test]
fn requests_go_to_free_slots_first() {
    let busy = |busy, long, queued| Load {
        busy,
        long,
        queued,
        ..load(1)
    };
    let draining = Load {
        draining: true,
        ..load(1)
    };
    let full = busy(SLOTS, 0, 0);
    // (name, queue length of the local agent, long work, candidates, expected shares)
    let cases = [
        (
            "free",
            0,
            false,
            vec![(true, busy(6, 0, 0)), (true, full)],
            vec![1.0, 0.0],
        ),
        (
            "local",
            0,
            false,
            vec![(true, busy(6, 0, 0)), (false, load(1))],
            vec![1.0, 0.0],
        ),
        ("remote", 0, false, vec![(true, full), (false, load(1))], vec![0.0, 1.0]),
        (
            "weighted",
            0,
            false,
            vec![(true, busy(1, 0, 0)), (true, busy(5, 0, 0))],
            vec![0.75, 0.25],
        ),
        ("draining", 0, false, vec![(true, draining)], vec![0.0]),
        (
            "long",
            0,
            true,
            vec![(true, busy(5, 5, 0)), (true, busy(5, 4, 0))],
            vec![0.0, 1.0],
        ),
        ("nowhere", 3, false, vec![(true, busy(7, 0, 3))], vec![0.0]),
        ("shorter queue", 30, false, vec![(true, busy(7, 0, 3))], vec![1.0]),
    ];
    for (name, queued, long, loads, expected) in cases {
        let local_load = busy(SLOTS, 0, queued);
        let candidates: Vec<_> = loads.into_iter().map(|(local, load)| candidate(local, load)).collect();
        let shares = shares(&candidates, |rng| {
            Some(placement::choose_for_request(&local_load, &candidates, long, rng)?.index)
        });
        let close = shares
            .iter()
            .zip(&expected)
            .all(|(share, expected)| (share - expected).abs() < 0.03);
        assert!(close, "{name}: {shares:?}, expected {expected:?}");
    }
}

/// Guards against baseline policies that differ from the policies after which they are named.
#[test]
fn baselines_implement_their_policies() {
    let loads = [30, 20, 10].map(|connections| Load { connections, ..load(1) });
    let mut candidates = loads.map(|load| candidate(true, load)).to_vec();
    candidates.push(candidate(
        true,
        Load {
            draining: true,
            ..load(1)
        },
    ));
    let random = shares(&candidates, |rng| {
        Some(placement::choose_random(&candidates, rng)?.index)
    });
    assert!(
        random[..3].iter().all(|share| (share - 1.0 / 3.0).abs() < 0.02),
        "{random:?}"
    );
    let round_robin: Vec<_> = (0..6)
        .map(|turn| placement::choose_round_robin(&candidates, turn).unwrap().index)
        .collect();
    assert_eq!(round_robin, [0, 1, 2, 0, 1, 2]);
    candidates[2].pending = 100;
    let least = shares(&candidates, |rng| {
        Some(placement::choose_least_loaded(&candidates, |load| load.connections, rng)?.index)
    });
    assert!(
        (least[2] - 1.0).abs() < 1e-9,
        "pending placements are ignored: {least:?}"
    );
    assert!(placement::choose_random(&[], &mut SmallRng::seed_from_u64(1)).is_none());
    assert!(placement::choose_round_robin(&[], 1).is_none());
}

/// Agents that exchange reports and place flows or requests.
struct Fleet {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    agents: Vec<Agent>,
}

struct Agent {
    data_centre: usize,
    started_at: Instant,
    connections: u32,
    /// Times at which placed flows start to count as connections.
    opening: Vec<Instant>,
    sequence: u32,
    table: Table,
    local_flows: Pending,
    local_usage: Usage,
    offload: Offload,
    scheduler: Scheduler,
    offered: u32,
    /// Requests offered by peers that run here, with the index of the peer and the time of the offer.
    from_peers: HashMap<Ticket, (usize, Instant)>,
}

impl Fleet {
    fn new(data_centres: &[usize], seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            rng: SmallRng::seed_from_u64(seed),
            agents: Vec::new(),
        };
        for &data_centre in data_centres {
            fleet.add(data_centre, start.checked_sub(Duration::from_mins(1)).unwrap());
        }
        fleet
    }

    fn add(&mut self, data_centre: usize, started_at: Instant) {
        self.agents.push(Agent {
            data_centre,
            started_at,
            connections: 0,
            opening: Vec::new(),
            sequence: 0,
            table: Table::default(),
            local_flows: Pending::default(),
            local_usage: Usage::default(),
            offload: Offload::default(),
            scheduler: Scheduler::new(SLOTS, Discipline::FairDeadline),
            offered: 0,
            from_peers: HashMap::new(),
        });
    }

    fn load(&mut self, index: usize) -> Load {
        let now = self.now;
        let agent = &mut self.agents[index];
        agent.opening.retain(|at| {
            *at > now || {
                agent.connections += 1;
                false
            }
        });
        agent.sequence += 1;
        let warm = now.saturating_duration_since(agent.started_at).as_millis() / 100;
        Load {
            sequence: agent.sequence,
            connections: agent.connections,
            busy: agent.scheduler.busy(),
            queued: u16::try_from(agent.scheduler.queued()).unwrap(),
            slot_ms: u32::try_from(agent.scheduler.busy_slot_time(now).as_millis()).unwrap(),
            warm_percent: u8::try_from(warm.clamp(10, 100)).unwrap(),
            ..load(0)
        }
    }

    fn report(&mut self) {
        for index in 0..self.agents.len() {
            let load = self.load(index);
            let now = self.now;
            let name = format!("agent-{index}");
            for (other, agent) in self.agents.iter_mut().enumerate() {
                if other == index {
                    agent.local_usage.record(load.slot_ms, now);
                } else {
                    agent.table.record_report(&name, load, now);
                }
            }
        }
        for index in 0..self.agents.len() {
            let mean = self.mean_busy(index);
            let agent = &mut self.agents[index];
            if let (Some(local_mean), Some(mean)) = (agent.local_usage.mean(), mean) {
                agent.offload.update(local_mean, mean);
            }
        }
    }

    fn mean_busy(&mut self, index: usize) -> Option<f64> {
        let local_mean = self.agents[index].local_usage.mean()?;
        let peers = self.peers(index, false);
        let busy: Vec<f64> = peers
            .iter()
            .filter_map(|(_, peer)| peer.mean_busy)
            .chain([local_mean])
            .collect();
        Some(busy.iter().sum::<f64>() / f64::from(u32::try_from(busy.len()).unwrap()))
    }

    fn peers(&self, index: usize, flow: bool) -> Vec<(usize, Candidate)> {
        let agent = &self.agents[index];
        let others = (0..self.agents.len()).filter(|&other| other != index);
        others
            .filter_map(|other| {
                let local = self.agents[other].data_centre == agent.data_centre;
                let name = format!("agent-{other}");
                let candidate = if flow {
                    agent.table.flow_candidate(&name, 1, local, self.now)
                } else {
                    agent.table.request_candidate(&name, 1, local, self.now)
                };
                Some((other, candidate?))
            })
            .collect()
    }

    /// Opens a flow whose first packet arrives at the agent `entry`. Returns the agent on which it is placed.
    fn open_flow(&mut self, entry: usize) -> usize {
        let mut peers = self.peers(entry, true);
        let load = self.load(entry);
        let now = self.now;
        let agent = &mut self.agents[entry];
        agent.local_flows.remove_reported_flows(now);
        peers.push((
            entry,
            Candidate {
                pending: agent.local_flows.count(now),
                ..candidate(true, load)
            },
        ));
        let candidates: Vec<_> = peers.iter().map(|(_, candidate)| *candidate).collect();
        let chosen = peers[placement::choose_for_flow(&candidates, &mut self.rng).unwrap().index].0;
        if chosen == entry {
            self.agents[entry].local_flows.add(now);
        } else {
            self.agents[entry].table.record_flow(&format!("agent-{chosen}"), now);
        }
        self.agents[chosen].opening.push(now + Duration::from_millis(20));
        chosen
    }

    fn connections(&self) -> Vec<f64> {
        let count = |agent: &Agent| u32::try_from(agent.opening.len()).unwrap() + agent.connections;
        self.agents.iter().map(|agent| f64::from(count(agent))).collect()
    }
}

/// Guards against an uneven distribution of flows, in a steady stream and in a burst between two reports, also when all
/// first packets arrive in one data centre or at one agent.
#[test]
fn new_flows_are_balanced() {
    let data_centres = [0, 0, 0, 1, 1, 2, 2];
    let entries: [(&str, &[usize]); 3] = [
        ("any agent", &[0, 1, 2, 3, 4, 5, 6]),
        ("one data centre", &[0, 1, 2]),
        ("one agent", &[5]),
    ];
    for (name, entries) in entries {
        for flows_per_report in [35, 700] {
            let mut fleet = Fleet::new(&data_centres, 3);
            fleet.report();
            for index in 0..2_100 {
                if index % flows_per_report == 0 {
                    fleet.now += REPORT_INTERVAL;
                    fleet.report();
                }
                let entry = entries[fleet.rng.random_range(0..entries.len())];
                fleet.open_flow(entry);
            }
            let imbalance = imbalance(&fleet.connections());
            println!("{name}, {flows_per_report} flows a report: imbalance {imbalance:.3}");
            assert!(
                imbalance <= 1.10,
                "{name}, {flows_per_report} flows a report: {:?}",
                fleet.connections()
            );
        }
    }
}

/// Guards against new agents that get no flows, and against cold ones that get all flows at once.
#[test]
fn new_agents_get_a_growing_share_of_new_flows() {
    let mut fleet = Fleet::new(&[0, 0, 0, 1, 1, 2, 2], 4);
    fleet.agents.iter_mut().for_each(|agent| agent.connections = 500);
    let added = fleet.now;
    fleet.add(1, added);
    fleet.report();
    let mut per_second = Vec::new();
    for _second in 0..15 {
        let mut to_new = 0;
        for index in 0..80 {
            if index % 20 == 0 {
                fleet.now += REPORT_INTERVAL;
                fleet.report();
            }
            let entry = fleet.rng.random_range(0..fleet.agents.len());
            to_new += u32::from(fleet.open_flow(entry) == 7);
        }
        per_second.push(to_new);
    }
    println!("flows of 80 a second to the new agent: {per_second:?}");
    let fair = 80 / 8;
    assert!(per_second[..3].iter().sum::<u32>() > 0, "{per_second:?}");
    assert!(per_second[0] <= fair, "a cold agent starts with less: {per_second:?}");
    assert!(per_second[10..].iter().sum::<u32>() >= 5 * fair, "{per_second:?}");
}

/// Simulates requests of flows that are distributed over the agents by `weights`; `joining` further agents without
/// flows join at 10 s. Returns the busy time of each agent between `from_s` and `to_s`.
fn simulate(weights: &[f64], joining: usize, utilization: f64, from_s: u64, to_s: u64) -> Vec<f64> {
    let mut fleet = Fleet::new(&vec![0; weights.len()], 5);
    let end = fleet.start + Duration::from_secs(to_s);
    let total: f64 = weights.iter().sum();
    let time = 0.02;
    let slots = f64::from(SLOTS) * f64::from(u32::try_from(weights.len()).unwrap());
    let mut ends: BinaryHeap<Reverse<(Instant, usize, Ticket)>> = BinaryHeap::new();
    let mut next_arrival = fleet.start;
    let mut next_report = fleet.start;
    let mut before = Vec::new();
    loop {
        let next_end = ends.peek().map_or(end, |Reverse((at, _, _))| *at);
        fleet.now = next_end.min(next_arrival).min(next_report);
        let now = fleet.now;
        if now >= end {
            break;
        }
        if fleet.agents.len() == weights.len() && now >= fleet.start + Duration::from_secs(10) {
            (0..joining).for_each(|_| fleet.add(0, now));
        }
        if before.is_empty() && now >= fleet.start + Duration::from_secs(from_s) {
            before = fleet
                .agents
                .iter_mut()
                .map(|agent| agent.scheduler.busy_slot_time(now))
                .collect();
        }
        let changed = if now == next_report {
            fleet.report();
            next_report += REPORT_INTERVAL;
            continue;
        } else if now == next_end {
            let Reverse((_, agent, ticket)) = ends.pop().unwrap();
            fleet.agents[agent].scheduler.finish(ticket, now, 0, false);
            if let Some((from, placed)) = fleet.agents[agent].from_peers.remove(&ticket) {
                let table = &mut fleet.agents[from].table;
                table.record_request_end(&format!("agent-{agent}"), placed);
            }
            agent
        } else {
            let rate = utilization * slots / time;
            next_arrival += Duration::from_secs_f64(-(1.0 - fleet.rng.random_range(0.0..1.0_f64)).ln() / rate);
            let mut point = fleet.rng.random_range(0.0..total);
            let at = weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            let at = at.unwrap_or(0);
            place_request(&mut fleet, at)
        };
        for ticket in fleet.agents[changed].scheduler.dispatch(now).started {
            let time = -time * (1.0 - fleet.rng.random_range(0.0..1.0_f64)).ln();
            ends.push(Reverse((now + Duration::from_secs_f64(time), changed, ticket)));
        }
    }
    let offered: Vec<_> = fleet.agents.iter().map(|agent| agent.offered).collect();
    println!("requests offered to peers by each agent: {offered:?}");
    let after = fleet.agents.iter_mut().map(|agent| agent.scheduler.busy_slot_time(end));
    after
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before).as_secs_f64())
        .collect()
}

/// Places a request that arrived at the agent `at`, in the order of an agent: offload, local slot, peer, local queue.
/// Returns the agent that got it.
fn place_request(fleet: &mut Fleet, at: usize) -> usize {
    let now = fleet.now;
    let work = Work {
        key: Key {
            service: Id(1),
            upload: false,
            class: "reserve".to_owned(),
        },
        caller: "caller".to_owned(),
        length: None,
        deadline: now + Duration::from_secs(1),
    };
    let peers = fleet.peers(at, false);
    let candidates: Vec<_> = peers.iter().map(|(_, candidate)| *candidate).collect();
    let share = fleet.agents[at].offload.share();
    let mean = fleet.mean_busy(at).unwrap_or(0.0);
    let mut chosen = placement::choose_for_offload(share, &candidates, mean, &mut fleet.rng);
    if chosen.is_none() && fleet.agents[at].scheduler.busy() >= SLOTS {
        let local_load = fleet.load(at);
        chosen = placement::choose_for_request(&local_load, &candidates, false, &mut fleet.rng);
    }
    let mut to = at;
    if let Some(choice) = chosen {
        let peer = peers[choice.index].0;
        let name = format!("agent-{peer}");
        if fleet.agents[peer].scheduler.busy() < SLOTS {
            fleet.agents[at].table.record_request(&name, now);
            fleet.agents[at].offered += 1;
            to = peer;
        } else {
            let load = fleet.load(peer);
            fleet.agents[at].table.record_refusal(&name, load, now);
        }
    }
    if let Ok(ticket) = fleet.agents[to].scheduler.enqueue(work, now)
        && to != at
    {
        fleet.agents[to].from_peers.insert(ticket, (at, now));
    }
    to
}

/// Guards against agents that stay idle while their peers are busy because they have few flows or none.
#[test]
fn requests_are_balanced_in_steady_load_and_soon_after_agents_join() {
    let even = [1.0; 7];
    let uneven = [1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 0.5];
    for (name, weights, joining, utilization, from_s, to_s) in [
        ("even", &even, 0, 0.5, 10, 30),
        ("uneven", &uneven, 0, 0.5, 10, 30),
        ("two join", &even, 2, 0.5, 15, 30),
        ("two join under high load", &even, 2, 0.9, 15, 30),
        ("two join under low load", &even, 2, 0.2, 15, 30),
    ] {
        let busy = simulate(weights, joining, utilization, from_s, to_s);
        let imbalance = imbalance(&busy);
        println!("{name}: imbalance {imbalance:.3}, busy {busy:.1?}");
        assert!(imbalance <= 1.10, "{name}: {busy:?}");
    }
}
