//! Routes from the addresses that clients send to, to services.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use bytes::Bytes;

use crate::state::steering::{rank, segment::Flow};

/// When a client retries a failed request. This decides whether an early reset is of use to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// After any failure: requests are idempotent.
    Always,
    /// Only if the request certainly did not run.
    OnlyIfNotRun,
}

/// Service that gets a share of the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Bytes,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Route of one address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Services of new flows. There is at least one.
    pub shares: Vec<Share>,
    /// When clients retry failed requests.
    pub retry: Retry,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Response-time goal.
    pub goal: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
}

impl Route {
    /// Service of a new flow. It is chosen by the hash of the flow, so that all nodes choose the same one.
    pub fn service_for(&self, flow: Flow) -> &Bytes {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = rank::weight(flow, *flow.service.ip()) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        &self.shares[0].service
    }

    /// Whether new flows may be sent to `service`.
    pub fn has_service(&self, service: &Bytes) -> bool {
        self.shares.iter().any(|share| share.service == *service)
    }
}

/// Properties that the backend servers of a service share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Service {
    /// Requests a second that a backend server bears while it is warming up; `None` if there is no limit.
    pub cold_rate: Option<f64>,
}

/// Routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Version of the configuration; 0 before the first one is loaded.
    pub version: u64,
    /// Routes by the address that clients send to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Properties of the services, by name. A service that the configuration does not describe has the default ones.
    pub services: HashMap<Bytes, Service>,
    /// Why further routes of the configuration could not be decoded. Their addresses are not known.
    pub rejected: Vec<String>,
    /// Values that could not be read, in entries that are served with another value in their place.
    pub notices: Vec<String>,
}

impl Table {
    /// Returns the route of an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// What an operator must know about this version; empty if all of it is served as it was written.
    pub fn problems(&self) -> String {
        let told =
            |count: usize, text: &str| (count > 0).then(|| format!("version {}: {count} {text}\n", self.version));
        let rejected = told(
            self.rejected.len(),
            "routes rejected, see config.route_rejected in the log",
        );
        let notices = told(
            self.notices.len(),
            "values replaced, see config.value_replaced in the log",
        );
        rejected.into_iter().chain(notices).collect()
    }

    /// Requests a second that a backend server of a service bears while it is warming up; `None` if there is no limit.
    pub fn cold_rate(&self, service: &Bytes) -> Option<f64> {
        self.services.get(service)?.cold_rate
    }

    /// Whether a configuration has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }
}
