//! One connection of a session, and its QUIC and TLS configuration.

use std::{
    cell::Cell,
    sync::Arc,
    time::{Duration, Instant},
};

use quinn_proto::{ClientConfig, crypto::rustls::QuicClientConfig};
use rustls::{
    RootCertStore,
    client::Resumption,
    pki_types::{CertificateDer, pem::PemObject},
};

use crate::{
    caller::Settings,
    transport::quic::{self, Connection},
};

/// Initial estimate of the round-trip time. With the default of 333 ms, a lost first packet is only retransmitted after
/// one second, but callers are a few milliseconds away.
const INITIAL_RTT: Duration = Duration::from_millis(100);
/// Time after which an acknowledgement is overdue. It takes one round trip plus at most 25 ms; a lost one is
/// retransmitted after about 100 ms.
const ACK_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum idle timeout of a connection, after which requests on a dead connection fail.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One connection of a session.
#[derive(Debug)]
pub(super) struct Link {
    /// Number of the connection within the session.
    pub(super) number: u64,
    pub(super) connection: Connection,
    /// Whether the connection was replaced because its path stayed silent. Idempotent requests leave the connection at
    /// once. Others stay, because the agent may only be paused and still reply.
    pub(super) abandoned: Cell<bool>,
    /// When the first request after the last received datagram was sent.
    unacked_since: Cell<Option<Instant>>,
}

impl Link {
    pub(super) fn new(number: u64, connection: Connection) -> Self {
        Self {
            number,
            connection,
            abandoned: Cell::new(false),
            unacked_since: Cell::new(None),
        }
    }

    /// Records the sending of data that the agent acknowledges immediately.
    pub(super) fn record_sent(&self, now: Instant) {
        let received = self.connection.last_received();
        if self.unacked_since.get().is_none_or(|sent| sent <= received) {
            self.unacked_since.set(Some(now));
        }
    }

    /// Whether an acknowledgement is overdue. New requests wait until it arrives or until the connection is replaced.
    pub(super) fn is_ack_overdue(&self, now: Instant) -> bool {
        let overdue = |sent| sent > self.connection.last_received() && now > sent + ACK_TIMEOUT;
        self.unacked_since.get().is_some_and(overdue)
    }
}

/// TLS configuration that trusts the given certificates.
pub(super) fn tls_config(roots: &str) -> Result<rustls::ClientConfig, String> {
    let mut store = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(roots.as_bytes()) {
        let certificate = certificate.map_err(|error| error.to_string())?;
        store.add(certificate).map_err(|error| error.to_string())?;
    }
    if store.is_empty() {
        return Err("expected at least one certificate in PEM".to_owned());
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| error.to_string())?
        .with_root_certificates(store)
        .with_no_client_auth();
    // Another agent cannot resume the TLS session, and requests in 0-RTT data could be executed twice.
    config.resumption = Resumption::disabled();
    Ok(config)
}

/// QUIC configuration of a session.
pub(super) fn client_config(settings: &Settings) -> Result<ClientConfig, String> {
    let crypto = QuicClientConfig::try_from(tls_config(&settings.roots)?).map_err(|error| error.to_string())?;
    let idle = IDLE_TIMEOUT.max(Duration::from_millis(u64::from(settings.silence_ms) * 3));
    let mut transport = quic::transport_config();
    transport
        .keep_alive_interval(Some(Duration::from_millis(settings.keepalive_ms.into())))
        .max_idle_timeout(Some(idle.try_into().map_err(|_bounds| "idle timeout out of range")?))
        .initial_rtt(INITIAL_RTT);
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
