//! New flows while the backend server is warming up: the limit on its requests, and what happens to those above it.
//!
//! After a start or an outage, more clients come to a backend server than it bears while it warms up. Those above its
//! limit go to a warmer one at once.

use std::time::Instant;

use crate::state::steering::{
    admission::Outcome,
    agent::{
        Agent, MAX_HOPS,
        effect::{Effect, Hop, Note, log, send_note},
    },
    member::{Member, Members},
    placement::Candidate,
    segment::Segment,
    warm_up,
};

impl Agent {
    /// Requests a second that the backend server bears now; `None` if there is no limit. It counts as cold until a
    /// heartbeat tells whether it is.
    pub fn cold_rate(&self, now: Instant) -> Option<f64> {
        let heard_at = self.backend.last_heartbeat_at();
        let is_known = heard_at.is_some_and(|heard_at| heard_at >= self.warmth_known_from);
        let may_be_cold = self.backend.is_cold(now) || !is_known;
        self.routes.cold_rate(&self.service).filter(|_| may_be_cold)
    }

    /// Records that the backend server may have become cold since its last heartbeat, as after an evacuation.
    pub fn assume_cold(&mut self, now: Instant) {
        self.warmth_known_from = now;
    }

    /// Whether the limit allows another request now.
    pub(super) fn bears_request(&self, now: Instant) -> bool {
        self.cold_rate(now).is_none_or(|rate| self.warm_up.admits(rate, now))
    }

    /// Records a request at the backend server, also at a warm one, because the heartbeat that tells that it is cold comes
    /// later, and so may the routes.
    pub(super) fn record_request(&mut self, now: Instant) {
        if !self.routes.is_loaded() || self.routes.cold_rate(&self.service).is_some() {
            self.warm_up.record(now);
        }
    }

    /// Forwards, queues or refuses a SYN that exceeds the limit. Returns whether it does.
    pub(super) fn defer_while_cold(
        &mut self,
        segment: &Segment,
        hop: Hop,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(rate) = self.cold_rate(now) else {
            return false;
        };
        // Those that wait for room come first.
        self.serve_queue(now, out);
        if self.warm_up.admits(rate, now) {
            return false;
        }
        let flow = segment.flow_from_client();
        let warm = self.choose_open_peer(flow, members, now, |member| !member.report.load.cold);
        // Where all are warming up, one other is tried: most of them have no room either.
        let cold = || self.choose_peer(flow, members, now).filter(|_| hop.hops == 0);
        if hop.hops < MAX_HOPS
            && let Some(to) = warm.or_else(cold)
        {
            log(out, flow, "divert: backend server is warming up");
            out.push(hop.origin().forward(to));
            return true;
        }
        let Some(syn) = self.queued_syn(segment, hop) else {
            log(out, flow, "drop: backend server is warming up");
            return true;
        };
        let wait = warm_up::spacing(rate).saturating_mul(self.queue.ahead_of(syn.priority));
        let room_at = self.warm_up.room_at(rate).unwrap_or(now).checked_add(wait);
        let in_time = room_at.is_some_and(|room_at| room_at <= now + syn.goal);
        if in_time && self.queue.hold(syn, now) == Outcome::Queued {
            log(out, flow, "wait: backend server is warming up");
            out.push(Effect::Hold { flow });
        } else if segment.ack > 0 || warm.is_some() || !self.are_peers_closed_or_cold(hop, members, now) {
            log(out, flow, "drop: backend server is warming up");
        } else {
            log(out, flow, "refuse: backend server is warming up");
            send_note(out, hop.balancer, Note::Refuse(flow));
        }
        true
    }

    pub(super) fn log_cold_rate(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let rate = self.cold_rate(now);
        if rate != self.last_cold_rate {
            self.last_cold_rate = rate;
            out.push(Effect::LogColdRate(rate));
        }
    }

    /// Whether no peer is known to take a new flow or may start to: each is closed, or cold and either the one that has
    /// passed the flow on or as loaded as its rate allows.
    fn are_peers_closed_or_cold(&self, hop: Hop, members: &Members, now: Instant) -> bool {
        let is_full = |member: &Member| {
            let candidate = Candidate::from_member(member, &self.data_centre, self.routes.cold_rate(&self.service));
            member.ip == hop.sender || candidate.relative_load() >= 1.0
        };
        let is_cold = |member: &Member| member.is_open(&self.service, now) && member.report.load.cold;
        let mut agents = members.agents(&self.service);
        agents.all(|member| {
            let takes_none = member.refuses_flows(now) || (is_cold(member) && is_full(member));
            !member.is_starting(&self.service, now) && takes_none
        })
    }
}
