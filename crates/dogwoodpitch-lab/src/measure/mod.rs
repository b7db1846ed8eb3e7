//! Runs one scenario under load and faults.

mod fault;
mod judge;
mod load;

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use pico_args::Arguments;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::{
    fault::{Effect, Fault, Faults},
    judge::Figures,
    load::{Demand, Load, Shape},
};
use crate::{
    Outcome,
    cluster::{self, Cluster, Plan, sleep},
};

const HELP: &str = "\
Runs one scenario on loopback and prints its figures. The last line of output is one JSON object; figures that the
scenario does not measure are null.

Usage: dogwoodpitch-lab measure SCENARIO [--seed N] [--seconds S] [--policy P] [--keep-logs DIR] [--log LEVEL]

Scenarios:
  steady            half of the time without uploads, half with them
  balancer-kill, balancer-stop, balancer-join, agent-drain, agent-kill, selector-change, operator-race, store-outage,
  freeze, silent-path
                    one fault or change under steady load
  double            two of these, drawn by the seed, at the same time
  crest             Attica's sizes (odd seeds) or Cairo's (even seeds); demand rises sixfold within 2 s, with a batch of uploads
  overnight         two backend servers join each service under load, while its flows stay where they are
  overload          twice the capacity all the time
  lossy             steady load over a fabric that loses 2% of the packets, delays and reorders them

Options:
  --seed N          seed of load, faults and stand-ins (default 1)
  --seconds S       time under load, 6 to 600 (default 20)
  --policy P        product, random, round-robin or least-load-stale (default product)
  --keep-logs DIR   copies the logs of all processes to a folder
  --log LEVEL       prints the log lines of the callers
";
const SERVICES: [(&str, usize); 2] = [("order-board", 4), ("intake-desk", 2)];
/// Sizes of today: services with their hosts, and slots of a host.
const ATTICA: ([(&str, usize); 2], u16) = ([("order-board", 7), ("intake-desk", 3)], 7);
const CAIRO: ([(&str, usize); 2], u16) = ([("counter", 7), ("cutting", 3)], 5);
const BALANCERS: usize = 3;
const SLOTS: u16 = 7;
const POLICIES: [&str; 4] = ["product", "random", "round-robin", "least-load-stale"];
/// Sessions open and agents learn the load before figures are taken.
const WARM_UP: Duration = Duration::from_secs(3);
/// Offered short work in steady load, as a part of the slots.
const STEADY: f64 = 0.5;
/// Uploads a second for each backend server in steady load. Each takes about a second of a slot.
const STEADY_UPLOADS: f64 = 0.25;
/// Offered short work before and at the crest, as a part of the slots: a sixfold rise that nearly fills the slots.
const CREST: (f64, f64) = (0.15, 0.9);
/// Time in which demand rises to the crest, and its steps.
const CREST_RISE: Duration = Duration::from_secs(2);
const CREST_STEPS: u32 = 8;
/// Uploads a second for each backend server in the crest. With 5 or 7 slots they take the demand above the capacity.
const CREST_UPLOADS: f64 = 0.5;
/// Time after new backend servers have joined from which imbalance counts.
const JOIN_SETTLE: Duration = Duration::from_secs(5);
/// Mean time that a short request holds a slot.
const WORK_MS: u64 = 50;

/// Options of a run.
#[derive(Debug, Clone)]
struct Run {
    scenario: String,
    seed: u64,
    seconds: u64,
    policy: String,
    keep_logs: Option<PathBuf>,
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let text = |error: pico_args::Error| error.to_string();
    let run = Run {
        seed: args.opt_value_from_str("--seed").map_err(text)?.unwrap_or(1),
        seconds: args.opt_value_from_str("--seconds").map_err(text)?.unwrap_or(20),
        policy: args
            .opt_value_from_str("--policy")
            .map_err(text)?
            .unwrap_or_else(|| POLICIES[0].to_owned()),
        keep_logs: args
            .opt_value_from_os_str("--keep-logs", |text| Ok::<_, String>(PathBuf::from(text)))
            .map_err(text)?,
        scenario: String::new(),
    };
    let level: Option<log::LevelFilter> = args.opt_value_from_str("--log").map_err(text)?;
    let scenario: String = args.free_from_str().map_err(text)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected argument {}; see measure --help", rest[0].display()));
    }
    if !(6..=600).contains(&run.seconds) {
        return Err("--seconds: expected 6 to 600".to_owned());
    }
    if !POLICIES.contains(&run.policy.as_str()) {
        return Err(format!("--policy: expected one of {}", POLICIES.join(", ")));
    }
    if let Some(level) = level {
        dogwoodpitch::transport::log::init_stderr("caller", level).map_err(|error| error.to_string())?;
    }
    let script = Script::find(&scenario, run.seed).ok_or_else(|| format!("unknown scenario {scenario:?}"))?;
    let figures = cluster::run(measure(Run { scenario, ..run }, script))?;
    println!(
        "{}",
        serde_json::to_string(&figures).map_err(|error| error.to_string())?
    );
    Ok(())
}

