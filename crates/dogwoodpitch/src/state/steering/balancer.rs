//! Decisions of a balancer: where each packet of a client goes.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::state::steering::{
    member::{Member, Members},
    placement::{self, Candidate},
    rank,
    route::{Retry, Table},
    segment::{Flags, Flow, Segment},
};

/// How long an unused entry is kept: longer than the longest life of a flow.
const KEEP: Duration = Duration::from_secs(75);
/// How long an entry is kept once an end closed its flow.
const LINGER: Duration = Duration::from_secs(3);
/// Share of the known agents that must be fresh before silence counts as theirs and not as the own node's.
const QUORUM: f64 = 0.5;

/// Where a packet goes, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// To an agent.
    Forward {
        /// Agent.
        to: Ipv4Addr,
        /// Whether the owner of the flow is not known, so that the agent should tell it.
        guessed: bool,
        /// Reason for the log.
        reason: &'static str,
    },
    /// The client gets a reset.
    Reset {
        /// Sequence number that the client accepts.
        seq: u32,
        /// Reason for the log.
        reason: &'static str,
    },
    /// Dropped without a word; the client repeats the packet.
    Drop {
        /// Reason for the log.
        reason: &'static str,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    agent: Ipv4Addr,
    discard_at: Instant,
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    data_centre: Bytes,
    capacity: usize,
    flows: HashMap<Flow, Entry>,
    /// Routes in force.
    pub routes: Rc<Table>,
}

impl Balancer {
    /// Balancer without flows. `capacity` bounds the flows that it remembers.
    pub fn new(data_centre: Bytes, capacity: usize) -> Self {
        Self {
            data_centre,
            capacity,
            flows: HashMap::new(),
            routes: Rc::default(),
        }
    }

    /// Decides on a client's packet.
    pub fn handle_client_packet(&mut self, segment: &Segment, members: &mut Members, now: Instant) -> Decision {
        if segment.is_opening() {
            self.open(segment, members, now)
        } else {
            self.follow(segment, members, now)
        }
    }

    /// Places a new flow. A copy of a SYN goes to another agent, because the first one would have answered by now;
    /// should both answer, the client opens the flow with one of them only.
    fn open(&mut self, segment: &Segment, members: &mut Members, now: Instant) -> Decision {
        let flow = segment.flow_from_client();
        let Some(route) = self.routes.get(flow.service) else {
            return Decision::Drop { reason: "no_route" };
        };
        let service = route.service(flow);
        let earlier = self.flows.get(&flow).map(|entry| entry.agent);
        let open = members.iter().filter(|member| member.is_open(service, now)).count();
        let joining = members.iter().filter(|member| member.is_joining(service, now)).count();
        // When most agents start at the same time, the first ones that are open must not take the load of all.
        let takes =
            |member: &&Member| member.is_open(service, now) || (open < joining && member.is_joining(service, now));
        let mut candidates: Vec<_> = members
            .iter()
            .filter(takes)
            .map(|member| Candidate::of(member, &self.data_centre))
            .collect();
        if segment.ack > 0 && candidates.len() > 1 {
            candidates.retain(|candidate| Some(candidate.ip) != earlier);
        }
        if let Some(chosen) = placement::choose(flow, candidates.into_iter()) {
            members.count_placement(chosen.ip);
            self.learn(flow, chosen.ip, now);
            return Decision::Forward {
                to: chosen.ip,
                guessed: false,
                reason: "placed",
            };
        }
        open_anyway(segment, service, members, now)
    }

