//! The store: announcements of nodes and evacuations. Reads may be stale, and calls may fail or take long. It may come back
//! from an older copy of its data.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use bytes::Bytes;
use dogwoodpitch::state::steering::{era::Era, evacuation::Notice, report::Report};

use super::{MS, Time, random::Random};

/// Time to live of an announcement without renewal.
const LEASE_TTL: Time = 60_000 * MS;
/// Age at which a confirmation by a peer is too old.
const CONFIRMATION_AGE: Time = 2_500 * MS;
/// Timeout of a call.
const CALL_TIMEOUT: Time = 2_000 * MS;

#[derive(Debug, Clone)]
struct Version {
    written_at: Time,
    /// `None` if it was withdrawn.
    entry: Option<Entry>,
}

/// Announcement of a node.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) report: Report,
    pub(super) lease: u64,
    expires_at: Time,
}

/// Announcements of nodes and evacuations.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    /// Number of returns from an older copy.
    returns: u64,
    returned_at: Time,
    /// Time of each write. Their number is the revision.
    writes: Vec<Time>,
    /// Evacuations after each change.
    evacuations: Vec<(Time, BTreeSet<Bytes>)>,
    /// Leases, and when they were granted.
    leases: Vec<Time>,
    entries: BTreeMap<Ipv4Addr, Vec<Version>>,
    down_since: Time,
    down_until: Time,
    slow_until: Time,
    /// Age of stale reads.
    lag: Time,
}

impl Store {
    pub(super) fn new(random: &mut Random) -> Self {
        Self {
            lag: random.choose(&[0, 500 * MS, 3_000 * MS]).unwrap_or(0),
            ..Self::default()
        }
    }

    pub(super) fn set_down(&mut self, until: Time, now: Time) {
        if !self.is_down(now) {
            self.down_since = now;
        }
        self.down_until = until;
    }

    /// Whether no node has reached the store for so long that all know it.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        self.is_down(now) && now > self.down_since + CONFIRMATION_AGE
    }

    pub(super) fn set_slow(&mut self, until: Time) {
        self.slow_until = until;
    }

    pub(super) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    pub(super) fn heal(&mut self) {
        self.down_until = 0;
        self.slow_until = 0;
    }

    /// Duration of a call, and whether it succeeds.
    pub(super) fn call(&self, random: &mut Random, now: Time) -> (Time, bool) {
        if now < self.down_until {
            let refused = random.chance(50);
            return (if refused { 2 * MS } else { CALL_TIMEOUT }, false);
        }
        if now < self.slow_until {
            return match random.range(200 * MS, 2_600 * MS) {
                late if late >= CALL_TIMEOUT => (CALL_TIMEOUT, false),
                time => (time, true),
            };
        }
        (random.range(2 * MS, 30 * MS), true)
    }

    pub(super) fn era(&self) -> Era {
        Era(self.returns + 1)
    }

    /// Goes back to the data of a moment. What was written since is lost, leases and renewals too.
    pub(super) fn return_to(&mut self, copied_at: Time, now: Time) {
        self.returns += 1;
        self.returned_at = now;
        self.writes.retain(|written_at| *written_at <= copied_at);
        self.evacuations.retain(|(written_at, _)| *written_at <= copied_at);
        self.leases.retain(|granted_at| *granted_at <= copied_at);
        for versions in self.entries.values_mut() {
            versions.retain(|version| version.written_at <= copied_at);
            for entry in versions.iter_mut().filter_map(|version| version.entry.as_mut()) {
                entry.expires_at = entry.expires_at.min(copied_at + LEASE_TTL);
            }
        }
    }

    /// Whether a stale read tells an era that is over.
    pub(super) fn is_outdated(&self, now: Time) -> bool {
        self.returns > 0 && now.saturating_sub(self.lag) < self.returned_at
    }

    pub(super) fn evacuations(&self) -> Notice {
        let last = self.evacuations.last();
        Notice {
            revision: self.writes.len() as u64,
            data_centres: last.map(|(_, data_centres)| data_centres.clone()).unwrap_or_default(),
        }
    }

    pub(super) fn evacuate(&mut self, data_centre: Bytes, begins: bool, now: Time) {
        let mut notice = self.evacuations();
        notice.set(data_centre, begins);
        self.writes.push(now);
        self.evacuations.push((now, notice.data_centres));
    }

    /// Announces a node under a new lease, and returns it.
    pub(super) fn announce(&mut self, ip: Ipv4Addr, report: Report, now: Time) -> u64 {
        self.writes.push(now);
        self.leases.push(now);
        let lease = self.leases.len() as u64;
        self.entries.entry(ip).or_default().push(Version {
            written_at: now,
            entry: Some(Entry {
                report,
                lease,
                expires_at: now + LEASE_TTL,
            }),
        });
        lease
    }

    pub(super) fn renew(&mut self, lease: u64, now: Time) -> bool {
        let last = self.entries.values_mut().filter_map(|versions| versions.last_mut());
        let mut renewed = false;
        for entry in last.filter_map(|version| version.entry.as_mut()) {
            if entry.lease == lease && now < entry.expires_at {
                entry.expires_at = now + LEASE_TTL;
                renewed = true;
            }
        }
        renewed
    }

    pub(super) fn withdraw(&mut self, ip: Ipv4Addr, now: Time) {
        if now >= self.down_until {
            self.entries.entry(ip).or_default().push(Version {
                written_at: now,
                entry: None,
            });
        }
    }

    /// Reads all announcements.
    pub(super) fn list(&self, stale: bool, now: Time) -> Vec<(Ipv4Addr, Entry)> {
        let at = if stale { now.saturating_sub(self.lag) } else { now };
        let read = |(ip, versions): (&Ipv4Addr, &Vec<Version>)| {
            let version = versions.iter().rev().find(|version| version.written_at <= at)?;
            let entry = version.entry.as_ref()?;
            (now < entry.expires_at).then(|| (*ip, entry.clone()))
        };
        self.entries.iter().filter_map(read).collect()
    }
}
