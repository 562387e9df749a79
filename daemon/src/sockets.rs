//! Socket options that show a peer that has gone silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Idle time before the first probe; the least that sockets allow.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive; the least that sockets allow.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may stay without acknowledgement.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Listens on an address, also right after a predecessor's connections.
///
/// # Errors
///
/// Fails where the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects within a time.
///
/// # Errors
///
/// Fails where the address refuses or does not answer in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Makes a connection fail within seconds once its peer is silent.
///
/// # Errors
///
/// Fails where the system refuses an option.
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
