//! Cost of control for running balancers, by their number.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{Usage, print};
use crate::{
    cluster::{self, Cluster, Plan},
    measure::control_bytes,
};

/// Time after the start that is not measured.
const SETTLE: Duration = Duration::from_secs(5);
const OBSERVE: Duration = Duration::from_secs(10);
/// Changes whose time until they are in force is measured.
const CHANGES: u32 = 5;

/// Figures for one number of balancers.
#[derive(Debug, Default, Serialize)]
struct Figures {
    nodes: usize,
    control_bytes_per_node_s: f64,
    control_bytes_busiest_s: f64,
    store_calls_s: f64,
    processor_percent_mean: f64,
    resident_kib_mean: u64,
    resident_kib_most: u64,
    in_force_mean_s: f64,
    in_force_longest_s: f64,
}

pub(super) async fn measure(size: usize) -> Result<(), String> {
    let cluster = Cluster::start(Plan {
        services: vec![("order-board", 1)],
        balancers: size,
        slots: 7,
        policy: "product".to_owned(),
        seed: 1,
        backend: Vec::new(),
        fabric: Vec::new(),
        keep_logs: None,
    })
    .await?;
    cluster::sleep(SETTLE).await;
    let balancers = cluster.balancers.borrow().clone();
    let pids = balancers
        .iter()
        .map(|balancer| cluster.pid(&balancer.name))
        .collect::<Result<Vec<_>, _>>()?;
    let calls_before = store_calls(&cluster).await?;
    let bytes_before = control_bytes(&cluster).await;
    let usage_before: Vec<_> = pids.iter().map(|pid| Usage::read(pid)).collect();
    let start = Instant::now();
    cluster::sleep(OBSERVE).await;
    let seconds = start.elapsed().as_secs_f64();
    let usage: Vec<_> = pids.iter().map(|pid| Usage::read(pid)).collect();
    let bytes = control_bytes(&cluster).await;
    let calls = store_calls(&cluster).await?;

    let rates = bytes
        .iter()
        .filter_map(|(http, after)| Some((after - bytes_before.get(http)?) / seconds));
    let rates: Vec<f64> = rates.collect();
    let processor: f64 = usage
        .iter()
        .zip(&usage_before)
        .map(|(after, before)| after.processor_s - before.processor_s)
        .sum();
    let mut figures = Figures {
        nodes: size + 1,
        control_bytes_per_node_s: rates.iter().sum::<f64>() / as_f64(rates.len()),
        control_bytes_busiest_s: rates.iter().copied().fold(0.0, f64::max),
        store_calls_s: (calls - calls_before) / seconds,
        processor_percent_mean: 100.0 * processor / seconds / as_f64(pids.len()),
        resident_kib_mean: usage.iter().map(|usage| usage.resident_kib).sum::<u64>() / pids.len() as u64,
        resident_kib_most: usage.iter().map(|usage| usage.resident_kib).max().unwrap_or_default(),
        ..Figures::default()
    };
    for change in 0..CHANGES {
        let revision = cluster
            .change(&["label", "set", "order-board-agent-1", &format!("round=r{change}")])
            .await?;
        let start = Instant::now();
        cluster.wait(revision).await?;
        let seconds = start.elapsed().as_secs_f64();
        figures.in_force_mean_s += seconds / f64::from(CHANGES);
        figures.in_force_longest_s = figures.in_force_longest_s.max(seconds);
    }
    print(&figures);
    Ok(())
}

async fn store_calls(cluster: &Cluster) -> Result<f64, String> {
    let calls = cluster::get(cluster.store, "/lab/stats").await?;
    let calls = calls.as_object().ok_or("the store gives no statistics")?;
    Ok(calls.values().filter_map(serde_json::Value::as_f64).sum())
}

#[expect(clippy::cast_precision_loss, reason = "numbers of nodes are small")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
