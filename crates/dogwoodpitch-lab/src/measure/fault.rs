//! Faults and changes during a run.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

use super::judge::Record;
use crate::cluster::{self, Balancer, Cluster, Host, sleep};

/// Longest wait for a revision at all live balancers.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);
/// Interval at which revisions are read.
const REVISION_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time until the fabric uses a new balancer.
const JOIN_LIMIT: Duration = Duration::from_secs(10);
/// Longest graceful stop of a daemon.
const STOP_LIMIT: Duration = Duration::from_secs(25);

/// A fault or a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    BalancerKill,
    BalancerStop,
    BalancerJoin,
    AgentDrain,
    AgentKill,
    SelectorChange,
    OperatorRace,
    StoreOutage,
    Freeze,
    SilentPath,
}

impl Fault {
    /// Faults that `double` draws from.
    const DRAWN: [Self; 8] = [
        Self::BalancerKill,
        Self::BalancerStop,
        Self::AgentDrain,
        Self::AgentKill,
        Self::SelectorChange,
        Self::StoreOutage,
        Self::Freeze,
        Self::SilentPath,
    ];

    /// Whether no request may be cut: planned changes, and the loss of a balancer.
    pub(crate) fn keeps_requests(self) -> bool {
        !matches!(self, Self::AgentKill | Self::Freeze)
    }

    /// Two faults drawn by the generator; they may be the same.
    pub(crate) fn draw_two(random: &mut StdRng) -> [Self; 2] {
        [(); 2].map(|()| Self::DRAWN[random.random_range(0..Self::DRAWN.len())])
    }
}

/// What the faults of a run did.
#[derive(Debug, Default)]
pub(crate) struct Effect {
    /// Flows at agents that were killed or frozen, which may reconnect.
    pub(crate) excused: Cell<u64>,
    /// Longest time from an accepted write until all live balancers had its revision.
    pub(crate) in_force: Cell<Option<Duration>>,
    /// Accepted changes that were seen to be undone.
    pub(crate) reverted: Cell<Option<u64>>,
    /// Whether a backend server drained.
    pub(crate) drained: Cell<bool>,
    /// Records some time after backend servers have joined.
    pub(crate) joined: RefCell<Option<Vec<(usize, Record)>>>,
    /// Balancers that are down on purpose.
    down: RefCell<Vec<SocketAddr>>,
    revisions: RefCell<HashMap<SocketAddr, u64>>,
}

