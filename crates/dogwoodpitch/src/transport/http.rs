//! HTTP/1.1 client and server on the `monoio` runtime.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{self, Incoming},
    client::conn::http1::SendRequest,
    service::service_fn,
};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use snafu::{ResultExt, Snafu};

use crate::transport::time;

/// Maximum length in bytes of a body that is read as a whole. The store returns many values, of up to a megabyte each,
/// in one response.
pub const MAX_BODY_LEN: usize = 64 * 1024 * 1024;

/// Time without a request after which a server closes a connection. Clients that call less often open another one.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Error of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be opened, so the server has not received any part of the call.
    #[snafu(display("connect to {address}: {source}"))]
    Connect {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection failed after the call was sent; it is unknown whether the call took effect.
    #[snafu(display("call to {address}: {source}"))]
    Call {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The response body could not be read.
    #[snafu(display("body from {address}: {text}"))]
    Read {
        /// Server.
        address: SocketAddr,
        /// Cause.
        text: String,
    },
    /// The deadline passed.
    #[snafu(display("call to {address}: timeout"))]
    Timeout {
        /// Server.
        address: SocketAddr,
    },
}

/// Opens a connection for requests with bodies of type `B`.
pub async fn connect<B>(address: SocketAddr) -> Result<SendRequest<B>, Error>
where
    B: body::Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let _ = stream.set_nodelay(true);
    let io = MonoioIo::new(stream.into_poll_io().context(ConnectSnafu { address })?);
    let (sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .context(CallSnafu { address })?;
    monoio::spawn(async move {
        if let Err(error) = connection.await {
            ::log::debug!(event = "http.connection_lost", peer:% = address, error:% = error; "HTTP connection lost");
        }
    });
    Ok(sender)
}

/// Makes one call on a new connection and reads the status and the whole body of the response before the deadline.
pub async fn call(
    address: SocketAddr,
    deadline: Instant,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Error> {
    let response = exchange(address, deadline, request).await?;
    Ok((response.status(), response.into_body()))
}

/// Like [`call`], with the headers of the response.
pub async fn exchange(
    address: SocketAddr,
    deadline: Instant,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Error> {
    let exchange = async {
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await.context(CallSnafu { address })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_LEN).collect().await;
        let body = body.map_err(|error| Error::Read {
            address,
            text: error.to_string(),
        })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    };
    time::timeout_at(deadline, exchange)
        .await
        .unwrap_or(Err(Error::Timeout { address }))
}

/// Reads a whole request body of up to [`MAX_BODY_LEN`] before the deadline.
pub async fn read_body(body: Incoming, deadline: Instant) -> io::Result<Bytes> {
    let body = time::timeout_at(deadline, Limited::new(body, MAX_BODY_LEN).collect()).await;
    let body = body.ok_or(io::ErrorKind::TimedOut)?;
    body.map(http_body_util::Collected::to_bytes).map_err(io::Error::other)
}

/// Builds a response.
pub fn response(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    response
}

/// Builds a response with a JSON body.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("maps in responses have string keys");
    response(status, "application/json", body)
}

/// Serves each connection in a task of its own until the future is dropped. The handler gets the peer's address and the
/// request. A connection on which no request arrives for the idle timeout is closed: its peer may be gone without a trace.
pub async fn serve<H, F>(listener: TcpListener, idle_timeout: Duration, handler: H)
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                ::log::warn!(event = "http.accept_failed", error:% = error; "cannot accept an HTTP connection");
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let Ok(stream) = stream.into_poll_io() else { continue };
        let handler = Rc::clone(&handler);
        monoio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(peer, request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(MonoioTimer)
                .header_read_timeout(idle_timeout)
                .serve_connection(MonoioIo::new(stream), service);
            if let Err(error) = connection.await {
                ::log::debug!(event = "http.connection_lost", peer:% = peer, error:% = error; "HTTP connection lost");
            }
        });
    }
}
