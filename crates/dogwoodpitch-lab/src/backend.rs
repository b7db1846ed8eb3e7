//! Stand-in for a backend server.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    fmt::Write,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use dogwoodpitch::transport::{
    http::{self, Body},
    runtime,
    signal::Termination,
    time,
};
use http_body_util::{BodyExt, channel::Channel};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use monoio::net::TcpListener;
use pico_args::Arguments;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::Outcome;

const HELP: &str = "\
Stand-in for a backend server

Usage: dogwoodpitch-lab backend --listen IP:PORT --service NAME --slots N --connections N [OPTIONS]

Options:
  --work-ms N            mean time of a request in its slot (default 20)
  --upload-mib-s N       rate at which an upload is read (default 0: unlimited)
  --feed-epoch-ms MS     Unix time of feed position 0, where ?position=0 starts; without it, the feed began on 2025-01-01
                         and ?position=0 starts now
  --feed-interval-ms N   time between two feed events (default 1000)
  --load-lag-ms N        delay of the answers of /health and /load (default 0)
  --seed N               seed of the times of requests (default 0)
";

/// Start of 2025, so that servers of one service that are started without an epoch have the same feed.
const DEFAULT_EPOCH_MS: u64 = 1_735_689_600_000;
/// Factor of request times under the fault `slow`.
const SLOW_FACTOR: f64 = 10.0;

struct Options {
    service: String,
    slots: usize,
    connections: usize,
    work: Duration,
    upload_bytes_per_s: f64,
    feed_epoch_ms: Option<u64>,
    feed_interval_ms: u64,
    lag: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Fault {
    None,
    Errors,
    Slow,
}

/// One execution of a request or an upload.
#[derive(Debug, Clone, Serialize)]
struct Execution {
    id: String,
    kind: &'static str,
    started_ms: u64,
    finished_ms: Option<u64>,
    /// Whether it ran to its end and was answered with success.
    completed: bool,
    /// Whether the connection was closed before its end.
    cancelled: bool,
    /// Time from the start of the drain to the start of the execution, if it started in a drain.
    after_drain_ms: Option<u64>,
}

/// State as `/health` and `/load` show it.
#[derive(Debug, Clone, Copy, Default)]
struct Shown {
    draining: bool,
    busy: usize,
    connections: usize,
}

struct Server {
    options: Options,
    random: RefCell<StdRng>,
    now: Cell<Shown>,
    /// Former states with their end, as far back as the lag reaches.
    past: RefCell<VecDeque<(Instant, Shown)>>,
    drained_ms: Cell<Option<u64>>,
    fault: Cell<Fault>,
    executions: RefCell<Vec<Execution>>,
    slot_ms: Cell<u64>,
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let (listen, server) = parse(&mut args).map_err(|error| error.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments {rest:?}; see --help"));
    }
    let mut runtime = runtime::open().map_err(|error| error.to_string())?;
    runtime
        .block_on(serve(listen, server))
        .map_err(|error| error.to_string())
}

fn parse(args: &mut Arguments) -> Result<(SocketAddr, Server), pico_args::Error> {
    let listen = args.value_from_str("--listen")?;
    let options = Options {
        service: args.value_from_str("--service")?,
        slots: args.value_from_str("--slots")?,
        connections: args.value_from_str("--connections")?,
        work: Duration::from_millis(args.opt_value_from_str("--work-ms")?.unwrap_or(20)),
        upload_bytes_per_s: args.opt_value_from_str("--upload-mib-s")?.unwrap_or(0.0) * 1024.0 * 1024.0,
        feed_epoch_ms: args.opt_value_from_str("--feed-epoch-ms")?,
        feed_interval_ms: args
            .opt_value_from_str("--feed-interval-ms")?
            .unwrap_or(1000_u64)
            .max(1),
        lag: Duration::from_millis(args.opt_value_from_str("--load-lag-ms")?.unwrap_or(0)),
    };
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(0);
    let server = Server {
        options,
        random: RefCell::new(StdRng::seed_from_u64(seed)),
        now: Cell::default(),
        past: RefCell::default(),
        drained_ms: Cell::default(),
        fault: Cell::new(Fault::None),
        executions: RefCell::default(),
        slot_ms: Cell::default(),
    };
    Ok((listen, server))
}

async fn serve(listen: SocketAddr, server: Server) -> io::Result<()> {
    let termination = Termination::open()?;
    let listener = TcpListener::bind(listen)?;
    let server = Rc::new(server);
    monoio::spawn(http::serve(listener, http::IDLE_TIMEOUT, move |_peer, request| {
        answer(Rc::clone(&server), request)
    }));
    termination.requested().await;
    Ok(())
}

async fn answer(server: Rc<Server>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), &parts[..]) {
        (&Method::POST, ["requests", id]) => work(server, "request", id, request).await,
        (&Method::PUT, ["uploads", id]) => work(server, "upload", id, request).await,
        (&Method::GET, ["feed"]) => feed(&server, &request),
        (&Method::GET, ["health"]) => {
            let status = if server.shown().draining { "draining" } else { "ok" };
            http::json_response(StatusCode::OK, &json!({"status": status}))
        }
        (&Method::GET, ["load"]) => {
            let shown = server.shown();
            let load = json!({
                "slots_total": server.options.slots,
                "slots_busy": shown.busy,
                "connections": shown.connections,
            });
            http::json_response(StatusCode::OK, &load)
        }
        (&Method::GET, ["lab", "record"]) => http::json_response(StatusCode::OK, &server.record()),
        (&Method::POST, ["lab", "drain"]) => control(request, |drain: Drain| server.drain(drain.draining)).await,
        (&Method::POST, ["lab", "fault"]) => control(request, |set: SetFault| server.fault.set(set.kind)).await,
        _ => http::response(StatusCode::NOT_FOUND, "text/plain", "not found"),
    }
}

