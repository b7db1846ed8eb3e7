//! Evidence for resets: whose word ends a flow, how old it may be, and which agents are not asked.

use std::{
    collections::BTreeSet,
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::{
    agent::{Agent, Effect, Hop, Identity, Note},
    balancer::{Balancer, Decision},
    evidence::Evidence,
    member::{Change, Members},
    report::Stance,
    segment::{Flags, Segment},
    table::State,
};

use crate::{
    MS, balancer,
    build::{
        A, B, BALANCER, C, NON_IDEMPOTENT_SERVICE, SERVICE, SERVICE_NAME, STARTED_MS, agent, agent_report,
        agent_started_at, agent_with_backend, answer, data, flow, from_backend, heartbeat, hop, members, open_flow,
        routes, syn,
    },
    refuses, resets,
};

/// Distance from its last acknowledgment within which the client of an open flow accepts the sequence number of a reset.
const RESET_WINDOW: u32 = 76_800;

/// Agent that is announced and whose backend server started at the same time.
fn announced(ip: Ipv4Addr, now: Instant) -> Agent {
    let mut agent = agent_with_backend(ip, now);
    agent.mark_announced();
    agent
}

fn returned(segment: Segment) -> Segment {
    Segment {
        flags: segment.flags.union(Flags::RETURNED),
        ..segment
    }
}

fn queries(effects: &[Effect], agent: Ipv4Addr) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Query { to, .. } if *to == agent))
}

fn with_flags(flags: Flags, segment: Segment) -> Segment {
    Segment { flags, ..segment }
}

fn sends_to_client(effects: &[Effect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::SendToClient { .. }))
}

/// Lets an agent handle a packet of a flow that it does not hold. Returns the effects.
fn handle_data(agent: &mut Agent, port: u16, ack: u32, peers: &Members, now: Instant) -> Vec<Effect> {
    let mut out = Vec::new();
    agent.handle_client_packet(&data(port, ack), hop(BALANCER), peers, now, &mut out);
    out
}

/// Lets a peer deny a flow at an agent. Returns the number of resets.
fn deny(agent: &mut Agent, peer: Ipv4Addr, port: u16, now: Instant) -> usize {
    let mut out = Vec::new();
    agent.handle_note(peer, Note::Deny(flow(port)), now, &mut out);
    resets(&out)
}

/// A first SYN may be read late and be refused when its copy has opened the flow. Its reset must not be one that the
/// client of an open flow accepts.
#[test]
fn the_reset_of_a_refused_syn_is_outside_the_window_of_an_open_flow() {
    let now = Instant::now();
    let mut peers = members(&[A, B], Stance::Draining, now);
    let refused = balancer().handle_client_packet(&syn(1, 0), &mut peers, now);
    let Decision::Reset { seq: by_balancer, .. } = refused else {
        panic!("{refused:?}");
    };
    let mut draining = agent_with_backend(A, now);
    let mut out = Vec::new();
    draining.handle_heartbeat(&heartbeat(1, 2, true), now, &mut out);
    draining.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, now, &mut out);
    assert!(refuses(&out, 1) && resets(&out) == 0, "{out:?}");
    let mut placing = balancer();
    placing.handle_client_packet(&syn(1, 0), &mut members(&[A, B], Stance::Open, now), now);
    let refused = placing.handle_refusal(flow(1), now + 20 * MS);
    let Decision::Reset { seq: for_agent, .. } = refused else {
        panic!("{refused:?}");
    };
    for seq in [by_balancer, for_agent] {
        let distance = seq.abs_diff(1_000_000);
        assert!(distance > RESET_WINDOW, "{seq}");
    }
    // A copy is not refused, whoever gets it.
    out.clear();
    draining.handle_client_packet(&syn(2, 1), hop(BALANCER), &peers, now, &mut out);
    let copy = balancer().handle_client_packet(&syn(2, 1), &mut peers, now);
    assert!(
        resets(&out) == 0 && !refuses(&out, 2) && matches!(copy, Decision::Drop { .. }),
        "{out:?} {copy:?}"
    );
}

/// Balancer that has got the SYN of flow 1 and forwarded it to an agent.
fn placing_balancer(now: Instant) -> Balancer {
    let mut placing = balancer();
    let decision = placing.handle_client_packet(&syn(1, 0), &mut members(&[A, C], Stance::Open, now), now);
    assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
    placing
}

/// A SYN is refused by agents that do not know its age. The balancer resets it only while no copy can have opened the flow:
/// the client sends one 200 ms after the SYN.
#[test]
fn a_refused_syn_is_reset_only_before_its_copy_is_due() {
    let now = Instant::now();
    let is_reset = |balancer: &mut Balancer, age_ms| {
        let decision = balancer.handle_refusal(flow(1), now + age_ms * MS);
        matches!(decision, Decision::Reset { .. })
    };
    for (age_ms, expected) in [(0, true), (100, true), (180, false), (1_000, false)] {
        assert_eq!(is_reset(&mut placing_balancer(now), age_ms), expected, "{age_ms} ms");
    }
    // The balancer has got the copy, or only the copy, or neither.
    let mut with_copy = placing_balancer(now);
    with_copy.handle_client_packet(&syn(1, 1), &mut members(&[A, C], Stance::Open, now), now);
    assert!(!is_reset(&mut with_copy, 1));
    let mut only_copy = balancer();
    only_copy.handle_client_packet(&syn(1, 1), &mut members(&[A, C], Stance::Open, now), now);
    assert!(!is_reset(&mut only_copy, 1));
    assert!(!is_reset(&mut balancer(), 1));
    // Several agents may refuse the flow; the client gets one reset.
    let mut placing = placing_balancer(now);
    assert!(is_reset(&mut placing, 1) && !is_reset(&mut placing, 2));
    // An owner that is learned meanwhile does not make the SYN younger.
    let mut placing = placing_balancer(now);
    placing.learn(flow(1), B, now + 170 * MS);
    assert!(!is_reset(&mut placing, 180));
}

