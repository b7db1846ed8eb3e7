//! Backend servers that are warming up: the limit on their requests, and their share of new flows.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::state::steering::{
    agent::{Agent, Effect, Hop, Note},
    backend::Heartbeat,
    member::Members,
    placement::{self, Candidate},
    report::{Load, Stance},
    route::{Service, Table},
    segment::Segment,
    warm_up::Limit,
};

use crate::build::{
    A, B, BALANCER, C, SERVICE_NAME, STARTED_MS, agent, agent_report, agent_with_backend, answer, data, flow,
    heartbeat, hop, members, open_flow, routes, syn,
};

const MS: Duration = Duration::from_millis(1);
const RATE: f64 = 6.0;

fn routes_with_rate(cold_rate: Option<f64>) -> Rc<Table> {
    let services = HashMap::from([(Bytes::from(SERVICE_NAME), Service { cold_rate })]);
    Rc::new(Table {
        services,
        ..(*routes(1)).clone()
    })
}

fn cold_heartbeat(number: u64) -> Heartbeat {
    Heartbeat {
        warm_up: Duration::from_secs(10),
        ..heartbeat(1, number, false)
    }
}

/// Agent of a cold backend server, which has started with the agent's first process.
fn cold_agent(ip: Ipv4Addr, cold_rate: Option<f64>, now: Instant) -> Agent {
    let mut agent = agent(ip, now);
    agent.mark_first_process();
    agent.mark_announced();
    agent.set_routes(routes_with_rate(cold_rate), &mut Vec::new());
    agent.handle_heartbeat(&cold_heartbeat(1), now, &mut Vec::new());
    agent
}

fn peer(cold: bool, now: Instant) -> Members {
    let mut report = agent_report(1, 1, Stance::Open);
    report.load.cold = cold;
    let mut peers = Members::default();
    peers.record_report(B, report, now);
    peers
}

fn offer(agent: &mut Agent, segment: &Segment, hop: Hop, peers: &Members, now: Instant) -> Vec<Effect> {
    let mut out = Vec::new();
    agent.handle_client_packet(segment, hop, peers, now, &mut out);
    out
}

fn count(out: &[Effect], predicate: impl Fn(&Effect) -> bool) -> usize {
    out.iter().filter(|effect| predicate(effect)).count()
}

fn delivered(out: &[Effect]) -> usize {
    count(out, |effect| matches!(effect, Effect::Deliver | Effect::Release { .. }))
}

