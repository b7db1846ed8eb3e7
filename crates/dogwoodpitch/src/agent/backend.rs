//! HTTP client of the backend server, and what the agent knows about its state.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Empty, Limited, channel::Channel};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    client::conn::http1::SendRequest,
    header::HOST,
};
use serde::Deserialize;

use crate::{
    protocol::{
        code::Code,
        request::{self, Event, Head, Reply},
    },
    transport::{http, time},
};

/// Body of a call: none, or streamed with back pressure.
pub type Payload = Either<Empty<Bytes>, Channel<Bytes, io::Error>>;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an answer of `/health` or `/load`.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest body of `/health`, `/load` and of a refusal.
const MAX_SMALL_BODY: usize = 4096;
/// How long a refusal that names draining outweighs `/health`, which may lag.
const REFUSAL_VALID: Duration = Duration::from_secs(2);
/// Failed polls in a row until the backend server counts as unreachable; a single one may be a lost poll.
const MAX_FAILED_POLLS: u32 = 2;
/// Idle connections that are kept.
const MAX_IDLE: usize = 64;

/// The backend server of this agent.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Payload>>>,
    reported_draining: Cell<bool>,
    refused_until: Cell<Option<Instant>>,
    failed_polls: Cell<u32>,
    answered: Cell<Option<Instant>>,
    load: Cell<Option<Load>>,
}

/// Answer of `/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Slots of the backend server.
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

/// An answer whose body may still arrive.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    sender: SendRequest<Payload>,
}

/// A call without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Whether a byte of the call may have reached the backend server.
    pub sent: bool,
    /// Text for the log.
    pub detail: String,
}

impl Failure {
    /// Reply for the caller.
    pub fn reply(self) -> Reply {
        let code = if self.sent {
            Code::BACKEND_LOST
        } else {
            Code::NO_BACKEND
        };
        reply(code, self.detail)
    }
}

/// Reply without a hint when to try again.
pub fn reply(code: Code, detail: impl Into<String>) -> Reply {
    Reply {
        code,
        retry_after_ms: 0,
        detail: detail.into(),
    }
}

/// Result code of an answer. Only 503 with `x-not-run: true` proves that the request did not run.
pub fn code(status: StatusCode, not_run: bool, draining: bool) -> Code {
    match (status, not_run) {
        (StatusCode::SERVICE_UNAVAILABLE, true) if draining => Code::DRAINING,
        (StatusCode::SERVICE_UNAVAILABLE, true) => Code::REFUSED,
        (status, _) if status.is_success() => Code::OK,
        _ => Code::BACKEND_ERROR,
    }
}

