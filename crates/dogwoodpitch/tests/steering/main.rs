//! Decisions on opaque flows: rules in tables, faults found on the bench, replayed load patterns and random sequences.

mod admission;
mod build;
mod fuzz;
mod load;

use std::{
    collections::{BTreeSet, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::{
    agent::{Effect, Note},
    backend::Phase,
    balancer::{Balancer, Decision},
    discovery::{self, Message},
    member::Members,
    rank,
    report::Stance,
    segment::Flags,
};

use build::{
    A, B, BALANCER, C, SERVICE, STARTED_MS, agent, agent_at, agent_report, beat, data, flow, from_backend, members,
    routes, started, syn, via,
};

const MS: Duration = Duration::from_millis(1);

fn resets(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Reset { .. }))
        .count()
}

/// kalo-workshop scale-1 at 19.5 s: a draining backend server closed its port 60 ms before it ended, and its flows were
/// reset while it served them.
#[test]
fn a_draining_backend_server_keeps_its_flows_with_a_closed_port() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    agent.handle_heartbeat(&beat(1, 2, true), now, &mut out);
    out.clear();
    assert!(!agent.handle_connection_refused(now, &mut out));
    assert!(!agent.handle_connection_refused(now + 1_000 * MS, &mut out));
    assert_eq!(resets(&out), 0);
    // After its word that it ends, its flows end with it.
    assert!(agent.backend.handle_exit_notice(&beat(1, 2, true).id, now + 1_100 * MS));
    assert!(!agent.handle_connection_refused(now + 1_200 * MS, &mut out));
    assert!(agent.handle_connection_refused(now + 1_300 * MS, &mut out));
    assert_eq!(resets(&out), 1);
}

/// A crash shows as a refused connection at once: the clients of its flows must not wait for their deadline.
#[test]
fn a_crash_ends_all_flows_at_once() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    for port in 0..20 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
    }
    out.clear();
    assert!(agent.handle_connection_refused(now, &mut out));
    assert_eq!(resets(&out), 20);
    assert_eq!(agent.backend.phase(now), Phase::Down);
}

/// A late heartbeat of a lifetime that has ended must not bring it back; a new lifetime ends the old one's flows.
#[test]
fn heartbeats_of_other_lifetimes() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    out.clear();
    let later = now + 10_000 * MS;
    // Soak, seed 3: a flow of the new lifetime was opened before its first heartbeat, and reset with it.
    agent.handle_client_packet(&syn(2, 0), via(BALANCER), &Members::default(), later, &mut out);
    agent.handle_backend_packet(&from_backend(2, 900), later, &mut out);
    out.clear();
    agent.handle_heartbeat(&beat(2, 1, false), later, &mut out);
    assert_eq!(resets(&out), 1);
    out.clear();
    agent.handle_client_packet(&data(2, 901), via(BALANCER), &Members::default(), later, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    out.clear();
    agent.handle_heartbeat(&beat(1, 9, true), later, &mut out);
    assert_eq!(agent.backend.phase(later), Phase::Ready);
    assert_eq!(resets(&out), 0);
}

/// kalo-workshop-grown quiet-1: backend servers that have just started reset packets of flows that they never held.
#[test]
fn a_reset_of_a_flow_that_was_never_held_is_not_passed_on() {
    let now = Instant::now();
    let mut agent = agent(A, now);
    let mut out = Vec::new();
    agent.handle_query(&data(1, 501), via(B), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    out.clear();
    let mut reset = from_backend(1, 0);
    reset.flags = Flags::RST;
    agent.handle_backend_packet(&reset, now, &mut out);
    let deny = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(1)),
    };
    let passed_on = out.iter().any(|effect| matches!(effect, Effect::SendToClient { .. }));
    assert!(out.contains(&deny) && !passed_on, "{out:?}");
}

