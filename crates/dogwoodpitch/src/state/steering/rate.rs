//! Rate of a backend server: the typical service time of its requests, from its own answers.
//!
//! The backend servers of a service may differ in speed by half, and three requests in a hundred take seven times the
//! work of the others. In a mean over the latest answers, one such request makes a fast backend server look slow and
//! lose its flows to the slow ones. This estimate follows the logarithm of the service time, and no answer moves it by
//! more than a step. Time in the queue of the backend server does not count.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Weight of the newest answer.
const GAIN: f64 = 0.08;
/// Largest distance of an answer from the estimate, as a natural logarithm of the ratio, that counts in full.
const MAX_DISTANCE: f64 = 1.0;
/// Shortest service time that is told apart from none.
const MIN_SERVICE_TIME: Duration = Duration::from_micros(100);

/// Requests at a backend server that runs them in the order of arrival, and the estimate from its answers.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    slots: u32,
    /// Requests in a slot, with the time at which each got it. The oldest is the first.
    running: Vec<(Flow, Instant)>,
    queued: VecDeque<Flow>,
    /// Logarithm of the typical service time in seconds.
    log_time: f64,
    /// Number of answers so far.
    answers: u32,
}

impl Rate {
    /// Sets the maximum number of concurrent requests.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Records a request that is delivered to the backend server.
    pub fn record_request(&mut self, flow: Flow, now: Instant) {
        self.queued.push_back(flow);
        self.start_queued(now);
    }

    /// Records the answer to the request of a flow.
    pub fn record_answer(&mut self, flow: Flow, now: Instant) {
        if let Some((_, started_at)) = self.running.iter().find(|(running, _)| *running == flow) {
            self.record_service_time(now.saturating_duration_since(*started_at));
        } else if self.queued.contains(&flow) && !self.running.is_empty() {
            // The request has got a slot, so the oldest one has left its slot without an answer.
            self.running.remove(0);
        }
        self.forget(flow);
        self.start_queued(now);
    }

    /// Removes the request of a flow that gets no answer any more.
    pub fn forget(&mut self, flow: Flow) {
        self.running.retain(|(running, _)| *running != flow);
        self.queued.retain(|queued| *queued != flow);
    }

    fn start_queued(&mut self, now: Instant) {
        while self.running.len() < self.slots.max(1) as usize
            && let Some(flow) = self.queued.pop_front()
        {
            self.running.push((flow, now));
        }
    }

    fn record_service_time(&mut self, time: Duration) {
        let log_time = time.max(MIN_SERVICE_TIME).as_secs_f64().ln();
        if self.answers == 0 {
            self.log_time = log_time;
        }
        self.answers = self.answers.saturating_add(1);
        let gain = f64::max(GAIN, 1.0 / f64::from(self.answers));
        self.log_time += gain * (log_time - self.log_time).clamp(-MAX_DISTANCE, MAX_DISTANCE);
    }

    /// Typical service time of a request; zero if there was no answer yet.
    pub fn service_time(&self) -> Duration {
        if self.answers == 0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(self.log_time.exp()).unwrap_or(Duration::MAX)
    }
}
