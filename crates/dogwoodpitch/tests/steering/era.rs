//! Eras of the store: what nodes compare, keep and tell one another when it has come back from an older copy.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::state::steering::{
    agent::{Agent, Effect},
    announcement::{self, Lease, Listing, Verdict},
    era::{Era, Eras, Order},
    evacuation::{Change, Notice},
    freshness::Age,
    report::{Report, Stance},
    view::View,
};

use crate::build::{A, BALANCER, agent_report, agent_with_backend, data, hop, members};

/// Time after a return in which evacuations of earlier eras stay in force.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Time after which an evacuation must be in force.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a fault of the store is over for all nodes.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

fn set(names: &[&'static str]) -> BTreeSet<Bytes> {
    names.iter().map(|name| Bytes::from_static(name.as_bytes())).collect()
}

fn notice(revision: u64, names: &[&'static str]) -> Notice {
    Notice {
        revision,
        data_centres: set(names),
    }
}

/// What a node reports of the store.
fn report(view: &View, now: Instant) -> Report {
    view.report(agent_report(1, 1, Stance::Open), now)
}

fn view(number: u64, notice: &Notice, now: Instant) -> View {
    let mut view = View::default();
    view.record_answer(Era(number), now);
    view.merge(Some(Era(number)), notice);
    view
}

/// A rise voids leases and revisions. An era of before, or a value that cannot be one, must not be taken for a rise.
#[test]
fn only_a_higher_era_is_a_return() {
    let now = Instant::now();
    let mut eras = Eras::default();
    for (number, order) in [
        (3, Order::First),
        (3, Order::Current),
        (2, Order::Outdated),
        (4, Order::Newer(Era(3))),
        (3, Order::Outdated),
        (9, Order::Newer(Era(4))),
        (u64::MAX, Order::Implausible),
        (9, Order::Current),
    ] {
        assert_eq!(eras.record(Era(number), now), order, "{number}");
    }
    assert_eq!(eras.newest(), Some(Era(9)));
}

/// A node that starts does not see a return that has just been, and must learn it by its peers. One that hears of it late
/// must not begin the time anew, or nodes that start one after the other would never end it.
#[test]
fn the_time_of_a_return_is_that_of_the_first_witness() {
    let start = Instant::now();
    let (mut witness, mut fresh, mut late) = (Eras::default(), Eras::default(), Eras::default());
    witness.record(Era(1), start);
    assert!(!witness.is_rewriting(start));
    witness.record(Era(2), start);
    fresh.record(Era(2), start);
    assert!(witness.is_rewriting(start) && !fresh.is_rewriting(start));

    let mut now = start + Duration::from_secs(2);
    fresh.record_reported(Era(2), witness.reported_age(now), now);
    assert!(fresh.is_rewriting(now));
    let announced_by = fresh.announced_by().unwrap();
    assert!(announced_by <= witness.announced_by().unwrap() && announced_by + Duration::from_secs(1) > now);
    while now < start + RECOVERY_LIMIT {
        now += Duration::from_millis(70);
        late.record_reported(Era(2), fresh.reported_age(now), now);
        fresh.record_reported(Era(2), late.reported_age(now), now);
        witness.record_reported(Era(2), fresh.reported_age(now), now);
        assert_eq!(witness.is_rewriting(now), now < start + REWRITE_TIME);
    }
    assert!(!fresh.is_rewriting(now) && !late.is_rewriting(now));
    assert_eq!(fresh.reported_age(now), None);
    // A return after that counts anew.
    assert_eq!(late.record(Era(3), now), Order::Newer(Era(2)));
    assert!(late.is_rewriting(now));
}

/// Nodes that knew a set as of a high revision ignored all that the store gave out after its return, and ended the evacuation
/// at those which did not.
#[test]
fn a_notice_of_a_later_era_holds_whatever_its_revision() {
    let now = Instant::now();
    let mut facts = [
        view(1, &notice(83, &[]), now),
        view(2, &notice(72, &["east"]), now),
        view(2, &notice(70, &[]), now),
    ];
    for fact in &mut facts {
        // Nodes that have heard of no evacuation name none.
        let heard = Report {
            evacuations: Some(notice(1, &[])),
            ..report(fact, now)
        };
        fact.record_report(&heard, now);
    }
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut known = View::default();
        for fact in order {
            known.record_report(&report(&facts[fact], now), now);
        }
        assert_eq!(known.evacuations().data_centres(), &set(&["east"]), "{order:?}");
        known.merge(Some(Era(2)), &notice(73, &[]));
        assert!(known.evacuations().data_centres().is_empty(), "{order:?}");
    }
    // A store that never tells its era.
    let mut known = View::default();
    known.merge(None, &notice(5, &["east"]));
    known.merge(None, &notice(4, &[]));
    assert_eq!(known.evacuations().data_centres(), &set(&["east"]));
    known.merge(None, &notice(6, &[]));
    assert!(known.evacuations().data_centres().is_empty());
}

/// The store had lost an evacuation that was confirmed, and nodes that read it before the operator's second write ended it.
#[test]
fn an_evacuation_of_an_earlier_era_is_kept_until_the_store_lists_it() {
    let now = Instant::now();
    let mut known = view(1, &notice(83, &["east", "north"]), now);
    known.record_answer(Era(2), now);
    assert_eq!(known.merge(Some(Era(2)), &notice(60, &["west"])).len(), 1);
    assert_eq!(known.evacuations().data_centres(), &set(&["east", "north", "west"]));
    // Also if the store comes back once more.
    known.record_answer(Era(3), now);
    known.merge(Some(Era(3)), &notice(40, &[]));
    assert_eq!(known.evacuations().data_centres(), &set(&["east", "north", "west"]));
    // The operators write two again, and take one of them back.
    known.merge(Some(Era(3)), &notice(41, &["east"]));
    known.merge(Some(Era(3)), &notice(42, &["east", "west"]));
    let ended = Change {
        data_centre: "east".into(),
        begins: false,
    };
    assert_eq!(known.merge(Some(Era(3)), &notice(43, &["west"])), [ended]);
    assert!(known.expire(true, now + EVACUATION_LIMIT).is_empty());
    assert_eq!(known.expire(true, now + RECOVERY_LIMIT).len(), 1);
    assert_eq!(known.evacuations().data_centres(), &set(&["west"]));
}

/// A node that starts after the return reads a store that lacks the evacuation. Its peers must tell it, and nobody must bring
/// it back once it has ended.
#[test]
fn nodes_tell_one_another_of_evacuations_that_the_store_has_lost() {
    let start = Instant::now();
    let east = set(&["east"]);
    let mut old = view(1, &notice(83, &["east"]), start);
    let mut cut_off = old.clone();
    let mut fresh = view(2, &notice(60, &[]), start);
    // The old node hears of the new era by the one that does not know the evacuation.
    assert!(old.record_report(&report(&fresh, start), start).changes.is_empty());
    assert_eq!(fresh.record_report(&report(&old, start), start).changes.len(), 1);
    let mut now = start;
    while now < start + RECOVERY_LIMIT {
        fresh.record_report(&report(&old, now), now);
        old.record_report(&report(&fresh, now), now);
        for node in [&mut old, &mut fresh] {
            assert!(now > start + EVACUATION_LIMIT || node.evacuations().data_centres() == &east);
            node.expire(true, now);
        }
        now += Duration::from_millis(70);
    }
    assert!(old.evacuations().data_centres().is_empty() && fresh.evacuations().data_centres().is_empty());
    // One that was cut off all the while still has it, and must learn its end without spreading it.
    for _ in 0..2 {
        fresh.record_report(&report(&cut_off, now), now);
        assert!(fresh.evacuations().data_centres().is_empty());
        cut_off.record_report(&report(&fresh, now), now);
        assert_eq!(cut_off.evacuations().data_centres(), &east);
    }
    cut_off.expire(true, now + RECOVERY_LIMIT);
    assert!(cut_off.evacuations().data_centres().is_empty());
}

/// The confirmation or the set of a peer that has not heard of the return is that of a history which is over. During an update
/// some peers tell no era at all.
#[test]
fn a_peer_that_does_not_know_the_newest_era_is_not_relied_on() {
    let now = Instant::now();
    let mut known = view(2, &notice(60, &[]), now);
    let outdated = view(1, &notice(83, &["east"]), now);
    let without_era = Report {
        era: None,
        ..report(&outdated, now)
    };
    for report in [report(&outdated, now), without_era.clone()] {
        let heard = known.record_report(&report, now);
        assert!(!heard.is_current && heard.changes.is_empty(), "{report:?}");
    }
    // A node that has not read the store yet takes what it gets.
    let heard = View::default().record_report(&without_era, now);
    assert!(heard.is_current && heard.changes.len() == 1);
}

/// A store that was replaced counts its eras anew, and a header may be wrong for a while. Nodes must not reject its answers
/// for good, and peers that have not noticed must not undo the correction.
#[test]
fn an_era_that_the_store_goes_on_to_contradict_is_corrected() {
    let start = Instant::now();
    let mut known = view(5, &notice(83, &["east"]), start);
    let mut now = start;
    let corrected = loop {
        let order = known.record_answer(Era(1), now);
        if order != Order::Outdated {
            break order;
        }
        now += Duration::from_millis(250);
        assert!(now < start + EVACUATION_LIMIT);
    };
    assert_eq!(corrected, Order::Corrected(Era(5)));
    known.merge(Some(Era(1)), &notice(7, &["west"]));
    assert_eq!(known.evacuations().data_centres(), &set(&["east", "west"]));
    let wrong = report(&view(5, &notice(83, &[]), now), now);
    assert_eq!(known.record_report(&wrong, now).order, Some(Order::Implausible));
    assert_eq!(known.record_answer(Era(2), now), Order::Newer(Era(1)));
    // One answer of before among others proves nothing.
    let mut known = view(2, &notice(7, &[]), start);
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        assert_eq!(known.record_answer(Era(1), now), Order::Outdated);
        assert_eq!(known.record_answer(Era(2), now), Order::Current);
    }
}

