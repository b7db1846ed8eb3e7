//! Decides which work gets a slot of the backend server, which waits, and which is refused.
//!
//! Work is short or long ([`crate::state::estimate`]). Each class has one queue; in it, services take turns, callers of
//! a service take turns, and the earliest deadline goes first within a turn.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

use crate::state::{
    estimate::{Estimate, Estimator, Key},
    service::Id,
};

/// Slots that long work leaves to short work.
const RESERVED_FOR_SHORT: u16 = 2;
/// Slots of which long work may always have one while it waits. With fewer slots the earlier deadline decides.
const SLOTS_FOR_LONG_MINIMUM: u16 = 3;
/// Requests that wait at most, whatever their deadlines. Each round looks at all waiting callers: with 4,000 of them one
/// request took 0.34 ms of processor time.
const MAX_WAITING: usize = 1_024;
/// Callers of a service below which none is forgotten while work waits.
const MIN_CALLERS_TO_PRUNE: usize = 64;
/// Longest time that a fast error keeps its slot busy.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Shortest hint for a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest hint for a retry: the queue changes too fast for a longer forecast.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time over which the demand of short work is averaged.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);
/// Standard deviations of the number of concurrent short requests that long work leaves free. The number varies as in a
/// Poisson process. With as many uploads as fit, the p99 of short requests of 10 to 30 ms was 30 ms without uploads,
/// 78 ms with 0 deviations, 41 ms with 1 and 34 ms with 1.5 (7 slots, half loaded).
const BURST: f64 = 1.5;
/// Weight of a sample in the mean time of a class.
const WEIGHT: f64 = 0.1;

/// Deviations beyond the mean time that work must be able to run before its deadline. Earliest deadline first starts
/// work at the last moment when the queue is long. At twice the capacity with exponential times, the goodput was 0.85
/// with one deviation and 0.96 with four.
const DEVIATIONS: u32 = 4;

new_key_type! {
    /// Work that waits for a slot or has one.
    pub struct Ticket;
}

/// Order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// Two classes, fair, earliest deadline first.
    FairDeadline,
    /// One queue, first in first out, for the baseline policies.
    Fifo,
}

/// Work that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// What is learned together.
    pub key: Key,
    /// Caller, for fairness.
    pub caller: String,
    /// Length of the body if the caller announced it.
    pub length: Option<u64>,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// Why work gets no slot. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// When another attempt may succeed; zero if there is no hint.
    pub retry_after: Duration,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No slot becomes free in time.
    Overloaded,
    /// The backend server is draining.
    Draining,
    /// The deadline has passed or is too near even for an idle server.
    Deadline,
}

/// Tickets whose state changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Work that has a slot now.
    pub started: Vec<Ticket>,
    /// Work that does not get a slot. Its tickets are no longer valid.
    pub refused: Vec<(Ticket, Refusal)>,
}

/// Slots and queues of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    slots: u16,
    order: Discipline,
    draining: bool,
    entries: SlotMap<Ticket, Entry>,
    /// Tickets that occupy slots; there are as many as slots.
    running: Vec<Ticket>,
    short: Queue,
    long: Queue,
    classes: Estimator,
    pace_short: Option<f64>,
    pace_long: Option<f64>,
    /// Slots that short work asks for, as a mean over the recent past.
    demand: f64,
    slot_time: Duration,
    accounted: Option<Instant>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry {
    work: Work,
    estimate: Estimate,
    latest_start: Instant,
    place: (Instant, u64),
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Waiting,
    Running { since: Instant },
    Held { until: Instant },
}

#[derive(Debug, Default)]
struct Queue {
    round: u64,
    len: usize,
    services: BTreeMap<Id, Share>,
}

#[derive(Debug, Default)]
struct Share {
    /// Next turn of the service.
    turn: u64,
    /// Turn of the caller that was served last.
    round: u64,
    /// Number of callers at which those without waiting work are forgotten.
    prune_at: usize,
    callers: BTreeMap<String, Line>,
}