fn forwarded(out: &[Effect]) -> usize {
    count(out, |effect| matches!(effect, Effect::Forward { .. }))
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Largest number of times in a span of one second.
fn most_in_a_second(times: &[Instant]) -> f64 {
    let in_span = |start: &Instant| {
        times
            .iter()
            .filter(|time| (*start..*start + 1_000 * MS).contains(time))
            .count()
    };
    number(times.iter().map(in_span).max().unwrap_or(0))
}

/// A limit that counts per second lets twice as many pass around the border of two seconds; one that rounds a rate down
/// leaves a backend server of a low rate without any request; a rate whose span is longer than the clock counts must neither
/// end the process nor let all in.
#[test]
fn the_limit_holds_in_every_second_and_is_used() {
    for rate in [f64::MIN_POSITIVE, 1e-30, 1e-19, 0.4, 1.0, 1.5, 6.0, 6.5, 40.0] {
        let start = Instant::now();
        let mut limit = Limit::new(start);
        limit.mark_first_process();
        let mut times = Vec::new();
        // A pause in the middle: the limit must not save up for later.
        for ms in (0..20_000).chain(23_300..40_000) {
            let now = start + ms * MS;
            if limit.admits(rate, now) {
                limit.record(now);
                times.push(now);
            }
        }
        let most = most_in_a_second(&times);
        assert!(most <= rate.ceil(), "{rate}: {most}");
        let expected = rate * 36.7;
        assert!(
            number(times.len()) >= expected * 0.9,
            "{rate}: {} of {expected}",
            times.len()
        );
    }
}

/// All clients come back to a cold backend server at once. Without a limit, it gets them all in the same second.
#[test]
fn a_herd_reaches_a_cold_backend_server_at_its_rate() {
    for others in [Some(false), Some(true), None] {
        let start = Instant::now();
        let mut agent = cold_agent(A, Some(RATE), start);
        let (mut times, mut passed_on) = (Vec::new(), 0);
        for ms in 0..8_000 {
            let now = start + ms * MS;
            let peers = others.map_or_else(Members::default, |cold| peer(cold, now));
            let mut out = Vec::new();
            // 50 new flows a second, after 30 at once.
            let ports = match ms {
                0 => 0..30,
                _ if ms % 20 == 0 => 100 + ms / 20..101 + ms / 20,
                _ => 0..0,
            };
            for port in ports {
                let syn = syn(u16::try_from(port).unwrap(), 0);
                out.extend(offer(&mut agent, &syn, hop(BALANCER), &peers, now));
            }
            if ms % 770 == 0 {
                agent.handle_heartbeat(&cold_heartbeat(u64::from(2 + ms)), now, &mut out);
            }
            if ms % 100 == 0 {
                agent.tick(&peers, now, &mut out);
            }
            times.extend(vec![now; delivered(&out)]);
            passed_on += forwarded(&out);
        }
        let most = most_in_a_second(&times);
        assert!(most <= RATE, "{others:?}: {most}");
        assert!(number(times.len()) >= 8.0 * RATE * 0.85, "{others:?}: {}", times.len());
        assert_eq!(passed_on > 0, others.is_some(), "{others:?}");
    }
}

/// A process that ends in the middle of a second takes its count with it.
#[test]
fn a_restarted_agent_does_not_use_the_limit_of_its_second_twice() {
    let start = Instant::now();
    let mut times = Vec::new();
    for (begin, end) in [(0, 400), (520, 900), (1_000, 4_000)] {
        let started_at = start + begin * MS;
        let mut agent = if begin == 0 {
            cold_agent(A, Some(RATE), started_at)
        } else {
            let mut agent = agent(A, started_at);
            agent.mark_announced();
            agent.set_routes(routes_with_rate(Some(RATE)), &mut Vec::new());
            agent.backend.handle_connection_accepted(started_at);
            agent
        };
        for ms in begin..end {
            let now = start + ms * MS;
            if ms == begin + 300 {
                agent.handle_heartbeat(&cold_heartbeat(u64::from(ms)), now, &mut Vec::new());
            }
            let syn = syn(u16::try_from(ms).unwrap(), 0);
            let out = offer(&mut agent, &syn, hop(BALANCER), &peer(false, now), now);
            times.extend(vec![now; delivered(&out)]);
        }
    }
    let most = most_in_a_second(&times);
    assert!(most <= RATE, "{most}");
    assert!(number(times.len()) >= 3.0 * RATE * 0.85, "{}", times.len());
}

/// Until its first heartbeat, a backend server whose agent has restarted may be cold; and so may one since an evacuation.
#[test]
fn a_backend_server_counts_as_cold_until_a_heartbeat_tells() {
    let start = Instant::now();
    let mut agent = agent(A, start);
    agent.set_routes(routes_with_rate(Some(RATE)), &mut Vec::new());
    agent.backend.handle_connection_accepted(start);
    assert!(agent.load(start).cold);
    agent.handle_heartbeat(&heartbeat(1, 5, false), start + 300 * MS, &mut Vec::new());
    assert!(!agent.load(start + 300 * MS).cold);
    agent.assume_cold(start + 500 * MS);
    assert!(agent.load(start + 500 * MS).cold);
    agent.handle_heartbeat(&heartbeat(1, 6, false), start + 1_070 * MS, &mut Vec::new());
    assert!(!agent.load(start + 1_070 * MS).cold);
}

/// Requests on open flows load a cold backend server like those that open a flow. They must still reach it.
#[test]
fn requests_on_open_flows_count_and_are_never_held() {
    let start = Instant::now();
    let mut agent = cold_agent(A, Some(RATE), start);
    let peers = peer(false, start);
    // Two flows, whose SYN and first request are one request. A copy of the SYN is none.
    for port in 0..2 {
        assert_eq!(
            delivered(&offer(&mut agent, &syn(port, 0), hop(BALANCER), &peers, start)),
            1
        );
        assert_eq!(
            delivered(&offer(&mut agent, &syn(port, 1), hop(BALANCER), &peers, start)),
            1
        );
        open_flow(&mut agent, port, 500, start);
    }
    let mut acknowledged = 501;
    for request in 0..8 {
        let now = start + (10 + 10 * request) * MS;
        let segment = Segment {
            seq: 1 + 100 * request,
            ..data(0, acknowledged)
        };
        assert_eq!(delivered(&offer(&mut agent, &segment, hop(BALANCER), &peers, now)), 1);
        agent.handle_backend_packet(&answer(0, acknowledged, 10), now + 5 * MS, &mut Vec::new());
        acknowledged += 10;
        let is_open = delivered(&offer(&mut agent, &syn(9, 0), hop(BALANCER), &peers, now)) == 1;
        agent.table.remove(flow(9));
        // Those that were let in count too: 2 flows, then one further request and one SYN a round, after the first.
        assert_eq!(is_open, request < 2, "request {request}");
    }
}

/// What no backend server can serve in time must be refused at once, not held until its deadline; a copy must not be
/// refused, and neither must a SYN that another agent may take.
#[test]
fn a_mass_of_flows_at_cold_backend_servers_is_refused_at_once() {
    let start = Instant::now();
    let second_hop = Hop { hops: 1, ..hop(B) };
    let refused = |effect: &Effect| {
        matches!(
            effect,
            Effect::SendNote {
                note: Note::Refuse(_),
                ..
            }
        )
    };
    let mut mixed = peer(true, start);
    mixed.record_report(C, agent_report(2, 1, Stance::Restarting), start);
    // Another cold one, which has not been tried: with room, and as busy as it can be while it is cold.
    let several = |busy| {
        let mut report = agent_report(2, 1, Stance::Open);
        report.load.cold = true;
        report.load.busy = busy;
        let mut peers = peer(true, start);
        peers.record_report(C, report, start);
        peers
    };
    for (peers, copy, expected) in [
        (peer(true, start), 0, true),
        (peer(true, start), 1, false),
        (mixed, 0, false),
        (several(0), 0, false),
        (several(7), 0, true),
    ] {
        let mut agent = cold_agent(A, Some(RATE), start);
        let outs: Vec<_> = (0..40)
            .map(|port| offer(&mut agent, &syn(port, copy), second_hop, &peers, start))
            .collect();
        assert_eq!(outs.iter().map(|out| delivered(out)).sum::<usize>(), 6);
        assert!(outs.iter().all(|out| forwarded(out) == 0));
        assert_eq!(outs[39].iter().any(refused), expected, "{:?}", outs[39]);
    }
}

/// Deployments whose configuration has no limit are served as before.
#[test]
fn without_a_rate_nothing_is_limited() {
    let start = Instant::now();
    let mut decisions = Vec::new();
    let warm = agent_with_backend(A, start);
    for mut agent in [warm, cold_agent(A, None, start)] {
        agent.mark_announced();
        let peers = members(&[B, C], Stance::Open, start);
        let outs: Vec<_> = (0..60)
            .map(|port| offer(&mut agent, &syn(port, 0), hop(BALANCER), &peers, start))
            .collect();
        let mut out = Vec::new();
        agent.tick(&peers, start + 100 * MS, &mut out);
        decisions.push((outs, out));
    }
    assert_eq!(decisions[0], decisions[1]);
}

/// A data centre is taken back: 4 cold backend servers beside 12 warm ones. By half of their slots, each would get half of
/// a warm one's flows, several times what it bears.
#[test]
fn cold_backend_servers_get_a_share_by_their_rate() {
    const FLOWS: u32 = 2_000;
    let share = |cold_rate, latency_ms| {
        let mut taken = 0;
        for number in 0..FLOWS {
            let mut flow = flow(0);
            flow.client = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number), 40_000);
            let candidates = (0..16).map(|index| Candidate {
                ip: Ipv4Addr::new(10, 1, 0, index),
                local: true,
                load: Load {
                    slots: 2,
                    cold: index < 4,
                    latency_ms,
                    ..Load::default()
                },
                busy: 0.0,
                pending_placements: 0,
                speed: 1.0,
                cold_rate,
            });
            taken += u32::from(placement::choose(flow, candidates).unwrap().ip.octets()[3] < 4);
        }
        f64::from(taken) / f64::from(FLOWS)
    };
    // 4 requests a second of 50 ms keep 0.2 of a slot busy: 4 x 0.2 of 4 x 0.2 + 12 x 2.
    let by_rate = share(Some(4.0), 50);
    assert!((0.01..0.07).contains(&by_rate), "{by_rate}");
    // At most half of the slots, as without a rate.
    for (cold_rate, latency_ms) in [(Some(400.0), 50), (None, 50), (Some(4.0), 0)] {
        assert!((share(cold_rate, latency_ms) - share(None, 0)).abs() < 1e-9);
    }
}

/// After a loss of power, agents and backend servers start anew. No former process has used up the limit of a backend
/// server that started after its agent, so that none of its first second is lost.
#[test]
fn the_limit_of_a_backend_server_that_is_younger_than_its_agent_is_free() {
    let start = Instant::now();
    for (started_ms, number, expected) in [(STARTED_MS + 600, 1, 1), (STARTED_MS - 60_000, 80, 0)] {
        let mut agent = agent(A, start);
        agent.mark_announced();
        agent.set_routes(routes_with_rate(Some(RATE)), &mut Vec::new());
        let beat = Heartbeat {
            started_ms: Some(started_ms),
            ..cold_heartbeat(number)
        };
        let now = start + 700 * MS;
        agent.handle_heartbeat(&beat, now, &mut Vec::new());
        let out = offer(&mut agent, &syn(1, 0), hop(BALANCER), &peer(false, now), now);
        assert_eq!(delivered(&out), expected, "{out:?}");
    }
}
