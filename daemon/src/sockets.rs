//! TCP sockets that detect unresponsive peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Idle time before the first keepalive probe; the minimum that sockets allow.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes; the minimum that sockets allow.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection with unacknowledged bytes fails.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Listens on an address, even if connections of a previous process are in the TIME_WAIT state.
///
/// # Errors
///
/// Fails if the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects to an address within a timeout.
///
/// # Errors
///
/// Fails if the connection is refused or the address does not respond in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and makes the connection fail within seconds if the peer does not
/// respond.
///
/// # Errors
///
/// Fails if an option cannot be set.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