/// A balancer knows only which agent it has tried, so it resets no flow that may be open, whatever it knows of the agents.
#[test]
fn a_balancer_resets_no_open_flow() {
    let start = Instant::now();
    for stance in [
        Stance::Joining,
        Stance::Open,
        Stance::Draining,
        Stance::Restarting,
        Stance::Leaving,
    ] {
        for age_ms in [0, 800, 1_300, 9_000] {
            for cached in [true, false] {
                let mut peers = members(&[A, B], stance, start);
                let mut balancer = balancer();
                if cached {
                    balancer.learn(flow(1), A, start);
                }
                let decision = balancer.handle_client_packet(&data(1, 501), &mut peers, start + age_ms * MS);
                assert!(!matches!(decision, Decision::Reset { .. }), "{stance:?} {decision:?}");
            }
        }
    }
}

/// A backend server may return a copy of the SYN of a flow that it has answered. The flow stays.
#[test]
fn a_returned_copy_of_a_syn_must_not_end_the_flow() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let peers = members(&[B], Stance::Open, now);
    open_flow(&mut agent, 1, 500, now);
    let mut out = Vec::new();
    agent.handle_client_packet(&syn(1, 1), hop(BALANCER), &peers, now + 210 * MS, &mut out);
    agent.handle_returned_packet(&returned(syn(1, 1)), &peers, now + 211 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
    assert_eq!(
        handle_data(&mut agent, 1, 501, &peers, now + 220 * MS),
        [Effect::Deliver]
    );
}

/// A restart that an agent has announced itself is waited for, however silent it is, for 8 s. A search for a flow of
/// repeatable requests ends after that.
#[test]
fn an_announced_restart_is_waited_for() {
    let start = Instant::now();
    let cases = [(7_900, 0), (8_100, 1)].into_iter();
    for ((age_ms, expected), stance) in cases.flat_map(|case| [(case, Stance::Restarting), (case, Stance::Unknown)]) {
        let now = start + age_ms * MS;
        let mut peers = members(&[A, B], Stance::Open, start);
        peers.record_report(A, agent_report(1, 2, stance), start);
        peers.record_report(B, agent_report(2, 2, Stance::Open), now);
        let mut searching = announced(C, start);
        handle_data(&mut searching, 1, 501, &peers, now);
        assert_eq!(deny(&mut searching, B, 1, now), 0);
        let mut out = Vec::new();
        searching.tick(&peers, now + 60 * MS, &mut out);
        assert_eq!(resets(&out), expected, "{age_ms} {stance:?}");
    }
}

/// A stance that a newer build has added says nothing about new flows: the agent may have taken a copy of the SYN.
#[test]
fn an_agent_of_unknown_stance_is_not_known_to_refuse() {
    let now = Instant::now();
    let mut peers = members(&[A, B], Stance::Draining, now);
    peers.record_report(A, agent_report(1, 2, Stance::Unknown), now);
    let placed = placing_balancer(now).handle_client_packet(&syn(2, 0), &mut peers, now);
    assert!(!matches!(placed, Decision::Reset { .. }), "{placed:?}");
    let change = peers.record_report(A, agent_report(7, 1, Stance::Joining), now);
    assert_eq!(change, Change::New { was_draining: true });
}

/// An agent that is listed is asked for as long as it is, even if it is silent. One that is not is forgotten after 10 s.
#[test]
fn a_listed_agent_is_not_forgotten() {
    let start = Instant::now();
    let now = start + 11_000 * MS;
    for listed in [true, false] {
        let mut peers = members(&[A, B], Stance::Open, start);
        if listed {
            peers.add_listed([(A, agent_report(1, 1, Stance::Open))], start + 9_000 * MS);
        }
        peers.record_report(B, agent_report(2, 2, Stance::Open), now);
        peers.expire(now);
        let mut searching = announced(C, start);
        let out = handle_data(&mut searching, 1, 501, &peers, now);
        assert_eq!(queries(&out, A), listed, "{out:?}");
    }
}

/// A denial may arrive after its search has expired and count in the next one. That ends only if all others have denied
/// the flow as well.
#[test]
fn a_late_denial_does_not_stand_for_another_agent() {
    let now = Instant::now();
    let peers = members(&[A, B], Stance::Open, now);
    let mut searching = announced(C, now);
    handle_data(&mut searching, 1, 501, &peers, now);
    searching.tick(&peers, now + 190 * MS, &mut Vec::new());
    let out = handle_data(&mut searching, 1, 501, &peers, now + 200 * MS);
    assert!(queries(&out, A) && queries(&out, B), "{out:?}");
    assert_eq!(deny(&mut searching, B, 1, now + 201 * MS), 0);
    assert_eq!(deny(&mut searching, B, 1, now + 205 * MS), 0);
    assert_eq!(deny(&mut searching, A, 1, now + 206 * MS), 1);
}

/// A denial stays true: a flow whose client has sent more than SYNs cannot be opened by the agent any more, not even by a
/// late copy of its SYN.
#[test]
fn a_late_copy_of_a_syn_must_not_take_an_open_flow() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let peers = members(&[B], Stance::Open, now);
    let mut out = Vec::new();
    agent.handle_query(&data(1, 501), hop(B), now, &mut out);
    agent.handle_client_packet(&syn(1, 2), hop(BALANCER), &peers, now + 10 * MS, &mut out);
    agent.handle_backend_packet(&from_backend(1, 9_000), now + 11 * MS, &mut out);
    out.clear();
    agent.handle_query(&data(1, 501), hop(B), now + 20 * MS, &mut out);
    let denial = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(1)),
    };
    assert_eq!(out, [denial]);
}

/// A cached result that no agent holds a flow must not outlive a newer word: a claim or pointer of its owner, or its SYN.
#[test]
fn a_newer_word_ends_a_cached_denial() {
    let start = Instant::now();
    let denied_at = |searching: &mut Agent, peers: &Members| {
        handle_data(searching, 1, 501, peers, start);
        assert_eq!(
            deny(searching, A, 1, start) + deny(searching, B, 1, start),
            1,
            "the search must end"
        );
    };
    let peers = members(&[A, B], Stance::Open, start);
    for note in [Note::Claim(flow(1)), Note::Point(vec![flow(1)])] {
        let mut searching = announced(C, start);
        denied_at(&mut searching, &peers);
        searching.handle_note(A, note, start + 10 * MS, &mut Vec::new());
        let out = handle_data(&mut searching, 1, 501, &peers, start + 20 * MS);
        assert!(matches!(out[..], [Effect::Forward { to: A, .. }]), "{out:?}");
    }
    let mut searching = announced(C, start);
    denied_at(&mut searching, &peers);
    let mut out = Vec::new();
    searching.handle_client_packet(&syn(1, 1), hop(BALANCER), &peers, start + 10 * MS, &mut out);
    open_flow(&mut searching, 1, 9_000, start + 11 * MS);
    let out = handle_data(&mut searching, 1, 9_001, &peers, start + 20 * MS);
    assert_eq!(out, [Effect::Deliver]);
}

