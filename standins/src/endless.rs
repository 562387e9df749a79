//! Server that answers each request with bytes that do not end.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BUFFER_BYTES: usize = 16 << 10;

/// Serves on a free loopback port: `head`, then `repeated` until the client closes the connection.
///
/// # Errors
///
/// Returns an error if no address can be bound.
pub async fn serve(head: &'static [u8], repeated: &'static [u8]) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let many = repeated.repeat(BUFFER_BYTES / repeated.len());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let many = many.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; BUFFER_BYTES]).await;
                let _ = stream.write_all(head).await;
                while stream.write_all(&many).await.is_ok() {}
            });
        }
    });
    Ok(address)
}
