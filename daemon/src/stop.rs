//! Signals that stop the process, and SIGHUP, which must not.

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

/// Installs a handler for SIGHUP, which would end the process otherwise, and logs each signal.
///
/// # Errors
///
/// Fails if the handler cannot be installed.
pub fn ignore_hangups() -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            log::info!("SIGHUP ignored; changed settings take effect after a restart");
        }
    });
    Ok(())
}
