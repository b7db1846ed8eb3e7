//! The store: announcements of nodes. Reads may be stale, and calls may fail or take long.

use std::{collections::BTreeMap, net::Ipv4Addr};

use dogwoodpitch::state::steering::report::Report;

use super::{MS, Time, random::Random};

/// Time to live of an announcement without renewal.
const LEASE_TTL: Time = 60_000 * MS;
/// Timeout of a call.
const CALL_TIMEOUT: Time = 2_000 * MS;

#[derive(Debug, Clone)]
struct Version {
    written_at: Time,
    /// Announcement and the end of its lease, or `None` if it was withdrawn.
    entry: Option<(Report, Time)>,
}

/// Announcements of nodes.
#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    entries: BTreeMap<Ipv4Addr, Vec<Version>>,
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

    pub(super) fn set_down(&mut self, until: Time) {
        self.down_until = until;
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

    pub(super) fn announce(&mut self, ip: Ipv4Addr, report: Report, now: Time) {
        self.entries.entry(ip).or_default().push(Version {
            written_at: now,
            entry: Some((report, now + LEASE_TTL)),
        });
    }

    pub(super) fn renew(&mut self, ip: Ipv4Addr, now: Time) -> bool {
        let last = self.entries.get_mut(&ip).and_then(|versions| versions.last_mut());
        match last.and_then(|version| version.entry.as_mut()) {
            Some((_, expires_at)) if now < *expires_at => {
                *expires_at = now + LEASE_TTL;
                true
            }
            _ => false,
        }
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
    pub(super) fn list(&self, stale: bool, now: Time) -> Vec<(Ipv4Addr, Report)> {
        let at = if stale { now.saturating_sub(self.lag) } else { now };
        let read = |(ip, versions): (&Ipv4Addr, &Vec<Version>)| {
            let version = versions.iter().rev().find(|version| version.written_at <= at)?;
            let (report, expires_at) = version.entry.as_ref()?;
            (now < *expires_at).then(|| (*ip, report.clone()))
        };
        self.entries.iter().filter_map(read).collect()
    }
}
