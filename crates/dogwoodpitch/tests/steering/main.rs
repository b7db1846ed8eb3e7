//! Decisions on opaque flows: single rules, regressions of faults found on the bench, simulated load patterns and
//! random sequences.

mod admission;
mod build;
mod cluster;
mod era;
mod evacuation;
mod freshness;
mod fuzz;
mod lifetime;
mod load;
mod overflow;
mod reset;
mod warm_up;

use std::{
    collections::{BTreeSet, VecDeque},
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use dogwoodpitch::state::{
    roster::Role,
    steering::{
        agent::{Agent, Effect, Identity, Note},
        audience::Sender,
        backend::Phase,
        balancer::{Balancer, Decision},
        discovery::{self, Message},
        member::Members,
        rank,
        report::Stance,
        segment::{Flags, Segment},
    },
};

use build::{
    A, B, BALANCER, C, SERVICE, STARTED_MS, agent, agent_report, agent_started_at, agent_with_backend, answer, data,
    flow, from_backend, heartbeat, hop, members, open_flow, routes, syn,
};

const MS: Duration = Duration::from_millis(1);

fn resets(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Reset { .. }))
        .count()
}

/// Whether an agent notifies the balancer of a flow that no backend server accepts it.
fn refuses(effects: &[Effect], port: u16) -> bool {
    effects.contains(&Effect::SendNote {
        to: BALANCER,
        note: Note::Refuse(flow(port)),
    })
}

/// Refused connections must not end the flows of a draining backend server that still serves them. It may close its
/// port before it exits: 60 ms before in kalo-workshop scale-1 at 19.5 s.
#[test]
fn a_draining_backend_server_keeps_its_flows_with_a_closed_port() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    open_flow(&mut agent, 1, 500, now);
    agent.handle_heartbeat(&heartbeat(1, 2, true), now, &mut out);
    out.clear();
    assert!(!agent.handle_connection_refused(now, &mut out));
    assert!(!agent.handle_connection_refused(now + 1_000 * MS, &mut out));
    assert_eq!(resets(&out), 0);
    // After an exit notice, refused connections end the flows soon.
    assert!(
        agent
            .backend
            .handle_exit_notice(&heartbeat(1, 2, true).id, now + 1_100 * MS)
    );
    assert!(!agent.handle_connection_refused(now + 1_200 * MS, &mut out));
    assert!(agent.handle_connection_refused(now + 1_300 * MS, &mut out));
    assert_eq!(resets(&out), 1);
}

/// A refused connection reveals a crash. Clients of its flows must be reset at once and not wait for their deadline.
#[test]
fn a_crash_ends_all_flows_at_once() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    for port in 0..20 {
        open_flow(&mut agent, port, 500, now);
    }
    out.clear();
    assert!(agent.handle_connection_refused(now, &mut out));
    assert_eq!(resets(&out), 20);
    assert_eq!(agent.backend.phase(now), Phase::Down);
}

/// A new lifetime closes the flows of the previous one, and a late heartbeat of the previous one must not revive it.
#[test]
fn heartbeats_of_other_lifetimes() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    open_flow(&mut agent, 1, 500, now);
    out.clear();
    let later = now + 10_000 * MS;
    // A flow that the new lifetime opens before its first heartbeat must not be reset by it (soak, seed 3).
    agent.handle_client_packet(&syn(2, 0), hop(BALANCER), &Members::default(), later, &mut out);
    agent.handle_backend_packet(&from_backend(2, 900), later, &mut out);
    out.clear();
    agent.handle_heartbeat(&heartbeat(2, 1, false), later, &mut out);
    assert_eq!(resets(&out), 1);
    out.clear();
    agent.handle_client_packet(&data(2, 901), hop(BALANCER), &Members::default(), later, &mut out);
    assert_eq!(out, [Effect::LogOpened { flow: flow(2) }, Effect::Deliver]);
    out.clear();
    agent.handle_heartbeat(&heartbeat(1, 9, true), later, &mut out);
    assert_eq!(agent.backend.phase(later), Phase::Ready);
    assert_eq!(resets(&out), 0);
}

/// A backend server that has just started resets packets of flows that it never held. Another one may hold the flow, so
/// the client must not get the reset (kalo-workshop-grown quiet-1).
#[test]
fn a_reset_of_an_unknown_flow_is_not_sent_to_the_client() {
    let now = Instant::now();
    let mut agent = agent(A, now);
    let mut out = Vec::new();
    agent.handle_query(&data(1, 501), hop(B), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    out.clear();
    let mut reset = from_backend(1, 0);
    reset.flags = Flags::RST;
    agent.handle_backend_packet(&reset, now, &mut out);
    let denial = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(1)),
    };
    let sent_to_client = out.iter().any(|effect| matches!(effect, Effect::SendToClient { .. }));
    assert!(out.contains(&denial) && !sent_to_client, "{out:?}");
}

