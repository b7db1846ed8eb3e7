//! Requests, uploads and feeds: placement, the call to the backend server, and the reply.

use std::{
    io,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::{BodyExt, channel};
use metrics::{counter, histogram};

use crate::{
    agent::{
        Agent,
        backend::{self, reply},
        feed,
        flow::Flow,
        stream::{Input, Stream},
    },
    coordination::{admission::Permit, exchange::Remote},
    protocol::{
        code::Code,
        request::{self, Head, Kind, Reply},
    },
    state::{roster::Node, service::Id},
    transport::{
        quic::{Receiver, Sender},
        time,
    },
};

/// Maximum wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of peers that are offered a request before it waits for a local slot.
const MAX_OFFERS: usize = 2;
/// Interval between offers to peers while a request waits for a local slot.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a draining agent looks for a slot at a peer before it refuses a request. Waiting saves retries:
/// the callers have a limited retry budget, and all of them move at the same time.
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(1);
/// Upper limit of the timeout of a request, which keeps deadlines within the range of `Instant`.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);
/// Maximum wait for the early reply of a peer that stopped reading the body.
const EARLY_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// A request with its service, caller and deadline.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) service: Id,
    pub(super) caller: String,
    pub(super) head: Head,
    pub(super) deadline: Instant,
}

impl Request {
    /// Creates a request whose deadline follows from the timeout in its head.
    pub(super) fn new(service: Id, caller: String, head: Head) -> Self {
        let timeout = Duration::from_millis(head.timeout_ms.into()).min(MAX_TIMEOUT);
        Self {
            service,
            caller,
            head,
            deadline: Instant::now() + timeout,
        }
    }

    /// Returns the head with the time that remains until the deadline as its timeout.
    fn head_with_remaining_time(&self) -> Head {
        let left = self.deadline.saturating_duration_since(Instant::now());
        Head {
            timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            ..self.head.clone()
        }
    }
}

/// Where a request runs.
enum Placement {
    Local(Permit),
    Peer(Box<Remote>),
}

/// Result of a request up to the head of the reply.
enum Outcome {
    /// The local backend server has sent the head of its response.
    Local(Box<Call>),
    /// A peer has sent the head of its reply.
    Peer(Box<Remote>, Reply),
    /// The request failed or was refused, with this reply for the caller.
    Failed(Reply),
    /// The caller cancelled the request.
    Cancelled(String),
}

/// A call with the head of its response. The request body may still be streaming; dropping this value aborts it.
struct Call {
    response: backend::Response,
    permit: Permit,
    bytes: u64,
    upload: Upload,
}

/// Reads and runs the request of one stream of a caller.
pub(super) async fn serve(agent: Rc<Agent>, flow: Rc<Flow>, sender: Sender, receiver: Receiver) {
    let opened = time::timeout_at(Instant::now() + HEAD_TIMEOUT, Stream::open(sender, receiver)).await;
    let (mut stream, head) = match opened {
        Some(Ok(opened)) => opened,
        Some(Err((mut sender, error))) => {
            log::info!(event = "request.malformed", flow = flow.id, error:% = error; "cannot parse the head of a request");
            counter!("dogwoodpitch_agent_requests_total", "kind" => "malformed", "code" => Code::MALFORMED.to_string())
                .increment(1);
            let refusal = request::encode(&reply(Code::MALFORMED, error.to_string()));
            if sender.write(&refusal).await.is_ok() {
                let _ = sender.finish();
            }
            return;
        }
        None => return,
    };
    let request = Request::new(flow.service, flow.caller.clone(), head);
    if request.head.kind == Kind::Feed {
        Box::pin(feed::run(&agent, &mut stream, &request)).await;
    } else {
        run(&agent, &mut stream, request).await;
    }
}

/// Guard that counts a running request.
struct Running<'a>(&'a Agent);

