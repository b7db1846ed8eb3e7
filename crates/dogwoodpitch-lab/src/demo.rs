//! Runs the whole path on loopback and checks it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    caller::{Request, Response, Session, Settings},
    protocol::{code::Code, request::Id},
    transport::time,
};
use pico_args::Arguments;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{
    Outcome,
    cluster::{self, Cluster, Plan, Service},
};

const HELP: &str = "\
Starts store, fabric, 3 balancers, and 4 + 2 backend servers with agents on loopback, runs a reservation, 20 feed events
and an upload of 8 MiB on both services, and checks the records. The last line of output is one JSON object.

Usage: dogwoodpitch-lab demo [--keep-logs DIR]
";
const SERVICES: [(&str, usize); 2] = [("order-board", 4), ("intake-desk", 2)];
const BALANCERS: usize = 3;
const FEED_EVENTS: u64 = 20;
const UPLOAD_LEN: usize = 8 * 1024 * 1024;
/// Longest run of all steps after the start.
const LIMIT: Duration = Duration::from_secs(40);

/// What the steps on one service gave.
struct Step {
    feed_events: u64,
    upload_sha256_match: bool,
    ids: [Id; 2],
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let keep_logs = args
        .opt_value_from_os_str("--keep-logs", |text| Ok::<_, String>(PathBuf::from(text)))
        .map_err(|error| error.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected argument {}; see demo --help", rest[0].display()));
    }
    let result = cluster::run(demo(keep_logs))?;
    println!("{result}");
    Ok(())
}

async fn demo(keep_logs: Option<PathBuf>) -> Result<Value, String> {
    let started = Instant::now();
    let cluster = Cluster::start(Plan {
        services: SERVICES.to_vec(),
        balancers: BALANCERS,
        slots: 7,
        policy: "product".to_owned(),
        seed: 1,
        backend: vec!["--feed-interval-ms".to_owned(), "50".to_owned()],
        fabric: Vec::new(),
        keep_logs,
    })
    .await?;
    eprintln!("started and configured in {:.1} s", started.elapsed().as_secs_f64());
    let checked = time::timeout_at(Instant::now() + LIMIT, check(&cluster)).await;
    let checked = checked.unwrap_or_else(|| Err(format!("not done within {} s", LIMIT.as_secs())));
    let result = checked.map_err(|error| cluster.explain(error))?;
    cluster
        .keep_logs()
        .map_err(|error| format!("cannot keep the logs: {error}"))?;
    Ok(result)
}

async fn check(cluster: &Cluster) -> Result<Value, String> {
    let mut steps = Vec::new();
    for service in &cluster.services {
        let step = run_steps(service).await?;
        eprintln!("{}: reservation, feed and upload done", service.name);
        steps.push(step);
    }
    let sent: Vec<BTreeSet<String>> = steps
        .iter()
        .map(|step| step.ids.iter().map(ToString::to_string).collect())
        .collect();
    let mut misrouted = 0;
    let mut executed: Vec<BTreeMap<String, u32>> = vec![BTreeMap::new(); steps.len()];
    let hosts = cluster.hosts.borrow().clone();
    for host in &hosts {
        let record = cluster::get(host.address, "/lab/record").await?;
        for execution in record["executions"].as_array().ok_or("the record has no executions")? {
            let id = execution["id"].as_str().unwrap_or_default();
            let foreign = sent
                .iter()
                .enumerate()
                .any(|(n, ids)| n != host.service && ids.contains(id));
            misrouted += u32::from(foreign);
            *executed[host.service].entry(id.to_owned()).or_default() += 1;
        }
    }
    let stats = cluster::get(cluster.fabric, "/stats").await?;
    let balancers_used = balancers_used(&stats);
    let result = json!({
        "reservations": steps.len(),
        "feed_events": steps.iter().map(|step| step.feed_events).sum::<u64>(),
        "upload_sha256_match": steps.iter().all(|step| step.upload_sha256_match),
        "misrouted": misrouted,
        "balancers_used": balancers_used,
    });
    let runs = sent.iter().zip(&executed);
    let once = runs
        .into_iter()
        .all(|(ids, runs)| ids.iter().all(|id| runs.get(id) == Some(&1)));
    if misrouted > 0 || !once || balancers_used < BALANCERS || result["upload_sha256_match"] != true {
        return Err(format!("faults found: {result}; each request ran once: {once}"));
    }
    Ok(result)
}