/// Waiting work of one caller.
#[derive(Debug, Default)]
struct Line {
    /// Next turn of the caller.
    turn: u64,
    waiting: BTreeSet<(Instant, u64, Ticket)>,
}

impl Scheduler {
    /// Creates a scheduler for a number of slots.
    pub fn new(slots: u16, order: Discipline) -> Self {
        Self {
            slots: slots.max(1),
            order,
            draining: false,
            entries: SlotMap::with_key(),
            running: Vec::new(),
            short: Queue::default(),
            long: Queue::default(),
            classes: Estimator::default(),
            pace_short: None,
            pace_long: None,
            demand: 0.0,
            slot_time: Duration::ZERO,
            accounted: None,
            next_sequence: 0,
        }
    }

    /// Takes a slot only if that delays no other work.
    pub fn try_start(&mut self, work: Work, now: Instant) -> Option<Ticket> {
        self.account(now);
        let estimate = self.estimate(&work);
        let queue_is_empty = self.short.len == 0 && (!estimate.long || self.long.len == 0);
        if self.draining || work.deadline <= now || !queue_is_empty || !self.has_slot(estimate.long, now) {
            return None;
        }
        let entry = self.entry(work, estimate, now);
        let ticket = self.entries.insert(entry);
        self.start_ticket(ticket, now);
        Some(ticket)
    }

    /// Queues work, or refuses it if it would not start in time. [`Scheduler::dispatch`] must follow.
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
        self.account(now);
        let estimate = self.estimate(&work);
        let entry = self.entry(work, estimate, now);
        if self.short.len + self.long.len >= MAX_WAITING {
            return Err(self.overloaded(estimate.long));
        }
        if self.order == Discipline::FairDeadline {
            let wait = self.wait(&entry, now);
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

    /// Gives free slots to waiting work and drops work that can no longer start in time.
    pub fn dispatch(&mut self, now: Instant) -> Changes {
        self.account(now);
        let mut changes = Changes::default();
        let entries = &mut self.entries;
        self.running.retain(|&ticket| {
            let held_over = matches!(entries[ticket].state, State::Held { until } if until <= now);
            if held_over {
                entries.remove(ticket);
            }
            !held_over
        });
        while let Some(long) = self.next_class(now) {
            let queue = if long { &mut self.long } else { &mut self.short };
            let Some(ticket) = queue.pop() else { break };
            if self.entries[ticket].latest_start < now {
                self.entries.remove(ticket);
                changes.refused.push((ticket, self.overloaded(long)));
            } else {
                self.start_ticket(ticket, now);
                changes.started.push(ticket);
            }
        }
        changes
    }

    /// Latest moment at which waiting work may start. The owner calls [`Scheduler::expire`] then.
    pub fn latest_start(&self, ticket: Ticket) -> Option<Instant> {
        self.entries.get(ticket).map(|entry| entry.latest_start)
    }

    /// Whether the ticket has a slot.
    pub fn is_running(&self, ticket: Ticket) -> bool {
        matches!(
            self.entries.get(ticket).map(|entry| entry.state),
            Some(State::Running { .. })
        )
    }

    /// Removes work that still waits and gives the refusal for it.
    pub fn expire(&mut self, ticket: Ticket) -> Option<Refusal> {
        let long = self.remove_waiting(ticket)?;
        Some(self.overloaded(long))
    }

    /// Frees the place or the slot of work whose caller has left. Returns whether a slot became free.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> bool {
        self.account(now);
        if self.remove_waiting(ticket).is_some() {
            return false;
        }
        let Some(State::Running { since }) = self.entries.get(ticket).map(|entry| entry.state) else {
            return false;
        };
        let entry = self.entries.remove(ticket).expect("the entry exists");
        self.running.retain(|&other| other != ticket);
        let time = now.saturating_duration_since(since);
        // Cancelled work gives a lower bound only. Without it, a class that is always cancelled stays unknown.
        if time > entry.estimate.time {
            self.observe(&entry, time, entry.work.length.unwrap_or(0));
        }
        true
    }

