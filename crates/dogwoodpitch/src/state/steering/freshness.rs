//! Freshness of the configuration: until when it is known to have been the newest, and which nodes watch the store.
//!
//! A node that misses a change cannot tell it from no change: a connection to the store may go silent without an error. So
//! the version in force has to be confirmed again and again. A read of the store confirms it, and so does a watch that
//! ends. One balancer of each data centre watches the store. All nodes report the age of the last confirmation that they
//! know of, and a node that hears of no recent one watches the store itself.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::{
    roster::Role,
    steering::member::{Member, Members},
};

/// Age of a confirmation at which a node no longer relies on its peers. A watch lasts one second, and a report is sent each
/// half a second, so an older one means that the watching nodes are gone or cannot reach the store.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Age in a report, in tenths of a second. Ages of up to 2.3 s take one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(pub u8);

impl Age {
    const UNIT: Duration = Duration::from_millis(100);

    /// Encodes an age, rounded up. One of over 25.5 s is not reported.
    fn encode(age: Duration) -> Option<Self> {
        let units = age.as_millis().div_ceil(Self::UNIT.as_millis());
        u8::try_from(units).ok().map(Self)
    }

    /// Encodes an age, rounded down. Nodes that take over the greatest one from one another would make it ever greater if it
    /// was rounded up.
    pub(super) fn encode_least(age: Duration) -> Option<Self> {
        let units = age.as_millis() / Self::UNIT.as_millis();
        u8::try_from(units).ok().map(Self)
    }

    /// The moment of which this is the age.
    pub(super) fn moment(self, now: Instant) -> Option<Instant> {
        now.checked_sub(Self::UNIT * self.0.into())
    }
}

/// What a node knows of the freshness of its configuration.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
    /// Until when the confirmations of peers are recent enough.
    peers_until: Option<Instant>,
}

impl Freshness {
    /// Records that the store held no newer version at a moment.
    pub fn confirm(&mut self, moment: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(moment));
    }

    /// Records the confirmation in the report of a peer whose version is not newer.
    pub fn confirm_by_peer(&mut self, age: Age, now: Instant) {
        if let Some(moment) = age.moment(now) {
            self.confirm(moment);
            self.peers_until = self.peers_until.max(Some(moment + MAX_AGE));
        }
    }

    /// Whether peers have confirmed the configuration recently.
    pub fn is_confirmed_by_peers(&self, now: Instant) -> bool {
        self.peers_until.is_some_and(|until| now < until)
    }

    /// Whether this node or a peer has reached the store recently.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|moment| now < moment + MAX_AGE)
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|moment| now.saturating_duration_since(moment))
    }

    /// Age of the last confirmation for a report.
    pub fn reported_age(&self, now: Instant) -> Option<Age> {
        self.age(now).and_then(Age::encode)
    }
}

/// Whether a node watches the store for the other nodes of its data centre: the balancer with the lowest address of those
/// that are alive. Nodes may disagree for a moment; then several of them watch.
pub fn is_watcher(ip: Ipv4Addr, role: Role, data_centre: &Bytes, members: &Members, now: Instant) -> bool {
    let precedes = |member: &Member| {
        let is_same_group = member.report.role == Role::Balancer && member.report.data_centre == data_centre;
        member.ip < ip && is_same_group && member.is_alive(now)
    };
    role == Role::Balancer && !members.iter().any(precedes)
}
