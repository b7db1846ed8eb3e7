//! Starts the daemons and the stand-ins on loopback addresses, and ends them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use dogwoodpitch::transport::{http, runtime, signal::Termination, time};
use http_body_util::Full;
use hyper::{Method, Request};
use nix::{
    sys::{prctl, signal},
    unistd::Pid,
};
use rand::RngExt;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Names of the daemons' packages and binaries.
const BALANCER: &str = "dogwoodpitch-balancer";
const AGENT: &str = "dogwoodpitch-agent";
const CTL: &str = "dogwoodpitchctl";
/// Ports are taken below the range from which the kernel gives ports to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Longest wait for a process to answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for one call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest run of `dogwoodpitchctl`.
const CTL_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Lines of each log that are printed after a failure.
const TAIL_LINES: usize = 25;
/// Data centres of the nodes, in turn.
const DATA_CENTRES: [&str; 3] = ["peristeri", "egaleo", "rentis"];

/// What to start.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Name of each service and number of its backend servers.
    pub(crate) services: Vec<(&'static str, usize)>,
    /// Number of balancers.
    pub(crate) balancers: usize,
    /// Slots of each backend server.
    pub(crate) slots: u16,
    /// Placement policy of the agents.
    pub(crate) policy: String,
    /// Seed of the stand-ins.
    pub(crate) seed: u64,
    /// Further arguments of the backend servers.
    pub(crate) backend: Vec<String>,
    /// Further arguments of the fabric.
    pub(crate) fabric: Vec<String>,
    /// Where the logs are kept.
    pub(crate) keep_logs: Option<PathBuf>,
}

/// A running process; it is killed and waited for when dropped.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A balancer.
#[derive(Debug, Clone)]
pub(crate) struct Balancer {
    pub(crate) name: String,
    pub(crate) ingress: SocketAddrV4,
    pub(crate) http: SocketAddr,
    datagram: SocketAddrV4,
    peer: SocketAddr,
}

/// A backend server with its agent.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) service: usize,
    /// Node name of the agent.
    pub(crate) agent: String,
    /// Name of the backend server's process.
    pub(crate) backend: String,
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Address of the agent's HTTP endpoints.
    pub(crate) http: SocketAddr,
    datagram: SocketAddrV4,
    peer: SocketAddr,
}

/// A service.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
    /// Certificate in PEM that callers trust.
    pub(crate) roots: String,
    key: String,
}

/// Result of a `dogwoodpitchctl` command.
#[derive(Debug)]
pub(crate) struct Ctl {
    /// Exit code, -1 if a signal ended it.
    pub(crate) code: i32,
    /// Its JSON output, or null.
    pub(crate) json: Value,
    /// Its error output.
    pub(crate) text: String,
}

/// Daemons and stand-ins of one run.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) plan: Plan,
    pub(crate) services: Vec<Service>,
    pub(crate) balancers: RefCell<Vec<Balancer>>,
    pub(crate) hosts: RefCell<Vec<Host>>,
    pub(crate) store: SocketAddr,
    pub(crate) fabric: SocketAddr,
    keys: Value,
    token: String,
    reset: String,
    binaries: Binaries,
    feed_epoch_ms: u128,
    port: Cell<u16>,
    /// Declared before the folder, so that processes end before their files are deleted.
    processes: RefCell<BTreeMap<String, Process>>,
    folder: TempDir,
}

#[derive(Debug)]
struct Binaries {
    balancer: PathBuf,
    agent: PathBuf,
    ctl: PathBuf,
    lab: PathBuf,
}

/// Runs a task on a new runtime until it ends or SIGINT or SIGTERM arrives.
pub(crate) fn run<T>(task: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let termination = Termination::open().map_err(|error| format!("cannot handle signals: {error}"))?;
    let mut runtime = runtime::open().map_err(|error| format!("cannot start the runtime: {error}"))?;
    runtime.block_on(async {
        monoio::select! {
            result = task => result,
            () = termination.requested() => Err("stopped by a signal".to_owned()),
        }
    })
}

