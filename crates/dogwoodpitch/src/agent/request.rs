//! Requests, uploads and feeds: placement, the call to the backend server, and the answer.

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
        wire::{Input, Wire},
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

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Peers that are asked to take over a request before it waits here.
const MAX_OFFERS: usize = 2;
/// Time between looks for a free peer while a request waits for a slot here.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);
/// How long a draining agent looks for a slot of a peer before it refuses a request. The callers' retries are limited, and
/// all of them move at the same time.
const DRAIN_WAIT: Duration = Duration::from_secs(1);
/// Longest time a caller may ask for, which keeps deadlines within the range of the clock.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);
/// How long a peer's early answer is waited for after it stopped reading the body.
const EARLY_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// A request with what this agent knows about it.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) service: Id,
    pub(super) caller: String,
    pub(super) head: Head,
    pub(super) deadline: Instant,
}

impl Work {
    /// Turns the time left into a deadline.
    pub(super) fn new(service: Id, caller: String, head: Head) -> Self {
        let timeout = Duration::from_millis(head.timeout_ms.into()).min(MAX_TIMEOUT);
        Self {
            service,
            caller,
            head,
            deadline: Instant::now() + timeout,
        }
    }

    /// Head with the time that is left now.
    fn head_now(&self) -> Head {
        let left = self.deadline.saturating_duration_since(Instant::now());
        Head {
            timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            ..self.head.clone()
        }
    }
}

/// Where a request runs.
enum Place {
    Here(Permit),
    Peer(Box<Remote>),
}

/// Result of a call as far as the head of its answer.
enum Outcome {
    /// The head of an answer has arrived, from the backend server beside this agent.
    Here(Box<Call>),
    /// The head of an answer has arrived from a peer.
    Peer(Box<Remote>, Reply),
    /// There is no answer.
    None(Reply),
    /// The caller no longer wants one.
    Cancelled(String),
}

/// An answered call. The body may still be unfinished, and ends with this value.
struct Call {
    answer: backend::Answer,
    permit: Permit,
    bytes: u64,
    upload: Upload,
}