    fn follow(&mut self, segment: &Segment, members: &Members, now: Instant) -> Decision {
        let flow = segment.flow_from_client();
        let over = segment.flags.contains(Flags::RST) || segment.flags.contains(Flags::FIN);
        let mut lost = None;
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.discard_at = now + if over { LINGER } else { KEEP };
            match members.get(entry.agent) {
                Some(member) if !member.is_unreachable(now) => {
                    return Decision::Forward {
                        to: entry.agent,
                        guessed: false,
                        reason: "owner",
                    };
                }
                Some(_) => lost = Some(entry.agent),
                None => {}
            }
        }
        let Some(route) = self.routes.get(flow.service) else {
            return Decision::Drop { reason: "no_route" };
        };
        let service = route.service(flow);
        if lost.is_some() && route.retry == Retry::Always && has_quorum(members, service, now) {
            self.flows.remove(&flow);
            return Decision::Reset {
                seq: segment.ack,
                reason: "owner_lost",
            };
        }
        match home(flow, service, members, now) {
            Some(to) => Decision::Forward {
                to,
                guessed: true,
                reason: "home",
            },
            None => match lost {
                Some(to) => Decision::Forward {
                    to,
                    guessed: true,
                    reason: "owner_silent",
                },
                None => Decision::Drop {
                    reason: "no_agent_fresh",
                },
            },
        }
    }

    /// Remembers the agent of a flow.
    pub fn learn(&mut self, flow: Flow, agent: Ipv4Addr, now: Instant) {
        if self.flows.len() >= self.capacity && !self.flows.contains_key(&flow) {
            return;
        }
        let entry = Entry {
            agent,
            discard_at: now + KEEP,
        };
        self.flows.insert(flow, entry);
    }

    /// Drops entries of flows that are over.
    pub fn expire(&mut self, now: Instant) {
        self.flows.retain(|_, entry| now < entry.discard_at);
    }

    /// Whether the balancer can place flows: it knows the routes and hears agents.
    pub fn is_ready(&self, members: &Members, now: Instant) -> bool {
        self.routes.is_loaded()
            && members
                .iter()
                .any(|member| !member.report.service.is_empty() && member.is_alive(now))
    }
}

/// Agent that finds the owner of a flow. One that has just started does not know all others yet.
fn home(flow: Flow, service: &Bytes, members: &Members, now: Instant) -> Option<Ipv4Addr> {
    let fresh = || members.holders(service, now).filter(|member| member.is_alive(now));
    let settled = fresh().filter(|member| !member.is_joining(service, now));
    let [home, _] = rank::homes(flow, settled.map(|member| member.ip));
    home.or_else(|| rank::homes(flow, fresh().map(|member| member.ip))[0])
}

/// No agent reports that it takes new flows. After a start of the balancer those that have not been heard may
/// take them all the same, and each copy of a SYN tries another one. A reset would cost the client one of its few
/// tries, so it is sent only if all agents are known to refuse, and not to a copy: an earlier one may have been taken.
fn open_anyway(segment: &Segment, service: &Bytes, members: &Members, now: Instant) -> Decision {
    let flow = segment.flow_from_client();
    let starting = members.iter().filter(|member| member.is_starting(service, now));
    let mut ranked: Vec<_> = starting
        .map(|member| (rank::weight(flow, member.ip), member.ip))
        .collect();
    ranked.sort_unstable();
    if !ranked.is_empty() {
        let (_, to) = ranked[segment.ack as usize % ranked.len()];
        return Decision::Forward {
            to,
            guessed: true,
            reason: "agent_starting",
        };
    }
    if members.agents(service).next().is_none() {
        return Decision::Drop {
            reason: "no_agent_known",
        };
    }
    if segment.ack > 0 {
        return Decision::Drop {
            reason: "no_agent_open",
        };
    }
    Decision::Reset {
        seq: 0,
        reason: "no_agent_open",
    }
}

#[expect(clippy::cast_precision_loss, reason = "agents of a service are few")]
fn has_quorum(members: &Members, service: &Bytes, now: Instant) -> bool {
    let known = members.holders(service, now).count();
    let fresh = members
        .holders(service, now)
        .filter(|member| member.is_alive(now))
        .count();
    fresh as f64 >= known as f64 * QUORUM
}