/// Waits until a condition holds.
pub(crate) async fn until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    condition: impl Fn() -> F,
) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    while !condition().await {
        if Instant::now() >= deadline {
            return Err(format!("{what}: not within {} s", limit.as_secs()));
        }
        sleep(POLL_INTERVAL * 4).await;
    }
    Ok(())
}

/// Waits for a time.
pub(crate) async fn sleep(duration: Duration) {
    time::sleep_until(Instant::now() + duration).await;
}

impl Cluster {
    /// Starts everything and sets services, labels and selectors.
    pub(crate) async fn start(plan: Plan) -> Result<Self, String> {
        let cluster = Self::prepare(plan)?;
        match cluster.bring_up().await {
            Ok(()) => Ok(cluster),
            Err(error) => Err(cluster.explain(error)),
        }
    }

    fn prepare(plan: Plan) -> Result<Self, String> {
        let binaries = Binaries::find()?;
        let folder = TempDir::with_prefix("dogwoodpitch-lab-").map_err(|error| format!("temporary folder: {error}"))?;
        let mut random = rand::rng();
        let mut secret = |len: usize| {
            let bytes: Vec<u8> = (0..len).map(|_| random.random()).collect();
            STANDARD.encode(bytes)
        };
        let keys = json!({
            "connection_id": [{ "epoch": 1, "secret": secret(16) }],
            "frame": secret(16),
            "cluster": secret(32),
        });
        let (token, reset) = (secret(32), secret(32));
        let port = Cell::new(random.random_range(PORTS));
        let store = free_port(&port)?.into();
        let fabric = free_port(&port)?.into();
        let mut services = Vec::new();
        for (name, _) in &plan.services {
            let certificate = rcgen::generate_simple_self_signed(vec![(*name).to_owned()])
                .map_err(|error| format!("certificate of {name}: {error}"))?;
            services.push(Service {
                name: (*name).to_owned(),
                address: free_port(&port)?,
                roots: certificate.cert.pem(),
                key: certificate.signing_key.serialize_pem(),
            });
        }
        let cluster = Self {
            services,
            balancers: RefCell::default(),
            hosts: RefCell::default(),
            store,
            fabric,
            keys,
            token,
            reset,
            binaries,
            feed_epoch_ms: unix_ms(),
            port,
            processes: RefCell::default(),
            folder,
            plan,
        };
        for _ in 0..cluster.plan.balancers {
            cluster.add_balancer()?;
        }
        let servers = cluster.plan.services.clone();
        for (service, (_, count)) in servers.iter().enumerate() {
            for _ in 0..*count {
                cluster.add_host(service)?;
            }
        }
        Ok(cluster)
    }

    async fn bring_up(&self) -> Result<(), String> {
        self.start_store()?;
        self.answers(self.store).await?;
        self.start_fabric()?;
        self.answers(self.fabric).await?;
        for balancer in &*self.balancers.borrow() {
            self.start_balancer(balancer)?;
        }
        let hosts = self.hosts.borrow().clone();
        for host in &hosts {
            self.start_backend(host)?;
        }
        for host in &hosts {
            self.answers(host.address).await?;
            self.start_agent(host)?;
        }
        let nodes: Vec<_> = {
            let balancers = self.balancers.borrow();
            balancers
                .iter()
                .map(|b| b.http)
                .chain(hosts.iter().map(|h| h.http))
                .collect()
        };
        for http in nodes {
            self.status_answers(http).await?;
        }
        let mut revision = 0;
        for service in &self.services {
            let address = service.address.to_string();
            revision = self
                .change(&["service", "apply", &service.name, "--address", &address])
                .await?;
        }
        let hosts = self.hosts.borrow().clone();
        for host in &hosts {
            revision = self.label(host).await?;
        }
        for service in &self.services {
            let selector = format!("service={}", service.name);
            revision = self.change(&["selector", "set", &service.name, &selector]).await?;
        }
        self.wait(revision).await
    }

    /// Start of the feeds in milliseconds since the Unix epoch.
    pub(crate) fn feed_epoch_ms(&self) -> u128 {
        self.feed_epoch_ms
    }

