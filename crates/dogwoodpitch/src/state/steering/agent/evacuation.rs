//! Evacuation of the agent's data centre: the agent takes no new flow, and SYNs that wait for room go elsewhere at once.

use std::time::Instant;

use crate::state::steering::{
    agent::{
        Agent,
        effect::{Effect, Origin},
    },
    member::Members,
    segment::{Flags, Segment},
};

impl Agent {
    /// Begins or ends the evacuation of the agent's data centre. Queued SYNs are redirected like ones that arrive now, because
    /// the next copy of a client may come only after 400 ms. Open flows stay.
    pub fn set_evacuated(&mut self, evacuated: bool, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let was_evacuated = std::mem::replace(&mut self.evacuated, evacuated);
        if !evacuated {
            if was_evacuated {
                // The backend server may have become cold since its last heartbeat.
                self.assume_cold(now);
            }
            return;
        }
        for syn in self.queue.take_all() {
            let flow = syn.flow;
            let segment = Segment {
                source: flow.client,
                target: flow.service,
                flags: Flags::SYN,
                seq: 0,
                ack: syn.copy,
                data_len: 0,
            };
            let from = Origin {
                balancer: syn.balancer,
                hops: syn.hops,
            };
            let mut effects = Vec::new();
            self.redirect_syn(&segment, from, members, now, &mut effects);
            out.extend(effects.into_iter().map(|effect| match effect {
                Effect::Forward { to, hops, balancer } => Effect::ForwardHeld {
                    flow,
                    to,
                    hops,
                    balancer,
                },
                other => other,
            }));
            out.push(Effect::Discard { flow });
        }
    }
}
