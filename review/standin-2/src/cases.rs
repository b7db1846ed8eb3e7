//! The cases.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::{
    Net,
    client::{Client, Flow, Phase, Router},
    host::Host,
    program::{self, Program},
    record::Record,
    store::Store,
};

type Outcome = Result<bool, String>;

const COUNTER: &str = "counter";
const ZONES: [&str; 3] = ["shubra", "giza", "helwan"];
const STORE_PORT: u16 = 23_169;

pub fn run(case: &str, trouble: bool, net: Net, record: &Record) -> Outcome {
    match case {
        "late-announcement" => late_announcement(trouble, net, record),
        "settings-change" => settings_change(trouble, net, record),
        _ => Err(format!("no case {case}")),
    }
}

/// A deployment with its platform, hosts and clients.
struct World {
    net: Net,
    record: Record,
    folder: PathBuf,
    store: Store,
    stop: Arc<AtomicBool>,
    router: Router,
    client: Client,
    hosts: Vec<Host>,
    programs: BTreeMap<String, Program>,
    seeds: Vec<Ipv4Addr>,
    start: Instant,
}

/// Route of an address, as an operator writes it.
fn route(name: &str, target: SocketAddrV4, service: &str) -> Value {
    json!({
        "name": name, "host": target.ip(), "prefix": format!("/{}/", target.port()), "kind": "safe", "timeout_ms": 2_500,
        "slo_ms": 300, "priority": 2, "service": service, "max_attempts": 2,
    })
}

impl World {
    fn open(net: Net, record: &Record) -> Result<Self, String> {
        if !PathBuf::from(program::PROGRAM).is_file() {
            return Err(format!("{} is missing: run the build of the deploy file", program::PROGRAM));
        }
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-standin-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let store = Store::open(record);
        let stop = Arc::new(AtomicBool::new(false));
        let router = Router::start(net, &stop, record);
        let client = Client::start(net, net.ip(9, 1), &router, &stop, record).map_err(text)?;
        Ok(Self {
            net,
            record: record.clone(),
            folder,
            store,
            stop,
            router,
            client,
            hosts: Vec::new(),
            programs: BTreeMap::new(),
            seeds: (1..=2).map(|number| net.ip(1, number)).collect(),
            start: Instant::now(),
        })
    }

