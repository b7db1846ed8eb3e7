//! Measures the forwarding path of the balancer against a bare receive-and-send loop.
//!
//! Generator threads send, one worker thread forwards, and a sink thread receives. The generators keep a window of packets
//! in flight, so that no packets are lost and the worker is the slowest part.

use std::{
    array, fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    os::fd::AsRawFd,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    balancer::forward::Forwarder,
    protocol::{
        cid::{self, Codec, Target},
        datagram, proxy,
    },
    state::{
        config::{Item, Snapshot},
        roster::{Node, Role},
        route::Table,
        service::{Id, Service},
    },
    transport::{
        runtime,
        udp::{BATCH, Channel, MAX_DATAGRAM, Socket},
    },
};
use hdrhistogram::Histogram;
use nix::{
    sys::socket::{self, MsgFlags, MultiHeaders, SockaddrIn, sockopt},
    time::ClockId,
};
use pico_args::Arguments;

use crate::Outcome;

const HELP: &str = "\
Measures the forwarding path of the balancer against a bare receive-and-send loop

Usage: dogwoodpitch-lab forward [--seconds S] [--flows N]

Options:
  --seconds S   length of the whole measurement (default 20)
  --flows N     flows of the larger memory measurement (default 300000)
";

/// Size of a QUIC packet.
const PACKET: usize = 200;
/// Packets in flight. Fits the socket buffers, and keeps the worker busy without pause.
const WINDOW: u64 = 4096;
/// Generator threads. One left the worker idle for 40% of the time.
const GENERATORS: u32 = 2;
/// Silence after which the packets in flight are taken to be lost.
const STALL: Duration = Duration::from_millis(20);
/// Flows of the smaller memory measurement.
const FEW_FLOWS: u32 = 1000;
/// Longest phase of a run.
const MAX_PHASE: Duration = Duration::from_mins(1);
/// Pairs of throughput measurements. Other work on the machine disturbs single ones, so the median counts.
const ROUNDS: u32 = 11;
/// Packets a second while the delay is measured; far below saturation.
const DELAY_RATE: u32 = 10_000;
/// Longest delay of the histogram in nanoseconds.
const MAX_DELAY_NS: u64 = 1_000_000_000;
/// Services of the configuration, as in the two-year size.
const SERVICES: u16 = 470;
const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const CID_KEY: cid::Key = cid::Key {
    epoch: 1,
    secret: [9; 16],
};
const FRAME_KEY: datagram::Key = datagram::Key([7; 16]);

/// What stands between generator and sink.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    /// Nothing.
    Direct,
    /// A loop of `recvmmsg` and `sendmmsg`.
    Bare,
    /// The forwarding path of the balancer.
    Balancer,
}

/// How the generator sends.
#[derive(Debug, Clone, Copy)]
enum Load {
    /// As many packets as the path takes.
    Saturating,
    /// [`DELAY_RATE`] packets a second.
    Paced,
}

struct Run {
    packets_per_s: f64,
    /// Share of a core that the worker used. The worker is the slowest part only if this is near 1.
    busy: f64,
    delays: Histogram<u64>,
    /// Resident memory at the end of each phase.
    rss_kib: Vec<u64>,
}

impl Run {
    /// Packets a second of processor time. On a machine with other work the worker does not get its core all the time.
    fn per_core(&self) -> f64 {
        self.packets_per_s / self.busy
    }
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let seconds: u32 = args
        .opt_value_from_str("--seconds")
        .map_err(|error| error.to_string())?
        .unwrap_or(20);
    let flows: u32 = args
        .opt_value_from_str("--flows")
        .map_err(|error| error.to_string())?
        .unwrap_or(300_000);
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments {rest:?}"));
    }
    if !(1..=600).contains(&seconds) || flows < FEW_FLOWS {
        return Err(format!("expected 1 to 600 seconds and at least {FEW_FLOWS} flows"));
    }
    measure(seconds, flows).map_err(|error| error.to_string())
}

