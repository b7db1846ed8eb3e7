//! Faults and planned work.

use std::net::Ipv4Addr;

use dogwoodpitch::state::roster::Role;

use super::{Event, MS, Time, World};

/// Fault or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    KillAgent,
    RestartAgent,
    RollAgents,
    Release,
    ScaleIn,
    AddAgents,
    RestartBalancer,
    KillBalancer,
    PauseNode,
    PauseVm,
    CrashBackend,
    RemoveVm,
    ReplaceVm,
    CutLinks,
    Isolate,
    Burst,
    StoreDown,
    StoreSlow,
    RestoreStore,
    SetClockBack,
    SlowBackend,
    Rehash,
    PowerLoss,
}

/// What follows the exit of a backend server that drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BackendPlan {
    Replace,
    ScaleIn,
}

/// What follows the exit of a node that was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NodePlan {
    Restart,
    Remove,
}

const PLANNED: [Fault; 7] = [
    Fault::RestartAgent,
    Fault::RollAgents,
    Fault::Release,
    Fault::ScaleIn,
    Fault::AddAgents,
    Fault::RestartBalancer,
    Fault::Rehash,
];

const UNPLANNED: [Fault; 16] = [
    Fault::KillAgent,
    Fault::KillAgent,
    Fault::KillBalancer,
    Fault::PauseNode,
    Fault::PauseNode,
    Fault::PauseVm,
    Fault::CrashBackend,
    Fault::CrashBackend,
    Fault::RemoveVm,
    Fault::ReplaceVm,
    Fault::CutLinks,
    Fault::Isolate,
    Fault::Burst,
    Fault::StoreDown,
    Fault::SetClockBack,
    Fault::SlowBackend,
];

/// Most agents at one time.
const MAX_AGENTS: usize = 14;
/// Time in which faults begin.
const FAULTS_FROM: Time = 3_000 * MS;
const FAULTS_UNTIL: Time = 17_000 * MS;

impl World {
    /// Draws the faults of a seed: planned work only, faults only, or both. Some are repeated within a short time.
    pub(super) fn schedule_faults(&mut self, seed: u64) {
        let count = self.random.range(3, 11);
        let mut kinds = Vec::new();
        for _ in 0..count {
            let planned = match seed % 4 {
                0 => true,
                1 => false,
                _ => self.random.chance(50),
            };
            let kind = if planned {
                self.random.choose(&PLANNED)
            } else if self.random.chance(5) {
                self.random.choose(&[Fault::PowerLoss, Fault::StoreSlow])
            } else {
                self.random.choose(&UNPLANNED)
            };
            kinds.extend(kind);
        }
        for kind in kinds {
            let at = self.random.range(FAULTS_FROM, FAULTS_UNTIL);
            self.schedule(at, Event::Fault(kind));
            if self.random.chance(30) {
                let again = at + self.random.below(1_500 * MS);
                self.schedule(again, Event::Fault(kind));
            }
        }
    }

    fn agents(&self) -> Vec<Ipv4Addr> {
        let agents = self.vms.iter().filter(|(_, vm)| vm.role == Role::Agent);
        agents.map(|(ip, _)| *ip).collect()
    }

    fn choose_agent(&mut self) -> Option<Ipv4Addr> {
        let agents = self.agents();
        self.random.choose(&agents)
    }

