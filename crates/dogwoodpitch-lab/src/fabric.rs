//! Stand-in for the fabric that sprays packets over the balancers.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    rc::{Rc, Weak},
    str::FromStr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    protocol::proxy::{self, HEADER_LEN, Header},
    transport::{http, runtime, signal::Termination, time, udp::Socket},
};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use monoio::net::TcpListener;
use pico_args::Arguments;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Deserialize;

use crate::Outcome;

const HELP: &str = "\
Stand-in for the fabric: sprays the packets of callers over the balancers

Usage: dogwoodpitch-lab fabric --vip IP:PORT --balancer INGRESS_IP:PORT,HTTP_IP:PORT --control IP:PORT [OPTIONS]

Options:
  --vip IP:PORT            address of a service, repeatable
  --balancer IP:PORT,IP:PORT
                           ingress and HTTP address of a balancer, repeatable
  --control IP:PORT        HTTP control address
  --seed N                 seed of all random choices (default 1)
  --loss-percent P         share of lost packets in each direction (default 0)
  --delay-ms D             delay of each packet in each direction (default 0)
  --jitter-ms J            random part that is added to the delay (default 0)

Control:
  POST /balancers [{\"ingress\":\"IP:PORT\",\"http\":\"IP:PORT\"}]   sets the balancers
  POST /forget {\"percent\":P}   drops all packets of this share of the known caller addresses from now on
  GET /stats                   counts of packets
";

/// Time between looks at `/health`.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for `/health`. A frozen balancer accepts connections but does not answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Granularity of the delay line.
const TICK: Duration = Duration::from_millis(1);
/// Most packets in the delay line; 250,000 packets/s with 200 ms delay are 50,000.
const MAX_DELAYED: usize = 100_000;
/// Most caller addresses that are remembered for `/forget`.
const MAX_CALLERS: usize = 1_000_000;

#[derive(Debug)]
struct Options {
    vips: Vec<SocketAddrV4>,
    balancers: Vec<Member>,
    control: SocketAddr,
    seed: u64,
    loss_percent: f64,
    delay: Duration,
    jitter: Duration,
}

/// Addresses of a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
struct Member {
    ingress: SocketAddrV4,
    http: SocketAddr,
}

impl FromStr for Member {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected = || format!("{text:?}: expected INGRESS_IP:PORT,HTTP_IP:PORT");
        let (ingress, http) = text.split_once(',').ok_or_else(expected)?;
        Ok(Self {
            ingress: ingress.parse().map_err(|_invalid| expected())?,
            http: http.parse().map_err(|_invalid| expected())?,
        })
    }
}

/// Share of caller addresses to drop.
#[derive(Debug, Deserialize)]
struct Forget {
    percent: f64,
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let options = parse(&mut args).map_err(|error| error.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments {rest:?}"));
    }
    let mut runtime = runtime::open().map_err(|error| error.to_string())?;
    runtime.block_on(serve(options)).map_err(|error| error.to_string())
}

fn parse(args: &mut Arguments) -> Result<Options, pico_args::Error> {
    let millis = |value: Option<u64>| Duration::from_millis(value.unwrap_or(0));
    Ok(Options {
        vips: args.values_from_str("--vip")?,
        balancers: args.values_from_str("--balancer")?,
        control: args.value_from_str("--control")?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        loss_percent: args.opt_value_from_str("--loss-percent")?.unwrap_or(0.0),
        delay: millis(args.opt_value_from_str("--delay-ms")?),
        jitter: millis(args.opt_value_from_str("--jitter-ms")?),
    })
}

async fn serve(options: Options) -> io::Result<()> {
    let termination = Termination::open()?;
    let mut vips = HashMap::new();
    for &vip in &options.vips {
        vips.insert(vip, Rc::new(Socket::bind(vip)?));
    }
    let fabric = Rc::new(Fabric {
        core: Socket::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?,
        vips,
        balancers: RefCell::default(),
        callers: RefCell::default(),
        rng: RefCell::new(StdRng::seed_from_u64(options.seed)),
        line: RefCell::default(),
        packets_in: Cell::new(0),
        packets_out: Cell::new(0),
        loss: options.loss_percent / 100.0,
        delay: options.delay,
        jitter: options.jitter,
    });
    fabric.set_members(&options.balancers);
    for socket in fabric.vips.values() {
        monoio::spawn(from_callers(Rc::clone(&fabric), Rc::clone(socket)));
    }
    monoio::spawn(from_balancers(Rc::clone(&fabric)));
    if !(options.delay + options.jitter).is_zero() {
        monoio::spawn(run_line(Rc::clone(&fabric)));
    }
    let listener = TcpListener::bind(options.control)?;
    monoio::spawn(http::serve(listener, http::IDLE_TIMEOUT, move |_peer, request| {
        control(Rc::clone(&fabric), request)
    }));
    termination.requested().await;
    Ok(())
}

struct Fabric {
    /// Socket towards the balancers.
    core: Socket,
    vips: HashMap<SocketAddrV4, Rc<Socket>>,
    balancers: RefCell<Vec<Rc<Balancer>>>,
    /// Known caller addresses, and whether their packets are dropped.
    callers: RefCell<HashMap<SocketAddrV4, bool>>,
    rng: RefCell<StdRng>,
    line: RefCell<BinaryHeap<Reverse<Delayed>>>,
    packets_in: Cell<u64>,
    packets_out: Cell<u64>,
    loss: f64,
    delay: Duration,
    jitter: Duration,
}

struct Balancer {
    member: Member,
    healthy: Cell<bool>,
    packets: Cell<u64>,
}

/// A packet in the delay line, in the order of its due time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delayed {
    due: Instant,
    hop: Hop,
    bytes: Vec<u8>,
}

/// Next hop of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Hop {
    /// To a balancer, behind a PROXY protocol header.
    Balancer(SocketAddrV4),
    /// To a caller, from the address of a service.
    Caller { vip: SocketAddrV4, caller: SocketAddrV4 },
}