/// kalo-workshop-grown quiet-1: an agent that has not read the list of the others cannot prove that nobody holds a flow.
#[test]
fn a_search_ends_in_a_reset_only_if_everybody_was_asked_and_denied() {
    let now = Instant::now();
    for (announced, denials, expected) in [(false, vec![B, C], 0), (true, vec![B], 0), (true, vec![B, C], 1)] {
        let mut agent = started(A, now);
        if announced {
            agent.mark_announced();
        }
        let members = members(&[B, C], Stance::Open, now);
        let mut out = Vec::new();
        agent.handle_client_packet(&data(7, 900), via(BALANCER), &members, now, &mut out);
        for sibling in &denials {
            agent.handle_note(*sibling, Note::Deny(flow(7)), now, &mut out);
        }
        assert_eq!(resets(&out), expected, "announced {announced}, denials {denials:?}");
    }
}

/// A claim ends the search, and the next packet goes straight to the owner.
#[test]
fn a_claim_becomes_a_pointer() {
    let now = Instant::now();
    let mut agent = started(A, now);
    agent.mark_announced();
    let members = members(&[B, C], Stance::Open, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&data(7, 900), via(BALANCER), &members, now, &mut out);
    agent.handle_note(B, Note::Deny(flow(7)), now, &mut out);
    agent.handle_note(C, Note::Claim(flow(7)), now, &mut out);
    assert_eq!(resets(&out), 0);
    out.clear();
    agent.handle_client_packet(&data(7, 900), via(BALANCER), &members, now, &mut out);
    let pass = Effect::Forward {
        to: C,
        hops: 1,
        balancer: BALANCER,
    };
    assert_eq!(out, [pass]);
}

/// A silent sibling may hold the flow. Only clients that repeat their request anyway gain by an early end.
#[test]
fn a_lost_sibling_counts_as_a_denial_only_for_idempotent_requests() {
    let start = Instant::now();
    for (port, expected) in [(SERVICE.port(), 1), (build::UNSAFE.port(), 0)] {
        let now = start + 2_000 * MS;
        let mut agent = started(A, start);
        agent.mark_announced();
        let mut members = members(&[C], Stance::Open, start);
        members.record_report(B, agent_report(2, 1, Stance::Open), now);
        let mut packet = data(7, 900);
        packet.target.set_port(port);
        let mut out = Vec::new();
        agent.handle_client_packet(&packet, via(BALANCER), &members, now, &mut out);
        agent.handle_note(B, Note::Deny(packet.flow_from_client()), now, &mut out);
        assert_eq!(resets(&out), expected, "port {port}");
    }
}

/// A SYN for a backend server that takes none moves on; if nobody takes it, the client learns at once.
#[test]
fn a_draining_backend_server_gets_no_new_flow() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    agent.handle_heartbeat(&beat(1, 2, true), now, &mut out);
    for (sibling, expected) in [
        (
            Stance::Open,
            Effect::Forward {
                to: B,
                hops: 1,
                balancer: BALANCER,
            },
        ),
        (Stance::Draining, Effect::Reset { flow: flow(3), seq: 0 }),
    ] {
        out.clear();
        agent.handle_client_packet(&syn(3, 0), via(BALANCER), &members(&[B], sibling, now), now, &mut out);
        assert!(out.contains(&expected) && !out.contains(&Effect::Deliver), "{out:?}");
    }
}

/// A returned SYN tries a few siblings and is then refused, so that it does not travel for ever.
#[test]
fn a_returned_syn_is_passed_on_three_times() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    for (hops, passed) in [(0, true), (2, true), (3, false)] {
        let mut agent = started(A, now);
        let mut out = Vec::new();
        let mut way = via(BALANCER);
        way.hops = hops;
        agent.handle_client_packet(&syn(3, 0), way, &members, now, &mut out);
        out.clear();
        let mut returned = syn(3, 0);
        returned.flags = returned.flags.union(Flags::RETURNED);
        agent.handle_returned_packet(&returned, &members, now, &mut out);
        assert_eq!(
            out.iter().any(|effect| matches!(effect, Effect::Forward { .. })),
            passed,
            "{hops}"
        );
        assert_eq!(resets(&out), usize::from(!passed));
    }
}