    /// Ends running work. A fast error keeps its slot busy for the time that the work normally takes, so that a backend
    /// server that fails at once does not look idle and attract all work; the end of that time is returned.
    pub fn finish(&mut self, ticket: Ticket, now: Instant, bytes: u64, error: bool) -> Option<Instant> {
        let Some(State::Running { since }) = self.entries.get(ticket).map(|entry| entry.state) else {
            return None;
        };
        self.account(now);
        let time = now.saturating_duration_since(since);
        let expected = self.entries[ticket].estimate.time;
        if error && time < expected && self.order == Discipline::FairDeadline {
            let until = since + expected.min(MAX_HOLD).max(time);
            self.entries[ticket].state = State::Held { until };
            return Some(until);
        }
        let entry = self.entries.remove(ticket).expect("the entry exists");
        self.running.retain(|&other| other != ticket);
        self.observe(&entry, time, bytes);
        None
    }

    /// Sets whether new work is refused. Waiting work is refused at once, as it can still run elsewhere.
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

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Slots of the backend server.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Slots in use, with those that fast errors keep busy.
    pub fn busy(&self) -> u16 {
        u16::try_from(self.running.len()).unwrap_or(u16::MAX)
    }

    /// Slots that long work occupies, with work that has turned out to be long while it runs.
    pub fn busy_long(&self, now: Instant) -> u16 {
        let is_long = |entry: &Entry| {
            let turned_long =
                |since| now.saturating_duration_since(since) > self.classes.threshold(entry.work.key.service);
            entry.estimate.long || matches!(entry.state, State::Running { since } if turned_long(since))
        };
        let count = self.running.iter().filter(|&&ticket| is_long(&self.entries[ticket]));
        u16::try_from(count.count()).unwrap_or(u16::MAX)
    }

    /// Waiting work.
    pub fn queued(&self) -> usize {
        self.short.len + self.long.len
    }

