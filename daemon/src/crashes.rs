//! Tells crashes of backends from other ends of a connection.

use std::io;
use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use currantlink_platform::response::KeepAlive;

use crate::request_handler::{Call, Gateway};
use crate::upstream::{Upstream, UpstreamError};

/// Timeout of the connection that shows whether a backend's process still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// State of a backend that ended a connection with a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Nothing listens at its address any more: its process has ended.
    Crashed,
    /// It accepts connections.
    Alive,
    /// It does not respond.
    Unknown,
}

impl Gateway {
    /// Finds out whether a backend crashed when the connection of a request failed with `error`.
    pub(crate) async fn check_lost(
        &self,
        call: &Call,
        key: FleetKey,
        error: &UpstreamError,
    ) -> BackendState {
        let state = match error {
            UpstreamError::Io(error) if error.kind() == io::ErrorKind::TimedOut => {
                BackendState::Unknown
            }
            _ => self.check_backend(key).await,
        };
        if state == BackendState::Crashed {
            self.log_crash(call, key);
        }
        state
    }

    /// Connects to a backend to find out whether its process still listens.
    async fn check_backend(&self, key: FleetKey) -> BackendState {
        let snapshot = self.snapshot.load();
        let Some(member) = snapshot.fleet.get(key) else {
            return BackendState::Unknown;
        };
        match Upstream::connect(member.announcement.address, CHECK_TIMEOUT).await {
            Ok(upstream) => {
                self.pool.put_idle(key, upstream, KeepAlive::Unspecified);
                BackendState::Alive
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => BackendState::Crashed,
            Err(_) => BackendState::Unknown,
        }
    }

    fn log_crash(&self, call: &Call, key: FleetKey) {
        let snapshot = self.snapshot.load();
        let backend = snapshot.fleet.get(key).map(|member| member.id.as_str());
        let prompt_parts = call.prompt_parts_text();
        log::warn!(backend, request = call.attempt_id.as_str(), fingerprint:% = call.fingerprint,
            prompt_parts; "backend crashed with a request in flight");
        metrics::counter!("currantlink_requests_crashed_total").increment(1);
    }
}