/// Flows of a removed route end; those of others stay.
#[test]
fn a_removed_route_ends_its_flows() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    out.clear();
    agent.set_routes(routes(2), &mut out);
    assert_eq!(resets(&out), 0);
    let mut without = (*routes(3)).clone();
    without.routes.remove(&SERVICE);
    agent.set_routes(Rc::new(without), &mut out);
    assert_eq!(resets(&out), 1);
}

/// Soak, seed 1: flows that were opened before the first heartbeat were forgotten with it, and reset later.
#[test]
fn flows_opened_before_the_first_heartbeat_are_kept() {
    let now = Instant::now();
    let mut agent = agent(A, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&syn(1, 0), via(BALANCER), &Members::default(), now, &mut out);
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    agent.handle_heartbeat(&beat(1, 1, false), now, &mut out);
    out.clear();
    agent.handle_client_packet(&data(1, 501), via(BALANCER), &Members::default(), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
}

/// A balancer with older routes must not bring a SYN to a service that its address no longer leads to.
#[test]
fn an_agent_with_newer_routes_takes_no_flow_of_another_service() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut newer = (*routes(9)).clone();
    let mut route = newer.routes[&SERVICE].clone();
    route.shares[0].service = "other".into();
    newer.routes.insert(SERVICE, route);
    let mut out = Vec::new();
    agent.set_routes(Rc::new(newer), &mut out);
    out.clear();
    agent.handle_client_packet(&syn(3, 0), via(BALANCER), &Members::default(), now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
}

/// A restarted agent learns its flows from the pointers of its siblings, and gives others theirs.
#[test]
fn pointers_survive_a_restart() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    let mut owner = started(A, now);
    let mut out = Vec::new();
    owner.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    out.clear();
    owner.tick(&members, now + 200 * MS, &mut out);
    let point = Effect::SendNote {
        to: B,
        note: Note::Point(vec![flow(1)]),
    };
    assert_eq!(out, [point]);

    let mut sibling = started(B, now);
    sibling.handle_note(A, Note::Point(vec![flow(1)]), now, &mut out);
    out.clear();
    sibling.handle_peer_restart(A, &mut out);
    let [Effect::SendNote { to: A, note }] = &out[..] else {
        panic!("{out:?}")
    };

    let mut restarted = agent(A, now);
    let mut effects = Vec::new();
    restarted.handle_note(B, note.clone(), now, &mut effects);
    restarted.handle_client_packet(&data(1, 501), via(BALANCER), &members, now, &mut effects);
    assert_eq!(effects, [Effect::Deliver]);
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("east".into(), 1_000);
    balancer.routes = routes(1);
    balancer
}

/// kalo-workshop trouble-1: resets while all agents were starting cost each client its few tries.
#[test]
fn a_syn_is_reset_only_if_all_agents_are_known_to_refuse() {
    let now = Instant::now();
    let outcome = |stance| {
        let mut members = members(&[A, B], stance, now);
        balancer().handle_client_packet(&syn(1, 0), &mut members, now)
    };
    assert!(matches!(
        outcome(Stance::Open),
        Decision::Forward { reason: "placed", .. }
    ));
    assert!(matches!(outcome(Stance::Joining), Decision::Forward { .. }));
    assert!(matches!(outcome(Stance::Draining), Decision::Reset { .. }));
    let mut draining = members(&[A, B], Stance::Draining, now);
    let copy = balancer().handle_client_packet(&syn(1, 1), &mut draining, now);
    assert!(matches!(copy, Decision::Drop { .. }), "{copy:?}");
    let nobody = balancer().handle_client_packet(&syn(1, 0), &mut Members::default(), now);
    assert_eq!(
        nobody,
        Decision::Drop {
            reason: "no_agent_known"
        }
    );
}