    /// Most slots that long work may occupy now: all but 2, or fewer while short work needs more. Long work keeps its
    /// slot for many times the length of a short request, so the slots that a burst of requests needs must stay free.
    pub fn long_limit(&self) -> u16 {
        let for_short = (self.demand + BURST * self.demand.sqrt()).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the demand is between 0 and the number of slots"
        )]
        let for_short = for_short.clamp(0.0, f64::from(self.slots)) as u16;
        long_limit(self.slots).min(self.slots - for_short).max(1)
    }

    /// Time that all slots together have been busy, with those that fast errors keep busy.
    pub fn busy_slot_time(&mut self, now: Instant) -> Duration {
        self.account(now);
        self.slot_time
    }

    /// Accounts for the time since the last change. To be called before each change.
    fn account(&mut self, now: Instant) {
        let since = self.accounted.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        self.slot_time += elapsed * u32::from(self.busy());
        let running = self
            .running
            .iter()
            .filter(|&&ticket| !self.entries[ticket].estimate.long);
        let wanted = (running.count() + self.short.len).min(usize::from(self.slots));
        let wanted = f64::from(u16::try_from(wanted).unwrap_or(self.slots));
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).exp();
        self.demand += weight * (wanted - self.demand);
    }

    /// Whether work of this key and length is expected to be long.
    pub fn is_long(&self, key: &Key, length: Option<u64>) -> bool {
        self.order == Discipline::FairDeadline && self.classes.estimate(key, length).long
    }

    fn estimate(&self, work: &Work) -> Estimate {
        let mut estimate = self.classes.estimate(&work.key, work.length);
        // The baselines have one class.
        estimate.long &= self.order == Discipline::FairDeadline;
        estimate
    }

    fn entry(&mut self, work: Work, estimate: Estimate, now: Instant) -> Entry {
        self.next_sequence += 1;
        let (key, latest_start) = match self.order {
            Discipline::FairDeadline => {
                // At most half of the time left is kept for running: a wrong estimate must not refuse work for ever.
                let time_left = work.deadline.saturating_duration_since(now);
                let reserve = if estimate.learned {
                    (estimate.time + DEVIATIONS * estimate.deviation).min(time_left / 2)
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
            place: (key, self.next_sequence),
            state: State::Waiting,
        }
    }

    fn has_slot(&self, long: bool, now: Instant) -> bool {
        self.busy() < self.slots && (!long || self.busy_long(now) < self.long_limit())
    }

    /// Class of the work that gets the next slot. Short work goes first, but long work always gets one slot.
    fn next_class(&self, now: Instant) -> Option<bool> {
        let short = self.short.len > 0 && self.has_slot(false, now);
        let long = self.long.len > 0 && self.has_slot(true, now);
        match (short, long) {
            (false, false) => None,
            (true, false) => Some(false),
            (false, true) => Some(true),
            (true, true) if self.slots >= SLOTS_FOR_LONG_MINIMUM => Some(self.busy_long(now) == 0),
            (true, true) => Some(self.long.earliest() < self.short.earliest()),
        }
    }

    /// Forecast of the wait from the work ahead and the mean time in a slot; zero until a time has been learned.
    fn wait(&self, entry: &Entry, now: Instant) -> Duration {
        let long = entry.estimate.long;
        let (queue, pace) = self.queue(long);
        let ahead = queue.ahead(entry);
        if ahead == 0 && self.has_slot(long, now) {
            return Duration::ZERO;
        }
        let busy_long = self.busy_long(now);
        let usable = if long {
            busy_long.clamp(1, self.long_limit())
        } else {
            self.slots.saturating_sub(busy_long).max(1)
        };
        let Some(pace) = pace else { return Duration::ZERO };
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        Duration::from_secs_f64(pace * f64::from(ahead) / f64::from(usable))
    }

    fn overloaded(&self, long: bool) -> Refusal {
        let (queue, pace) = self.queue(long);
        let len = u32::try_from(queue.len).unwrap_or(u32::MAX);
        let drain = Duration::from_secs_f64(pace.unwrap_or(0.0) * f64::from(len) / f64::from(self.slots));
        Refusal {
            reason: Reason::Overloaded,
            retry_after: (drain / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn queue(&self, long: bool) -> (&Queue, Option<f64>) {
        if long {
            (&self.long, self.pace_long)
        } else {
            (&self.short, self.pace_short)
        }
    }

    fn start_ticket(&mut self, ticket: Ticket, now: Instant) {
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
        self.classes.observe(&entry.work.key, time, bytes);
        let pace = if entry.estimate.long {
            &mut self.pace_long
        } else {
            &mut self.pace_short
        };
        let time = time.as_secs_f64();
        *pace = Some(pace.map_or(time, |pace| pace + WEIGHT * (time - pace)));
    }
}

/// Most slots that long work may occupy on a backend server.
pub fn long_limit(slots: u16) -> u16 {
    slots.saturating_sub(RESERVED_FOR_SHORT).max(1)
}

impl Share {
    /// Turn and place of the work that the service gives next.
    fn head(&self) -> Option<(u64, (Instant, u64, Ticket))> {
        let heads = self
            .callers
            .values()
            .filter_map(|line| Some((line.turn, *line.waiting.first()?)));
        heads.min()
    }
}

impl Queue {
    fn push(&mut self, ticket: Ticket, entry: &Entry) {
        let share = self.services.entry(entry.work.key.service).or_default();
        if share.head().is_none() {
            share.turn = share.turn.max(self.round);
        }
        let round = share.round;
        let line = share.callers.entry(entry.work.caller.clone()).or_default();
        if line.waiting.is_empty() {
            line.turn = line.turn.max(round);
        }
        line.waiting.insert((entry.place.0, entry.place.1, ticket));
        self.len += 1;
    }

    fn remove(&mut self, ticket: Ticket, entry: &Entry) {
        let share = self.services.get_mut(&entry.work.key.service);
        let line = share.and_then(|share| share.callers.get_mut(&entry.work.caller));
        if line.is_some_and(|line| line.waiting.remove(&(entry.place.0, entry.place.1, ticket))) {
            self.len -= 1;
        }
        self.prune(entry.work.key.service);
    }

    fn pop(&mut self) -> Option<Ticket> {
        let heads = self
            .services
            .iter()
            .filter_map(|(id, share)| Some((share.turn, share.head()?, *id)));
        let (turn, (_, first), service) = heads.min()?;
        self.round = turn;
        let share = self.services.get_mut(&service)?;
        share.turn = turn + 1;
        let (_, line) = share
            .callers
            .iter_mut()
            .find(|(_, line)| line.waiting.first() == Some(&first))?;
        share.round = line.turn;
        line.turn += 1;
        line.waiting.remove(&first);
        self.len -= 1;
        self.prune(service);
        Some(first.2)
    }

    /// Forgets callers and services without waiting work. Their turn says nothing once others have had the same. It is
    /// done only when their number has doubled, as each round looks at all of them.
    fn prune(&mut self, service: Id) {
        if self.len == 0 {
            self.services.clear();
            self.round = 0;
            return;
        }
        let Some(share) = self.services.get_mut(&service) else {
            return;
        };
        if share.callers.len() < share.prune_at.max(MIN_CALLERS_TO_PRUNE) {
            return;
        }
        let round = share.round;
        share
            .callers
            .retain(|_, line| !line.waiting.is_empty() || line.turn > round);
        share.prune_at = 2 * share.callers.len();
    }

    /// Deadline of the work that the queue gives next.
    fn earliest(&self) -> Option<Instant> {
        let lines = self.services.values().flat_map(|share| share.callers.values());
        lines.filter_map(|line| Some(line.waiting.first()?.0)).min()
    }

    /// Work that is served before new work of this entry.
    fn ahead(&self, entry: &Entry) -> u64 {
        let place = (entry.place.0, entry.place.1);
        let share = self.services.get(&entry.work.key.service);
        let own = share.and_then(|share| share.callers.get(&entry.work.caller));
        let own_ahead = own.map_or(0, |line| {
            line.waiting.iter().take_while(|item| (item.0, item.1) < place).count() as u64
        });
        let round = share.map_or(0, |share| share.round);
        let turn = own.map_or(round, |line| line.turn.max(round)) + own_ahead;
        let in_service: u64 = share.map_or(0, |share| {
            let others = share.callers.iter().filter(|(name, _)| **name != entry.work.caller);
            others.map(|(_, line)| before(line, turn, place)).sum()
        }) + own_ahead;
        let service_turn = share.map_or(self.round, |share| share.turn.max(self.round)) + in_service;
        let others = self.services.iter().filter(|(id, _)| **id != entry.work.key.service);
        let elsewhere: u64 = others
            .map(|(_, share)| {
                let waiting: u64 = share.callers.values().map(|line| line.waiting.len() as u64).sum();
                waiting.min(service_turn.saturating_sub(share.turn))
            })
            .sum();
        in_service + elsewhere
    }
}

/// Work of another caller that is served before work with this turn and place.
fn before(line: &Line, turn: u64, place: (Instant, u64)) -> u64 {
    let waiting = line.waiting.len() as u64;
    let earlier_turns = turn.saturating_sub(line.turn);
    if waiting <= earlier_turns {
        return waiting;
    }
    let same_turn = line.turn <= turn && line.waiting.first().is_some_and(|item| (item.0, item.1) < place);
    earlier_turns + u64::from(same_turn)
}