impl<'a> Running<'a> {
    fn start(agent: &'a Agent) -> Self {
        agent.running.set(agent.running.get() + 1);
        Self(agent)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

async fn run(agent: &Agent, stream: &mut Stream, request: Request) {
    let _running = Running::start(agent);
    let started = Instant::now();
    let placed = match select(pin!(place(agent, &request)), pin!(stream.cancelled())).await {
        Either::Left((placed, _)) => placed,
        Either::Right((cause, _)) => {
            record_completion(&request, Code::CANCELLED, &cause, started);
            return;
        }
    };
    let outcome = match placed {
        Ok(Placement::Local(permit)) => call(agent, stream, &request, permit).await,
        Ok(Placement::Peer(remote)) => hand_over(stream, &request, remote).await,
        Err(refusal) => Outcome::Failed(refusal),
    };
    send_reply(agent, stream, &request, outcome, started).await;
}

/// Runs a request that a peer offered and this agent admitted. Returns whether the link may carry another request.
pub(super) async fn run_admitted(agent: &Agent, stream: &mut Stream, request: Request, permit: Permit) -> bool {
    let _running = Running::start(agent);
    let started = Instant::now();
    let outcome = match time::timeout_at(request.deadline, stream.wait_for_body()).await {
        Some(Ok(())) => call(agent, stream, &request, permit).await,
        Some(Err(cause)) => Outcome::Cancelled(cause),
        None => Outcome::Failed(reply(Code::DEADLINE, "deadline passed before the body arrived")),
    };
    send_reply(agent, stream, &request, outcome, started).await && stream.is_body_received()
}

/// Finds a slot for a request: a local one, one of a peer, or the first one that becomes free.
async fn place(agent: &Agent, request: &Request) -> Result<Placement, Reply> {
    let Request {
        service,
        caller,
        head,
        deadline,
    } = request;
    if *deadline <= Instant::now() {
        log_placement(agent, request, "none", "deadline has passed");
        return Err(reply(Code::DEADLINE, "deadline has passed"));
    }
    let drain = agent.drain_reason(*service);
    if drain.is_none() {
        if let Some(node) = agent.exchange.place_excess(*service, head)
            && let Ok(remote) = offer_to(agent, request, &node).await
        {
            log_placement(agent, request, &remote.peer, "less busy peer");
            return Ok(Placement::Peer(Box::new(remote)));
        }
        if let Some(permit) = agent.controller.try_acquire(*service, caller, head, *deadline) {
            log_placement(agent, request, "here", "free slot");
            return Ok(Placement::Local(permit));
        }
    }
    for _ in 0..MAX_OFFERS {
        let Some(remote) = offer(agent, request).await else {
            break;
        };
        if let Ok(remote) = remote {
            log_placement(agent, request, &remote.peer, "free slot of a peer");
            return Ok(Placement::Peer(Box::new(remote)));
        }
    }
    if let Some(drain) = drain {
        // The refusal must reach the caller early enough for another attempt before the deadline.
        let now = Instant::now();
        let until = now + (deadline.saturating_duration_since(now) / 2).min(MAX_DRAIN_WAIT);
        while agent.has_live_peer(*service) && Instant::now() + OFFER_INTERVAL < until {
            if let Some(remote) = offer_after_delay(agent, request).await {
                log_placement(agent, request, &remote.peer, &drain.to_string());
                return Ok(Placement::Peer(Box::new(remote)));
            }
        }
        log_placement(agent, request, "none", &drain.to_string());
        return Err(reply(Code::DRAINING, drain.to_string()));
    }
    let mut waiting = pin!(agent.controller.acquire(*service, caller, head, *deadline));
    loop {
        match select(&mut waiting, pin!(offer_after_delay(agent, request))).await {
            Either::Left((Ok(permit), _)) => {
                log_placement(agent, request, "here", "waited for a slot");
                return Ok(Placement::Local(permit));
            }
            Either::Left((Err(refusal), _)) => {
                log_placement(agent, request, "none", &refusal.detail);
                return Err(refusal);
            }
            Either::Right((Some(remote), _)) => {
                log_placement(agent, request, &remote.peer, "slot of a peer became free");
                return Ok(Placement::Peer(Box::new(remote)));
            }
            Either::Right((None, _)) => {}
        }
    }
}

/// Offers a request to the best peer. Returns `None` if there is no candidate.
pub(super) async fn offer(agent: &Agent, request: &Request) -> Option<Result<Remote, Reply>> {
    let node = agent.exchange.place_request(request.service, &request.head)?;
    Some(offer_to(agent, request, &node).await)
}

async fn offer_to(agent: &Agent, request: &Request, node: &Node) -> Result<Remote, Reply> {
    let head = request.head_with_remaining_time();
    let offered = agent
        .exchange
        .offer(node.peer, request.service, &request.caller, &head, request.deadline)
        .await;
    if let Err(refusal) = &offered {
        log::debug!(
            event = "request.offer_refused", request:% = request.head.id, peer = node.name, code:% = refusal.code,
            detail = refusal.detail; "peer refused a request"
        );
    }
    offered
}

async fn offer_after_delay(agent: &Agent, request: &Request) -> Option<Remote> {
    monoio::time::sleep(OFFER_INTERVAL).await;
    let _offering = Offering::start(agent)?;
    offer(agent, request).await?.ok()
}

/// Guard that lets only one waiting request at a time make an offer; otherwise all of them would compete for the same
/// free slot.
struct Offering<'a>(&'a Agent);

impl<'a> Offering<'a> {
    fn start(agent: &'a Agent) -> Option<Self> {
        (!agent.offering.replace(true)).then_some(Self(agent))
    }
}

impl Drop for Offering<'_> {
    fn drop(&mut self) {
        self.0.offering.set(false);
    }
}

