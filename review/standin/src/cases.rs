//! The cases.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::{
    Outcome,
    client::{Client, End},
    deployment::{Deployment, Sent, Traffic, config, route},
    proxy::Proxy,
};

/// Bounds of the site, in seconds.
const CONTACT_S: f64 = 4.0;
const APPLY_S: f64 = 3.0;

pub fn run(case: &str, deployment: &mut Deployment, trouble: bool) -> Outcome {
    match case {
        "silent-connections" => silent_connections(deployment, trouble),
        "moved-store" => moved_store(deployment, trouble),
        "moved-route" => moved_route(deployment, trouble),
        "late-write" => late_write(deployment, trouble),
        _ => Outcome::Impossible(format!("there is no case {case}")),
    }
}

fn wait(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Changes the desired state while clients send, and looks for requests that are handled by the older version later than
/// `apply_ms` after the confirmation: of a route that leads to another service now, and of one that is dropped.
fn change_and_judge(deployment: &Deployment, traffic: Traffic) -> Outcome {
    let network = deployment.network;
    let (kept, moved) = (network.route(1), network.route(2));
    let routes = [
        route("kept", kept, "safe", "board"),
        route("moved", moved, "unsafe", "desk"),
    ];
    let confirmed = deployment.store.configure(&config(7, &routes));
    wait(10.0);
    let sent = traffic.stop();
    let runs = deployment.runs.lock().unwrap().clone();
    let late: Vec<&Sent> = sent.iter().filter(|sent| sent.at > confirmed + APPLY_S).collect();
    let run_by = |sent: &Sent| runs.iter().find(|run| run.request == sent.id);
    let old: Vec<_> = late
        .iter()
        .filter_map(|sent| Some((*sent, run_by(sent)?)))
        .filter(|(sent, run)| sent.route == network.route(3) || (sent.route == moved && run.service != "desk"))
        .collect();
    let served = late.iter().filter(|sent| sent.route == kept && run_by(sent).is_some()).count();
    for (sent, run) in &old {
        deployment.record.note(&format!(
            "broken: {} sent to {} {:.3} s after the confirmation, run by {} at {:.3}",
            sent.id,
            sent.route,
            sent.at - confirmed,
            run.service,
            run.at
        ));
    }
    let last = old.iter().map(|(sent, _)| sent.at - confirmed).fold(0.0, f64::max);
    deployment.record.say(&format!(
        "{} requests sent later than {APPLY_S} s after the confirmation, {} of them handled by the older version, the last sent {last:.1} s after it; {served} served on the kept route",
        late.len(),
        old.len()
    ));
    if served == 0 {
        return Outcome::Impossible("nothing is served on the kept route".to_owned());
    }
    if old.is_empty() { Outcome::Held } else { Outcome::Broken }
}

fn first_config(deployment: &Deployment) -> [SocketAddrV4; 3] {
    let network = deployment.network;
    let addresses = [network.route(1), network.route(2), network.route(3)];
    let routes = [
        route("kept", addresses[0], "safe", "board"),
        route("moved", addresses[1], "unsafe", "board"),
        route("dropped", addresses[2], "unsafe", "board"),
    ];
    deployment.store.configure(&config(4, &routes));
    addresses
}

/// All open connections to the store go silent; new ones work. The desired state changes when all machines are in touch
/// again.
fn silent_connections(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let routes = first_config(deployment);
    let upstream = deployment.store.listen(deployment.network.platform(1));
    let proxy = Proxy::spawn(deployment.network.platform(2), upstream);
    deployment.start(proxy.address());
    if !deployment.wait_until_served(&routes) {
        return Outcome::Impossible("not all routes are served".to_owned());
    }
    let traffic = Traffic::start(deployment, &routes, 4);
    wait(CONTACT_S);
    if trouble {
        let count = proxy.silence();
        deployment.record.say(&format!("{count} open connections to the store go silent"));
    }
    wait(CONTACT_S + 0.5);
    change_and_judge(deployment, traffic)
}

/// Processes that get SIGHUP when their settings have changed: 8 of 14, as the site's `hup` has a share of 0.6.
const SIGNALLED: usize = 8;

/// The settings files change: the store has a new address. Most processes get SIGHUP. The old address is served for some
/// time.
fn moved_store(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let routes = first_config(deployment);
    let old = deployment.store.listen(deployment.network.platform(1));
    deployment.start(old);
    if !deployment.wait_until_served(&routes) {
        return Outcome::Impossible("not all routes are served".to_owned());
    }
    let traffic = Traffic::start(deployment, &routes, 4);
    wait(CONTACT_S);
    if trouble {
        let new = deployment.store.listen(deployment.network.platform(2));
        deployment.record.say(&format!("the settings files change: the store moves from {old} to {new}"));
        for (number, program) in deployment.fronts.iter().chain(&deployment.sides).enumerate() {
            program.change("store", json!(new));
            if number < SIGNALLED {
                program.signal(Signal::SIGHUP);
            }
        }
        wait(8.0);
        deployment.store.close(old);
        deployment.record.say("the old address of the store is no longer served");
    }
    wait(CONTACT_S + 0.5);
    change_and_judge(deployment, traffic)
}

/// Clients with long flows, which pause and go on together.
struct LongFlows {
    threads: Vec<thread::JoinHandle<()>>,
    step: Arc<AtomicU8>,
    results: Arc<Mutex<Vec<(u8, u8, SocketAddrV4, Result<String, End>)>>>,
}

impl LongFlows {
    /// Opens a flow for each client and sends a first request.
    fn open(deployment: &Deployment, route: SocketAddrV4, clients: u8) -> Self {
        let step = Arc::new(AtomicU8::new(0));
        let results = Arc::<Mutex<Vec<_>>>::default();
        let spawn = |number: u8| {
            let ip = deployment.network.client(number);
            let mut client = Client::bind(ip, 1 + number % 3, &deployment.router, &deployment.record);
            let (step, results, record) = (Arc::clone(&step), Arc::clone(&results), deployment.record.clone());
            thread::spawn(move || {
                let opened = (0..3).find_map(|_| client.open(route).ok());
                let Some(mut flow) = opened else {
                    record.note(&format!("client {ip} has not opened a flow"));
                    return;
                };
                let mut done = 0;
                loop {
                    let now = step.load(Ordering::Relaxed);
                    if now == u8::MAX {
                        client.close(&flow);
                        return;
                    }
                    if now == done {
                        thread::sleep(Duration::from_millis(10));
                        continue;
                    }
                    done = now;
                    let id = format!("c{number}-{now}");
                    record.note(&format!("client {} sends {id} on its open flow to {route}", flow.end));
                    let answer = client.request(&mut flow, &id, Duration::from_secs(3));
                    let answer = answer.map(|answer| answer.lines().last().unwrap_or("").to_owned());
                    record.note(&format!("client {} got for {id}: {answer:?}", flow.end));
                    let failed = answer.is_err();
                    results.lock().unwrap().push((now, number, flow.end, answer));
                    if failed {
                        return;
                    }
                }
            })
        };
        Self {
            threads: (1..=clients).map(spawn).collect(),
            step,
            results,
        }
    }

    /// Each client sends one request. Returns the clients' ends of the flows with the answers.
    fn request(&self) -> Vec<(SocketAddrV4, Result<String, End>)> {
        let step = self.step.fetch_add(1, Ordering::Relaxed) + 1;
        wait(3.2);
        let results = self.results.lock().unwrap();
        results
            .iter()
            .filter(|(at, ..)| *at == step)
            .map(|(_, _, end, answer)| (*end, answer.clone()))
            .collect()
    }

    fn stop(self) {
        self.step.store(u8::MAX, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// Looks for resets of the system on flows that a living host holds.
fn judge_resets(deployment: &Deployment, answers: &[(SocketAddrV4, Result<String, End>)]) -> Outcome {
    let holder = |client: SocketAddrV4| deployment.hosts.iter().find(|host| host.holds(client));
    let mut broken = 0;
    for (client, answer) in answers {
        if let (Err(End::ResetBySystem), Some(host)) = (answer, holder(*client)) {
            broken += 1;
            deployment.record.note(&format!(
                "broken: the system has reset the flow of {client}, which host {} holds",
                host.ip
            ));
        }
    }
    let served = answers.iter().filter(|(_, answer)| answer.is_ok()).count();
    deployment.record.say(&format!(
        "{} open flows: {served} served, {broken} reset by the system while their host lives and holds them",
        answers.len()
    ));
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}

/// A route is led to another service, which leaves open flows where they are. Then the agents beside the former hosts
/// are killed at once, and the clients go on when all machines are in touch again. `MOVE=0` leaves the change of the route
/// out; with `ROLL=N` the agents are restarted in turn N times instead of killed.
fn moved_route(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let network = deployment.network;
    let (kept, moved) = (network.route(1), network.route(2));
    let routes = |service: &str| {
        [
            route("kept", kept, "safe", "board"),
            route("moved", moved, "unsafe", service),
        ]
    };
    deployment.store.configure(&config(4, &routes("desk")));
    let store = deployment.store.listen(network.platform(1));
    deployment.start(store);
    if !deployment.wait_until_served(&[kept, moved]) {
        return Outcome::Impossible("not all routes are served".to_owned());
    }
    wait(2.0);
    let flows = LongFlows::open(deployment, moved, 24);
    if flows.request().iter().filter(|(_, answer)| answer.is_ok()).count() < 20 {
        return Outcome::Impossible("flows have not opened".to_owned());
    }
    if std::env::var("MOVE").map_or(true, |value| value != "0") {
        deployment.store.configure(&config(7, &routes("board")));
    }
    let before = flows.request();
    deployment.record.say(&format!(
        "{} of {} flows served after the change",
        before.iter().filter(|(_, answer)| answer.is_ok()).count(),
        before.len()
    ));
    let rounds: Option<u32> = std::env::var("ROLL").ok().and_then(|rounds| rounds.parse().ok());
    if let Some(rounds) = rounds.filter(|_| trouble) {
        deployment.record.say(&format!("SIGTERM to the three agents beside the hosts of desk in turn, {rounds} times"));
        for _ in 0..rounds {
            for side in &deployment.sides[7..] {
                side.signal(Signal::SIGTERM);
                wait(1.3);
            }
        }
        wait(6.0);
    } else if trouble {
        deployment.record.say("SIGKILL to the three agents beside the hosts of desk");
        for side in &deployment.sides[7..] {
            side.signal(Signal::SIGKILL);
        }
        let until = Instant::now() + Duration::from_secs(10);
        let is_back = |side: &crate::program::Program| {
            side.starts() > 1 && side.running_for().is_some_and(|time| time.as_secs_f64() > CONTACT_S + 1.0)
        };
        while !deployment.sides[7..].iter().all(is_back) {
            if Instant::now() > until {
                return Outcome::Impossible("the agents have not come back".to_owned());
            }
            wait(0.05);
        }
    } else {
        wait(6.0);
    }
    let answers = flows.request();
    let outcome = judge_resets(deployment, &answers);
    flows.stop();
    outcome
}

/// The answer of the store to an agent's announcement is lost, and the write is done seconds later. After the first lease
/// has ended, hosts of its service and front nodes are added, with seeds that are stale.
fn late_write(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let network = deployment.network;
    let address = network.route(1);
    deployment.store.configure(&config(4, &[route("desk", address, "unsafe", "desk")]));
    let store = deployment.store.listen(network.platform(1));
    let agent = network.side(8);
    let store_of_agent = deployment.store.listen(network.platform(2));
    let key = format!("dogwoodpitch/nodes/{agent}");
    if trouble {
        deployment.store.lose_write_of(&key, Duration::from_secs(3));
    }
    deployment.start_with(|side| if side == 8 { store_of_agent } else { store });
    if !deployment.wait_until_served(&[address]) {
        return Outcome::Impossible("the route is not served".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(62);
    while Instant::now() < until && (deployment.record.now() < 30.0 || deployment.store.keys(&key).len() == 1) {
        wait(0.05);
    }
    let is_listed = !deployment.store.keys(&key).is_empty();
    deployment.record.say(&format!("the announcement of {agent} is in the store: {is_listed}"));
    let flows = LongFlows::open(deployment, address, 60);
    if flows.request().iter().filter(|(_, answer)| answer.is_ok()).count() < 50 {
        return Outcome::Impossible("flows have not opened".to_owned());
    }
    let known = deployment.store.listed(store_of_agent);
    let until = Instant::now() + Duration::from_secs(11);
    while deployment.store.listed(store_of_agent) == known {
        if Instant::now() > until {
            return Outcome::Impossible(format!("{agent} does not list the nodes"));
        }
        wait(0.02);
    }
    let stale_seeds: Vec<_> = (201..=203).map(|number| network.front(number)).collect();
    deployment.record.say("two hosts of desk with their agents, and three front nodes, are added");
    for number in [11, 12] {
        deployment.add_side(number, "desk", store, &stale_seeds);
    }
    for (number, zone) in [(5, 1), (6, 2), (7, 3)] {
        deployment.add_front(number, zone, store, &stale_seeds);
    }
    wait(CONTACT_S + 0.8);
    if deployment.router.in_rotation() < 7 {
        return Outcome::Impossible("the added front nodes are not in rotation".to_owned());
    }
    let answers = flows.request();
    let outcome = judge_resets(deployment, &answers);
    flows.stop();
    outcome
}
