//! Messages between nodes: reports, notes and lists, and the announcement in the store.

use std::net::Ipv4Addr;

use dogwoodpitch::state::{
    roster::Role,
    steering::{
        agent::{Hop, Note},
        announcement::{self, Lease, Listing, Verdict},
        audience::Sender,
        discovery,
        member::Change,
        report::Report,
        segment::{Flow, Segment},
    },
};

use super::{
    Event, MS, Time, World,
    node::{Input, Life, MIN_PAUSE, Membership, Source, State, Timer},
    store::Entry,
};

const RENEW_INTERVAL: Time = 18_000 * MS;
const LIST_INTERVAL: Time = 9_000 * MS;
const MAX_PAUSE: Time = 2_000 * MS;

/// Frame between nodes.
#[derive(Debug, Clone)]
pub(super) enum Frame {
    Packet { hop: Hop, segment: Segment, is_query: bool },
    Report(Box<Report>),
    Note(Note),
    NodeListRequest,
    NodeList(Vec<(Ipv4Addr, Report)>),
}

impl World {
    pub(super) fn send_frame(&mut self, from: Ipv4Addr, to: Ipv4Addr, frame: Frame) {
        let transit = self.network.transit(&mut self.random, from, to, self.now);
        if let Some((flow, text)) = self.describe(&frame) {
            let fate = transit.map_or("lost".to_owned(), |time| format!("{time} us"));
            self.trace(flow, || format!("{from} -> {to}: {text} ({fate})"));
        }
        if let Frame::Report(report) = &frame
            && transit.is_none_or(|time| time > 20 * MS)
        {
            let stance = report.stance;
            self.note(to, || {
                format!("report {stance:?} of {from} is lost or late: {transit:?}")
            });
        }
        if let Some(delay) = transit {
            self.schedule(delay, Event::Input(to, Input::Frame { from, frame }));
        }
    }

    fn describe(&self, frame: &Frame) -> Option<(Flow, String)> {
        if !self.is_tracing() {
            return None;
        }
        match frame {
            Frame::Packet { hop, segment, is_query } => {
                let kind = if *is_query { "query" } else { "packet" };
                let text = format!(
                    "{kind} {:?} seq {} ack {} hops {}",
                    segment.flags, segment.seq, segment.ack, hop.hops
                );
                Some((segment.flow_from_client(), text))
            }
            Frame::Note(Note::Learn(flow) | Note::Claim(flow) | Note::Deny(flow) | Note::Refuse(flow)) => {
                Some((*flow, format!("{frame:?}").split('(').take(2).collect()))
            }
            Frame::Note(Note::Point(flows) | Note::Restore(flows)) => {
                let kind = if matches!(frame, Frame::Note(Note::Point(_))) {
                    "Point"
                } else {
                    "Restore"
                };
                let traced = flows.iter().find(|flow| self.traces(**flow))?;
                Some((*traced, kind.to_owned()))
            }
            _ => None,
        }
    }

    /// Sends a report to all nodes, or to those for which a periodic one is due at a tick.
    pub(super) fn send_report(&mut self, ip: Ipv4Addr, due_at_tick: Option<u64>) {
        let node = &self.nodes[&ip];
        let sender = Sender {
            role: if node.is_agent() { Role::Agent } else { Role::Balancer },
            data_centre: node.data_centre.clone(),
        };
        let receivers: Vec<_> = node
            .members
            .iter()
            .filter(|member| due_at_tick.is_none_or(|ticks| sender.is_due(&member.report, ticks)))
            .map(|member| member.ip)
            .collect();
        if receivers.is_empty() {
            return;
        }
        let report = self.build_report(ip, false);
        for to in receivers {
            self.send_frame(ip, to, Frame::Report(Box::new(report.clone())));
        }
    }

    pub(super) fn report_change(&mut self, ip: Ipv4Addr, before: Life) {
        let after = self.life(ip);
        if before != after {
            self.note(ip, || format!("{before:?} -> {after:?}"));
            self.send_report(ip, None);
        }
    }

    fn send_greetings(&mut self, ip: Ipv4Addr, nodes: &[Ipv4Addr]) {
        let report = self.build_report(ip, true);
        for to in nodes.iter().filter(|to| **to != ip) {
            self.send_frame(ip, *to, Frame::Report(Box::new(report.clone())));
        }
    }

