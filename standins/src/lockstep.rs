//! Group of ranks that begin each pass at the same time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use currantlink_core::switch::{ExpertMap, Order};
use tokio::sync::watch;

use crate::rank::{OrderRefusal, Rank};

const PASS_INTERVAL: Duration = Duration::from_millis(15);

/// Group whose ranks run in lockstep. Passes run until all clones are dropped.
#[derive(Clone)]
pub struct Lockstep {
    state: Arc<Mutex<State>>,
    passes: watch::Receiver<u64>,
    started: Instant,
}

struct State {
    ranks: Vec<Rank>,
    maps: Vec<(u64, Arc<ExpertMap>)>,
    mixed_map_passes: u64,
    held_duration: Duration,
    order_responses_to_lose: u32,
    is_stalled: bool,
}

impl Lockstep {
    /// Starts a group of `size` ranks. Must be called within a Tokio runtime.
    pub fn start(size: u32) -> Self {
        let ranks = (0..size).map(|rank| Rank::new("g0", 1, rank, size)).collect();
        let (maps, mixed_map_passes, held_duration, order_responses_to_lose) =
            (Vec::new(), 0, Duration::ZERO, 0);
        let state = Arc::new(Mutex::new(State {
            ranks,
            maps,
            mixed_map_passes,
            held_duration,
            order_responses_to_lose,
            is_stalled: false,
        }));
        let (begun, passes) = watch::channel(0);
        let (weak, started) = (Arc::downgrade(&state), Instant::now());
        tokio::spawn(async move {
            let mut step = 0;
            loop {
                tokio::time::sleep(PASS_INTERVAL).await;
                let Some(state) = weak.upgrade() else {
                    return;
                };
                let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
                if state.begin_pass(step + 1, started.elapsed().as_millis() as u64) {
                    step += 1;
                    begun.send_replace(step);
                }
            }
        });
        Self { state, passes, started }
    }

    /// Waits until the next pass begins.
    pub async fn next_pass(&mut self) {
        if self.passes.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// Applies an order to a rank; returns `None` if the response is lost.
    pub fn apply_order(
        &self,
        rank: usize,
        order: &Order,
        map: Option<ExpertMap>,
    ) -> Option<Result<(), OrderRefusal>> {
        use currantlink_core::switch::Action;
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut state = self.lock();
        let result = state.ranks[rank].apply(now_ms, order);
        if let (Ok(()), Action::Prepare { version, .. }, Some(map)) = (result, &order.action, map) {
            state.maps.push((*version, Arc::new(map)));
        }
        if state.order_responses_to_lose > 0 {
            state.order_responses_to_lose -= 1;
            return None;
        }
        Some(result)
    }

    /// Drops the responses to the next `count` orders. The orders take effect.
    pub fn lose_order_responses(&self, count: u32) {
        self.lock().order_responses_to_lose = count;
    }

    /// Stops the passes of all ranks, as one rank that has stopped does, or lets them go on.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.lock().is_stalled = is_stalled;
    }

    /// Returns a snapshot of a rank.
    pub fn rank(&self, rank: usize) -> Rank {
        self.lock().ranks[rank].clone()
    }

    /// Returns the experts of a rank per set in the current map, or `None` for map 0.
    pub fn experts(&self, rank: usize) -> Option<Vec<Vec<u32>>> {
        let state = self.lock();
        let version = state.ranks[rank].state.map_version;
        let (_, map) = state.maps.iter().find(|(known, _)| *known == version)?;
        Some(map.iter().map(|set| set[rank].clone()).collect())
    }

    /// Returns the number of passes that began while two ranks used different maps.
    pub fn mixed_map_passes(&self) -> u64 {
        self.lock().mixed_map_passes
    }

    /// Returns the total time for which the group was held.
    pub fn held_duration(&self) -> Duration {
        self.lock().held_duration
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Begins a pass unless a rank is held or the group is stalled; returns whether the pass began.
    fn begin_pass(&mut self, step: u64, now_ms: u64) -> bool {
        self.ranks.iter_mut().for_each(|rank| rank.finish_copy(now_ms));
        if self.is_stalled {
            return false;
        }
        if self.ranks.iter().any(|rank| rank.state.held_step.is_some_and(|held| held <= step)) {
            self.held_duration += PASS_INTERVAL;
            return false;
        }
        self.ranks.iter_mut().for_each(|rank| rank.begin_pass(step));
        let first = self.ranks[0].state.map_version;
        self.mixed_map_passes += u64::from(self.ranks.iter().any(|r| r.state.map_version != first));
        true
    }
}
