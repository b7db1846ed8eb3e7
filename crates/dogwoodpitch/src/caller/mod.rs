//! Caller library: sessions with requests, feeds and uploads that survive changes behind the service address.

mod exchange;
mod feed;
mod link;
mod port;
mod request;
mod session;

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::Instant,
};

use bytes::Bytes;
use snafu::Snafu;

use crate::protocol::{
    code::Code,
    request::{Id, Kind},
};

pub use self::feed::Feed;
use self::session::Inner;

/// Where and how to reach a service.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the service, which is also the TLS server name.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddrV4,
    /// Local IP address to send from.
    pub local: Ipv4Addr,
    /// Certificates in PEM that the caller trusts.
    pub roots: String,
    /// Keepalive interval in milliseconds.
    pub keepalive_ms: u32,
    /// Silence in milliseconds after which a connection is taken to be broken.
    pub silence_ms: u32,
}

/// Settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("code 601: caller settings: field `{field}`: {problem}"))]
pub struct Error {
    field: &'static str,
    problem: String,
}

impl Settings {
    /// Checks all fields.
    pub fn check(&self) -> Result<(), Error> {
        let error = |field, problem: String| Err(Error { field, problem });
        if rustls::pki_types::ServerName::try_from(self.service.as_str()).is_err() {
            return error("service", format!("expected a DNS name, found {:?}", self.service));
        }
        if self.address.port() == 0 {
            return error("address", "expected a port other than 0".to_owned());
        }
        if self.keepalive_ms == 0 || self.silence_ms <= self.keepalive_ms {
            return error(
                "silence_ms",
                "expected more than `keepalive_ms`, which must not be 0".to_owned(),
            );
        }
        match link::tls(&self.roots) {
            Ok(_) => Ok(()),
            Err(problem) => error("roots", problem),
        }
    }
}

/// A session with one service. It replaces its connection when that is silent, lost or asked to move.
///
/// The session ends when all its handles and feeds are dropped.
#[derive(Debug, Clone)]
pub struct Session(Rc<Handle>);

#[derive(Debug)]
struct Handle(Rc<Inner>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// How often a session has changed its connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Moves that an agent asked for.
    pub moves: u64,
    /// Changes of the local port on the same connection.
    pub rebinds: u64,
    /// Connections replaced because they were lost or stayed silent.
    pub reconnects: u64,
}

/// Answer of a request or an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Result.
    pub code: Code,
    /// Body, empty unless the code is `OK` or 300.
    pub body: Bytes,
    /// Text for the log.
    pub detail: String,
    /// Number of attempts.
    pub attempts: u32,
}

/// A request or an upload.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identity, the same for all attempts.
    pub id: Id,
    /// Class of work.
    pub class: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Body.
    pub body: Bytes,
}

impl Session {
    /// Opens a session; the connection follows in the background.
    ///
    /// # Panics
    ///
    /// If the settings do not pass [`Settings::check`].
    pub fn open(settings: Settings) -> Self {
        if let Err(error) = settings.check() {
            panic!("{error}");
        }
        let inner = Inner::spawn(settings);
        Self(Rc::new(Handle(inner)))
    }

    /// Sends a short request and waits for its whole answer. Dropping the future cancels the request.
    pub async fn request(&self, work: Request) -> Response {
        request::run(&self.0.0, Kind::Request, &work).await
    }

    /// Sends an upload and waits for its whole answer. Dropping the future cancels the upload.
    pub async fn upload(&self, work: Request) -> Response {
        request::run(&self.0.0, Kind::Upload, &work).await
    }

    /// Opens a feed behind a position.
    pub fn feed(&self, position: u64) -> Feed {
        Feed::open(self.clone(), position)
    }

    /// How often the connection has changed.
    pub fn counters(&self) -> Counters {
        self.0.0.counters()
    }

    fn inner(&self) -> &Inner {
        &self.0.0
    }
}
