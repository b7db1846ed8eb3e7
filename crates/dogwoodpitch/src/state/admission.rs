//! Admission control for the slots of one backend server: work starts, waits in a queue, or is refused.
//!
//! Work is short or long ([`crate::state::estimate`]), with one queue for each. A queue serves its services
//! round-robin, the callers of a service round-robin, and within a round the work with the earliest deadline first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::state::{
    estimate::{Estimate, Estimator, Key},
    service::Id,
};

/// Slots that are reserved for short work.
const RESERVED_SHORT_SLOTS: u16 = 2;
/// From this number of slots on, waiting long work always gets one slot. With fewer slots, the queue with the earlier
/// deadline goes first.
const MIN_SLOTS_TO_GUARANTEE_LONG: u16 = 3;
/// Maximum number of queued requests. Each dispatch scans all waiting callers; with 4,000 of them one request took
/// 0.34 ms of CPU time.
const MAX_QUEUED: usize = 1_024;
/// Callers without waiting work are removed only when a service has at least this many callers.
const MIN_CALLERS_TO_PRUNE: usize = 64;
/// Maximum time, from the start of the work, for which a fast error keeps its slot busy.
const MAX_ERROR_HOLD: Duration = Duration::from_secs(1);
/// Minimum of [`Refusal::retry_after`] for overload.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum of [`Refusal::retry_after`]; the queue changes too fast for a longer forecast.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time constant of the moving average of the short demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Slots that long work leaves free above the mean short demand, in standard deviations of the number of concurrent
/// short requests, which is taken as Poisson distributed. With 7 slots, half loaded, and as many uploads as fit, the
/// p99 of short requests of 10 to 30 ms was 78 ms with 0 deviations, 41 ms with 1 and 34 ms with 1.5; it was 30 ms
/// without uploads.
const BURST_DEVIATIONS: f64 = 1.5;
/// Weight of a new sample in the moving average of the run time of short or long work.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Run time that is reserved before the deadline, in mean deviations above the mean. When the queue is long, earliest
/// deadline first starts work at the last possible moment. At twice the capacity with exponential run times, the
/// goodput was 0.85 with one deviation and 0.96 with four.
const RESERVED_DEVIATIONS: u32 = 4;

new_key_type! {
    /// Handle of work that waits for a slot or occupies one.
    pub struct Ticket;
}

/// Order in which queued work is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// Separate queues for short and long work, fair between services and callers, earliest deadline first.
    FairDeadline,
    /// One queue in the order of arrival, for the baseline policies.
    Fifo,
}

/// Work that needs a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Class whose estimate applies.
    pub key: Key,
    /// Caller that the work counts for in fair queueing.
    pub caller: String,
    /// Length of the body in bytes, if the caller declared it.
    pub length: Option<u64>,
    /// Time after which the reply is useless to the caller.
    pub deadline: Instant,
}

/// Refusal of work that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the work is refused.
    pub reason: Reason,
    /// Delay after which a retry may succeed; zero if unknown.
    pub retry_after: Duration,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No slot is expected to become free in time.
    Overloaded,
    /// The backend server is draining.
    Draining,
    /// The deadline has passed.
    Deadline,
}

/// Tickets whose state a call changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Work that got a slot.
    pub started: Vec<Ticket>,
    /// Work that was removed from its queue. Its tickets are no longer valid.
    pub refused: Vec<(Ticket, Refusal)>,
}

/// Slots and queues of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    slots: u16,
    discipline: Discipline,
    draining: bool,
    entries: SlotMap<Ticket, Entry>,
    /// Tickets that occupy a slot, at most [`Self::slots`].
    running: Vec<Ticket>,
    short: Queue,
    long: Queue,
    estimator: Estimator,
    /// Mean run time of short work in seconds.
    short_mean_s: Option<f64>,
    /// Mean run time of long work in seconds.
    long_mean_s: Option<f64>,
    /// Moving average of the slots that running and queued short work needs.
    short_demand: f64,
    busy_slot_time: Duration,
    accounted_at: Option<Instant>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry {
    work: Work,
    estimate: Estimate,
    latest_start: Instant,
    /// Sort key among the work of one caller: deadline or arrival, then sequence number.
    rank: (Instant, u64),
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Waiting,
    Running {
        since: Instant,
    },
    /// The work failed fast; its slot stays busy until then.
    Held {
        until: Instant,
    },
}