/// An agent that has not read the list of nodes may not know all peers, so its search cannot prove that no agent holds
/// a flow (kalo-workshop-grown quiet-1).
#[test]
fn a_search_ends_in_a_reset_only_if_all_agents_denied_the_flow() {
    let now = Instant::now();
    for (announced, denials, expected) in [(false, vec![B, C], 0), (true, vec![B], 0), (true, vec![B, C], 1)] {
        let mut agent = agent_with_backend(A, now);
        if announced {
            agent.mark_announced();
        }
        let members = members(&[B, C], Stance::Open, now);
        let mut out = Vec::new();
        agent.handle_client_packet(&data(7, 900), hop(BALANCER), &members, now, &mut out);
        for peer in &denials {
            agent.handle_note(*peer, Note::Deny(flow(7)), now, &mut out);
        }
        assert_eq!(resets(&out), expected, "announced {announced}, denials {denials:?}");
    }
}

/// A claim ends the search, and the next packet is forwarded directly to the owner.
#[test]
fn a_claim_becomes_a_pointer() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    agent.mark_announced();
    let members = members(&[B, C], Stance::Open, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&data(7, 900), hop(BALANCER), &members, now, &mut out);
    agent.handle_note(B, Note::Deny(flow(7)), now, &mut out);
    agent.handle_note(C, Note::Claim(flow(7)), now, &mut out);
    assert_eq!(resets(&out), 0);
    out.clear();
    agent.handle_client_packet(&data(7, 900), hop(BALANCER), &members, now, &mut out);
    let forward = Effect::Forward {
        to: C,
        hops: 1,
        balancer: BALANCER,
    };
    assert_eq!(out, [forward]);
}

/// An unreachable peer may hold the flow, so only clients that retry after any failure gain by an early reset.
#[test]
fn an_unreachable_peer_counts_as_a_denial_only_for_idempotent_requests() {
    let start = Instant::now();
    for (port, expected) in [(SERVICE.port(), 1), (build::NON_IDEMPOTENT_SERVICE.port(), 0)] {
        let now = start + 2_000 * MS;
        let mut agent = agent_with_backend(A, start);
        agent.mark_announced();
        let mut members = members(&[C], Stance::Open, start);
        members.record_report(B, agent_report(2, 1, Stance::Open), now);
        let mut packet = data(7, 900);
        packet.target.set_port(port);
        let mut out = Vec::new();
        agent.handle_client_packet(&packet, hop(BALANCER), &members, now, &mut out);
        agent.handle_note(B, Note::Deny(packet.flow_from_client()), now, &mut out);
        agent.tick(&members, now + 100 * MS, &mut out);
        assert_eq!(resets(&out), expected, "port {port}");
    }
}

/// A SYN for a backend server that accepts no new flows is forwarded to a peer, or reset at once if none accepts it.
#[test]
fn a_draining_backend_server_gets_no_new_flow() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    agent.handle_heartbeat(&heartbeat(1, 2, true), now, &mut out);
    for (peer, expected) in [
        (
            Stance::Open,
            Effect::Forward {
                to: B,
                hops: 1,
                balancer: BALANCER,
            },
        ),
        (
            Stance::Draining,
            Effect::SendNote {
                to: BALANCER,
                note: Note::Refuse(flow(3)),
            },
        ),
    ] {
        out.clear();
        agent.handle_client_packet(&syn(3, 0), hop(BALANCER), &members(&[B], peer, now), now, &mut out);
        assert!(out.contains(&expected) && !out.contains(&Effect::Deliver), "{out:?}");
    }
}

/// A returned SYN is forwarded a limited number of times and then refused, so that it is not forwarded forever.
#[test]
fn a_returned_syn_is_forwarded_three_times() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    for (hops, forwarded) in [(0, true), (2, true), (3, false)] {
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        let mut hop = hop(BALANCER);
        hop.hops = hops;
        agent.handle_client_packet(&syn(3, 0), hop, &members, now, &mut out);
        out.clear();
        let mut returned = syn(3, 0);
        returned.flags = returned.flags.union(Flags::RETURNED);
        agent.handle_returned_packet(&returned, &members, now, &mut out);
        assert_eq!(
            out.iter().any(|effect| matches!(effect, Effect::Forward { .. })),
            forwarded,
            "{hops}"
        );
        assert_eq!(refuses(&out, 3), !forwarded);
        assert_eq!(resets(&out), 0);
    }
}

/// Removing a route resets its flows and no others.
#[test]
fn a_removed_route_ends_its_flows() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
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

/// The first heartbeat must not remove flows that were opened before it, or their next packets are reset (soak, seed 1).
#[test]
fn flows_opened_before_the_first_heartbeat_are_kept() {
    let now = Instant::now();
    let mut agent = agent(A, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &Members::default(), now, &mut out);
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    agent.handle_heartbeat(&heartbeat(1, 1, false), now, &mut out);
    out.clear();
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &Members::default(), now, &mut out);
    assert_eq!(out, [Effect::LogOpened { flow: flow(1) }, Effect::Deliver]);
}

/// A balancer with older routes must not place a SYN on a service that the route of its address no longer names.
#[test]
fn an_agent_with_newer_routes_takes_no_flow_of_another_service() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut newer = (*routes(9)).clone();
    let mut route = newer.routes[&SERVICE].clone();
    route.shares[0].service = "other".into();
    newer.routes.insert(SERVICE, route);
    let mut out = Vec::new();
    agent.set_routes(Rc::new(newer), &mut out);
    out.clear();
    agent.handle_client_packet(&syn(3, 0), hop(BALANCER), &Members::default(), now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
}

