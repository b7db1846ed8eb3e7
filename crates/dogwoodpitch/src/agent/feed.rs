//! Feeds: events of the backend server, resumed at their position when a source breaks.

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
        request::{self as running, Work, finished, log_placement},
        wire::{Input, Wire},
    },
    coordination::exchange::Remote,
    protocol::{
        code::Code,
        request::{self, Event, Head, Reply},
    },
    transport::time,
};

/// Longest wait for a source to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Sources in a row that break without an event until the caller resumes elsewhere.
const MAX_BROKEN: u32 = 3;
/// Pause before a broken feed is resumed, so that a failing backend server is not called in a tight loop.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// Counts an open feed until it is dropped.
struct Open;

impl Open {
    fn start() -> Self {
        gauge!("dogwoodpitch_agent_feeds").increment(1);
        Self
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        gauge!("dogwoodpitch_agent_feeds").decrement(1);
    }
}

/// Where the events come from.
pub(super) enum Source {
    /// Backend server beside this agent.
    Here(Box<backend::Feed>),
    /// Peer agent.
    Peer(Box<Remote>, BytesMut),
}

impl Source {
    /// Next event, or why there is none. Dropping the future loses nothing.
    async fn next(&mut self) -> Result<Event, String> {
        match self {
            Self::Here(feed) => feed.next().await,
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

/// Runs a feed of a caller until the caller leaves it or no backend server can continue it.
pub(super) async fn run(agent: &Agent, wire: &mut Wire, work: &Work) {
    let _open = Open::start();
    let started = Instant::now();
    let mut position = work.head.position;
    let mut replied = false;
    let mut broken = 0;
    let (code, detail) = loop {
        let opening = time::timeout_at(Instant::now() + OPEN_TIMEOUT, open(agent, work, position));
        let opened = match select(pin!(opening), pin!(left(wire))).await {
            Either::Left((Some(opened), _)) => opened,
            Either::Left((None, _)) => Err(reply(Code::NO_BACKEND, "feed did not open in time")),
            Either::Right((cause, _)) => break (Code::CANCELLED, cause),
        };
        let source = match opened {
            Ok(source) => source,
            Err(refusal) => {
                // An open feed just ends, and the caller resumes elsewhere at its position.
                if !replied {
                    let _ = wire.reply(&refusal).await;
                }
                let _ = wire.finish().await;
                break (refusal.code, refusal.detail);
            }
        };
        if !replied {
            replied = true;
            if let Err(error) = wire.reply(&reply(Code::OK, "")).await {
                break (Code::CANCELLED, error.to_string());
            }
        }
        let before = position;
        let cause = match copy(wire, source, &mut position).await {
            Ok(cause) => cause,
            Err(cause) => break (Code::CANCELLED, cause),
        };
        broken = if position > before { 1 } else { broken + 1 };
        log::info!(
            event = "feed.broken", request:% = work.head.id, position = position, cause = cause; "source of a feed broke"
        );
        if broken > MAX_BROKEN {
            let _ = wire.finish().await;
            break (Code::BACKEND_LOST, cause);
        }
        monoio::time::sleep(RESUME_PAUSE).await;
    };
    finished(work, code, &detail, started);
}

/// Runs a feed that a peer handed over; it ends when its source breaks, and the peer resumes it.
pub(super) async fn run_admitted(wire: &mut Wire, work: &Work, source: Source) {
    let _open = Open::start();
    let started = Instant::now();
    let mut position = work.head.position;
    let (code, detail) = match wire.reply(&reply(Code::OK, "")).await {
        Ok(()) => match copy(wire, source, &mut position).await {
            Ok(cause) => {
                let _ = wire.finish().await;
                (Code::BACKEND_LOST, cause)
            }
            Err(cause) => (Code::CANCELLED, cause),
        },
        Err(error) => (Code::CANCELLED, error.to_string()),
    };
    finished(work, code, &detail, started);
}

/// Opens the feed of the backend server beside this agent.
pub(super) async fn open_here(agent: &Agent, work: &Work, position: u64) -> Result<Source, Reply> {
    let feed = agent.backend.feed(position, &work.caller).await?;
    Ok(Source::Here(Box::new(feed)))
}

/// Opens a source behind a position: here, or at a peer.
async fn open(agent: &Agent, work: &Work, position: u64) -> Result<Source, Reply> {
    let refusal = match agent.draining(work.service) {
        None => match open_here(agent, work, position).await {
            Ok(source) => {
                log_placement(agent, work, "here", "own backend server");
                return Ok(source);
            }
            Err(refusal) => refusal,
        },
        Some(drain) => reply(Code::DRAINING, drain.to_string()),
    };
    let moved = Work {
        service: work.service,
        caller: work.caller.clone(),
        head: Head {
            position,
            ..work.head.clone()
        },
        deadline: Instant::now() + OPEN_TIMEOUT,
    };
    if let Some(Ok(mut remote)) = running::offer(agent, &moved).await
        && remote.end_body().await.is_ok()
        && let Ok(Reply { code: Code::OK, .. }) = remote.recv_reply().await
    {
        log_placement(agent, work, &remote.peer, &refusal.detail);
        return Ok(Source::Peer(Box::new(remote), BytesMut::new()));
    }
    log_placement(agent, work, "none", &refusal.detail);
    Err(refusal)
}

/// Copies events until the source breaks (`Ok`) or the caller leaves (`Err`).
async fn copy(wire: &mut Wire, mut source: Source, position: &mut u64) -> Result<String, String> {
    loop {
        let event = match select(pin!(source.next()), pin!(left(wire))).await {
            Either::Left((Ok(event), _)) => event,
            Either::Left((Err(cause), _)) => return Ok(cause),
            Either::Right((cause, _)) => return Err(cause),
        };
        // A resumed source must not repeat events.
        if event.position <= *position {
            continue;
        }
        let bytes = Bytes::from(request::encode(&event));
        wire.write(bytes).await.map_err(|error| error.to_string())?;
        *position = event.position;
    }
}

/// Waits until the caller leaves the feed.
async fn left(wire: &mut Wire) -> String {
    loop {
        if let Input::Cancelled(cause) = wire.next().await {
            return cause;
        }
    }
}
