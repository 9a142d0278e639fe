//! Addresses on which only one test process listens.
//!
//! An address that a test takes from the system, by binding port zero and
//! closing the listener, can be in use when the test needs it: another process
//! gets the port, an outgoing connection does, or a child process that is
//! being started still holds a copy of the listener. Addresses of a
//! [`LoopbackHost`] are not bound before their user binds them, and are never
//! given out twice.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        LazyLock,
        atomic::{AtomicU16, AtomicU32, Ordering},
    },
};

/// First IP address that a host can get: 127.64.0.0.
const FIRST_IP: u32 = 0x7f40_0000;
/// Bits of an IP address that differ between hosts: up to 127.127.255.255.
const HOST_BITS: u32 = 22;
/// Bits by which hosts of one process differ, while they are few.
const PROCESS_HOST_BITS: u32 = 7;
/// Port that shows other processes that the IP address is in use.
///
/// This port and those after it are below the ones that the system gives to
/// outgoing connections.
const CLAIM_PORT: u16 = 10_000;

/// A loopback IP address that is not used elsewhere until it is dropped.
#[derive(Debug)]
pub struct LoopbackHost {
    ip: Ipv4Addr,
    next_port: AtomicU16,
    _claim: TcpListener,
}

impl LoopbackHost {
    /// Claims an IP address. Within this process, none is claimed twice.
    pub fn claim() -> io::Result<Self> {
        static NEXT_HOST: AtomicU32 = AtomicU32::new(0);
        let first = std::process::id() << PROCESS_HOST_BITS;
        loop {
            let index = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
            let host = first.wrapping_add(index) % (1 << HOST_BITS);
            let ip = Ipv4Addr::from(FIRST_IP + host);
            match TcpListener::bind((ip, CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        ip,
                        next_port: AtomicU16::new(CLAIM_PORT + 1),
                        _claim: claim,
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// The IP address.
    pub const fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// An address with a port of this host that was not given out before.
    pub fn new_address(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

/// An address at which nothing listens until the caller does.
///
/// # Panics
///
/// Panics if loopback addresses cannot be bound.
pub fn new_address() -> SocketAddr {
    static PROCESS_HOST: LazyLock<LoopbackHost> = LazyLock::new(|| {
        LoopbackHost::claim().expect("loopback addresses can be bound")
    });
    PROCESS_HOST.new_address()
}
