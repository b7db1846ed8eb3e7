//! Admission control for the slots and connections of the backend server. [`Scheduler`] makes the decisions; this module
//! runs it on the async runtime.

use std::{
    cell::{Cell, RefCell},
    fmt,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use slotmap::SecondaryMap;

use crate::{
    protocol::{
        code::Code,
        request::{Head, Kind, Reply},
        settings::Policy,
    },
    state::{
        admission::{Changes, Discipline, Reason, Refusal, Scheduler, Ticket, Work},
        estimate::Key,
        load::Load,
        service::Id,
    },
    transport::time,
};

/// Slow start: time over which the share of new flows for a cold backend server grows to its full value.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of new flows at the beginning of the slow start, in percent. Above 0, so that there is traffic to warm up on.
const SLOW_START_MIN_PERCENT: u8 = 10;

/// Admission controller of one backend server. Clones share their state.
#[derive(Debug, Clone)]
pub struct Controller(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<SecondaryMap<Ticket, Waiter>>,
    started_at: Instant,
    incarnation: u32,
    connection_limit: u32,
    connections: Cell<u32>,
    feeds: Cell<u32>,
    sequence: Cell<u32>,
}

#[derive(Debug)]
enum Waiter {
    Waiting(Option<Waker>),
    Started,
    Refused(Refusal),
}

/// Holds a slot, or a feed's connection, until it is dropped.
pub struct Permit {
    controller: Controller,
    held: Held,
}

#[derive(Debug, Clone, Copy)]
enum Held {
    Slot(Ticket),
    /// A feed occupies a connection but no slot.
    Feed,
    Nothing,
}

/// Removes work from the queue when the future that waits for its slot is dropped.
struct Guard<'a> {
    controller: &'a Controller,
    ticket: Option<Ticket>,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("held", &self.held)
            .finish_non_exhaustive()
    }
}

impl Controller {
    /// Creates a controller with the limits of the backend server.
    pub fn new(slots: u16, connections: u32, incarnation: u32, policy: Policy) -> Self {
        let order = match policy {
            Policy::Product => Discipline::FairDeadline,
            Policy::Random | Policy::RoundRobin | Policy::LeastLoadStale => Discipline::Fifo,
        };
        Self(Rc::new(Inner {
            scheduler: RefCell::new(Scheduler::new(slots, order)),
            waiters: RefCell::default(),
            started_at: Instant::now(),
            incarnation,
            connection_limit: connections,
            connections: Cell::default(),
            feeds: Cell::default(),
            sequence: Cell::default(),
        }))
    }

    /// Takes a slot if one is free for this work; never waits.
    pub fn try_acquire(&self, service: Id, caller: &str, head: &Head, deadline: Instant) -> Option<Permit> {
        if head.kind == Kind::Feed {
            return self.open_feed().ok();
        }
        self.advance();
        let work = work(service, caller, head, deadline);
        let ticket = self.0.scheduler.borrow_mut().try_start(work, Instant::now())?;
        Some(self.permit(ticket))
    }

    /// Waits for a slot. An error is the refusal for the caller. Dropping the future cancels the wait.
    pub async fn acquire(&self, service: Id, caller: &str, head: &Head, deadline: Instant) -> Result<Permit, Reply> {
        let permit = if head.kind == Kind::Feed {
            self.open_feed()
        } else {
            self.wait_for_slot(work(service, caller, head, deadline)).await
        };
        permit.map_err(|refusal| {
            let reply = reply(refusal);
            metrics::counter!("dogwoodpitch_admission_refused", "code" => reply.code.to_string()).increment(1);
            log::info!(
                event = "admission.refused", request:% = head.id, service:% = service, caller = caller,
                code:% = reply.code, reason = reply.detail.as_str(), retry_after_ms = reply.retry_after_ms;
                "request not run"
            );
            reply
        })
    }

    /// Sets whether new work is refused.
    pub fn set_draining(&self, draining: bool) {
        let changes = self.0.scheduler.borrow_mut().set_draining(draining);
        self.notify(changes);
    }

    /// Sets the number of open flows, which load reports contain.
    pub fn set_connections(&self, connections: u32) {
        self.0.connections.set(connections);
    }

    /// Whether the request is expected to occupy its slot for a long time.
    pub fn is_long(&self, service: Id, head: &Head) -> bool {
        let key = key(service, head);
        head.kind != Kind::Feed && self.0.scheduler.borrow().is_long(&key, head.length)
    }

    /// Current load of this agent, with the next sequence number.
    pub fn next_load(&self) -> Load {
        self.0.sequence.set(self.0.sequence.get().wrapping_add(1));
        self.current_load()
    }

    /// Current load of this agent, with the sequence number of the last report.
    pub fn current_load(&self) -> Load {
        let mut scheduler = self.0.scheduler.borrow_mut();
        let now = Instant::now();
        let slot_ms = scheduler.busy_slot_time(now).as_millis() % (1 << 32);
        Load {
            incarnation: self.0.incarnation,
            sequence: self.0.sequence.get(),
            slots: scheduler.slots(),
            busy: scheduler.busy(),
            long: scheduler.busy_long(now),
            queued: u16::try_from(scheduler.queued()).unwrap_or(u16::MAX),
            connection_limit: self.0.connection_limit,
            connections: self.0.connections.get(),
            draining: scheduler.is_draining(),
            warm_percent: warm_percent(now.saturating_duration_since(self.0.started_at)),
            long_limit: scheduler.long_limit(),
            slot_ms: u32::try_from(slot_ms).unwrap_or(0),
        }
    }

