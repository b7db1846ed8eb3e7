//! Plans at a balancer which share of the new flows leaves the data centre, and shows it to operators.

use std::{collections::BTreeMap, fmt::Write, rc::Rc, time::Instant};

use bytes::Bytes;

use crate::{
    coordination::steering::node::{Node, State, millis},
    state::steering::overflow::{self, Mode, Overflow, Plan, Pool},
    transport::time,
};

/// Plans at each interval until the process exits.
pub(super) async fn run(node: Rc<Node>) {
    let mut due_at = Instant::now();
    loop {
        let mode = node.live_settings.borrow().overflow();
        let now = Instant::now();
        if let State::Balancer(balancer) = &mut *node.state.borrow_mut() {
            plan(&node, &mut balancer.overflow, mode, now);
        }
        due_at = (due_at + overflow::INTERVAL).max(now);
        time::sleep_until(due_at).await;
    }
}

fn plan(node: &Node, overflow: &mut Overflow, mode: Mode, now: Instant) {
    let enabled = mode == Mode::Adaptive;
    if !enabled && overflow.mode != Mode::Adaptive {
        overflow.mode = mode;
        return;
    }
    overflow.mode = mode;
    let services = if enabled {
        overflow::pools(&node.members.borrow(), &node.routes(), now)
    } else {
        BTreeMap::new()
    };
    let before: BTreeMap<_, _> = overflow
        .plans()
        .map(|(service, plan)| (service.clone(), (plan.shares.clone(), plan.pools.clone())))
        .collect();
    let changed = if enabled {
        overflow.plan(services, now)
    } else {
        overflow.end();
        Vec::new()
    };
    // What has ended is no longer recorded and must not keep its last value.
    for (service, (shares, pools)) in &before {
        for data_centre in shares.keys() {
            set_share(service, data_centre, 0.0);
        }
        for data_centre in pools.keys() {
            set_load(service, data_centre, &Pool::default());
        }
    }
    for (service, plan) in overflow.plans() {
        record(service, plan);
        if changed.contains(service) {
            log(service, plan);
        }
    }
}

fn set_share(service: &Bytes, data_centre: &Bytes, share: f64) {
    metrics::gauge!("dogwoodpitch_overflow_share", "service" => text(service), "data_centre" => text(data_centre))
        .set(share);
}

fn set_load(service: &Bytes, data_centre: &Bytes, pool: &Pool) {
    let labels = [("service", text(service)), ("data_centre", text(data_centre))];
    let (utilisation, wait) = if pool.capacity > 0.0 {
        (pool.utilisation(), pool.wait())
    } else {
        (0.0, 0.0)
    };
    metrics::gauge!("dogwoodpitch_utilisation", &labels).set(utilisation);
    metrics::gauge!("dogwoodpitch_expected_wait_seconds", &labels).set(wait * pool.service_ms / 1_000.0);
}

fn record(service: &Bytes, plan: &Plan) {
    for (data_centre, share) in &plan.shares {
        set_share(service, data_centre, *share);
    }
    for (data_centre, pool) in &plan.pools {
        set_load(service, data_centre, pool);
    }
}

fn log(service: &Bytes, plan: &Plan) {
    let mut shares = String::new();
    for (data_centre, share) in &plan.shares {
        let _ = write!(shares, "{}={share:.2} ", text(data_centre));
    }
    let mut loads = String::new();
    for (data_centre, pool) in &plan.pools {
        let (work, capacity, age) = (pool.work, pool.capacity, millis(pool.age));
        let _ = write!(loads, "{}={work:.1}/{capacity:.1}@{age}ms ", text(data_centre));
    }
    log::info!(
        event = "overflow.changed", service:% = text(service), share:% = format!("{:.2}", plan.share()),
        shares:% = shares.trim_end(), loads:% = loads.trim_end();
        "share of the new flows that leaves the data centre"
    );
}

fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
