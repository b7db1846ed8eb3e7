//! Requests and uploads, with retries.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::RngExt;

use crate::{
    caller::{
        Request, Response,
        link::Link,
        reader::{self, Reader},
        session::State,
    },
    protocol::{
        code::Code,
        request::{Head, Kind, Reply, encode},
    },
    transport::time,
};

/// Maximum length in bytes of the body of a response.
const MAX_RESPONSE_LEN: usize = 64 * 1024 * 1024;
/// Delay before the first retry when the agent gives no hint. The delay doubles with each retry: with a constant delay,
/// requests to an agent that had just started to drain exhausted the retry budget within 150 ms.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a retry, unless the agent's hint is longer.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks of a connection whose acknowledgement is overdue.
const ACK_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Uploads have a lower priority than the short requests on the same connection.
const UPLOAD_PRIORITY: i32 = -1;
/// Maximum wait for another connection after a refusal of a draining agent.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of one attempt.
enum Outcome {
    /// No byte of the request was written.
    NotSent,
    /// The agent replied.
    Replied(Reply, Bytes),
    /// The attempt failed without a complete reply after a byte was written.
    Lost(String),
}

/// Progress of the attempts of one request.
#[derive(Default)]
struct Progress {
    attempts: Cell<u32>,
    /// Whether the current attempt may have reached a backend server.
    sent: Cell<bool>,
    /// Whether an earlier attempt may have run, so that a later `not run` does not apply to the request as a whole.
    may_have_run: Cell<bool>,
}

/// Runs a request, with retries, until it has a response or its deadline passes.
pub(super) async fn run(session: &State, kind: Kind, request: &Request) -> Response {
    let progress = Progress::default();
    let response = time::timeout_at(request.deadline, run_attempts(session, kind, request, &progress)).await;
    let mut response = response.unwrap_or_else(|| Response {
        code: if progress.sent.get() {
            Code::DEADLINE_RUNNING
        } else {
            Code::DEADLINE
        },
        body: Bytes::new(),
        detail: "deadline passed".to_owned(),
        attempts: progress.attempts.get(),
    });
    if response.code.is_not_run() && progress.may_have_run.get() {
        response.detail = format!("{}; a former attempt may have run", response.detail);
        response.code = Code::LINK_LOST;
    }
    log::debug!(
        event = "caller.answer",
        id:% = request.id,
        code = response.code.0,
        attempts = response.attempts,
        detail = response.detail.as_str();
        "request ended"
    );
    response
}

async fn run_attempts(session: &State, kind: Kind, request: &Request, progress: &Progress) -> Response {
    session.budget.borrow_mut().record_request(Instant::now());
    let mut delay = DEFAULT_RETRY_DELAY;
    loop {
        let link = responsive_link(session).await;
        let (response, retry_after) = match run_attempt(session, &link, kind, request, progress).await {
            Outcome::NotSent => continue,
            Outcome::Replied(reply, body) => {
                let hint = Duration::from_millis(reply.retry_after_ms.into());
                let response = Response {
                    code: reply.code,
                    body,
                    detail: reply.detail,
                    attempts: progress.attempts.get(),
                };
                (response, hint.max(delay))
            }
            Outcome::Lost(detail) => {
                let response = Response {
                    code: Code::LINK_LOST,
                    body: Bytes::new(),
                    detail,
                    attempts: progress.attempts.get(),
                };
                (response, Duration::ZERO)
            }
        };
        // The attempt has ended; `sent` only applies while one may be running.
        progress.sent.set(false);
        delay = (delay * 2).min(MAX_RETRY_DELAY);
        progress
            .may_have_run
            .set(progress.may_have_run.get() || response.code.is_unknown());
        if !response.code.may_retry(request.idempotent) {
            return response;
        }
        if response.code == Code::DRAINING {
            session.move_from(&link);
            // The same agent would refuse again, and each such attempt would consume the retry budget.
            time::timeout_at(Instant::now() + MOVE_TIMEOUT, session.replaced(&link)).await;
        }
        let now = Instant::now();
        let at = now + retry_after.mul_f64(rand::rng().random_range(1.0..1.5));
        if at >= request.deadline || !session.budget.borrow_mut().try_retry(now) {
            return response;
        }
        log::info!(
            event = "caller.retry",
            id:% = request.id,
            code = response.code.0,
            reason = response.detail.as_str(),
            delay_ms = u64::try_from((at - now).as_millis()).unwrap_or(u64::MAX);
            "retrying a request"
        );
        time::sleep_until(at).await;
    }
}

/// Waits for a connection that acknowledges data. A request sent on a dead connection would have an unknown outcome.
async fn responsive_link(session: &State) -> std::rc::Rc<Link> {
    loop {
        let link = session.link().await;
        if !link.is_ack_overdue(Instant::now()) {
            return link;
        }
        time::sleep_until(Instant::now() + ACK_POLL_INTERVAL).await;
    }
}

async fn run_attempt(session: &State, link: &Link, kind: Kind, request: &Request, progress: &Progress) -> Outcome {
    let Ok((mut sender, receiver)) = link.connection.open_bi().await else {
        return Outcome::NotSent;
    };
    if kind == Kind::Upload {
        sender.set_priority(UPLOAD_PRIORITY);
    }
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let head = Head {
        id: request.id,
        kind,
        class: request.class.clone(),
        idempotent: request.idempotent,
        timeout_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        position: 0,
        length: Some(request.body.len() as u64),
    };
    link.record_sent(Instant::now());
    progress.attempts.set(progress.attempts.get() + 1);
    progress.sent.set(true);
    let write = async {
        // A refusal stops the stream before the end of the body, so a write error is ignored and the reply decides.
        let result = async {
            sender.write(&encode(&head)).await?;
            sender.write(&request.body).await?;
            sender.finish()
        };
        let _ = result.await;
        std::future::pending::<()>().await;
    };
    let path_abandoned = async {
        if !request.idempotent {
            std::future::pending::<()>().await;
        }
        session.abandoned(link).await;
    };
    let result = monoio::select! {
        result = read_response(receiver) => result,
        () = path_abandoned => return Outcome::Lost("path silent".to_owned()),
        () = write => unreachable!("writing does not end the attempt"),
    };
    match result {
        Ok((reply, body)) => Outcome::Replied(reply, body),
        Err(_) if sender.written() == 0 => Outcome::NotSent,
        Err(error) => Outcome::Lost(error.to_string()),
    }
}

async fn read_response(receiver: crate::transport::quic::Receiver) -> Result<(Reply, Bytes), reader::Error> {
    let mut reader = Reader::open(receiver);
    let Some(reply) = reader.read_message::<Reply>().await? else {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    };
    let body = reader.read_to_end(MAX_RESPONSE_LEN).await?;
    Ok((reply, body))
}
