//! Free ports of the loopback address for processes that have to know theirs beforehand.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU16, Ordering};

use tokio::net::TcpSocket;

/// Below the range from which the system takes ports by itself, so that none is taken meanwhile.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 19_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// UDP sockets that mark the TCP ports given out, for as long as this process lives.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns a port that nobody listens on and no other process was given.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(97) as u16 % PORTS;
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let port = FIRST_PORT + (first + offset) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if let Ok(mark) = UdpSocket::bind(address)
            && probe(address).is_ok()
        {
            RESERVED.lock().unwrap_or_else(PoisonError::into_inner).push(mark);
            return address;
        }
    }
}

/// Fails where somebody listens on the address. It does not listen itself: a process that another
/// thread starts in this moment inherits the socket for a while, and a listening one would keep the
/// port taken.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}
