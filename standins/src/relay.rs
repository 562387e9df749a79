//! TCP relay that can close connections or stop forwarding on them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// How the open connections are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Forward,
    Silent,
    Cut,
}

/// TCP relay. Faults apply to the connections that are open; new connections are forwarded, unless the
/// relay is closed.
#[derive(Clone)]
pub struct Relay {
    target: SocketAddr,
    is_closed: Arc<AtomicBool>,
    mode: Arc<Mutex<watch::Sender<Mode>>>,
}

impl Relay {
    /// Creates a relay to `target`.
    pub fn new(target: SocketAddr) -> Self {
        let mode = Arc::new(Mutex::new(watch::Sender::new(Mode::Forward)));
        Self { target, is_closed: Arc::default(), mode }
    }

    /// Listens on `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let relay = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if relay.is_closed.load(Ordering::Relaxed) {
                    continue;
                }
                let mode = relay.subscribe();
                tokio::spawn(forward(stream, relay.target, mode));
            }
        });
        Ok(bound)
    }

    /// Permanently stops forwarding on the open connections without closing them.
    pub fn silence(&self) {
        self.replace(Mode::Silent);
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        self.replace(Mode::Cut);
    }

    /// Closes the open connections, and all new ones at once.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.cut();
    }

    /// Forwards new connections again.
    pub fn reopen(&self) {
        self.is_closed.store(false, Ordering::Relaxed);
    }

    fn subscribe(&self) -> watch::Receiver<Mode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner).subscribe()
    }

    fn replace(&self, mode: Mode) {
        let mut current = self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        current.send_replace(mode);
        *current = watch::Sender::new(Mode::Forward);
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would delay small packets and distort the timing of tests.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::spawn(copy(client_read, server_write, mode.clone()));
    copy(server_read, client_write, mode).await;
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let current = *mode.borrow();
        match current {
            Mode::Cut => return,
            Mode::Silent => {
                std::future::pending::<()>().await;
            }
            Mode::Forward => {}
        }
        tokio::select! {
            changed = mode.changed() => {
                if changed.is_err() && *mode.borrow() == Mode::Forward {
                    return;
                }
            }
            read = from.read(&mut buffer) => match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}