/// After a loss of power the first agent that is open must not take the flows of all; a newcomer among open ones waits.
#[test]
fn joining_agents_share_the_load_of_a_mass_start() {
    let now = Instant::now();
    for (open, joining, shared) in [(vec![A], vec![B, C], true), (vec![A, B], vec![C], false)] {
        let mut members = members(&open, Stance::Open, now);
        for (number, ip) in joining.iter().enumerate() {
            members.record_report(*ip, agent_report(number as u64 + 10, 1, Stance::Joining), now);
        }
        let mut balancer = balancer();
        let to_joining =
            (0..100).filter(
                |port| match balancer.handle_client_packet(&syn(*port, 0), &mut members, now) {
                    Decision::Forward { to, .. } => joining.contains(&to),
                    _ => false,
                },
            );
        assert_eq!(to_joining.count() > 0, shared, "{open:?} open, {joining:?} joining");
    }
}

/// A copy of a SYN means that the first agent has not answered for 200 ms.
#[test]
fn a_copy_of_a_syn_goes_to_another_agent() {
    let now = Instant::now();
    let mut members = members(&[A, B, C], Stance::Open, now);
    let mut balancer = balancer();
    let mut to = |copy| match balancer.handle_client_packet(&syn(1, copy), &mut members, now) {
        Decision::Forward { to, .. } => to,
        other => panic!("{other:?}"),
    };
    let first = to(0);
    assert_ne!(to(1), first);
}

/// A flow whose agent is silent for long ends if the client repeats its request anyway, unless most agents are silent:
/// then the balancer itself is cut off.
#[test]
fn an_owner_that_is_lost_ends_its_idempotent_flows() {
    let start = Instant::now();
    let now = start + 1_300 * MS;
    for (alive, expected) in [(vec![B, C], true), (vec![], false)] {
        let mut members = members(&[A, B, C], Stance::Open, start);
        for (number, ip) in alive.iter().enumerate() {
            members.record_report(*ip, agent_report(number as u64 + 2, 2, Stance::Open), now);
        }
        let mut balancer = balancer();
        balancer.learn(flow(1), A, start);
        let decision = balancer.handle_client_packet(&data(1, 44), &mut members, now);
        assert_eq!(
            matches!(decision, Decision::Reset { seq: 44, .. }),
            expected,
            "{decision:?}"
        );
    }
}

/// A process that stood still has heard nobody, which says nothing about the others.
#[test]
fn silence_counts_anew_after_a_pause_of_the_own_process() {
    let start = Instant::now();
    let mut members = members(&[A], Stance::Open, start);
    let now = start + 30_000 * MS;
    members.extend_deadlines(now);
    assert!(members.expire(now).is_empty());
    assert!(members.get(A).unwrap().is_alive(now));
}

/// A late report must not undo a newer one.
#[test]
fn reports_are_taken_in_order() {
    let now = Instant::now();
    let mut members = Members::default();
    members.record_report(A, agent_report(1, 5, Stance::Draining), now);
    members.record_report(A, agent_report(1, 4, Stance::Open), now);
    assert_eq!(members.get(A).unwrap().report.stance, Stance::Draining);
}

/// Nodes that know the same agents rank them alike, and an agent more or less moves only its own flows.
#[test]
fn ranking_is_stable() {
    let moved = (0..1_000)
        .filter(|port| {
            let with = rank::homes(flow(*port), [A, B, C].into_iter());
            let without = rank::homes(flow(*port), [A, B].into_iter());
            assert_eq!(with, rank::homes(flow(*port), [C, A, B].into_iter()));
            with[0] != Some(C) && with[0] != without[0]
        })
        .count();
    assert_eq!(moved, 0);
}

/// Pointers to flows that are over must not keep out those of new flows, however many there were.
#[test]
fn pointers_expire() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    let mut home = started(A, now);
    let mut out = Vec::new();
    let ended = (0..40_000).map(flow).collect();
    home.handle_note(B, Note::Point(ended), now, &mut out);
    let later = now + 80_000 * MS;
    home.tick(&members, later, &mut out);
    home.handle_note(B, Note::Point(vec![flow(50_000)]), later, &mut out);
    out.clear();
    home.handle_client_packet(&data(50_000, 501), via(BALANCER), &members, now, &mut out);
    assert!(matches!(out[..], [Effect::Forward { to: B, .. }]), "{out:?}");
}