impl Backend {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            reported_draining: Cell::default(),
            refused_until: Cell::default(),
            failed_polls: Cell::default(),
            answered: Cell::default(),
            load: Cell::default(),
        }
    }

    /// Last answer of `/load`.
    pub fn load(&self) -> Option<Load> {
        self.load.get()
    }

    /// Whether the backend server does not answer. An answer to a call outweighs failed polls before it.
    pub fn is_unreachable(&self) -> bool {
        self.failed_polls.get() >= MAX_FAILED_POLLS
    }

    /// Whether the backend server is draining, by its refusals or by `/health`.
    pub fn is_draining(&self, now: Instant) -> bool {
        self.reported_draining.get() || self.refused_until.get().is_some_and(|until| now < until)
    }

    /// Calls the backend server on a reused or a new connection.
    pub async fn call(&self, mut request: Request<Payload>) -> Result<Answer, Failure> {
        loop {
            let (mut sender, reused) = self.connection().await?;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    self.failed_polls.set(0);
                    self.answered.set(Some(Instant::now()));
                    return Ok(Answer { response, sender });
                }
                Err(mut error) => match error.take_message() {
                    // The server closed an idle connection before a byte of the request was written.
                    Some(unsent) if reused => request = unsent,
                    unsent => {
                        return Err(Failure {
                            sent: unsent.is_none(),
                            detail: format!("call to backend server {}: {}", self.address, error.error()),
                        });
                    }
                },
            }
        }
    }

    async fn connection(&self) -> Result<(SendRequest<Payload>, bool), Failure> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut sender) = idle else { break };
            if sender.ready().await.is_ok() {
                return Ok((sender, true));
            }
        }
        let connected = time::timeout_at(Instant::now() + CONNECT_TIMEOUT, http::connect(self.address)).await;
        match connected {
            Some(Ok(sender)) => Ok((sender, false)),
            failed => {
                self.failed_polls.set(MAX_FAILED_POLLS.max(self.failed_polls.get()));
                let cause = failed.map_or_else(|| "timeout".to_owned(), |result| format!("{:?}", result.err()));
                Err(Failure {
                    sent: false,
                    detail: format!("connect to backend server {}: {cause}", self.address),
                })
            }
        }
    }

    /// Keeps the connection of a completely sent call and a completely read answer.
    pub fn reuse(&self, answer: Answer) {
        let Answer { response, sender } = answer;
        let mut idle = self.idle.borrow_mut();
        if response.body().is_end_stream() && !sender.is_closed() && idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    /// Result code of an answer. A refusal of a draining backend server also ends new work here.
    pub async fn code(&self, answer: &mut Answer) -> (Code, String) {
        let status = answer.response.status();
        let not_run = answer
            .response
            .headers()
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        if !(not_run && status == StatusCode::SERVICE_UNAVAILABLE) {
            return (code(status, false, false), status.to_string());
        }
        let body = Limited::new(answer.response.body_mut(), MAX_SMALL_BODY).collect().await;
        let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        let text = text.unwrap_or_default();
        let draining = text.contains("draining") || self.reported_draining.get();
        if draining {
            self.refused_until.set(Some(Instant::now() + REFUSAL_VALID));
        }
        (code(status, true, draining), text)
    }

    /// Request for a short request or an upload.
    pub fn work(&self, head: &Head, caller: &str, deadline: Instant, body: Payload) -> Request<Payload> {
        let left = deadline.saturating_duration_since(Instant::now());
        let (method, path) = match head.kind {
            request::Kind::Upload => (Method::PUT, "uploads"),
            request::Kind::Request | request::Kind::Feed => (Method::POST, "requests"),
        };
        Request::builder()
            .method(method)
            .uri(format!("/{path}/{}", head.id))
            .header(HOST, self.address.to_string())
            .header("x-deadline-ms", left.as_millis().to_string())
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

    /// Opens the feed behind a position.
    pub async fn feed(&self, position: u64, caller: &str) -> Result<Feed, Reply> {
        let mut request = self.get(&format!("/feed?position={position}"));
        if let Ok(caller) = caller.parse() {
            request.headers_mut().insert("x-caller", caller);
        }
        let mut answer = self.call(request).await.map_err(Failure::reply)?;
        let (code, detail) = self.code(&mut answer).await;
        if code != Code::OK {
            return Err(reply(code, detail));
        }
        Ok(Feed {
            answer,
            buffer: BytesMut::new(),
        })
    }

    /// Asks for health and load once.
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
            // A call that was answered meanwhile shows that the backend server works.
            None if self.answered.get().is_some_and(|at| at > started) => {}
            None => self.failed_polls.set(self.failed_polls.get().saturating_add(1)),
        }
    }

    async fn get_json<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Option<T> {
        let mut answer = self.call(self.get(path)).await.ok()?;
        let body = Limited::new(answer.response.body_mut(), MAX_SMALL_BODY).collect().await;
        let body = body.ok()?.to_bytes();
        let value = answer
            .response
            .status()
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())
            .flatten();
        self.reuse(answer);
        value
    }
}

/// An open feed of the backend server.
#[derive(Debug)]
pub struct Feed {
    answer: Answer,
    buffer: BytesMut,
}

#[derive(Debug, Deserialize)]
struct Line {
    position: u64,
    payload: String,
}

impl Feed {
    /// Next event, or the reason why there is none. Dropping the future loses nothing.
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
            match self.answer.response.frame().await {
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
