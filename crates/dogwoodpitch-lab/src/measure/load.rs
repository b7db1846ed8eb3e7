//! Callers under a bounded load, and what they were told.

use std::{
    cell::{Cell, RefCell},
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    caller::{Counters, Request, Session},
    protocol::{
        code::Code,
        request::{Id, Kind},
    },
    transport::time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    cluster::{self, Cluster, Service},
    demo,
};

/// Interval of feed events.
pub(crate) const FEED_INTERVAL_MS: u64 = 200;
/// Requests and uploads that wait for their answers at most. More are not sent, so a fault cannot grow the load tool.
const MAX_WAITING: usize = 6_000;
/// Deadline of uploads.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(20);
/// Length of the body of a short request.
const BODY_LEN: std::ops::Range<usize> = 20..400;
/// A feed that is further behind than this at the end has missed events. It covers the target of 3 s for resuming.
const FEED_LAG: Duration = Duration::from_secs(4);

/// Constant part of the load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    /// Sessions for each backend server of a service; each keeps a feed open.
    pub(crate) sessions_per_host: usize,
    /// Time that a short request holds a slot, on average.
    pub(crate) work: Duration,
    /// Time that a short request may take.
    pub(crate) deadline: Duration,
    /// Length of uploads in bytes.
    pub(crate) upload_len: (usize, usize),
}

/// Part of the load that a scenario changes as it runs.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Offered short work as a part of the slots.
    pub(crate) short: Cell<f64>,
    /// Uploads a second for each backend server.
    pub(crate) uploads: Cell<f64>,
    stopped: Cell<bool>,
}

/// A request or an upload, and what its caller was told.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) id: Id,
    pub(crate) service: usize,
    pub(crate) kind: Kind,
    pub(crate) idempotent: bool,
    pub(crate) started: Instant,
    pub(crate) took: Duration,
    pub(crate) in_deadline: bool,
    pub(crate) bytes: usize,
    pub(crate) code: Code,
    /// Whether the answer is that of the request.
    pub(crate) right: bool,
}

/// What all callers were told.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) calls: Vec<Call>,
    /// Requests and uploads that were not sent because too many waited.
    pub(crate) skipped: usize,
    pub(crate) feed_events: u64,
    pub(crate) feed_missed: u64,
    pub(crate) feed_doubled: u64,
    /// Longest time from the moment that an event was due until a caller had it.
    pub(crate) feed_delay_ms: u128,
    /// Feed events of another service.
    pub(crate) feed_misrouted: u64,
}

/// Running callers.
pub(crate) struct Load {
    pub(crate) demand: Rc<Demand>,
    pub(crate) tally: Rc<RefCell<Tally>>,
    pub(crate) sessions: Vec<(usize, Session)>,
    waiting: Rc<Cell<usize>>,
    generators: Vec<monoio::task::JoinHandle<()>>,
    feed_epoch_ms: u128,
    positions: Vec<Rc<Cell<u64>>>,
}

/// What one generator of calls needs.
struct Generator {
    index: usize,
    service: String,
    hosts: usize,
    slots: f64,
    shape: Shape,
    sessions: Vec<Session>,
    demand: Rc<Demand>,
    tally: Rc<RefCell<Tally>>,
    waiting: Rc<Cell<usize>>,
    random: RefCell<StdRng>,
}

impl Load {
    /// Opens sessions and feeds, and starts to send.
    pub(crate) fn start(cluster: &Cluster, shape: Shape, seed: u64) -> Self {
        let demand = Rc::new(Demand::default());
        let tally = Rc::new(RefCell::new(Tally::default()));
        let waiting = Rc::new(Cell::new(0));
        let mut load = Self {
            demand: Rc::clone(&demand),
            tally: Rc::clone(&tally),
            sessions: Vec::new(),
            waiting: Rc::clone(&waiting),
            generators: Vec::new(),
            feed_epoch_ms: cluster.feed_epoch_ms(),
            positions: Vec::new(),
        };
        for (index, service) in cluster.services.iter().enumerate() {
            let hosts = cluster.plan.services[index].1;
            let sessions: Vec<_> = (0..hosts * shape.sessions_per_host)
                .map(|_| Session::open(demo::settings(service, Ipv4Addr::LOCALHOST)))
                .collect();
            for session in &sessions {
                let position = Rc::new(Cell::new(0));
                let follow = follow(
                    session.clone(),
                    service.clone(),
                    cluster.feed_epoch_ms(),
                    Rc::clone(&position),
                    Rc::clone(&tally),
                );
                monoio::spawn(follow);
                load.positions.push(position);
            }
            load.sessions
                .extend(sessions.iter().map(|session| (index, session.clone())));
            let generator = Rc::new(Generator {
                index,
                service: service.name.clone(),
                hosts,
                slots: f64::from(cluster.plan.slots),
                shape,
                sessions,
                demand: Rc::clone(&demand),
                tally: Rc::clone(&tally),
                waiting: Rc::clone(&waiting),
                random: RefCell::new(StdRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32))),
            });
            load.generators
                .push(monoio::spawn(Rc::clone(&generator).generate(Kind::Request)));
            load.generators.push(monoio::spawn(generator.generate(Kind::Upload)));
        }
        load
    }

    /// Stops sending and waits for the answers that are still due.
    pub(crate) async fn finish(&mut self) -> Result<(), String> {
        self.demand.stopped.set(true);
        for generator in self.generators.drain(..) {
            generator.await;
        }
        cluster::until("all answers", UPLOAD_DEADLINE + Duration::from_secs(5), || {
            std::future::ready(self.waiting.get() == 0)
        })
        .await?;
        let now = cluster::unix_ms().saturating_sub(FEED_LAG.as_millis());
        let due = u64::try_from(now.saturating_sub(self.feed_epoch_ms)).unwrap_or(u64::MAX) / FEED_INTERVAL_MS;
        let behind = self.positions.iter().map(|position| due.saturating_sub(position.get()));
        self.tally.borrow_mut().feed_missed += behind.sum::<u64>();
        Ok(())
    }

    /// Changes of connections of each session, with its service.
    pub(crate) fn counters(&self) -> Vec<(usize, Counters)> {
        let sessions = self.sessions.iter();
        sessions
            .map(|(service, session)| (*service, session.counters()))
            .collect()
    }
}

