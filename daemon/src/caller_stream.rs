//! Connection of a caller whose close can be awaited while the HTTP server uses the connection.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use currantlink_core::memory_budget::Phase;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_limits::CallerConnection;

/// A caller's connection. Clones share the socket.
#[derive(Clone)]
pub struct CallerStream(Rc<Shared>);

struct Shared {
    stream: TcpStream,
    connection: CallerConnection,
    /// Phase of the connection while the caller takes what it is sent.
    phase: Cell<Phase>,
    /// Whether the caller has not taken all that it was sent.
    is_blocked: Cell<bool>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, connection: CallerConnection) -> Self {
        let (phase, is_blocked) = (Cell::new(Phase::Idle), Cell::new(false));
        Self(Rc::new(Shared { stream, connection, phase, is_blocked }))
    }

    /// Records what the connection waits for, apart from a caller that does not take a response.
    pub fn set_phase(&self, phase: Phase) {
        self.0.phase.set(phase);
        if !self.0.is_blocked.get() {
            self.0.connection.set_phase(phase);
        }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending if !self.0.is_blocked.replace(true) => {
                self.0.connection.set_phase(Phase::Sending);
            }
            Poll::Ready(Ok(bytes)) if self.0.is_blocked.get() => {
                self.0.connection.record_bytes(*bytes);
            }
            _ => {}
        }
    }

    /// Sets whether the connection is reset if it is closed, also by the end of the process.
    pub fn set_reset_on_close(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.0.stream).set_linger(linger) {
            log::debug!(error:% = error; "failed to set how a connection is closed");
        }
    }

    /// Waits until the caller closes the connection, although bytes may be unread.
    pub async fn closed_by_caller(&self) {
        // Of the events that a socket is registered for, this interest covers only the end of the
        // peer's data. The wait fails only when the runtime shuts down.
        if let Err(error) = self.0.stream.ready(Interest::PRIORITY).await {
            log::debug!(error:% = error; "failed to wait for the end of a connection");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            match self.0.stream.try_read(buffer.initialize_unfilled()) {
                Ok(len) => {
                    buffer.advance(len);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl CallerStream {
    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = loop {
            match self.0.stream.poll_write_ready(context) {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(Err(error)) => break Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) => {}
            }
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => break Poll::Ready(written),
            }
        };
        self.record_written(&written);
        written
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The server flushes once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.is_blocked.replace(false) {
            self.0.connection.set_phase(self.0.phase.get());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
