//! Feeds: streams of events of the backend server, resumed at the last position when their source fails.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use metrics::gauge;

use crate::{
    agent::{
        Agent, backend,
        backend::reply,
        request::{self as agent_request, Request, log_placement, record_completion},
        stream::{Input, Stream},
    },
    coordination::exchange::Remote,
    protocol::{
        code::Code,
        request::{self, Event, Head, Reply},
    },
    transport::time,
};

/// Maximum wait for a source to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of consecutive sources that fail without an event. After that the feed ends, and the caller resumes it
/// at another agent.
const MAX_FAILURES: u32 = 3;
/// Time without an event after which a feed is opened again at its position: a silent source may have no news, or may be out of
/// reach behind a connection that does not break. It is read on until another source is open.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Delay before a failed feed is resumed, so that a failing backend server is not called in a tight loop.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Guard that counts an open feed.
struct Guard;

impl Guard {
    fn start() -> Self {
        gauge!("dogwoodpitch_agent_feeds").increment(1);
        Self
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        gauge!("dogwoodpitch_agent_feeds").decrement(1);
    }
}

/// Origin of the events of a feed.
pub(super) enum Source {
    /// The local backend server.
    Local(Box<backend::Feed>),
    /// A peer agent, with the bytes received but not yet decoded.
    Peer(Box<Remote>, BytesMut),
}

impl Source {
    /// Returns the next event, or why the source failed. Cancel-safe.
    async fn next(&mut self) -> Result<Event, String> {
        match self {
            Self::Local(feed) => feed.next().await,
            Self::Peer(remote, buffer) => loop {
                match request::decode(buffer) {
                    Ok(Some(event)) => return Ok(event),
                    Ok(None) => {}
                    Err(error) => return Err(error.to_string()),
                }
                match remote.recv_body().await {
                    Ok(Some(bytes)) => buffer.extend_from_slice(&bytes),
                    Ok(None) => return Err("feed of the peer ended".to_owned()),
                    Err(error) => return Err(error.to_string()),
                }
            },
        }
    }
}

/// Why the events of a source are no longer forwarded.
enum Pause {
    /// The source has been silent for [`SILENCE_LIMIT`].
    Silent,
    /// The source failed.
    Failed(String),
}

/// Runs a feed of a caller until the caller cancels it or no backend server can continue it.
pub(super) async fn run(agent: &Agent, stream: &mut Stream, request: &Request) {
    let _guard = Guard::start();
    let started = Instant::now();
    let mut position = request.head.position;
    let mut replied = false;
    let mut failures = 0;
    let mut silent = None;
    let (code, detail) = loop {
        let opening = time::timeout_at(Instant::now() + OPEN_TIMEOUT, open(agent, request, position));
        let opened = match select(pin!(opening), pin!(wait_for_cancellation(stream))).await {
            Either::Left((Some(opened), _)) => opened,
            Either::Left((None, _)) => Err(reply(Code::NO_BACKEND, "feed did not open in time")),
            Either::Right((cause, _)) => break (Code::CANCELLED, cause),
        };
        let mut source = match (opened, silent.take()) {
            (Ok(source), _) | (Err(_), Some(source)) => source,
            (Err(refusal), None) => {
                // A feed that was already confirmed just ends, and the caller resumes it elsewhere at its position.
                if !replied {
                    let _ = stream.reply(&refusal).await;
                }
                let _ = stream.finish().await;
                break (refusal.code, refusal.detail);
            }
        };
        if !replied {
            replied = true;
            if let Err(error) = stream.reply(&reply(Code::OK, "")).await {
                break (Code::CANCELLED, error.to_string());
            }
        }
        let before = position;
        let cause = match forward_events(stream, &mut source, &mut position).await {
            Ok(Pause::Silent) => {
                silent = Some(source);
                continue;
            }
            Ok(Pause::Failed(cause)) => cause,
            Err(cause) => break (Code::CANCELLED, cause),
        };
        failures = if position > before { 1 } else { failures + 1 };
        log::info!(
            event = "feed.broken", request:% = request.head.id, position = position, cause = cause; "source of a feed failed"
        );
        if failures > MAX_FAILURES {
            let _ = stream.finish().await;
            break (Code::BACKEND_LOST, cause);
        }
        monoio::time::sleep(RESUME_DELAY).await;
    };
    record_completion(request, code, &detail, started);
}