/// Reads a feed until the process ends, and checks each event.
async fn follow(
    session: Session,
    service: Service,
    epoch_ms: u128,
    position: Rc<Cell<u64>>,
    tally: Rc<RefCell<Tally>>,
) {
    let mut feed = session.feed(0);
    let opened_ms = cluster::unix_ms();
    loop {
        let event = feed.next().await;
        // Position 0 stands for the present, so the first event gives the start.
        let expected = match position.get() {
            0 => event.position,
            last => last + 1,
        };
        let mut tally = tally.borrow_mut();
        tally.feed_events += 1;
        tally.feed_missed += event.position.saturating_sub(expected);
        tally.feed_doubled += u64::from(event.position < expected);
        tally.feed_misrouted += u64::from(event.payload != format!("{}:{}", service.name, event.position));
        position.set(event.position.max(position.get()));
        // Events from before the feed was opened are no measure of its delay.
        let due_ms = epoch_ms + u128::from(event.position) * u128::from(FEED_INTERVAL_MS);
        if due_ms > opened_ms {
            tally.feed_delay_ms = tally.feed_delay_ms.max(cluster::unix_ms().saturating_sub(due_ms));
        }
    }
}

impl Generator {
    /// Calls a second of one kind at present.
    fn rate(&self, kind: Kind) -> f64 {
        let hosts = f64::from(u32::try_from(self.hosts).unwrap_or(u32::MAX));
        match kind {
            Kind::Request => self.demand.short.get() * hosts * self.slots / self.shape.work.as_secs_f64(),
            Kind::Feed | Kind::Upload => self.demand.uploads.get() * hosts,
        }
    }

    /// Sends calls at random times at the present rate, independent of the answers.
    async fn generate(self: Rc<Self>, kind: Kind) {
        /// Time between looks at the rate while it is low.
        const LOOK: Duration = Duration::from_millis(50);
        let mut next = Instant::now();
        while !self.demand.stopped.get() {
            let rate = self.rate(kind);
            if rate <= 0.0 {
                cluster::sleep(LOOK).await;
                next = Instant::now();
                continue;
            }
            let uniform: f64 = self.random.borrow_mut().random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            while next > Instant::now() && !self.demand.stopped.get() {
                time::sleep_until(next.min(Instant::now() + LOOK)).await;
            }
            if self.demand.stopped.get() {
                return;
            }
            if self.waiting.get() >= MAX_WAITING {
                self.tally.borrow_mut().skipped += 1;
                continue;
            }
            self.waiting.set(self.waiting.get() + 1);
            monoio::spawn(Rc::clone(&self).call(kind));
        }
    }

    async fn call(self: Rc<Self>, kind: Kind) {
        let started = Instant::now();
        let (session, work) = {
            let mut random = self.random.borrow_mut();
            let len = match kind {
                Kind::Request => random.random_range(BODY_LEN),
                Kind::Feed | Kind::Upload => random.random_range(self.shape.upload_len.0..=self.shape.upload_len.1),
            };
            let mut body = vec![0; len];
            random.fill(&mut body[..]);
            let short = kind == Kind::Request;
            let work = Request {
                id: Id(random.random()),
                class: if short { "reservation" } else { "photo" }.to_owned(),
                idempotent: short && random.random(),
                deadline: started + if short { self.shape.deadline } else { UPLOAD_DEADLINE },
                body: Bytes::from(body),
            };
            (self.sessions[random.random_range(0..self.sessions.len())].clone(), work)
        };
        let (id, body) = (work.id, work.body.clone());
        let mut call = Call {
            id,
            service: self.index,
            kind,
            idempotent: work.idempotent,
            started,
            took: Duration::ZERO,
            in_deadline: false,
            bytes: body.len(),
            code: Code::OK,
            right: true,
        };
        let deadline = work.deadline;
        let answer = match kind {
            Kind::Request => session.request(work).await,
            Kind::Feed | Kind::Upload => session.upload(work).await,
        };
        let now = Instant::now();
        call.took = now - started;
        call.in_deadline = answer.code == Code::OK && now <= deadline;
        call.code = answer.code;
        call.right = answer.code != Code::OK || demo::is_answer(&self.service, id, &body, &answer.body);
        self.tally.borrow_mut().calls.push(call);
        self.waiting.set(self.waiting.get() - 1);
    }
}
