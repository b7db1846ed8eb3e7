//! Command of the stand-in for the platform's key-value store.

use std::net::SocketAddr;

use dogwoodpitch::transport::runtime;
use monoio::net::TcpListener;
use pico_args::Arguments;

use crate::{Outcome, gateway};

const HELP: &str = "\
Stand-in for the platform's key-value store (etcd v3 JSON gateway, a subset)

Usage: dogwoodpitch-lab store --listen IP:PORT

POST /lab/fault takes {\"kind\":\"none\"|\"outage\"|\"slow\"|\"lost_reply\",\"millis\":N}; POST /lab/expire ends the lease of the key in its body;
POST /lab/restore takes {\"millis\":N}: the store comes back from a copy N ms old, and its header Store-Era rises by one;
GET /lab/stats gives the calls by path.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let listen: SocketAddr = args.value_from_str("--listen").map_err(|error| error.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments {rest:?}; see --help"));
    }
    let mut runtime = runtime::open().map_err(|error| format!("cannot start the runtime: {error}"))?;
    runtime.block_on(async move {
        let listener = TcpListener::bind(listen).map_err(|error| format!("cannot listen on {listen}: {error}"))?;
        println!("listening on {listen}");
        gateway::serve(listener).await;
        Ok(())
    })
}