    fn impair(&mut self, ip: Ipv4Addr, kind: &'static str, time: Time) {
        let now = self.now;
        self.oracle.record_impairment(ip, kind, now, now + time);
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent => self.kill_agent(),
            Fault::RestartAgent => self.restart_agent(),
            Fault::RollAgents => self.roll_agents(),
            Fault::Release => self.release(),
            Fault::ScaleIn => self.scale_in(),
            Fault::AddAgents => self.add_agents(),
            Fault::RestartBalancer | Fault::KillBalancer => self.interrupt_balancer(fault),
            Fault::PauseNode | Fault::PauseVm => self.pause(fault),
            Fault::CrashBackend => self.crash_any_backend(),
            Fault::RemoveVm | Fault::ReplaceVm => self.remove_vm(fault),
            Fault::CutLinks => self.cut_links(),
            Fault::Isolate => self.isolate(),
            Fault::Burst => self.lose_frames(),
            Fault::StoreDown => self.stop_store(),
            Fault::StoreSlow => self.slow_store_down(),
            Fault::RestoreStore => self.restore_store(),
            Fault::SetClockBack => self.set_clock_back(),
            Fault::SlowBackend => self.slow_backend_down(),
            Fault::Rehash => self.rehash(),
            Fault::PowerLoss => self.lose_power(),
        }
    }

    fn kill_agent(&mut self) {
        let Some(ip) = self.choose_agent() else { return };
        let down = self.random.range(100 * MS, 3_000 * MS);
        self.impair(ip, "killed", down);
        self.kill_node(ip, "killed");
        self.schedule(down, Event::StartNode(ip));
    }

    fn restart_agent(&mut self) {
        let Some(ip) = self.choose_agent() else { return };
        self.restart_node(ip);
    }

    fn roll_agents(&mut self) {
        let gap = self.random.range(300 * MS, 1_800 * MS);
        for (index, ip) in (0..).zip(self.agents()) {
            self.schedule(gap * index, Event::RestartNode(ip));
        }
    }

    fn release(&mut self) {
        let gap = self.random.range(300 * MS, 1_500 * MS);
        for (index, ip) in (0..).zip(self.agents()) {
            self.schedule(gap * index, Event::ReplaceBackend(ip));
        }
    }

    fn scale_in(&mut self) {
        let Some(ip) = self.choose_agent() else { return };
        if self.agents().len() > 4 && !self.is_leaving(ip) {
            if let Some(vm) = self.vms.get_mut(&ip) {
                vm.backend_plan = BackendPlan::ScaleIn;
            }
            self.note(ip, || "scale-in".to_owned());
            self.drain_backend(ip);
        }
    }

    fn add_agents(&mut self) {
        for _ in 0..self.random.range(1, 4) {
            if self.agents().len() < MAX_AGENTS {
                let ip = self.next_agent_ip();
                self.add_vm(ip, Role::Agent);
                self.start_vm(ip);
            }
        }
    }

    fn interrupt_balancer(&mut self, fault: Fault) {
        let balancers = self.balancers();
        let Some(ip) = self.random.choose(&balancers) else {
            return;
        };
        if fault == Fault::RestartBalancer {
            self.restart_node(ip);
        } else {
            let down = self.random.range(100 * MS, 3_000 * MS);
            self.impair(ip, "killed", down);
            self.kill_node(ip, "killed");
            self.schedule(down, Event::StartNode(ip));
        }
    }

    fn pause(&mut self, fault: Fault) {
        let now = self.now;
        let nodes: Vec<_> = self.vms.keys().copied().collect();
        let Some(ip) = self.random.choose(&nodes) else { return };
        let time = self.random.range(200 * MS, 3_200 * MS);
        self.impair(ip, "paused", time);
        self.pause_node(ip, time);
        if fault == Fault::PauseVm
            && let Some(backend) = self.backends.get_mut(&ip)
        {
            backend.paused_until = backend.paused_until.max(now + time);
        }
        if time > 1_000 * MS
            && let Some(process) = self
                .nodes
                .get(&ip)
                .filter(|node| !node.is_agent())
                .map(|node| node.process)
        {
            self.schedule(1_000 * MS, Event::Unrotate(ip));
            self.schedule(time + 500 * MS, Event::Rotate(ip, process));
        }
    }

    fn crash_any_backend(&mut self) {
        let Some(ip) = self.choose_agent() else { return };
        self.impair(ip, "crash", 0);
        self.crash_backend(ip);
    }

    fn remove_vm(&mut self, fault: Fault) {
        let now = self.now;
        let Some(ip) = self.choose_agent() else { return };
        if self.agents().len() <= 4 {
            return;
        }
        self.note(ip, || "VM is removed for good".to_owned());
        self.impair(ip, "removed", 3_000 * MS);
        self.kill_node(ip, "VM removed");
        self.end_backend(ip, "VM removed");
        self.vms.remove(&ip);
        self.last_removal = now;
        if fault == Fault::ReplaceVm {
            let delay = self.random.range(2_000 * MS, 6_000 * MS);
            self.schedule(delay, Event::AddVm(ip));
        }
    }

    fn cut_links(&mut self) {
        let now = self.now;
        let nodes: Vec<_> = self.vms.keys().copied().collect();
        let both_ways = self.random.chance(60);
        let time = self.random.range(300 * MS, 4_000 * MS);
        for _ in 0..self.random.range(1, 5) {
            let (Some(from), Some(to)) = (self.random.choose(&nodes), self.random.choose(&nodes)) else {
                return;
            };
            self.network.cut(Some(from), Some(to), now + time);
            if both_ways {
                self.network.cut(Some(to), Some(from), now + time);
            }
            self.impair(from, "cut", time);
            self.impair(to, "cut", time);
            self.note(from, || {
                format!("link to {to} is cut for {} ms, both ways {both_ways}", time / MS)
            });
        }
    }

    fn isolate(&mut self) {
        let now = self.now;
        let nodes: Vec<_> = self.vms.keys().copied().collect();
        let Some(ip) = self.random.choose(&nodes) else { return };
        let time = self.random.range(300 * MS, 4_000 * MS);
        let direction = self.random.below(3);
        if direction != 1 {
            self.network.cut(Some(ip), None, now + time);
        }
        if direction != 0 {
            self.network.cut(None, Some(ip), now + time);
        }
        self.impair(ip, "cut", time);
        self.note(ip, || format!("cut off for {} ms, direction {direction}", time / MS));
    }

    fn lose_frames(&mut self) {
        let now = self.now;
        let percent = self.random.choose(&[5, 15, 30]).unwrap_or(5);
        let time = self.random.range(500 * MS, 4_000 * MS);
        self.network.set_burst(percent, now + time);
        self.impair(Ipv4Addr::UNSPECIFIED, "loss", time);
        self.note(Ipv4Addr::UNSPECIFIED, || {
            format!("{percent} % loss for {} ms", time / MS)
        });
    }

    fn stop_store(&mut self) {
        let now = self.now;
        let time = self.random.range(500 * MS, 8_000 * MS);
        self.store.set_down(now + time, now);
        self.note(Ipv4Addr::UNSPECIFIED, || format!("store is down for {} ms", time / MS));
    }

    /// Draws one or two returns of the store from an older copy, in part close to one another.
    pub(super) fn schedule_returns(&mut self) {
        for _ in 0..self.random.range(1, 3) {
            let at = self.random.range(FAULTS_FROM, FAULTS_UNTIL);
            self.schedule(at, Event::Fault(Fault::RestoreStore));
        }
    }

    fn restore_store(&mut self) {
        let age = self.random.range(500 * MS, 12_000 * MS);
        let time = self.random.range(100 * MS, 4_500 * MS);
        self.store.set_down(self.now + time, self.now);
        self.note(Ipv4Addr::UNSPECIFIED, || {
            format!(
                "store is down for {} ms and comes back {} ms older",
                time / MS,
                age / MS
            )
        });
        let copied_at = self.now.saturating_sub(age);
        self.schedule(time, Event::ReturnStore(copied_at));
    }

    fn slow_store_down(&mut self) {
        let now = self.now;
        let time = self.random.range(500 * MS, 8_000 * MS);
        self.store.set_slow(now + time);
        self.note(Ipv4Addr::UNSPECIFIED, || format!("store is slow for {} ms", time / MS));
    }

    fn set_clock_back(&mut self) {
        let Some(ip) = self.choose_agent() else { return };
        let by = self.random.choose(&[400, 2_000, 12_000, 3_600_000]).unwrap_or(0);
        if let Some(vm) = self.vms.get_mut(&ip) {
            vm.clock_back_ms += by;
        }
        self.note(ip, || format!("clock is set back by {by} ms"));
    }

    fn slow_backend_down(&mut self) {
        let now = self.now;
        let Some(ip) = self.choose_agent() else { return };
        let until = now + self.random.range(500 * MS, 4_000 * MS);
        if let Some(backend) = self.backends.get_mut(&ip) {
            backend.slow_down(until);
        }
        self.note(ip, || "backend server is slow".to_owned());
    }

    fn rehash(&mut self) {
        self.epoch += 1;
        self.note(Ipv4Addr::UNSPECIFIED, || "flows take other balancers".to_owned());
    }

    fn lose_power(&mut self) {
        let down = self.random.range(500 * MS, 3_000 * MS);
        for ip in self.agents() {
            self.impair(ip, "power loss", down);
            self.kill_node(ip, "power loss");
            self.end_backend(ip, "power loss");
            let delay = down + self.random.below(500 * MS);
            self.schedule(delay, Event::StartNode(ip));
            let backend_delay = delay + self.random.below(300 * MS);
            self.schedule(backend_delay, Event::StartBackend(ip, false));
        }
    }

    fn is_leaving(&self, ip: Ipv4Addr) -> bool {
        let draining = self.backends.get(&ip).is_none_or(|backend| backend.draining);
        draining || self.nodes.get(&ip).is_none_or(super::node::Node::is_stopping)
    }

    pub(super) fn restart_node(&mut self, ip: Ipv4Addr) {
        if let Some(vm) = self.vms.get_mut(&ip).filter(|vm| vm.node_plan != NodePlan::Remove) {
            vm.node_plan = NodePlan::Restart;
            self.stop_node(ip);
        }
    }

    /// Replaces a backend server by a new lifetime, after it has drained.
    pub(super) fn replace_backend(&mut self, ip: Ipv4Addr) {
        if self.backends.get(&ip).is_none_or(|backend| backend.draining) {
            return;
        }
        if let Some(vm) = self.vms.get_mut(&ip) {
            vm.backend_plan = BackendPlan::Replace;
            self.drain_backend(ip);
        }
    }

    fn crash_backend(&mut self, ip: Ipv4Addr) {
        let scale_in = self
            .vms
            .get(&ip)
            .is_some_and(|vm| vm.backend_plan == BackendPlan::ScaleIn);
        if !self.backends.contains_key(&ip) || scale_in {
            return;
        }
        self.end_backend(ip, "crashes");
        let delay = match self.random.below(3) {
            0 => self.random.range(200 * MS, 400 * MS),
            _ => self.random.range(300 * MS, 3_000 * MS),
        };
        let same_id = self.random.chance(40);
        self.schedule(delay, Event::StartBackend(ip, same_id));
    }

    pub(super) fn handle_backend_exit(&mut self, ip: Ipv4Addr) {
        match self.vms.get(&ip).map(|vm| vm.backend_plan) {
            Some(BackendPlan::Replace) => {
                let delay = self.random.range(200 * MS, 2_000 * MS);
                self.schedule(delay, Event::StartBackend(ip, false));
            }
            Some(BackendPlan::ScaleIn) => {
                if let Some(vm) = self.vms.get_mut(&ip) {
                    vm.node_plan = NodePlan::Remove;
                }
                let delay = self.random.range(20 * MS, 1_000 * MS);
                self.schedule(delay, Event::StopNode(ip));
            }
            None => {}
        }
    }

    pub(super) fn handle_node_exit(&mut self, ip: Ipv4Addr) {
        match self.vms.get(&ip).map(|vm| vm.node_plan) {
            Some(NodePlan::Restart) => {
                let delay = self.random.range(50 * MS, 1_500 * MS);
                self.schedule(delay, Event::StartNode(ip));
            }
            Some(NodePlan::Remove) => {
                self.end_backend(ip, "VM removed");
                self.vms.remove(&ip);
                self.last_removal = self.now;
            }
            None => {}
        }
    }
}
