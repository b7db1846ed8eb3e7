//! Requests that peer agents offer to this agent.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    agent::{
        Agent, feed, request,
        request::{Request, log_placement},
        stream::{Input, Stream},
    },
    protocol::{code::Code, peer::Message, request::Kind},
    transport::{time, websocket::Link},
};

/// How long the rest of a body is read after an early reply. Closing the link with unread data could discard a reply that
/// is still in transit.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for the feed of the backend server to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a request that a peer offers over a link. Returns the link if it may carry another request.
pub(super) async fn serve(agent: Rc<Agent>, mut link: Link, message: Message) -> Option<Link> {
    let Message::Run { service, caller, head } = message else {
        log::warn!(event = "peer.unexpected", peer = link.peer(); "unexpected message from a peer");
        return None;
    };
    let request = Request::new(service, caller, head);
    let peer = link.peer().to_owned();
    if let Some(drain) = agent.drain_reason(service) {
        log_placement(&agent, &request, "none", &drain.to_string());
        return refuse(&agent, link, Code::DRAINING).await;
    }
    if request.head.kind == Kind::Feed {
        let opening = feed::open_local(&agent, &request, request.head.position);
        let opened = time::timeout_at(Instant::now() + OPEN_TIMEOUT, opening).await;
        let Some(Ok(source)) = opened else {
            return refuse(&agent, link, Code::NO_BACKEND).await;
        };
        link.send(&Message::Admitted).await.ok()?;
        log_placement(&agent, &request, "here", &format!("feed handed over by {peer}"));
        feed::run_admitted(&mut Stream::from_link(link), &request, source).await;
        return None;
    }
    let permit = agent
        .controller
        .try_acquire(service, &request.caller, &request.head, request.deadline);
    let Some(permit) = permit else {
        log_placement(
            &agent,
            &request,
            "none",
            &format!("no free slot for a request of {peer}"),
        );
        return refuse(&agent, link, Code::OVERLOADED).await;
    };
    link.send(&Message::Admitted).await.ok()?;
    log_placement(&agent, &request, "here", &format!("handed over by {peer}"));
    let mut stream = Stream::from_link(link);
    let complete = request::run_admitted(&agent, &mut stream, request, permit).await;
    if !stream.is_body_received() {
        let _ = time::timeout_at(Instant::now() + DISCARD_TIMEOUT, discard_body(&mut stream)).await;
    }
    match stream {
        Stream::Peer {
            link,
            body_received: true,
            ..
        } if complete => Some(*link),
        _ => None,
    }
}

async fn refuse(agent: &Agent, mut link: Link, code: Code) -> Option<Link> {
    let message = Message::Refused {
        code,
        retry_after_ms: 0,
        load: agent.controller.next_load(),
    };
    link.send(&message).await.ok()?;
    Some(link)
}

/// Reads and discards the rest of a body.
async fn discard_body(stream: &mut Stream) {
    while let Input::Chunk(_) = stream.next_input().await {}
}
