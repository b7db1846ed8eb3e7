//! Packets of established flows: whether the local backend server holds the flow, and the search for its owner otherwise.

use std::{collections::BTreeSet, net::Ipv4Addr, time::Instant};

use bytes::Bytes;

use crate::state::{
    roster::Role,
    steering::{
        agent::{
            Agent, MAX_HOPS,
            effect::{Effect, Hop, Note, Origin, log, reset, send_note},
        },
        evidence::Evidence,
        member::{Member, Members},
        route::Retry,
        search::Progress,
        segment::{Flow, Segment},
        table::Match,
    },
};

impl Agent {
    pub(super) fn handle_established(
        &mut self,
        segment: &Segment,
        hop: Hop,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let flow = segment.flow_from_client();
        if self.accept_established(flow, segment, hop, now, out) {
            if hop.guessed || hop.hops > 0 {
                send_note(out, hop.balancer, Note::Learn(flow));
            }
            return;
        }
        let pointer_owner = self.pointers.owner(flow);
        if let Some(owner) = pointer_owner.filter(|owner| *owner != hop.sender && hop.hops < MAX_HOPS)
            && members.get(owner).is_some_and(|member| !member.is_unreachable(now))
        {
            out.push(hop.origin().forward(owner));
            return;
        }
        if self.searches.is_not_found(flow, now) {
            reset(out, flow, segment.ack, Evidence::DeniedRecently);
            return;
        }
        self.start_search(segment, hop.origin(), members, now, out);
    }

    /// Delivers a client's packet if it belongs to a flow of the backend server. Returns whether it does.
    pub(super) fn accept_established(
        &mut self,
        flow: Flow,
        segment: &Segment,
        hop: Hop,
        now: Instant,
        out: &mut Vec<Effect>,
    ) -> bool {
        let further_requests = self.table.further_requests();
        let matched = self.table.record_client_packet(flow, segment, Some(hop.balancer), now);
        if self.table.further_requests() > further_requests {
            self.record_request(now);
        }
        match matched {
            Match::Unknown => {
                // The client has opened the flow with another backend server.
                if self.queue.remove(flow) {
                    out.push(Effect::Discard { flow });
                }
                return false;
            }
            Match::Known => {}
            Match::Opening => out.push(Effect::LogOpened { flow }),
        }
        out.push(Effect::Deliver);
        true
    }

    /// Starts a search for the owner of a flow by querying all agents of the route's services. It ends at once if there is
    /// none to query.
    pub(super) fn start_search(
        &mut self,
        segment: &Segment,
        from: Origin,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let flow = segment.flow_from_client();
        let route_services = self.route_services.get(&flow.service);
        // The route of a flow that is older than this process may have led to any service.
        let may_hold = |service: &Bytes| {
            self.coverage.may_miss_older_flows(now)
                || *service == self.service
                || route_services.is_some_and(|services| services.contains(service))
        };
        let mut queried: BTreeSet<_> = members
            .iter()
            .filter(|member| member.report.role == Role::Agent && may_hold(&member.report.service))
            .map(|member| member.ip)
            .collect();
        let probes_local = self.needs_probe() && self.may_serve(flow, self.newest_version);
        if probes_local {
            queried.insert(self.ip);
        }
        if !self.knows_all_peers(now) {
            // This search cannot prove that no agent holds the flow. The unspecified address never answers.
            queried.insert(Ipv4Addr::UNSPECIFIED);
        }
        if !self.searches.start(flow, queried.clone(), segment.ack, now) {
            return;
        }
        log(out, flow, "search: owner is not known");
        if probes_local {
            self.probe(flow, self.ip, now, out);
        }
        let balancer = from.balancer;
        let peers = queried.into_iter().filter(|ip| *ip != self.ip && !ip.is_unspecified());
        out.extend(peers.map(|to| Effect::Query { to, balancer }));
        let progress = self.searches.finish_if_denied_by_all(flow, now);
        reset_if_not_found(flow, &progress, out);
    }

    /// Counts peers that have not answered a query as denying the flow, if their reports agree: they hold no flows, or
    /// they are unreachable and the clients of the flow retry after any failure, and thus gain by an early reset. The
    /// reports alone may be out of date, or missing due to losses or to a pause of this process.
    pub(super) fn deny_for_silent(&mut self, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        for (flow, silent) in self.searches.unanswered(now) {
            let route = self.routes.get(flow.service);
            let retries = route.is_some_and(|route| route.retry == Retry::Always);
            let is_gone = |member: &Member| member.holds_no_flows(now) || (retries && member.is_unreachable(now));
            for ip in silent {
                if members.get(ip).is_some_and(is_gone) {
                    let progress = self.searches.record_silence(flow, ip, now);
                    reset_if_not_found(flow, &progress, out);
                }
            }
        }
    }

    /// Whether a flow that is not in the table may be held by the backend server, so that only a probe can tell.
    pub(super) fn needs_probe(&self) -> bool {
        let ended = self.backend.has_heartbeat() && self.backend.is_down();
        !self.coverage.is_complete() && !ended && !self.backend.is_absent()
    }

    pub(super) fn probe(&mut self, flow: Flow, requester: Ipv4Addr, now: Instant, out: &mut Vec<Effect>) {
        if self.probes.request(flow, requester, now) {
            out.push(Effect::Deliver);
        }
    }

    /// Handles the query of another agent whether this one holds the flow of a packet.
    pub fn handle_query(&mut self, segment: &Segment, hop: Hop, now: Instant, out: &mut Vec<Effect>) {
        self.newest_version = self.newest_version.max(hop.version);
        let flow = segment.flow_from_client();
        if self.accept_established(flow, segment, hop, now, out) {
            send_note(out, hop.sender, Note::Claim(flow));
            send_note(out, hop.balancer, Note::Learn(flow));
        } else if !self.needs_probe() || self.is_of_other_service(flow) {
            send_note(out, hop.sender, Note::Deny(flow));
        } else if self.has_led_here(flow) {
            self.probe(flow, hop.sender, now, out);
        }
    }

    /// Whether the route of a flow leads to this agent's service, or has led there since this process started.
    pub(super) fn has_led_here(&self, flow: Flow) -> bool {
        let services = self.route_services.get(&flow.service);
        services.is_some_and(|services| services.contains(&self.service))
    }

    /// Whether the backend server must not get a packet of a flow, because its route leads to other services by the newest
    /// routes. Agents of all services are queried for flows that may be older than a route.
    pub(super) fn is_of_other_service(&self, flow: Flow) -> bool {
        let knows_routes = self.routes.is_loaded() && self.routes.version >= self.newest_version;
        knows_routes && !self.has_led_here(flow)
    }

    /// Answers all queries that waited for a probe: the backend server does not hold the flow.
    pub(super) fn deny_probed(
        &mut self,
        flow: Flow,
        requesters: &BTreeSet<Ipv4Addr>,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        for requester in requesters {
            if *requester == self.ip {
                let progress = self.searches.record_denial(flow, self.ip, now);
                reset_if_not_found(flow, &progress, out);
            } else {
                send_note(out, *requester, Note::Deny(flow));
            }
        }
    }
}

pub(super) fn reset_if_not_found(flow: Flow, progress: &Progress, out: &mut Vec<Effect>) {
    if let Progress::NotFound { client_ack, denials } = *progress {
        reset(out, flow, client_ack, Evidence::DeniedByAll(denials));
    }
}