/// A restarted agent recovers its flows from the pointers that its peers store.
#[test]
fn pointers_survive_a_restart() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    let mut owner = agent_with_backend(A, now);
    let mut out = Vec::new();
    open_flow(&mut owner, 1, 500, now);
    out.clear();
    owner.tick(&members, now + 200 * MS, &mut out);
    let point = Effect::SendNote {
        to: B,
        note: Note::Point(vec![flow(1)]),
    };
    assert_eq!(out, [point]);

    let mut peer = agent_with_backend(B, now);
    peer.handle_note(A, Note::Point(vec![flow(1)]), now, &mut out);
    out.clear();
    peer.handle_peer_restart(A, &mut out);
    let [Effect::SendNote { to: A, note }] = &out[..] else {
        panic!("{out:?}")
    };

    let mut restarted = agent(A, now);
    let mut effects = Vec::new();
    restarted.handle_note(B, note.clone(), now, &mut effects);
    restarted.handle_client_packet(&data(1, 501), hop(BALANCER), &members, now, &mut effects);
    assert_eq!(effects, [Effect::Deliver]);
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("east".into(), 1_000);
    balancer.routes = routes(1);
    balancer
}

/// A reset while all agents are starting costs clients one of their few retries (kalo-workshop trouble-1).
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
    let no_agents = balancer().handle_client_packet(&syn(1, 0), &mut Members::default(), now);
    assert_eq!(
        no_agents,
        Decision::Drop {
            reason: "no_agent_known"
        }
    );
}

/// After a power failure, the first agent to open must not get the flows of all agents. A single joining agent among
/// open ones gets no flows.
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

/// A copy of a SYN means that the first agent has not answered for 200 ms, so another agent gets it.
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

/// The agent that a balancer has cached may be one that has only been tried with a SYN. If it is unreachable, its flow
/// ends only if no other agent holds it.
#[test]
fn a_silent_agent_that_was_only_tried_must_not_reset_the_flow() {
    let start = Instant::now();
    let now = start + 1_300 * MS;
    for held in [true, false] {
        let known_to = |local: Ipv4Addr| {
            let others: Vec<_> = [A, B, C].into_iter().filter(|ip| *ip != local).collect();
            let mut members = members(&others, Stance::Open, start);
            for ip in others.into_iter().filter(|ip| *ip != A) {
                members.record_report(ip, agent_report(9, 1, Stance::Open), now);
            }
            members
        };
        let mut balancer = balancer();
        balancer.learn(flow(1), A, start);
        let decision = balancer.handle_client_packet(&data(1, 44), &mut known_to(BALANCER), now);
        let Decision::Forward { to, guessed: true, .. } = decision else {
            panic!("{decision:?}");
        };
        let (members, other) = (known_to(to), if to == B { C } else { B });
        let mut home = agent_with_backend(to, start);
        home.mark_announced();
        let mut out = Vec::new();
        home.handle_client_packet(&data(1, 44), hop(BALANCER), &members, now, &mut out);
        let answer = if held { Note::Claim } else { Note::Deny };
        home.handle_note(other, answer(flow(1)), now + 5 * MS, &mut out);
        home.tick(&members, now + 100 * MS, &mut out);
        assert_eq!(resets(&out), usize::from(!held), "{out:?}");
    }
}

