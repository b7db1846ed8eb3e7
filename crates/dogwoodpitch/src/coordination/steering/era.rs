//! Follows the eras of the store: what a node does when the store has come back from an older copy of its data.

use std::{net::Ipv4Addr, rc::Rc, time::Instant};

use crate::{
    coordination::{
        kv::Answer,
        steering::{agent, evacuation, node::Node},
        store::Error,
    },
    state::steering::{
        era::{Era, Order},
        report::Report,
    },
};

/// Returns the value of an answer of the store, and its era if it tells one. Fails if the store has come back since.
pub(super) fn record_answer<T>(
    node: &Rc<Node>,
    call: &'static str,
    answer: Answer<T>,
) -> Result<(T, Option<Era>), Error> {
    let era = match answer.era {
        Ok(era) => era,
        Err(reason) => {
            reject(node, call, &reason);
            return Ok((answer.value, None));
        }
    };
    let order = node.view.borrow_mut().record_answer(era, Instant::now());
    match order {
        Order::Outdated => {
            metrics::counter!("dogwoodpitch_store_outdated_answers_total").increment(1);
            log::warn!(event = "store.outdated_answer", call, era = era.0; "answer of an earlier era of the store");
            let text = format!("{call}: answer of the earlier era {}", era.0);
            return Err(Error::Unavailable { text });
        }
        Order::Implausible => {
            reject(node, call, &format!("era {}: cannot follow the last one", era.0));
            return Ok((answer.value, None));
        }
        Order::First | Order::Newer(_) | Order::Current | Order::Corrected(_) => handle_order(node, era, order, call),
    }
    Ok((answer.value, Some(era)))
}

/// Records that the store has come back, although an answer does not tell its era.
pub(super) fn record_return(node: &Rc<Node>, before: Era, call: &'static str) {
    let era = Era(before.0 + 1);
    let order = node.view.borrow_mut().record_answer(era, Instant::now());
    handle_order(node, era, order, call);
}

/// Records what a peer reports of the store. Returns whether the peer knows the newest era.
pub(super) fn record_report(node: &Rc<Node>, from: Ipv4Addr, report: &Report) -> bool {
    let heard = node.view.borrow_mut().record_report(report, Instant::now());
    if let (Some(era), Some(order)) = (report.era, heard.order) {
        handle_order(node, era, order, "report");
        if order == Order::Implausible {
            reject(
                node,
                "report",
                &format!("era {} of {from}: cannot follow the last one", era.0),
            );
        }
    }
    if heard.is_current && report.recovery.is_some() {
        expect_announcements(node);
    }
    evacuation::enforce(node, &heard.changes, "peer");
    heard.is_current
}

fn handle_order(node: &Rc<Node>, era: Era, order: Order, call: &'static str) {
    match order {
        Order::First => log::info!(event = "store.era", call, era = era.0; "first era of the store that is known"),
        Order::Newer(before) => {
            metrics::counter!("dogwoodpitch_store_restores_total").increment(1);
            log::warn!(
                event = "store.restored", call, era = era.0, before = before.0;
                "the store has come back from an older copy of its data"
            );
        }
        Order::Corrected(before) => log::error!(
            event = "store.era_corrected", call, era = era.0, before = before.0;
            "the store goes on telling an earlier era than the newest one that is known"
        ),
        Order::Current | Order::Outdated | Order::Implausible => return,
    }
    #[expect(clippy::cast_precision_loss, reason = "a store has far fewer than 2^52 eras")]
    metrics::gauge!("dogwoodpitch_store_era").set(era.0 as f64);
    expect_announcements(node);
    node.era_changed.notify_waiters();
}

/// Tells the agent until when it may not know all peers, if its process has read no list of an earlier era: nodes whose
/// announcements were lost are not in the lists of this one yet.
pub(super) fn expect_announcements(node: &Rc<Node>) {
    let eras = *node.view.borrow().eras();
    let first_listed = node.first_listed_in.get();
    if let Some(announced_by) = eras.announced_by()
        && first_listed.is_none_or(|first| Some(first) == eras.newest())
    {
        agent::update_agent(node, &[], |agent, _, _| agent.expect_announcements(announced_by));
    }
}

/// Ends the evacuations of earlier eras that were not written again in time.
pub(super) fn expire_recovery(node: &Rc<Node>, now: Instant) {
    let is_store_reached = node.config.freshness().is_recent(now);
    let changes = node.view.borrow_mut().expire(is_store_reached, now);
    if !is_store_reached {
        expect_announcements(node);
    }
    evacuation::enforce(node, &changes, "not written again");
}

fn reject(node: &Node, call: &'static str, reason: &str) {
    metrics::counter!("dogwoodpitch_store_era_unknown_total").increment(1);
    if node.is_first_rejection(reason) {
        log::warn!(event = "store.era_unknown", call, reason; "era of the store is not known; the content is used");
    }
}
