//! Decisions of a balancer: where to send each packet of a client.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::state::steering::{
    member::{Member, Members},
    overflow::Overflow,
    placement::{self, Candidate},
    rank,
    route::Table,
    segment::{Flags, Flow, Segment},
};

/// Time to live of an unused entry. It exceeds the longest lifetime of a flow.
const ENTRY_TTL: Duration = Duration::from_secs(75);
/// Time to live of an entry after the client has closed its flow.
const CLOSED_TTL: Duration = Duration::from_secs(3);
/// Time that a process takes at most to read the packets that have waited in its socket during a stall.
const LATE_PACKETS_DURATION: Duration = Duration::from_millis(100);
/// Age up to which a refused SYN is reset. The client sends a copy after 200 ms, which another agent may accept.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(150);

/// Decision on a packet, with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Forwards the packet to an agent.
    Forward {
        /// Agent.
        to: Ipv4Addr,
        /// Whether the owner of the flow is unknown. The agent that holds the flow then notifies the balancer.
        guessed: bool,
        /// Reason for the log.
        reason: &'static str,
    },
    /// Sends a reset to the client.
    Reset {
        /// Sequence number that the client accepts.
        seq: u32,
        /// Reason for the log.
        reason: &'static str,
    },
    /// Drops the packet; the client will retransmit it.
    Drop {
        /// Reason for the log.
        reason: &'static str,
    },
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    agent: Ipv4Addr,
    expires_at: Instant,
    /// Until when the SYN may be reset if all agents refuse the flow.
    refusable_until: Instant,
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    capacity: usize,
    flows: HashMap<Flow, Entry>,
    /// Until when packets may have waited in the socket during a stall of this process.
    packets_late_until: Option<Instant>,
    /// Routes in force.
    pub routes: Rc<Table>,
    /// Share of the new flows that leaves the data centre.
    pub overflow: Overflow,
}

impl Balancer {
    /// Creates a balancer with an empty cache. `capacity` is the maximum number of cached flows.
    pub fn new(data_centre: Bytes, capacity: usize) -> Self {
        Self {
            capacity,
            flows: HashMap::new(),
            packets_late_until: None,
            routes: Rc::default(),
            overflow: Overflow::new(data_centre),
        }
    }

    /// Handles a stall of this process that has just ended.
    pub fn handle_stall(&mut self, now: Instant) {
        self.packets_late_until = Some(now + LATE_PACKETS_DURATION);
    }

    /// Decides where to send a client's packet.
    pub fn handle_client_packet(&mut self, segment: &Segment, members: &mut Members, now: Instant) -> Decision {
        if segment.is_initial_syn() {
            self.handle_syn(segment, members, now)
        } else {
            self.handle_established(segment, members, now)
        }
    }

    /// Places a new flow. A copy of a SYN is sent to another agent, because the first one should have answered by now.
    /// If both answer, the client opens the flow with only one of them.
    fn handle_syn(&mut self, segment: &Segment, members: &mut Members, now: Instant) -> Decision {
        let flow = segment.flow_from_client();
        let Some(route) = self.routes.get(flow.service) else {
            return Decision::Drop { reason: "no_route" };
        };
        if segment.ack == 0 && self.packets_late_until.is_some_and(|until| now < until) {
            // The agent would take the SYN for a new one and might reset it, although a copy has opened the flow.
            return Decision::Drop { reason: "late_syn" };
        }
        let service = route.service_for(flow);
        let previous = self.flows.get(&flow).map(|entry| entry.agent);
        let open = members.iter().filter(|member| member.is_open(service, now)).count();
        let joining = members.iter().filter(|member| member.is_joining(service, now)).count();
        // When most agents start at the same time, the first ones to open must not get the load of all.
        let accepts =
            |member: &&Member| member.is_open(service, now) || (open < joining && member.is_joining(service, now));
        let (scope, data_centre) = self.overflow.direct(service, flow, now);
        let cold_rate = self.routes.cold_rate(service);
        let mut candidates: Vec<_> = members
            .iter()
            .filter(accepts)
            .map(|member| Candidate::from_member(member, data_centre, cold_rate))
            .collect();
        if segment.ack > 0 && candidates.len() > 1 {
            candidates.retain(|candidate| Some(candidate.ip) != previous);
        }
        if let Some(chosen) = placement::choose_in(flow, candidates.into_iter(), scope) {
            members.count_placement(chosen.ip);
            self.learn(flow, chosen.ip, now);
            self.set_refusable(flow, segment.ack == 0, now);
            return Decision::Forward {
                to: chosen.ip,
                guessed: false,
                reason: "placed",
            };
        }
        place_without_open_agent(segment, service, members, now)
    }