fn measure(seconds: u32, flows: u32) -> io::Result<()> {
    // Two throughput runs a round, two phases of the memory run, one direct run and three delay runs.
    let time = Duration::from_secs(seconds.into()) / (2 * ROUNDS + 6);
    // Both figures come from one run of the same threads and sockets, so that their difference is due to the flows.
    let memory = run_path(Path::Balancer, Load::Saturating, &[FEW_FLOWS, flows], time)?.rss_kib;
    println!("{FEW_FLOWS} flows: {} KiB, {flows} flows: {} KiB", memory[0], memory[1]);
    let direct = run_path(Path::Direct, Load::Saturating, &[flows], time)?;
    println!("direct: {:.0} packets/s", direct.packets_per_s);
    let mut rounds = Vec::new();
    for round in 1..=ROUNDS {
        let bare = run_path(Path::Bare, Load::Saturating, &[flows], time)?;
        let balancer = run_path(Path::Balancer, Load::Saturating, &[flows], time)?;
        println!(
            "round {round}: bare {:.0} packets/s with {:.2} of a core, balancer {:.0} packets/s with {:.2} of a core",
            bare.packets_per_s, bare.busy, balancer.packets_per_s, balancer.busy
        );
        rounds.push((bare.per_core(), balancer.per_core()));
    }
    let median = |pick: fn(&(f64, f64)) -> f64| {
        let mut values: Vec<_> = rounds.iter().map(pick).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let micros = |path| -> io::Result<[f64; 2]> {
        let delays = run_path(path, Load::Paced, &[flows], time)?.delays;
        let quantile = |q| Duration::from_nanos(delays.value_at_quantile(q)).as_secs_f64() * 1e6;
        let quantiles = [quantile(0.5), quantile(0.99)];
        println!("{path:?}: delay p50 {:.1} us, p99 {:.1} us", quantiles[0], quantiles[1]);
        Ok(quantiles)
    };
    let direct = micros(Path::Direct)?;
    let bare = micros(Path::Bare)?;
    let balancer = micros(Path::Balancer)?;
    let result = serde_json::json!({
        "packet_bytes": PACKET,
        "bare_pps": median(|round| round.0).round(),
        "balancer_pps": median(|round| round.1).round(),
        "ratio": median(|round| round.1 / round.0),
        "added_p50_us": balancer[0] - direct[0],
        "added_p99_us": balancer[1] - direct[1],
        "bare_added_p50_us": bare[0] - direct[0],
        "bare_added_p99_us": bare[1] - direct[1],
        "rss_1k_flows_kib": memory[0],
        "rss_300k_flows_kib": memory[1],
        "flows": flows,
    });
    println!("{result}");
    Ok(())
}

/// Processor time of the calling thread.
fn thread_time() -> io::Result<Duration> {
    Ok(ClockId::CLOCK_THREAD_CPUTIME_ID.now()?.into())
}

/// Runs packets through a path, for a time with each number of flows. The rate is that of the last phase.
fn run_path(path: Path, load: Load, phases: &[u32], time: Duration) -> io::Result<Run> {
    let sink = bind()?;
    sink.set_read_timeout(Some(STALL))?;
    let sink_address = address(&sink)?;
    let stop = Arc::new(AtomicBool::new(false));
    let received = Arc::new(AtomicU64::new(0));
    let start = Instant::now();

    let (ready, worker_address) = mpsc::channel();
    let worker_stop = Arc::clone(&stop);
    let worker = match path {
        Path::Direct => None,
        Path::Bare => Some(thread::spawn(move || {
            bare(sink_address, &ready, &worker_stop).and_then(|()| thread_time())
        })),
        Path::Balancer => Some(thread::spawn(move || {
            balancer(sink_address, &ready, &worker_stop).and_then(|()| thread_time())
        })),
    };
    let to = match &worker {
        None => sink_address,
        Some(_) => worker_address.recv().map_err(io::Error::other)?,
    };
    let sink_thread = {
        let (stop, received) = (Arc::clone(&stop), Arc::clone(&received));
        thread::spawn(move || drain(&sink, start, &received, &stop))
    };
    let sent = Arc::new(AtomicU64::new(0));
    let flows = Arc::new(AtomicU32::new(phases[0]));
    let generators = if matches!(load, Load::Paced) { 1 } else { GENERATORS };
    let generators: Vec<_> = (0..generators)
        .map(|index| {
            let flow = Flow {
                codec: Codec::new(&[CID_KEY]),
                agent: sink_address,
                with_header: path == Path::Balancer,
                flows: Arc::clone(&flows),
                next: index,
                step: generators,
            };
            let (stop, received, sent) = (Arc::clone(&stop), Arc::clone(&received), Arc::clone(&sent));
            thread::spawn(move || generate(flow, to, load, start, &sent, &received, &stop))
        })
        .collect();

    let mut rss_kib = Vec::new();
    let mut packets_per_s = 0.0;
    for &phase in phases {
        flows.store(phase, Ordering::Relaxed);
        // The first tenth warms up caches and queues.
        let warm_up = time / 10;
        thread::sleep(warm_up);
        let (begin, before) = (Instant::now(), received.load(Ordering::Relaxed));
        thread::sleep(time.saturating_sub(warm_up));
        // A memory figure counts only after each flow has sent a packet.
        while phases.len() > 1 && received.load(Ordering::Relaxed) - before < u64::from(phase) * 2 {
            if begin.elapsed() > MAX_PHASE {
                return Err(io::Error::other("the path does not forward"));
            }
            thread::sleep(STALL);
        }
        let count = received.load(Ordering::Relaxed) - before;
        packets_per_s = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / begin.elapsed().as_secs_f64();
        rss_kib.push(resident_kib()?);
    }
    stop.store(true, Ordering::Relaxed);

    for generator in generators {
        generator.join().expect("the generator does not panic")?;
    }
    let delays = sink_thread.join().expect("the sink does not panic")?;
    let busy = match worker {
        Some(worker) => worker.join().expect("the worker does not panic")?,
        None => Duration::ZERO,
    };
    Ok(Run {
        packets_per_s,
        busy: busy.as_secs_f64() / start.elapsed().as_secs_f64(),
        delays,
        rss_kib,
    })
}

fn bind() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(ANY)?;
    for result in [
        socket::setsockopt(&socket, sockopt::RcvBuf, &(4 << 20)),
        socket::setsockopt(&socket, sockopt::SndBuf, &(4 << 20)),
    ] {
        result?;
    }
    Ok(socket)
}

