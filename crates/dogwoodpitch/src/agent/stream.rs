//! Bidirectional stream of one request, either from a caller over QUIC or from a peer agent over its link.

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

/// Maximum number of bytes read from a QUIC stream at once.
const READ_SIZE: usize = 64 * 1024;

/// Carries the body of a request to this agent and the reply back.
#[derive(Debug)]
pub(super) enum Stream {
    /// QUIC stream of a caller.
    Quic {
        /// Direction to the caller.
        sender: Sender,
        /// Direction from the caller.
        receiver: Receiver,
        /// Bytes that were read together with the head and follow it.
        buffer: BytesMut,
        /// Whether the body has ended.
        body_received: bool,
    },
    /// Link of a peer that offered the request.
    Peer {
        /// The link.
        link: Box<Link>,
        /// First input, read ahead by [`Stream::wait_for_body`].
        first: Option<Input>,
        /// Whether the body has ended.
        body_received: bool,
    },
}

/// What the sender of a request does next, as read from its stream.
#[derive(Debug)]
pub(super) enum Input {
    /// Part of the body.
    Chunk(Bytes),
    /// End of the body.
    End,
    /// The sender cancelled the request.
    Cancelled(String),
}

impl Stream {
    /// Reads the head of the request from a new QUIC stream.
    pub(super) async fn open(sender: Sender, mut receiver: Receiver) -> Result<(Self, Head), (Sender, io::Error)> {
        let mut buffer = BytesMut::new();
        loop {
            match request::decode(&mut buffer) {
                Ok(Some(head)) => {
                    let stream = Self::Quic {
                        sender,
                        receiver,
                        buffer,
                        body_received: false,
                    };
                    return Ok((stream, head));
                }
                Ok(None) => {}
                Err(error) => return Err((sender, error)),
            }
            match receiver.read(READ_SIZE).await {
                Ok(Some(bytes)) => buffer.extend_from_slice(&bytes),
                Ok(None) => return Err((sender, io::ErrorKind::UnexpectedEof.into())),
                Err(error) => return Err((sender, io::Error::other(error))),
            }
        }
    }

    /// Wraps the link of a peer whose request was admitted.
    pub(super) fn from_link(link: Link) -> Self {
        Self::Peer {
            link: Box::new(link),
            first: None,
            body_received: false,
        }
    }

    /// Returns the next part of the body. After the end of the body, waits for a cancellation.
    pub(super) async fn next_input(&mut self) -> Input {
        match self {
            Self::Quic {
                sender,
                receiver,
                buffer,
                body_received,
            } => {
                if !buffer.is_empty() {
                    return Input::Chunk(buffer.split().freeze());
                }
                if *body_received {
                    return Input::Cancelled(sender.stopped().await.to_string());
                }
                match select(pin!(receiver.read(READ_SIZE)), pin!(sender.stopped())).await {
                    Either::Left((Ok(Some(bytes)), _)) => Input::Chunk(bytes),
                    Either::Left((Ok(None), _)) => {
                        *body_received = true;
                        Input::End
                    }
                    Either::Left((Err(error), _)) | Either::Right((error, _)) => Input::Cancelled(error.to_string()),
                }
            }
            Self::Peer {
                link,
                first,
                body_received,
            } => {
                if let Some(input) = first.take() {
                    return input;
                }
                match link.recv().await {
                    Ok(Message::Body(bytes)) if !*body_received => Input::Chunk(bytes),
                    Ok(Message::BodyEnd) if !*body_received => {
                        *body_received = true;
                        Input::End
                    }
                    Ok(_) => Input::Cancelled("unexpected message".to_owned()),
                    Err(error) => Input::Cancelled(error.to_string()),
                }
            }
        }
    }

    /// Waits on a link for the first part or the end of the body. A peer that has placed the request elsewhere closes the
    /// link instead, and the request must not run here as well.
    pub(super) async fn wait_for_body(&mut self) -> Result<(), String> {
        if let Self::Quic { .. } = self {
            return Ok(());
        }
        match self.next_input().await {
            Input::Cancelled(cause) => Err(cause),
            input => {
                if let Self::Peer { first, .. } = self {
                    *first = Some(input);
                }
                Ok(())
            }
        }
    }

    /// Waits until the sender stops reading the reply, without reading the body. On a link only a read detects this, so
    /// the future never completes there.
    pub(super) async fn stopped(&mut self) -> String {
        match self {
            Self::Quic { sender, .. } => sender.stopped().await.to_string(),
            Self::Peer { .. } => std::future::pending().await,
        }
    }

    /// Waits for a cancellation while the body is not being read. Never completes on a link.
    pub(super) async fn cancelled(&mut self) -> String {
        match self {
            Self::Quic { sender, receiver, .. } => match select(pin!(sender.stopped()), pin!(receiver.reset())).await {
                Either::Left((error, _)) | Either::Right((error, _)) => error.to_string(),
            },
            Self::Peer { .. } => std::future::pending().await,
        }
    }

    /// Whether the body was received completely.
    pub(super) fn is_body_received(&self) -> bool {
        match self {
            Self::Quic { body_received, .. } | Self::Peer { body_received, .. } => *body_received,
        }
    }

    /// Sends the head of the reply.
    pub(super) async fn reply(&mut self, reply: &Reply) -> io::Result<()> {
        match self {
            Self::Quic { sender, .. } => sender.write(&request::encode(reply)).await.map_err(io::Error::other),
            Self::Peer { link, .. } => link.send(&Message::Reply(reply.clone())).await,
        }
    }

    /// Sends a part of the body of the reply.
    pub(super) async fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        match self {
            Self::Quic { sender, .. } => sender.write(&bytes).await.map_err(io::Error::other),
            Self::Peer { link, .. } => link.send(&Message::Body(bytes)).await,
        }
    }

    /// Ends the reply. Without it, the receiver treats the reply as incomplete.
    pub(super) async fn finish(&mut self) -> io::Result<()> {
        match self {
            Self::Quic { sender, .. } => sender.finish().map_err(io::Error::other),
            Self::Peer { link, .. } => link.send(&Message::End).await,
        }
    }
}
