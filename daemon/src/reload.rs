//! Detection of changed settings: on SIGHUP, and by polling the file.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Interval;

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches a settings file.
pub struct Reload {
    path: PathBuf,
    content: Vec<u8>,
    hangup: Signal,
    poll: Interval,
}

impl Reload {
    /// Starts watching a file; its current content counts as unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or the signal handler cannot be installed.
    pub fn watch(path: PathBuf) -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let content = std::fs::read(&path)?;
        Ok(Self { path, content, hangup, poll: tokio::time::interval(POLL_INTERVAL) })
    }

    /// Waits until the content of the file changes; returns the path of the file.
    pub async fn changed(&mut self) -> PathBuf {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => {}
                _ = self.poll.tick() => {}
            }
            match std::fs::read(&self.path) {
                Ok(content) if content != self.content => {
                    self.content = content;
                    return self.path.clone();
                }
                Ok(_) => {}
                Err(error) => log::warn!(error:% = error; "failed to read the settings file"),
            }
        }
    }
}
