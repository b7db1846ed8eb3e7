//! HTTP client of the backend server. It also tracks the server's health and load.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Empty, Limited, channel::Channel};
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    client::conn::http1::SendRequest,
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use serde::Deserialize;

use crate::{
    protocol::{
        code::Code,
        request::{self, Event, Head, Reply},
    },
    transport::{http, time},
};

/// Request body: empty, or streamed with back pressure.
pub type Payload = Either<Empty<Bytes>, Channel<Bytes, io::Error>>;

/// Maximum wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum duration of one poll of `/health` and `/load`.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum body length in bytes of `/health`, `/load` and a refusal.
const MAX_SMALL_BODY: usize = 4096;
/// How long a refusal due to draining takes precedence over `/health`, which may lag behind.
const DRAINING_REFUSAL_TIME: Duration = Duration::from_secs(2);
/// Number of consecutive failed polls after which the backend server counts as unreachable. A single failure may be a
/// lost poll.
const UNREACHABLE_POLLS: u32 = 2;

/// HTTP client of the local backend server.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    reported_draining: Cell<bool>,
    refused_until: Cell<Option<Instant>>,
    failed_polls: Cell<u32>,
    last_response: Cell<Option<Instant>>,
    load: Cell<Option<Load>>,
}

/// Response of `/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Total number of slots.
    pub slots_total: u32,
    /// Slots in use.
    pub slots_busy: u32,
    /// Open connections.
    pub connections: u32,
}

#[derive(Debug, Deserialize)]
struct Health {
    status: String,
}

/// A response whose body may still be arriving.
#[derive(Debug)]
pub struct Response {
    /// HTTP response with its streamed body.
    pub http: hyper::Response<Incoming>,
    /// Keeps the connection open.
    _sender: SendRequest<Payload>,
}

impl Response {
    /// Whether the response tells its own end. One that ends with its connection looks complete when the backend server
    /// breaks it off.
    pub fn is_delimited(&self) -> bool {
        let headers = self.http.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }
}

/// A call that got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Whether a byte of the call may have reached the backend server.
    pub sent: bool,
    /// Cause, for the log.
    pub detail: String,
}

impl Error {
    /// Converts the error to a reply for the caller.
    pub fn reply(self) -> Reply {
        let code = if self.sent {
            Code::BACKEND_LOST
        } else {
            Code::NO_BACKEND
        };
        reply(code, self.detail)
    }
}

/// Creates a reply without a retry hint.
pub fn reply(code: Code, detail: impl Into<String>) -> Reply {
    Reply {
        code,
        retry_after_ms: 0,
        detail: detail.into(),
    }
}

/// Result code for an HTTP status. Only 503 with `x-not-run: true` proves that the request did not run.
pub fn result_code(status: StatusCode, not_run: bool, draining: bool) -> Code {
    match (status, not_run) {
        (StatusCode::SERVICE_UNAVAILABLE, true) if draining => Code::DRAINING,
        (StatusCode::SERVICE_UNAVAILABLE, true) => Code::REFUSED,
        (status, _) if status.is_success() => Code::OK,
        _ => Code::BACKEND_ERROR,
    }
}

