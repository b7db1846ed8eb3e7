//! Balancer: forwards packets between the fabric and the agents, without per-flow state.

pub mod forward;

use std::{
    cell::Cell,
    collections::BTreeMap,
    fmt::Display,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use self::forward::Forwarder;
use crate::{
    coordination::{
        config::Replica,
        peer,
        status::{self, Draining},
    },
    protocol::{peer::Digest, settings},
    state::{liveness::CHECK_INTERVAL, roster::Role, route::Table},
    transport::{
        metric::Recorder,
        signal::Termination,
        time,
        udp::{Channel, Socket},
    },
};

/// Time without packets after which a stopping balancer exits. The fabric checks `/health` several times within it.
const IDLE_BEFORE_STOP: Duration = Duration::from_secs(1);

/// Minimum time between two replacements of the routing table. When a fleet starts, the announcement of each node is a
/// change.
const MIN_ROUTE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a balancer until SIGTERM, followed by a graceful stop.
pub async fn run(settings: settings::Balancer) -> io::Result<()> {
    let node = &settings.node;
    let recorder = Recorder::open();
    let termination = Termination::open()?;
    let incarnation = time::new_incarnation();
    let channel =
        Channel::bind(node.datagram, node.keys.frame()).map_err(bind_error("node.datagram", node.datagram))?;
    let ingress = Socket::bind(settings.ingress).map_err(bind_error("ingress", settings.ingress))?;
    let replica = Replica::spawn(node, Role::Balancer, incarnation, channel.clone());
    let forwarder = Rc::new(Forwarder::new(ingress, channel.clone(), node.keys.codec()));
    let draining = Draining::default();

    let status_fields = {
        let (forwarder, channel) = (Rc::clone(&forwarder), channel.clone());
        move || {
            serde_json::json!({
                "suspected_agents": forwarder.suspected_agents(),
                "dropped": forwarder.drop_counts().collect::<BTreeMap<_, _>>(),
                "frame_control_bytes": channel.control_bytes(),
            })
        }
    };
    status::serve(&replica, recorder, Rc::clone(&draining), status_fields)
        .map_err(bind_error("node.http", node.http))?;
    peer::listen(&replica, node.keys.cluster.0, |_link, _message| async { None })
        .map_err(bind_error("node.peer", node.peer))?;

    let failed = Rc::new(Cell::new(None));
    monoio::spawn(follow_config(replica.clone(), Rc::clone(&forwarder)));
    monoio::spawn(monitor_agents(Rc::clone(&forwarder)));
    monoio::spawn(forward_ingress(Rc::clone(&forwarder), Rc::clone(&failed)));
    monoio::spawn(forward_frames(
        replica.clone(),
        Rc::clone(&forwarder),
        Rc::clone(&failed),
    ));
    ::log::info!(
        event = "balancer.started", ingress:% = settings.ingress, datagram:% = node.datagram, incarnation;
        "balancer started"
    );

    while !termination.is_requested() {
        if let Some(error) = failed.take() {
            return Err(error);
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
    draining.set(true);
    forwarder.drain();
    let deadline = Instant::now() + Duration::from_millis(node.stop_timeout_ms.into());
    ::log::info!(event = "balancer.draining"; "balancer is draining: it reports 503 on /health and forwards packets until traffic ends");
    // An idle period only counts after the fabric has had time to check `/health`.
    let earliest = Instant::now() + IDLE_BEFORE_STOP;
    loop {
        let idle_at = (forwarder.last_packet_at() + IDLE_BEFORE_STOP).max(earliest);
        let now = Instant::now();
        if now >= idle_at || now >= deadline {
            break;
        }
        time::sleep_until(idle_at.min(deadline)).await;
    }
    ::log::info!(event = "balancer.stopped"; "balancer stopped");
    Ok(())
}

fn bind_error<A: Display>(field: &'static str, address: A) -> impl Fn(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("field `{field}`: bind {address}: {error}"))
}

async fn forward_ingress(forwarder: Rc<Forwarder>, failed: Rc<Cell<Option<io::Error>>>) {
    loop {
        if let Err(error) = forwarder.forward_ingress().await {
            failed.set(Some(error));
            return;
        }
    }
}

async fn forward_frames(replica: Replica, forwarder: Rc<Forwarder>, failed: Rc<Cell<Option<io::Error>>>) {
    loop {
        let batch = forwarder.forward_frames(|from, payload| match ciborium::from_reader::<Digest, _>(payload) {
            Ok(digest) => replica.receive_digest(from, &digest),
            Err(error) => {
                ::log::warn!(event = "digest.malformed", from:% = from, error:% = error; "cannot parse a digest");
            }
        });
        if let Err(error) = batch.await {
            failed.set(Some(error));
            return;
        }
    }
}

async fn follow_config(replica: Replica, forwarder: Rc<Forwarder>) {
    let data_centre = replica.local_node().data_centre.clone();
    let mut snapshot = replica.snapshot();
    let mut revision = 0;
    loop {
        let table = Table::new(&snapshot, &data_centre, rand::random::<u16>().into());
        let agents = snapshot.roster.with_role(Role::Agent);
        forwarder.set_table(table, agents.map(|node| (node.datagram, node.incarnation)));
        if snapshot.revision > revision {
            revision = snapshot.revision;
            ::log::info!(event = "route.changed", revision; "replaced the routes of new flows");
        }
        monoio::time::sleep(MIN_ROUTE_INTERVAL).await;
        snapshot = replica.changed(&snapshot).await;
    }
}

async fn monitor_agents(forwarder: Rc<Forwarder>) {
    loop {
        time::sleep_until(Instant::now() + CHECK_INTERVAL).await;
        for suspicion in forwarder.check_agents(Instant::now()).suspicions {
            ::log::warn!(
                event = "agent.suspected", agent:% = suspicion.agent, incarnation = suspicion.incarnation;
                "agent is silent; new flows go to other agents"
            );
        }
    }
}
