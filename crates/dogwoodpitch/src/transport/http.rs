//! HTTP/1.1 client and server on the runtime.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Instant};

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
use monoio_compat::hyper::MonoioIo;
use snafu::{ResultExt, Snafu};

use crate::transport::time;

/// Longest body that is read as a whole; the store holds values up to a megabyte and answers with many of them.
pub const MAX_BODY: usize = 64 * 1024 * 1024;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A call that failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection: the server has seen no byte of the call.
    #[snafu(display("connect to {address}: {source}"))]
    Connect {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection failed after the call was sent; whether it took effect is unknown.
    #[snafu(display("call to {address}: {source}"))]
    Call {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The body cannot be read.
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

/// Opens a connection. The request body type is the caller's choice.
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

/// Makes one call on a new connection and reads the whole answer before the deadline.
pub async fn call(
    address: SocketAddr,
    deadline: Instant,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Error> {
    let exchange = async {
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await.context(CallSnafu { address })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|error| Error::Read {
            address,
            text: error.to_string(),
        })?;
        Ok((status, body.to_bytes()))
    };
    time::timeout_at(deadline, exchange)
        .await
        .unwrap_or(Err(Error::Timeout { address }))
}

/// Reads a whole request body up to [`MAX_BODY`].
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let body = Limited::new(body, MAX_BODY).collect().await;
    body.map(http_body_util::Collected::to_bytes).map_err(io::Error::other)
}

/// Response with a whole body.
pub fn response(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let payload = Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut response = Response::new(payload);
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(kind),
    );
    response
}

/// Response with a JSON body.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("values of responses have string keys");
    response(status, "application/json", body)
}

/// Serves each connection in its own task until the task of this future is dropped. The handler gets the peer's
/// address and the request.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
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
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(MonoioIo::new(stream), service);
            if let Err(error) = connection.await {
                ::log::debug!(event = "http.connection_lost", peer:% = peer, error:% = error; "HTTP connection lost");
            }
        });
    }
}