    /// Sets the label by which a host is selected.
    pub(crate) async fn label(&self, host: &Host) -> Result<u64, String> {
        let label = format!("service={}", self.services[host.service].name);
        self.change(&["label", "set", &host.agent, &label]).await
    }

    /// Waits with `dogwoodpitchctl` until a revision is in force on all nodes.
    pub(crate) async fn wait(&self, revision: u64) -> Result<(), String> {
        let revision = revision.to_string();
        let done = self
            .ctl(&["wait", "--revision", &revision, "--timeout-s", "30"])
            .await?;
        match done.code {
            0 => Ok(()),
            code => Err(format!(
                "dogwoodpitchctl wait --revision {revision}: exit code {code}: {}",
                done.text
            )),
        }
    }

    /// Makes a change that must be accepted, and gives its revision.
    pub(crate) async fn change(&self, args: &[&str]) -> Result<u64, String> {
        let done = self.ctl(args).await?;
        done.json["revision"]
            .as_u64()
            .filter(|_| done.code == 0)
            .ok_or_else(|| {
                format!(
                    "dogwoodpitchctl {}: exit code {}: {}",
                    args.join(" "),
                    done.code,
                    done.text
                )
            })
    }

    /// Runs `dogwoodpitchctl`.
    pub(crate) async fn ctl(&self, args: &[&str]) -> Result<Ctl, String> {
        let mut command = Command::new(&self.binaries.ctl);
        command
            .args(["--store", &format!("http://{}", self.store), "--json"])
            .args(args);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut process = Process(spawn(&mut command)?);
        let deadline = Instant::now() + CTL_TIMEOUT;
        let status = loop {
            if let Some(status) = process.0.try_wait().map_err(|error| error.to_string())? {
                break status;
            }
            if Instant::now() >= deadline {
                return Err(format!("dogwoodpitchctl {}: does not end", args.join(" ")));
            }
            sleep(POLL_INTERVAL).await;
        };
        let text = process.0.stderr.take().map(io::read_to_string);
        let output = process.0.stdout.take().map(io::read_to_string);
        let output = output.and_then(Result::ok).unwrap_or_default();
        Ok(Ctl {
            code: status.code().unwrap_or(-1),
            json: serde_json::from_str(output.trim()).unwrap_or_default(),
            text: text.and_then(Result::ok).unwrap_or_default().trim().to_owned(),
        })
    }

    /// Adds a balancer to the plan, without starting it.
    pub(crate) fn add_balancer(&self) -> Result<Balancer, String> {
        let balancer = Balancer {
            name: format!("balancer-{}", self.balancers.borrow().len() + 1),
            ingress: free_port(&self.port)?,
            http: free_port(&self.port)?.into(),
            datagram: free_port(&self.port)?,
            peer: free_port(&self.port)?.into(),
        };
        self.balancers.borrow_mut().push(balancer.clone());
        Ok(balancer)
    }

    /// Adds a backend server with its agent to the plan, without starting them.
    pub(crate) fn add_host(&self, service: usize) -> Result<Host, String> {
        let number = self
            .hosts
            .borrow()
            .iter()
            .filter(|host| host.service == service)
            .count()
            + 1;
        let name = &self.services[service].name;
        let host = Host {
            service,
            agent: format!("{name}-agent-{number}"),
            backend: format!("{name}-backend-{number}"),
            address: free_port(&self.port)?.into(),
            http: free_port(&self.port)?.into(),
            datagram: free_port(&self.port)?,
            peer: free_port(&self.port)?.into(),
        };
        self.hosts.borrow_mut().push(host.clone());
        Ok(host)
    }

    fn start_store(&self) -> Result<(), String> {
        self.start_lab(
            "store",
            &["store".to_owned(), "--listen".to_owned(), self.store.to_string()],
        )
    }

