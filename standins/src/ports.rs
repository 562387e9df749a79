//! Free loopback ports for processes whose port must be known before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU16, Ordering};

use tokio::net::TcpSocket;

/// The range lies below the ephemeral ports of the system, so that the system does not assign a
/// returned port to another socket.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 19_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// UDP sockets that reserve the returned TCP ports for the lifetime of this process.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns a loopback address whose port has no listener and is not reserved by another process.
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

/// Returns an error if the address has a listener.
///
/// The socket is bound but does not listen: a process that another thread starts at this moment
/// inherits the socket for a short time, and a listening socket would keep the port in use.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}