#[derive(Debug, Deserialize)]
struct Drain {
    draining: bool,
}

#[derive(Debug, Deserialize)]
struct SetFault {
    kind: Fault,
}

async fn control<T: for<'de> Deserialize<'de>>(request: Request<Incoming>, apply: impl FnOnce(T)) -> Response<Body> {
    let body = http::read_body(request.into_body(), Instant::now() + http::IDLE_TIMEOUT)
        .await
        .unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(value) => {
            apply(value);
            http::json_response(StatusCode::OK, &json!({}))
        }
        Err(error) => http::response(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

impl Server {
    fn update(&self, change: impl FnOnce(&mut Shown)) {
        let mut now = self.now.get();
        let mut past = self.past.borrow_mut();
        past.push_back((Instant::now(), now));
        while past.front().is_some_and(|(end, _)| end.elapsed() > self.options.lag) {
            past.pop_front();
        }
        change(&mut now);
        self.now.set(now);
    }

    /// State as long ago as the lag.
    fn shown(&self) -> Shown {
        let past = self.past.borrow();
        let shown = past.iter().find(|(end, _)| end.elapsed() < self.options.lag);
        shown.map_or(self.now.get(), |(_, shown)| *shown)
    }

    fn drain(&self, draining: bool) {
        self.update(|shown| shown.draining = draining);
        self.drained_ms.set(draining.then(unix_ms));
    }

    /// Why no new work is taken, for a refusal that proves that it did not run.
    fn refusal(&self, takes_slot: bool) -> Option<Response<Body>> {
        let now = self.now.get();
        let reason = if now.draining {
            "draining"
        } else if takes_slot && now.busy >= self.options.slots {
            "no free slot"
        } else if now.connections >= self.options.connections {
            "connection limit reached"
        } else {
            return None;
        };
        let mut response = http::response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason);
        response
            .headers_mut()
            .insert("x-not-run", HeaderValue::from_static("true"));
        Some(response)
    }

    fn record(&self) -> serde_json::Value {
        let executions = self.executions.borrow();
        let now = unix_ms();
        let running = executions.iter().filter(|execution| execution.finished_ms.is_none());
        let running_ms: u64 = running.map(|execution| now - execution.started_ms.min(now)).sum();
        json!({
            "service": self.options.service,
            "slots": self.options.slots,
            "slot_ms": self.slot_ms.get() + running_ms,
            "executions": *executions,
        })
    }

    fn work_time(&self) -> Duration {
        let factor: f64 = self.random.borrow_mut().random_range(0.5..1.5);
        let slow = if self.fault.get() == Fault::Slow {
            SLOW_FACTOR
        } else {
            1.0
        };
        self.options.work.mul_f64(factor * slow)
    }
}

/// An execution in its slot. Dropping it before its end records a cancellation.
struct Slot {
    server: Rc<Server>,
    index: usize,
    ended: bool,
}

impl Slot {
    fn take(server: Rc<Server>, kind: &'static str, id: &str) -> Self {
        let started_ms = unix_ms();
        server.update(|shown| {
            shown.busy += 1;
            shown.connections += 1;
        });
        let index = {
            let mut executions = server.executions.borrow_mut();
            executions.push(Execution {
                id: id.to_owned(),
                kind,
                started_ms,
                finished_ms: None,
                completed: false,
                cancelled: false,
                after_drain_ms: server.drained_ms.get().map(|at| started_ms.saturating_sub(at)),
            });
            executions.len() - 1
        };
        Self {
            server,
            index,
            ended: false,
        }
    }

    fn end(mut self, completed: bool) {
        self.ended = true;
        self.server.executions.borrow_mut()[self.index].completed = completed;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = unix_ms();
        let mut executions = self.server.executions.borrow_mut();
        let execution = &mut executions[self.index];
        execution.finished_ms = Some(now);
        execution.cancelled = !self.ended;
        let ms = now.saturating_sub(execution.started_ms);
        self.server.slot_ms.set(self.server.slot_ms.get() + ms);
        self.server.update(|shown| {
            shown.busy -= 1;
            shown.connections -= 1;
        });
    }
}

/// Runs a request or an upload in a slot. The server drops this future when the caller closes the connection.
async fn work(server: Rc<Server>, kind: &'static str, id: &str, request: Request<Incoming>) -> Response<Body> {
    if let Some(refusal) = server.refusal(true) {
        return refusal;
    }
    let slot = Slot::take(Rc::clone(&server), kind, id);
    if server.fault.get() == Fault::Errors {
        slot.end(false);
        return http::response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "fault");
    }
    let deadline = request.headers().get("x-deadline-ms");
    let deadline = deadline.and_then(|value| value.to_str().ok()?.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(3_600_000));
    let run = async {
        let (sha256, bytes) = read(&server, kind, request.into_body()).await?;
        if kind == "request" {
            monoio::time::sleep(server.work_time()).await;
        }
        Ok::<_, hyper::Error>((sha256, bytes))
    };
    match time::timeout_at(deadline, run).await {
        Some(Ok((sha256, bytes))) => {
            slot.end(true);
            let service = &server.options.service;
            let answer = json!({"service": service, "id": id, "sha256": sha256, "bytes": bytes});
            http::json_response(StatusCode::OK, &answer)
        }
        Some(Err(error)) => http::response(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
        None => http::response(StatusCode::GATEWAY_TIMEOUT, "text/plain", "deadline passed"),
    }
}

async fn read(server: &Server, kind: &str, mut body: Incoming) -> Result<(String, u64), hyper::Error> {
    let started = Instant::now();
    let mut hash = Sha256::new();
    let mut bytes = 0_u64;
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(data) = frame.data_ref() else { continue };
        hash.update(data);
        bytes += data.len() as u64;
        let rate = server.options.upload_bytes_per_s;
        if kind == "upload" && rate > 0.0 {
            #[expect(clippy::cast_precision_loss, reason = "uploads are far below 2^52 bytes")]
            let due = started + Duration::from_secs_f64(bytes as f64 / rate);
            time::sleep_until(due).await;
        }
    }
    let mut hex = String::new();
    for byte in hash.finalize() {
        let _ = write!(hex, "{byte:02x}");
    }
    Ok((hex, bytes))
}

