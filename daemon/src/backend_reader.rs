//! Periodic reads of an agent's backend: state, expert counts and experts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use currantlink_core::demand::CounterDeltas;
use currantlink_core::switch::RankState;
use currantlink_platform::engine::{EngineState, RankExperts};
use tokio::sync::{Notify, mpsc};

use crate::clock::now_ms;
use crate::rank_client::{RankClient, RankError};

/// Interval between reads of the backend's state. The platform does not charge for reads from the
/// same instance.
pub const POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between reads during a map change, each step of which waits for a newly read state.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between reads of the expert counts. It is not shorter because a report with
/// counts fills a packet, and not longer because demand is tracked over less than a second.
pub const COUNTS_INTERVAL_MS: u64 = 150;

/// Result of one read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// State of the backend.
    pub state: EngineState,
    /// Choices of each expert since the previous reading; empty if not read.
    pub choices: Vec<u64>,
    /// Experts of the rank in the map in use, by set; empty if not read.
    pub experts: Vec<Vec<u32>>,
}

/// Reads the backend periodically and whenever `wake` is notified. Returns once the receiver of the
/// readings is dropped.
pub async fn poll(
    backend: SocketAddr,
    readings: mpsc::UnboundedSender<Reading>,
    wake: Arc<Notify>,
    busy_until_ms: Arc<AtomicU64>,
) {
    let mut reader = BackendReader {
        client: RankClient::new(backend),
        cached_experts: None,
        deltas: CounterDeltas::default(),
        counts_read_ms: 0,
    };
    let mut is_failing = false;
    loop {
        match reader.read().await {
            Ok(reading) => {
                if std::mem::take(&mut is_failing) {
                    log::info!(dependency = "backend"; "regained");
                }
                if readings.send(reading).is_err() {
                    return;
                }
            }
            Err(error) => {
                if !is_failing {
                    log::warn!(dependency = "backend", error:% = error; "lost");
                }
                is_failing = true;
            }
        }
        let is_busy = now_ms() < busy_until_ms.load(Ordering::Relaxed);
        let delay = tokio::time::sleep(if is_busy { BUSY_POLL_INTERVAL } else { POLL_INTERVAL });
        tokio::select! {
            () = delay => {}
            () = wake.notified() => {}
        }
    }
}

struct BackendReader {
    client: RankClient,
    cached_experts: Option<(u64, RankExperts)>,
    deltas: CounterDeltas,
    counts_read_ms: u64,
}

impl BackendReader {
    async fn read(&mut self) -> Result<Reading, RankError> {
        let state = self.client.state().await?;
        let (mut choices, mut experts) = (Vec::new(), Vec::new());
        if let Some(rank) = &state.rank
            && now_ms() >= self.counts_read_ms + COUNTS_INTERVAL_MS
        {
            self.counts_read_ms = now_ms();
            let counts = self.client.expert_counts().await?.counts;
            choices = self.deltas.update(counts).unwrap_or_default();
            experts = self.current_experts(rank).await?;
        }
        Ok(Reading { state, choices, experts })
    }

    /// Returns the rank's experts in the map in use. The result is empty if the map has changed
    /// since the state was read.
    async fn current_experts(&mut self, rank: &RankState) -> Result<Vec<Vec<u32>>, RankError> {
        let is_current = |(epoch, experts): &(u64, RankExperts)| {
            (*epoch, experts.map_version) == (rank.epoch, rank.map_version)
        };
        if !self.cached_experts.as_ref().is_some_and(is_current) {
            self.cached_experts = Some((rank.epoch, self.client.experts().await?));
        }
        let current = self.cached_experts.as_ref().filter(|cached| is_current(cached));
        Ok(current.map(|(_, current)| current.experts.clone()).unwrap_or_default())
    }
}
