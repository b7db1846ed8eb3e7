//! TCP proxy whose open connections can go silent for good, without a reset, while new ones work.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    /// Silence of each connection that is open.
    open: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    pub fn spawn(ip: Ipv4Addr, upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            open: Arc::default(),
        };
        let open = Arc::clone(&proxy.open);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(upstream) else {
                    continue;
                };
                let silent = Arc::new(AtomicBool::new(false));
                let mut open = open.lock().unwrap();
                open.retain(|silent| Arc::strong_count(silent) > 1);
                open.push(Arc::clone(&silent));
                drop(open);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let silent = Arc::clone(&silent);
                    thread::spawn(move || forward(from, to, &silent));
                }
            }
        });
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All connections that are open go silent. Returns their number.
    pub fn silence(&self) -> usize {
        let open = self.open.lock().unwrap();
        let living: Vec<_> = open.iter().filter(|silent| Arc::strong_count(silent) > 1).collect();
        living.iter().for_each(|silent| silent.store(true, Ordering::SeqCst));
        living.len()
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16_384];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if silent.load(Ordering::SeqCst) {
            if count == 0 {
                // Neither end hears of the other's end; the sockets stay open until the case ends.
                loop {
                    thread::park();
                }
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