/// What happens in a scenario.
#[derive(Debug, Clone, PartialEq)]
enum Script {
    /// Steady load with faults.
    Faults(Vec<Fault>),
    Steady,
    Crest,
    Overnight,
    Overload,
}

impl Script {
    fn find(scenario: &str, seed: u64) -> Option<Self> {
        let fault = match scenario {
            "steady" | "lossy" => return Some(Self::Steady),
            "crest" => return Some(Self::Crest),
            "overnight" => return Some(Self::Overnight),
            "overload" => return Some(Self::Overload),
            "double" => {
                let drawn = Fault::draw_two(&mut StdRng::seed_from_u64(seed));
                return Some(Self::Faults(drawn.to_vec()));
            }
            "balancer-kill" => Fault::BalancerKill,
            "balancer-stop" => Fault::BalancerStop,
            "balancer-join" => Fault::BalancerJoin,
            "agent-drain" => Fault::AgentDrain,
            "agent-kill" => Fault::AgentKill,
            "selector-change" => Fault::SelectorChange,
            "operator-race" => Fault::OperatorRace,
            "store-outage" => Fault::StoreOutage,
            "freeze" => Fault::Freeze,
            "silent-path" => Fault::SilentPath,
            _ => return None,
        };
        Some(Self::Faults(vec![fault]))
    }

    /// Whether no flow may break and no request may be cut.
    fn keeps_requests(&self) -> bool {
        match self {
            Self::Faults(faults) => faults.iter().all(|fault| fault.keeps_requests()),
            Self::Overnight | Self::Steady => true,
            Self::Crest | Self::Overload => false,
        }
    }
}

async fn measure(run: Run, script: Script) -> Result<Figures, String> {
    let overload = script == Script::Overload;
    let shape = Shape {
        sessions_per_host: 8,
        work: Duration::from_millis(WORK_MS),
        deadline: if matches!(script, Script::Crest | Script::Overload) {
            Duration::from_millis(500)
        } else {
            Duration::from_secs(2)
        },
        upload_len: (1 << 20, 3 << 20),
    };
    let option = |name: &str, value: u64| [format!("--{name}"), value.to_string()];
    let mut backend = Vec::new();
    backend.extend(option("work-ms", WORK_MS));
    backend.extend(option("upload-mib-s", 2));
    backend.extend(option("feed-interval-ms", load::FEED_INTERVAL_MS));
    backend.extend(option("load-lag-ms", 1000));
    let (services, slots) = match script {
        Script::Crest if run.seed % 2 == 1 => ATTICA,
        Script::Crest => CAIRO,
        _ => (SERVICES, SLOTS),
    };
    let mut fabric = Vec::new();
    if run.scenario == "lossy" {
        fabric.extend(option("loss-percent", 2));
        fabric.extend(option("delay-ms", 4));
        fabric.extend(option("jitter-ms", 2));
    }
    let cluster = Cluster::start(Plan {
        services: services.to_vec(),
        balancers: BALANCERS,
        slots,
        policy: run.policy.clone(),
        seed: run.seed,
        backend,
        fabric,
        keep_logs: run.keep_logs.clone(),
    })
    .await?;
    eprintln!("started; {} s of load follow", run.seconds);
    let figures = observe(&cluster, &run, &script, shape, overload).await;
    let figures = figures.map_err(|error| cluster.explain(error))?;
    cluster
        .keep_logs()
        .map_err(|error| format!("cannot keep the logs: {error}"))?;
    Ok(figures)
}

