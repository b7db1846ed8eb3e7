//! Compares the backend servers' own record with what the callers were told.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use dogwoodpitch::protocol::{code::Code, request::Kind};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    cluster::{self, Cluster},
    measure::load::{Call, Tally},
};

/// Figures of a run. A figure that the scenario does not measure is null.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) scenario: String,
    pub(crate) seed: u64,
    pub(crate) flows: usize,
    pub(crate) broken_flows: Option<u64>,
    pub(crate) requests: usize,
    pub(crate) answered: usize,
    pub(crate) wrong_answers: u64,
    pub(crate) misrouted: u64,
    pub(crate) doubled: u64,
    pub(crate) lost: u64,
    pub(crate) not_run: usize,
    pub(crate) not_run_but_ran: u64,
    pub(crate) unknown: usize,
    pub(crate) new_work_after_drain_s: Option<f64>,
    pub(crate) cut_requests: Option<usize>,
    pub(crate) config_in_force_s: Option<f64>,
    pub(crate) config_reverted: Option<u64>,
    pub(crate) feed_events_missed: u64,
    pub(crate) feed_events_doubled: u64,
    pub(crate) control_bytes_per_s: Option<f64>,
    pub(crate) policy: String,
    pub(crate) imbalance: Option<f64>,
    pub(crate) short_p50_ms: Option<f64>,
    pub(crate) short_p99_ms: Option<f64>,
    pub(crate) short_alone_p99_ms: Option<f64>,
    pub(crate) in_deadline_ratio: Option<f64>,
    pub(crate) goodput_ratio: Option<f64>,
    pub(crate) upload_mib_s: Option<f64>,
    /// Changes of connections, for the reader.
    pub(crate) moves: u64,
    pub(crate) rebinds: u64,
    pub(crate) reconnects: u64,
    pub(crate) feed_events: u64,
    /// Longest delay of a feed event; after the loss of an agent, the time until the feed resumed.
    pub(crate) feed_delay_ms: u128,
    pub(crate) skipped: usize,
    /// Requests by result code.
    pub(crate) codes: BTreeMap<u16, usize>,
}

/// Record of a backend server.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Record {
    pub(crate) slot_ms: f64,
    pub(crate) executions: Vec<Execution>,
}

/// One run of a request at a backend server.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Execution {
    pub(crate) id: Option<String>,
    pub(crate) started_ms: Option<f64>,
    pub(crate) finished_ms: Option<f64>,
    #[serde(default)]
    pub(crate) completed: bool,
    pub(crate) after_drain_ms: Option<f64>,
}

/// Records of all backend servers, with their service.
pub(crate) async fn records(cluster: &Cluster) -> Result<Vec<(usize, Record)>, String> {
    let hosts = cluster.hosts.borrow().clone();
    let mut records = Vec::new();
    for host in hosts {
        let value = cluster::get(host.address, "/lab/record").await?;
        let record = serde_json::from_value(value).map_err(|error| format!("record of {}: {error}", host.backend))?;
        records.push((host.service, record));
    }
    Ok(records)
}

/// Busiest backend server over the mean of its service, by slot time between two looks; the worst service counts.
pub(crate) fn imbalance(before: &[(usize, Record)], after: &[(usize, Record)]) -> Option<f64> {
    let mut busy: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for (n, (service, record)) in after.iter().enumerate() {
        let earlier = before.get(n).map_or(0.0, |(_, record)| record.slot_ms);
        busy.entry(*service).or_default().push(record.slot_ms - earlier);
    }
    eprintln!("slot time in ms by service and host: {busy:?}");
    let ratios = busy.values().filter_map(|busy| {
        let count = u32::try_from(busy.len()).ok()?;
        let mean = busy.iter().sum::<f64>() / f64::from(count);
        (mean > 0.0).then(|| busy.iter().copied().fold(0.0, f64::max) / mean)
    });
    ratios.reduce(f64::max)
}

