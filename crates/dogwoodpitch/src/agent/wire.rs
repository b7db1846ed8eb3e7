//! The two ways in which a request reaches an agent: a stream of a caller, or a link of a peer agent.

use std::{io, pin::pin};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};

use crate::{
    protocol::{
        peer::Message,
        request::{self, Head, Reply},
    },
    transport::{
        quic::{Receiver, Sender},
        websocket::Link,
    },
};

/// Bytes that are read from a stream at once.
const CHUNK: usize = 64 * 1024;

/// Where a request comes from and its answer goes to.
#[derive(Debug)]
pub(super) enum Wire {
    /// Stream of a caller.
    Stream {
        /// Direction to the caller.
        sender: Sender,
        /// Direction from the caller.
        receiver: Receiver,
        /// Bytes behind the head that were read with it.
        rest: BytesMut,
        /// Whether the body has ended.
        ended: bool,
    },
    /// Link of a peer that hands a request over.
    Link {
        /// The link.
        link: Box<Link>,
        /// First part of the body, read ahead.
        held: Option<Input>,
        /// Whether the body has ended.
        ended: bool,
    },
}

/// What the sender of a request does next.
#[derive(Debug)]
pub(super) enum Input {
    /// Part of the body.
    Chunk(Bytes),
    /// End of the body.
    End,
    /// The sender no longer wants the answer.
    Cancelled(String),
}

impl Wire {
    /// Reads the head from a new stream.
    pub(super) async fn open(sender: Sender, mut receiver: Receiver) -> Result<(Self, Head), (Sender, io::Error)> {
        let mut rest = BytesMut::new();
        loop {
            match request::decode(&mut rest) {
                Ok(Some(head)) => {
                    let wire = Self::Stream {
                        sender,
                        receiver,
                        rest,
                        ended: false,
                    };
                    return Ok((wire, head));
                }
                Ok(None) => {}
                Err(error) => return Err((sender, error)),
            }
            match receiver.read(CHUNK).await {
                Ok(Some(bytes)) => rest.extend_from_slice(&bytes),
                Ok(None) => return Err((sender, io::ErrorKind::UnexpectedEof.into())),
                Err(error) => return Err((sender, io::Error::other(error))),
            }
        }
    }

    /// Wraps a link whose request was admitted.
    pub(super) fn link(link: Link) -> Self {
        Self::Link {
            link: Box::new(link),
            held: None,
            ended: false,
        }
    }

    /// Next part of the body. After its end it waits for a cancellation.
    pub(super) async fn next(&mut self) -> Input {
        match self {
            Self::Stream {
                sender,
                receiver,
                rest,
                ended,
            } => {
                if !rest.is_empty() {
                    return Input::Chunk(rest.split().freeze());
                }
                if *ended {
                    return Input::Cancelled(sender.stopped().await.to_string());
                }
                match select(pin!(receiver.read(CHUNK)), pin!(sender.stopped())).await {
                    Either::Left((Ok(Some(bytes)), _)) => Input::Chunk(bytes),
                    Either::Left((Ok(None), _)) => {
                        *ended = true;
                        Input::End
                    }
                    Either::Left((Err(error), _)) | Either::Right((error, _)) => Input::Cancelled(error.to_string()),
                }
            }
            Self::Link { link, held, ended } => {
                if let Some(held) = held.take() {
                    return held;
                }
                match link.recv().await {
                    Ok(Message::Body(bytes)) if !*ended => Input::Chunk(bytes),
                    Ok(Message::BodyEnd) if !*ended => {
                        *ended = true;
                        Input::End
                    }
                    Ok(_) => Input::Cancelled("unexpected message".to_owned()),
                    Err(error) => Input::Cancelled(error.to_string()),
                }
            }
        }
    }

    /// Waits on a link for the first part of the body or its end. A peer that has found another place closes the link
    /// instead, and the request must not run here as well.
    pub(super) async fn confirmed(&mut self) -> Result<(), String> {
        if let Self::Stream { .. } = self {
            return Ok(());
        }
        match self.next().await {
            Input::Cancelled(cause) => Err(cause),
            first => {
                if let Self::Link { held, .. } = self {
                    *held = Some(first);
                }
                Ok(())
            }
        }
    }

    /// Waits until the caller no longer wants the answer, without reading the body. On a link this is only seen by reading.
    pub(super) async fn stopped(&mut self) -> String {
        match self {
            Self::Stream { sender, .. } => sender.stopped().await.to_string(),
            Self::Link { .. } => std::future::pending().await,
        }
    }

    /// Waits for a cancellation before the body is read.
    pub(super) async fn cancelled(&mut self) -> String {
        match self {
            Self::Stream { sender, receiver, .. } => {
                match select(pin!(sender.stopped()), pin!(receiver.reset())).await {
                    Either::Left((error, _)) | Either::Right((error, _)) => error.to_string(),
                }
            }
            Self::Link { .. } => std::future::pending().await,
        }
    }

    /// Whether the body was received completely.
    pub(super) fn is_ended(&self) -> bool {
        match self {
            Self::Stream { ended, .. } | Self::Link { ended, .. } => *ended,
        }
    }

    /// Sends the head of the answer.
    pub(super) async fn reply(&mut self, reply: &Reply) -> io::Result<()> {
        match self {
            Self::Stream { sender, .. } => sender.write(&request::encode(reply)).await.map_err(io::Error::other),
            Self::Link { link, .. } => link.send(&Message::Reply(reply.clone())).await,
        }
    }

    /// Sends a part of the answer.
    pub(super) async fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        match self {
            Self::Stream { sender, .. } => sender.write(&bytes).await.map_err(io::Error::other),
            Self::Link { link, .. } => link.send(&Message::Body(bytes)).await,
        }
    }

    /// Ends the answer. Without it the answer counts as broken off.
    pub(super) async fn finish(&mut self) -> io::Result<()> {
        match self {
            Self::Stream { sender, .. } => sender.finish().map_err(io::Error::other),
            Self::Link { link, .. } => link.send(&Message::End).await,
        }
    }
}