/// The pointers of a flow that stays open for long are kept.
#[test]
fn pointers_of_open_flows_are_refreshed() {
    let start = Instant::now();
    let siblings = members(&[B], Stance::Open, start);
    let mut owner = started(A, start);
    let mut home = started(B, start);
    owner.handle_backend_packet(&from_backend(1, 500), start, &mut Vec::new());
    for second in 1..300 {
        let now = start + second * 1_000 * MS;
        let mut out = Vec::new();
        owner.handle_client_packet(&data(1, 501), via(BALANCER), &siblings, now, &mut out);
        owner.tick(&siblings, now, &mut out);
        for effect in out {
            if let Effect::SendNote { to: B, note } = effect {
                home.handle_note(A, note, now, &mut Vec::new());
            }
        }
        let mut out = Vec::new();
        home.tick(&Members::default(), now, &mut out);
        out.clear();
        home.handle_client_packet(
            &data(1, 501),
            via(BALANCER),
            &members(&[A], Stance::Open, now),
            now,
            &mut out,
        );
        assert!(
            matches!(out[..], [Effect::Forward { to: A, .. }]),
            "second {second}: {out:?}"
        );
    }
}

/// kalo-workshop-grown trouble-2 at 35.0 s: 91 nodes start together, and each finds the others in the store. Lists of nodes
/// in answer to each greeting filled the links of 10 Mbit/s for a second.
#[test]
fn a_mass_start_needs_two_messages_for_each_pair_of_nodes() {
    const NODES: usize = 91;
    let mut known = vec![vec![false; NODES]; NODES];
    let pairs = || (0..NODES).flat_map(|from| (0..NODES).map(move |to| (from, to)));
    let others = pairs().filter(|(from, to)| from != to);
    let mut sent: VecDeque<_> = others.map(|(from, to)| (from, to, Message::ReportRequest)).collect();
    let mut messages = 0;
    while let Some((from, to, message)) = sent.pop_front() {
        messages += 1;
        assert_ne!(message, Message::NodeList);
        let new = !std::mem::replace(&mut known[to][from], true);
        sent.extend(discovery::reply(message, new).map(|answer| (to, from, answer)));
    }
    assert!(messages <= 2 * NODES * NODES, "{messages}");
}

/// A repeated packet that arrives after the answer is no further request: it would count as work for as long as the flow
/// is idle.
#[test]
fn a_repeated_packet_is_no_new_request() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    agent.handle_client_packet(&data(1, 501), via(BALANCER), &Members::default(), now, &mut out);
    assert_eq!(agent.load(now).busy, 1);
    let mut answer = from_backend(1, 501);
    answer.data_len = 1_000;
    agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    agent.handle_client_packet(
        &data(1, 501),
        via(BALANCER),
        &Members::default(),
        now + 60 * MS,
        &mut out,
    );
    assert_eq!(agent.load(now).busy, 0);
    let mut next = data(1, 1_501);
    next.seq += u32::from(next.data_len);
    agent.handle_client_packet(&next, via(BALANCER), &Members::default(), now + 70 * MS, &mut out);
    assert_eq!(agent.load(now).busy, 1);
}

/// A backend server that is loaded gets a SYN when it has answered others. A SYN that has waited for too long is not reset:
/// nhsc-edge-grown scale-2 at 1.385 s, another agent had taken an earlier copy, and the flow was open.
#[test]
fn a_syn_waits_until_there_is_room() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    let requests = 3 * 7;
    for port in 0..requests {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), via(BALANCER), &Members::default(), now, &mut out);
    }
    for (port, copy) in [(100, 0), (101, 2)] {
        out.clear();
        agent.handle_client_packet(&syn(port, copy), via(BALANCER), &Members::default(), now, &mut out);
        assert!(out.contains(&Effect::Hold { flow: flow(port) }), "{out:?}");
    }
    let mut answer = from_backend(1, 501);
    answer.data_len = 1_000;
    out.clear();
    agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    assert!(out.contains(&Effect::Release { flow: flow(100) }), "{out:?}");
    agent.handle_backend_packet(&from_backend(100, 500), now + 60 * MS, &mut out);
    agent.handle_client_packet(
        &data(100, 501),
        via(BALANCER),
        &Members::default(),
        now + 60 * MS,
        &mut out,
    );
    out.clear();
    agent.tick(&Members::default(), now + 200 * MS, &mut out);
    assert!(!out.contains(&Effect::Discard { flow: flow(101) }), "{out:?}");
    agent.tick(&Members::default(), now + 750 * MS, &mut out);
    assert!(out.contains(&Effect::Discard { flow: flow(101) }), "{out:?}");
    assert_eq!(resets(&out), 0);
}