    pub(super) fn contact_seeds(&mut self, ip: Ipv4Addr) {
        let seeds = self.seeds.clone();
        self.send_greetings(ip, &seeds);
        for to in seeds.into_iter().filter(|to| *to != ip) {
            self.send_frame(ip, to, Frame::NodeListRequest);
        }
    }

    pub(super) fn handle_frame(&mut self, ip: Ipv4Addr, from: Ipv4Addr, frame: Frame) {
        let now = self.instant();
        match frame {
            Frame::Packet { hop, segment, is_query } => {
                self.update_agent(ip, Some(segment), |agent, members, out| {
                    if is_query {
                        agent.handle_query(&segment, hop, now, out);
                    } else {
                        agent.handle_client_packet(&segment, hop, members, now, out);
                    }
                });
            }
            Frame::Report(report) => self.handle_report(ip, from, *report),
            Frame::Note(note) => {
                let receiver = self.nodes.get_mut(&ip).expect("the node runs");
                if let State::Balancer(balancer) = &mut receiver.state {
                    match note {
                        Note::Learn(flow) => {
                            balancer.learn(flow, from, now);
                        }
                        Note::Refuse(flow) => {
                            let decision = balancer.handle_refusal(flow, now);
                            self.apply_refusal(ip, flow, decision);
                        }
                        _ => {}
                    }
                    return;
                }
                self.update_agent(ip, None, |agent, _, out| agent.handle_note(from, note, now, out));
            }
            Frame::NodeListRequest => self.reply(ip, from, discovery::Message::NodeListRequest, false),
            Frame::NodeList(nodes) => {
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                let others = nodes.into_iter().filter(|(other, _)| *other != ip);
                let added = node.members.add_listed(others, now);
                self.send_greetings(ip, &added);
            }
        }
    }