/// Logs where a request was placed and why.
pub(super) fn log_placement(agent: &Agent, request: &Request, choice: &str, reason: &str) {
    log::info!(
        event = "request.placed", request:% = request.head.id, service:% = request.service, choice = choice, reason = reason,
        revision = agent.replica.snapshot().revision; "request placed"
    );
}

/// Sender of a streamed body that aborts the body when it is dropped before [`Upload::finish`]. Dropping the channel's own
/// sender would end the body as if it were complete.
struct Upload(Option<channel::Sender<Bytes, io::Error>>);

impl Upload {
    async fn send(&mut self, bytes: Bytes) -> bool {
        match &mut self.0 {
            Some(sender) => sender.send_data(bytes).await.is_ok(),
            None => false,
        }
    }

    fn finish(&mut self) {
        self.0 = None;
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            sender.abort(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

/// Streams the body to the backend server, then waits for a cancellation and returns its cause.
async fn stream_body(stream: &mut Stream, upload: &mut Upload, bytes: &mut u64) -> String {
    loop {
        match stream.next_input().await {
            Input::Chunk(chunk) => {
                *bytes += chunk.len() as u64;
                // Also detects a cancellation while the backend server does not read the body.
                match select(pin!(upload.send(chunk)), pin!(stream.stopped())).await {
                    Either::Left((true, _)) => {}
                    // The backend server stopped reading; the call itself returns the result.
                    Either::Left((false, _)) => return std::future::pending().await,
                    Either::Right((cause, _)) => return cause,
                }
            }
            Input::End => upload.finish(),
            Input::Cancelled(cause) => return cause,
        }
    }
}

/// Calls the local backend server.
async fn call(agent: &Agent, stream: &mut Stream, request: &Request, permit: Permit) -> Outcome {
    let (sender, body) = channel::Channel::new(1);
    let http_request = agent.backend.build_request(
        &request.head,
        &request.caller,
        request.deadline,
        http_body_util::Either::Right(body),
    );
    let mut bytes = 0;
    let mut upload = Upload(Some(sender));
    let result = time::timeout_at(request.deadline, async {
        let calling = pin!(agent.backend.call(http_request));
        let streaming = pin!(stream_body(stream, &mut upload, &mut bytes));
        match select(calling, streaming).await {
            Either::Left((result, _)) => Ok(result),
            Either::Right((cause, _)) => Err(cause),
        }
    })
    .await;
    match result {
        Some(Ok(Ok(response))) => Outcome::Local(Box::new(Call {
            response,
            permit,
            bytes,
            upload,
        })),
        Some(Ok(Err(error))) => {
            permit.complete(bytes, true);
            Outcome::Failed(error.reply())
        }
        Some(Err(cause)) => Outcome::Cancelled(cause),
        None => {
            permit.complete(bytes, true);
            Outcome::Failed(reply(Code::DEADLINE_RUNNING, "deadline passed while the request ran"))
        }
    }
}

/// Streams the body to a peer that has admitted the request, and waits for the head of its reply.
async fn hand_over(stream: &mut Stream, request: &Request, mut remote: Box<Remote>) -> Outcome {
    let result = time::timeout_at(request.deadline, async {
        loop {
            match stream.next_input().await {
                Input::Chunk(bytes) => remote.send_body(bytes).await.map_err(Interruption::Link)?,
                Input::End => remote.end_body().await.map_err(Interruption::Link)?,
                Input::Cancelled(cause) => return Err(Interruption::Cancelled(cause)),
            }
            if stream.is_body_received() {
                break;
            }
        }
        match select(pin!(remote.recv_reply()), pin!(stream.next_input())).await {
            Either::Left((reply, _)) => reply.map_err(Interruption::Link),
            Either::Right(_) => Err(Interruption::Cancelled("caller left".to_owned())),
        }
    })
    .await;
    match result {
        Some(Ok(reply)) => Outcome::Peer(remote, reply),
        Some(Err(Interruption::Cancelled(cause))) => Outcome::Cancelled(cause),
        Some(Err(Interruption::Link(error))) => {
            // A peer that replies before it has read the whole body stops reading, so the send fails.
            match time::timeout_at(Instant::now() + EARLY_REPLY_TIMEOUT, remote.recv_reply()).await {
                Some(Ok(reply)) if !stream.is_body_received() => Outcome::Peer(remote, reply),
                _ => Outcome::Failed(reply(Code::LINK_LOST, format!("link to {}: {error}", remote.peer))),
            }
        }
        None => Outcome::Failed(reply(
            Code::DEADLINE_RUNNING,
            "deadline passed while the request ran at a peer",
        )),
    }
}

/// Why the transfer of a body to a peer was interrupted.
enum Interruption {
    Link(io::Error),
    Cancelled(String),
}

/// Sends the reply to the caller or peer. Returns whether it was sent completely.
async fn send_reply(agent: &Agent, stream: &mut Stream, request: &Request, outcome: Outcome, started: Instant) -> bool {
    match outcome {
        Outcome::Local(call) => {
            let Call {
                mut response,
                permit,
                bytes,
                upload,
            } = *call;
            let sent = time::timeout_at(request.deadline, send_local_reply(agent, stream, &mut response)).await;
            drop(upload);
            let (code, detail, complete) = match sent {
                Some(Ok((code, detail))) => (code, detail, true),
                Some(Err((code, error))) => (code, error.to_string(), false),
                None => (
                    Code::DEADLINE_RUNNING,
                    "deadline passed during the answer".to_owned(),
                    false,
                ),
            };
            if code != Code::CANCELLED {
                permit.complete(bytes, code != Code::OK);
            }
            record_completion(request, code, &detail, started);
            complete
        }
        Outcome::Peer(mut remote, reply) => {
            let (code, detail) = (reply.code, reply.detail.clone());
            let sent = time::timeout_at(request.deadline, relay_reply(stream, &mut remote, &reply)).await;
            let complete = matches!(sent, Some(Ok(())));
            if complete && stream.is_body_received() {
                agent.exchange.release(*remote);
            }
            record_completion(request, code, &detail, started);
            complete
        }
        Outcome::Failed(reply) => {
            record_completion(request, reply.code, &reply.detail, started);
            stream.reply(&reply).await.is_ok() && stream.finish().await.is_ok()
        }
        Outcome::Cancelled(cause) => {
            record_completion(request, Code::CANCELLED, &cause, started);
            false
        }
    }
}

/// Converts the response of the local backend server to a reply and sends it.
async fn send_local_reply(
    agent: &Agent,
    stream: &mut Stream,
    response: &mut backend::Response,
) -> Result<(Code, String), (Code, io::Error)> {
    let cancelled = |error| (Code::CANCELLED, error);
    if !response.is_delimited() {
        let detail = "the response does not tell its length";
        stream
            .reply(&reply(Code::BACKEND_LOST, detail))
            .await
            .map_err(cancelled)?;
        stream.finish().await.map_err(cancelled)?;
        return Ok((Code::BACKEND_LOST, detail.to_owned()));
    }
    let (code, detail) = agent.backend.result_code(response).await;
    let head = reply(code, if code == Code::OK { "" } else { detail.as_str() });
    stream.reply(&head).await.map_err(cancelled)?;
    while let Some(frame) = response.http.frame().await {
        let frame = frame.map_err(|error| (Code::BACKEND_LOST, io::Error::other(error)))?;
        if let Ok(data) = frame.into_data() {
            stream.write(data).await.map_err(cancelled)?;
        }
    }
    stream.finish().await.map_err(cancelled)?;
    Ok((code, detail))
}

/// Relays the reply of a peer.
async fn relay_reply(stream: &mut Stream, remote: &mut Remote, reply: &Reply) -> io::Result<()> {
    stream.reply(reply).await?;
    while let Some(bytes) = remote.recv_body().await? {
        stream.write(bytes).await?;
    }
    stream.finish().await
}

/// Records the result of a request in the log and in the metrics.
pub(super) fn record_completion(request: &Request, code: Code, detail: &str, started: Instant) {
    let kind = kind_name(request.head.kind);
    counter!("dogwoodpitch_agent_requests_total", "kind" => kind, "code" => code.to_string()).increment(1);
    histogram!("dogwoodpitch_agent_request_seconds", "kind" => kind).record(started.elapsed().as_secs_f64());
    log::info!(
        event = "request.finished", request:% = request.head.id, kind = kind, code:% = code, detail = detail,
        ms = started.elapsed().as_millis(); "request finished"
    );
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Request => "request",
        Kind::Feed => "feed",
        Kind::Upload => "upload",
    }
}
