//! Task of a session: keeps one connection, and replaces it when it is silent, lost or asked to move.

use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use quinn_proto::{ClientConfig, EndpointConfig};
use rand::RngExt;

use crate::{
    caller::{Counters, Settings, exchange::Reader, link, link::Link, port::Port},
    protocol::request::Notice,
    state::budget::Budget,
    transport::{
        notify::Notify,
        quic::{Endpoint, Verdict},
        time,
    },
};

/// An attempt to connect that has not finished after this time is repeated, since the chosen agent may be dead.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay between failed attempts to connect; it doubles with each attempt.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between failed attempts to connect.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Callers of a draining agent spread their moves over this time.
const MOVE_SPREAD: Duration = Duration::from_millis(100);
/// Shortest time between moves, so that an agent cannot make the session reconnect without pause.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for datagrams that already wait in the socket when a silence is noticed. A busy process would otherwise take its
/// own delay for a silent path.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// State of a session, shared by its task, its handles and its feeds.
pub(super) struct Inner {
    pub(super) settings: Settings,
    config: ClientConfig,
    endpoint: Endpoint,
    port: Rc<Port>,
    current: RefCell<Option<Rc<Link>>>,
    /// Notified when `current`, `closed` or a link's `abandoned` changes.
    pub(super) change: Notify,
    pub(super) budget: RefCell<Budget>,
    /// Number of the connection whose agent refuses work because it is draining.
    refused: Cell<Option<u64>>,
    closed: Cell<bool>,
    counters: Cell<Counters>,
    connections: Cell<u64>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner")
            .field("service", &self.settings.service)
            .field("counters", &self.counters.get())
            .finish_non_exhaustive()
    }
}

/// Why the current connection has to be replaced.
enum End {
    Lost(String),
    Silent,
    Move(String),
}

impl Inner {
    pub(super) fn spawn(settings: Settings) -> Rc<Self> {
        let config = link::config(&settings).expect("settings have been checked");
        let port = Rc::new(Port::default());
        let output = {
            let port = Rc::clone(&port);
            move |remote, datagram: &[u8]| port.send(remote, datagram)
        };
        let inner = Rc::new(Self {
            endpoint: Endpoint::open(EndpointConfig::default(), None, output, |_| Verdict::Ignore),
            settings,
            config,
            port,
            current: RefCell::default(),
            change: Notify::default(),
            budget: RefCell::new(Budget::new()),
            refused: Cell::new(None),
            closed: Cell::new(false),
            counters: Cell::default(),
            connections: Cell::new(0),
        });
        monoio::spawn(Rc::clone(&inner).run());
        inner
    }

    pub(super) fn counters(&self) -> Counters {
        self.counters.get()
    }

    fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Ends the session. Connections close as their last streams are dropped.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.current.take();
        self.port.close();
        self.change.notify_waiters();
    }

    /// Connection for new work.
    pub(super) fn current(&self) -> Option<Rc<Link>> {
        let current = self.current.borrow().clone();
        current.filter(|link| !link.connection.is_closed())
    }

    /// Waits for a connection for new work.
    pub(super) async fn link(&self) -> Rc<Link> {
        self.change.wait(|| self.current()).await
    }

    /// Waits until the connection for new work is another one.
    pub(super) async fn replaced(&self, link: &Link) -> Rc<Link> {
        let other = || self.current().filter(|current| current.number != link.number);
        self.change.wait(other).await
    }

    /// Waits until the path of a connection is given up.
    pub(super) async fn abandoned(&self, link: &Link) {
        self.change.wait(|| link.abandoned.get().then_some(())).await;
    }

    /// Moves to another connection because the agent refuses work. Its notice to move may come later, since an agent spreads
    /// these notices over a second.
    pub(super) fn leave(&self, link: &Link) {
        self.refused.set(Some(link.number));
        self.change.notify_waiters();
    }

    async fn refused(&self, link: &Link) {
        let refused = || (self.refused.get() == Some(link.number)).then_some(());
        self.change.wait(refused).await;
    }

    async fn run(self: Rc<Self>) {
        let closed = self.change.wait(|| self.closed.get().then_some(()));
        monoio::select! {
            () = closed => {}
            () = self.maintain() => {}
        }
    }

    async fn maintain(&self) {
        let mut link = self.replace(None).await;
        loop {
            let opened = Instant::now();
            let end = monoio::select! {
                reason = link.connection.closed() => End::Lost(reason.to_string()),
                reason = notice(&link) => End::Move(reason),
                () = self.refused(&link) => End::Move("request refused: draining".to_owned()),
                () = self.silent(&link) => End::Silent,
            };
            let service = self.settings.service.as_str();
            let number = link.number;
            match &end {
                End::Move(reason) => {
                    self.count(|counters| counters.moves += 1);
                    log::info!(
                        event = "caller.move", service, connection = number, reason = reason.as_str();
                        "moving to a new connection"
                    );
                    let spread = rand::rng().random_range(Duration::ZERO..MOVE_SPREAD);
                    time::sleep_until((opened + MOVE_INTERVAL).max(Instant::now() + spread)).await;
                }
                End::Lost(reason) => {
                    self.count(|counters| counters.reconnects += 1);
                    log::warn!(
                        event = "caller.reconnect", service, connection = number, reason = reason.as_str();
                        "connection lost, reconnecting"
                    );
                }
                End::Silent => {
                    self.count(|counters| counters.reconnects += 1);
                    log::warn!(
                        event = "caller.reconnect", service, connection = number, reason = "silence";
                        "connection silent after a change of the local port, reconnecting"
                    );
                }
            }
            let silent = matches!(end, End::Silent);
            let next = self.replace(Some(&link)).await;
            if silent {
                link.abandoned.set(true);
                self.change.notify_waiters();
            }
            link = next;
        }
    }

    /// Opens a connection and makes it the one for new work. The former one lives on until its streams are dropped.
    async fn replace(&self, former: Option<&Link>) -> Rc<Link> {
        let mut delay = FIRST_DELAY;
        loop {
            match self.connect().await {
                Ok(link) => {
                    log::info!(
                        event = "caller.connected",
                        service = self.settings.service.as_str(),
                        connection = link.number,
                        former:? = former.map(|link| link.number);
                        "connected"
                    );
                    let link = Rc::new(link);
                    *self.current.borrow_mut() = Some(Rc::clone(&link));
                    self.change.notify_waiters();
                    return link;
                }
                Err(reason) => {
                    let jittered = rand::rng().random_range(delay / 2..delay);
                    log::warn!(
                        event = "caller.connect_failed",
                        service = self.settings.service.as_str(),
                        reason = reason.as_str(),
                        delay_ms = u64::try_from(jittered.as_millis()).unwrap_or(u64::MAX);
                        "cannot connect"
                    );
                    time::sleep_until(Instant::now() + jittered).await;
                    delay = (delay * 2).min(MAX_DELAY);
                }
            }
        }
    }

    async fn connect(&self) -> Result<Link, String> {
        if !self.port.is_bound() {
            self.bind()?;
        }
        let remote = self.settings.address.into();
        let connection = self
            .endpoint
            .connect(self.config.clone(), remote, &self.settings.service)
            .map_err(|error| error.to_string())?;
        match time::timeout_at(Instant::now() + CONNECT_TIMEOUT, connection.connected()).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("no answer".to_owned()),
        }
        let number = self.connections.get() + 1;
        self.connections.set(number);
        Ok(Link::new(number, connection))
    }

    fn bind(&self) -> Result<(), String> {
        self.port
            .bind(self.settings.local, self.settings.address, &self.endpoint)
            .map_err(|error| format!("bind {}: {error}", self.settings.local))
    }

    /// Waits until nothing arrives any more. A silent connection first gets a new local port, since a device on the path
    /// may have lost its state for the old one; this returns when that does not help. Keepalive makes the agent answer, so
    /// something is always expected.
    async fn silent(&self, link: &Link) {
        let limit = Duration::from_millis(self.settings.silence_ms.into());
        let connection = &link.connection;
        loop {
            let due = connection.last_received() + limit;
            if Instant::now() < due {
                time::sleep_until(due).await;
                continue;
            }
            time::sleep_until(Instant::now() + RECHECK_DELAY).await;
            if Instant::now() < connection.last_received() + limit {
                continue;
            }
            let rebound = Instant::now();
            self.count(|counters| counters.rebinds += 1);
            log::warn!(
                event = "caller.rebind",
                service = self.settings.service.as_str(),
                connection = link.number,
                reason = "silence";
                "connection silent, changing the local port"
            );
            if let Err(error) = self.bind() {
                log::warn!(event = "caller.rebind_failed", error = error.as_str(); "cannot change the local port");
                return;
            }
            connection.local_address_changed();
            time::sleep_until(rebound + limit / 2).await;
            if connection.last_received() < rebound {
                return;
            }
        }
    }
}

/// Waits for a request of the agent to move. Ends never if the stream fails, since the loss of the connection is noticed
/// elsewhere.
async fn notice(link: &Link) -> String {
    let read = async {
        let mut reader = Reader::open(link.connection.accept_uni().await.ok()?);
        match reader.message::<Notice>().await.ok()?? {
            Notice::Move { reason } => Some(reason),
        }
    };
    match read.await {
        Some(reason) => reason,
        None => std::future::pending().await,
    }
}
