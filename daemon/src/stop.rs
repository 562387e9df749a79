//! Signals that stop the process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listener for SIGTERM and SIGINT.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next stop signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