/// Serves one stream of a caller.
pub(super) async fn serve(agent: Rc<Agent>, flow: Rc<Flow>, sender: Sender, receiver: Receiver) {
    let opened = time::timeout_at(Instant::now() + HEAD_TIMEOUT, Wire::open(sender, receiver)).await;
    let (mut wire, head) = match opened {
        Some(Ok(opened)) => opened,
        Some(Err((mut sender, error))) => {
            log::info!(event = "request.malformed", flow = flow.id, error:% = error; "head of a request does not parse");
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
    let work = Work::new(flow.service, flow.caller.clone(), head);
    if work.head.kind == Kind::Feed {
        Box::pin(feed::run(&agent, &mut wire, &work)).await;
    } else {
        run(&agent, &mut wire, work).await;
    }
}

/// Counts a running request until it is dropped.
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

async fn run(agent: &Agent, wire: &mut Wire, work: Work) {
    let _running = Running::start(agent);
    let started = Instant::now();
    let placed = match select(pin!(place(agent, &work)), pin!(wire.cancelled())).await {
        Either::Left((placed, _)) => placed,
        Either::Right((cause, _)) => {
            finished(&work, Code::CANCELLED, &cause, started);
            return;
        }
    };
    let outcome = match placed {
        Ok(Place::Here(permit)) => call(agent, wire, &work, permit).await,
        Ok(Place::Peer(remote)) => hand_over(wire, &work, remote).await,
        Err(refusal) => Outcome::None(refusal),
    };
    answer(agent, wire, &work, outcome, started).await;
}

/// Runs a request that a peer handed over. Returns whether its link may carry another one.
pub(super) async fn run_admitted(agent: &Agent, wire: &mut Wire, work: Work, permit: Permit) -> bool {
    let _running = Running::start(agent);
    let started = Instant::now();
    let outcome = match time::timeout_at(work.deadline, wire.confirmed()).await {
        Some(Ok(())) => call(agent, wire, &work, permit).await,
        Some(Err(cause)) => Outcome::Cancelled(cause),
        None => Outcome::None(reply(Code::DEADLINE, "deadline passed before the body arrived")),
    };
    answer(agent, wire, &work, outcome, started).await && wire.is_ended()
}

/// Finds a slot: here, at a peer, or here after a wait.
async fn place(agent: &Agent, work: &Work) -> Result<Place, Reply> {
    let Work {
        service,
        caller,
        head,
        deadline,
    } = work;
    if *deadline <= Instant::now() {
        log_placement(agent, work, "none", "deadline has passed");
        return Err(reply(Code::DEADLINE, "deadline has passed"));
    }
    let drain = agent.draining(*service);
    if drain.is_none() {
        if let Some(node) = agent.exchange.place_excess(*service, head)
            && let Ok(remote) = offer_to(agent, work, &node).await
        {
            log_placement(agent, work, &remote.peer, "less busy peer");
            return Ok(Place::Peer(Box::new(remote)));
        }
        if let Some(permit) = agent.gate.try_acquire(*service, caller, head, *deadline) {
            log_placement(agent, work, "here", "free slot");
            return Ok(Place::Here(permit));
        }
    }
    for _ in 0..MAX_OFFERS {
        let Some(remote) = offer(agent, work).await else { break };
        if let Ok(remote) = remote {
            log_placement(agent, work, &remote.peer, "free slot of a peer");
            return Ok(Place::Peer(Box::new(remote)));
        }
    }
    if let Some(drain) = drain {
        // The refusal must reach the caller before the deadline, with time for another attempt.
        let now = Instant::now();
        let until = now + (deadline.saturating_duration_since(now) / 2).min(DRAIN_WAIT);
        while agent.has_live_peer(*service) && Instant::now() + OFFER_INTERVAL < until {
            if let Some(remote) = later_offer(agent, work).await {
                log_placement(agent, work, &remote.peer, &drain.to_string());
                return Ok(Place::Peer(Box::new(remote)));
            }
        }
        log_placement(agent, work, "none", &drain.to_string());
        return Err(reply(Code::DRAINING, drain.to_string()));
    }
    let mut waiting = pin!(agent.gate.acquire(*service, caller, head, *deadline));
    loop {
        match select(&mut waiting, pin!(later_offer(agent, work))).await {
            Either::Left((Ok(permit), _)) => {
                log_placement(agent, work, "here", "waited for a slot");
                return Ok(Place::Here(permit));
            }
            Either::Left((Err(refusal), _)) => {
                log_placement(agent, work, "none", &refusal.detail);
                return Err(refusal);
            }
            Either::Right((Some(remote), _)) => {
                log_placement(agent, work, &remote.peer, "slot of a peer became free");
                return Ok(Place::Peer(Box::new(remote)));
            }
            Either::Right((None, _)) => {}
        }
    }
}

/// Offers a request to the best peer; `None` if there is none.
pub(super) async fn offer(agent: &Agent, work: &Work) -> Option<Result<Remote, Reply>> {
    let node = agent.exchange.place_request(work.service, &work.head)?;
    Some(offer_to(agent, work, &node).await)
}

async fn offer_to(agent: &Agent, work: &Work, node: &Node) -> Result<Remote, Reply> {
    let head = work.head_now();
    let offered = agent
        .exchange
        .offer(node.peer, work.service, &work.caller, &head, work.deadline)
        .await;
    if let Err(refusal) = &offered {
        log::debug!(
            event = "request.offer_refused", request:% = work.head.id, peer = node.name, code:% = refusal.code,
            detail = refusal.detail; "a peer did not admit a request"
        );
    }
    offered
}

async fn later_offer(agent: &Agent, work: &Work) -> Option<Remote> {
    monoio::time::sleep(OFFER_INTERVAL).await;
    let _offering = Offering::start(agent)?;
    offer(agent, work).await?.ok()
}

/// Lets one waiting request at a time make an offer. All of them would ask for the same free slot.
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

/// Logs where a request runs and why.
pub(super) fn log_placement(agent: &Agent, work: &Work, choice: &str, reason: &str) {
    log::info!(
        event = "request.placed", request:% = work.head.id, service:% = work.service, choice = choice, reason = reason,
        revision = agent.sync.snapshot().revision; "placement of a request"
    );
}

/// Sender of a streamed body that breaks the body off unless it is finished. Dropping the channel's own sender would end
/// the body as if it were complete.
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

/// Streams the body to the backend server and then waits for a cancellation.
async fn pump(wire: &mut Wire, upload: &mut Upload, bytes: &mut u64) -> String {
    loop {
        match wire.next().await {
            Input::Chunk(chunk) => {
                *bytes += chunk.len() as u64;
                // A backend server that does not read must not hide that the caller has left.
                match select(pin!(upload.send(chunk)), pin!(wire.stopped())).await {
                    Either::Left((true, _)) => {}
                    // The call has ended early; its result follows.
                    Either::Left((false, _)) => return std::future::pending().await,
                    Either::Right((cause, _)) => return cause,
                }
            }
            Input::End => upload.finish(),
            Input::Cancelled(cause) => return cause,
        }
    }
}

/// Calls the backend server beside this agent.
async fn call(agent: &Agent, wire: &mut Wire, work: &Work, permit: Permit) -> Outcome {
    let (sender, body) = channel::Channel::new(1);
    let request = agent.backend.work(
        &work.head,
        &work.caller,
        work.deadline,
        http_body_util::Either::Right(body),
    );
    let mut bytes = 0;
    let mut upload = Upload(Some(sender));
    let result = time::timeout_at(work.deadline, async {
        let calling = pin!(agent.backend.call(request));
        let pumping = pin!(pump(wire, &mut upload, &mut bytes));
        match select(calling, pumping).await {
            Either::Left((result, _)) => Ok(result),
            Either::Right((cause, _)) => Err(cause),
        }
    })
    .await;
    match result {
        Some(Ok(Ok(answer))) => Outcome::Here(Box::new(Call {
            answer,
            permit,
            bytes,
            upload,
        })),
        Some(Ok(Err(failure))) => {
            permit.complete(bytes, true);
            Outcome::None(failure.reply())
        }
        Some(Err(cause)) => Outcome::Cancelled(cause),
        None => {
            permit.complete(bytes, true);
            Outcome::None(reply(Code::DEADLINE_RUNNING, "deadline passed while the request ran"))
        }
    }
}

/// Streams the body to a peer that has admitted the request, and waits for the head of the answer.
async fn hand_over(wire: &mut Wire, work: &Work, mut remote: Box<Remote>) -> Outcome {
    let result = time::timeout_at(work.deadline, async {
        loop {
            match wire.next().await {
                Input::Chunk(bytes) => remote.send_body(bytes).await.map_err(Stop::Link)?,
                Input::End => remote.end_body().await.map_err(Stop::Link)?,
                Input::Cancelled(cause) => return Err(Stop::Cancelled(cause)),
            }
            if wire.is_ended() {
                break;
            }
        }
        match select(pin!(remote.recv_reply()), pin!(wire.next())).await {
            Either::Left((reply, _)) => reply.map_err(Stop::Link),
            Either::Right(_) => Err(Stop::Cancelled("caller left".to_owned())),
        }
    })
    .await;
    match result {
        Some(Ok(reply)) => Outcome::Peer(remote, reply),
        Some(Err(Stop::Cancelled(cause))) => Outcome::Cancelled(cause),
        Some(Err(Stop::Link(error))) => {
            // A peer that answers before it has read the whole body stops reading.
            match time::timeout_at(Instant::now() + EARLY_REPLY_TIMEOUT, remote.recv_reply()).await {
                Some(Ok(reply)) if !wire.is_ended() => Outcome::Peer(remote, reply),
                _ => Outcome::None(reply(Code::LINK_LOST, format!("link to {}: {error}", remote.peer))),
            }
        }
        None => Outcome::None(reply(
            Code::DEADLINE_RUNNING,
            "deadline passed while the request ran at a peer",
        )),
    }
}

enum Stop {
    Link(io::Error),
    Cancelled(String),
}

/// Sends the answer. Returns whether it is complete.
async fn answer(agent: &Agent, wire: &mut Wire, work: &Work, outcome: Outcome, started: Instant) -> bool {
    match outcome {
        Outcome::Here(call) => {
            let Call {
                mut answer,
                permit,
                bytes,
                upload,
            } = *call;
            let sent = time::timeout_at(work.deadline, answer_here(agent, wire, &mut answer)).await;
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
            if complete && wire.is_ended() {
                agent.backend.reuse(answer);
            }
            finished(work, code, &detail, started);
            complete
        }
        Outcome::Peer(mut remote, reply) => {
            let (code, detail) = (reply.code, reply.detail.clone());
            let sent = time::timeout_at(work.deadline, answer_from(wire, &mut remote, &reply)).await;
            let complete = matches!(sent, Some(Ok(())));
            if complete && wire.is_ended() {
                agent.exchange.release(*remote);
            }
            finished(work, code, &detail, started);
            complete
        }
        Outcome::None(reply) => {
            finished(work, reply.code, &reply.detail, started);
            wire.reply(&reply).await.is_ok() && wire.finish().await.is_ok()
        }
        Outcome::Cancelled(cause) => {
            finished(work, Code::CANCELLED, &cause, started);
            false
        }
    }
}

async fn answer_here(
    agent: &Agent,
    wire: &mut Wire,
    answer: &mut backend::Answer,
) -> Result<(Code, String), (Code, io::Error)> {
    let left = |error| (Code::CANCELLED, error);
    let (code, detail) = agent.backend.code(answer).await;
    let head = reply(code, if code == Code::OK { "" } else { detail.as_str() });
    wire.reply(&head).await.map_err(left)?;
    while let Some(frame) = answer.response.frame().await {
        let frame = frame.map_err(|error| (Code::BACKEND_LOST, io::Error::other(error)))?;
        if let Ok(data) = frame.into_data() {
            wire.write(data).await.map_err(left)?;
        }
    }
    wire.finish().await.map_err(left)?;
    Ok((code, detail))
}

async fn answer_from(wire: &mut Wire, remote: &mut Remote, reply: &Reply) -> io::Result<()> {
    wire.reply(reply).await?;
    while let Some(bytes) = remote.recv_body().await? {
        wire.write(bytes).await?;
    }
    wire.finish().await
}

/// Logs and counts the end of a request.
pub(super) fn finished(work: &Work, code: Code, detail: &str, started: Instant) {
    let kind = kind_name(work.head.kind);
    counter!("dogwoodpitch_agent_requests_total", "kind" => kind, "code" => code.to_string()).increment(1);
    histogram!("dogwoodpitch_agent_request_seconds", "kind" => kind).record(started.elapsed().as_secs_f64());
    log::info!(
        event = "request.finished", request:% = work.head.id, kind = kind, code:% = code, detail = detail,
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