/// The pointers of three agents form a circle. The packet ends in a search, which finds the owner.
#[test]
fn pointers_in_a_circle_end_in_a_search() {
    let now = Instant::now();
    let owner = Ipv4Addr::new(10, 1, 0, 4);
    let circle = [A, B, C];
    let mut agents = circle.map(|ip| announced(ip, now));
    for (index, agent) in agents.iter_mut().enumerate() {
        let next = circle[(index + 1) % circle.len()];
        agent.handle_note(next, Note::Point(vec![flow(1)]), now, &mut Vec::new());
    }
    let mut at = hop(BALANCER);
    let mut index = 0;
    for _ in 0..10 {
        let others: Vec<_> = circle
            .into_iter()
            .chain([owner])
            .filter(|ip| *ip != circle[index])
            .collect();
        let mut out = Vec::new();
        let peers = members(&others, Stance::Open, now);
        agents[index].handle_client_packet(&data(1, 501), at, &peers, now, &mut out);
        let [Effect::Forward { to, hops, .. }] = out[..] else {
            assert!(queries(&out, owner) && resets(&out) == 0, "{out:?}");
            return;
        };
        at = Hop {
            sender: circle[index],
            hops,
            ..at
        };
        index = circle.iter().position(|ip| *ip == to).unwrap();
    }
    panic!("the packet is forwarded forever");
}

/// A pointer names an agent that does not hold the flow. That agent searches for the owner; it does not reset the flow.
#[test]
fn a_wrong_pointer_must_not_reset_the_flow() {
    let now = Instant::now();
    let mut home = announced(C, now);
    home.handle_note(A, Note::Point(vec![flow(1)]), now, &mut Vec::new());
    let out = handle_data(&mut home, 1, 501, &members(&[A, B], Stance::Open, now), now);
    assert!(matches!(out[..], [Effect::Forward { to: A, hops: 1, .. }]), "{out:?}");
    let mut named = announced(A, now);
    named.handle_note(C, Note::Point(vec![flow(1)]), now, &mut Vec::new());
    let mut out = Vec::new();
    let forwarded = Hop { hops: 1, ..hop(C) };
    let peers = members(&[B, C], Stance::Open, now);
    named.handle_client_packet(&data(1, 501), forwarded, &peers, now, &mut out);
    assert!(queries(&out, B) && queries(&out, C) && resets(&out) == 0, "{out:?}");
    // Its denial removes the pointer.
    home.handle_note(A, Note::Deny(flow(1)), now, &mut Vec::new());
    let out = handle_data(&mut home, 1, 501, &members(&[A, B], Stance::Open, now), now);
    assert!(queries(&out, B), "{out:?}");
}

/// A backend server restarts under its former identifier. The flows of its new lifetime that were opened before the first
/// heartbeat of that are kept.
#[test]
fn a_restart_under_the_same_identifier_keeps_the_new_flows() {
    let now = Instant::now();
    let mut agent = agent_started_at(A, now, STARTED_MS + 60_000);
    let mut out = Vec::new();
    agent.handle_heartbeat(&heartbeat(1, 90, false), now, &mut out);
    agent.handle_query(&data(2, 501), hop(B), now + MS, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &Members::default(), now + 900 * MS, &mut out);
    open_flow(&mut agent, 1, 500, now + 901 * MS);
    let mut restarted = heartbeat(1, 1, false);
    restarted.started_ms = Some(STARTED_MS + 60_800);
    out.clear();
    agent.handle_heartbeat(&restarted, now + 1_000 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
    agent.handle_query(&data(1, 501), hop(B), now + 1_010 * MS, &mut out);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
    out.clear();
    agent.handle_query(&data(2, 501), hop(B), now + 1_020 * MS, &mut out);
    let denial = Effect::SendNote {
        to: B,
        note: Note::Deny(flow(2)),
    };
    assert_eq!(out, [denial]);
}

/// A flow that the pointers of peers have restored may belong to another agent. Its returned packet starts a search.
#[test]
fn a_returned_packet_of_a_restored_flow_starts_a_search() {
    let now = Instant::now();
    let mut restarted = agent(A, now);
    restarted.mark_announced();
    let peers = members(&[B], Stance::Open, now);
    restarted.handle_note(B, Note::Restore(vec![flow(1)]), now, &mut Vec::new());
    assert_eq!(handle_data(&mut restarted, 1, 501, &peers, now), [Effect::Deliver]);
    let mut out = Vec::new();
    restarted.handle_returned_packet(&returned(data(1, 501)), &peers, now + MS, &mut out);
    assert!(queries(&out, B) && resets(&out) == 0, "{out:?}");
}

/// A flow may be idle for as long as clients are promised, 60 s, and for some time longer.
#[test]
fn an_idle_flow_is_kept() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let peers = members(&[B], Stance::Open, now);
    open_flow(&mut agent, 1, 500, now);
    agent.tick(&peers, now + 70_000 * MS, &mut Vec::new());
    let out = handle_data(&mut agent, 1, 501, &peers, now + 70_000 * MS);
    assert_eq!(out, [Effect::Deliver]);
}

/// A flow that does not fit into the table would be denied while the backend server holds it, so its SYN is not delivered.
#[test]
fn a_full_table_takes_no_flow() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let mut out = Vec::new();
    for port in 0..16_384 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
    }
    out.clear();
    agent.handle_client_packet(
        &syn(20_000, 0),
        hop(BALANCER),
        &Members::default(),
        now + 100 * MS,
        &mut out,
    );
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
    assert!(agent.table.get(flow(20_000)).is_none());
}