/// Fair queue: round-robin over services and over the callers of a service.
#[derive(Debug, Default)]
struct Queue {
    /// Round of the service that was served last.
    round: u64,
    len: usize,
    services: BTreeMap<Id, Service>,
}

/// Waiting work of one service.
#[derive(Debug, Default)]
struct Service {
    /// Round in which the service is served next.
    next_round: u64,
    /// Round of the caller that was served last.
    round: u64,
    /// Number of callers at which those without waiting work are removed.
    prune_at: usize,
    callers: BTreeMap<String, Caller>,
}

/// Waiting work of one caller.
#[derive(Debug, Default)]
struct Caller {
    /// Round in which the caller is served next.
    next_round: u64,
    waiting: BTreeSet<(Instant, u64, Ticket)>,
}

impl Scheduler {
    /// Creates a scheduler for a backend server with `slots` slots, at least one.
    pub fn new(slots: u16, discipline: Discipline) -> Self {
        Self {
            slots: slots.max(1),
            discipline,
            draining: false,
            entries: SlotMap::with_key(),
            running: Vec::new(),
            short: Queue::default(),
            long: Queue::default(),
            estimator: Estimator::default(),
            short_mean_s: None,
            long_mean_s: None,
            short_demand: 0.0,
            busy_slot_time: Duration::ZERO,
            accounted_at: None,
            next_sequence: 0,
        }
    }

    /// Starts work at once if a slot is free and no other work waits for it.
    pub fn try_start(&mut self, work: Work, now: Instant) -> Option<Ticket> {
        self.update_accounting(now);
        let estimate = self.estimate(&work);
        let queue_is_empty = self.short.len == 0 && (!estimate.long || self.long.len == 0);
        if self.draining || work.deadline <= now || !queue_is_empty || !self.has_free_slot(estimate.long, now) {
            return None;
        }
        let entry = self.new_entry(work, estimate, now);
        let ticket = self.entries.insert(entry);
        self.start(ticket, now);
        Some(ticket)
    }

    /// Queues work, or refuses it if it would not start in time. [`Scheduler::dispatch`] must be called
    /// afterwards.
    pub fn enqueue(&mut self, work: Work, now: Instant) -> Result<Ticket, Refusal> {
        if self.draining {
            return Err(Refusal {
                reason: Reason::Draining,
                retry_after: Duration::ZERO,
            });
        }
        if work.deadline <= now {
            return Err(Refusal {
                reason: Reason::Deadline,
                retry_after: Duration::ZERO,
            });
        }
        self.update_accounting(now);
        let estimate = self.estimate(&work);
        let entry = self.new_entry(work, estimate, now);
        if self.short.len + self.long.len >= MAX_QUEUED {
            return Err(self.overload_refusal(estimate.long));
        }
        if self.discipline == Discipline::FairDeadline {
            let wait = self.estimated_wait(&entry, now);
            let time_left = entry.latest_start.saturating_duration_since(now);
            if wait > time_left {
                return Err(Refusal {
                    reason: Reason::Overloaded,
                    retry_after: wait.saturating_sub(time_left).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
                });
            }
        }
        let ticket = self.entries.insert(entry);
        let entry = &self.entries[ticket];
        let queue = if entry.estimate.long {
            &mut self.long
        } else {
            &mut self.short
        };
        queue.push(ticket, entry);
        Ok(ticket)
    }

