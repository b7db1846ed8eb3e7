//! Evacuation of a data centre: facts out of order, what agents and balancers do, and restarts.

use std::{collections::BTreeSet, time::Instant};

use bytes::Bytes;
use dogwoodpitch::{
    protocol::steer::{self, HEADER_LEN, Message},
    state::steering::{
        agent::{Agent, Effect, Note},
        balancer::{Balancer, Decision},
        era::Era,
        evacuation::{Evacuations, Notice, Recovery, Watched},
        freshness::Age,
        member::{Change, Members},
        report::{Report, Stance},
    },
    transport::udp::MAX_DATAGRAM,
};

use crate::build::{
    A, B, BALANCER, C, agent, agent_report, agent_with_backend, data, flow, heartbeat, hop, members, open_flow, routes,
    syn,
};

const ERA: Option<Era> = Some(Era(1));
const DELAY: std::time::Duration = std::time::Duration::from_secs(1);

fn set(names: &[&'static str]) -> BTreeSet<Bytes> {
    names.iter().map(|name| Bytes::from_static(name.as_bytes())).collect()
}

fn notice(revision: u64, names: &[&'static str]) -> Notice {
    Notice {
        revision,
        data_centres: set(names),
    }
}

fn evacuations() -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.begin_era(Era(1));
    evacuations
}

fn evacuate(agent: &mut Agent, members: &mut Members, names: &[&'static str], now: Instant, out: &mut Vec<Effect>) {
    members.set_evacuated(&set(names));
    agent.set_evacuated(names.contains(&"east"), members, now, out);
}

/// Members of which the last is in another data centre, west.
fn members_with_west(now: Instant) -> Members {
    let mut known = members(&[B], Stance::Open, now);
    let report = Report {
        data_centre: "west".into(),
        ..agent_report(9, 1, Stance::Open)
    };
    known.record_report(C, report, now);
    known
}

/// Facts that arrive late, twice or out of order must not evacuate a data centre again, nor take it back too soon.
#[test]
fn the_fact_with_the_highest_revision_holds() {
    let cases: [(&[Notice], &[&str], usize); 5] = [
        (&[notice(5, &["east"]), notice(7, &[])], &[], 2),
        (&[notice(7, &[]), notice(5, &["east"])], &[], 0),
        (
            &[
                notice(5, &["east"]),
                notice(5, &["east"]),
                notice(9, &["east"]),
                notice(7, &[]),
            ],
            &["east"],
            1,
        ),
        (&[notice(5, &["east"]), notice(9, &["west"])], &["west"], 3),
        (
            &[notice(9, &["east", "west"]), notice(8, &["west"]), notice(3, &[])],
            &["east", "west"],
            2,
        ),
    ];
    for (facts, expected, changes) in cases {
        let mut known = evacuations();
        let seen: usize = facts.iter().map(|fact| known.merge(ERA, fact).len()).sum();
        assert_eq!(known.data_centres(), &set(expected), "{facts:?}");
        assert_eq!(seen, changes, "{facts:?}");
    }
}

/// A peer that was cut off while a data centre was taken back would keep it evacuated if nodes that have never seen the
/// evacuation did not tell what they know.
#[test]
fn a_node_that_hears_of_an_old_evacuation_reports_its_end() {
    let mut started_later = evacuations();
    started_later.merge(ERA, &notice(9, &[]));
    assert_eq!(started_later.report(), None);
    let mut cut_off = evacuations();
    cut_off.merge(ERA, &notice(5, &["east"]));
    started_later.merge_reported(ERA, &cut_off.report().unwrap());
    assert_eq!(started_later.report(), Some(notice(9, &[])));
    cut_off.merge_reported(ERA, &started_later.report().unwrap());
    assert!(cut_off.data_centres().is_empty());
}

/// Too many names in the store would make the reports longer than a datagram, so that none arrives.
#[test]
fn a_report_with_many_evacuations_fits_into_a_datagram() {
    let mut many = Notice::default();
    let rejected = (0..500).filter(|number| !many.set(format!("zone-{number}").into(), true));
    assert!(rejected.count() > 0);
    let recovery = Recovery {
        age: Age(u8::MAX),
        retained: many.data_centres.clone(),
    };
    let report = Report {
        evacuations: Some(many),
        era: Some(Era(u64::MAX)),
        recovery: Some(recovery),
        ..agent_report(u64::MAX, u64::MAX, Stance::Open)
    };
    assert!(HEADER_LEN + steer::encode(&Message::Report(report)).len() + 200 < MAX_DATAGRAM);
}

/// A data centre for which there was no room would stay in service after others were taken back.
#[test]
fn the_store_is_read_again_when_there_may_be_room_for_a_rejected_name() {
    for (names, rejected) in [(2, false), (500, true)] {
        let name = |number: u32| Bytes::from(format!("zone-{number}"));
        let mut watched = Watched::default();
        let stored = (0..names).filter(|number| watched.set(name(*number), true)).count();
        assert_eq!(stored < 500 && names == 500, rejected);
        assert!(!watched.outdated);
        watched.set(name(0), false);
        assert_eq!(watched.outdated, rejected);
    }
}

/// The agent is the last to see a SYN. It must not deliver one while a balancer has not heard of the evacuation, must keep
/// its open flows, and must serve again as soon as its data centre is taken back.
#[test]
fn an_evacuated_agent_takes_no_new_flow_and_keeps_open_ones() {
    let now = Instant::now();
    for undetected in [false, true] {
        let mut agent = if undetected {
            agent(A, now)
        } else {
            agent_with_backend(A, now)
        };
        agent.mark_announced();
        let mut known = members_with_west(now);
        let mut out = Vec::new();
        agent.handle_client_packet(&syn(1, 0), hop(BALANCER), &known, now, &mut out);
        assert!(out.contains(&Effect::Deliver), "{out:?}");
        open_flow(&mut agent, 1, 500, now);
        let now = now + DELAY;
        known.record_report(B, agent_report(1, 2, Stance::Open), now);
        let west = Report {
            data_centre: "west".into(),
            ..agent_report(9, 2, Stance::Open)
        };
        known.record_report(C, west, now);
        out.clear();
        evacuate(&mut agent, &mut known, &["east"], now, &mut out);
        assert_ne!(agent.stance(now), Stance::Open);
        agent.handle_client_packet(&syn(2, 0), hop(BALANCER), &known, now, &mut out);
        assert!(matches!(out[..], [.., Effect::Forward { to: C, .. }]), "{out:?}");
        out.clear();
        agent.handle_client_packet(&data(1, 501), hop(BALANCER), &known, now, &mut out);
        assert!(out.contains(&Effect::Deliver), "{out:?}");
        // All data centres are evacuated.
        evacuate(&mut agent, &mut known, &["east", "west"], now, &mut out);
        for (copy, refused) in [(0, true), (1, false)] {
            out.clear();
            agent.handle_client_packet(&syn(3, copy), hop(BALANCER), &known, now, &mut out);
            let note = Effect::SendNote {
                to: BALANCER,
                note: Note::Refuse(flow(3)),
            };
            assert_eq!(out.contains(&note), refused, "{out:?}");
            assert!(!out.contains(&Effect::Deliver), "{out:?}");
        }
        out.clear();
        evacuate(&mut agent, &mut known, &["west"], now, &mut out);
        agent.handle_client_packet(&syn(4, 0), hop(BALANCER), &known, now, &mut out);
        assert!(out.contains(&Effect::Deliver), "{out:?}");
    }
}

/// SYNs that wait for room would be delivered long after the notice, or dropped until the client's next copy.
#[test]
fn queued_syns_go_elsewhere_at_the_notice() {
    let now = Instant::now();
    for elsewhere in [true, false] {
        let mut agent = agent_with_backend(A, now);
        agent.mark_announced();
        let mut known = members_with_west(now);
        let mut out = Vec::new();
        let mut port = 0;
        while !matches!(out.last(), Some(Effect::Hold { .. })) {
            port += 1;
            assert!(port < 200);
            agent.handle_client_packet(&syn(port, 0), hop(BALANCER), &known, now, &mut out);
        }
        out.clear();
        let names: &[_] = if elsewhere { &["east"] } else { &["east", "west"] };
        evacuate(&mut agent, &mut known, names, now, &mut out);
        let diverted = Effect::ForwardHeld {
            flow: flow(port),
            to: C,
            hops: 1,
            balancer: BALANCER,
        };
        let refused = Effect::SendNote {
            to: BALANCER,
            note: Note::Refuse(flow(port)),
        };
        assert_eq!(
            (out.contains(&diverted), out.contains(&refused)),
            (elsewhere, !elsewhere),
            "{out:?}"
        );
        assert!(out.contains(&Effect::Discard { flow: flow(port) }), "{out:?}");
        out.clear();
        agent.tick(&known, now, &mut out);
        assert!(
            !out.iter().any(|effect| matches!(effect, Effect::Release { .. })),
            "{out:?}"
        );
    }
}

/// An agent that has not heard of the evacuation reports that it is open. A balancer that has must not believe it, and must
/// tell the client at once if no agent is left.
#[test]
fn a_balancer_places_nothing_in_an_evacuated_data_centre() {
    let now = Instant::now();
    for stance in [Stance::Open, Stance::Joining, Stance::Restarting] {
        let mut known = Members::default();
        known.set_evacuated(&set(&["east"]));
        // A node that appears after the notice, and one whose report comes after its entry in a list.
        known.add_listed([(A, agent_report(1, 1, stance))], now);
        known.record_report(A, agent_report(1, 2, stance), now);
        known.add_listed([(B, agent_report(2, 1, stance))], now);
        let mut balancer = Balancer::new("east".into(), 100);
        balancer.routes = routes(1);
        for (copy, seq) in [(0, Some(0)), (1, None)] {
            let decision = balancer.handle_client_packet(&syn(1, copy), &mut known, now);
            let reset = match decision {
                Decision::Reset { seq, .. } => Some(seq),
                Decision::Drop { .. } => None,
                Decision::Forward { .. } => panic!("{decision:?}"),
            };
            assert_eq!(reset, seq, "{stance:?}");
        }
        known.record_report(
            C,
            Report {
                data_centre: "west".into(),
                ..agent_report(3, 1, Stance::Open)
            },
            now,
        );
        for port in 2..50 {
            let decision = balancer.handle_client_packet(&syn(port, 0), &mut known, now);
            assert!(matches!(decision, Decision::Forward { to: C, .. }), "{decision:?}");
        }
        known.set_evacuated(&set(&[]));
        known.record_report(A, agent_report(1, 3, Stance::Open), now);
        let takes = |port| balancer.handle_client_packet(&syn(port, 0), &mut known, now);
        let placed: Vec<_> = (50..100).map(takes).collect();
        assert!(
            placed
                .iter()
                .any(|decision| matches!(decision, Decision::Forward { to: A, .. }))
        );
    }
}

/// An evacuated agent reports that it is draining. After its restart peers must not take its backend server for a draining
/// one, which would keep it closed after the end of the evacuation. One that was draining before is still known to be.
#[test]
fn an_evacuation_does_not_look_like_a_draining_backend_server() {
    let now = Instant::now();
    for (before, was_draining) in [(Stance::Open, false), (Stance::Draining, true)] {
        let mut known = members(&[A], before, now);
        let evacuated = Report {
            evacuations: Some(notice(5, &["east"])),
            ..agent_report(1, 2, Stance::Draining)
        };
        known.record_report(A, evacuated, now);
        known.record_report(A, agent_report(1, 3, Stance::Restarting), now);
        let change = known.record_report(A, agent_report(2, 1, Stance::Joining), now);
        assert_eq!(change, Change::New { was_draining });
    }
    // Lists do not tell why an agent is draining, and may come before the notice.
    let listed = || [(A, agent_report(1, 2, Stance::Draining))];
    for (heard, set_before, set_after, was_draining) in [
        (false, true, false, false),
        (false, false, true, false),
        (true, true, false, false),
        (false, false, false, true),
    ] {
        let mut known = members(if heard { &[A] } else { &[] }, Stance::Open, now);
        known.set_evacuated(&set(if set_before { &["east"] } else { &[] }));
        known.add_listed(listed(), now);
        known.set_evacuated(&set(if set_before || set_after { &["east"] } else { &[] }));
        let change = known.record_report(A, agent_report(2, 1, Stance::Joining), now);
        assert_eq!(change, Change::New { was_draining }, "{heard} {set_before} {set_after}");
    }
    // The agent of a node that restarts in the evacuation takes nothing once the first report has told it.
    let mut restarted = agent(A, now);
    let mut known = members_with_west(now);
    let mut out = Vec::new();
    evacuate(&mut restarted, &mut known, &["east"], now, &mut out);
    restarted.handle_heartbeat(&heartbeat(1, 4, false), now, &mut out);
    restarted.handle_client_packet(&syn(1, 0), hop(BALANCER), &known, now, &mut out);
    assert!(!out.contains(&Effect::Deliver), "{out:?}");
}
