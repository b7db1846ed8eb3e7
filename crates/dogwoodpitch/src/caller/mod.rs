//! Caller library: sessions with requests, feeds and uploads that survive changes behind the service address.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::Instant,
};

use bytes::Bytes;

use crate::protocol::{code::Code, request::Id};

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

/// A session with one service. It replaces its connection when that is silent, lost or asked to move.
#[derive(Debug, Clone)]
pub struct Session(Rc<Settings>);

/// Answer of a request or an upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Result.
    pub code: Code,
    /// Body, empty unless the code is `OK` or 300.
    pub body: Bytes,
    /// Text for the log.
    pub detail: String,
    /// Number of attempts.
    pub attempts: u32,
}

/// An open feed.
#[derive(Debug)]
pub struct Feed {
    _session: Session,
    _position: u64,
}

/// A request or an upload.
#[derive(Debug, Clone)]
pub struct Work {
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
    pub fn open(settings: Settings) -> Self {
        Self(Rc::new(settings))
    }

    /// Sends a short request and waits for its whole answer.
    pub async fn request(&self, work: Work) -> Answer {
        let _ = work;
        std::future::pending().await
    }

    /// Sends an upload and waits for its whole answer.
    pub async fn upload(&self, work: Work) -> Answer {
        let _ = work;
        std::future::pending().await
    }

    /// Opens a feed behind a position.
    pub fn feed(&self, position: u64) -> Feed {
        Feed {
            _session: self.clone(),
            _position: position,
        }
    }
}

impl Feed {
    /// Next event, each position exactly once and in order. Waits through moves and reconnects.
    pub async fn next(&mut self) -> crate::protocol::request::Event {
        std::future::pending().await
    }
}