    /// Assigns free slots to queued work, and refuses queued work that can no longer start in time.
    pub fn dispatch(&mut self, now: Instant) -> Changes {
        self.update_accounting(now);
        let mut changes = Changes::default();
        let entries = &mut self.entries;
        self.running.retain(|&ticket| {
            let hold_ended = matches!(entries[ticket].state, State::Held { until } if until <= now);
            if hold_ended {
                entries.remove(ticket);
            }
            !hold_ended
        });
        while let Some(long) = self.next_is_long(now) {
            let queue = if long { &mut self.long } else { &mut self.short };
            let Some(ticket) = queue.pop() else { break };
            if self.entries[ticket].latest_start < now {
                self.entries.remove(ticket);
                changes.refused.push((ticket, self.overload_refusal(long)));
            } else {
                self.start(ticket, now);
                changes.started.push(ticket);
            }
        }
        changes
    }

    /// Latest time at which waiting work may start. The owner of the ticket must call [`Scheduler::expire`] then.
    pub fn latest_start(&self, ticket: Ticket) -> Option<Instant> {
        self.entries.get(ticket).map(|entry| entry.latest_start)
    }

    /// Whether the work is running.
    pub fn is_running(&self, ticket: Ticket) -> bool {
        matches!(
            self.entries.get(ticket).map(|entry| entry.state),
            Some(State::Running { .. })
        )
    }

    /// Removes work that still waits and returns its refusal.
    pub fn expire(&mut self, ticket: Ticket) -> Option<Refusal> {
        let long = self.remove_waiting(ticket)?;
        Some(self.overload_refusal(long))
    }

