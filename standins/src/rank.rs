//! Model of one rank of a group: how the rank handles orders and the start of passes.

use currantlink_core::switch::{Action, Order, RankState};

const COPY_MS: u64 = 120;

/// Reason why a rank refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The fencing token is lower than the highest one seen.
    Fenced,
    /// The order conflicts with the state of the rank.
    Conflict,
}

/// Rank of a group.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    /// State that the rank reports.
    pub state: RankState,
    fence: u64,
    highest_version: u64,
    /// Map version that is being copied and the time in ms at which the copy is complete.
    copying: Option<(u64, u64)>,
}

impl Rank {
    /// Creates a rank with map version 0.
    pub fn new(group: &str, epoch: u64, rank: u32, size: u32) -> Self {
        let group = group.to_owned();
        let state = RankState { group, epoch, rank, size, is_open: true, ..RankState::default() };
        Self { state, ..Self::default() }
    }

    /// Applies an order at time `now_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is fenced or conflicts with the state of the rank.
    pub fn apply(&mut self, now_ms: u64, order: &Order) -> Result<(), OrderRefusal> {
        if order.epoch != self.state.epoch {
            return Err(OrderRefusal::Conflict);
        }
        if order.fence < self.fence {
            return Err(OrderRefusal::Fenced);
        }
        let is_expected = order.expected_orders.is_none_or(|n| n == self.state.orders);
        if !is_expected || !self.is_applicable(&order.action) {
            return Err(OrderRefusal::Conflict);
        }
        // The platform documentation does not define whether a rank remembers the fencing token of a
        // refused order. The model assumes the worse case: the rank does not remember the token.
        self.fence = order.fence;
        self.state.orders += 1;
        match order.action {
            Action::Prepare { version, .. } => {
                self.highest_version = version;
                self.state.prepared_version = None;
                self.state.busy = true;
                self.copying = Some((version, now_ms + COPY_MS));
            }
            Action::Arm { version, step } => self.state.armed = Some((version, step)),
            Action::Disarm { .. } => self.state.armed = None,
            Action::Hold { step } => self.state.held_step = Some(step),
            Action::Go { .. } => self.state.held_step = None,
        }
        Ok(())
    }

    fn is_applicable(&self, action: &Action) -> bool {
        let state = &self.state;
        match *action {
            Action::Prepare { version, .. } => {
                version > self.highest_version && state.armed.is_none()
            }
            Action::Arm { version, step } => {
                state.prepared_version == Some(version) && step > state.step
            }
            Action::Disarm { version } => state.map_version != version,
            Action::Hold { step } => step > state.step && state.held_step.is_none(),
            Action::Go { step } => state.held_step == Some(step),
        }
    }

    /// Completes the pending copy if its time has passed.
    pub fn finish_copy(&mut self, now_ms: u64) {
        if let Some((version, _)) = self.copying.filter(|&(_, at_ms)| at_ms <= now_ms) {
            self.state.prepared_version = Some(version);
            self.state.busy = false;
            self.copying = None;
        }
    }

    /// Begins a pass and switches to the armed map if its step has been reached.
    pub fn begin_pass(&mut self, step: u64) {
        self.state.step = step;
        if let Some((version, _)) = self.state.armed.filter(|&(_, at)| at <= step) {
            self.state.map_version = version;
            self.state.armed = None;
        }
    }
}
