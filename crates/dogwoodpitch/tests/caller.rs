//! Caller sessions against minimal agents that consist of the QUIC transport only.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::Future,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use dogwoodpitch::{
    caller::{Request, Session, Settings},
    protocol::{
        code::Code,
        request::{Event, Head, Id, Kind, Notice, Reply, decode, encode},
    },
    transport::{
        quic::{Connection, Endpoint, Receiver, Sender, Verdict},
        runtime, time,
    },
};
use quinn_proto::{EndpointConfig, ServerConfig, crypto::rustls::QuicServerConfig};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

const SERVICE: &str = "order-board";

fn run<F: Future<Output = ()> + 'static>(test: F) {
    let mut runtime = runtime::open().expect("a runtime starts");
    runtime.block_on(async {
        time::timeout_at(Instant::now() + Duration::from_mins(1), test)
            .await
            .expect("the test ends in time");
    });
}

/// A minimal agent that listens on the address of its service.
struct Agent {
    address: SocketAddrV4,
    socket: Rc<UdpSocket>,
    roots: String,
    /// Addresses of callers whose packets are dropped.
    blocked: Rc<RefCell<Vec<SocketAddr>>>,
    /// Addresses of callers that have sent a packet.
    callers: Rc<RefCell<Vec<SocketAddr>>>,
    endpoint: Endpoint,
}

impl Agent {
    fn bind() -> Rc<Self> {
        let certificate = rcgen::generate_simple_self_signed(vec![SERVICE.to_owned()]).expect("a certificate");
        let chain = vec![CertificateDer::from_pem_slice(certificate.cert.pem().as_bytes()).expect("PEM")];
        let key = PrivateKeyDer::from_pem_slice(certificate.signing_key.serialize_pem().as_bytes()).expect("PEM");
        let tls = rustls::ServerConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("TLS 1.3")
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .expect("a usable certificate");
        let server = Arc::new(ServerConfig::with_crypto(Arc::new(
            QuicServerConfig::try_from(tls).expect("a QUIC configuration"),
        )));
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
        socket.set_nonblocking(true).expect("a nonblocking socket");
        let SocketAddr::V4(address) = socket.local_addr().expect("an address") else {
            panic!("the socket is IPv4");
        };
        let socket = Rc::new(socket);
        let output = Rc::clone(&socket);
        let endpoint = Endpoint::open(
            EndpointConfig::default(),
            Some(server),
            move |remote, datagram| {
                let _ = output.send_to(datagram, remote);
            },
            |_| Verdict::Accept,
        );
        let agent = Rc::new(Self {
            address,
            socket,
            roots: certificate.cert.pem(),
            blocked: Rc::default(),
            callers: Rc::default(),
            endpoint,
        });
        monoio::spawn(Rc::clone(&agent).receive());
        agent
    }

    async fn receive(self: Rc<Self>) {
        let socket = self.socket.try_clone().expect("a second handle");
        let socket = monoio::net::udp::UdpSocket::from_std(socket).expect("a socket of the runtime");
        let mut buffer = vec![0; 2048];
        loop {
            let (result, returned) = socket.recv_from(buffer).await;
            buffer = returned;
            let Ok((len, remote)) = result else { continue };
            if !self.callers.borrow().contains(&remote) {
                self.callers.borrow_mut().push(remote);
            }
            if !self.blocked.borrow().contains(&remote) {
                self.endpoint.handle_datagram(remote, BytesMut::from(&buffer[..len]));
            }
        }
    }

    fn session(&self) -> Session {
        Session::open(Settings {
            service: SERVICE.to_owned(),
            address: self.address,
            local: Ipv4Addr::LOCALHOST,
            roots: self.roots.clone(),
            keepalive_ms: 100,
            silence_ms: 400,
        })
    }

    /// Runs `handle` for each request of each connection, each in its own task.
    fn serve<H, F>(self: &Rc<Self>, handle: H)
    where
        H: Fn(Stream) -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        let agent = Rc::clone(self);
        let handle = Rc::new(handle);
        monoio::spawn(async move {
            let mut number = 0;
            loop {
                let connection = agent.endpoint.accept().await;
                number += 1;
                let handle = Rc::clone(&handle);
                monoio::spawn(async move {
                    while let Ok((sender, receiver)) = connection.accept_bi().await {
                        let handle = Rc::clone(&handle);
                        let connection = connection.clone();
                        monoio::spawn(async move {
                            if let Some(stream) = Stream::open(number, connection, sender, receiver).await {
                                handle(stream).await;
                            }
                        });
                    }
                });
            }
        });
    }
}