    /// Cancels waiting or running work. Returns whether a slot became free.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> bool {
        self.update_accounting(now);
        if self.remove_waiting(ticket).is_some() {
            return false;
        }
        let Some(State::Running { since }) = self.entries.get(ticket).map(|entry| entry.state) else {
            return false;
        };
        let entry = self.entries.remove(ticket).expect("the entry exists");
        self.running.retain(|&other| other != ticket);
        let time = now.saturating_duration_since(since);
        // The time of cancelled work is only a lower bound, but a class that is always cancelled has no other samples.
        if time > entry.estimate.time {
            self.observe(&entry, time, entry.work.length.unwrap_or(0));
        }
        true
    }

    /// Ends running work. After a fast error the slot stays busy for the usual run time of the work, so that a backend
    /// server that fails at once does not look idle and attract all work. Returns the time at which such a slot becomes
    /// free.
    pub fn finish(&mut self, ticket: Ticket, now: Instant, bytes: u64, error: bool) -> Option<Instant> {
        let Some(State::Running { since }) = self.entries.get(ticket).map(|entry| entry.state) else {
            return None;
        };
        self.update_accounting(now);
        let time = now.saturating_duration_since(since);
        let expected = self.entries[ticket].estimate.time;
        if error && time < expected && self.discipline == Discipline::FairDeadline {
            let until = since + expected.min(MAX_ERROR_HOLD).max(time);
            self.entries[ticket].state = State::Held { until };
            return Some(until);
        }
        let entry = self.entries.remove(ticket).expect("the entry exists");
        self.running.retain(|&other| other != ticket);
        self.observe(&entry, time, bytes);
        None
    }

    /// Starts or stops draining. Draining refuses new work and all waiting work, which can still run on a peer.
    pub fn set_draining(&mut self, draining: bool) -> Changes {
        self.draining = draining;
        let mut changes = Changes::default();
        if !draining {
            return changes;
        }
        let refusal = Refusal {
            reason: Reason::Draining,
            retry_after: Duration::ZERO,
        };
        self.entries.retain(|ticket, entry| {
            let waiting = matches!(entry.state, State::Waiting);
            if waiting {
                changes.refused.push((ticket, refusal));
            }
            !waiting
        });
        self.short = Queue::default();
        self.long = Queue::default();
        changes
    }

    /// Whether the scheduler is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of slots of the backend server.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Number of slots in use, including those that fast errors keep busy.
    pub fn busy(&self) -> u16 {
        u16::try_from(self.running.len()).unwrap_or(u16::MAX)
    }

    /// Number of slots that long work occupies, including work that was estimated as short but already runs for longer
    /// than the threshold.
    pub fn busy_long(&self, now: Instant) -> u16 {
        let is_long = |entry: &Entry| {
            let exceeds_threshold =
                |since| now.saturating_duration_since(since) > self.estimator.threshold(entry.work.key.service);
            entry.estimate.long || matches!(entry.state, State::Running { since } if exceeds_threshold(since))
        };
        let count = self.running.iter().filter(|&&ticket| is_long(&self.entries[ticket]));
        u16::try_from(count.count()).unwrap_or(u16::MAX)
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.short.len + self.long.len
    }

    /// Maximum number of slots that long work may occupy now: all but 2, or fewer while short work needs more. Long
    /// work occupies a slot for many times as long as a short request, so a burst of short requests needs slots that
    /// are already free.
    pub fn long_limit(&self) -> u16 {
        let for_short = (self.short_demand + BURST_DEVIATIONS * self.short_demand.sqrt()).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the number of slots"
        )]
        let for_short = for_short.clamp(0.0, f64::from(self.slots)) as u16;
        long_limit(self.slots).min(self.slots - for_short).max(1)
    }

    /// Cumulative busy time of all slots, including the time for which fast errors keep them busy.
    pub fn busy_slot_time(&mut self, now: Instant) -> Duration {
        self.update_accounting(now);
        self.busy_slot_time
    }

    /// Adds the time since the last call to the busy time and to the short demand. Must be called before each change of
    /// the queues or slots.
    fn update_accounting(&mut self, now: Instant) {
        let since = self.accounted_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        self.busy_slot_time += elapsed * u32::from(self.busy());
        let running = self
            .running
            .iter()
            .filter(|&&ticket| !self.entries[ticket].estimate.long);
        let wanted = (running.count() + self.short.len).min(usize::from(self.slots));
        let wanted = f64::from(u16::try_from(wanted).unwrap_or(self.slots));
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.short_demand += weight * (wanted - self.short_demand);
    }

    /// Whether work of this key and length is expected to be long.
    pub fn is_long(&self, key: &Key, length: Option<u64>) -> bool {
        self.discipline == Discipline::FairDeadline && self.estimator.estimate(key, length).long
    }

    fn estimate(&self, work: &Work) -> Estimate {
        let mut estimate = self.estimator.estimate(&work.key, work.length);
        // The baseline policies don't distinguish long work.
        estimate.long &= self.discipline == Discipline::FairDeadline;
        estimate
    }

    fn new_entry(&mut self, work: Work, estimate: Estimate, now: Instant) -> Entry {
        self.next_sequence += 1;
        let (rank_time, latest_start) = match self.discipline {
            Discipline::FairDeadline => {
                // At most half of the remaining time is reserved, so that a wrong estimate cannot refuse a class
                // forever.
                let time_left = work.deadline.saturating_duration_since(now);
                let reserve = if estimate.learned {
                    (estimate.time + RESERVED_DEVIATIONS * estimate.deviation).min(time_left / 2)
                } else {
                    Duration::ZERO
                };
                (work.deadline, work.deadline.checked_sub(reserve).unwrap_or(now))
            }
            Discipline::Fifo => (now, work.deadline),
        };
        Entry {
            work,
            estimate,
            latest_start,
            rank: (rank_time, self.next_sequence),
            state: State::Waiting,
        }
    }

    fn has_free_slot(&self, long: bool, now: Instant) -> bool {
        self.busy() < self.slots && (!long || self.busy_long(now) < self.long_limit())
    }

    /// Whether the next free slot goes to long work; `None` if no work can start. Short work goes first, but long work
    /// always gets one slot.
    fn next_is_long(&self, now: Instant) -> Option<bool> {
        let short = self.short.len > 0 && self.has_free_slot(false, now);
        let long = self.long.len > 0 && self.has_free_slot(true, now);
        match (short, long) {
            (false, false) => None,
            (true, false) => Some(false),
            (false, true) => Some(true),
            (true, true) if self.slots >= MIN_SLOTS_TO_GUARANTEE_LONG => Some(self.busy_long(now) == 0),
            (true, true) => Some(self.long.earliest_deadline() < self.short.earliest_deadline()),
        }
    }

    /// Expected wait, from the amount of work ahead and the mean run time; zero until a run time is known.
    fn estimated_wait(&self, entry: &Entry, now: Instant) -> Duration {
        let long = entry.estimate.long;
        let (queue, mean_s) = self.queue_and_mean(long);
        let ahead = queue.count_ahead(entry);
        if ahead == 0 && self.has_free_slot(long, now) {
            return Duration::ZERO;
        }
        let busy_long = self.busy_long(now);
        let usable = if long {
            busy_long.clamp(1, self.long_limit())
        } else {
            self.slots.saturating_sub(busy_long).max(1)
        };
        let Some(mean_s) = mean_s else { return Duration::ZERO };
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        Duration::from_secs_f64(mean_s * f64::from(ahead) / f64::from(usable))
    }

    fn overload_refusal(&self, long: bool) -> Refusal {
        let (queue, mean_s) = self.queue_and_mean(long);
        let len = u32::try_from(queue.len).unwrap_or(u32::MAX);
        let drain = Duration::from_secs_f64(mean_s.unwrap_or(0.0) * f64::from(len) / f64::from(self.slots));
        Refusal {
            reason: Reason::Overloaded,
            retry_after: (drain / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn queue_and_mean(&self, long: bool) -> (&Queue, Option<f64>) {
        if long {
            (&self.long, self.long_mean_s)
        } else {
            (&self.short, self.short_mean_s)
        }
    }

    fn start(&mut self, ticket: Ticket, now: Instant) {
        self.entries[ticket].state = State::Running { since: now };
        self.running.push(ticket);
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<bool> {
        let entry = self.entries.get(ticket)?;
        if !matches!(entry.state, State::Waiting) {
            return None;
        }
        let long = entry.estimate.long;
        let queue = if long { &mut self.long } else { &mut self.short };
        queue.remove(ticket, entry);
        self.entries.remove(ticket);
        Some(long)
    }

    fn observe(&mut self, entry: &Entry, time: Duration, bytes: u64) {
        let bytes = bytes.max(entry.work.length.unwrap_or(0));
        self.estimator.observe(&entry.work.key, time, bytes);
        let mean_s = if entry.estimate.long {
            &mut self.long_mean_s
        } else {
            &mut self.short_mean_s
        };
        let time = time.as_secs_f64();
        *mean_s = Some(mean_s.map_or(time, |mean_s| mean_s + SAMPLE_WEIGHT * (time - mean_s)));
    }
}

/// Maximum number of slots that long work may occupy on a backend server, whatever the short demand.
pub fn long_limit(slots: u16) -> u16 {
    slots.saturating_sub(RESERVED_SHORT_SLOTS).max(1)
}

impl Service {
    /// Round and sort key of the work that the service runs next.
    fn head(&self) -> Option<(u64, (Instant, u64, Ticket))> {
        let heads = self
            .callers
            .values()
            .filter_map(|caller| Some((caller.next_round, *caller.waiting.first()?)));
        heads.min()
    }
}

impl Queue {
    fn push(&mut self, ticket: Ticket, entry: &Entry) {
        let service = self.services.entry(entry.work.key.service).or_default();
        if service.head().is_none() {
            service.next_round = service.next_round.max(self.round);
        }
        let round = service.round;
        let caller = service.callers.entry(entry.work.caller.clone()).or_default();
        if caller.waiting.is_empty() {
            caller.next_round = caller.next_round.max(round);
        }
        caller.waiting.insert((entry.rank.0, entry.rank.1, ticket));
        self.len += 1;
    }

    fn remove(&mut self, ticket: Ticket, entry: &Entry) {
        let service = self.services.get_mut(&entry.work.key.service);
        let caller = service.and_then(|service| service.callers.get_mut(&entry.work.caller));
        if caller.is_some_and(|caller| caller.waiting.remove(&(entry.rank.0, entry.rank.1, ticket))) {
            self.len -= 1;
        }
        self.prune(entry.work.key.service);
    }

    fn pop(&mut self) -> Option<Ticket> {
        let heads = self
            .services
            .iter()
            .filter_map(|(id, service)| Some((service.next_round, service.head()?, *id)));
        let (round, (_, first), id) = heads.min()?;
        self.round = round;
        let service = self.services.get_mut(&id)?;
        service.next_round = round + 1;
        let (_, caller) = service
            .callers
            .iter_mut()
            .find(|(_, caller)| caller.waiting.first() == Some(&first))?;
        service.round = caller.next_round;
        caller.next_round += 1;
        caller.waiting.remove(&first);
        self.len -= 1;
        self.prune(id);
        Some(first.2)
    }

    /// Removes services of an empty queue, and callers without waiting work whose next round has passed, since they
    /// carry no state that matters any more. Callers are scanned only when their number has doubled, as a scan visits
    /// all of them.
    fn prune(&mut self, id: Id) {
        if self.len == 0 {
            self.services.clear();
            self.round = 0;
            return;
        }
        let Some(service) = self.services.get_mut(&id) else {
            return;
        };
        if service.callers.len() < service.prune_at.max(MIN_CALLERS_TO_PRUNE) {
            return;
        }
        let round = service.round;
        service
            .callers
            .retain(|_, caller| !caller.waiting.is_empty() || caller.next_round > round);
        service.prune_at = 2 * service.callers.len();
    }

    /// Earliest deadline of the queued work.
    fn earliest_deadline(&self) -> Option<Instant> {
        let callers = self.services.values().flat_map(|service| service.callers.values());
        callers.filter_map(|caller| Some(caller.waiting.first()?.0)).min()
    }

    /// Number of queued requests that are served before a new entry.
    fn count_ahead(&self, entry: &Entry) -> u64 {
        let rank = (entry.rank.0, entry.rank.1);
        let service = self.services.get(&entry.work.key.service);
        let caller = service.and_then(|service| service.callers.get(&entry.work.caller));
        let own_ahead = caller.map_or(0, |caller| {
            caller.waiting.iter().take_while(|item| (item.0, item.1) < rank).count() as u64
        });
        let round = service.map_or(0, |service| service.round);
        let own_round = caller.map_or(round, |caller| caller.next_round.max(round)) + own_ahead;
        let in_service: u64 = service.map_or(0, |service| {
            let others = service.callers.iter().filter(|(name, _)| **name != entry.work.caller);
            others.map(|(_, caller)| count_before(caller, own_round, rank)).sum()
        }) + own_ahead;
        let service_round = service.map_or(self.round, |service| service.next_round.max(self.round)) + in_service;
        let others = self.services.iter().filter(|(id, _)| **id != entry.work.key.service);
        let in_others: u64 = others
            .map(|(_, service)| {
                let waiting: u64 = service.callers.values().map(|caller| caller.waiting.len() as u64).sum();
                waiting.min(service_round.saturating_sub(service.next_round))
            })
            .sum();
        in_service + in_others
    }
}

/// Number of requests of another caller that are served before work with this round and sort key.
fn count_before(caller: &Caller, round: u64, rank: (Instant, u64)) -> u64 {
    let waiting = caller.waiting.len() as u64;
    let earlier_rounds = round.saturating_sub(caller.next_round);
    if waiting <= earlier_rounds {
        return waiting;
    }
    let same_round = caller.next_round <= round && caller.waiting.first().is_some_and(|item| (item.0, item.1) < rank);
    earlier_rounds + u64::from(same_round)
}
