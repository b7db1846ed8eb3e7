//! Keeps the operators' requests current: watches the store for the configuration and evacuations, and pulls a newer version
//! of the configuration from peers.

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use rand::RngExt;

use crate::{
    coordination::{
        kv::{self, Response, Watch},
        steering::{
            agent, era, evacuation,
            node::{Node, State},
        },
    },
    state::{
        roster::Role,
        steering::{
            era::Era,
            evacuation::Watched,
            freshness::{self, Age, Freshness},
            member::Member,
            route::Table,
        },
    },
    transport::{http, time},
};

/// Timeout of a store read. The store replies in milliseconds, or in a third of a second when it is slow.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts of a hedged read. A slow store replies in a third of a second, so it serves one redundant
/// attempt.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a watch. The store ends the watch after this time, so a silent connection is detected before a change
/// that it hides has to be in force.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Pause after the first failure; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between attempts of a node that watches the store for others.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause between attempts of another node. New configuration arrives from peers meanwhile.
const MAX_RELIANT_PAUSE: Duration = Duration::from_secs(4);
/// Interval at which a node checks whether its peers still keep it up to date.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a node reads the store because it cannot pull a newer version that a peer has shown.
const PULL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which an agent with an older configuration waits for a peer in its data centre to pull the newer one from.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of rejected routes, and of replaced values, of a version that are logged.
const MAX_LOGGED_PROBLEMS: usize = 64;
/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Configuration in force, both decoded and as the original document.
#[derive(Debug, Default)]
pub(super) struct Config {
    routes: RefCell<Rc<Table>>,
    document: RefCell<Bytes>,
    freshness: Cell<Freshness>,
    /// Why this node last had to watch the store.
    watch_reason: Cell<Option<&'static str>>,
    pulling: Cell<bool>,
    /// When a peer has first shown a newer version than the one in force.
    outdated_since: Cell<Option<Instant>>,
    /// Era and revision up to which this node has read the store.
    read_until: Cell<(Option<Era>, u64)>,
    /// Older version than the one in force that the store was last seen to hold.
    older_version: Cell<Option<u64>>,
}

/// State of the store from which a watch continues.
#[derive(Debug)]
struct Base {
    era: Option<Era>,
    evacuations: Watched,
}

impl Config {
    pub(super) fn routes(&self) -> Rc<Table> {
        Rc::clone(&self.routes.borrow())
    }

    pub(super) fn document(&self) -> Bytes {
        self.document.borrow().clone()
    }

    pub(super) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    fn update_freshness(&self, update: impl FnOnce(&mut Freshness)) {
        let mut freshness = self.freshness.get();
        update(&mut freshness);
        self.freshness.set(freshness);
    }
}

/// Reads the configuration and watches it for changes until the process exits.
pub(super) async fn watch_config(node: Rc<Node>) {
    let mut pause = MIN_PAUSE;
    loop {
        let result = read_and_watch(&node, &mut pause).await;
        if let Err(error) = result {
            log::warn!(event = "store.unavailable", call = "config", error:% = error; "configuration cannot be read");
        }
        let next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.6..1.4));
        pause = (pause * 2).min(max_pause(&node, Instant::now()));
        time::sleep_until(next).await;
    }
}

fn max_pause(node: &Node, now: Instant) -> Duration {
    if !node.routes().is_loaded() {
        // Nothing is served without routes, so the pause stays short to find the store as soon as it is back.
        MIN_PAUSE
    } else if is_watcher(node, now) {
        MAX_PAUSE
    } else {
        MAX_RELIANT_PAUSE
    }
}

async fn read_and_watch(node: &Rc<Node>, pause: &mut Duration) -> Result<(), crate::coordination::store::Error> {
    let prefix = node.platform.operator_prefix;
    let store = &node.platform.store;
    let mut listed: Option<Base> = None;
    loop {
        let now = Instant::now();
        if !is_watch_needed(node, now) {
            *pause = MIN_PAUSE;
            time::sleep_until(now + PEER_CHECK_INTERVAL).await;
            continue;
        }
        let newest = node.view.borrow().eras().newest();
        let is_current = |base: &&mut Base| base.era == newest && !base.evacuations.outdated;
        let Some(base) = listed.as_mut().filter(is_current) else {
            listed = Some(read(node).await?);
            *pause = MIN_PAUSE;
            continue;
        };
        let until = now + WATCH_WAIT;
        let after = base.evacuations.notice.revision;
        let answer = (store.watch)(prefix.to_owned(), after, until).await?;
        match era::record_answer(node, "watch", answer)? {
            // Changes of a later era leave out what was written below the revision.
            (Watch::Changes(_), era) if era > base.era => listed = None,
            (Watch::Changes(response), era) => {
                apply_response(node, base, response, "watch");
                let confirmed_at = until.min(Instant::now());
                node.config
                    .update_freshness(|freshness| freshness.confirm(confirmed_at));
                if era.is_none() {
                    listed = None;
                }
            }
            (Watch::Compacted, _) => listed = None,
        }
    }
}