/// Counts an open feed until it is dropped.
struct OpenFeed(Rc<Server>);

impl OpenFeed {
    fn start(server: &Rc<Server>) -> Self {
        server.update(|shown| shown.connections += 1);
        Self(Rc::clone(server))
    }
}

impl Drop for OpenFeed {
    fn drop(&mut self) {
        self.0.update(|shown| shown.connections -= 1);
    }
}

fn feed(server: &Rc<Server>, request: &Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let position = query
        .strip_prefix("position=")
        .and_then(|text| text.parse::<u64>().ok());
    let Some(mut position) = position else {
        return http::response(StatusCode::BAD_REQUEST, "text/plain", "expected ?position=N");
    };
    if let Some(refusal) = server.refusal(false) {
        return refusal;
    }
    let interval = server.options.feed_interval_ms;
    let epoch = server.options.feed_epoch_ms.unwrap_or(DEFAULT_EPOCH_MS);
    // From the default epoch, a caller without a position would get millions of past events.
    if position == 0 && server.options.feed_epoch_ms.is_none() {
        position = unix_ms().saturating_sub(epoch) / interval;
    }
    let (mut sender, body) = Channel::<Bytes, io::Error>::new(16);
    let open = OpenFeed::start(server);
    monoio::spawn(async move {
        loop {
            position += 1;
            let due = epoch + position * interval;
            let wait = due.saturating_sub(unix_ms());
            if wait > 0 {
                monoio::time::sleep(Duration::from_millis(wait)).await;
            }
            let payload = format!("{}:{position}", open.0.options.service);
            let line = format!("{}\n", json!({"position": position, "payload": payload}));
            if sender.send_data(line.into()).await.is_err() {
                return;
            }
        }
    });
    Response::new(body.boxed_unsync())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