impl Fabric {
    fn set_members(self: &Rc<Self>, members: &[Member]) {
        let mut balancers = self.balancers.borrow_mut();
        balancers.retain(|balancer| members.contains(&balancer.member));
        for &member in members {
            if balancers.iter().any(|balancer| balancer.member == member) {
                continue;
            }
            let balancer = Rc::new(Balancer {
                member,
                healthy: Cell::new(false),
                packets: Cell::new(0),
            });
            monoio::spawn(check(Rc::clone(self), Rc::downgrade(&balancer)));
            balancers.push(balancer);
        }
    }

    /// A random healthy balancer.
    fn choose(&self) -> Option<SocketAddrV4> {
        let balancers = self.balancers.borrow();
        let healthy = || balancers.iter().filter(|balancer| balancer.healthy.get());
        let count = healthy().count();
        if count == 0 {
            return None;
        }
        let balancer = healthy().nth(self.rng.borrow_mut().random_range(0..count))?;
        balancer.packets.set(balancer.packets.get() + 1);
        Some(balancer.member.ingress)
    }

    fn caller_packet(&self, vip: SocketAddrV4, caller: SocketAddrV4, packet: &[u8]) {
        self.packets_in.set(self.packets_in.get() + 1);
        let mut callers = self.callers.borrow_mut();
        if callers.get(&caller) == Some(&true) {
            return;
        }
        if callers.len() < MAX_CALLERS {
            callers.entry(caller).or_insert(false);
        }
        drop(callers);
        let Some(balancer) = self.choose() else { return };
        let header = Header {
            source: caller,
            destination: vip,
        };
        self.pass(Hop::Balancer(balancer), &header.encode(), packet);
    }

    fn balancer_packet(&self, datagram: &[u8]) {
        let Some((header, packet)) = Header::decode(datagram) else {
            return;
        };
        let hop = Hop::Caller {
            vip: header.source,
            caller: header.destination,
        };
        self.pass(hop, &[], packet);
    }

    /// Loses or delays a packet, or sends it at once.
    fn pass(&self, hop: Hop, head: &[u8], packet: &[u8]) {
        let mut rng = self.rng.borrow_mut();
        if self.loss > 0.0 && rng.random::<f64>() < self.loss {
            return;
        }
        let delay = self.delay + self.jitter.mul_f64(rng.random());
        drop(rng);
        if delay.is_zero() {
            self.send(hop, head, packet);
            return;
        }
        let mut line = self.line.borrow_mut();
        if line.len() < MAX_DELAYED {
            line.push(Reverse(Delayed {
                due: Instant::now() + delay,
                hop,
                bytes: [head, packet].concat(),
            }));
        }
    }

    fn send(&self, hop: Hop, head: &[u8], packet: &[u8]) {
        match hop {
            Hop::Balancer(balancer) => self.core.send(balancer, head, packet),
            Hop::Caller { vip, caller } => {
                if self.callers.borrow().get(&caller) == Some(&true) {
                    return;
                }
                let Some(socket) = self.vips.get(&vip) else { return };
                self.packets_out.set(self.packets_out.get() + 1);
                socket.send(caller, head, packet);
            }
        }
    }

    fn flush(&self) {
        self.core.flush();
        self.vips.values().for_each(|socket| socket.flush());
    }