/// Runs faults against a cluster.
pub(crate) struct Faults<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) effect: &'a Effect,
    pub(crate) random: RefCell<StdRng>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(cluster: &'a Cluster, effect: &'a Effect, seed: u64) -> Self {
        Self {
            cluster,
            effect,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Runs one fault; `hold` is how long it lasts before it is undone.
    pub(crate) async fn run(&self, fault: Fault, hold: Duration) -> Result<(), String> {
        eprintln!("fault: {fault:?}");
        match fault {
            Fault::BalancerKill => self.balancer_kill(hold).await,
            Fault::BalancerStop => self.balancer_stop(hold).await,
            Fault::BalancerJoin => self.balancer_join().await,
            Fault::AgentDrain => self.agent_drain(hold).await,
            Fault::AgentKill => self.agent_kill(hold).await,
            Fault::SelectorChange => self.selector_change(hold).await,
            Fault::OperatorRace => self.operator_race().await,
            Fault::StoreOutage => self.store_outage(hold).await,
            Fault::Freeze => self.freeze(hold).await,
            Fault::SilentPath => self.silent_path(hold).await,
        }
    }

    fn balancer(&self) -> Balancer {
        let balancers = self.cluster.balancers.borrow();
        let down = self.effect.down.borrow();
        let live: Vec<_> = balancers
            .iter()
            .filter(|balancer| !down.contains(&balancer.http))
            .collect();
        live[self.random.borrow_mut().random_range(0..live.len())].clone()
    }

    /// A host of the first service, which has several.
    fn host(&self) -> Host {
        let hosts = self.cluster.hosts.borrow();
        let hosts: Vec<_> = hosts.iter().filter(|host| host.service == 0).collect();
        hosts[self.random.borrow_mut().random_range(0..hosts.len())].clone()
    }

    async fn balancer_kill(&self, hold: Duration) -> Result<(), String> {
        let balancer = self.balancer();
        self.effect.down.borrow_mut().push(balancer.http);
        self.cluster.kill(&balancer.name);
        sleep(hold).await;
        self.restart_balancer(&balancer).await
    }

    async fn balancer_stop(&self, hold: Duration) -> Result<(), String> {
        let balancer = self.balancer();
        self.effect.down.borrow_mut().push(balancer.http);
        self.cluster.signal(&balancer.name, Signal::SIGTERM)?;
        let status = self.cluster.ended(&balancer.name, STOP_LIMIT).await?;
        if !status.success() {
            return Err(format!("{} ended with {status} after SIGTERM", balancer.name));
        }
        sleep(hold).await;
        self.restart_balancer(&balancer).await
    }

    async fn restart_balancer(&self, balancer: &Balancer) -> Result<(), String> {
        self.cluster.kill(&balancer.name);
        self.cluster.start_balancer(balancer)?;
        self.cluster.status_answers(balancer.http).await?;
        self.effect.revisions.borrow_mut().remove(&balancer.http);
        self.effect.down.borrow_mut().retain(|http| *http != balancer.http);
        Ok(())
    }

    async fn balancer_join(&self) -> Result<(), String> {
        let balancer = self.cluster.add_balancer()?;
        self.cluster.start_balancer(&balancer)?;
        self.cluster.status_answers(balancer.http).await?;
        let balancers: Vec<_> = {
            let balancers = self.cluster.balancers.borrow();
            let entry = |balancer: &Balancer| json!({ "ingress": balancer.ingress, "http": balancer.http });
            balancers.iter().map(entry).collect()
        };
        cluster::post(self.cluster.fabric, "/balancers", &json!(balancers)).await?;
        let (fabric, ingress) = (self.cluster.fabric, balancer.ingress.to_string());
        cluster::until("packets at the new balancer", JOIN_LIMIT, || async {
            let stats = cluster::get(fabric, "/stats").await.unwrap_or_default();
            stats["per_balancer"][&ingress]
                .as_u64()
                .is_some_and(|packets| packets > 0)
        })
        .await
    }

    /// Drains a backend server, and stops the agent of another one.
    async fn agent_drain(&self, hold: Duration) -> Result<(), String> {
        let host = self.host();
        self.effect.drained.set(true);
        cluster::post(host.address, "/lab/drain", &json!({ "draining": true })).await?;
        sleep(hold).await;
        cluster::post(host.address, "/lab/drain", &json!({ "draining": false })).await?;
        sleep(Duration::from_secs(1)).await;
        let host = self.host();
        self.restart_agent(&host).await
    }

    /// Adds a backend server with its agent to a service.
    pub(crate) async fn host_join(&self, service: usize) -> Result<(), String> {
        let host = self.cluster.add_host(service)?;
        self.cluster.start_backend(&host)?;
        self.cluster.answers(host.address).await?;
        self.cluster.start_agent(&host)?;
        self.cluster.status_answers(host.http).await?;
        self.cluster.label(&host).await?;
        Ok(())
    }

    /// Stops an agent gracefully and starts it again.
    pub(crate) async fn restart_agent(&self, host: &Host) -> Result<(), String> {
        self.cluster.signal(&host.agent, Signal::SIGTERM)?;
        let status = self.cluster.ended(&host.agent, STOP_LIMIT).await?;
        if !status.success() {
            return Err(format!("{} ended with {status} after SIGTERM", host.agent));
        }
        self.cluster.start_agent(host)?;
        self.cluster.status_answers(host.http).await
    }

    async fn excuse(&self, host: &Host) -> Result<(), String> {
        let status = cluster::get(host.http, "/status").await?;
        let connections = status["connections"]
            .as_u64()
            .ok_or("the agent's status has no connections")?;
        self.effect.excused.set(self.effect.excused.get() + connections);
        Ok(())
    }

    async fn agent_kill(&self, hold: Duration) -> Result<(), String> {
        let host = self.host();
        self.excuse(&host).await?;
        self.cluster.kill(&host.agent);
        sleep(hold).await;
        self.cluster.start_agent(&host)?;
        self.cluster.status_answers(host.http).await
    }

    async fn freeze(&self, hold: Duration) -> Result<(), String> {
        let host = self.host();
        self.excuse(&host).await?;
        self.cluster.signal(&host.agent, Signal::SIGSTOP)?;
        sleep(hold / 2).await;
        // The lease lapses while its holder is paused and still believes that it holds it.
        if !self.cluster.expire_lease(&host.agent).await? {
            return Err(format!("{} has no lease that could expire", host.agent));
        }
        sleep(hold / 2).await;
        self.cluster.signal(&host.agent, Signal::SIGCONT)
    }

    async fn silent_path(&self, hold: Duration) -> Result<(), String> {
        cluster::post(self.cluster.fabric, "/forget", &json!({ "percent": 50 })).await?;
        sleep(hold).await;
        cluster::post(self.cluster.fabric, "/forget", &json!({ "percent": 50 })).await
    }

    /// Takes a host out of the selector of its service and puts it back.
    async fn selector_change(&self, hold: Duration) -> Result<(), String> {
        let host = self.host();
        let service = self.cluster.services[host.service].name.clone();
        self.accepted(&["label", "set", &host.agent, "pool=b"]).await?;
        sleep(hold / 3).await;
        let narrow = format!("service={service},pool!=b");
        self.accepted(&["selector", "set", &service, &narrow]).await?;
        sleep(hold / 3).await;
        let wide = format!("service={service}");
        self.accepted(&["selector", "set", &service, &wide]).await?;
        self.expect_selector(&service, &wide).await
    }

    /// Two operators change the same selector at the same time.
    async fn operator_race(&self) -> Result<(), String> {
        let service = self.cluster.services[0].name.clone();
        for round in 0..5 {
            let texts = ["a", "b"].map(|operator| format!("service={service},operator!={operator}{round}"));
            let [first, second] = texts
                .each_ref()
                .map(|text| ["selector", "set", service.as_str(), text.as_str()]);
            let (first, second) = monoio::join!(self.cluster.ctl(&first), self.cluster.ctl(&second));
            let mut winner = None;
            for (done, text) in [first?, second?].into_iter().zip(&texts) {
                match (done.code, done.json["revision"].as_u64()) {
                    (0, Some(revision)) => winner = winner.max(Some((revision, text))),
                    (3, _) => {}
                    (code, _) => return Err(format!("selector set: exit code {code}: {}", done.text)),
                }
            }
            let (revision, text) = winner.ok_or("neither of two operators won")?;
            self.in_force(revision).await?;
            self.expect_selector(&service, text).await?;
        }
        Ok(())
    }

    /// The store is down, while a change is tried, a balancer joins and one dies.
    async fn store_outage(&self, hold: Duration) -> Result<(), String> {
        let service = self.cluster.services[0].name.clone();
        cluster::post(self.cluster.store, "/lab/fault", &json!({ "kind": "outage" })).await?;
        let text = format!("service={service},outage!=yes");
        let tried = self.cluster.ctl(&["selector", "set", &service, &text]).await?;
        self.balancer_join().await?;
        sleep(hold).await;
        cluster::post(self.cluster.store, "/lab/fault", &json!({ "kind": "none" })).await?;
        if tried.code != 4 {
            return Err(format!(
                "a change during an outage: exit code {}: {}",
                tried.code, tried.text
            ));
        }
        // The reply to this write is lost after it took effect.
        cluster::post(self.cluster.store, "/lab/fault", &json!({ "kind": "lost_reply" })).await?;
        let write = self.cluster.ctl(&["selector", "set", &service, &text]).await?;
        cluster::post(self.cluster.store, "/lab/fault", &json!({ "kind": "none" })).await?;
        eprintln!("write with a lost reply: exit code {}", write.code);
        let text = format!("service={service}");
        self.accepted(&["selector", "set", &service, &text]).await?;
        self.expect_selector(&service, &text).await
    }

    /// Makes a change and measures the time until it is in force.
    pub(crate) async fn accepted(&self, args: &[&str]) -> Result<(), String> {
        let deadline = Instant::now() + IN_FORCE_LIMIT;
        loop {
            // Exit code 4 is right while another fault keeps the store down; operators repeat the command.
            let done = self.cluster.ctl(args).await?;
            match (done.code, done.json["revision"].as_u64()) {
                (0, Some(revision)) => return self.in_force(revision).await,
                (4, _) if Instant::now() < deadline => sleep(Duration::from_millis(200)).await,
                (code, _) => return Err(format!("{}: exit code {code}: {}", args.join(" "), done.text)),
            }
        }
    }

    /// Measures the time until all live balancers have a revision.
    async fn in_force(&self, revision: u64) -> Result<(), String> {
        let written = Instant::now();
        if self.effect.reverted.get().is_none() {
            self.effect.reverted.set(Some(0));
        }
        loop {
            let mut all = true;
            let live: Vec<_> = self
                .cluster
                .balancers
                .borrow()
                .iter()
                .map(|balancer| balancer.http)
                .collect();
            for http in live {
                if !self.effect.down.borrow().contains(&http) {
                    all &= self.revision(http).await.is_some_and(|seen| seen >= revision);
                }
            }
            if all {
                break;
            }
            if written.elapsed() > IN_FORCE_LIMIT {
                return Err(format!("revision {revision} is not at all balancers within 30 s"));
            }
            sleep(REVISION_INTERVAL).await;
        }
        self.effect
            .in_force
            .set(self.effect.in_force.get().max(Some(written.elapsed())));
        Ok(())
    }

    /// Revision of a balancer; counts a return to an older one.
    async fn revision(&self, http: SocketAddr) -> Option<u64> {
        let status = cluster::get(http, "/status").await.ok()?;
        let revision = status["revision"].as_u64()?;
        let before = self.effect.revisions.borrow_mut().insert(http, revision);
        if before.is_some_and(|before| before > revision) {
            self.revert();
        }
        Some(revision)
    }

    fn revert(&self) {
        self.effect
            .reverted
            .set(Some(self.effect.reverted.get().unwrap_or(0) + 1));
    }

    async fn expect_selector(&self, service: &str, text: &str) -> Result<(), String> {
        let shown = self.cluster.ctl(&["selector", "show", service]).await?;
        if shown.code != 0 {
            return Err(format!("selector show: exit code {}: {}", shown.code, shown.text));
        }
        if !shown.json.to_string().contains(&json!(text).to_string()) {
            eprintln!("selector of {service}: expected {text}, found {}", shown.json);
            self.revert();
        }
        Ok(())
    }
}
