//! Freshness of the configuration: which nodes watch the store, and when the others stop to rely on them.

use std::time::{Duration, Instant};

use dogwoodpitch::state::{
    roster::Role,
    steering::{
        freshness::{self, Age, Freshness},
        member::Members,
        report::{Report, Stance},
    },
};

use crate::build::{A, B, C, agent_report};

/// Time in which a change has to be in force at all nodes.
const APPLY_TIME: Duration = Duration::from_secs(3);

fn balancer_report(data_centre: &'static str) -> Report {
    Report {
        role: Role::Balancer,
        data_centre: data_centre.into(),
        ..agent_report(1, 1, Stance::Open)
    }
}

/// Each data centre must have a watching balancer, also after the one before has fallen silent.
#[test]
fn the_first_live_balancer_of_a_data_centre_watches() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut members = Members::default();
    members.record_report(A, balancer_report("west"), now);
    members.record_report(B, balancer_report("east"), now);
    let watches = |ip, role, members: &Members, now| freshness::is_watcher(ip, role, &"east".into(), members, now);
    assert!(watches(A, Role::Balancer, &Members::default(), now));
    assert!(!watches(C, Role::Balancer, &members, now));
    assert!(!watches(C, Role::Agent, &members, now));
    assert!(watches(A, Role::Balancer, &members, now));
    assert!(watches(C, Role::Balancer, &members, later));
    assert!(!watches(C, Role::Agent, &members, later));
}

/// A node must not rely on peers whose own knowledge has become old, however often they report it.
#[test]
fn a_confirmation_expires_although_peers_repeat_it() {
    let start = Instant::now();
    let mut peer = Freshness::default();
    let mut node = Freshness::default();
    assert!(!node.is_confirmed_by_peers(start));
    assert_eq!(node.age(start), None);
    peer.confirm(start);
    let mut now = start;
    let tell = |from: &Freshness, to: &mut Freshness, now| {
        if let Some(age) = from.reported_age(now) {
            to.confirm_by_peer(age, now);
        }
    };
    while now < start + 20 * APPLY_TIME {
        // Both repeat what they know to each other.
        tell(&peer, &mut node, now);
        tell(&node, &mut peer, now);
        assert!(node.age(now).unwrap() >= now - start);
        assert!(now < start + APPLY_TIME || !node.is_confirmed_by_peers(now));
        now += Duration::from_millis(70);
    }
    assert!(!peer.is_confirmed_by_peers(now));
    peer.confirm(now);
    tell(&peer, &mut node, now);
    assert!(node.is_confirmed_by_peers(now));
}

/// The confirmation by a watch of its own must not make a node stop watching: nobody else may be able to reach the store.
#[test]
fn a_confirmation_by_the_store_is_no_confirmation_by_peers() {
    let now = Instant::now();
    let mut node = Freshness::default();
    node.confirm(now);
    assert_eq!(node.reported_age(now), Some(Age(0)));
    assert!(!node.is_confirmed_by_peers(now));
}
