//! The scenarios.

use std::{
    fs,
    net::Ipv4Addr,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Record,
    backend::{self, Backend, Open},
    client::{self, Counts, Router},
    net::{Net, ROUTE, SERVICE, ZONE},
    program::Program,
    store::Store,
};

const BALANCERS: [u8; 2] = [1, 2];

/// A small deployment of stand-ins and programs.
struct World {
    net: Net,
    store: Store,
    balancers: Vec<Program>,
    agents: Vec<Program>,
    backends: Vec<Backend>,
    router: Router,
    open: Open,
    counts: Arc<Counts>,
    folder: Folder,
    record: Record,
}

/// Temporary folder, removed at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn play(name: &str, trouble: bool, record: &Record) -> Result<(), String> {
    record.line(&format!("scenario {name}, trouble {trouble}"));
    match name {
        "odd-report" => odd_report(trouble, record),
        _ => Err(format!("no scenario {name}")),
    }
}

impl World {
    /// Starts a store, the balancers and some backend servers with agents.
    fn start(agents: &[u8], record: &Record) -> Result<Self, String> {
        let net = Net::open()?;
        let folder = std::env::temp_dir().join(format!("review-standin-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::new(record);
        let balancers: Vec<_> = BALANCERS.iter().map(|number| net.ip(*number)).collect();
        let mut world = Self {
            router: Router::spawn(&net, &balancers, record),
            net,
            store,
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            open: Open::default(),
            counts: Arc::default(),
            folder: Folder(folder),
            record: record.clone(),
        };
        world.configure();
        for number in agents {
            world.add_backend(*number)?;
        }
        for ip in balancers {
            let program = world.start_program(ip, false)?;
            world.balancers.push(program);
        }
        Ok(world)
    }

    /// Writes a desired state as the operator does.
    fn configure(&self) {
        let route = json!({
            "name": "feed", "host": ROUTE.ip().to_string(), "prefix": format!("/{}/", ROUTE.port()), "service": SERVICE,
            "kind": "unsafe", "timeout_ms": 5_000, "slo_ms": 300, "priority": 1,
        });
        let services = [json!({ "name": SERVICE, "health_path": "/health" })];
        let limits = json!({ "idle_timeout_ms": 12_000 });
        let state = json!({ "version": 3, "routes": [route], "services": services, "limits": limits });
        self.store.put("op/config", &state);
    }

    fn start_program(&self, ip: Ipv4Addr, is_agent: bool) -> Result<Program, String> {
        let own = self.net.ip(150 + ip.octets()[3]);
        let store = self.store.listen(own, ip)?;
        let seeds = BALANCERS.map(|number| format!("{}:{}", self.net.ip(number), self.net.control()));
        Program::spawn(&self.net, ip, is_agent, store, &seeds, &self.folder.0, &self.record)
    }

    /// Adds a VM with a backend server and an agent.
    fn add_backend(&mut self, number: u8) -> Result<(), String> {
        let ip = self.net.ip(number);
        let program = self.start_program(ip, true)?;
        self.agents.push(program);
        self.backends
            .push(Backend::spawn(&self.net, ip, &self.open, &self.record)?);
        Ok(())
    }

    fn spawn_clients(&self, count: u8, flows: u16) -> Result<(), String> {
        for number in 0..count {
            client::spawn(
                &self.net,
                self.net.ip(100 + number),
                flows,
                &self.router,
                &self.open,
                &self.counts,
                &self.record,
            )?;
        }
        Ok(())
    }

    fn wait_until(&self, what: &str, limit: Duration, condition: impl Fn(&Self) -> bool) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() > end {
                return Err(format!("{what}: not within {limit:?}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(what);
        Ok(())
    }

    /// Number of open flows by backend server.
    fn holdings(&self) -> String {
        let open = self.open.lock().unwrap();
        let count = |backend: &Backend| open.values().filter(|ip| **ip == backend.ip).count();
        let told = self
            .backends
            .iter()
            .map(|backend| format!("{}: {}", backend.ip, count(backend)));
        told.collect::<Vec<_>>().join(", ")
    }

    fn finish(&self) -> Result<(), String> {
        let get = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
        let (answered, failed, resets) = (
            get(&self.counts.answered),
            get(&self.counts.failed),
            get(&self.counts.resets),
        );
        self.record.line(&format!("open flows: {}", self.holdings()));
        self.record
            .line(&format!("{answered} answered, {failed} failed, {resets} resets"));
        if answered == 0 {
            return Err("no request was answered".to_owned());
        }
        Ok(())
    }
}

/// A liveness report of another writer, with fields missing and of another type, reaches an agent.
fn odd_report(trouble: bool, record: &Record) -> Result<(), String> {
    const SECOND: Duration = Duration::from_secs(1);
    let world = World::start(&[11, 12, 13], record)?;
    world.wait_until("balancers in rotation", 15 * SECOND, |world| {
        world.router.len() == BALANCERS.len()
    })?;
    thread::sleep(2 * SECOND);
    world.spawn_clients(4, 10)?;
    thread::sleep(12 * SECOND);
    record.line(&format!("open flows: {}", world.holdings()));
    if trouble {
        let backend = &world.backends[0];
        // There is no `version`, and `zone` is a number.
        let mut odd = backend.report();
        odd.as_object_mut().expect("a report is an object").remove("version");
        odd["zone"] = json!(7);
        odd["seq"] = json!(1);
        odd["born"] = json!(backend::unix_ms());
        let status = backend.put("i-other", &odd);
        record.line(&format!("odd report {odd} in the zone {ZONE}: {status:?}"));
    }
    thread::sleep(8 * SECOND);
    record.line(&format!("open flows: {}", world.holdings()));
    world.finish()
}