/// Two lost reports make the owner look unreachable. It answers the query nevertheless.
#[test]
fn lost_reports_of_the_owner_must_not_reset_its_flow() {
    let start = Instant::now();
    let now = start + 1_300 * MS;
    let mut members = members(&[B, C], Stance::Open, start);
    members.record_report(C, agent_report(2, 2, Stance::Open), now);
    let mut agent = agent_with_backend(A, start);
    agent.mark_announced();
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 44), hop(BALANCER), &members, now, &mut out);
    agent.handle_note(C, Note::Deny(flow(1)), now + 4 * MS, &mut out);
    agent.handle_note(B, Note::Claim(flow(1)), now + 5 * MS, &mut out);
    agent.tick(&members, now + 100 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// A process receives no reports while it is paused, so missing reports say nothing about the other nodes.
#[test]
fn timeouts_restart_after_a_pause_of_the_process() {
    let start = Instant::now();
    let mut members = members(&[A], Stance::Open, start);
    let now = start + 30_000 * MS;
    members.extend_deadlines(now);
    assert!(members.expire(now).is_empty());
    assert!(members.get(A).unwrap().is_alive(now));
}

/// An older report that arrives late must not overwrite a newer one.
#[test]
fn reports_are_taken_in_order() {
    let now = Instant::now();
    let mut members = Members::default();
    members.record_report(A, agent_report(1, 5, Stance::Draining), now);
    members.record_report(A, agent_report(1, 4, Stance::Open), now);
    assert_eq!(members.get(A).unwrap().report.stance, Stance::Draining);
}

/// Nodes that know the same agents rank them in the same order, and adding or removing an agent remaps only its own
/// flows.
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

/// Pointers to closed flows must expire, however many there were, so that pointers to new flows can be stored.
#[test]
fn pointers_expire() {
    let now = Instant::now();
    let members = members(&[B], Stance::Open, now);
    let mut home = agent_with_backend(A, now);
    let mut out = Vec::new();
    let ended = (0..40_000).map(flow).collect();
    home.handle_note(B, Note::Point(ended), now, &mut out);
    let later = now + 80_000 * MS;
    home.tick(&members, later, &mut out);
    home.handle_note(B, Note::Point(vec![flow(50_000)]), later, &mut out);
    out.clear();
    home.handle_client_packet(&data(50_000, 501), hop(BALANCER), &members, now, &mut out);
    assert!(matches!(out[..], [Effect::Forward { to: B, .. }]), "{out:?}");
}

/// Pointers to a long-lived flow are refreshed before they expire.
#[test]
fn pointers_of_open_flows_are_refreshed() {
    let start = Instant::now();
    let peers = members(&[B], Stance::Open, start);
    let mut owner = agent_with_backend(A, start);
    let mut home = agent_with_backend(B, start);
    owner.handle_backend_packet(&from_backend(1, 500), start, &mut Vec::new());
    for second in 1..300 {
        let now = start + second * 1_000 * MS;
        let mut out = Vec::new();
        owner.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
        owner.tick(&peers, now, &mut out);
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
            hop(BALANCER),
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

/// When many nodes start together, each finds the others in the store. At a start of 91 nodes, replying to every request
/// for a report with a list of nodes filled links of 10 Mbit/s for a second (kalo-workshop-grown trouble-2 at 35.0 s).
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

/// A retransmission that arrives after the response must not count as a new request: it would count as work for as long
/// as the flow is idle.
#[test]
fn a_retransmission_is_no_new_request() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &Members::default(), now, &mut out);
    assert_eq!(agent.load(now).busy, 1);
    let answer = answer(1, 501, 1_000);
    agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    agent.handle_client_packet(
        &data(1, 501),
        hop(BALANCER),
        &Members::default(),
        now + 60 * MS,
        &mut out,
    );
    assert_eq!(agent.load(now).busy, 0);
    let mut next = data(1, 1_501);
    next.seq += u32::from(next.data_len);
    agent.handle_client_packet(&next, hop(BALANCER), &Members::default(), now + 70 * MS, &mut out);
    assert_eq!(agent.load(now).busy, 1);
}

/// A loaded backend server gets a queued SYN once it has answered other requests. An expired SYN must not be reset,
/// because another agent may have accepted an earlier copy and the flow is open (nhsc-edge-grown scale-2 at 1.385 s).
#[test]
fn a_syn_waits_until_there_is_room() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    let requests = 3 * 7;
    for port in 0..requests {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    for (port, copy) in [(100, 0), (101, 2)] {
        out.clear();
        agent.handle_client_packet(&syn(port, copy), hop(BALANCER), &Members::default(), now, &mut out);
        assert!(out.contains(&Effect::Hold { flow: flow(port) }), "{out:?}");
    }
    let answer = answer(1, 501, 1_000);
    out.clear();
    agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    assert!(out.contains(&Effect::Release { flow: flow(100) }), "{out:?}");
    agent.handle_backend_packet(&from_backend(100, 500), now + 60 * MS, &mut out);
    agent.handle_client_packet(
        &data(100, 501),
        hop(BALANCER),
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

/// Packets of a backend server overtake one another, and the FIN after a short response comes before its data. A FIN that
/// follows no new data is no answer.
#[test]
fn an_answer_is_measured_although_its_fin_comes_first() {
    for (response_len, is_measured) in [(2_000, true), (0, false)] {
        let now = Instant::now();
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        agent.handle_backend_packet(&from_backend(1, 500), now, &mut out);
        agent.handle_client_packet(&data(1, 501), hop(BALANCER), &Members::default(), now, &mut out);
        let mut fin = answer(1, 501 + response_len, 0);
        fin.flags = Flags::ACK.union(Flags::FIN);
        agent.handle_backend_packet(&fin, now + 50 * MS, &mut out);
        agent.handle_backend_packet(&answer(1, 501, 1_200), now + 51 * MS, &mut out);
        assert_eq!(agent.load(now).latency_ms > 0, is_measured, "{response_len}");
        assert_eq!(agent.load(now).busy, 0);
    }
}

/// Backend servers may report that they are healthy but reset each request or leave it without a response
/// (nhsc-edge-grown trouble-1 from 2.4 s on). The load of their agents must show the failures, and decay so that they
/// are tried again later.
#[test]
fn failing_backend_servers_show_in_the_load() {
    for answers in [true, false] {
        let now = Instant::now();
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        for port in 0..10 {
            agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
            agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
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

/// Resets from a backend server with far more requests than it can queue must not count as failures.
#[test]
fn an_overloaded_backend_server_is_not_a_failing_one() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    for port in 0..60 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    for port in 0..20 {
        let mut reset = from_backend(port, 501);
        reset.flags = Flags::RST;
        agent.handle_backend_packet(&reset, now + 5 * MS, &mut out);
    }
    assert_eq!(agent.load(now).failed_percent, 0);
}

/// After a restart of all processes, two agents query the same flow. The second packet that the backend server returns
/// must not start a new search: its queries would cause further searches at the peers, without end. 11,000 queries per
/// second reached each agent in nhsc-edge-grown trouble-3, from 35 s until the end of the day.
#[test]
fn returned_probes_start_no_search() {
    let now = Instant::now();
    let peers = members(&[B, C], Stance::Open, now);
    let mut agent = agent_started_at(A, now, STARTED_MS + 60_000);
    agent.handle_heartbeat(&heartbeat(1, 9, false), now, &mut Vec::new());
    let mut out = Vec::new();
    agent.handle_query(&data(1, 501), hop(B), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    out.clear();
    agent.handle_query(&data(1, 501), hop(C), now, &mut out);
    assert_eq!(out, []);
    agent.handle_returned_packet(&data(1, 501), &peers, now + 10 * MS, &mut out);
    let denial = |to| Effect::SendNote {
        to,
        note: Note::Deny(flow(1)),
    };
    assert_eq!(out, [denial(B), denial(C)]);
    out.clear();
    agent.handle_returned_packet(&data(1, 501), &peers, now + 20 * MS, &mut out);
    assert_eq!(out, []);
}

/// A search must not wait for agents that have left with their backend servers. One agent left per second in
/// kalo-workshop-grown trouble-1 from 36 s on, and clients of lost flows waited until their deadline.
#[test]
fn leaving_agents_are_not_waited_for() {
    let now = Instant::now();
    let mut peers = members(&[B, C], Stance::Open, now);
    peers.record_report(C, agent_report(2, 2, Stance::Leaving), now);
    let mut agent = agent_with_backend(A, now);
    agent.mark_announced();
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    agent.handle_note(B, Note::Deny(flow(1)), now, &mut out);
    agent.tick(&peers, now + 60 * MS, &mut out);
    assert_eq!(resets(&out), 1);
    // Leaving agents do not get packets with an unknown owner either.
    for port in 0..50 {
        let decision = balancer().handle_client_packet(&data(port, 501), &mut peers, now);
        assert!(matches!(decision, Decision::Forward { to: B, .. }), "{decision:?}");
    }
}

/// An agent without a backend server must not delay searches. After a power failure, VMs whose backend servers had been
/// removed came back; their agents delivered probes to a closed port and answered no query until the VMs were removed
/// without notice (kalo-workshop-grown trouble-1 at 35.5 s).
#[test]
fn agents_without_a_backend_server_are_not_waited_for() {
    let now = Instant::now();
    let mut vacant = agent(A, now);
    let mut out = Vec::new();
    vacant.handle_connection_refused(now, &mut out);
    // It accepts no flow before it has reported that its backend server is there.
    vacant.handle_client_packet(&syn(2, 1), hop(BALANCER), &Members::default(), now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
    out.clear();
    vacant.handle_query(&data(1, 501), hop(B), now, &mut out);
    let denial = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(1)),
    };
    assert_eq!(out, [denial]);

    let mut peers = members(&[B, C], Stance::Joining, now);
    let mut report = agent_report(2, 2, Stance::Joining);
    report.vacant = true;
    peers.record_report(C, report, now);
    let mut searching = agent_with_backend(A, now);
    searching.mark_announced();
    out.clear();
    searching.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    searching.handle_note(B, Note::Deny(flow(1)), now, &mut out);
    searching.tick(&peers, now + 60 * MS, &mut out);
    assert_eq!(resets(&out), 1);
}

/// A listed announcement may say that an agent has no backend server although one has come up since. A search that
/// relied on it did not query that agent, and reset a flow that it held (soak, seed 3). An old report is no better
/// proof.
#[test]
fn only_a_recent_report_proves_that_an_agent_holds_no_flow() {
    let now = Instant::now();
    let mut vacant = agent_report(2, 1, Stance::Joining);
    vacant.vacant = true;
    let mut listed = members(&[B], Stance::Open, now);
    listed.add_listed([(C, vacant.clone())], now);
    let mut silent = members(&[B], Stance::Open, now);
    silent.record_report(C, vacant, now);
    for (peers, later) in [(listed, now), (silent, now + 1_000 * MS)] {
        let mut agent = agent_with_backend(A, now);
        agent.mark_announced();
        let mut out = Vec::new();
        agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, later, &mut out);
        assert!(
            out.iter().any(|effect| matches!(effect, Effect::Query { to: C, .. })),
            "{out:?}"
        );
        agent.handle_note(B, Note::Deny(flow(1)), later, &mut out);
        assert_eq!(resets(&out), 0);
    }
}

/// Every stored SYN must be delivered or discarded, also when its copy reaches the same agent or the queue is full. A
/// leftover would occupy memory forever.
#[test]
fn every_stored_syn_is_delivered_or_discarded() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    for port in 0..21 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    out.clear();
    for port in 100..500 {
        agent.handle_client_packet(&syn(port, 0), hop(BALANCER), &Members::default(), now, &mut out);
    }
    for port in 0..5 {
        let answer = answer(port, 501, 1_000);
        agent.handle_backend_packet(&answer, now + 50 * MS, &mut out);
    }
    agent.handle_client_packet(
        &syn(120, 1),
        hop(BALANCER),
        &Members::default(),
        now + 60 * MS,
        &mut out,
    );
    agent.tick(&Members::default(), now + 2_000 * MS, &mut out);
    let mut stored = BTreeSet::new();
    for effect in &out {
        match effect {
            Effect::Hold { flow } => assert!(stored.insert(*flow), "{flow:?}"),
            Effect::Release { flow } | Effect::Discard { flow } => assert!(stored.remove(flow), "{flow:?}"),
            _ => {}
        }
    }
    assert!(stored.is_empty(), "{} left", stored.len());
}

/// A SYN waits in the queue of one agent while its copy is delivered by another. Both backend servers answer, and the
/// client opens the flow with the first one. The second one returns the packets that its agent delivers to it, which
/// says nothing about the first one.
#[test]
fn a_loser_of_two_handshakes_must_not_reset_the_flow() {
    let now = Instant::now();
    let (mut first, mut second) = (agent_with_backend(A, now), agent_with_backend(B, now));
    let mut peers = members(&[A, B], Stance::Open, now);
    let mut balancer = balancer();
    let mut out = Vec::new();
    for port in 0..3 * 7 {
        first.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        first.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    out.clear();
    first.handle_client_packet(&syn(100, 0), hop(BALANCER), &Members::default(), now, &mut out);
    assert!(out.contains(&Effect::Hold { flow: flow(100) }), "{out:?}");
    let answer = answer(1, 501, 1_000);
    first.handle_backend_packet(&answer, now + 180 * MS, &mut out);
    assert!(out.contains(&Effect::Release { flow: flow(100) }), "{out:?}");
    balancer.learn(flow(100), A, now + 181 * MS);
    let copy = balancer.handle_client_packet(&syn(100, 1), &mut peers, now + 200 * MS);
    assert!(matches!(copy, Decision::Forward { to: B, .. }), "{copy:?}");
    out.clear();
    second.handle_client_packet(
        &syn(100, 1),
        hop(BALANCER),
        &Members::default(),
        now + 200 * MS,
        &mut out,
    );
    assert!(out.contains(&Effect::Deliver), "{out:?}");
    // The client acknowledges the first backend server, and its balancer has cached the second agent.
    first.handle_backend_packet(&from_backend(100, 500), now + 205 * MS, &mut out);
    let opening = balancer.handle_client_packet(&data(100, 501), &mut peers, now + 212 * MS);
    assert!(matches!(opening, Decision::Forward { to: B, .. }), "{opening:?}");
    out.clear();
    second.handle_client_packet(
        &data(100, 501),
        hop(BALANCER),
        &members(&[A], Stance::Open, now),
        now + 212 * MS,
        &mut out,
    );
    second.handle_backend_packet(&from_backend(100, 9_000_000), now + 213 * MS, &mut out);
    let mut returned = data(100, 501);
    returned.flags = returned.flags.union(Flags::RETURNED);
    second.handle_returned_packet(&returned, &members(&[A], Stance::Open, now), now + 214 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// A SYN still waits at an agent when its client has opened the flow with another backend server, as the client's packet
/// or a peer's query shows. Delivering the SYN would make the balancer send the flow's packets to the wrong agent.
#[test]
fn a_waiting_syn_of_an_open_flow_is_discarded() {
    let now = Instant::now();
    for queried in [false, true] {
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        for port in 0..3 * 7 {
            agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
            agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
        }
        agent.handle_client_packet(&syn(100, 0), hop(BALANCER), &Members::default(), now, &mut out);
        assert!(out.contains(&Effect::Hold { flow: flow(100) }), "{out:?}");
        out.clear();
        if queried {
            agent.handle_query(&data(100, 501), hop(B), now, &mut out);
        } else {
            let peers = members(&[B], Stance::Open, now);
            agent.handle_client_packet(&data(100, 501), hop(BALANCER), &peers, now, &mut out);
        }
        assert!(out.contains(&Effect::Discard { flow: flow(100) }), "{out:?}");
    }
}

/// The end of the backend server that lost the handshake, or its reset of the half-open flow, says nothing about the
/// backend server that the client has chosen.
#[test]
fn the_end_of_a_half_open_flow_must_not_reset_the_flow() {
    let now = Instant::now();
    let mut loser = agent_with_backend(A, now);
    let mut out = Vec::new();
    loser.handle_client_packet(&syn(1, 1), hop(BALANCER), &Members::default(), now, &mut out);
    loser.handle_backend_packet(&from_backend(1, 9_000_000), now, &mut out);
    out.clear();
    let reset = Segment {
        flags: Flags::RST,
        ..from_backend(1, 9_000_001)
    };
    loser.handle_backend_packet(&reset, now + 100 * MS, &mut out);
    assert!(
        !out.iter().any(|effect| matches!(effect, Effect::SendToClient { .. })),
        "{out:?}"
    );
    assert!(loser.handle_connection_refused(now + 200 * MS, &mut out));
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// An agent that has restarted sees a retransmission first. Its client may have acknowledged packets that follow it,
/// and may still acknowledge packets before it.
#[test]
fn a_restarted_agent_recognizes_acknowledgments_of_packets_that_it_has_not_seen() {
    let now = Instant::now();
    for ack in [100_000 - 16 * 1_200, 100_000, 100_000 + 16 * 1_200, 100_000 + 300_000] {
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        agent.handle_backend_packet(&answer(1, 100_000, 1_200), now, &mut out);
        out.clear();
        agent.handle_client_packet(
            &data(1, ack),
            hop(BALANCER),
            &members(&[B], Stance::Open, now),
            now,
            &mut out,
        );
        assert_eq!(out, [Effect::Deliver], "{ack}");
    }
}

/// The backend server repeats its SYN+ACK for longer than a flow usually takes to open, because the client's
/// acknowledgments are lost.
#[test]
fn a_flow_may_open_as_long_as_the_backend_server_repeats_its_answer() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &Members::default(), now, &mut out);
    for second in 0..10 {
        let then = now + second * 1_000 * MS;
        agent.handle_backend_packet(&from_backend(1, 500), then, &mut out);
        agent.tick(&Members::default(), then, &mut out);
    }
    out.clear();
    agent.handle_client_packet(
        &data(1, 501),
        hop(BALANCER),
        &members(&[B], Stance::Open, now),
        now + 10_000 * MS,
        &mut out,
    );
    assert!(out.contains(&Effect::Deliver), "{out:?}");
}

/// An agent that is stopped before it has detected its backend server cannot say that there are no flows.
#[test]
fn an_agent_stopped_before_it_detects_its_backend_server_must_not_deny_its_flows() {
    let now = Instant::now();
    let mut owner = agent_started_at(A, now, STARTED_MS + 60_000);
    owner.stop();
    let mut peers = members(&[A, C], Stance::Open, now);
    peers.record_report(A, agent_report(9, 1, owner.stance(now)), now);
    let mut agent = agent_with_backend(B, now);
    agent.mark_announced();
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    agent.handle_note(C, Note::Deny(flow(1)), now, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// The clock was set back between the start of the backend server and the restart of its agent, so that the agent seems
/// to be older. The number of the heartbeat tells that it is not.
#[test]
fn a_clock_set_back_must_not_make_a_restarted_agent_deny_flows() {
    let now = Instant::now();
    let mut agent = agent_started_at(A, now, STARTED_MS - 2_400);
    let mut out = Vec::new();
    agent.handle_heartbeat(&heartbeat(1, 3, false), now + 100 * MS, &mut out);
    agent.handle_query(&data(1, 501), hop(B), now + 200 * MS, &mut out);
    assert_eq!(out, [Effect::Deliver], "the backend server must be probed");
}

/// A flow is closed when both ends have sent a FIN. Until then, a client may take longer than late packets do.
#[test]
fn a_half_closed_flow_is_kept() {
    let now = Instant::now();
    for closed in [false, true] {
        let mut agent = agent_with_backend(A, now);
        let mut out = Vec::new();
        open_flow(&mut agent, 1, 500, now);
        let with_fin = |segment: Segment| Segment {
            flags: segment.flags.union(Flags::FIN),
            ..segment
        };
        agent.handle_backend_packet(&with_fin(answer(1, 501, 100)), now + 50 * MS, &mut out);
        if closed {
            let fin = with_fin(data(1, 602));
            agent.handle_client_packet(&fin, hop(BALANCER), &Members::default(), now + 60 * MS, &mut out);
        }
        agent.tick(&Members::default(), now + 3_100 * MS, &mut out);
        assert_eq!(agent.table.get(flow(1)).is_none(), closed);
    }
}

/// A process that starts while a peer restarts has not received the announcement of that restart. The lists of other
/// nodes contain it.
#[test]
fn a_listed_agent_that_restarts_is_waited_for() {
    let start = Instant::now();
    let now = start + 1_250 * MS;
    let mut agent = agent_with_backend(B, start);
    agent.mark_announced();
    let mut peers = members(&[C], Stance::Open, start);
    peers.add_listed([(A, agent_report(1, 1, Stance::Joining))], start);
    peers.add_listed([(A, agent_report(1, 40, Stance::Restarting))], start + 10 * MS);
    peers.record_report(C, agent_report(1, 2, Stance::Open), now);
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    agent.handle_note(C, Note::Deny(flow(1)), now, &mut out);
    agent.tick(&peers, now + 60 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// An operator moves a route to another service. Open flows stay with the agents of the former service, but a balancer
/// that does not know their agents sends their packets to the new ones.
#[test]
fn a_route_that_moves_to_another_service_must_not_reset_its_open_flows() {
    let now = Instant::now();
    let mut moved = (*routes(2)).clone();
    moved.routes.get_mut(&SERVICE).unwrap().shares[0].service = "other".into();
    let moved = Rc::new(moved);
    let mut agent = Agent::new(
        Identity {
            ip: B,
            data_centre: "east".into(),
            service: "other".into(),
            started_ms: STARTED_MS,
        },
        770 * MS,
        now,
    );
    let mut out = Vec::new();
    agent.set_routes(routes(1), &mut out);
    agent.set_routes(moved, &mut out);
    agent.handle_heartbeat(&heartbeat(1, 1, false), now, &mut out);
    agent.mark_announced();
    let peers = members(&[A], Stance::Open, now);
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// A SYN waits at several agents in turn. By the time that the last one refuses it, its copy has been accepted.
#[test]
fn a_returned_syn_that_has_waited_must_not_be_reset() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    for port in 0..3 * 7 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    agent.handle_client_packet(&syn(100, 0), hop(BALANCER), &Members::default(), now, &mut out);
    agent.handle_backend_packet(&answer(1, 501, 1_000), now + 180 * MS, &mut out);
    assert!(out.contains(&Effect::Release { flow: flow(100) }), "{out:?}");
    let mut returned = syn(100, 0);
    returned.flags = returned.flags.union(Flags::RETURNED);
    out.clear();
    agent.handle_returned_packet(&returned, &members(&[B], Stance::Open, now), now + 190 * MS, &mut out);
    let mut placing = balancer();
    placing.handle_client_packet(&syn(100, 0), &mut members(&[A], Stance::Open, now), now);
    assert_eq!(resets(&out), 0, "{out:?}");
    let refusal = placing.handle_refusal(flow(100), now + 191 * MS);
    assert!(matches!(refusal, Decision::Drop { .. }), "{refusal:?}");
}

/// Peers that have announced themselves may not know an agent that has not, and would not query it for its flows.
#[test]
fn an_agent_that_is_not_announced_takes_no_flow_from_one_that_is() {
    let now = Instant::now();
    for (peer, announced, delivered) in [
        (Stance::Open, false, false),
        (Stance::Open, true, true),
        (Stance::Joining, false, true),
    ] {
        let mut agent = agent_with_backend(A, now);
        if announced {
            agent.mark_announced();
        }
        let mut out = Vec::new();
        agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &members(&[B], peer, now), now, &mut out);
        assert_eq!(out.contains(&Effect::Deliver), delivered, "{out:?}");
    }
}

/// A request that crosses the FIN of the backend server gets no response. It must not count as one in progress.
#[test]
fn a_request_after_the_fin_of_the_backend_server_is_not_in_progress() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    let mut out = Vec::new();
    open_flow(&mut agent, 1, 500, now);
    let fin = Segment {
        flags: Flags::ACK.union(Flags::FIN),
        ..answer(1, 501, 100)
    };
    agent.handle_backend_packet(&fin, now + 50 * MS, &mut out);
    agent.handle_client_packet(
        &data(1, 501),
        hop(BALANCER),
        &Members::default(),
        now + 51 * MS,
        &mut out,
    );
    assert_eq!(agent.load(now + 60 * MS).busy, 0);
}

/// The backend server returns a packet of a probe that has expired. It says nothing about a handshake that has begun
/// since.
#[test]
fn a_late_answer_to_a_probe_must_not_end_a_handshake() {
    let now = Instant::now();
    let mut agent = agent_started_at(A, now, STARTED_MS + 60_000);
    let mut out = Vec::new();
    agent.handle_heartbeat(&heartbeat(1, 600, false), now, &mut out);
    agent.handle_query(&data(1, 501), hop(B), now + MS, &mut out);
    agent.tick(&Members::default(), now + 600 * MS, &mut out);
    agent.handle_client_packet(&syn(1, 2), hop(BALANCER), &Members::default(), now + 605 * MS, &mut out);
    agent.handle_backend_packet(&from_backend(1, 9_000), now + 610 * MS, &mut out);
    let returned = Segment {
        flags: Flags::ACK.union(Flags::RETURNED),
        ..data(1, 501)
    };
    agent.handle_returned_packet(&returned, &members(&[B], Stance::Open, now), now + 620 * MS, &mut out);
    assert!(agent.table.get(flow(1)).is_some());
}

/// The reports of a restart are lost on the way to one peer, which finds the restart in the list of another one.
#[test]
fn a_listed_restart_of_a_known_agent_is_waited_for() {
    let start = Instant::now();
    let now = start + 1_300 * MS;
    let mut agent = agent_with_backend(B, start);
    agent.mark_announced();
    let mut peers = members(&[A, C], Stance::Open, start);
    peers.add_listed([(A, agent_report(1, 40, Stance::Restarting))], start + 100 * MS);
    peers.record_report(C, agent_report(2, 2, Stance::Open), now);
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    agent.handle_note(C, Note::Deny(flow(1)), now, &mut out);
    agent.tick(&peers, now + 60 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// Agents report to balancers and to one another as often as placement and searches need it; balancers seldom report to
/// other data centres, because that costs bytes and serves nobody.
#[test]
fn reports_are_as_frequent_as_their_receivers_need() {
    let reports_in_two_seconds = |role, data_centre: &str, receiver_role| {
        let sender = Sender {
            role,
            data_centre: data_centre.to_owned().into(),
        };
        let mut receiver = agent_report(1, 1, Stance::Open);
        receiver.role = receiver_role;
        (1..=20).filter(|ticks| sender.is_due(&receiver, *ticks)).count()
    };
    assert_eq!(reports_in_two_seconds(Role::Agent, "west", Role::Balancer), 10);
    assert_eq!(reports_in_two_seconds(Role::Agent, "west", Role::Agent), 4);
    assert_eq!(reports_in_two_seconds(Role::Balancer, "east", Role::Agent), 4);
    assert_eq!(reports_in_two_seconds(Role::Balancer, "west", Role::Agent), 1);
    assert_eq!(reports_in_two_seconds(Role::Balancer, "west", Role::Balancer), 1);
}