fn address(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}

/// Resident memory of this process, generator and sink included.
fn resident_kib() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
    value.ok_or_else(|| io::Error::other("no VmRSS in /proc/self/status"))
}

/// Makes the packets of many flows, each with its own caller address and connection ID.
struct Flow {
    codec: Codec,
    agent: SocketAddrV4,
    with_header: bool,
    flows: Arc<AtomicU32>,
    next: u32,
    /// Number of generators, which take the flows in turn.
    step: u32,
}

impl Flow {
    /// Writes the next packet with its time in nanoseconds at the end. Returns its length.
    fn write(&mut self, buffer: &mut [u8], nanos: u64) -> usize {
        let flow = self.next % self.flows.load(Ordering::Relaxed);
        self.next = flow + self.step;
        let [_, a, b, c] = flow.to_be_bytes();
        let mut at = 0;
        if self.with_header {
            let header = proxy::Header {
                source: SocketAddrV4::new(Ipv4Addr::new(10, a, b, c), 4433),
                destination: service_address(1),
            };
            buffer[..proxy::HEADER_LEN].copy_from_slice(&header.encode());
            at = proxy::HEADER_LEN;
        }
        let target = Target {
            service: Id(1),
            agent: self.agent,
            incarnation: 1,
        };
        let packet = &mut buffer[at..at + PACKET];
        packet[0] = 0x40;
        packet[1..=cid::LEN].copy_from_slice(&self.codec.seal(&target, [a, b, c]));
        packet[PACKET - 8..].copy_from_slice(&nanos.to_be_bytes());
        at + PACKET
    }
}