async fn observe(
    cluster: &Cluster,
    run: &Run,
    script: &Script,
    shape: Shape,
    overload: bool,
) -> Result<Figures, String> {
    let mut load = Load::start(cluster, shape, run.seed);
    load.demand.short.set(STEADY);
    sleep(WARM_UP).await;
    let before = judge::records(cluster).await?;
    let control_before = control_bytes(cluster).await;
    let from = Instant::now();
    let time = Duration::from_secs(run.seconds);
    let middle = from + time / 2;
    let effect = Effect::default();
    let faults = Faults::new(cluster, &effect, run.seed);
    let plan = play(cluster, &faults, script, &load.demand, time);
    let (played, ()) = monoio::join!(plan, sleep(time));
    played?;
    let to = Instant::now();
    let control_after = control_bytes(cluster).await;
    let after = judge::records(cluster).await?;
    load.finish().await?;
    let records = judge::records(cluster).await?;
    let dead = cluster.dead();
    if !dead.is_empty() {
        return Err(format!("processes ended by themselves: {}", dead.join(", ")));
    }

    let mut figures = Figures {
        scenario: run.scenario.clone(),
        seed: run.seed,
        policy: run.policy.clone(),
        flows: load.sessions.len(),
        ..Figures::default()
    };
    let tally = load.tally.borrow();
    judge::compare(&mut figures, &tally, &records);
    let counters = load.counters();
    figures.moves = counters.iter().map(|(_, counters)| counters.moves).sum();
    figures.rebinds = counters.iter().map(|(_, counters)| counters.rebinds).sum();
    figures.reconnects = counters.iter().map(|(_, counters)| counters.reconnects).sum();
    let reconnected = counters.iter().filter(|(_, counters)| counters.reconnects > 0).count() as u64;
    figures.broken_flows = Some(reconnected.saturating_sub(effect.excused.get()));
    figures.cut_requests = script.keeps_requests().then_some(figures.unknown);
    figures.new_work_after_drain_s = effect.drained.get().then(|| judge::after_drain(&records));
    figures.config_in_force_s = effect.in_force.get().map(|time| time.as_secs_f64());
    figures.config_reverted = effect.reverted.get();
    figures.control_bytes_per_s = busiest(&control_before, &control_after, to - from);
    if matches!(script, Script::Overnight) {
        let joined = effect.joined.borrow();
        figures.imbalance = joined.as_deref().and_then(|joined| judge::imbalance(joined, &after));
    }
    if matches!(script, Script::Steady) {
        figures.imbalance = judge::imbalance(&before, &after);
        figures.short_alone_p99_ms = judge::latency(&tally, from, middle, 0.99);
        figures.short_p50_ms = judge::latency(&tally, middle, to, 0.5);
        figures.short_p99_ms = judge::latency(&tally, middle, to, 0.99);
    } else {
        figures.short_p50_ms = judge::latency(&tally, from, to, 0.5);
        figures.short_p99_ms = judge::latency(&tally, from, to, 0.99);
    }
    figures.in_deadline_ratio = judge::in_deadline(&tally, from, to);
    if overload {
        let hosts = u32::try_from(cluster.hosts.borrow().len()).unwrap_or(u32::MAX);
        let slots = f64::from(hosts) * f64::from(SLOTS);
        figures.goodput_ratio = judge::goodput(&tally, &records, slots, from, to);
    }
    figures.upload_mib_s = judge::upload_rate(&tally);
    Ok(figures)
}

/// Changes the demand and runs the faults of a scenario.
async fn play(
    cluster: &Cluster,
    faults: &Faults<'_>,
    script: &Script,
    demand: &Demand,
    time: Duration,
) -> Result<(), String> {
    match script {
        Script::Steady => {
            sleep(time / 2).await;
            demand.uploads.set(STEADY_UPLOADS);
            Ok(())
        }
        Script::Faults(drawn) => {
            demand.uploads.set(STEADY_UPLOADS);
            let start = time / 5 + faults.random.borrow_mut().random_range(Duration::ZERO..time / 10);
            sleep(start).await;
            let hold = time / 4;
            match drawn[..] {
                [fault] => faults.run(fault, hold).await,
                [first, second] => {
                    let later = async {
                        sleep(Duration::from_millis(500)).await;
                        faults.run(second, hold).await
                    };
                    let (first, second) = monoio::join!(faults.run(first, hold), later);
                    first.and(second)
                }
                _ => Ok(()),
            }
        }
        Script::Crest => {
            demand.short.set(CREST.0);
            sleep(time / 6).await;
            for step in 1..=CREST_STEPS {
                let part = f64::from(step) / f64::from(CREST_STEPS);
                demand.short.set(CREST.0 + (CREST.1 - CREST.0) * part);
                sleep(CREST_RISE / CREST_STEPS).await;
            }
            demand.uploads.set(CREST_UPLOADS);
            sleep(time / 2).await;
            demand.uploads.set(0.0);
            demand.short.set(CREST.0);
            Ok(())
        }
        Script::Overload => {
            demand.short.set(2.0);
            Ok(())
        }
        Script::Overnight => {
            demand.uploads.set(STEADY_UPLOADS);
            sleep(time / 6).await;
            for service in 0..cluster.services.len() {
                for _ in 0..2 {
                    faults.host_join(service).await?;
                }
            }
            sleep(JOIN_SETTLE).await;
            *faults.effect.joined.borrow_mut() = Some(judge::records(cluster).await?);
            Ok(())
        }
    }
}

/// Bytes of control traffic of each node so far.
pub(crate) async fn control_bytes(cluster: &Cluster) -> HashMap<SocketAddr, f64> {
    let nodes: Vec<_> = {
        let balancers = cluster.balancers.borrow();
        let hosts = cluster.hosts.borrow();
        let hosts = hosts.iter().map(|host| host.http);
        balancers.iter().map(|balancer| balancer.http).chain(hosts).collect()
    };
    let mut bytes = HashMap::new();
    for http in nodes {
        let Ok(text) = cluster::get_text(http, "/metrics").await else {
            continue;
        };
        let line = text
            .lines()
            .find(|line| line.starts_with("dogwoodpitch_control_bytes_total"));
        if let Some(value) = line.and_then(|line| line.rsplit(' ').next()?.parse().ok()) {
            bytes.insert(http, value);
        }
    }
    bytes
}

/// Control traffic a second of the node that had most. Nodes that were restarted count from 0 and are left out.
fn busiest(before: &HashMap<SocketAddr, f64>, after: &HashMap<SocketAddr, f64>, time: Duration) -> Option<f64> {
    let rates = after.iter().filter_map(|(http, after)| {
        let bytes = after - before.get(http)?;
        (bytes >= 0.0).then(|| bytes / time.as_secs_f64())
    });
    rates.reduce(f64::max)
}