/// Reads the configuration and the evacuations, and returns these with the revision from which a watch can continue.
async fn read(node: &Rc<Node>) -> Result<Base, crate::coordination::store::Error> {
    let now = Instant::now();
    let deadline = now + READ_TIMEOUT;
    // The other nodes wait for a watcher to find the store as soon as it is back.
    let interval = if is_watcher(node, now) || !node.routes().is_loaded() {
        HEDGE_INTERVAL
    } else {
        READ_TIMEOUT
    };
    let list = || (node.platform.store.list)(node.platform.operator_prefix.to_owned(), false, deadline);
    let answer = kv::read_hedged(list, interval, deadline).await?;
    let (response, era) = era::record_answer(node, "list", answer)?;
    let (known_era, known_revision) = node.config.read_until.get();
    if let (None, Some(known)) = (era, known_era)
        && Some(known) == node.view.borrow().eras().newest()
        && response.revision < known_revision
    {
        era::record_return(node, known, "list");
    }
    let mut base = Base {
        era: node.view.borrow().eras().newest(),
        evacuations: Watched::default(),
    };
    apply_response(node, &mut base, response, "store");
    node.config.update_freshness(|freshness| freshness.confirm(now));
    log::info!(
        event = "config.read", era = base.era.map(|era| era.0), revision = base.evacuations.notice.revision,
        evacuated = base.evacuations.notice.data_centres.len();
        "operators' keys read from the store"
    );
    Ok(base)
}

/// Whether a node has to watch the store, because others rely on it or because its peers do not keep it up to date. Calls to
/// the store thus do not grow with the number of nodes.
fn is_watch_needed(node: &Node, now: Instant) -> bool {
    let reason = if is_watcher(node, now) {
        Some("watches for its data centre")
    } else if !node.config.freshness().is_confirmed_by_peers(now) {
        Some("no recent confirmation by a peer")
    } else if is_outdated(node, now) {
        Some("newer version of a peer cannot be pulled")
    } else {
        None
    };
    if node.config.watch_reason.replace(reason) != reason {
        log::info!(
            event = "config.watch", needed = reason.is_some(), reason = reason.unwrap_or("kept up to date by peers");
            "source of configuration changes"
        );
    }
    reason.is_some()
}

fn is_outdated(node: &Node, now: Instant) -> bool {
    let outdated_since = node.config.outdated_since.get();
    outdated_since.is_some_and(|since| now >= since + PULL_LIMIT)
}

fn is_watcher(node: &Node, now: Instant) -> bool {
    let settings = &node.settings;
    let members = node.members.borrow();
    freshness::is_watcher(settings.ip, settings.role(), &settings.data_centre, &members, now)
}

/// Applies the changes in a response to the evacuations, and then the configuration: who pulls its version from this node has
/// heard of the evacuations before.
fn apply_response(node: &Rc<Node>, base: &mut Base, response: Response, source: &'static str) {
    for reason in &response.rejected {
        node.reject_entry(reason);
    }
    let Base { era, evacuations } = base;
    let revision = evacuations.notice.revision.max(response.revision);
    evacuations.notice.revision = revision;
    node.config.read_until.set((*era, revision));
    for changed in &response.keys {
        if let Some(data_centre) = (node.platform.decode_evacuation)(&changed.key)
            && !evacuations.set(data_centre, changed.present)
        {
            node.reject_entry("too many evacuated data centres");
        }
    }
    if !evacuations.outdated {
        evacuation::apply(node, *era, &evacuations.notice, source);
    }
    let key = node.platform.config_key.as_bytes();
    for entry in response.entries {
        if entry.key == key {
            apply(node, &entry.value, source);
        }
    }
}

