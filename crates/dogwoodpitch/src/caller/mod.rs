//! Caller library: sessions whose requests, feeds and uploads survive changes behind the service address.

mod feed;
mod link;
mod reader;
mod request;
mod session;
mod socket;

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
use self::session::State;

/// Where and how to reach a service.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the service, which is also the TLS server name.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddrV4,
    /// Local IP address to send from.
    pub local: Ipv4Addr,
    /// Trusted root certificates in PEM.
    pub roots: String,
    /// Keepalive interval in milliseconds.
    pub keepalive_ms: u32,
    /// Silence in milliseconds after which the path of a connection counts as broken.
    pub silence_ms: u32,
}

/// An invalid field of the settings.
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
        match link::tls_config(&self.roots) {
            Ok(_) => Ok(()),
            Err(problem) => error("roots", problem),
        }
    }
}

/// A session with one service. It replaces its connection when the connection is silent or lost, or when the agent asks
/// the caller to move.
///
/// The session ends when all its clones and feeds are dropped.
#[derive(Debug, Clone)]
pub struct Session(Rc<Guard>);

/// Closes the session when the last clone is dropped.
#[derive(Debug)]
struct Guard(Rc<State>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Numbers of connection changes of a session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Moves requested by an agent.
    pub moves: u64,
    /// Changes of the local port of a connection.
    pub rebinds: u64,
    /// Connections replaced because they were lost or remained silent.
    pub reconnects: u64,
}

/// Response to a request or an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Result code.
    pub code: Code,
    /// Body, empty unless the code is `OK` or 300.
    pub body: Bytes,
    /// Cause, for the log.
    pub detail: String,
    /// Number of attempts.
    pub attempts: u32,
}

/// A request or an upload.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request ID, the same for all attempts.
    pub id: Id,
    /// Class of the request.
    pub class: String,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Time after which the response is no longer useful.
    pub deadline: Instant,
    /// Body.
    pub body: Bytes,
}

impl Session {
    /// Opens a session. It connects in the background.
    ///
    /// # Panics
    ///
    /// If the settings do not pass [`Settings::check`].
    pub fn open(settings: Settings) -> Self {
        if let Err(error) = settings.check() {
            panic!("{error}");
        }
        let state = State::spawn(settings);
        Self(Rc::new(Guard(state)))
    }

    /// Sends a short request and waits for the complete response. Dropping the future cancels the request.
    pub async fn request(&self, request: Request) -> Response {
        request::run(&self.0.0, Kind::Request, &request).await
    }

    /// Sends an upload and waits for the complete response. Dropping the future cancels the upload.
    pub async fn upload(&self, request: Request) -> Response {
        request::run(&self.0.0, Kind::Upload, &request).await
    }

    /// Opens a feed with the events after a position.
    pub fn feed(&self, position: u64) -> Feed {
        Feed::open(self.clone(), position)
    }

    /// Numbers of connection changes so far.
    pub fn counters(&self) -> Counters {
        self.0.0.counters()
    }

    fn state(&self) -> &State {
        &self.0.0
    }
}
