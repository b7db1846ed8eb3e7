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

const BOARD: &str = "order-board";
const DESK: &str = "intake-desk";
const ZONES: [&str; 3] = ["peristeri", "egaleo", "rentis"];
const STORE_PORT: u16 = 23_169;

pub fn run(case: &str, trouble: bool, net: Net, record: &Record) -> Outcome {
    match case {
        "lapse" => lapse(trouble, net, record),
        "late-put" => late_put(trouble, net, record),
        "moved-route" => moved_route(trouble, net, record),
        "store-address" => store_address(trouble, net, record),
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
            seeds: (1..=3).map(|number| net.ip(1, number)).collect(),
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

/// The store is down for 4.5 s and leases run out meanwhile. Then two hosts and a balancer are added.
fn lapse(trouble: bool, net: Net, record: &Record) -> Outcome {
    let mut world = World::open(net, record)?;
    let target = world.target(8_443);
    world.store.configure(7, vec![route("r-board", target, BOARD)], &[BOARD]);
    for number in 1..=2 {
        world.add_balancer(number)?;
    }
    for number in 1..=3 {
        world.add_host(number, BOARD)?;
    }
    world.wait_for_rotation(2, Duration::from_secs(10))?;
    world.wait_until(3.0);
    world.open_flows(60, target)?;
    world.wait_until(20.0);
    world.client.request_within(Duration::from_secs(2));
    record.say(format!("store: lists {} nodes", world.store.keys("dogwoodpitch/nodes/").len()));
    if trouble {
        record.say("disruption: the store resets all calls for 4.5 s, and leases run out meanwhile");
        world.store.go_down_and_lapse(Duration::from_millis(4_500));
    }
    for second in [24.0, 26.0, 28.0] {
        world.wait_until(second);
        world.client.request_within(Duration::from_millis(1_500));
    }
    world.wait_until(29.5);
    record.say(format!("store: lists {} nodes", world.store.keys("dogwoodpitch/nodes/").len()));
    // The seeds of the new machines are stale: no machine has these addresses any more.
    world.seeds = (201..=203).map(|number| net.ip(1, number)).collect();
    record.say("planned work: two hosts and a balancer are added");
    world.add_host(4, BOARD)?;
    world.add_host(5, BOARD)?;
    world.add_balancer(3)?;
    for second in [31.0, 33.0, 35.0, 37.0, 39.0, 41.0] {
        world.wait_until(second);
        world.client.request_within(Duration::from_millis(1_500));
    }
    world.wait_until(44.0);
    Ok(world.judge_flows(0.0))
}

/// A write is not answered, and done some seconds later. A minute after, two hosts and a balancer are added.
fn late_put(trouble: bool, net: Net, record: &Record) -> Outcome {
    let mut world = World::open(net, record)?;
    let target = world.target(8_443);
    world.store.configure(7, vec![route("r-board", target, BOARD)], &[BOARD]);
    for number in 1..=2 {
        world.add_balancer(number)?;
    }
    world.add_host(1, BOARD)?;
    world.add_host(2, BOARD)?;
    world.wait_for_rotation(2, Duration::from_secs(10))?;
    world.wait_until(3.0);
    let late = net.ip(102, 3);
    if trouble {
        record.say("disruption: one write of the machine that is added now is done 5 s later and not answered");
        world.store.delay_next_write(late, Duration::from_secs(5));
    }
    world.add_host(3, BOARD)?;
    world.wait_until(10.0);
    for second in [12.0, 30.0, 50.0, 62.0] {
        world.wait_until(second);
        record.say(format!("store: lists {} nodes", world.store.keys("dogwoodpitch/nodes/").len()));
    }
    world.wait_until(64.0);
    world.open_flows(150, target)?;
    world.wait_until(67.5);
    world.client.request_within(Duration::from_millis(500));
    record.say(format!("store: lists {} nodes", world.store.keys("dogwoodpitch/nodes/").len()));
    world.seeds = (201..=203).map(|number| net.ip(1, number)).collect();
    world.wait_until(69.0);
    record.say("planned work: two hosts and a balancer are added");
    world.add_host(4, BOARD)?;
    world.add_host(5, BOARD)?;
    world.add_balancer(3)?;
    for second in [70.0, 70.7, 71.4, 72.0, 73.0, 74.0, 76.0, 78.0] {
        world.wait_until(second);
        world.client.request_within(Duration::from_millis(500));
    }
    world.wait_until(81.0);
    Ok(world.judge_flows(0.0))
}

/// The operator lets a route lead to another service, and later the processes beside the hosts are stopped and started in
/// turn. For comparison, MOVE=0 leaves the route where it is. With VARIANT=kill, all of them are killed at once instead.
fn moved_route(trouble: bool, net: Net, record: &Record) -> Outcome {
    let is_kill = std::env::var("VARIANT").is_ok_and(|value| value == "kill");
    let is_moved = std::env::var("MOVE").map_or(true, |value| value != "0");
    let mut world = World::open(net, record)?;
    let (feed, photos) = (world.target(8_443), world.target(8_444));
    let routes = |service| vec![route("r-feed", feed, service), route("r-photo", photos, DESK), route("r-board", world.target(8_080), BOARD)];
    let (before, after) = (routes(BOARD), routes(if is_moved { DESK } else { BOARD }));
    world.store.configure(7, before, &[BOARD, DESK]);
    for number in 1..=2 {
        world.add_balancer(number)?;
    }
    for number in 1..=3 {
        world.add_host(number, BOARD)?;
    }
    for number in 4..=6 {
        world.add_host(number, DESK)?;
    }
    world.wait_for_rotation(2, Duration::from_secs(10))?;
    world.wait_until(3.0);
    world.open_flows(if is_kill { 40 } else { 240 }, feed)?;
    world.wait_until(11.0);
    world.client.request_within(Duration::from_secs(1));
    world.wait_until(13.0);
    world.store.configure(9, after, &[BOARD, DESK]);
    world.wait_until(17.0);
    world.client.request_within(Duration::from_secs(1));
    world.wait_until(20.0);
    let struck_at = record.seconds();
    let agents = world.programs.values().filter(|program| program.ip.octets()[2] == 2);
    if is_kill {
        if trouble {
            record.say("disruption: the processes beside all hosts are killed, and started again after a short delay");
            agents.for_each(|program| program.signal(Signal::SIGKILL));
        }
        // All machines are in touch again 4 s after the start of the processes.
        world.wait_until(26.0);
        world.client.request_within(Duration::from_secs(2));
        world.wait_until(31.5);
        return Ok(world.judge_flows(struck_at + 4.5));
    }
    if trouble {
        record.say("planned work: the processes beside the hosts are stopped and started in turn");
    }
    for (step, program) in (0..).zip(agents) {
        let at = 20.0 + 1.6 * f64::from(step);
        world.wait_until(at);
        if trouble {
            program.signal(Signal::SIGTERM);
        }
        world.client.request_within(Duration::from_millis(1_500));
    }
    for second in [30.0, 32.0] {
        world.wait_until(second);
        world.client.request_within(Duration::from_millis(1_500));
    }
    world.wait_until(36.0);
    Ok(world.judge_flows(0.0))
}

/// The settings files change: the store has another address.
fn store_address(trouble: bool, net: Net, record: &Record) -> Outcome {
    let mut world = World::open(net, record)?;
    let (old, new) = (world.target(8_443), world.target(8_444));
    world.store.configure(7, vec![route("r-old", old, BOARD)], &[BOARD]);
    for number in 1..=2 {
        world.add_balancer(number)?;
    }
    for number in 1..=3 {
        world.add_host(number, BOARD)?;
    }
    world.wait_for_rotation(2, Duration::from_secs(10))?;
    world.wait_until(3.0);
    world.open_flows(10, old)?;
    world.wait_until(6.0);
    if trouble {
        record.say("disruption: the settings files name another address of the store, each process gets SIGHUP, and the old address is closed");
        for program in world.programs.values() {
            let [_, _, group, number] = program.ip.octets();
            let moved = net.ip(150 + group, number);
            let address = world.store.listen(moved, STORE_PORT).map_err(|error| error.to_string())?;
            let text = std::fs::read_to_string(&program.settings).map_err(|error| error.to_string())?;
            let mut settings: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
            settings["store"] = json!(address);
            std::fs::write(&program.settings, settings.to_string()).map_err(|error| error.to_string())?;
            program.signal(Signal::SIGHUP);
        }
        thread::sleep(Duration::from_secs(2));
        for program in world.programs.values() {
            let [_, _, group, number] = program.ip.octets();
            world.store.close(net.ip(100 + group, number));
        }
    }
    world.wait_until(20.0);
    world.store.configure(9, vec![route("r-new", new, BOARD)], &[BOARD]);
    // Past apply_ms and, for a core that is not stable, skew_max_ms.
    world.wait_until(40.0);
    let opened = |target: SocketAddrV4| {
        let ports: Vec<_> = (0..10).map(|_| world.client.open(target)).collect();
        thread::sleep(Duration::from_millis(2_500));
        let flows: BTreeMap<_, _> = world.client.flows().into_iter().collect();
        ports.iter().filter(|port| flows[port].answers > 0).count()
    };
    let (served_new, served_old) = (opened(new), opened(old));
    for (name, program) in &world.programs {
        for line in program.log_lines("settings.reloaded").iter().take(2) {
            record.line(format!("log of {name}: {line}"));
        }
    }
    record.say(format!("20 s after version 9: {served_new} of 10 requests on the added route and {served_old} of 10 on the dropped route were run"));
    Ok(served_new < 5 || served_old > 0)
}
