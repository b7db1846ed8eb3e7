//! New flows: whether the backend server takes one, now or after a wait in the queue, and who gets it otherwise.

use std::{net::Ipv4Addr, time::Instant};

use crate::state::steering::{
    admission::{self, Syn, Work},
    agent::{
        Agent, MAX_HOPS,
        effect::{Effect, Hop, Note, Origin, log, send_note},
    },
    backend::Phase,
    member::{Member, Members},
    placement::{self, Candidate},
    segment::{Flow, Segment},
    table::State,
};

impl Agent {
    pub(super) fn handle_syn(
        &mut self,
        segment: &Segment,
        hop: Hop,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let flow = segment.flow_from_client();
        if !self.may_serve(flow, hop.version) {
            // The balancer's routes are older. It learns the newer version from this agent's reports.
            log(out, flow, "drop: route leads to another service");
            return;
        }
        let known = self.table.get(flow).is_some_and(|entry| entry.state != State::Closed);
        // A peer that does not know this agent yet could not find the flow.
        let yields = self.is_unknown_to_peers(members, now) && hop.hops < MAX_HOPS && self.has_open_peer(members, now);
        let accepts = self.accepts_new_flows(now) && now >= self.backend_full_until && !yields;
        if self.queue.remove(flow) {
            out.push(Effect::Discard { flow });
        }
        if accepts && !known && self.defer_while_cold(segment, hop, members, now, out) {
            return;
        }
        if accepts && !known {
            match self.offer(segment, hop, now) {
                admission::Outcome::Admitted => {}
                admission::Outcome::Queued => {
                    log(out, flow, "wait: backend server is loaded");
                    out.push(Effect::Hold { flow });
                    return;
                }
                admission::Outcome::QueueFull => {
                    log(out, flow, "drop: too many flows wait for the backend server");
                    return;
                }
            }
        }
        let balancer = Some(hop.balancer);
        let accepted = known || (accepts && self.table.insert(flow, State::Opening, hop.hops, balancer, now));
        if !accepted {
            self.redirect_syn(segment, hop.origin(), members, now, out);
            return;
        }
        if !known {
            self.record_request(now);
        }
        self.searches.record_owner(flow);
        out.push(Effect::Deliver);
        if hop.hops > 0 || hop.guessed {
            send_note(out, hop.balancer, Note::Learn(flow));
        }
    }

    /// Offers a new flow to the backend server.
    pub(super) fn offer(&mut self, segment: &Segment, hop: Hop, now: Instant) -> admission::Outcome {
        match self.queued_syn(segment, hop) {
            Some(syn) => self.queue.offer(syn, self.work(now), now),
            None => admission::Outcome::Admitted,
        }
    }

    /// SYN for the queue, unless its route is not known.
    pub(super) fn queued_syn(&self, segment: &Segment, hop: Hop) -> Option<Syn> {
        let flow = segment.flow_from_client();
        let route = self.routes.get(flow.service)?;
        Some(Syn {
            flow,
            goal: route.goal,
            priority: route.priority,
            copy: segment.ack,
            balancer: hop.balancer,
            hops: hop.hops,
        })
    }

    pub(super) fn work(&self, now: Instant) -> Work {
        Work {
            slots: self.backend.slots,
            requests: self.table.busy() + self.table.expected_requests(now),
            service_time: self.table.service_time(),
        }
    }

    /// Delivers the queued SYNs for which there is room, and drops expired ones. Drops all if the backend server
    /// accepts no new flows any more.
    pub(super) fn serve_queue(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let open = self.accepts_new_flows(now);
        let removed = if open {
            self.queue.expire(now)
        } else {
            self.queue.clear()
        };
        out.extend(removed.into_iter().map(|flow| Effect::Discard { flow }));
        while open
            && self.bears_request(now)
            && let Some(syn) = self.queue.next(self.work(now))
        {
            let flow = syn.flow;
            if self
                .table
                .insert(flow, State::Opening, syn.hops, Some(syn.balancer), now)
            {
                self.record_request(now);
                self.searches.record_owner(flow);
                out.push(Effect::Release { flow });
                send_note(out, syn.balancer, Note::Learn(flow));
            } else {
                out.push(Effect::Discard { flow });
            }
        }
    }

    /// Whether the backend server accepts new flows. One that has not been detected since this process started may do
    /// so, unless its address has refused a connection.
    pub(super) fn accepts_new_flows(&self, now: Instant) -> bool {
        let phase = self.backend.phase(now);
        !self.stopping && !self.evacuated && (phase == Phase::Ready || self.is_backend_undetected())
    }

    /// Whether it is unknown if there is a backend server: it has sent no heartbeat to this process, and its address has
    /// neither accepted nor refused a connection.
    pub(super) fn is_backend_undetected(&self) -> bool {
        !self.backend.has_heartbeat() && self.backend.is_down() && !self.backend.is_absent()
    }

    /// Forwards a SYN to a lightly loaded peer, or notifies the balancer if no backend server accepts it. The balancer alone
    /// knows how old the SYN is and resets it if the client has sent no copy yet. A copy is not refused, because an agent that
    /// accepts no new flows any more may have accepted an earlier one.
    pub(super) fn redirect_syn(
        &self,
        segment: &Segment,
        from: Origin,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let flow = segment.flow_from_client();
        match self.choose_peer(flow, members, now) {
            Some(to) if from.hops < MAX_HOPS => {
                log(out, flow, "divert: backend server takes no new flow");
                out.push(from.forward(to));
            }
            None if members.iter().any(|member| member.is_starting(&self.service, now)) => {
                log(out, flow, "drop: agents are starting");
            }
            None if !members.agents(&self.service).all(|member| member.refuses_flows(now)) => {
                log(out, flow, "drop: agents are silent");
            }
            _ if segment.ack > 0 => log(out, flow, "drop: no backend server takes the flow"),
            _ => {
                log(out, flow, "refuse: no backend server takes the flow");
                send_note(out, from.balancer, Note::Refuse(flow));
            }
        }
    }

    /// Chooses a peer for a flow that this agent does not accept.
    pub(super) fn choose_peer(&self, flow: Flow, members: &Members, now: Instant) -> Option<Ipv4Addr> {
        self.choose_open_peer(flow, members, now, |_member| true)
    }

    /// Chooses one of the open peers that match a predicate.
    pub(super) fn choose_open_peer(
        &self,
        flow: Flow,
        members: &Members,
        now: Instant,
        predicate: impl Fn(&Member) -> bool,
    ) -> Option<Ipv4Addr> {
        let open = members.iter().filter(|member| member.is_open(&self.service, now));
        let cold_rate = self.routes.cold_rate(&self.service);
        let chosen = placement::choose(
            flow,
            open.filter(|member| predicate(member))
                .map(|member| Candidate::from_member(member, &self.data_centre, cold_rate)),
        );
        chosen.map(|chosen| chosen.ip)
    }
}