    /// Queues work and waits until it gets a slot or is refused.
    async fn wait_for_slot(&self, work: Work) -> Result<Permit, Refusal> {
        let ticket = self.0.scheduler.borrow_mut().enqueue(work, Instant::now())?;
        self.0.waiters.borrow_mut().insert(ticket, Waiter::Waiting(None));
        let mut guard = Guard {
            controller: self,
            ticket: Some(ticket),
        };
        self.advance();
        let latest_start = self.0.scheduler.borrow().latest_start(ticket);
        let started = poll_fn(|cx| self.poll_waiter(ticket, cx.waker()));
        if let Some(latest_start) = latest_start {
            time::timeout_at(latest_start, started).await;
        }
        guard.ticket = None;
        let waiter = self.0.waiters.borrow_mut().remove(ticket);
        let refusal = match waiter {
            Some(Waiter::Waiting(_)) => self.0.scheduler.borrow_mut().expire(ticket),
            Some(Waiter::Refused(refusal)) => Some(refusal),
            Some(Waiter::Started) | None => None,
        };
        refusal.map_or_else(|| Ok(self.permit(ticket)), Err)
    }

    fn poll_waiter(&self, ticket: Ticket, waker: &Waker) -> Poll<()> {
        let mut waiters = self.0.waiters.borrow_mut();
        let Some(Waiter::Waiting(registered)) = waiters.get_mut(ticket) else {
            return Poll::Ready(());
        };
        *registered = Some(waker.clone());
        Poll::Pending
    }

    fn open_feed(&self) -> Result<Permit, Refusal> {
        let scheduler = self.0.scheduler.borrow();
        if scheduler.is_draining() {
            return Err(Refusal {
                reason: Reason::Draining,
                retry_after: Duration::ZERO,
            });
        }
        // One connection is reserved for each slot.
        let limit = self.0.connection_limit.saturating_sub(u32::from(scheduler.slots()));
        if self.0.feeds.get() >= limit.max(1) {
            return Err(Refusal {
                reason: Reason::Overloaded,
                retry_after: Duration::from_secs(1),
            });
        }
        self.0.feeds.set(self.0.feeds.get() + 1);
        Ok(Permit {
            controller: self.clone(),
            held: Held::Feed,
        })
    }

    fn permit(&self, ticket: Ticket) -> Permit {
        Permit {
            controller: self.clone(),
            held: Held::Slot(ticket),
        }
    }

    /// Lets the scheduler start or refuse queued work, and wakes the futures concerned.
    fn advance(&self) {
        let changes = self.0.scheduler.borrow_mut().dispatch(Instant::now());
        self.notify(changes);
    }

    fn notify(&self, changes: Changes) {
        let mut waiters = self.0.waiters.borrow_mut();
        let started = changes.started.into_iter().map(|ticket| (ticket, Waiter::Started));
        let refused = changes.refused.into_iter();
        let refused = refused.map(|(ticket, refusal)| (ticket, Waiter::Refused(refusal)));
        for (ticket, state) in started.chain(refused) {
            if let Some(waiter) = waiters.get_mut(ticket)
                && let Waiter::Waiting(Some(waker)) = std::mem::replace(waiter, state)
            {
                waker.wake();
            }
        }
    }
}

impl Permit {
    /// Releases the slot and records the outcome, so that durations per class of work are learnt. The slot of a fast error
    /// is held for its usual time, so that errors do not look like spare capacity.
    pub fn complete(mut self, bytes: u64, error: bool) {
        let Held::Slot(ticket) = self.held else { return };
        self.held = Held::Nothing;
        let held_until = self
            .controller
            .0
            .scheduler
            .borrow_mut()
            .finish(ticket, Instant::now(), bytes, error);
        let Some(held_until) = held_until else {
            self.controller.advance();
            return;
        };
        let controller = self.controller.clone();
        monoio::spawn(async move {
            time::sleep_until(held_until).await;
            controller.advance();
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match self.held {
            Held::Slot(ticket) => {
                if self.controller.0.scheduler.borrow_mut().cancel(ticket, Instant::now()) {
                    self.controller.advance();
                }
            }
            Held::Feed => self
                .controller
                .0
                .feeds
                .set(self.controller.0.feeds.get().saturating_sub(1)),
            Held::Nothing => {}
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        self.controller.0.waiters.borrow_mut().remove(ticket);
        if self.controller.0.scheduler.borrow_mut().cancel(ticket, Instant::now()) {
            self.controller.advance();
        }
    }
}

fn key(service: Id, head: &Head) -> Key {
    Key {
        service,
        upload: head.kind == Kind::Upload,
        class: head.class.clone(),
    }
}

fn work(service: Id, caller: &str, head: &Head, deadline: Instant) -> Work {
    Work {
        key: key(service, head),
        caller: caller.to_owned(),
        length: head.length,
        deadline,
    }
}

fn reply(refusal: Refusal) -> Reply {
    let (code, detail) = match refusal.reason {
        Reason::Overloaded => (Code::OVERLOADED, "no slot becomes free in time"),
        Reason::Draining => (Code::DRAINING, "the backend server is draining"),
        Reason::Deadline => (Code::DEADLINE, "the deadline has passed"),
    };
    Reply {
        code,
        retry_after_ms: u32::try_from(refusal.retry_after.as_millis()).unwrap_or(u32::MAX),
        detail: detail.to_owned(),
    }
}

/// Share of new flows for a backend server of this age, in percent.
fn warm_percent(age: Duration) -> u8 {
    let percent = age.as_millis() * 100 / SLOW_START.as_millis();
    u8::try_from(percent).unwrap_or(100).clamp(SLOW_START_MIN_PERCENT, 100)
}
