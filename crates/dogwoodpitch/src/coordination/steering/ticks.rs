//! Periodic work of a node, and its graceful stop.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    coordination::steering::{
        agent, era, membership,
        node::{Node, State, millis},
        reload,
    },
    state::steering::audience::Sender,
    transport::time,
};

/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between removals of expired entries of a balancer, and between updates of the metrics.
const EXPIRE_TICKS: u64 = 5;
/// A tick that is late by more than this means that the process was paused and has not read the reports of others.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// Clock of the periodic work, which detects pauses of the process.
#[derive(Debug)]
struct Ticker {
    due_at: Instant,
    suspended: Duration,
}

impl Ticker {
    fn start() -> Self {
        Self {
            due_at: Instant::now(),
            suspended: time::suspended(),
        }
    }

    /// Waits for the next tick and returns its time. After a pause, the silence of other nodes says nothing, and the local
    /// node has missed their reports.
    async fn wait(&mut self, node: &Rc<Node>) -> Instant {
        self.due_at += TICK;
        time::sleep_until(self.due_at).await;
        let now = Instant::now();
        let suspended_before = std::mem::replace(&mut self.suspended, time::suspended());
        let paused = now - self.due_at + self.suspended.saturating_sub(suspended_before);
        if paused > PAUSE_THRESHOLD {
            log::warn!(event = "node.stalled", ms = millis(paused); "the process was paused");
            node.members.borrow_mut().extend_deadlines(now);
            node.handle_stall(now);
            agent::update_agent(node, &[], |agent, _, _| agent.handle_pause(now));
            self.due_at = now;
        }
        now
    }
}

/// Does the periodic work until a stop is requested.
pub(super) async fn run(node: &Rc<Node>) {
    let mut ticker = Ticker::start();
    let mut ticks = 0_u64;
    while !node.termination.is_requested() {
        let now = ticker.wait(node).await;
        ticks += 1;
        tick(node, ticks, now);
        reload::reload_if_due(node, ticks);
    }
}

/// Does the periodic work of one tick.
fn tick(node: &Rc<Node>, ticks: u64, now: Instant) {
    node.detect_stall(now);
    let gone = node.members.borrow_mut().expire(now);
    for ip in &gone {
        log::info!(event = "member.gone", node:% = ip; "silent or leaving node removed");
    }
    agent::update_agent(node, &[], |agent, members, out| {
        agent.remove_nodes(&gone);
        agent.tick(members, now, out);
    });
    era::expire_recovery(node, now);
    if ticks.is_multiple_of(EXPIRE_TICKS) {
        if let State::Balancer(balancer) = &mut *node.state.borrow_mut() {
            balancer.expire(now);
        }
        if let Some(age) = node.config.freshness().age(now) {
            metrics::gauge!("dogwoodpitch_config_age_seconds").set(age.as_secs_f64());
        }
    }
    let life = node.life(now);
    // The change was already reported immediately. This repeats the report in case it was lost.
    let changed = node.last_life.replace(life) != life;
    let sender = Sender {
        role: node.settings.role(),
        data_centre: node.settings.data_centre.clone(),
    };
    node.send_report_to(|member| changed || sender.is_due(&member.report, ticks));
    node.flush();
}

/// Stops without cutting flows: an agent diverts new flows to its peers, and a balancer keeps forwarding until the
/// clients' packets take another way.
pub(super) async fn shut_down(node: &Rc<Node>) {
    let stop_at = Instant::now() + node.live_settings.borrow().stop_timeout();
    log::info!(event = "node.stopping"; "stop requested");
    if let State::Agent(agent) = &mut *node.state.borrow_mut() {
        agent.stop();
    }
    let mut ticker = Ticker::start();
    let mut now = Instant::now();
    let mut ticks = 0;
    loop {
        ticks += 1;
        tick(node, ticks, now);
        let done = now >= stop_at || agent::may_stop(node, ticks);
        if done {
            break;
        }
        now = ticker.wait(node).await;
    }
    node.send_report_to(|_member| true);
    membership::withdraw(node).await;
    log::info!(event = "node.stopped"; "node stopped");
}