/// A request as the agent sees it.
struct Stream {
    /// Number of the connection at the agent.
    number: u32,
    connection: Connection,
    sender: Sender,
    receiver: Receiver,
    head: Head,
    buffer: BytesMut,
}

impl Stream {
    async fn open(number: u32, connection: Connection, sender: Sender, mut receiver: Receiver) -> Option<Self> {
        let mut buffer = BytesMut::new();
        loop {
            if let Some(head) = decode(&mut buffer).expect("a well-formed head") {
                return Some(Self {
                    number,
                    connection,
                    sender,
                    receiver,
                    head,
                    buffer,
                });
            }
            buffer.extend_from_slice(&receiver.read(65_536).await.ok()??);
        }
    }

    async fn body(&mut self) -> Option<Bytes> {
        while let Some(bytes) = self.receiver.read(65_536).await.ok()? {
            self.buffer.extend_from_slice(&bytes);
        }
        Some(self.buffer.split().freeze())
    }

    async fn reply(&mut self, code: Code, retry_after_ms: u32, body: &[u8]) {
        let reply = Reply {
            code,
            retry_after_ms,
            detail: String::new(),
        };
        let _ = self.sender.write(&encode(&reply)).await;
        let _ = self.sender.write(body).await;
        let _ = self.sender.finish();
    }

    async fn reply_open(&mut self) {
        let reply = Reply {
            code: Code::OK,
            retry_after_ms: 0,
            detail: String::new(),
        };
        let _ = self.sender.write(&encode(&reply)).await;
    }

    async fn events(&mut self, count: u64) {
        for position in self.head.position + 1..=self.head.position + count {
            let payload = Bytes::from(position.to_string());
            let _ = self.sender.write(&encode(&Event { position, payload })).await;
        }
    }
}

fn request(number: u8, idempotent: bool, body: impl Into<Bytes>) -> Request {
    Request {
        id: Id([number; 16]),
        class: "test".to_owned(),
        idempotent,
        deadline: Instant::now() + Duration::from_secs(20),
        body: body.into(),
    }
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        time::sleep_until(Instant::now() + Duration::from_millis(5)).await;
    }
}

/// Guards against late, out-of-order responses that are truncated or assigned to another request.
#[test]
fn crossed_answers_reach_their_requests() {
    run(async {
        let agent = Agent::bind();
        let waiting = Rc::new(RefCell::new(Vec::new()));
        let held = Rc::clone(&waiting);
        agent.serve(move |stream| {
            held.borrow_mut().push(stream);
            std::future::ready(())
        });
        let session = agent.session();
        let bodies: Vec<Bytes> = (0..8_u8)
            .map(|n| vec![n; 1000 + usize::from(n) * 40_000].into())
            .collect();
        let tasks: Vec<_> = (0..)
            .zip(&bodies)
            .map(|(n, body)| {
                let session = session.clone();
                let request = request(n, false, body.clone());
                monoio::spawn(async move { session.request(request).await })
            })
            .collect();
        wait_until("all requests arrive", || waiting.borrow().len() == bodies.len()).await;
        let mut streams = waiting.take();
        streams.sort_by_key(|stream| std::cmp::Reverse(stream.head.id.0));
        for mut stream in streams {
            let body = stream.body().await.expect("a whole body");
            stream.reply(Code::OK, 0, &body).await;
        }
        for (task, body) in tasks.into_iter().zip(&bodies) {
            let answer = task.await;
            assert_eq!((answer.code, answer.attempts), (Code::OK, 1));
            assert_eq!(&answer.body, body);
        }
    });
}

/// Guards against giving up on a request that was refused without being run.
#[test]
fn not_run_is_retried_until_it_runs() {
    run(async {
        let agent = Agent::bind();
        let replies = Rc::new(RefCell::new(VecDeque::from([
            (Code::OVERLOADED, 20),
            (Code::DRAINING, 0),
            (Code::OK, 0),
        ])));
        agent.serve(move |mut stream| {
            let reply = replies.borrow_mut().pop_front();
            async move {
                let (code, retry_after_ms) = reply.expect("no attempt after the answer");
                stream.reply(code, retry_after_ms, b"").await;
            }
        });
        let answer = agent.session().request(request(1, false, "reserve")).await;
        assert_eq!((answer.code, answer.attempts), (Code::OK, 3));
    });
}

