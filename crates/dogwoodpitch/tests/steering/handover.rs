//! Handing over SYNs from a loaded agent to one with more room.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::{
    agent::{Effect, Hop},
    member::Members,
    report::{Load, Report, Stance},
};

use crate::build::{A, B, BALANCER, C, agent_report, agent_with_backend, answer, data, from_backend, hop, syn};

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 7;

fn peer(busy: u32) -> Report {
    Report {
        load: Load {
            slots: SLOTS,
            busy,
            latency_ms: 30,
            ..Load::default()
        },
        ..agent_report(2, 1, Stance::Open)
    }
}

/// What becomes of a SYN at an agent whose backend server takes 30 ms for a request and has no room.
fn offered_to_full_agent(peers: &[(Ipv4Addr, Report)], via: Hop) -> Option<Ipv4Addr> {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    agent.mark_announced();
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(500, 500), now, &mut out);
    agent.handle_client_packet(&data(500, 501), hop(BALANCER), &Members::default(), now, &mut out);
    let now = now + 30 * MS;
    agent.handle_backend_packet(&answer(500, 501, 100), now, &mut out);
    for port in 0..40 {
        agent.handle_backend_packet(&from_backend(port, 500), now, &mut out);
        agent.handle_client_packet(&data(port, 501), hop(BALANCER), &Members::default(), now, &mut out);
    }
    let mut members = Members::default();
    for (ip, report) in peers {
        members.record_report(*ip, report.clone(), now);
    }
    out.clear();
    agent.handle_client_packet(&syn(100, 0), via, &members, now, &mut out);
    let forwarded = out.iter().find_map(|effect| match effect {
        Effect::Forward { to, .. } => Some(*to),
        _ => None,
    });
    let held = out.iter().any(|effect| matches!(effect, Effect::Hold { .. }));
    assert!(held != forwarded.is_some(), "{out:?}");
    forwarded
}

/// A card waited 190 ms at one agent while others had free slots (skalholt-quiz-grown scale-1). A SYN must not go to
/// and fro, nor to a peer that is as full, fails its requests, warms up or is in another data centre.
#[test]
fn a_syn_that_would_wait_goes_to_a_peer_with_room() {
    let remote = Report {
        data_centre: "west".into(),
        ..peer(0)
    };
    let with_load = |change: fn(&mut Load)| {
        let mut report = peer(0);
        change(&mut report.load);
        report
    };
    let failing = with_load(|load| load.failed_percent = 40);
    let cold = with_load(|load| load.cold = true);
    let handed_over = |hops, sender| Hop { hops, ..hop(sender) };
    let cases = [
        (vec![(B, peer(0))], hop(BALANCER), Some(B)),
        (vec![(B, peer(40)), (C, peer(2))], hop(BALANCER), Some(C)),
        (vec![(B, peer(0)), (C, peer(0))], handed_over(1, B), Some(C)),
        (vec![(B, peer(0))], handed_over(1, B), None),
        (vec![(B, peer(0))], handed_over(2, C), None),
        (vec![(B, peer(40))], hop(BALANCER), None),
        (vec![(B, remote)], hop(BALANCER), None),
        (vec![(B, failing)], hop(BALANCER), None),
        (vec![(B, cold)], hop(BALANCER), None),
    ];
    for (index, (peers, via, expected)) in cases.into_iter().enumerate() {
        assert_eq!(offered_to_full_agent(&peers, via), expected, "case {index}");
    }
}
