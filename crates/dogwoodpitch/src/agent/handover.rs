//! Requests that peer agents hand over to this one.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    agent::{
        Agent, feed, request,
        request::{Work, log_placement},
        wire::{Input, Wire},
    },
    protocol::{code::Code, peer::Message, request::Kind},
    transport::{time, websocket::Link},
};

/// How long the rest of a body is read after an early answer. Closing the link at once could destroy the answer on its
/// way.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the feed of the backend server to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a link whose message offers a request. Returns the link when it may carry another request.
pub(super) async fn serve(agent: Rc<Agent>, mut link: Link, message: Message) -> Option<Link> {
    let Message::Run { service, caller, head } = message else {
        log::warn!(event = "peer.unexpected", peer = link.peer(); "a peer sent an unexpected message");
        return None;
    };
    let work = Work::new(service, caller, head);
    let peer = link.peer().to_owned();
    if let Some(drain) = agent.draining(service) {
        log_placement(&agent, &work, "none", &drain.to_string());
        return refuse(&agent, link, Code::DRAINING).await;
    }
    if work.head.kind == Kind::Feed {
        let opening = feed::open_here(&agent, &work, work.head.position);
        let opened = time::timeout_at(Instant::now() + OPEN_TIMEOUT, opening).await;
        let Some(Ok(source)) = opened else {
            return refuse(&agent, link, Code::NO_BACKEND).await;
        };
        link.send(&Message::Admitted).await.ok()?;
        log_placement(&agent, &work, "here", &format!("feed handed over by {peer}"));
        feed::run_admitted(&mut Wire::link(link), &work, source).await;
        return None;
    }
    let permit = agent.gate.try_acquire(service, &work.caller, &work.head, work.deadline);
    let Some(permit) = permit else {
        log_placement(&agent, &work, "none", &format!("no free slot for a request of {peer}"));
        return refuse(&agent, link, Code::OVERLOADED).await;
    };
    link.send(&Message::Admitted).await.ok()?;
    log_placement(&agent, &work, "here", &format!("handed over by {peer}"));
    let mut wire = Wire::link(link);
    let complete = request::run_admitted(&agent, &mut wire, work, permit).await;
    if !wire.is_ended() {
        let _ = time::timeout_at(Instant::now() + DISCARD_TIMEOUT, discard(&mut wire)).await;
    }
    match wire {
        Wire::Link { link, ended: true, .. } if complete => Some(*link),
        _ => None,
    }
}

async fn refuse(agent: &Agent, mut link: Link, code: Code) -> Option<Link> {
    let message = Message::Refused {
        code,
        retry_after_ms: 0,
        load: agent.gate.next_load(),
    };
    link.send(&message).await.ok()?;
    Some(link)
}

/// Reads the rest of a body.
async fn discard(wire: &mut Wire) {
    while let Input::Chunk(_) = wire.next().await {}
}