/// nhsc-edge-grown trouble-1 from 2.4 s on: backend servers that are healthy by their own word reset each request or leave
/// it without an answer. They must show in the load of their agents, and be tried again later.
#[test]
fn failing_backend_servers_show_in_the_load() {
    for answers in [true, false] {
        let now = Instant::now();
        let mut agent = started(A, now);
        let mut out = Vec::new();
        for port in 0..10 {
            agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
            agent.handle_client_packet(&data(port, 501), via(BALANCER), &Members::default(), now, &mut out);
            if answers {
                let mut reset = from_backend(port, 501);
                reset.flags = Flags::RST;
                agent.handle_backend_packet(&reset, now + 5 * MS, &mut out);
            }
        }
        agent.tick(&Members::default(), now + 1_100 * MS, &mut out);
        assert!(agent.load(now).failed_percent > 80);
        for tick in 0..100 {
            agent.tick(&Members::default(), now + (1_200 + tick * 100) * MS, &mut out);
        }
        assert!(agent.load(now).failed_percent < 30);
    }
}

/// Resets of a backend server that has far more requests than it can queue say nothing of its health.
#[test]
fn an_overloaded_backend_server_is_not_a_failing_one() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    for port in 0..60 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), via(BALANCER), &Members::default(), now, &mut out);
    }
    for port in 0..20 {
        let mut reset = from_backend(port, 501);
        reset.flags = Flags::RST;
        agent.handle_backend_packet(&reset, now + 5 * MS, &mut out);
    }
    assert_eq!(agent.load(now).failed_percent, 0);
}

/// nhsc-edge-grown trouble-3 from 35 s on: all processes had been killed, two agents asked for the same flow, and the second
/// packet that the backend server returned began a new search at each sibling. 11,000 questions a second reached each agent
/// until the end of the day.
#[test]
fn returned_probes_begin_no_search() {
    let now = Instant::now();
    let siblings = members(&[B, C], Stance::Open, now);
    let mut agent = agent_at(A, now, STARTED_MS + 60_000);
    agent.handle_heartbeat(&beat(1, 9, false), now, &mut Vec::new());
    let mut out = Vec::new();
    agent.handle_query(&data(1, 501), via(B), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    out.clear();
    agent.handle_query(&data(1, 501), via(C), now, &mut out);
    assert_eq!(out, []);
    agent.handle_returned_packet(&data(1, 501), &siblings, now + 10 * MS, &mut out);
    let deny = |to| Effect::SendNote {
        to,
        note: Note::Deny(flow(1)),
    };
    assert_eq!(out, [deny(B), deny(C)]);
    out.clear();
    agent.handle_returned_packet(&data(1, 501), &siblings, now + 20 * MS, &mut out);
    assert_eq!(out, []);
}

/// kalo-workshop-grown trouble-1 from 36 s on: one agent a second left with its backend server, and each search waited for
/// one that had just gone. Clients of lost flows hung until their deadline.
#[test]
fn agents_that_leave_are_not_asked() {
    let now = Instant::now();
    let mut siblings = members(&[B, C], Stance::Open, now);
    siblings.record_report(C, agent_report(2, 2, Stance::Leaving), now);
    let mut agent = started(A, now);
    agent.mark_announced();
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 501), via(BALANCER), &siblings, now, &mut out);
    agent.handle_note(B, Note::Deny(flow(1)), now, &mut out);
    assert_eq!(resets(&out), 1);
    // Nor do they get packets whose owner must be found.
    for port in 0..50 {
        let decision = balancer().handle_client_packet(&data(port, 501), &mut siblings, now);
        assert!(matches!(decision, Decision::Forward { to: B, .. }), "{decision:?}");
    }
}