    /// Sends a packet to the cached agent, or to a home of the flow. The cached agent may be one that has only been tried,
    /// so its silence is no reason for a reset: the home asks the other agents.
    fn handle_established(&mut self, segment: &Segment, members: &Members, now: Instant) -> Decision {
        let flow = segment.flow_from_client();
        let closing = segment.flags.contains(Flags::RST) || segment.flags.contains(Flags::FIN);
        let mut unreachable = None;
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.expires_at = now + if closing { CLOSED_TTL } else { ENTRY_TTL };
            match members.get(entry.agent) {
                Some(member) if !member.is_unreachable(now) => {
                    return Decision::Forward {
                        to: entry.agent,
                        guessed: false,
                        reason: "owner",
                    };
                }
                Some(_) => unreachable = Some(entry.agent),
                None => {}
            }
        }
        let Some(route) = self.routes.get(flow.service) else {
            return Decision::Drop { reason: "no_route" };
        };
        match (choose_home(flow, route.service_for(flow), members, now), unreachable) {
            (Some(to), _) => Decision::Forward {
                to,
                guessed: true,
                reason: "home",
            },
            (None, Some(to)) => Decision::Forward {
                to,
                guessed: true,
                reason: "owner_silent",
            },
            (None, None) => Decision::Drop {
                reason: "no_agent_fresh",
            },
        }
    }

    /// Caches the agent of a flow, unless the cache is full. Returns the agent that was cached before.
    pub fn learn(&mut self, flow: Flow, agent: Ipv4Addr, now: Instant) -> Option<Ipv4Addr> {
        if self.flows.len() >= self.capacity && !self.flows.contains_key(&flow) {
            return None;
        }
        let entry = Entry {
            agent,
            expires_at: now + ENTRY_TTL,
            refusable_until: self.flows.get(&flow).map_or(now, |known| known.refusable_until),
        };
        self.flows.insert(flow, entry).map(|previous| previous.agent)
    }

    fn set_refusable(&mut self, flow: Flow, is_first_syn: bool, now: Instant) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            entry.refusable_until = if is_first_syn { now + MAX_REFUSAL_AGE } else { now };
        }
    }

    /// Handles the refusal of a SYN that this balancer has placed. Nodes compare no clocks, so only the balancer can tell
    /// how long ago the client sent it. A late one is dropped, because a copy may have opened the flow.
    pub fn handle_refusal(&mut self, flow: Flow, now: Instant) -> Decision {
        match self.flows.get(&flow) {
            Some(entry) if now < entry.refusable_until => {
                self.flows.remove(&flow);
                Decision::Reset {
                    seq: 0,
                    reason: "refused",
                }
            }
            _ => Decision::Drop { reason: "refused_late" },
        }
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Instant) {
        self.flows.retain(|_, entry| now < entry.expires_at);
    }

    /// Whether the balancer can place flows: routes are loaded and at least one agent is alive.
    pub fn is_ready(&self, members: &Members, now: Instant) -> bool {
        self.routes.is_loaded()
            && members
                .iter()
                .any(|member| !member.report.service.is_empty() && member.is_alive(now))
    }
}

/// Chooses the home that finds the owner of a flow. Joining agents are the second choice, because they do not know all
/// others yet.
fn choose_home(flow: Flow, service: &Bytes, members: &Members, now: Instant) -> Option<Ipv4Addr> {
    let fresh = || members.holders(service, now).filter(|member| member.is_alive(now));
    let settled = fresh().filter(|member| !member.is_new());
    let [home, _] = rank::homes(flow, settled.map(|member| member.ip));
    home.or_else(|| rank::homes(flow, fresh().map(|member| member.ip))[0])
}

/// Decides on a SYN when no agent reports that it accepts new flows. Agents that are starting, or have not reported to
/// a newly started balancer, may accept it nevertheless, and each copy of the SYN tries another one. A reset costs the
/// client one of its few retries, so it is sent only if all agents are known to refuse, and never in reply to a copy,
/// because an earlier copy may have been accepted.
fn place_without_open_agent(segment: &Segment, service: &Bytes, members: &Members, now: Instant) -> Decision {
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
    if segment.ack > 0 || !members.agents(service).all(|member| member.refuses_flows(now)) {
        return Decision::Drop {
            reason: "no_agent_open",
        };
    }
    Decision::Reset {
        seq: 0,
        reason: "no_agent_open",
    }
}
