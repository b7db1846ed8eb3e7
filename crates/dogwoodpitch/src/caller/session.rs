//! Connection management of a session: keeps one connection open, and replaces it when it is silent or lost, or when the
//! agent asks the caller to move.

use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use quinn_proto::{ClientConfig, EndpointConfig};
use rand::RngExt;

use crate::{
    caller::{Counters, Settings, link, link::Link, reader::Reader, socket::Socket},
    protocol::request::Notice,
    state::budget::Budget,
    transport::{
        notify::Notify,
        quic::{Endpoint, Verdict},
        time,
    },
};

/// Timeout of one attempt to connect. The chosen agent may be dead, so the attempt is repeated.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after the first failed attempt to connect. It doubles with each failure.
const MIN_CONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between failed attempts to connect.
const MAX_CONNECT_DELAY: Duration = Duration::from_secs(2);
/// Maximum random delay of a move, which spreads the moves of the callers of a draining agent.
const MOVE_SPREAD: Duration = Duration::from_millis(100);
/// Minimum time between moves, so that an agent cannot make the session reconnect continuously.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// When a silence is detected, datagrams already queued in the socket are processed for this time before it counts.
/// Otherwise, a busy process would mistake its own delay for a silent path.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// State of a session, shared by its task, its clones and its feeds.
pub(super) struct State {
    pub(super) settings: Settings,
    config: ClientConfig,
    endpoint: Endpoint,
    socket: Rc<Socket>,
    current: RefCell<Option<Rc<Link>>>,
    /// Notified when `current`, `closed` or a link's `abandoned` changes.
    pub(super) change: Notify,
    pub(super) budget: RefCell<Budget>,
    /// Number of the connection whose agent refuses requests because it is draining.
    draining_link: Cell<Option<u64>>,
    closed: Cell<bool>,
    counters: Cell<Counters>,
    connections: Cell<u64>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State")
            .field("service", &self.settings.service)
            .field("counters", &self.counters.get())
            .finish_non_exhaustive()
    }
}

/// Why the current connection must be replaced.
enum Cause {
    Lost(String),
    Silent,
    Move(String),
}

impl State {
    pub(super) fn spawn(settings: Settings) -> Rc<Self> {
        let config = link::client_config(&settings).expect("settings have been checked");
        let socket = Rc::new(Socket::default());
        let output = {
            let socket = Rc::clone(&socket);
            move |remote, datagram: &[u8]| socket.send(remote, datagram)
        };
        let inner = Rc::new(Self {
            endpoint: Endpoint::open(EndpointConfig::default(), None, output, |_| Verdict::Ignore),
            settings,
            config,
            socket,
            current: RefCell::default(),
            change: Notify::default(),
            budget: RefCell::new(Budget::new()),
            draining_link: Cell::new(None),
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

    fn update_counters(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Closes the session. Each connection closes when its last stream is dropped.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.current.take();
        self.socket.close();
        self.change.notify_waiters();
    }

    /// Returns the connection for new requests, if there is one.
    pub(super) fn current(&self) -> Option<Rc<Link>> {
        let current = self.current.borrow().clone();
        current.filter(|link| !link.connection.is_closed())
    }

    /// Waits for a connection for new requests.
    pub(super) async fn link(&self) -> Rc<Link> {
        self.change.wait(|| self.current()).await
    }

    /// Waits until new requests use another connection, and returns that one.
    pub(super) async fn replaced(&self, link: &Link) -> Rc<Link> {
        let other = || self.current().filter(|current| current.number != link.number);
        self.change.wait(other).await
    }

    /// Waits until a connection is abandoned because of its silent path.
    pub(super) async fn abandoned(&self, link: &Link) {
        self.change.wait(|| link.abandoned.get().then_some(())).await;
    }

    /// Moves to another connection because the agent refuses requests. Its notice to move may arrive later, because an
    /// agent spreads these notices over a second.
    pub(super) fn move_from(&self, link: &Link) {
        self.draining_link.set(Some(link.number));
        self.change.notify_waiters();
    }

    async fn draining_refusal(&self, link: &Link) {
        let refused = || (self.draining_link.get() == Some(link.number)).then_some(());
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
            let cause = monoio::select! {
                reason = link.connection.closed() => Cause::Lost(reason.to_string()),
                reason = move_notice(&link) => Cause::Move(reason),
                () = self.draining_refusal(&link) => Cause::Move("request refused: draining".to_owned()),
                () = self.path_failed(&link) => Cause::Silent,
            };
            let service = self.settings.service.as_str();
            let number = link.number;
            match &cause {
                Cause::Move(reason) => {
                    self.update_counters(|counters| counters.moves += 1);
                    log::info!(
                        event = "caller.move", service, connection = number, reason = reason.as_str();
                        "moving to a new connection"
                    );
                    let spread = rand::rng().random_range(Duration::ZERO..MOVE_SPREAD);
                    time::sleep_until((opened + MOVE_INTERVAL).max(Instant::now() + spread)).await;
                }
                Cause::Lost(reason) => {
                    self.update_counters(|counters| counters.reconnects += 1);
                    log::warn!(
                        event = "caller.reconnect", service, connection = number, reason = reason.as_str();
                        "connection lost, reconnecting"
                    );
                }
                Cause::Silent => {
                    self.update_counters(|counters| counters.reconnects += 1);
                    log::warn!(
                        event = "caller.reconnect", service, connection = number, reason = "silence";
                        "connection silent after a change of the local port, reconnecting"
                    );
                }
            }
            let silent = matches!(cause, Cause::Silent);
            let next = self.replace(Some(&link)).await;
            if silent {
                link.abandoned.set(true);
                self.change.notify_waiters();
            }
            link = next;
        }
    }

    /// Opens a connection and uses it for new requests. The previous one stays open until its last stream is dropped.
    async fn replace(&self, former: Option<&Link>) -> Rc<Link> {
        let mut delay = MIN_CONNECT_DELAY;
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
                    delay = (delay * 2).min(MAX_CONNECT_DELAY);
                }
            }
        }
    }

    async fn connect(&self) -> Result<Link, String> {
        if !self.socket.is_bound() {
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
        self.socket
            .bind(self.settings.local, self.settings.address, &self.endpoint)
            .map_err(|error| format!("bind {}: {error}", self.settings.local))
    }

    /// Waits until the path of a connection has failed. A silent connection first gets a new local port, because a device
    /// on the path may have lost its state for the old one. Returns if the connection stays silent after that. A live path
    /// is never silent, because the agent acknowledges keepalives.
    async fn path_failed(&self, link: &Link) {
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
            self.update_counters(|counters| counters.rebinds += 1);
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

/// Waits for the agent's notice to move and returns its reason. Never completes if the stream fails, because
/// [`State::maintain`] detects a lost connection itself.
async fn move_notice(link: &Link) -> String {
    let read = async {
        let mut reader = Reader::open(link.connection.accept_uni().await.ok()?);
        match reader.read_message::<Notice>().await.ok()?? {
            Notice::Move { reason } => Some(reason),
        }
    };
    match read.await {
        Some(reason) => reason,
        None => std::future::pending().await,
    }
}