fn nanos_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

fn generate(
    mut flow: Flow,
    to: SocketAddrV4,
    load: Load,
    start: Instant,
    sent: &AtomicU64,
    received: &AtomicU64,
    stop: &AtomicBool,
) -> io::Result<()> {
    let socket = bind()?;
    if let Load::Paced = load {
        let interval = Duration::from_secs(1) / DELAY_RATE;
        let mut due = Instant::now();
        let mut buffer = [0; MAX_DATAGRAM];
        while !stop.load(Ordering::Relaxed) {
            while Instant::now() < due {
                std::hint::spin_loop();
            }
            due += interval;
            let len = flow.write(&mut buffer, nanos_since(start));
            socket.send_to(&buffer[..len], to)?;
        }
        return Ok(());
    }
    let mut buffer = vec![0; BATCH * MAX_DATAGRAM];
    let mut headers = MultiHeaders::<SockaddrIn>::preallocate(BATCH, None);
    let addresses = [Some(SockaddrIn::from(to)); BATCH];
    let mut progress = (0, Instant::now());
    while !stop.load(Ordering::Relaxed) {
        let arrived = received.load(Ordering::Relaxed);
        if progress.0 != arrived {
            progress = (arrived, Instant::now());
        }
        if sent.load(Ordering::Relaxed).saturating_sub(arrived) + BATCH as u64 > WINDOW {
            if progress.1.elapsed() > STALL {
                sent.store(arrived, Ordering::Relaxed);
            }
            thread::yield_now();
            continue;
        }
        let nanos = nanos_since(start);
        let lens: [usize; BATCH] =
            array::from_fn(|index| flow.write(&mut buffer[index * MAX_DATAGRAM..][..MAX_DATAGRAM], nanos));
        let slices: [_; BATCH] =
            array::from_fn(|index| [io::IoSlice::new(&buffer[index * MAX_DATAGRAM..][..lens[index]])]);
        let results = socket::sendmmsg(
            socket.as_raw_fd(),
            &mut headers,
            &slices,
            addresses,
            [],
            MsgFlags::empty(),
        )?;
        sent.fetch_add(results.count() as u64, Ordering::Relaxed);
    }
    Ok(())
}

/// Counts packets and their delays.
fn drain(sink: &UdpSocket, start: Instant, received: &AtomicU64, stop: &AtomicBool) -> io::Result<Histogram<u64>> {
    let mut delays = Histogram::new_with_max(MAX_DELAY_NS, 3).map_err(io::Error::other)?;
    let mut buffer = vec![0; BATCH * MAX_DATAGRAM];
    let mut headers = MultiHeaders::<SockaddrIn>::preallocate(BATCH, None);
    while !stop.load(Ordering::Relaxed) {
        let mut lens = [0; BATCH];
        let Some(count) = receive(sink, &mut headers, &mut buffer, &mut lens)? else {
            continue;
        };
        let now = nanos_since(start);
        for (chunk, len) in buffer.chunks_exact(MAX_DATAGRAM).zip(&lens[..count]) {
            let mut nanos = [0; 8];
            nanos.copy_from_slice(&chunk[len - 8..*len]);
            delays.saturating_record(now.saturating_sub(u64::from_be_bytes(nanos)));
        }
        received.fetch_add(count as u64, Ordering::Relaxed);
    }
    Ok(delays)
}