/// kalo-workshop-grown trouble-1 at 35.5 s: VMs whose backend servers had been taken away came back with the power. Their
/// agents handed probes to a closed port and answered no search, until the VMs were removed without a word.
#[test]
fn agents_without_a_backend_server_are_not_waited_for() {
    let now = Instant::now();
    let mut vacant = agent(A, now);
    let mut out = Vec::new();
    vacant.handle_connection_refused(now, &mut out);
    // It takes no flow before it has told the others that its backend server is there.
    vacant.handle_client_packet(&syn(2, 1), via(BALANCER), &Members::default(), now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
    out.clear();
    vacant.handle_query(&data(1, 501), via(B), now, &mut out);
    let deny = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(1)),
    };
    assert_eq!(out, [deny]);

    let mut siblings = members(&[B, C], Stance::Joining, now);
    let mut report = agent_report(2, 2, Stance::Joining);
    report.vacant = true;
    siblings.record_report(C, report, now);
    let mut searching = started(A, now);
    searching.mark_announced();
    out.clear();
    searching.handle_client_packet(&data(1, 501), via(BALANCER), &siblings, now, &mut out);
    searching.handle_note(B, Note::Deny(flow(1)), now, &mut out);
    assert_eq!(resets(&out), 1);
}

/// Soak, seed 3: an agent that had just started knew a sibling from the store only, whose announcement was written before its
/// backend server came up, did not ask it, and reset a flow that it held. The same may happen when a sibling has not been
/// heard for a while.
#[test]
fn only_a_fresh_word_of_an_agent_tells_that_it_holds_nothing() {
    let now = Instant::now();
    let mut vacant = agent_report(2, 1, Stance::Joining);
    vacant.vacant = true;
    let mut listed = members(&[B], Stance::Open, now);
    listed.add_listed([(C, vacant.clone())], now);
    let mut silent = members(&[B], Stance::Open, now);
    silent.record_report(C, vacant, now);
    for (siblings, later) in [(listed, now), (silent, now + 1_000 * MS)] {
        let mut agent = started(A, now);
        agent.mark_announced();
        let mut out = Vec::new();
        agent.handle_client_packet(&data(1, 501), via(BALANCER), &siblings, later, &mut out);
        assert!(
            out.iter().any(|effect| matches!(effect, Effect::Query { to: C, .. })),
            "{out:?}"
        );
        agent.handle_note(B, Note::Deny(flow(1)), later, &mut out);
        assert_eq!(resets(&out), 0);
    }
}

/// Each SYN that is kept is handed over or forgotten, also when its copy comes to the same agent, or when more come than can
/// wait: kept ones would take memory for ever.
#[test]
fn no_waiting_syn_is_left_behind() {
    let now = Instant::now();
    let mut agent = started(A, now);
    let mut out = Vec::new();
    for port in 0..21 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), via(BALANCER), &Members::default(), now, &mut out);
    }
    out.clear();
    for port in 100..500 {
        agent.handle_client_packet(&syn(port, 0), via(BALANCER), &Members::default(), now, &mut out);
    }
    for port in 0..5 {
        let mut answer = from_backend(port, 501);
        answer.data_len = 1_000;
        agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    }
    agent.handle_client_packet(
        &syn(120, 1),
        via(BALANCER),
        &Members::default(),
        now + 60 * MS,
        &mut out,
    );
    agent.tick(&Members::default(), now + 2_000 * MS, &mut out);
    let mut kept = BTreeSet::new();
    for effect in &out {
        match effect {
            Effect::Hold { flow } => assert!(kept.insert(*flow), "{flow:?}"),
            Effect::Release { flow } | Effect::Discard { flow } => assert!(kept.remove(flow), "{flow:?}"),
            _ => {}
        }
    }
    assert!(kept.is_empty(), "{} left", kept.len());
}
