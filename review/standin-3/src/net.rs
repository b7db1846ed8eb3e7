//! Addresses of a run. Each run has a network and ports of its own.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// Service of all backend servers.
pub const SERVICE: &str = "counter";
/// Data centre of all VMs.
pub const ZONE: &str = "east";

/// Address of the route.
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 198, 0, 1), 8_443);

#[derive(Debug, Clone, Copy)]
pub struct Net {
    second: u8,
    third: u8,
    base: u16,
}

impl Net {
    /// Chooses a network and ports that are free.
    pub fn open() -> Result<Self, String> {
        let id = std::process::id();
        for attempt in 0..20_u32 {
            let net = Self {
                second: 20 + (id % 170) as u8,
                third: ((id / 170 + attempt) % 250) as u8,
                base: 12_000 + ((id * 31 + attempt * 97) % 8_000) as u16,
            };
            let is_free = |port| TcpListener::bind((net.ip(1), port)).is_ok();
            if [net.frames(), net.packets(), net.ready(), net.control()]
                .into_iter()
                .all(is_free)
            {
                return Ok(net);
            }
        }
        Err("no free ports".to_owned())
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, number)
    }

    pub fn frames(&self) -> u16 {
        self.base
    }

    pub fn packets(&self) -> u16 {
        self.base + 1
    }

    pub fn ready(&self) -> u16 {
        self.base + 2
    }

    pub fn control(&self) -> u16 {
        self.base + 3
    }

    pub fn outbound(&self) -> u16 {
        self.base + 4
    }

    pub fn app(&self) -> u16 {
        self.base + 5
    }
}