/// Checks each call against the records.
pub(crate) fn compare(figures: &mut Figures, tally: &Tally, records: &[(usize, Record)]) {
    let mut runs: HashMap<&str, Vec<(usize, &Execution)>> = HashMap::new();
    for (service, record) in records {
        for execution in &record.executions {
            if let Some(id) = &execution.id {
                runs.entry(id).or_default().push((*service, execution));
            }
        }
    }
    figures.requests = tally.calls.len();
    for call in &tally.calls {
        let id = call.id.to_string();
        let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        let not_run = call.code.is_not_run();
        figures.answered += usize::from(call.code == Code::OK);
        figures.not_run += usize::from(not_run);
        figures.unknown += usize::from(call.code.is_unknown());
        *figures.codes.entry(call.code.0).or_default() += 1;
        figures.wrong_answers += u64::from(!call.right);
        figures.misrouted += u64::from(runs.iter().any(|(service, _)| *service != call.service));
        figures.doubled += u64::from(!call.idempotent && runs.len() > 1);
        figures.lost += u64::from(call.code == Code::OK && !runs.iter().any(|(_, run)| run.completed));
        figures.not_run_but_ran += u64::from(not_run && !runs.is_empty());
    }
    figures.feed_events = tally.feed_events;
    figures.feed_events_missed = tally.feed_missed;
    figures.feed_events_doubled = tally.feed_doubled;
    figures.feed_delay_ms = tally.feed_delay_ms;
    figures.misrouted += tally.feed_misrouted;
    figures.skipped = tally.skipped;
}

/// Latest start of new work after the start of a drain, in seconds.
pub(crate) fn after_drain(records: &[(usize, Record)]) -> f64 {
    let executions = records.iter().flat_map(|(_, record)| &record.executions);
    executions.filter_map(|run| run.after_drain_ms).fold(0.0, f64::max) / 1000.0
}

/// Short requests of a part of the run.
fn short(tally: &Tally, from: Instant, to: Instant) -> impl Iterator<Item = &Call> {
    let calls = tally.calls.iter();
    calls.filter(move |call| call.kind == Kind::Request && (from..to).contains(&call.started))
}

/// Percentile of the latency of answered short requests, in milliseconds.
pub(crate) fn latency(tally: &Tally, from: Instant, to: Instant, quantile: f64) -> Option<f64> {
    let mut histogram = Histogram::<u64>::new(3).ok()?;
    for call in short(tally, from, to).filter(|call| call.code == Code::OK) {
        let micros = u64::try_from(call.took.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).ok()?;
    }
    let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    (!histogram.is_empty()).then(|| f64::from(micros) / 1000.0)
}

/// Part of the short requests that were answered before their deadline.
pub(crate) fn in_deadline(tally: &Tally, from: Instant, to: Instant) -> Option<f64> {
    let (mut all, mut good) = (0_u32, 0_u32);
    for call in short(tally, from, to) {
        all += 1;
        good += u32::from(call.in_deadline);
    }
    (all > 0).then(|| f64::from(good) / f64::from(all))
}

/// Slot time of the requests that were answered before their deadline, as a part of what the slots could do.
pub(crate) fn goodput(
    tally: &Tally,
    records: &[(usize, Record)],
    slots: f64,
    from: Instant,
    to: Instant,
) -> Option<f64> {
    let good: HashSet<String> = short(tally, from, to)
        .filter(|call| call.in_deadline)
        .map(|call| call.id.to_string())
        .collect();
    let executions = records.iter().flat_map(|(_, record)| &record.executions);
    let useful = executions.filter(|run| run.completed && run.id.as_ref().is_some_and(|id| good.contains(id)));
    let times = useful.filter_map(|run| Some(run.finished_ms? - run.started_ms?));
    let possible = slots * (to - from).as_secs_f64() * 1000.0;
    (possible > 0.0).then(|| times.sum::<f64>() / possible)
}

/// Mean throughput of answered uploads.
pub(crate) fn upload_rate(tally: &Tally) -> Option<f64> {
    let (mut mib, mut time) = (0.0, Duration::ZERO);
    for call in &tally.calls {
        if call.kind == Kind::Upload && call.code == Code::OK {
            mib += f64::from(u32::try_from(call.bytes).unwrap_or(u32::MAX)) / 1_048_576.0;
            time += call.took;
        }
    }
    (!time.is_zero()).then(|| mib / time.as_secs_f64())
}
