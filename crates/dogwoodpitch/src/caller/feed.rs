//! Feeds that resume behind their last position on another connection.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    caller::{Session, exchange::Reader, link::Link},
    protocol::{
        code::Code,
        request::{Event, Head, Id, Kind, Reply, encode},
    },
    transport::time,
};

/// Delay before a feed is opened again when the agent gives no hint.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// An agent that has not answered after this time is asked again.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// An open feed.
#[derive(Debug)]
pub struct Feed {
    session: Session,
    id: Id,
    position: u64,
    stream: Option<Stream>,
    /// When to try to open the feed after a refusal.
    retry_at: Instant,
}

#[derive(Debug)]
struct Stream {
    link: Rc<Link>,
    reader: Reader,
}

/// What to do next.
enum Step {
    Deliver(Event),
    Lost(String),
    Open(Rc<Link>),
}

impl Feed {
    pub(super) fn open(session: Session, position: u64) -> Self {
        Self {
            session,
            id: Id(rand::rng().random()),
            position,
            stream: None,
            retry_at: Instant::now(),
        }
    }

    /// Position of the last event that was returned.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Next event, each position exactly once and in order. Waits through moves and reconnects.
    pub async fn next(&mut self) -> Event {
        loop {
            let session = self.session.clone();
            let retry_at = self.retry_at;
            let step = if let Some(stream) = &mut self.stream {
                // The former stream is read until the new one is open, so a move leaves no gap.
                let link = Rc::clone(&stream.link);
                let replaced = async {
                    let link = session.inner().replaced(&link).await;
                    time::sleep_until(retry_at).await;
                    link
                };
                monoio::select! {
                    step = stream.next() => step,
                    link = replaced => Step::Open(link),
                }
            } else {
                time::sleep_until(retry_at).await;
                Step::Open(session.inner().link().await)
            };
            match step {
                // Another agent may start at or before the position.
                Step::Deliver(event) if event.position <= self.position => {}
                Step::Deliver(event) => {
                    self.position = event.position;
                    return event;
                }
                Step::Lost(reason) => {
                    log::info!(
                        event = "caller.feed_lost", id:% = self.id, position = self.position, reason = reason.as_str();
                        "feed lost, resuming"
                    );
                    self.stream = None;
                    self.retry_at = Instant::now() + rand::rng().random_range(Duration::ZERO..DEFAULT_RETRY_DELAY);
                }
                Step::Open(link) => self.resume(link).await,
            }
        }
    }

    /// Opens the feed behind the last position; keeps the former stream if that fails.
    async fn resume(&mut self, link: Rc<Link>) {
        let number = link.number;
        let open = open(link, self.id, self.position);
        let reason = match time::timeout_at(Instant::now() + OPEN_TIMEOUT, open).await {
            Some(Ok(stream)) => {
                log::debug!(
                    event = "caller.feed_open", id:% = self.id, position = self.position, connection = number;
                    "feed open"
                );
                self.stream = Some(stream);
                return;
            }
            Some(Err((delay, reason))) => {
                self.retry_at = Instant::now() + delay.mul_f64(rand::rng().random_range(1.0..1.5));
                reason
            }
            None => "no answer".to_owned(),
        };
        log::info!(
            event = "caller.feed_refused", id:% = self.id, position = self.position, reason = reason.as_str();
            "cannot open a feed"
        );
    }
}

impl Stream {
    async fn next(&mut self) -> Step {
        match self.reader.message().await {
            Ok(Some(event)) => Step::Deliver(event),
            Ok(None) => Step::Lost("end of stream".to_owned()),
            Err(error) => Step::Lost(error.to_string()),
        }
    }
}

/// Opens a feed. A failure comes with the delay before the next attempt.
async fn open(link: Rc<Link>, id: Id, position: u64) -> Result<Stream, (Duration, String)> {
    let failed = |error: &dyn std::fmt::Display| (DEFAULT_RETRY_DELAY, error.to_string());
    let (mut sender, receiver) = link.connection.open_bi().await.map_err(|error| failed(&error))?;
    let head = Head {
        id,
        kind: Kind::Feed,
        class: "feed".to_owned(),
        idempotent: true,
        timeout_ms: u32::MAX,
        position,
        length: None,
    };
    sender.write(&encode(&head)).await.map_err(|error| failed(&error))?;
    sender.finish().map_err(|error| failed(&error))?;
    let mut reader = Reader::open(receiver);
    let reply: Option<Reply> = reader.message().await.map_err(|error| failed(&error))?;
    let reply = reply.ok_or_else(|| failed(&"end of stream"))?;
    if reply.code != Code::OK {
        let hint = Duration::from_millis(reply.retry_after_ms.into()).max(DEFAULT_RETRY_DELAY);
        return Err((hint, format!("code {}: {}", reply.code, reply.detail)));
    }
    Ok(Stream { link, reader })
}