impl Client {
    /// Creates a client. Connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reported_draining: Cell::default(),
            refused_until: Cell::default(),
            failed_polls: Cell::default(),
            last_response: Cell::default(),
            load: Cell::default(),
        }
    }

    /// Last response of `/load`.
    pub fn load(&self) -> Option<Load> {
        self.load.get()
    }

    /// Whether the backend server does not respond. A response to any call resets the count of failed polls.
    pub fn is_unreachable(&self) -> bool {
        self.failed_polls.get() >= UNREACHABLE_POLLS
    }

    /// Whether the backend server is draining, according to its refusals or to `/health`.
    pub fn is_draining(&self, now: Instant) -> bool {
        self.reported_draining.get() || self.refused_until.get().is_some_and(|until| now < until)
    }

    /// Calls the backend server over a connection of its own. On a shared one, a late second copy of an answer would be taken
    /// for the answer to the next request.
    pub async fn call(&self, request: Request<Payload>) -> Result<Response, Error> {
        let mut sender = self.connect().await?;
        match sender.try_send_request(request).await {
            Ok(http) => {
                self.failed_polls.set(0);
                self.last_response.set(Some(Instant::now()));
                Ok(Response { http, _sender: sender })
            }
            Err(mut error) => Err(Error {
                sent: error.take_message().is_none(),
                detail: format!("call to backend server {}: {}", self.address, error.error()),
            }),
        }
    }

    async fn connect(&self) -> Result<SendRequest<Payload>, Error> {
        let connected = time::timeout_at(Instant::now() + CONNECT_TIMEOUT, http::connect(self.address)).await;
        match connected {
            Some(Ok(sender)) => Ok(sender),
            failed => {
                self.failed_polls.set(UNREACHABLE_POLLS.max(self.failed_polls.get()));
                let cause = failed.map_or_else(|| "timeout".to_owned(), |result| format!("{:?}", result.err()));
                Err(Error {
                    sent: false,
                    detail: format!("connect to backend server {}: {cause}", self.address),
                })
            }
        }
    }

    /// Result code and detail of a response. A refusal due to draining also marks the backend server as draining.
    pub async fn result_code(&self, response: &mut Response) -> (Code, String) {
        let status = response.http.status();
        let not_run = response
            .http
            .headers()
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        if !(not_run && status == StatusCode::SERVICE_UNAVAILABLE) {
            return (result_code(status, false, false), status.to_string());
        }
        let body = Limited::new(response.http.body_mut(), MAX_SMALL_BODY).collect().await;
        let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        let text = text.unwrap_or_default();
        let draining = text.contains("draining") || self.reported_draining.get();
        if draining {
            self.refused_until.set(Some(Instant::now() + DRAINING_REFUSAL_TIME));
        }
        (result_code(status, true, draining), text)
    }

    /// Builds the HTTP request for a short request or an upload.
    pub fn build_request(&self, head: &Head, caller: &str, deadline: Instant, body: Payload) -> Request<Payload> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let (method, path) = match head.kind {
            request::Kind::Upload => (Method::PUT, "uploads"),
            request::Kind::Request | request::Kind::Feed => (Method::POST, "requests"),
        };
        Request::builder()
            .method(method)
            .uri(format!("/{path}/{}", head.id))
            .header(HOST, self.address.to_string())
            .header("x-deadline-ms", remaining.as_millis().to_string())
            .header("x-caller", caller)
            .body(body)
            .expect("the parts of the request are valid")
    }

    fn get(&self, path: &str) -> Request<Payload> {
        Request::builder()
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Either::Left(Empty::new()))
            .expect("the parts of the request are valid")
    }

    /// Opens the feed with the events after a position.
    pub async fn open_feed(&self, position: u64, caller: &str) -> Result<Feed, Reply> {
        let mut request = self.get(&format!("/feed?position={position}"));
        if let Ok(caller) = caller.parse() {
            request.headers_mut().insert("x-caller", caller);
        }
        let mut response = self.call(request).await.map_err(Error::reply)?;
        let (code, detail) = self.result_code(&mut response).await;
        if code != Code::OK {
            return Err(reply(code, detail));
        }
        Ok(Feed {
            response,
            buffer: BytesMut::new(),
        })
    }

    /// Polls `/health` and `/load` once and updates the known state.
    pub async fn poll(&self) {
        let started = Instant::now();
        let polled = time::timeout_at(started + POLL_TIMEOUT, async {
            let health: Health = self.get_json("/health").await?;
            let load: Load = self.get_json("/load").await?;
            Some((health, load))
        })
        .await
        .flatten();
        match polled {
            Some((health, load)) => {
                self.failed_polls.set(0);
                self.reported_draining.set(health.status == "draining");
                self.load.set(Some(load));
            }
            // A call that succeeded in the meantime shows that the backend server is reachable.
            None if self.last_response.get().is_some_and(|at| at > started) => {}
            None => self.failed_polls.set(self.failed_polls.get().saturating_add(1)),
        }
    }

    async fn get_json<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Option<T> {
        let mut response = self.call(self.get(path)).await.ok()?;
        let body = Limited::new(response.http.body_mut(), MAX_SMALL_BODY).collect().await;
        let body = body.ok()?.to_bytes();
        response
            .http
            .status()
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())
            .flatten()
    }
}

/// An open feed of the local backend server.
#[derive(Debug)]
pub struct Feed {
    response: Response,
    buffer: BytesMut,
}

/// One event of the feed, encoded as a line of JSON.
#[derive(Debug, Deserialize)]
struct Line {
    position: u64,
    payload: String,
}

impl Feed {
    /// Returns the next event, or why the feed ended. Cancel-safe.
    pub async fn next(&mut self) -> Result<Event, String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let line: Line = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
                return Ok(Event {
                    position: line.position,
                    payload: Bytes::from(line.payload),
                });
            }
            if self.buffer.len() > request::MAX_LEN {
                return Err("event is too long".to_owned());
            }
            match self.response.http.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => return Err("feed ended".to_owned()),
            }
        }
    }
}