/// Guards against retries at a draining agent whose notice to move has not arrived yet.
#[test]
fn refusal_of_a_draining_agent_moves_the_session() {
    run(async {
        let agent = Agent::bind();
        agent.serve(|mut stream| async move {
            let code = if stream.number == 1 { Code::DRAINING } else { Code::OK };
            stream.reply(code, 0, b"").await;
        });
        let session = agent.session();
        assert_eq!(session.request(request(1, false, "reserve")).await.code, Code::OK);
        assert_eq!((session.counters().moves, session.counters().reconnects), (1, 0));
    });
}

/// Guards against a second execution of a request that is not idempotent, and against an unnecessary `unknown` result for
/// one that is.
#[test]
fn lost_connection_repeats_only_idempotent_work() {
    run(async {
        let agent = Agent::bind();
        let seen = Rc::new(RefCell::new(Vec::new()));
        let attempts = Rc::clone(&seen);
        agent.serve(move |mut stream| {
            let attempts = Rc::clone(&attempts);
            async move {
                let id = stream.head.id;
                let first = !attempts.borrow().contains(&id);
                attempts.borrow_mut().push(id);
                if first {
                    stream.connection.close(1, "lost for the test");
                } else {
                    stream.reply(Code::OK, 0, b"").await;
                }
            }
        });
        let session = agent.session();
        let answer = session.request(request(1, false, "reserve")).await;
        assert_eq!((answer.code, answer.attempts), (Code::LINK_LOST, 1));
        let answer = session.request(request(2, true, "look up")).await;
        assert_eq!((answer.code, answer.attempts), (Code::OK, 2));
        assert_eq!(*seen.borrow(), [Id([1; 16]), Id([2; 16]), Id([2; 16])]);
        assert_eq!(session.counters().reconnects, 2);
    });
}

/// Guards against missed or repeated events when the connection is lost in the middle of a feed, and when the next agent
/// starts before the requested position.
#[test]
fn feed_resumes_without_loss_or_repeat() {
    run(async {
        let agent = Agent::bind();
        agent.serve(move |mut stream| async move {
            stream.head.position = stream.head.position.saturating_sub(3);
            stream.reply_open().await;
            stream.events(10).await;
            time::sleep_until(Instant::now() + Duration::from_millis(30)).await;
            stream.connection.close(1, "lost for the test");
        });
        let session = agent.session();
        let mut feed = session.feed(0);
        for position in 1..=40 {
            let event = feed.next().await;
            assert_eq!(event.position, position);
            assert_eq!(event.payload, position.to_string());
        }
        assert!(session.counters().reconnects >= 3);
    });
}

/// Guards against a move that interrupts a running request, sends new requests to the draining agent, or loses feed events.
#[test]
fn move_keeps_requests_and_feeds() {
    run(async {
        let agent = Agent::bind();
        let slow = Rc::new(RefCell::new(None));
        let feeds = Rc::new(RefCell::new(Vec::new()));
        let (held, opened) = (Rc::clone(&slow), Rc::clone(&feeds));
        agent.serve(move |mut stream| {
            let (held, opened) = (Rc::clone(&held), Rc::clone(&opened));
            async move {
                match stream.head.kind {
                    Kind::Upload => *held.borrow_mut() = Some(stream),
                    Kind::Request => {
                        let number = stream.number.to_string();
                        stream.reply(Code::OK, 0, number.as_bytes()).await;
                    }
                    Kind::Feed => {
                        opened.borrow_mut().push((stream.number, stream.head.position));
                        stream.reply_open().await;
                        stream.events(5).await;
                        let _ = stream.receiver.read(1).await;
                        stream.sender.stopped().await;
                    }
                }
            }
        });
        let session = agent.session();
        let mut feed = session.feed(0);
        for position in 1..=5 {
            assert_eq!(feed.next().await.position, position);
        }
        let upload = {
            let session = session.clone();
            monoio::spawn(async move { session.upload(request(1, false, vec![7; 100_000])).await })
        };
        wait_until("the upload arrives", || slow.borrow().is_some()).await;
        let mut stream: Stream = slow.take().expect("an upload");
        let mut notices = stream.connection.open_uni().await.expect("a stream");
        let notice = Notice::Move {
            reason: "draining".to_owned(),
        };
        notices.write(&encode(&notice)).await.expect("a notice");
        for position in 6..=10 {
            assert_eq!(feed.next().await.position, position);
        }
        assert_eq!(*feeds.borrow(), [(1, 0), (2, 5)]);
        let answer = session.request(request(2, false, "reserve")).await;
        assert_eq!(&answer.body[..], b"2", "new work goes to the second connection");
        let body = stream.body().await.expect("the upload goes on");
        stream.reply(Code::OK, 0, &body).await;
        let old = stream.connection.clone();
        let answer = upload.await;
        assert_eq!(
            (answer.code, answer.body.len(), answer.attempts),
            (Code::OK, 100_000, 1)
        );
        drop((stream, notices));
        old.closed().await;
        assert_eq!((session.counters().moves, session.counters().reconnects), (1, 0));
    });
}