/// An agent may never see the version that removed a route, only the one that has added it again. Its flows stay.
#[test]
fn a_route_that_was_removed_and_added_again_keeps_its_flows() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    open_flow(&mut agent, 1, 500, now);
    let mut out = Vec::new();
    agent.set_routes(routes(9), &mut out);
    assert_eq!(resets(&out), 0);
    assert_eq!(agent.table.get(flow(1)).unwrap().state, State::Open);
}

/// Searches for many flows run at once. The packet of one that finds no room is dropped, and its client is not reset.
#[test]
fn a_search_that_finds_no_room_resets_nothing() {
    let now = Instant::now();
    let mut searching = announced(C, now);
    let peers = members(&[A, B], Stance::Open, now);
    for port in 0..1_024 {
        handle_data(&mut searching, port, 501, &peers, now);
    }
    assert_eq!(handle_data(&mut searching, 2_000, 501, &peers, now), []);
    assert_eq!(
        deny(&mut searching, A, 2_000, now) + deny(&mut searching, B, 2_000, now),
        0
    );
    let evidence = |effect: &Effect| {
        matches!(
            effect,
            Effect::Reset {
                evidence: Evidence::DeniedRecently,
                ..
            }
        )
    };
    let out = handle_data(&mut searching, 2_000, 501, &peers, now + MS);
    assert!(!out.iter().any(evidence), "{out:?}");
}

/// An agent whose backend server has ended denies all flows. That is true only because the next lifetime gets no flow
/// before it is heard.
#[test]
fn an_agent_that_denies_all_flows_takes_none() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let mut out = Vec::new();
    assert!(agent.handle_connection_refused(now, &mut out));
    agent.backend.handle_connection_accepted(now + 100 * MS);
    let peers = members(&[B], Stance::Open, now);
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, now + 200 * MS, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
    agent.handle_heartbeat(&heartbeat(2, 1, false), now + 300 * MS, &mut out);
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, now + 400 * MS, &mut out);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
}

/// A restarted agent beside an older backend server asks it for as long as a flow may live, and denies flows without it
/// only then.
#[test]
fn a_restarted_agent_probes_for_as_long_as_a_flow_may_live() {
    let start = Instant::now();
    let mut restarted = agent_started_at(A, start, STARTED_MS + 60_000);
    restarted.handle_heartbeat(&heartbeat(1, 60, false), start, &mut Vec::new());
    for (age_ms, probes) in [(60_000, true), (76_000, false)] {
        let now = start + age_ms * MS;
        let mut out = Vec::new();
        restarted.tick(&Members::default(), now, &mut out);
        restarted.handle_query(&data(1, 501), hop(B), now, &mut out);
        assert_eq!(out.contains(&Effect::Deliver), probes, "{age_ms}: {out:?}");
    }
}

/// An agent reported that it has no backend server. That starts, and opens a flow before its agent's next report arrives.
#[test]
fn a_backend_server_that_started_since_the_last_report_is_queried() {
    let start = Instant::now();
    for paused in [Duration::ZERO, 5_000 * MS] {
        let mut owner = agent(A, start);
        owner.mark_announced();
        let mut out = Vec::new();
        owner.handle_connection_refused(start, &mut out);
        assert!(owner.backend.is_absent());
        let mut report = agent_report(9, 9, owner.stance(start));
        report.vacant = true;
        let mut peers = members(&[B], Stance::Open, start);
        peers.record_report(A, report, start);
        let up_at = start + paused + 10 * MS;
        let now = up_at + 90 * MS;
        if !paused.is_zero() {
            // The pause of the searching process makes the report count as a recent one.
            peers.extend_deadlines(now);
            peers.record_report(B, agent_report(1, 9, Stance::Open), now);
        }
        owner.backend.handle_connection_accepted(up_at);
        owner.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, up_at + 10 * MS, &mut out);
        open_flow(&mut owner, 1, 500, up_at + 20 * MS);
        let mut searching = announced(C, start);
        handle_data(&mut searching, 1, 501, &peers, now);
        assert_eq!(deny(&mut searching, B, 1, now), 0, "pause {paused:?}");
    }
}

/// A backend server that has announced its exit still holds its flows. Its stopping agent must not be taken for one
/// without flows.
#[test]
fn a_leaving_agent_with_open_flows_is_queried() {
    let now = Instant::now();
    let mut owner = announced(A, now);
    open_flow(&mut owner, 1, 500, now);
    owner.handle_heartbeat(&heartbeat(1, 2, true), now, &mut Vec::new());
    owner.backend.handle_exit_notice(&heartbeat(1, 2, true).id, now);
    owner.stop();
    assert_eq!(owner.table.open_flows(), 1);
    let mut peers = members(&[A, B], Stance::Open, now);
    peers.record_report(A, agent_report(1, 2, owner.stance(now)), now);
    let mut searching = announced(C, now);
    handle_data(&mut searching, 1, 501, &peers, now + MS);
    assert_eq!(deny(&mut searching, B, 1, now + MS), 0);
}

/// An agent that is added while a process is paused is unknown to it until the next report.
#[test]
fn an_agent_added_during_a_pause_must_not_lose_its_flows() {
    let start = Instant::now();
    let now = start + 3_000 * MS;
    let mut resumed = announced(C, start);
    let mut peers = members(&[B], Stance::Open, start);
    // The packet waited in the socket and is handled before the pause is detected.
    handle_data(&mut resumed, 2, 501, &peers, now);
    peers.extend_deadlines(now);
    resumed.handle_pause(now);
    assert_eq!(deny(&mut resumed, B, 2, now + 2 * MS), 0);
    handle_data(&mut resumed, 1, 501, &peers, now + MS);
    assert_eq!(deny(&mut resumed, B, 1, now + 2 * MS), 0);
    // All agents have reported by then, or are silent.
    let later = now + 700 * MS;
    peers.record_report(A, agent_report(9, 1, Stance::Open), later);
    handle_data(&mut resumed, 1, 501, &peers, later);
    assert_eq!(deny(&mut resumed, B, 1, later), 0);
    assert_eq!(deny(&mut resumed, A, 1, later), 1);
}