/// Applies a configuration if it is newer than the one in force.
fn apply(node: &Rc<Node>, document: &Bytes, source: &'static str) {
    let result = (node.platform.decode_routes)(document);
    metrics::gauge!("dogwoodpitch_config_invalid").set(if result.is_ok() { 0.0 } else { 1.0 });
    let table = match result {
        Ok(table) => table,
        Err(error) => {
            metrics::counter!("dogwoodpitch_malformed_total").increment(1);
            log::error!(event = "config.invalid", source, error; "invalid configuration ignored; the one in force stays");
            return;
        }
    };
    let known = node.routes().version;
    if table.version < known
        && source != "peer"
        && node.config.older_version.replace(Some(table.version)) != Some(table.version)
    {
        log::warn!(
            event = "config.older", source, version = table.version, in_force = known;
            "the store holds an older version; the one in force stays"
        );
    }
    if table.version <= known {
        return;
    }
    log::info!(
        event = "config.applied", source, version = table.version, before = known, routes = table.routes.len();
        "configuration in force"
    );
    tell_problems(&table);
    let table = Rc::new(table);
    node.config.outdated_since.set(None);
    node.config.routes.replace(Rc::clone(&table));
    node.config.document.replace(document.clone());
    if let State::Balancer(balancer) = &mut *node.state.borrow_mut() {
        balancer.routes = Rc::clone(&table);
    }
    agent::update_agent(node, &[], |agent, _, out| agent.set_routes(table, out));
    // Nodes that cannot reach the store learn of the new version from these reports.
    let local_role = node.settings.role();
    node.send_report_to(|member| local_role == Role::Balancer || member.report.role == Role::Balancer);
}

/// Logs and counts what of a new version is not served, or not served as it was written.
#[expect(
    clippy::cast_precision_loss,
    reason = "a configuration has far fewer than 2^52 entries"
)]
fn tell_problems(table: &Table) {
    metrics::gauge!("dogwoodpitch_routes_rejected").set(table.rejected.len() as f64);
    metrics::gauge!("dogwoodpitch_config_values_replaced").set(table.notices.len() as f64);
    metrics::counter!("dogwoodpitch_malformed_total").increment(table.rejected.len() as u64);
    let version = table.version;
    for reason in table.rejected.iter().take(MAX_LOGGED_PROBLEMS) {
        log::error!(event = "config.route_rejected", version, reason; "route left out; its clients are not served");
    }
    for reason in table.notices.iter().take(MAX_LOGGED_PROBLEMS) {
        log::warn!(event = "config.value_replaced", version, reason; "value cannot be read; another one is used");
    }
}

/// Handles the version in a report of a peer, and the confirmation of it.
pub(super) fn handle_reported_version(
    node: &Rc<Node>,
    peer: Ipv4Addr,
    version: u64,
    confirmed: Option<Age>,
    now: Instant,
) {
    if version > node.routes().version {
        handle_newer_version(node, peer, now);
    } else if let Some(age) = confirmed {
        node.config
            .update_freshness(|freshness| freshness.confirm_by_peer(age, now));
    }
}

/// Handles the report of a newer version by a peer. An agent prefers peers in its data centre, so that the first balancer to
/// read a change does not have to serve all agents.
fn handle_newer_version(node: &Rc<Node>, peer: Ipv4Addr, now: Instant) {
    let since = node.config.outdated_since.get().unwrap_or(now);
    node.config.outdated_since.set(Some(since));
    let is_remote = |member: &Member| member.report.data_centre != node.settings.data_centre;
    let is_remote = node.members.borrow().get(peer).is_some_and(is_remote);
    if node.settings.role() == Role::Balancer || !is_remote || now >= since + REMOTE_PULL_DELAY {
        pull_from_peer(node, peer);
    }
}

/// Fetches the configuration from a peer that reported a newer version. Does nothing while another pull is in progress.
fn pull_from_peer(node: &Rc<Node>, peer: Ipv4Addr) {
    if node.config.pulling.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    monoio::spawn(async move {
        let address = SocketAddr::from((peer, node.settings.port));
        let request = Request::get("/")
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .expect("the parts of the request are valid");
        match http::call(address, Instant::now() + PULL_TIMEOUT, request).await {
            Ok((_, document)) => apply(&node, &document, "peer"),
            Err(error) => {
                log::warn!(event = "config.pull_failed", peer:% = peer, error:% = error; "cannot pull the configuration from a peer");
            }
        }
        node.config.pulling.set(false);
    });
}