    fn start_fabric(&self) -> Result<(), String> {
        let mut args = vec!["fabric".to_owned(), "--control".to_owned(), self.fabric.to_string()];
        args.extend(["--seed".to_owned(), self.plan.seed.to_string()]);
        for service in &self.services {
            args.extend(["--vip".to_owned(), service.address.to_string()]);
        }
        for balancer in &*self.balancers.borrow() {
            args.extend([
                "--balancer".to_owned(),
                format!("{},{}", balancer.ingress, balancer.http),
            ]);
        }
        args.extend(self.plan.fabric.iter().cloned());
        self.start_lab("fabric", &args)
    }

    /// Starts the backend server of a host.
    pub(crate) fn start_backend(&self, host: &Host) -> Result<(), String> {
        let mut args = vec!["backend".to_owned()];
        let mut option = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        option("listen", host.address.to_string());
        option("service", self.services[host.service].name.clone());
        option("slots", self.plan.slots.to_string());
        option("connections", "2000".to_owned());
        option("feed-epoch-ms", self.feed_epoch_ms.to_string());
        option("seed", self.plan.seed.to_string());
        args.extend(self.plan.backend.iter().cloned());
        self.start_lab(&host.backend, &args)
    }

    /// Starts the agent of a host.
    pub(crate) fn start_agent(&self, host: &Host) -> Result<(), String> {
        let service = &self.services[host.service];
        let settings = json!({
            "node": self.node(&host.agent, host.datagram, host.peer, host.http),
            "backend": { "address": host.address, "slots": self.plan.slots, "connections": 2000 },
            "certificates": [{ "service": service.name, "certificate": service.roots, "key": service.key }],
            "token": self.token,
            "reset": self.reset,
            "policy": self.plan.policy,
        });
        self.start_daemon(&self.binaries.agent, &host.agent, &settings)
    }

    /// Starts a balancer.
    pub(crate) fn start_balancer(&self, balancer: &Balancer) -> Result<(), String> {
        let settings = json!({
            "node": self.node(&balancer.name, balancer.datagram, balancer.peer, balancer.http),
            "ingress": balancer.ingress,
        });
        self.start_daemon(&self.binaries.balancer, &balancer.name, &settings)
    }

    fn node(&self, name: &str, datagram: SocketAddrV4, peer: SocketAddr, http: SocketAddr) -> Value {
        let number = usize::from(datagram.port());
        let balancers = self.balancers.borrow();
        let seeds: Vec<_> = balancers.iter().map(|b| b.peer).filter(|seed| *seed != peer).collect();
        json!({
            "name": name,
            "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
            "datagram": datagram,
            "peer": peer,
            "http": http,
            "store": [self.store],
            "seeds": seeds,
            "keys": self.keys,
            "stop_timeout_ms": 15_000,
        })
    }

    fn start_daemon(&self, binary: &Path, name: &str, settings: &Value) -> Result<(), String> {
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut command = Command::new(binary);
        command.arg("--settings").arg(&path);
        self.start_logged(name, &mut command)
    }

    fn start_lab(&self, name: &str, args: &[String]) -> Result<(), String> {
        let mut command = Command::new(&self.binaries.lab);
        command.args(args);
        self.start_logged(name, &mut command)
    }

    fn start_logged(&self, name: &str, command: &mut Command) -> Result<(), String> {
        let path = self.log(name);
        let file = File::options().create(true).append(true).open(&path);
        let file = file.map_err(|error| format!("{}: {error}", path.display()))?;
        let second = file.try_clone().map_err(|error| error.to_string())?;
        command.stdin(Stdio::null()).stdout(file).stderr(second);
        let process = Process(spawn(command)?);
        self.processes.borrow_mut().insert(name.to_owned(), process);
        Ok(())
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: signal::Signal) -> Result<(), String> {
        let processes = self.processes.borrow();
        let process = processes.get(name).ok_or_else(|| format!("no process {name}"))?;
        let pid = i32::try_from(process.0.id()).map_err(|error| error.to_string())?;
        signal::kill(Pid::from_raw(pid), signal).map_err(|error| format!("signal to {name}: {error}"))
    }

