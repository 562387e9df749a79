//! Socket options that show a peer that has gone silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Idle time before the first probe; the least that sockets allow.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between probes; the least that sockets allow.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBES: u32 = 2;
/// Time that sent bytes may stay without acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

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
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch(&stream)?;
    Ok(stream)
}

/// Makes a connection fail within seconds once its peer is silent.
///
/// # Errors
///
/// Fails where the system refuses an option.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY).with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
