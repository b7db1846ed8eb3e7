//! Follows the operators' configuration in the store and among the nodes.

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
            agent,
            node::{Node, State},
        },
    },
    state::{roster::Role, steering::route::Table},
    transport::{http, time},
};

/// Time for one read of the store. It answers in milliseconds; a slow one takes a third of a second.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two tries of a read while earlier ones are pending. A slow store takes a third of a second, and then
/// answers one try too many.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a watch; the store ends it then, and a silent connection shows.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after the first failure; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries of the store. Peers bring news meanwhile.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time for a peer to answer with its configuration.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Configuration in force, as it was read and as it is used.
#[derive(Debug, Default)]
pub(super) struct Config {
    routes: RefCell<Rc<Table>>,
    document: RefCell<Bytes>,
    pulling: Cell<bool>,
}

impl Config {
    pub(super) fn routes(&self) -> Rc<Table> {
        Rc::clone(&self.routes.borrow())
    }

    pub(super) fn document(&self) -> Bytes {
        self.document.borrow().clone()
    }
}

/// Reads the configuration and waits for changes, as long as the process runs.
pub(super) async fn follow(node: Rc<Node>) {
    let mut pause = MIN_PAUSE;
    loop {
        let result = read_and_watch(&node, &mut pause).await;
        if let Err(error) = result {
            log::warn!(event = "store.unavailable", call = "config", error:% = error; "configuration cannot be read");
        }
        let next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.6..1.4));
        // Without routes nothing is served, so the store must be found soon after it is back.
        let max_pause = if node.routes().is_loaded() {
            MAX_PAUSE
        } else {
            MIN_PAUSE
        };
        pause = (pause * 2).min(max_pause);
        time::sleep_until(next).await;
    }
}

async fn read_and_watch(node: &Rc<Node>, pause: &mut Duration) -> Result<(), crate::coordination::store::Error> {
    let key = node.platform.config_key;
    let store = &node.platform.store;
    let deadline = Instant::now() + READ_TIMEOUT;
    let response = kv::read_hedged(|| (store.get)(key.to_owned(), deadline), HEDGE_INTERVAL, deadline).await?;
    let mut revision = response.revision;
    take(node, response, "store");
    loop {
        *pause = MIN_PAUSE;
        let watch = (store.watch)(key.to_owned(), revision, Instant::now() + WATCH_WAIT).await?;
        match watch {
            Watch::Changes(response) => {
                revision = revision.max(response.revision);
                take(node, response, "watch");
            }
            Watch::Compacted => {
                let response = (store.get)(key.to_owned(), Instant::now() + READ_TIMEOUT).await?;
                revision = response.revision;
                take(node, response, "store");
            }
        }
    }
}

fn take(node: &Rc<Node>, response: Response, source: &'static str) {
    let key = node.platform.config_key.as_bytes();
    for item in response.entries {
        if item.key == key {
            apply(node, &item.value, source);
        }
    }
}

/// Puts a configuration in force if it is newer than the present one.
fn apply(node: &Rc<Node>, document: &Bytes, source: &'static str) {
    let table = match (node.platform.decode_routes)(document) {
        Ok(table) => table,
        Err(error) => {
            log::error!(event = "config.invalid", source, error; "configuration cannot be used; the last one stays");
            return;
        }
    };
    let known = node.routes().version;
    if table.version <= known {
        return;
    }
    log::info!(
        event = "config.applied", source, version = table.version, before = known, routes = table.routes.len();
        "configuration in force"
    );
    let table = Rc::new(table);
    node.config.routes.replace(Rc::clone(&table));
    node.config.document.replace(document.clone());
    if let State::Balancer(balancer) = &mut *node.state.borrow_mut() {
        balancer.routes = Rc::clone(&table);
    }
    agent::decide(node, &[], |agent, _, out| agent.set_routes(table, out));
    // Nodes that the store does not reach learn of the version from these reports.
    let own = node.settings.role();
    node.report_to(|role| own == Role::Balancer || role == Role::Balancer);
}

/// Gets the configuration from a peer that has a newer one.
pub(super) fn pull(node: &Rc<Node>, peer: Ipv4Addr) {
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
                log::warn!(event = "config.pull_failed", peer:% = peer, error:% = error; "peer did not answer");
            }
        }
        node.config.pulling.set(false);
    });
}