    /// Lets the lease of a node's announcement expire. Returns whether it had one.
    pub(crate) async fn expire_lease(&self, node: &str) -> Result<bool, String> {
        let key = Bytes::from(format!("dogwoodpitch/nodes/{node}"));
        let request = Request::builder().method(Method::POST).uri("/lab/expire");
        let request = request.body(Full::new(key)).map_err(|error| error.to_string())?;
        let answer = http::call(self.store, Instant::now() + CALL_TIMEOUT, request).await;
        let (_, body) = answer.map_err(|error| format!("/lab/expire: {error}"))?;
        serde_json::from_slice(&body).map_err(|error| format!("/lab/expire: {error}"))
    }

    /// Process ID of a process.
    pub(crate) fn pid(&self, name: &str) -> Result<String, String> {
        let processes = self.processes.borrow();
        let process = processes.get(name).ok_or_else(|| format!("no process {name}"))?;
        Ok(process.0.id().to_string())
    }

    /// Kills a process at once.
    pub(crate) fn kill(&self, name: &str) {
        self.processes.borrow_mut().remove(name);
    }

    /// Waits for the end of a process.
    pub(crate) async fn ended(&self, name: &str, limit: Duration) -> Result<ExitStatus, String> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let status = match self.processes.borrow_mut().get_mut(name) {
                Some(process) => process.0.try_wait().map_err(|error| error.to_string())?,
                None => return Err(format!("no process {name}")),
            };
            if let Some(status) = status {
                return Ok(status);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(format!("{name} does not end within {} s", limit.as_secs()))
    }

    /// Names of processes that have ended without being asked to.
    pub(crate) fn dead(&self) -> Vec<String> {
        let mut processes = self.processes.borrow_mut();
        let ended = processes.iter_mut().filter_map(|(name, process)| {
            let status = process.0.try_wait().ok().flatten()?;
            Some(format!("{name} ({status})"))
        });
        ended.collect()
    }

    /// Waits until a TCP address accepts.
    pub(crate) async fn answers(&self, address: SocketAddr) -> Result<(), String> {
        until(&format!("{address} accepts"), START_TIMEOUT, || async move {
            monoio::net::TcpStream::connect(address).await.is_ok()
        })
        .await
    }

    /// Waits until a daemon serves `/status`.
    pub(crate) async fn status_answers(&self, http: SocketAddr) -> Result<(), String> {
        until(&format!("{http} gives its status"), START_TIMEOUT, || async move {
            get(http, "/status").await.is_ok()
        })
        .await
    }

    /// Adds the ends of all logs to an error, and keeps the logs if that is wanted.
    pub(crate) fn explain(&self, mut error: String) -> String {
        let _ = self.keep_logs();
        let mut logs: Vec<_> = fs::read_dir(self.folder.path())
            .map(|entries| entries.flatten().map(|entry| entry.path()).collect())
            .unwrap_or_default();
        logs.retain(|path: &PathBuf| path.extension().is_some_and(|extension| extension == "log"));
        logs.sort();
        for path in logs {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<_> = text.lines().collect();
            let _ = write!(error, "\n--- {}", path.file_name().unwrap_or_default().display());
            for line in &lines[lines.len().saturating_sub(TAIL_LINES)..] {
                let _ = write!(error, "\n{line}");
            }
        }
        for name in self.dead() {
            let _ = write!(error, "\nended: {name}");
        }
        error
    }

    /// Copies the logs to the folder that the command line names.
    pub(crate) fn keep_logs(&self) -> io::Result<()> {
        let Some(target) = &self.plan.keep_logs else {
            return Ok(());
        };
        fs::create_dir_all(target)?;
        for entry in fs::read_dir(self.folder.path())? {
            let path = entry?.path();
            if let (Some(name), Some("log")) = (path.file_name(), path.extension().and_then(|e| e.to_str())) {
                fs::copy(&path, target.join(name))?;
            }
        }
        Ok(())
    }
}