/// An agent that is listed and has never reported is queried. Its silence counts like that of one that has reported: after
/// 1.2 s, for repeatable requests only.
#[test]
fn an_agent_that_is_only_listed_is_waited_for() {
    let start = Instant::now();
    for (age_ms, service, expected) in [
        (1_100, SERVICE, 0),
        (1_300, SERVICE, 1),
        (1_300, NON_IDEMPOTENT_SERVICE, 0),
    ] {
        let now = start + age_ms * MS;
        let mut peers = members(&[B], Stance::Open, start);
        peers.add_listed([(A, agent_report(9, 1, Stance::Joining))], start);
        peers.record_report(B, agent_report(1, 2, Stance::Open), now);
        let mut searching = announced(C, start);
        let packet = Segment {
            target: service,
            ..data(1, 501)
        };
        let mut out = Vec::new();
        searching.handle_client_packet(&packet, hop(BALANCER), &peers, now, &mut out);
        assert!(queries(&out, A), "{out:?}");
        searching.handle_note(B, Note::Deny(packet.flow_from_client()), now, &mut out);
        assert_eq!(resets(&out), 0, "{out:?}");
        searching.tick(&peers, now + 60 * MS, &mut out);
        assert_eq!(resets(&out), expected, "{age_ms} {service}: {out:?}");
    }
}

/// A pointer may be dropped before its flow ends: its owner is removed from the membership. The next packet starts a search.
#[test]
fn a_dropped_pointer_starts_a_search() {
    let now = Instant::now();
    let peers = members(&[A, B], Stance::Open, now);
    let mut home = announced(C, now);
    home.handle_note(A, Note::Point(vec![flow(1)]), now, &mut Vec::new());
    home.remove_nodes(&BTreeSet::from([A]));
    let out = handle_data(&mut home, 1, 501, &peers, now);
    assert!(queries(&out, A) && queries(&out, B) && resets(&out) == 0, "{out:?}");
}

/// A process left, and the list shows the next one at its address. Its own reports are lost.
#[test]
fn a_listed_process_at_the_address_of_one_that_left_is_queried() {
    let now = Instant::now();
    let mut peers = members(&[A, B], Stance::Open, now);
    peers.record_report(A, agent_report(1, 2, Stance::Leaving), now);
    peers.add_listed([(A, agent_report(77, 1, Stance::Joining))], now + 500 * MS);
    let mut searching = announced(C, now);
    let out = handle_data(&mut searching, 1, 501, &peers, now + 600 * MS);
    assert!(queries(&out, A), "{out:?}");
    assert_eq!(deny(&mut searching, B, 1, now + 600 * MS), 0);
}

