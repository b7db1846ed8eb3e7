//! HTTP endpoints of a daemon: `/metrics`, `/status` and `/health`.

use std::{cell::Cell, io, rc::Rc};

use hyper::{Method, Response, StatusCode};
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::config::Replica,
    state::roster::Role,
    transport::{
        http::{self, Body},
        metric::Recorder,
    },
};

/// Shared draining flag of a daemon. While it is set, `/health` answers 503.
pub type Draining = Rc<Cell<bool>>;

/// Fields of `/status` that all daemons have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// Role of the node.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Number of known nodes, this one included.
    pub nodes: usize,
    /// Whether the latest read of the store succeeded.
    pub store_reachable: bool,
    /// Incarnation of the process.
    pub incarnation: u32,
    /// Whether the node is stopping.
    pub draining: bool,
}

/// Serves the endpoints on the `http` address of the node. `/status` is a JSON object with the fields of [`Status`] and the
/// members of `extra`.
pub fn serve(
    replica: &Replica,
    recorder: Recorder,
    draining: Draining,
    extra: impl Fn() -> serde_json::Value + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(replica.local_node().http)?;
    let replica = replica.clone();
    let answer = move |method: &Method, path: &str| -> Response<Body> {
        if method != Method::GET {
            return http::response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "expected GET\n");
        }
        match path {
            "/metrics" => {
                metrics::counter!("dogwoodpitch_control_bytes_total").absolute(replica.control_bytes());
                http::response(StatusCode::OK, "text/plain; version=0.0.4", recorder.render())
            }
            "/status" => http::json_response(StatusCode::OK, &status(&replica, draining.get(), extra())),
            "/health" if draining.get() => http::json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &serde_json::json!({ "status": "draining" }),
            ),
            "/health" => http::json_response(StatusCode::OK, &serde_json::json!({ "status": "ok" })),
            _ => http::response(StatusCode::NOT_FOUND, "text/plain", "unknown path\n"),
        }
    };
    let handler = move |_peer, request: hyper::Request<hyper::body::Incoming>| {
        std::future::ready(answer(request.method(), request.uri().path()))
    };
    monoio::spawn(http::serve(listener, http::IDLE_TIMEOUT, handler));
    Ok(())
}

fn status(replica: &Replica, draining: bool, extra: serde_json::Value) -> serde_json::Value {
    let local = replica.local_node();
    let snapshot = replica.snapshot();
    let status = Status {
        node: local.name.clone(),
        role: local.role,
        data_centre: local.data_centre.clone(),
        revision: snapshot.revision,
        nodes: snapshot.roster.len(),
        store_reachable: replica.is_store_reachable(),
        incarnation: local.incarnation,
        draining,
    };
    let mut value = serde_json::to_value(status).expect("a status has string keys");
    if let (Some(members), serde_json::Value::Object(extra)) = (value.as_object_mut(), extra) {
        members.extend(extra);
    }
    value
}
