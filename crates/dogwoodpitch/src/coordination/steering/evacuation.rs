//! Puts evacuations in force at this node and tells the peers of a change at once.

use std::{rc::Rc, time::Instant};

use crate::{
    coordination::steering::{agent, node::Node},
    state::{
        roster::Role,
        steering::{
            era::Era,
            evacuation::{Change, Notice},
        },
    },
};

/// Applies a notice from the store if it is newer than the one in force.
pub(super) fn apply(node: &Rc<Node>, era: Option<Era>, notice: &Notice, source: &'static str) {
    let changes = node.view.borrow_mut().merge(era, notice);
    enforce(node, &changes, source);
}

/// Puts changes of the evacuations in force.
pub(super) fn enforce(node: &Rc<Node>, changes: &[Change], source: &'static str) {
    if changes.is_empty() {
        return;
    }
    let now = Instant::now();
    let before = node.life(now);
    let view = node.view.borrow();
    let revision = view.evacuations().revision();
    let era = view.eras().newest().map(|era| era.0);
    for change in changes {
        let data_centre = String::from_utf8_lossy(&change.data_centre).into_owned();
        log::info!(
            event = "evacuation.changed", era, revision, data_centre = data_centre.as_str(), source,
            begins = change.begins;
            "evacuation of a data centre begins or ends"
        );
        let evacuated = if change.begins { 1.0 } else { 0.0 };
        metrics::gauge!("dogwoodpitch_evacuated", "data_centre" => data_centre).set(evacuated);
    }
    let in_force = view.evacuations().data_centres();
    node.members.borrow_mut().set_evacuated(in_force);
    let evacuated = in_force.contains(&node.settings.data_centre);
    drop(view);
    agent::update_agent(node, &[], |agent, members, out| {
        agent.set_evacuated(evacuated, members, now, out);
    });
    if agent::report_change(node, before, now) {
        return;
    }
    // Nodes that cannot reach the store learn of the change from these reports.
    let local_role = node.settings.role();
    node.send_report_to(|member| local_role == Role::Balancer || member.report.role == Role::Balancer);
}