impl Binaries {
    /// Builds the daemons when run through cargo; otherwise takes them from the folder of this program.
    fn find() -> Result<Self, String> {
        let lab = std::env::current_exe().map_err(|error| format!("own path: {error}"))?;
        let folder = lab.parent().ok_or("own path has no folder")?;
        let mut binaries = Self {
            balancer: folder.join(BALANCER),
            agent: folder.join(AGENT),
            ctl: folder.join(CTL),
            lab: lab.clone(),
        };
        if let Some(cargo) = std::env::var_os("CARGO") {
            let mut built = build(&cargo)?;
            let mut take = |name: &str| {
                built
                    .remove(name)
                    .ok_or_else(|| format!("cargo build names no binary of {name}"))
            };
            binaries.balancer = take(BALANCER)?;
            binaries.agent = take(AGENT)?;
            binaries.ctl = take(CTL)?;
        }
        for path in [&binaries.balancer, &binaries.agent, &binaries.ctl] {
            if !path.exists() {
                return Err(format!("{} does not exist; build the workspace first", path.display()));
            }
        }
        Ok(binaries)
    }
}

/// Builds the daemons and gives the paths of their binaries. One call for all and the lab itself, since each choice of
/// packages has its own features of dependencies and would compile them again.
fn build(cargo: &std::ffi::OsStr) -> Result<BTreeMap<String, PathBuf>, String> {
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--release",
        "-q",
        "--message-format",
        "json-render-diagnostics",
    ]);
    for package in [BALANCER, AGENT, CTL, env!("CARGO_PKG_NAME")] {
        command.args(["-p", package]);
    }
    // Build scripts of dependencies depend on these variables, so with those of this program they would run again.
    for (name, _) in std::env::vars_os() {
        if ["CARGO_PKG_", "CARGO_MANIFEST_"]
            .iter()
            .any(|prefix| name.as_encoded_bytes().starts_with(prefix.as_bytes()))
        {
            command.env_remove(name);
        }
    }
    let output = command
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output()
        .map_err(|error| format!("cannot run cargo: {error}"))?;
    if !output.status.success() {
        return Err(format!("cargo build: {}", output.status));
    }
    let messages = String::from_utf8_lossy(&output.stdout);
    let messages = messages
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let binaries = messages.filter_map(|message| {
        let name = message["target"]["name"].as_str()?.to_owned();
        Some((name, PathBuf::from(message["executable"].as_str()?)))
    });
    Ok(binaries.collect())
}

/// Starts a process that ends with this one.
fn spawn(command: &mut Command) -> Result<Child, String> {
    let die_with_parent = || prctl::set_pdeathsig(signal::Signal::SIGKILL).map_err(io::Error::from);
    #[expect(unsafe_code, reason = "the death signal must be set in the child")]
    // SAFETY: the closure only makes one system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(die_with_parent);
    }
    let program = command.get_program().display().to_string();
    command
        .spawn()
        .map_err(|error| format!("cannot start {program}: {error}"))
}

/// Takes a port that is free for TCP and UDP.
fn free_port(next: &Cell<u16>) -> Result<SocketAddrV4, String> {
    for _ in PORTS {
        let port = next.get();
        next.set(if port + 1 < PORTS.end { port + 1 } else { PORTS.start });
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".to_owned())
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Gets a text from a process.
pub(crate) async fn get_text(address: SocketAddr, path: &str) -> Result<String, String> {
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Gets a JSON value from a process.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    serde_json::from_slice(&body).map_err(|error| format!("http://{address}{path}: {error}"))
}

/// Posts a JSON value to a process.
pub(crate) async fn post(address: SocketAddr, path: &str, value: &Value) -> Result<(), String> {
    let body = call(address, Method::POST, path, value.to_string().into()).await?;
    drop(body);
    Ok(())
}

async fn call(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    let answer = http::call(address, Instant::now() + CALL_TIMEOUT, request).await;
    let (status, body) = answer.map_err(|error| error.to_string())?;
    if status.is_success() {
        return Ok(body);
    }
    Err(format!(
        "http://{address}{path}: {status}: {}",
        String::from_utf8_lossy(&body)
    ))
}
