//! Feeds that resume after their last position on another connection.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    caller::{Session, link::Link, reader::Reader},
    protocol::{
        code::Code,
        request::{Event, Head, Id, Kind, Reply, encode},
    },
    transport::time,
};

/// Delay before a feed is reopened when the agent gives no retry hint.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum wait for an agent to open a feed. After that, the feed is requested again.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// An open feed.
#[derive(Debug)]
pub struct Feed {
    session: Session,
    id: Id,
    position: u64,
    stream: Option<Stream>,
    /// Earliest time of the next attempt to open the feed.
    retry_at: Instant,
}

#[derive(Debug)]
struct Stream {
    link: Rc<Link>,
    reader: Reader,
}

/// Next step of a feed.
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

    /// Returns the next event. Each position is returned exactly once and in order, across moves and reconnects.
    pub async fn next(&mut self) -> Event {
        loop {
            let session = self.session.clone();
            let retry_at = self.retry_at;
            let step = if let Some(stream) = &mut self.stream {
                // The old stream is read until the new one is open, so that a move does not interrupt the events.
                let link = Rc::clone(&stream.link);
                let replaced = async {
                    let link = session.state().replaced(&link).await;
                    time::sleep_until(retry_at).await;
                    link
                };
                monoio::select! {
                    step = stream.next() => step,
                    link = replaced => Step::Open(link),
                }
            } else {
                time::sleep_until(retry_at).await;
                Step::Open(session.state().link().await)
            };
            match step {
                // After a move, the new agent may start at or before the position.
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

    /// Reopens the feed after the last position. Keeps the old stream if that fails.
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
        match self.reader.read_message().await {
            Ok(Some(event)) => Step::Deliver(event),
            Ok(None) => Step::Lost("end of stream".to_owned()),
            Err(error) => Step::Lost(error.to_string()),
        }
    }
}

/// Opens a feed after a position. An error carries the delay before the next attempt.
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
    let reply: Option<Reply> = reader.read_message().await.map_err(|error| failed(&error))?;
    let reply = reply.ok_or_else(|| failed(&"end of stream"))?;
    if reply.code != Code::OK {
        let hint = Duration::from_millis(reply.retry_after_ms.into()).max(DEFAULT_RETRY_DELAY);
        return Err((hint, format!("code {}: {}", reply.code, reply.detail)));
    }
    Ok(Stream { link, reader })
}