/// Number of balancers that got a packet from the fabric.
fn balancers_used(stats: &Value) -> usize {
    let counts: Vec<&Value> = match &stats["per_balancer"] {
        Value::Array(counts) => counts.iter().collect(),
        Value::Object(counts) => counts.values().collect(),
        _ => Vec::new(),
    };
    let used = |count: &&&Value| count.as_u64().or_else(|| count["packets"].as_u64()).unwrap_or_default() > 0;
    counts.iter().filter(used).count()
}

async fn run_steps(service: &Service) -> Result<Step, String> {
    let session = Session::open(settings(service, Ipv4Addr::LOCALHOST));
    let mut random = StdRng::seed_from_u64(service.address.port().into());
    let reservation = work(
        &mut random,
        "reservation",
        Bytes::from_static(b"{\"seats\":2,\"table\":14}"),
    );
    let reservation_id = reservation.id;
    let body = reservation.body.clone();
    verify(service, reservation_id, &body, &session.request(reservation).await)?;

    // Position 0 stands for the present, so the first event gives the start.
    let mut feed = session.feed(0);
    let mut feed_events = 0;
    let mut expected = None;
    while feed_events < FEED_EVENTS {
        let event = feed.next().await;
        let position = expected.unwrap_or(event.position);
        let payload = format!("{}:{position}", service.name);
        if event.position != position || event.payload != payload {
            return Err(format!(
                "{}: expected feed event {payload}, got {event:?}",
                service.name
            ));
        }
        expected = Some(position + 1);
        feed_events += 1;
    }
    drop(feed);

    let mut photo = vec![0; UPLOAD_LEN];
    random.fill(&mut photo[..]);
    let upload = work(&mut random, "photo", photo.into());
    let upload_id = upload.id;
    let body = upload.body.clone();
    let answer = session.upload(upload).await;
    verify(service, upload_id, &body, &answer)?;
    Ok(Step {
        feed_events,
        upload_sha256_match: true,
        ids: [reservation_id, upload_id],
    })
}

/// Settings of a caller of a service.
pub(crate) fn settings(service: &Service, local: Ipv4Addr) -> Settings {
    Settings {
        service: service.name.clone(),
        address: service.address,
        local,
        roots: service.roots.clone(),
        keepalive_ms: 500,
        silence_ms: 1200,
    }
}

fn work(random: &mut StdRng, class: &str, body: Bytes) -> Request {
    Request {
        id: Id(random.random()),
        class: class.to_owned(),
        idempotent: false,
        deadline: Instant::now() + Duration::from_secs(20),
        body,
    }
}

fn verify(service: &Service, id: Id, body: &[u8], answer: &Response) -> Result<(), String> {
    if answer.code != Code::OK {
        return Err(format!(
            "{}: request {id}: code {}: {}",
            service.name, answer.code, answer.detail
        ));
    }
    if is_answer(&service.name, id, body, &answer.body) {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body);
    Err(format!("{}: request {id}: wrong answer {text}", service.name))
}

/// Whether an answer belongs to a request and its body.
pub(crate) fn is_answer(service: &str, id: Id, body: &[u8], answer: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(answer) else {
        return false;
    };
    answer["service"] == service && answer["id"] == id.to_string() && answer["sha256"] == sha256(body)
}

fn sha256(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().fold(String::with_capacity(64), |mut text, byte| {
        use std::fmt::Write;
        let _ = write!(text, "{byte:02x}");
        text
    })
}
