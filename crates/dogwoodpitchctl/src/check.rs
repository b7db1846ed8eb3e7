//! Check of a configuration of the users' platform before it is written.

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use dogwoodpitch::transport::runtime;
use dogwoodpitch_platform::{
    check::{self, Summary},
    config, store,
};
use serde_json::json;

use crate::{Error, Output};

/// Timeout of the read of the version in force.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the version in force is read from.
#[derive(Debug, Clone)]
pub(crate) enum Against {
    File(String),
    Store(SocketAddr),
}

/// Checks the version in force. Returns the exit code as well: 1 if there are findings.
pub(crate) fn check_in_force(store: SocketAddr, flow_life: Option<Duration>) -> Result<(Output, u8), Error> {
    finish(&store.to_string(), &read_store(store)?, None, flow_life)
}

/// Checks the configuration in a file, like [`check_in_force`].
pub(crate) fn check(file: &str, against: Option<Against>, flow_life: Option<Duration>) -> Result<(Output, u8), Error> {
    let document = read_file(file)?;
    let in_force = match against {
        Some(Against::File(name)) => Some(read_file(&name)?),
        Some(Against::Store(address)) => Some(read_store(address)?),
        None => None,
    };
    finish(file, &document, in_force.as_deref(), flow_life)
}

fn finish(
    source: &str,
    document: &[u8],
    in_force: Option<&[u8]>,
    flow_life: Option<Duration>,
) -> Result<(Output, u8), Error> {
    let summary = check::check(document, in_force, flow_life);
    let summary = summary.map_err(|error| Error::usage(format!("{source}: {error}")))?;
    let output = Output {
        json: json!(summary),
        text: print(&summary),
    };
    Ok((output, u8::from(!summary.findings.is_empty())))
}

fn read_file(name: &str) -> Result<Vec<u8>, Error> {
    fs::read(name).map_err(|error| Error::usage(format!("{name}: {error}")))
}

fn read_store(address: SocketAddr) -> Result<Vec<u8>, Error> {
    let mut runtime = runtime::open().map_err(|error| Error::usage(format!("cannot start the runtime: {error}")))?;
    let list =
        async { (store::open(address).list)(config::KEY.to_owned(), false, Instant::now() + READ_TIMEOUT).await };
    let answer = runtime
        .block_on(list)
        .map_err(|error| Error::usage(format!("store {address}: {error}")))?;
    let mut entries = answer.value.entries.into_iter();
    let entry = entries.find(|entry| entry.key == config::KEY);
    let entry = entry.ok_or_else(|| Error::usage(format!("store {address}: no configuration that can be read")))?;
    Ok(entry.value.to_vec())
}

fn print(summary: &Summary) -> String {
    let Summary { version, routes, .. } = summary;
    let mut text = format!(
        "version {version}, {routes} routes, {} findings\n",
        summary.findings.len()
    );
    for finding in &summary.findings {
        let _ = writeln!(text, "{:<20} {}", finding.kind, finding.text);
    }
    for difference in &summary.differences {
        let _ = writeln!(
            text,
            "change: {}; open flows {}",
            difference.text, difference.open_flows
        );
    }
    text
}
