//! Load exchange among the agents of a service, choice of agents, and hand-over of requests.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Instant};

use bytes::Bytes;

use crate::{
    coordination::{admission::Gate, config::Sync},
    protocol::{
        cid::Target,
        peer::Report,
        request::{Head, Reply},
        settings::Policy,
    },
    state::{roster::Node, service::Id},
    transport::{udp::Port, websocket::Link},
};

/// Running load exchange of one agent.
#[derive(Debug, Clone)]
pub struct Exchange(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    sync: Sync,
    next: Cell<usize>,
}

/// A request that a peer has admitted.
#[derive(Debug)]
pub struct Remote {
    /// Name of the peer.
    pub peer: String,
    link: Link,
}

impl Exchange {
    /// Starts to exchange load with the agents of the same services.
    pub fn spawn(sync: &Sync, gate: Gate, port: Port, key: [u8; 32], policy: Policy) -> Self {
        let _ = (gate, port, key, policy);
        Self(Rc::new(Inner {
            sync: sync.clone(),
            next: Cell::new(0),
        }))
    }

    /// Handles a `Load` frame.
    pub fn receive_load(&self, report: &Report) {
        let _ = report;
    }

    /// Chooses the agent of a new flow; it may be this one. `None` if no agent of the service is known to be alive.
    pub fn place_flow(&self, service: Id) -> Option<Target> {
        let _ = (service, &self.0.sync, &self.0.next);
        None
    }

    /// Chooses a peer that is likely to admit a request now.
    pub fn place_request(&self, service: Id, head: &Head) -> Option<Node> {
        let _ = (service, head);
        None
    }

    /// Offers a request to a peer. An error is always `not run`: nothing but the head was sent, and the peer runs nothing
    /// before the body's end or its first chunk.
    pub async fn offer(
        &self,
        peer: SocketAddr,
        service: Id,
        caller: &str,
        head: &Head,
        deadline: Instant,
    ) -> Result<Remote, Reply> {
        let _ = (peer, service, caller, head, deadline);
        Err(Reply {
            code: crate::protocol::code::Code::NO_BACKEND,
            retry_after_ms: 0,
            detail: "no peer".to_owned(),
        })
    }

    /// Returns the link of a finished request to the pool.
    pub fn finish(&self, remote: Remote) {
        drop(remote);
    }
}

impl Remote {
    /// Sends a part of the body. An error is an unknown outcome.
    pub async fn send_body(&mut self, bytes: Bytes) -> io::Result<()> {
        self.link.send(&crate::protocol::peer::Message::Body(bytes)).await
    }

    /// Ends the body.
    pub async fn end_body(&mut self) -> io::Result<()> {
        self.link.send(&crate::protocol::peer::Message::BodyEnd).await
    }

    /// Head of the answer. An error is an unknown outcome.
    pub async fn reply(&mut self) -> io::Result<Reply> {
        match self.link.recv().await? {
            crate::protocol::peer::Message::Reply(reply) => Ok(reply),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Next part of the answer; `None` at its end.
    pub async fn body(&mut self) -> io::Result<Option<Bytes>> {
        match self.link.recv().await? {
            crate::protocol::peer::Message::Body(bytes) => Ok(Some(bytes)),
            crate::protocol::peer::Message::End => Ok(None),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}