/// A search has expired while the process was paused for a short time. The answer of the owner waits in its socket, so
/// the silence of the owner must not end the search.
#[test]
fn an_expired_search_must_not_end_by_silence() {
    let start = Instant::now();
    let asked_at = start + 1_000 * MS;
    let mut peers = members(&[A, B], Stance::Open, start);
    peers.record_report(B, agent_report(2, 2, Stance::Open), asked_at);
    let mut searching = announced(C, start);
    handle_data(&mut searching, 1, 501, &peers, asked_at);
    assert_eq!(deny(&mut searching, B, 1, asked_at + 5 * MS), 0);
    let mut out = Vec::new();
    searching.tick(&peers, asked_at + 300 * MS, &mut out);
    searching.handle_note(A, Note::Claim(flow(1)), asked_at + 301 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// The owner of a flow has sent a pointer after a search had found none, and is silent now. The older result must not
/// reset the flow.
#[test]
fn a_pointer_ends_a_cached_denial_even_if_its_owner_is_silent() {
    let start = Instant::now();
    let now = start + 1_500 * MS;
    let mut searching = announced(C, start);
    let mut peers = members(&[A, B], Stance::Open, start);
    handle_data(&mut searching, 1, 501, &peers, start);
    assert_eq!(deny(&mut searching, A, 1, start) + deny(&mut searching, B, 1, start), 1);
    searching.handle_note(A, Note::Point(vec![flow(1)]), start + 100 * MS, &mut Vec::new());
    peers.record_report(B, agent_report(2, 2, Stance::Open), now);
    let out = handle_data(&mut searching, 1, 501, &peers, now);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// A backend server that has just started resets packets of flows that it never held. A pointer that named its agent is
/// no proof that it held the flow.
#[test]
fn a_reset_of_a_restored_flow_is_not_sent_to_the_client() {
    let now = Instant::now();
    let mut restarted = agent(A, now);
    let peers = members(&[B], Stance::Open, now);
    let mut out = Vec::new();
    restarted.handle_note(B, Note::Restore(vec![flow(1)]), now, &mut out);
    restarted.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now, &mut out);
    let reset = with_flags(Flags::RST, from_backend(1, 0));
    restarted.handle_backend_packet(&reset, now + MS, &mut out);
    assert!(!sends_to_client(&out), "{out:?}");
}

/// A restarted agent probes a flow whose handshake its backend server has lost. The repeated SYN+ACK is no answer to the
/// probe: peers would store a pointer to the wrong agent.
#[test]
fn a_repeated_handshake_is_no_answer_to_a_probe() {
    let now = Instant::now();
    let mut restarted = agent_started_at(A, now, STARTED_MS + 60_000);
    let mut out = Vec::new();
    restarted.handle_query(&data(1, 501), hop(B), now, &mut out);
    assert_eq!(out, [Effect::Deliver]);
    restarted.handle_backend_packet(&from_backend(1, 9_000), now + MS, &mut out);
    let claim = Effect::SendNote {
        to: B,
        note: Note::Claim(flow(1)),
    };
    assert!(!out.contains(&claim), "{out:?}");
}

/// A VM failed, and a new one at its address serves another service. The list shows it; its own reports are lost.
#[test]
fn a_listed_agent_at_the_address_of_another_service_is_queried() {
    let start = Instant::now();
    let now = start + 3_000 * MS;
    let mut other = agent_report(1, 1, Stance::Open);
    other.service = "other".into();
    let mut peers = members(&[B], Stance::Open, start);
    peers.record_report(A, other, start);
    peers.add_listed([(A, agent_report(77, 1, Stance::Open))], now);
    peers.record_report(B, agent_report(1, 9, Stance::Open), now);
    let mut searching = announced(C, start);
    let out = handle_data(&mut searching, 1, 501, &peers, now);
    assert!(queries(&out, A), "{out:?}");
    assert_eq!(deny(&mut searching, B, 1, now), 0);
}

/// A flow was opened under a version that has added its route again. The agent applies the version before, which had
/// removed the route, only now.
#[test]
fn an_older_removal_of_a_route_must_not_reset_a_newer_flow() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let mut out = Vec::new();
    let newer = Hop {
        version: 6,
        ..hop(BALANCER)
    };
    agent.handle_client_packet(&syn(1, 0), newer, &Members::default(), now, &mut out);
    open_flow(&mut agent, 1, 500, now + MS);
    let mut without = (*routes(5)).clone();
    without.routes.remove(&SERVICE);
    out.clear();
    agent.set_routes(Rc::new(without), &mut out);
    agent.set_routes(routes(6), &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// All agents start at the same time. One that is announced has not heard of another one yet, which has taken a flow
/// because nobody was open. The first agent cannot know that all others deny the flow.
#[test]
fn an_agent_that_starts_with_all_others_must_not_speak_for_them() {
    let start = Instant::now();
    let now = start + 200 * MS;
    let mut unannounced = agent_with_backend(A, start);
    let joining = members(&[B], Stance::Joining, start);
    let mut out = Vec::new();
    unannounced.handle_client_packet(&syn(1, 0), hop(BALANCER), &joining, now, &mut out);
    if out.contains(&Effect::Deliver) {
        open_flow(&mut unannounced, 1, 500, now + 2 * MS);
        let mut searching = announced(C, start);
        handle_data(&mut searching, 1, 501, &joining, now + 5 * MS);
        assert_eq!(deny(&mut searching, B, 1, now + 6 * MS), 0);
    }
}

/// A new VM has the address of an agent of another service, which a balancer has cached. Without routes, its agent cannot
/// know whom to query for the flow.
#[test]
fn an_agent_without_routes_must_not_speak_for_all() {
    let now = Instant::now();
    let identity = Identity {
        ip: C,
        data_centre: "east".into(),
        service: "other".into(),
        started_ms: STARTED_MS,
    };
    let mut started = Agent::new(identity, 770 * MS, now);
    started.handle_heartbeat(&heartbeat(1, 1, false), now, &mut Vec::new());
    started.mark_announced();
    let mut peers = members(&[A], Stance::Open, now);
    let mut other = agent_report(2, 1, Stance::Open);
    other.service = "other".into();
    peers.record_report(B, other, now);
    let out = handle_data(&mut started, 1, 501, &peers, now);
    assert!(queries(&out, A) || deny(&mut started, B, 1, now) == 0, "{out:?}");
}

/// An agent that is added while another one is cut off from all nodes is unknown to it until the next report.
#[test]
fn an_agent_added_during_a_partition_must_not_lose_its_flows() {
    let start = Instant::now();
    let now = start + 3_000 * MS;
    let mut isolated = announced(C, start);
    let mut peers = members(&[B], Stance::Open, start);
    isolated.tick(&peers, now, &mut Vec::new());
    peers.record_report(B, agent_report(1, 2, Stance::Open), now + MS);
    handle_data(&mut isolated, 1, 501, &peers, now + 2 * MS);
    assert_eq!(deny(&mut isolated, B, 1, now + 3 * MS), 0);
}

/// Missing reports show that an agent is silent, and not that it refuses new flows: all of them are missing after a pause
/// of the process. The first SYN has waited in its socket, and a copy may have opened the flow.
#[test]
fn a_syn_is_not_reset_because_all_agents_are_silent() {
    let start = Instant::now();
    let now = start + 800 * MS;
    let mut peers = members(&[A, B], Stance::Open, start);
    let decision = balancer().handle_client_packet(&syn(1, 0), &mut peers, now);
    assert!(!matches!(decision, Decision::Reset { .. }), "{decision:?}");
    let mut draining = announced(C, start);
    draining.handle_heartbeat(&heartbeat(1, 2, true), start, &mut Vec::new());
    let mut out = Vec::new();
    draining.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, now, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
}

/// An announced agent has found a peer in the store, which has not answered its greeting yet. That peer may not know it,
/// and would not query it.
#[test]
fn an_agent_takes_no_flow_while_a_peer_has_not_answered_its_greeting() {
    let start = Instant::now();
    let now = start + 700 * MS;
    let mut joining = announced(A, start);
    let mut known = members(&[B], Stance::Open, now);
    known.add_listed([(C, agent_report(3, 1, Stance::Open))], now);
    let mut out = Vec::new();
    joining.handle_client_packet(&syn(1, 0), hop(BALANCER), &known, now, &mut out);
    if out.contains(&Effect::Deliver) {
        open_flow(&mut joining, 1, 500, now + MS);
        let mut unaware = announced(C, start);
        handle_data(&mut unaware, 1, 501, &members(&[B], Stance::Open, now), now + 5 * MS);
        assert_eq!(deny(&mut unaware, B, 1, now + 6 * MS), 0);
    }
}

/// A client may reset the handshake that another backend server has lost, and its packet reaches the owner. The owner's
/// backend server ignores it and serves the flow on.
#[test]
fn a_reset_that_the_backend_server_ignores_must_not_end_the_flow() {
    let now = Instant::now();
    let mut agent = announced(A, now);
    let peers = members(&[B], Stance::Open, now);
    open_flow(&mut agent, 1, 500, now);
    let mut out = Vec::new();
    let reset = with_flags(
        Flags::RST,
        Segment {
            data_len: 0,
            ..data(1, 9_001)
        },
    );
    agent.handle_client_packet(&reset, hop(BALANCER), &peers, now + 10 * MS, &mut out);
    agent.handle_client_packet(&data(1, 501), hop(BALANCER), &peers, now + 20 * MS, &mut out);
    agent.handle_backend_packet(&answer(1, 501, 1_000), now + 70 * MS, &mut out);
    agent.tick(&peers, now + 3_200 * MS, &mut out);
    let out = handle_data(&mut agent, 1, 1_501, &peers, now + 3_300 * MS);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
}

/// A restarted agent reads the routes of a peer that has not got the flow's route yet. The balancers use newer routes.
#[test]
fn routes_of_a_peer_that_lags_must_not_end_a_flow_of_newer_ones() {
    let now = Instant::now();
    for version in [1, 6] {
        let identity = Identity {
            ip: A,
            data_centre: "east".into(),
            service: SERVICE_NAME.into(),
            started_ms: STARTED_MS + 60_000,
        };
        let mut restarted = Agent::new(identity, 770 * MS, now);
        let mut out = Vec::new();
        restarted.handle_query(&data(1, 501), Hop { version, ..hop(B) }, now, &mut out);
        restarted.handle_backend_packet(&answer(1, 501, 1_000), now + 50 * MS, &mut out);
        assert!(restarted.table.get(flow(1)).is_some());
        out.clear();
        for version in 4..6 {
            let mut before = (*routes(version)).clone();
            before.routes.remove(&SERVICE);
            restarted.set_routes(Rc::new(before), &mut out);
        }
        assert_eq!(resets(&out), 0, "{out:?}");
    }
}

/// A first SYN waits in the socket of a process that stands still. A copy has opened the flow meanwhile.
#[test]
fn a_syn_that_is_read_late_must_not_reset_its_flow() {
    let now = Instant::now();
    let mut peers = members(&[A, B], Stance::Open, now);
    let mut stalled = balancer();
    stalled.handle_stall(now);
    for (copy, age_ms, dropped) in [(0, 0, true), (1, 0, false), (0, 100, false)] {
        let decision = stalled.handle_client_packet(&syn(1, copy), &mut peers, now + age_ms * MS);
        assert_eq!(matches!(decision, Decision::Drop { .. }), dropped, "{decision:?}");
    }
    let refusing = members(&[A, B], Stance::Draining, now);
    let mut draining = announced(C, now);
    draining.handle_heartbeat(&heartbeat(1, 2, true), now, &mut Vec::new());
    // The SYN waits in the socket of the agent.
    for (age_ms, expected) in [(20, true), (250, false)] {
        let mut placing = placing_balancer(now);
        let mut out = Vec::new();
        let later = now + age_ms * MS;
        draining.handle_client_packet(&syn(1, 0), hop(BALANCER), &refusing, later, &mut out);
        assert!(refuses(&out, 1) && resets(&out) == 0, "{out:?}");
        let refusal = placing.handle_refusal(flow(1), later + MS);
        assert_eq!(matches!(refusal, Decision::Reset { .. }), expected, "{refusal:?}");
    }
}

/// The list of nodes still shows an agent that has left. One that all peers have known for long must not forward its new
/// flows for that, and neither must all of them at once.
#[test]
fn a_listed_agent_that_is_gone_must_not_divert_flows() {
    let start = Instant::now();
    let now = start + 30_000 * MS;
    let mut agent = announced(A, start);
    agent.handle_heartbeat(&heartbeat(1, 30, false), now, &mut Vec::new());
    let mut peers = members(&[B], Stance::Open, now);
    peers.add_listed([(C, agent_report(9, 1, Stance::Open))], now);
    let mut out = Vec::new();
    agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &peers, now + 100 * MS, &mut out);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
}

/// A heartbeat of a former lifetime arrives after its successor has started, and its agent has restarted meanwhile. The next
/// heartbeat is the first one that the agent hears of the current lifetime, which is older than the agent.
#[test]
fn a_delayed_heartbeat_of_a_former_lifetime_must_not_complete_the_table() {
    let start = Instant::now();
    let now = start + 5_000 * MS;
    let mut restarted = agent_started_at(A, start, STARTED_MS + 60_000);
    let mut out = Vec::new();
    restarted.handle_heartbeat(&heartbeat(1, 30, false), start + 100 * MS, &mut out);
    restarted.handle_heartbeat(&heartbeat(2, 40, false), start + 600 * MS, &mut out);
    out.clear();
    restarted.handle_query(&data(1, 501), hop(B), now, &mut out);
    let denies = out.iter().any(|effect| {
        matches!(
            effect,
            Effect::SendNote {
                note: Note::Deny(_),
                ..
            }
        )
    });
    assert!(!denies, "{out:?}");
}

/// The routes of the searching agent are older than those of the balancer, so it does not know all services of the flow.
#[test]
fn an_agent_whose_routes_lag_must_not_speak_for_all() {
    let start = Instant::now();
    let now = start + 10_000 * MS;
    let mut lagging = announced(B, start);
    let mut peers = members(&[A], Stance::Open, now);
    let mut other = agent_report(2, 1, Stance::Open);
    other.service = "other".into();
    peers.record_report(C, other, now);
    let mut out = Vec::new();
    let newer = Hop {
        version: 3,
        ..hop(BALANCER)
    };
    lagging.handle_client_packet(&data(1, 501), newer, &peers, now, &mut out);
    assert!(queries(&out, C) || deny(&mut lagging, A, 1, now) == 0, "{out:?}");
}

/// An agent that has stood still forwards a first SYN that has waited in its socket, and the next agent refuses it.
#[test]
fn a_late_syn_that_is_forwarded_must_not_reset_its_flow() {
    let now = Instant::now();
    let mut stalled = announced(C, now);
    let mut placing = placing_balancer(now);
    let late = now + 250 * MS;
    stalled.handle_heartbeat(&heartbeat(1, 2, true), late, &mut Vec::new());
    let mut out = Vec::new();
    let open = members(&[A], Stance::Open, late);
    stalled.handle_client_packet(&syn(1, 0), hop(BALANCER), &open, late, &mut out);
    let forwarded = out.iter().find_map(|effect| match effect {
        Effect::Forward { to: A, hops, .. } => Some(*hops),
        _ => None,
    });
    let hops = forwarded.unwrap();
    // The stance of the next agent has just changed.
    let mut draining = announced(A, now);
    draining.handle_heartbeat(&heartbeat(1, 2, true), late, &mut Vec::new());
    out.clear();
    let forwarded = Hop { hops, ..hop(C) };
    let refusing = members(&[B, C], Stance::Draining, late);
    draining.handle_client_packet(&syn(1, 0), forwarded, &refusing, late + 5 * MS, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
    let refusal = placing.handle_refusal(flow(1), late + 6 * MS);
    assert!(matches!(refusal, Decision::Drop { .. }), "{refusal:?}");
}

/// A backend server returns a late first SYN when the agent has read all packets that have waited.
#[test]
fn a_late_syn_that_is_returned_must_not_reset_its_flow() {
    let now = Instant::now();
    let mut stalled = announced(C, now);
    let mut placing = placing_balancer(now);
    let late = now + 250 * MS;
    let refusing = members(&[A, B], Stance::Draining, late);
    let mut out = Vec::new();
    stalled.handle_client_packet(&syn(1, 0), hop(BALANCER), &refusing, late, &mut out);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
    out.clear();
    stalled.handle_returned_packet(&returned(syn(1, 0)), &refusing, late + 11 * MS, &mut out);
    assert!(refuses(&out, 1) && resets(&out) == 0, "{out:?}");
    let refusal = placing.handle_refusal(flow(1), late + 12 * MS);
    assert!(matches!(refusal, Decision::Drop { .. }), "{refusal:?}");
}

/// An agent announces its restart while its backend server is draining. Its next process must learn that.
#[test]
fn an_announced_restart_keeps_the_draining_of_the_backend_server() {
    let now = Instant::now();
    let mut peers = members(&[A], Stance::Draining, now);
    peers.record_report(A, agent_report(1, 2, Stance::Restarting), now);
    let change = peers.record_report(A, agent_report(7, 1, Stance::Joining), now);
    assert_eq!(change, Change::New { was_draining: true });
}

/// While an agent restarts, a search for one of its flows cannot end. If it probes the other backend servers all the same,
/// three or more of the flow's packets reach them and none its own for 2 s (cluster, seed 78).
#[test]
fn a_search_during_a_restart_must_not_probe_other_backend_servers() {
    let now = Instant::now();
    let mut agent = agent_started_at(A, now, STARTED_MS + 60_000);
    agent.mark_announced();
    agent.handle_heartbeat(&heartbeat(1, 70, false), now, &mut Vec::new());
    let mut members = members(&[B, C], Stance::Open, now);
    members.record_report(B, agent_report(1, 2, Stance::Restarting), now);
    let mut out = Vec::new();
    agent.handle_client_packet(&data(1, 44), hop(BALANCER), &members, now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
}

/// A SYN that was forwarded may be late: its client sends a copy after 200 ms and opens the flow with that (cluster, seed
/// 15).
#[test]
fn a_late_syn_must_not_reset_the_flow_of_its_copy() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    agent.handle_heartbeat(&heartbeat(1, 2, true), now, &mut Vec::new());
    let mut out = Vec::new();
    let mut forwarded = hop(B);
    forwarded.hops = 3;
    agent.handle_client_packet(&syn(1, 0), forwarded, &members(&[B], Stance::Open, now), now, &mut out);
    assert_eq!(resets(&out), 0, "{out:?}");
    let refusal = placing_balancer(now).handle_refusal(flow(1), now + 200 * MS);
    assert!(matches!(refusal, Decision::Drop { .. }), "{refusal:?}");
}

/// A backend server started shortly before the process of its agent, and has opened a flow through the process before.
#[test]
fn flows_opened_through_the_previous_process_are_probed() {
    let now = Instant::now();
    let mut restarted = agent_started_at(A, now, STARTED_MS + 400);
    let mut out = Vec::new();
    restarted.handle_heartbeat(&heartbeat(1, 1, false), now + 100 * MS, &mut out);
    restarted.handle_query(&data(1, 501), hop(B), now + 110 * MS, &mut out);
    assert_eq!(out, [Effect::Deliver], "the backend server must be probed");
    // Without a previous process, all flows have passed this one, whether that is known before the heartbeat or after it.
    for known_before in [true, false] {
        let mut first = agent_started_at(A, now, STARTED_MS + 400);
        if known_before {
            first.mark_first_process();
        }
        first.handle_heartbeat(&heartbeat(1, 1, false), now + 100 * MS, &mut out);
        if !known_before {
            first.mark_first_process();
        }
        out.clear();
        first.handle_query(&data(1, 501), hop(B), now + 110 * MS, &mut out);
        assert!(!out.contains(&Effect::Deliver), "{out:?}");
    }
}

/// An operator has moved a route to another service, and an agent of that starts afterwards. It has not seen the former
/// routes, and the agents of the former service still hold flows.
#[test]
fn an_agent_that_starts_after_a_route_has_moved_queries_the_former_service() {
    let now = Instant::now();
    let identity = Identity {
        ip: C,
        data_centre: "east".into(),
        service: "other".into(),
        started_ms: STARTED_MS,
    };
    let mut started = Agent::new(identity, 770 * MS, now);
    let mut moved = (*routes(2)).clone();
    moved.routes.get_mut(&SERVICE).unwrap().shares[0].service = "other".into();
    let mut out = Vec::new();
    started.set_routes(Rc::new(moved), &mut out);
    started.handle_heartbeat(&heartbeat(1, 1, false), now, &mut out);
    started.mark_announced();
    let out = handle_data(&mut started, 1, 501, &members(&[A, B], Stance::Open, now), now);
    assert!(queries(&out, A) && queries(&out, B), "{out:?}");
}

/// An agent that has just started queries the agents of all services. One of another service must not deliver the packet to
/// its backend server as a probe (soak, seed 1).
#[test]
fn an_agent_of_another_service_delivers_no_probe() {
    let now = Instant::now();
    let identity = Identity {
        ip: C,
        data_centre: "east".into(),
        service: "other".into(),
        started_ms: STARTED_MS + 60_000,
    };
    for (loaded, version) in [(true, 1), (true, 2), (false, 1)] {
        let mut restarted = Agent::new(identity.clone(), 770 * MS, now);
        let mut out = Vec::new();
        if loaded {
            restarted.set_routes(routes(1), &mut out);
        }
        restarted.handle_heartbeat(&heartbeat(1, 70, false), now, &mut out);
        out.clear();
        restarted.handle_query(&data(1, 501), Hop { version, ..hop(B) }, now, &mut out);
        let denial = Effect::SendNote {
            to: B,
            note: Note::Deny(flow(1)),
        };
        let knows_routes = loaded && version == 1;
        assert_eq!(out, if knows_routes { vec![denial] } else { Vec::new() });
    }
}