/// The store went down again after its return, and the time for the operators' second write ran out meanwhile.
#[test]
fn an_evacuation_of_an_earlier_era_outlasts_a_further_outage() {
    let start = Instant::now();
    let mut known = view(1, &notice(83, &["east"]), start);
    known.record_answer(Era(2), start);
    let mut now = start;
    while now < start + 2 * RECOVERY_LIMIT {
        now += Duration::from_millis(100);
        assert!(known.expire(now < start + EVACUATION_LIMIT, now).is_empty());
    }
    assert!(known.expire(true, now + EVACUATION_LIMIT).is_empty());
    assert_eq!(known.expire(true, now + RECOVERY_LIMIT).len(), 1);
}

/// The answers to writes and renewals said that an announcement stood which had vanished, or which nobody renewed.
#[test]
fn only_a_list_proves_that_an_announcement_stands() {
    let listed = |lease| {
        Some(Listing {
            lease,
            shared: false,
            same_node: true,
        })
    };
    let shared = |lease| listed(lease).map(|listed| Listing { shared: true, ..listed });
    let of_former = |lease| {
        listed(lease).map(|listed| Listing {
            same_node: false,
            ..listed
        })
    };
    let renewed = Some(Lease {
        id: 7,
        era: Some(Era(1)),
    });
    for (renewed, listed, verdict) in [
        (renewed, listed(7), Verdict::Stands(7)),
        // The announcement of the process before is adopted.
        (None, listed(7), Verdict::Stands(7)),
        // It was lost, or its lease is over.
        (renewed, None, Verdict::Missing),
        (None, None, Verdict::Missing),
        // A write that was given up was done later, under the lease that was given up with it.
        (renewed, listed(6), Verdict::Missing),
        // The lease was given out again to another node.
        (renewed, shared(7), Verdict::Missing),
        (None, shared(7), Verdict::Missing),
        // The address belonged to another node before, and the copy lists that.
        (renewed, of_former(7), Verdict::Missing),
        (None, of_former(7), Verdict::Missing),
        (None, listed(0), Verdict::Missing),
    ] {
        assert_eq!(announcement::judge(renewed, listed), verdict, "{renewed:?} {listed:?}");
    }
}

/// An agent that starts after a return reads a list that lacks the peers whose announcements were lost, and reset a flow of
/// one of them because all that were listed had denied it.
#[test]
fn an_agent_resets_nothing_while_peers_announce_themselves_again() {
    let now = Instant::now();
    let mut agent = agent_with_backend(A, now);
    agent.mark_announced();
    let known = members(&[], Stance::Open, now);
    let resets = |agent: &mut Agent, port, now| {
        let mut out = Vec::new();
        agent.handle_client_packet(&data(port, 500), hop(BALANCER), &known, now, &mut out);
        out.iter().any(|effect| matches!(effect, Effect::Reset { .. }))
    };
    let announced_by = now + Duration::from_secs(3);
    agent.expect_announcements(announced_by);
    assert!(!resets(&mut agent, 1, now + Duration::from_secs(2)));
    assert!(resets(&mut agent, 2, announced_by));
}

/// An age that does not fit must not make a return look recent.
#[test]
fn an_old_return_is_not_reported() {
    let now = Instant::now();
    let mut eras = Eras::default();
    eras.record_reported(Era(2), Some(Age(u8::MAX)), now);
    assert_eq!(eras.reported_age(now), None);
    assert!(!eras.is_rewriting(now));
}
