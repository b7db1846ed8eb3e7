//! Routes from the addresses that clients send to.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use bytes::Bytes;

use crate::state::steering::{rank, segment::Flow};

/// What a client does after a failed request, which decides whether an early reset helps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Requests are idempotent: clients repeat them after any failure.
    Always,
    /// Clients repeat a request only if it certainly did not run.
    OnlyIfNotRun,
}

/// Service that takes part of the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Service.
    pub service: Bytes,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Where new flows to an address go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Services of new flows; at least one.
    pub shares: Vec<Share>,
    /// What clients do after a failure.
    pub retry: Retry,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which clients want their answer.
    pub goal: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
}

impl Route {
    /// Service of a new flow. The flow's hash decides, so that each node chooses the same.
    pub fn service(&self, flow: Flow) -> &Bytes {
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

    /// Whether new flows may go to a service.
    pub fn allows(&self, service: &Bytes) -> bool {
        self.shares.iter().any(|share| share.service == *service)
    }
}

/// All routes of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// Version of the configuration; 0 before the first one is known.
    pub version: u64,
    /// Routes by the address that clients send to.
    pub routes: HashMap<SocketAddrV4, Route>,
}

impl Table {
    /// Route of an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// Whether a configuration has been read.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }
}