/// Runs a feed that a peer offered. The feed ends when its source fails, and the peer resumes it. A silent one is left to the
/// peer, too.
pub(super) async fn run_admitted(stream: &mut Stream, request: &Request, mut source: Source) {
    let _guard = Guard::start();
    let started = Instant::now();
    let mut position = request.head.position;
    let (code, detail) = match stream.reply(&reply(Code::OK, "")).await {
        Ok(()) => loop {
            match forward_events(stream, &mut source, &mut position).await {
                Ok(Pause::Silent) => {}
                Ok(Pause::Failed(cause)) => {
                    let _ = stream.finish().await;
                    break (Code::BACKEND_LOST, cause);
                }
                Err(cause) => break (Code::CANCELLED, cause),
            }
        },
        Err(error) => (Code::CANCELLED, error.to_string()),
    };
    record_completion(request, code, &detail, started);
}

/// Opens the feed of the local backend server.
pub(super) async fn open_local(agent: &Agent, request: &Request, position: u64) -> Result<Source, Reply> {
    let feed = agent.backend.open_feed(position, &request.caller).await?;
    Ok(Source::Local(Box::new(feed)))
}

/// Opens a source that starts after a position, at the local backend server or at a peer.
async fn open(agent: &Agent, request: &Request, position: u64) -> Result<Source, Reply> {
    let refusal = match agent.drain_reason(request.service) {
        None => match open_local(agent, request, position).await {
            Ok(source) => {
                log_placement(agent, request, "here", "own backend server");
                return Ok(source);
            }
            Err(refusal) => refusal,
        },
        Some(drain) => reply(Code::DRAINING, drain.to_string()),
    };
    let resumed = Request {
        service: request.service,
        caller: request.caller.clone(),
        head: Head {
            position,
            ..request.head.clone()
        },
        deadline: Instant::now() + OPEN_TIMEOUT,
    };
    if let Some(Ok(mut remote)) = agent_request::offer(agent, &resumed).await
        && remote.end_body().await.is_ok()
        && let Ok(Reply { code: Code::OK, .. }) = remote.recv_reply().await
    {
        log_placement(agent, request, &remote.peer, &refusal.detail);
        return Ok(Source::Peer(Box::new(remote), BytesMut::new()));
    }
    log_placement(agent, request, "none", &refusal.detail);
    Err(refusal)
}

/// Forwards events until the source fails or falls silent (`Ok`), or the caller cancels the feed (`Err` with the cause).
async fn forward_events(stream: &mut Stream, source: &mut Source, position: &mut u64) -> Result<Pause, String> {
    loop {
        let next = time::timeout_at(Instant::now() + SILENCE_LIMIT, source.next());
        let event = match select(pin!(next), pin!(wait_for_cancellation(stream))).await {
            Either::Left((Some(Ok(event)), _)) => event,
            Either::Left((Some(Err(cause)), _)) => return Ok(Pause::Failed(cause)),
            Either::Left((None, _)) => return Ok(Pause::Silent),
            Either::Right((cause, _)) => return Err(cause),
        };
        // A resumed source may repeat events up to the position.
        if event.position <= *position {
            continue;
        }
        let bytes = Bytes::from(request::encode(&event));
        stream.write(bytes).await.map_err(|error| error.to_string())?;
        *position = event.position;
    }
}

/// Waits until the caller cancels the feed.
async fn wait_for_cancellation(stream: &mut Stream) -> String {
    loop {
        if let Input::Cancelled(cause) = stream.next_input().await {
            return cause;
        }
    }
}