/// Receives one batch; `None` after a time-out.
fn receive(
    socket: &UdpSocket,
    headers: &mut MultiHeaders<SockaddrIn>,
    buffer: &mut [u8],
    lens: &mut [usize; BATCH],
) -> io::Result<Option<usize>> {
    let mut chunks = buffer.chunks_exact_mut(MAX_DATAGRAM);
    let mut slices: [_; BATCH] =
        array::from_fn(|_| [io::IoSliceMut::new(chunks.next().expect("the buffer has BATCH chunks"))]);
    let results = socket::recvmmsg(
        socket.as_raw_fd(),
        headers,
        slices.iter_mut(),
        MsgFlags::MSG_WAITFORONE,
        None,
    );
    match results {
        Ok(results) => {
            let mut count = 0;
            for (len, message) in lens.iter_mut().zip(results) {
                *len = message.bytes;
                count += 1;
            }
            Ok(Some(count))
        }
        Err(nix::errno::Errno::EAGAIN | nix::errno::Errno::EINTR) => Ok(None),
        Err(errno) => Err(errno.into()),
    }
}

/// The bare loop: blocking receive of a batch, and send of the same bytes, without runtime and copies.
fn bare(sink: SocketAddrV4, ready: &mpsc::Sender<SocketAddrV4>, stop: &AtomicBool) -> io::Result<()> {
    let socket = bind()?;
    socket.set_read_timeout(Some(STALL))?;
    let out = bind()?;
    let _ = ready.send(address(&socket)?);
    let mut buffer = vec![0; BATCH * MAX_DATAGRAM];
    let mut receive_headers = MultiHeaders::<SockaddrIn>::preallocate(BATCH, None);
    let mut send_headers = MultiHeaders::<SockaddrIn>::preallocate(BATCH, None);
    let addresses = [Some(SockaddrIn::from(sink)); BATCH];
    while !stop.load(Ordering::Relaxed) {
        let mut lens = [0; BATCH];
        let Some(count) = receive(&socket, &mut receive_headers, &mut buffer, &mut lens)? else {
            continue;
        };
        let slices: [_; BATCH] =
            array::from_fn(|index| [io::IoSlice::new(&buffer[index * MAX_DATAGRAM..][..lens[index]])]);
        socket::sendmmsg(
            out.as_raw_fd(),
            &mut send_headers,
            &slices[..count],
            addresses,
            [],
            MsgFlags::empty(),
        )?;
    }
    Ok(())
}

/// The forwarding code of the balancer on its runtime, with a configuration of the two-year size.
fn balancer(sink: SocketAddrV4, ready: &mpsc::Sender<SocketAddrV4>, stop: &AtomicBool) -> io::Result<()> {
    let mut runtime = runtime::open()?;
    runtime.block_on(async {
        let ingress = Socket::bind(ANY)?;
        let port = Channel::bind(ANY, FRAME_KEY)?;
        let _ = ready.send(ingress.local());
        let forwarder = Rc::new(Forwarder::new(ingress, port, Codec::new(&[CID_KEY])));
        let snapshot = configuration(sink);
        forwarder.set_table(Table::new(&snapshot, "egaleo", 0), [(sink, 1)].into_iter());
        let (incoming, frames) = (Rc::clone(&forwarder), Rc::clone(&forwarder));
        monoio::spawn(async move { while incoming.forward_ingress().await.is_ok() {} });
        monoio::spawn(async move { while frames.forward_frames(|_, _| ()).await.is_ok() {} });
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(STALL).await;
            forwarder.check_agents(Instant::now());
        }
        Ok(())
    })
}

fn service_address(id: u16) -> SocketAddrV4 {
    let [high, low] = id.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 200, high, low), 443)
}

fn configuration(agent: SocketAddrV4) -> Snapshot {
    let mut snapshot = Snapshot {
        revision: 1,
        ..Snapshot::default()
    };
    for id in 1..=SERVICES {
        let name = format!("service-{id}");
        let service = Service {
            id: Id(id),
            name: name.clone(),
            address: service_address(id),
        };
        let item = Item {
            revision: 1,
            value: Some(service),
        };
        snapshot.services.insert(name, item);
    }
    snapshot.roster.insert(Node {
        name: "agent".to_owned(),
        role: Role::Agent,
        data_centre: "egaleo".to_owned(),
        datagram: agent,
        peer: agent.into(),
        http: agent.into(),
        incarnation: 1,
    });
    snapshot
}