    fn handle_report(&mut self, ip: Ipv4Addr, from: Ipv4Addr, report: Report) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let message = if report.greeting {
            discovery::Message::ReportRequest
        } else {
            discovery::Message::Report
        };
        let heard = node.view.record_report(&report, now);
        let (version, known) = (report.version, node.version);
        let change = node.members.record_report(from, report, now);
        self.follow_era(ip);
        if let Change::New { was_draining } = change {
            if was_draining {
                self.send_frame(ip, from, Frame::Note(Note::WasDraining));
            }
            self.update_agent(ip, None, |agent, _, out| agent.handle_peer_restart(from, out));
        }
        self.reply(ip, from, message, matches!(change, Change::New { .. }));
        if !heard.changes.is_empty() {
            self.enforce_evacuations(ip);
        }
        if version > known {
            let delay = self.random.range(2 * MS, 20 * MS);
            self.timer(
                ip,
                delay,
                Timer::LoadRoutes {
                    from: Source::Peer,
                    version,
                },
            );
        }
    }

    fn reply(&mut self, ip: Ipv4Addr, to: Ipv4Addr, message: discovery::Message, new: bool) {
        match discovery::reply(message, new) {
            Some(discovery::Message::NodeList) => {
                let members = &self.nodes[&ip].members;
                let nodes = members
                    .iter()
                    .filter(|member| member.ip != to && member.heard)
                    .map(|member| (member.ip, member.report.clone()))
                    .collect();
                self.send_frame(ip, to, Frame::NodeList(nodes));
            }
            Some(_) => {
                let report = self.build_report(ip, false);
                self.send_frame(ip, to, Frame::Report(Box::new(report)));
            }
            None => {}
        }
    }

    pub(super) fn maintain_membership(&mut self, ip: Ipv4Addr, step: Membership) {
        let now = self.now;
        let (time, ok) = self.store.call(&mut self.random, now);
        let stale = self.nodes[&ip].listed;
        match step {
            Membership::Begin { number } => {
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                if number == node.list_number {
                    node.is_listing = true;
                    self.timer(ip, time, Timer::Membership(Membership::Listed { ok, stale }));
                }
            }
            Membership::Listed { ok: true, stale } => {
                let is_outdated = stale && self.store.is_outdated(now);
                let mut own = self.apply_list(ip, stale && !is_outdated);
                if stale && !is_outdated && announcement::judge(self.nodes[&ip].lease, own) == Verdict::Missing {
                    own = self.apply_list(ip, false);
                }
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                node.lease = match announcement::judge(node.lease, own) {
                    Verdict::Stands(id) => Some(Lease {
                        id,
                        era: node.listed_in,
                    }),
                    Verdict::Missing => None,
                };
                let is_due = now >= node.renew_at || node.renewed_in != node.view.eras().newest();
                if node.lease.is_some() && !is_due {
                    self.finish_membership(ip);
                } else {
                    self.timer(ip, time, Timer::Membership(Membership::Announced { ok }));
                }
            }
            Membership::Announced { ok: true } => {
                let (instant, era) = (self.instant(), self.store.era());
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                node.view.record_answer(era, instant);
                let renewed = self.nodes[&ip]
                    .lease
                    .is_some_and(|lease| self.store.renew(lease.id, now));
                if !renewed {
                    let report = self.build_report(ip, false);
                    let id = self.store.announce(ip, report, now);
                    let node = self.nodes.get_mut(&ip).expect("the node runs");
                    node.lease = Some(Lease { id, era: Some(era) });
                }
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                node.renew_at = now + RENEW_INTERVAL;
                node.renewed_in = Some(era);
                if renewed {
                    self.finish_membership(ip);
                } else {
                    self.timer(ip, time, Timer::Membership(Membership::ListedAgain { ok }));
                }
            }
            Membership::ListedAgain { ok: true } => {
                self.apply_list(ip, false);
                self.finish_membership(ip);
            }
            Membership::Listed { .. } | Membership::Announced { .. } | Membership::ListedAgain { .. } => {
                self.contact_seeds(ip);
                let factor = self.random.range(60, 140);
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                let delay = node.pause * factor / 100;
                let max_pause = if node.listed { MAX_PAUSE } else { MIN_PAUSE };
                node.pause = (node.pause * 2).min(max_pause);
                self.schedule_list(ip, delay);
            }
        }
    }

    fn finish_membership(&mut self, ip: Ipv4Addr) {
        self.update_agent(ip, None, |agent, _, _| agent.mark_announced());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.listed = true;
        node.pause = MIN_PAUSE;
        self.schedule_list(ip, LIST_INTERVAL);
        // The store may have come back while the calls were in progress.
        self.follow_era(ip);
    }

    fn schedule_list(&mut self, ip: Ipv4Addr, delay: Time) {
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.is_listing = false;
        node.list_number += 1;
        let number = node.list_number;
        self.timer(ip, delay, Timer::Membership(Membership::Begin { number }));
    }

    /// Applies a list of the store, and returns what it tells of the announcement of the node itself.
    fn apply_list(&mut self, ip: Ipv4Addr, stale: bool) -> Option<Listing> {
        let (now, era) = (self.instant(), self.store.era());
        let listed = self.store.list(stale, self.now);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.view.record_answer(era, now);
        node.listed_in = Some(era);
        node.first_listed_in = node.first_listed_in.or(Some(era));
        let own = listed.iter().find(|(other, _)| *other == ip).map(|(_, own)| {
            let on_same_lease = |(_, other): &&(Ipv4Addr, Entry)| other.lease == own.lease;
            Listing {
                lease: own.lease,
                shared: listed.iter().filter(on_same_lease).count() > 1,
                same_node: (own.report.role == Role::Agent) == node.is_agent()
                    && own.report.data_centre == node.data_centre,
            }
        });
        let others = listed.into_iter().filter(|(other, _)| *other != ip);
        let added = node
            .members
            .add_listed(others.map(|(ip, entry)| (ip, entry.report)), now);
        if own.is_none()
            && !stale
            && node.lease.is_none()
            && !node.view.eras().is_rewriting(now)
            && let State::Agent(agent) = &mut node.state
        {
            agent.mark_first_process();
        }
        let silent = node
            .members
            .iter()
            .filter(|member| !member.heard)
            .map(|member| member.ip);
        let mut receivers: Vec<_> = silent.collect();
        receivers.extend(
            added
                .into_iter()
                .filter(|ip| !receivers.contains(ip))
                .collect::<Vec<_>>(),
        );
        self.send_greetings(ip, &receivers);
        self.follow_era(ip);
        own
    }
}