    /// Address of a route.
    fn target(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.net.ip(198, 1), port)
    }

    fn store_address(&self, ip: Ipv4Addr) -> Result<SocketAddrV4, String> {
        let [_, _, group, number] = ip.octets();
        let address = self.net.ip(100 + group, number);
        self.store.listen(address, STORE_PORT).map_err(|error| format!("store at {address}: {error}"))
    }

    fn add_balancer(&mut self, number: u8) -> Result<Ipv4Addr, String> {
        let ip = self.net.ip(1, number);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        self.add_program(&format!("front-{zone}-{number}"), ip, zone, None)?;
        self.router.add(ip);
        Ok(ip)
    }

    /// Adds a VM with a host and an agent.
    fn add_host(&mut self, number: u8, service: &str) -> Result<Ipv4Addr, String> {
        let ip = self.net.ip(2, number);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let host = Host::start(self.net, ip, zone, service, &self.record).map_err(|error| format!("host {ip}: {error}"))?;
        self.hosts.push(host);
        self.add_program(&format!("side-{zone}-{number}"), ip, zone, Some(service))?;
        Ok(ip)
    }

    fn add_program(&mut self, name: &str, ip: Ipv4Addr, zone: &str, service: Option<&str>) -> Result<(), String> {
        let store = self.store_address(ip)?;
        let settings = program::settings(self.net, name, ip, zone, store, &self.seeds, service);
        let program = Program::start(&self.folder, &settings, &self.record).map_err(|error| error.to_string())?;
        self.programs.insert(name.to_owned(), program);
        Ok(())
    }

    fn wait_until(&self, second: f64) {
        let at = self.start + Duration::from_secs_f64(second);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Waits until some balancers are in rotation.
    fn wait_for_rotation(&self, count: usize, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while self.router.rotation().len() < count {
            if Instant::now() > until {
                return Err(format!("fewer than {count} balancers are ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Opens flows until a number of them is open, and returns how many are.
    fn open_flows(&self, count: usize, target: SocketAddrV4) -> Result<(), String> {
        let open = || {
            let flows = self.client.flows();
            let open = flows.iter().filter(|(_, flow)| flow.target == target && flow.phase == Phase::Open && flow.answers > 0);
            open.count()
        };
        for _ in 0..4 {
            for _ in open()..count {
                self.client.open(target);
                thread::sleep(Duration::from_millis(15));
            }
            let until = Instant::now() + Duration::from_secs(2);
            while open() < count && Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
            }
            if open() >= count {
                self.record.say(format!("client: {count} flows to {target} are open and answered"));
                return Ok(());
            }
        }
        Err(format!("only {} of {count} flows to {target} could be opened", open()))
    }

    /// Adds two hosts. If there is trouble, the first two balancers are without power meanwhile, which are the seeds.
    fn add_while_seeds_are_down(&mut self, trouble: bool) -> Result<(), String> {
        if trouble && self.is_wanted("power") {
            self.record.say("disruption: two balancers, the seeds, lose power for 2 s");
            for program in self.programs.values().filter(|program| self.seeds.contains(&program.ip)) {
                program.power_off(Duration::from_secs(2));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.say_list();
        self.record.say("planned work: two hosts are added, with their nodes");
        self.add_host(4, COUNTER)?;
        self.add_host(5, COUNTER)
            .map(|_| ())
    }

    fn say_list(&self) {
        let nodes = self.store.keys("dogwoodpitch/nodes/");
        self.record.say(format!("store: lists {} of {} nodes", nodes.len(), self.programs.len()));
    }

    /// Whether a part of the disruption takes place. ONLY names the one that does, for comparison.
    fn is_wanted(&self, part: &str) -> bool {
        std::env::var("ONLY").map_or(true, |only| only == part)
    }

    /// Flows that the system reset later than a time of the record while their host held them.
    fn resets(&self, after: f64) -> Vec<(SocketAddrV4, Flow, Ipv4Addr)> {
        let flows = self.client.flows();
        let reset = flows.into_iter().filter(|(_, flow)| matches!(flow.phase, Phase::Reset(_)) && flow.reset_at > after);
        let held = reset.filter_map(|(address, flow)| {
            let host = self.hosts.iter().find(|host| host.holds(address, flow.target))?;
            Some((address, flow, host.ip))
        });
        held.collect()
    }

    /// Tells how the flows ended, and returns whether FLOW was broken.
    fn judge_flows(&self, after: f64) -> bool {
        let flows = self.client.flows();
        let opened = flows.iter().filter(|(_, flow)| flow.opened).count();
        let answers: u32 = flows.iter().map(|(_, flow)| flow.answers).sum();
        let given_up = flows.iter().filter(|(_, flow)| flow.opened && matches!(flow.phase, Phase::Ended(_))).count();
        let resets = self.resets(after);
        let wrong = self.client.wrong() + self.hosts.iter().map(Host::foreign).sum::<u32>();
        let repeated: usize = self.hosts.iter().map(Host::repeated).sum();
        for (address, flow, host) in &resets {
            let since = flow.reset_at;
            self.record.line(format!("FLOW: {address} to {} was reset by the system at {since:.3}, and host {host} holds it open", flow.target));
        }
        for (name, program) in &self.programs {
            for line in program.log_lines("flow.reset").iter().take(3) {
                self.record.line(format!("log of {name}: {line}"));
            }
        }
        self.record.say(format!(
            "{opened} flows were opened, {answers} requests answered; {given_up} flows were given up or closed otherwise; \
             {} open flows were reset by the system while their host held them; {wrong} wrong packets, {repeated} requests ran twice",
            resets.len()
        ));
        !resets.is_empty()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for host in &self.hosts {
            host.stop();
        }
        self.programs.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A write is not answered, and done some seconds later. A minute after, two balancers, the seeds, lose power for 2 s, while two
/// hosts are added.
fn late_announcement(trouble: bool, net: Net, record: &Record) -> Outcome {
    let mut world = World::open(net, record)?;
    let target = world.target(8_443);
    world.store.configure(7, vec![route("r-feed", target, COUNTER)], &[COUNTER]);
    for number in 1..=3 {
        world.add_balancer(number)?;
    }
    world.add_host(1, COUNTER)?;
    world.add_host(2, COUNTER)?;
    world.wait_for_rotation(3, Duration::from_secs(10))?;
    world.wait_until(3.0);
    let late = net.ip(102, 3);
    if trouble && world.is_wanted("late") {
        record.say("disruption: one write of the machine that is added now is done 5 s later and not answered");
        world.store.delay_next_write(late, Duration::from_secs(5));
    }
    world.add_host(3, COUNTER)?;
    for second in [12.0, 60.0] {
        world.wait_until(second);
        world.say_list();
    }
    world.wait_until(64.0);
    world.open_flows(150, target)?;
    world.wait_until(67.5);
    world.client.request_within(Duration::from_millis(500));
    world.wait_until(69.0);
    world.add_while_seeds_are_down(trouble)?;
    // From 75.1 s on, all machines have run for contact_ms.
    for second in [75.2, 76.2, 78.5] {
        world.wait_until(second);
        world.client.request_within(Duration::from_millis(900));
    }
    world.wait_until(81.5);
    world.say_list();
    Ok(world.judge_flows(75.1))
}

/// The settings files change ten times a second while clients send many requests. No case, as the pages name no such rate: it
/// shows where the EINTR of the entry `invariants_hold_with_regression_seed_2008` in KNOWN-RED.txt comes from.
fn settings_change(trouble: bool, net: Net, record: &Record) -> Outcome {
    let mut world = World::open(net, record)?;
    let target = world.target(8_443);
    world.store.configure(7, vec![route("r-feed", target, COUNTER)], &[COUNTER]);
    for number in 1..=2 {
        world.add_balancer(number)?;
    }
    for number in 1..=3 {
        world.add_host(number, COUNTER)?;
    }
    world.wait_for_rotation(2, Duration::from_secs(10))?;
    world.wait_until(3.0);
    record.be_brief();
    world.client.set_pause(Duration::from_millis(1));
    world.open_flows(400, target)?;
    world.client.request_within(Duration::from_millis(100));
    let answers = || world.client.flows().iter().map(|(_, flow)| flow.answers).sum::<u32>();
    let started_at = answers();
    let mut signals = 0;
    for round in 0..600 {
        world.wait_until(12.0 + 0.1 * f64::from(round));
        if !trouble {
            continue;
        }
        // The list of seeds changes its order.
        let seeds = [net.ip(1, 1 + (round % 2) as u8), net.ip(1, 2 - (round % 2) as u8)].map(|ip| SocketAddrV4::new(ip, net.control));
        for program in world.programs.values() {
            let text = std::fs::read_to_string(&program.settings).map_err(|error| error.to_string())?;
            let mut settings: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
            settings["seeds"] = json!(seeds);
            let path = program.settings.with_extension("new");
            std::fs::write(&path, settings.to_string()).and_then(|()| std::fs::rename(&path, &program.settings)).map_err(|error| error.to_string())?;
            program.signal(Signal::SIGHUP);
            signals += 1;
        }
        if round % 50 == 0 {
            record.line(format!("client: {} requests answered", answers()));
        }
    }
    world.wait_until(74.0);
    let answered = answers() - started_at;
    let ends: u32 = world.programs.values().map(Program::own_ends).sum();
    for (name, program) in &world.programs {
        for line in program.log_lines("task.failed") {
            record.say(format!("log of {name}: {line}"));
        }
    }
    world.judge_flows(0.0);
    record.say(format!("{signals} signals, {answered} requests answered, {ends} times a process ended by itself"));
    Ok(ends > 0)
}
