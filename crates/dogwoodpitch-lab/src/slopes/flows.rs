//! Cost of open flows for an agent and a balancer, by their number.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dogwoodpitch::caller::{Session, Settings};
use serde::Serialize;

use super::{Usage, print};
use crate::cluster::{self, Cluster, Plan};

const OBSERVE: Duration = Duration::from_secs(10);
const FEED_INTERVAL_MS: u64 = 5_000;
const KEEPALIVE_MS: u32 = 1_000;
const SILENCE_MS: u32 = 30_000;
/// Time between the starts of two sessions, so that the measurement is not one of a burst.
const SPACING: Duration = Duration::from_millis(4);

/// Figures for one number of flows, each with an open feed.
#[derive(Debug, Default, Serialize)]
struct Figures {
    flows: usize,
    keepalive_ms: u32,
    agent_resident_kib_before: u64,
    agent_resident_kib: u64,
    agent_open_ms_per_flow: f64,
    agent_idle_percent: f64,
    balancer_resident_kib_before: u64,
    balancer_resident_kib: u64,
    balancer_open_ms_per_flow: f64,
    balancer_idle_percent: f64,
}

pub(super) async fn measure(size: usize) -> Result<(), String> {
    let cluster = Cluster::start(Plan {
        services: vec![("order-board", 1)],
        balancers: 1,
        slots: 7,
        policy: "product".to_owned(),
        seed: 1,
        backend: vec!["--feed-interval-ms".to_owned(), FEED_INTERVAL_MS.to_string()],
        fabric: Vec::new(),
        keep_logs: None,
    })
    .await?;
    let agent = cluster.pid(&cluster.hosts.borrow()[0].agent)?;
    let balancer = cluster.pid(&cluster.balancers.borrow()[0].name)?;
    let read = || (Usage::read(&agent), Usage::read(&balancer));
    let (agent_before, balancer_before) = read();
    let service = &cluster.services[0];
    let mut feeds = Vec::new();
    for _ in 0..size {
        let session = Session::open(Settings {
            service: service.name.clone(),
            address: service.address,
            local: Ipv4Addr::LOCALHOST,
            roots: service.roots.clone(),
            keepalive_ms: KEEPALIVE_MS,
            silence_ms: SILENCE_MS,
        });
        feeds.push(monoio::spawn(async move {
            let mut feed = session.feed(0);
            loop {
                feed.next().await;
            }
        }));
        cluster::sleep(SPACING).await;
    }
    // Each feed has had an event by then.
    cluster::sleep(Duration::from_millis(FEED_INTERVAL_MS)).await;
    let (agent_open, balancer_open) = read();
    let start = Instant::now();
    cluster::sleep(OBSERVE).await;
    let seconds = start.elapsed().as_secs_f64();
    let (agent_after, balancer_after) = read();
    let http = cluster.hosts.borrow()[0].http;
    let status = cluster::get(http, "/status").await?;
    let open = status["connections"].as_u64().unwrap_or_default();
    if open != size as u64 {
        return Err(format!("the agent has {open} of {size} connections"));
    }
    let flows = u32::try_from(size).map_err(|error| error.to_string())?;
    let open_ms = |after: Usage, before: Usage| (after.processor_s - before.processor_s) * 1000.0 / f64::from(flows);
    let percent = |after: Usage, before: Usage| (after.processor_s - before.processor_s) * 100.0 / seconds;
    print(&Figures {
        flows: size,
        keepalive_ms: KEEPALIVE_MS,
        agent_resident_kib_before: agent_before.resident_kib,
        agent_resident_kib: agent_after.resident_kib,
        agent_open_ms_per_flow: open_ms(agent_open, agent_before),
        agent_idle_percent: percent(agent_after, agent_open),
        balancer_resident_kib_before: balancer_before.resident_kib,
        balancer_resident_kib: balancer_after.resident_kib,
        balancer_open_ms_per_flow: open_ms(balancer_open, balancer_before),
        balancer_idle_percent: percent(balancer_after, balancer_open),
    });
    Ok(())
}
