//! Model of one rank of a group: which orders it takes, and what it does as passes begin.

use currantlink_core::switch::{Action, Order, RankState};

const COPY_MS: u64 = 120;

/// Why a rank does not take an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The fencing number is lower than one seen.
    Fenced,
    /// The order does not fit the rank's state.
    Conflict,
}

/// A rank.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    /// What it reports.
    pub state: RankState,
    fence: u64,
    highest_version: u64,
    /// Version that is being copied, and when it is there.
    copying: Option<(u64, u64)>,
}

impl Rank {
    /// Starts with map 0.
    pub fn new(group: &str, epoch: u64, rank: u32, size: u32) -> Self {
        let group = group.to_owned();
        let state = RankState { group, epoch, rank, size, is_open: true, ..RankState::default() };
        Self { state, ..Self::default() }
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Refuses one that is fenced or does not fit.
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
        // The pages leave open whether a refused order counts as seen; the model takes the worse.
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

    /// Ends a copy whose time has come.
    pub fn finish_copy(&mut self, now_ms: u64) {
        if let Some((version, _)) = self.copying.filter(|&(_, at_ms)| at_ms <= now_ms) {
            self.state.prepared_version = Some(version);
            self.state.busy = false;
            self.copying = None;
        }
    }

    /// Begins a pass, with the map that is armed for it.
    pub fn begin_pass(&mut self, step: u64) {
        self.state.step = step;
        if let Some((version, _)) = self.state.armed.filter(|&(_, at)| at <= step) {
            self.state.map_version = version;
            self.state.armed = None;
        }
    }
}