    /// Drops a share of the known caller addresses from now on. Returns their number.
    fn forget(&self, percent: f64) -> usize {
        let mut callers = self.callers.borrow_mut();
        let mut known: Vec<_> = callers.iter_mut().filter(|(_, dropped)| !**dropped).collect();
        // The order of a hash map differs between runs; the seed shall decide alone.
        known.sort_unstable_by_key(|(caller, _)| **caller);
        let mut rng = self.rng.borrow_mut();
        let mut count = 0;
        let total = known.len();
        while !known.is_empty() && share(count, total) < percent {
            let (_, dropped) = known.swap_remove(rng.random_range(0..known.len()));
            *dropped = true;
            count += 1;
        }
        count
    }

    fn stats(&self) -> serde_json::Value {
        let balancers = self.balancers.borrow();
        let per_balancer: BTreeMap<_, _> = balancers
            .iter()
            .map(|balancer| (balancer.member.ingress.to_string(), balancer.packets.get()))
            .collect();
        serde_json::json!({
            "packets_in": self.packets_in.get(),
            "packets_out": self.packets_out.get(),
            "per_balancer": per_balancer,
        })
    }
}

/// Share of `count` in `total` in percent.
fn share(count: usize, total: usize) -> f64 {
    let float = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    100.0 * float(count) / float(total.max(1))
}

/// Keeps the health of a balancer current, and makes this fabric's address known to it, until it is removed.
async fn check(fabric: Rc<Fabric>, balancer: Weak<Balancer>) {
    while let Some(balancer) = balancer.upgrade() {
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let request = Request::get("/health").body(Full::new(Bytes::new()));
        let request = request.expect("a constant request is valid");
        let status = http::call(balancer.member.http, deadline, request).await;
        balancer.healthy.set(matches!(status, Ok((StatusCode::OK, _))));
        fabric.core.send(balancer.member.ingress, &proxy::LOCAL_HEADER, &[]);
        fabric.core.flush();
        drop(balancer);
        time::sleep_until(Instant::now() + CHECK_INTERVAL).await;
    }
}

async fn from_callers(fabric: Rc<Fabric>, socket: Rc<Socket>) {
    let vip = socket.local();
    loop {
        let batch = socket.recv(|caller, packet| fabric.caller_packet(vip, caller, packet));
        if let Err(error) = batch.await {
            eprintln!("dogwoodpitch-lab fabric: receive at {vip}: {error}");
            return;
        }
        fabric.core.flush();
    }
}

async fn from_balancers(fabric: Rc<Fabric>) {
    loop {
        if let Err(error) = fabric
            .core
            .recv(|_balancer, datagram| fabric.balancer_packet(datagram))
            .await
        {
            eprintln!("dogwoodpitch-lab fabric: receive from balancers: {error}");
            return;
        }
        fabric.flush();
    }
}

async fn run_line(fabric: Rc<Fabric>) {
    loop {
        time::sleep_until(Instant::now() + TICK).await;
        let now = Instant::now();
        loop {
            let mut line = fabric.line.borrow_mut();
            if line.peek().is_none_or(|Reverse(first)| first.due > now) {
                break;
            }
            let Some(Reverse(Delayed { hop, bytes, .. })) = line.pop() else {
                break;
            };
            drop(line);
            let head = if matches!(hop, Hop::Balancer(_)) { HEADER_LEN } else { 0 };
            let (head, packet) = bytes.split_at(head);
            fabric.send(hop, head, packet);
        }
        fabric.flush();
    }
}

async fn control(fabric: Rc<Fabric>, request: Request<Incoming>) -> Response<http::Body> {
    let (parts, body) = request.into_parts();
    let body = match http::read_body(body, Instant::now() + http::IDLE_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return refuse(&error),
    };
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/stats") => http::json_response(StatusCode::OK, &fabric.stats()),
        (&Method::POST, "/balancers") => match serde_json::from_slice::<Vec<Member>>(&body) {
            Ok(members) => {
                fabric.set_members(&members);
                http::json_response(StatusCode::OK, &serde_json::json!({ "balancers": members.len() }))
            }
            Err(error) => refuse(&error),
        },
        (&Method::POST, "/forget") => match serde_json::from_slice::<Forget>(&body) {
            Ok(forget) => {
                let count = fabric.forget(forget.percent);
                http::json_response(StatusCode::OK, &serde_json::json!({ "forgotten": count }))
            }
            Err(error) => refuse(&error),
        },
        _ => http::response(StatusCode::NOT_FOUND, "text/plain", "not found"),
    }
}

fn refuse(error: &impl ToString) -> Response<http::Body> {
    http::response(StatusCode::BAD_REQUEST, "text/plain", error.to_string())
}
