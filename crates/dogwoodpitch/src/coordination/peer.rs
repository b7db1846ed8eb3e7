//! Server side of WebSocket links between nodes.

use std::{
    future::Future,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use monoio::net::{TcpListener, TcpStream};

use crate::{
    coordination::{config::Replica, gossip::message_len},
    protocol::peer::Message,
    state::{config::Snapshot, roster::Roster},
    transport::{time, websocket::Link},
};

/// Timeout of a link's handshake, and of sending a reply.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a message after which a link is closed, so that links over a broken path do not accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Maximum number of open links.
const MAX_LINKS: usize = 4096;

/// Listens on this node's link address. Replies to `Pull` itself and passes a link with a `Run` message to `run`. The future
/// that `run` returns gives the link back if it can carry another request.
pub fn listen<F>(replica: &Replica, key: [u8; 32], run: impl Fn(Link, Message) -> F + 'static) -> io::Result<()>
where
    F: Future<Output = Option<Link>> + 'static,
{
    let listener = TcpListener::bind(replica.local_node().peer)?;
    let replica = replica.clone();
    let run = Rc::new(run);
    let open_links = Rc::new(());
    monoio::spawn(async move {
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(event = "peer.accept_failed", error:% = error; "cannot accept a link");
                    time::sleep_until(Instant::now() + Duration::from_millis(10)).await;
                    continue;
                }
            };
            if Rc::strong_count(&open_links) > MAX_LINKS {
                log::warn!(event = "peer.too_many_links", peer:% = peer; "link refused");
                continue;
            }
            let (replica, run, guard) = (replica.clone(), Rc::clone(&run), Rc::clone(&open_links));
            monoio::spawn(async move {
                if let Err(error) = serve(&replica, &key, stream, run.as_ref()).await {
                    log::debug!(event = "peer.link_closed", peer:% = peer, error:% = error; "link closed");
                }
                drop(guard);
            });
        }
    });
    Ok(())
}

async fn serve<F>(
    replica: &Replica,
    key: &[u8; 32],
    stream: TcpStream,
    run: &impl Fn(Link, Message) -> F,
) -> io::Result<()>
where
    F: Future<Output = Option<Link>>,
{
    let mut link = Link::accept(stream, key, Instant::now() + HANDSHAKE_TIMEOUT).await?;
    loop {
        let message = time::timeout_at(Instant::now() + IDLE_TIMEOUT, link.recv::<Message>()).await;
        match message.unwrap_or(Err(io::ErrorKind::TimedOut.into()))? {
            Message::Pull {
                revision,
                incarnation,
                node,
            } => {
                let reply = Message::Snapshot(Box::new(replica.delta(revision, incarnation)));
                replica.count_link_bytes(message_len(&reply));
                let mut roster = Roster::default();
                roster.insert(*node);
                replica.apply(Snapshot {
                    roster,
                    ..Snapshot::default()
                });
                let sent = time::timeout_at(Instant::now() + HANDSHAKE_TIMEOUT, link.send(&reply)).await;
                sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            }
            message @ Message::Run { .. } => match run(link, message).await {
                Some(returned) => link = returned,
                None => return Ok(()),
            },
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "code 400: unexpected message",
                ));
            }
        }
    }
}
