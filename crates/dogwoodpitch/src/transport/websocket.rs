//! Authenticated WebSocket links between nodes, which carry CBOR messages.

use std::{fmt, io, net::SocketAddr, time::Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use monoio::net::TcpStream;
use monoio_compat::TcpStreamCompat;
use rand::RngExt;
use ring::hmac;
use serde::{Serialize, de::DeserializeOwned};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use crate::{
    protocol::{
        peer::{Challenge, Hello, Welcome},
        request,
    },
    transport::time,
};

/// Maximum length of a message in bytes. A snapshot at the size expected in two years is under 2 MB.
const MAX_MESSAGE_LEN: usize = 16 * 1024 * 1024;

/// A link to another node.
pub struct Link {
    socket: WebSocketStream<TcpStreamCompat>,
    peer: String,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl Link {
    /// Connects and authenticates, or fails at the deadline. `local` is the name of this node.
    pub async fn connect(address: SocketAddr, key: &[u8; 32], local: &str, deadline: Instant) -> io::Result<Self> {
        time::timeout_at(deadline, Self::connect_inner(address, key, local))
            .await
            .unwrap_or(Err(timeout()))
    }

    async fn connect_inner(address: SocketAddr, key: &[u8; 32], local: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/peer");
        let config = Some(config());
        let (socket, _response) =
            tokio_tungstenite::client_async_with_config(url, TcpStreamCompat::new(stream), config)
                .await
                .map_err(into_io)?;
        let mut link = Self {
            socket,
            peer: address.to_string(),
        };
        let challenge: Challenge = link.recv().await?;
        let nonce: [u8; 16] = rand::rng().random();
        let key = hmac::Key::new(hmac::HMAC_SHA256, key);
        let mac = sign(&key, b"hello", &challenge.nonce, &nonce, local);
        link.send(&Hello {
            node: local.to_owned(),
            nonce,
            mac,
        })
        .await?;
        let welcome: Welcome = link.recv().await?;
        verify(&key, b"welcome", &challenge.nonce, &nonce, "", &welcome.mac)?;
        Ok(link)
    }

    /// Accepts and authenticates a connection, or fails at the deadline.
    pub async fn accept(stream: TcpStream, key: &[u8; 32], deadline: Instant) -> io::Result<Self> {
        time::timeout_at(deadline, Self::accept_inner(stream, key))
            .await
            .unwrap_or(Err(timeout()))
    }

    async fn accept_inner(stream: TcpStream, key: &[u8; 32]) -> io::Result<Self> {
        let _ = stream.set_nodelay(true);
        let socket = tokio_tungstenite::accept_async_with_config(TcpStreamCompat::new(stream), Some(config()))
            .await
            .map_err(into_io)?;
        let mut link = Self {
            socket,
            peer: String::new(),
        };
        let challenge = Challenge {
            nonce: rand::rng().random(),
        };
        link.send(&challenge).await?;
        let hello: Hello = link.recv().await?;
        let key = hmac::Key::new(hmac::HMAC_SHA256, key);
        verify(&key, b"hello", &challenge.nonce, &hello.nonce, &hello.node, &hello.mac)?;
        let mac = sign(&key, b"welcome", &challenge.nonce, &hello.nonce, "");
        link.send(&Welcome { mac }).await?;
        link.peer = hello.node;
        Ok(link)
    }

    /// Returns the name of the peer if it connected to this node, and its address otherwise.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Sends one message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(io::Error::other)?;
        self.socket
            .send(Message::Binary(Bytes::from(bytes)))
            .await
            .map_err(into_io)
    }

    /// Receives one message. Fails if the link is closed or the message cannot be parsed.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            match self.socket.next().await {
                Some(Ok(Message::Binary(bytes))) => return request::parse(&bytes),
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                Some(Ok(_)) | None => return Err(io::ErrorKind::ConnectionReset.into()),
                Some(Err(error)) => return Err(into_io(error)),
            }
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_LEN))
        .max_frame_size(Some(MAX_MESSAGE_LEN))
}

fn mac_input(label: &[u8], server: &[u8; 16], client: &[u8; 16], node: &str) -> Vec<u8> {
    [label, server, client, node.as_bytes()].concat()
}

fn sign(key: &hmac::Key, label: &[u8], server: &[u8; 16], client: &[u8; 16], node: &str) -> Bytes {
    Bytes::copy_from_slice(hmac::sign(key, &mac_input(label, server, client, node)).as_ref())
}

fn verify(
    key: &hmac::Key,
    label: &[u8],
    server: &[u8; 16],
    client: &[u8; 16],
    node: &str,
    mac: &[u8],
) -> io::Result<()> {
    hmac::verify(key, &mac_input(label, server, client, node), mac)
        .map_err(|_mismatch| io::Error::new(io::ErrorKind::PermissionDenied, "code 401: peer is not authenticated"))
}

fn timeout() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

fn into_io(error: tungstenite::Error) -> io::Error {
    match error {
        tungstenite::Error::Io(error) => error,
        other => io::Error::other(other),
    }
}
