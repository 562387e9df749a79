//! Readings of the model backend beside an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use currantlink_core::demand::CounterDeltas;
use currantlink_core::switch::RankState;
use currantlink_platform::engine::{EngineState, RankExperts};
use tokio::sync::{Notify, mpsc};

use crate::clock::now_ms;
use crate::rank::{RankClient, RankError};

/// Time between two reads of the backend's state, which cost nothing from its own machine.
pub const POLL_INTERVAL: Duration = Duration::from_millis(80);
/// The same while a map change is under way, of which each step waits for a state.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two readings of the expert counts: a report that has them fills a packet, and demand
/// is remembered for less than a second.
const COUNTS_INTERVAL_MS: u64 = 150;

/// What was read at one time.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The backend's state.
    pub state: EngineState,
    /// Choices of each expert since the reading before; empty where not read.
    pub choices: Vec<u64>,
    /// Experts by set of the map in use; empty where not read.
    pub experts: Vec<Vec<u32>>,
}

/// Reads the backend's state again and again.
pub async fn poll(
    backend: SocketAddr,
    readings: mpsc::UnboundedSender<Reading>,
    wake: Arc<Notify>,
    busy_until_ms: Arc<AtomicU64>,
) {
    let mut reader = BackendReader {
        client: RankClient::new(backend),
        held: None,
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

/// Reads a backend.
struct BackendReader {
    client: RankClient,
    held: Option<(u64, RankExperts)>,
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

    /// The experts of the map in use; none where it changed meanwhile.
    async fn current_experts(&mut self, rank: &RankState) -> Result<Vec<Vec<u32>>, RankError> {
        let is_current = |(epoch, held): &(u64, RankExperts)| {
            (*epoch, held.map_version) == (rank.epoch, rank.map_version)
        };
        if !self.held.as_ref().is_some_and(is_current) {
            self.held = Some((rank.epoch, self.client.experts().await?));
        }
        let held = self.held.as_ref().filter(|held| is_current(held));
        Ok(held.map(|(_, held)| held.experts.clone()).unwrap_or_default())
    }
}
