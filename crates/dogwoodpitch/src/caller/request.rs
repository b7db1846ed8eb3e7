//! Requests and uploads with their retries.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::RngExt;

use crate::{
    caller::{
        Request, Response,
        exchange::{self, Reader},
        link::Link,
        session::Inner,
    },
    protocol::{
        code::Code,
        request::{Head, Kind, Reply, encode},
    },
    transport::time,
};

/// Longest body of an answer.
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// Delay before the first retry when the agent gives no hint. The delay doubles with each retry: with a constant delay,
/// requests to an agent that had just begun to drain used up the budget within 150 ms.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a retry, unless the agent's hint is longer.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between looks at a connection that has become suspect.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(20);
/// Uploads give way to the short requests of the same connection.
const UPLOAD_PRIORITY: i32 = -1;
/// Longest wait for another connection after an agent has refused work because it drains.
const LEAVE_WAIT: Duration = Duration::from_secs(2);

/// End of one attempt.
enum Ended {
    /// No byte of the request was written.
    NotSent,
    /// The agent answered.
    Answered(Reply, Bytes),
    /// The answer was lost after a byte was written.
    Lost(String),
}

/// What is known about the attempts of one request.
#[derive(Default)]
struct Progress {
    attempts: Cell<u32>,
    /// The present attempt may have reached a backend server.
    sent: Cell<bool>,
    /// A former attempt of idempotent work may have run, so a later `not run` does not hold for the request as a whole.
    unknown: Cell<bool>,
}

/// Runs a request to its answer or its deadline.
pub(super) async fn run(session: &Inner, kind: Kind, work: &Request) -> Response {
    let progress = Progress::default();
    let answer = time::timeout_at(work.deadline, attempts(session, kind, work, &progress)).await;
    let mut answer = answer.unwrap_or_else(|| Response {
        code: if progress.sent.get() {
            Code::DEADLINE_RUNNING
        } else {
            Code::DEADLINE
        },
        body: Bytes::new(),
        detail: "deadline passed".to_owned(),
        attempts: progress.attempts.get(),
    });
    if answer.code.is_not_run() && progress.unknown.get() {
        answer.detail = format!("{}; a former attempt may have run", answer.detail);
        answer.code = Code::LINK_LOST;
    }
    log::debug!(
        event = "caller.answer",
        id:% = work.id,
        code = answer.code.0,
        attempts = answer.attempts,
        detail = answer.detail.as_str();
        "request ended"
    );
    answer
}

async fn attempts(session: &Inner, kind: Kind, work: &Request, progress: &Progress) -> Response {
    session.budget.borrow_mut().record_request(Instant::now());
    let mut delay = DEFAULT_RETRY_DELAY;
    loop {
        let link = ready(session).await;
        let (answer, retry_after) = match attempt(session, &link, kind, work, progress).await {
            Ended::NotSent => continue,
            Ended::Answered(reply, body) => {
                let hint = Duration::from_millis(reply.retry_after_ms.into());
                let answer = Response {
                    code: reply.code,
                    body,
                    detail: reply.detail,
                    attempts: progress.attempts.get(),
                };
                (answer, hint.max(delay))
            }
            Ended::Lost(detail) => {
                let answer = Response {
                    code: Code::LINK_LOST,
                    body: Bytes::new(),
                    detail,
                    attempts: progress.attempts.get(),
                };
                (answer, Duration::ZERO)
            }
        };
        // The request as a whole is only unknown as long as an attempt may be running.
        progress.sent.set(false);
        delay = (delay * 2).min(MAX_RETRY_DELAY);
        progress.unknown.set(progress.unknown.get() || answer.code.is_unknown());
        if !answer.code.may_retry(work.idempotent) {
            return answer;
        }
        if answer.code == Code::DRAINING {
            session.leave(&link);
            // The same agent would refuse again, and each such attempt would take from the retry budget.
            time::timeout_at(Instant::now() + LEAVE_WAIT, session.replaced(&link)).await;
        }
        let now = Instant::now();
        let at = now + retry_after.mul_f64(rand::rng().random_range(1.0..1.5));
        if at >= work.deadline || !session.budget.borrow_mut().try_retry(now) {
            return answer;
        }
        log::info!(
            event = "caller.retry",
            id:% = work.id,
            code = answer.code.0,
            reason = answer.detail.as_str(),
            delay_ms = u64::try_from((at - now).as_millis()).unwrap_or(u64::MAX);
            "retrying a request"
        );
        time::sleep_until(at).await;
    }
}

/// Waits for a connection that answers. Work that was sent on a dead connection would have an unknown outcome.
async fn ready(session: &Inner) -> std::rc::Rc<Link> {
    loop {
        let link = session.link().await;
        if !link.is_suspect(Instant::now()) {
            return link;
        }
        time::sleep_until(Instant::now() + SUSPECT_INTERVAL).await;
    }
}

async fn attempt(session: &Inner, link: &Link, kind: Kind, work: &Request, progress: &Progress) -> Ended {
    let Ok((mut sender, receiver)) = link.connection.open_bi().await else {
        return Ended::NotSent;
    };
    if kind == Kind::Upload {
        sender.set_priority(UPLOAD_PRIORITY);
    }
    let left = work.deadline.saturating_duration_since(Instant::now());
    let head = Head {
        id: work.id,
        kind,
        class: work.class.clone(),
        idempotent: work.idempotent,
        timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        position: 0,
        length: Some(work.body.len() as u64),
    };
    link.note_sent(Instant::now());
    progress.attempts.set(progress.attempts.get() + 1);
    progress.sent.set(true);
    let write = async {
        // A refusal stops the stream before the body ends, so the answer decides and not the write.
        let result = async {
            sender.write(&encode(&head)).await?;
            sender.write(&work.body).await?;
            sender.finish()
        };
        let _ = result.await;
        std::future::pending::<()>().await;
    };
    let left_behind = async {
        if !work.idempotent {
            std::future::pending::<()>().await;
        }
        session.abandoned(link).await;
    };
    let result = monoio::select! {
        result = answer(receiver) => result,
        () = left_behind => return Ended::Lost("path silent".to_owned()),
        () = write => unreachable!("writing does not end the attempt"),
    };
    match result {
        Ok((reply, body)) => Ended::Answered(reply, body),
        Err(_) if sender.written() == 0 => Ended::NotSent,
        Err(error) => Ended::Lost(error.to_string()),
    }
}

async fn answer(receiver: crate::transport::quic::Receiver) -> Result<(Reply, Bytes), exchange::Error> {
    let mut reader = Reader::open(receiver);
    let Some(reply) = reader.message::<Reply>().await? else {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    };
    let body = reader.rest(MAX_ANSWER).await?;
    Ok((reply, body))
}