/// Guards against a reconnect or an interrupted request when only the path of the current local port is dead.
#[test]
fn silent_path_changes_the_port_only() {
    run(async {
        let agent = Agent::bind();
        let slow = Rc::new(RefCell::new(None));
        let held = Rc::clone(&slow);
        agent.serve(move |stream| {
            *held.borrow_mut() = Some(stream);
            std::future::ready(())
        });
        let session = agent.session();
        let request = {
            let session = session.clone();
            monoio::spawn(async move { session.request(request(1, false, "reserve")).await })
        };
        wait_until("the request arrives", || slow.borrow().is_some()).await;
        let seen = agent.callers.borrow().clone();
        *agent.blocked.borrow_mut() = seen;
        wait_until("the port changes", || session.counters().rebinds > 0).await;
        wait_until("the new port arrives", || agent.callers.borrow().len() > 1).await;
        let mut stream: Stream = slow.take().expect("a request");
        stream.reply(Code::OK, 0, b"reserved").await;
        let answer = request.await;
        assert_eq!((answer.code, answer.attempts), (Code::OK, 1));
        assert_eq!(session.counters().reconnects, 0);
    });
}

/// Guards against a request that keeps running at the agent after the caller has dropped it.
#[test]
fn dropped_request_is_cancelled() {
    run(async {
        let agent = Agent::bind();
        let cancelled = Rc::new(Cell::new(false));
        let arrived = Rc::new(Cell::new(false));
        let (noted, started) = (Rc::clone(&cancelled), Rc::clone(&arrived));
        agent.serve(move |mut stream| {
            let (noted, started) = (Rc::clone(&noted), Rc::clone(&started));
            async move {
                started.set(true);
                stream.sender.stopped().await;
                noted.set(true);
            }
        });
        let session = agent.session();
        let mut request = Box::pin(session.request(request(1, false, "reserve")));
        monoio::select! {
            _ = &mut request => panic!("there is no answer"),
            () = wait_until("the request arrives", || arrived.get()) => {}
        }
        drop(request);
        wait_until("the agent sees the cancellation", || cancelled.get()).await;
    });
}

/// Guards against the result `not run` for a request that was sent and may have run, and against `unknown` for one that
/// was never sent.
#[test]
fn deadline_tells_whether_work_was_sent() {
    run(async {
        let agent = Agent::bind();
        agent.serve(|mut stream| async move {
            stream.sender.stopped().await;
        });
        let session = agent.session();
        let soon = |number| Request {
            deadline: Instant::now() + Duration::from_millis(300),
            ..request(number, false, "reserve")
        };
        assert_eq!(session.request(soon(1)).await.code, Code::DEADLINE_RUNNING);
        let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
        let SocketAddr::V4(address) = silent.local_addr().expect("an address") else {
            panic!("the socket is IPv4");
        };
        let session = Session::open(Settings {
            service: SERVICE.to_owned(),
            address,
            local: Ipv4Addr::LOCALHOST,
            roots: agent.roots.clone(),
            keepalive_ms: 100,
            silence_ms: 400,
        });
        let answer = session.request(soon(2)).await;
        assert_eq!((answer.code, answer.attempts), (Code::DEADLINE, 0));
    });
}

type Change = fn(&mut Settings);

/// Guards against settings errors that do not name the invalid field.
#[test]
fn settings_name_the_wrong_field() {
    let valid = Settings {
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        local: Ipv4Addr::LOCALHOST,
        roots: rcgen::generate_simple_self_signed(vec![SERVICE.to_owned()])
            .expect("a certificate")
            .cert
            .pem(),
        keepalive_ms: 500,
        silence_ms: 1200,
    };
    valid.check().expect("valid settings");
    let cases: [(&str, Change); 4] = [
        ("service", |settings| settings.service = "not a name".to_owned()),
        ("address", |settings| settings.address.set_port(0)),
        ("silence_ms", |settings| settings.silence_ms = 500),
        ("roots", |settings| settings.roots = "no certificate".to_owned()),
    ];
    for (field, change) in cases {
        let mut settings = valid.clone();
        change(&mut settings);
        let text = settings.check().expect_err(field).to_string();
        assert!(text.contains(&format!("`{field}`")), "{text}");
    }
}
