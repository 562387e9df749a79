//! Leads a group of ranks from one expert map to the next, such that no pass begins while two ranks
//! have different maps.
//!
//! A change goes: prepare the map on all ranks; hold the group before a pass a little ahead; arm
//! that pass on all ranks; once every rank reports itself armed, let the pass begin. The hold is set
//! before anything is armed and released only when all are armed, so the pass cannot begin in
//! between. Where the arming is done before the group gets to the pass, the group never pauses.
//!
//! Each order names the number of orders that its rank had begun when it was observed. Of an order
//! that was repeated because its answer was lost, at most one copy takes effect, and an order that a
//! rank takes makes all those void that were meant for its earlier state.
//!
//! A leader that finds the group held by another one recovers it: it prepares the map in use under a
//! version of its own, first at the rank that is held, and arms that. The first order that the held
//! rank takes keeps the other leader from releasing it, so only then are other ranks disarmed. Once
//! every rank has prepared the new version, no order of the other leader can take effect.

use std::sync::Arc;

use derive_more::Display;

/// Most passes between the observation and the pass that is held: passes of a few milliseconds with
/// the first time of arming.
pub const MAX_PASSES_AHEAD: u64 = 12;
/// Time from the decision to hold a pass until all ranks are armed, before one was measured: two
/// exchanges with agents, each read every 20 ms.
const INITIAL_ARMING_MS: f64 = 40.0;
/// Weight of a new time of arming in the mean.
const ARMING_SMOOTHING: f64 = 0.3;
/// Age after which a rank's state is not used for an order.
pub const MAX_STATE_AGE_MS: u64 = 400;
/// Time after which an order without visible effect is sent again.
pub const RESEND_INTERVAL_MS: u64 = 150;
/// Time after which a map is sent again to a rank that has begun to copy it but does not report it.
pub const RESEND_PREPARE_INTERVAL_MS: u64 = 2_000;
/// Time after which a map that some rank does not get prepared is given up.
pub const PREPARE_TIMEOUT_MS: u64 = 8_000;

/// Experts of a map by set and rank.
pub type ExpertMap = Vec<Vec<Vec<u32>>>;

/// State of one rank of a group, from its backend's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankState {
    /// Name of the group.
    pub group: String,
    /// Rises each time the group is formed.
    pub epoch: u64,
    /// Rank.
    pub rank: u32,
    /// Number of ranks.
    pub size: u32,
    /// The group serves.
    pub is_open: bool,
    /// Orders that the backend has begun.
    pub orders: u64,
    /// Last pass that was begun.
    pub step: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version of the map that is prepared beside it.
    pub prepared_version: Option<u64>,
    /// Version and pass that are armed.
    pub armed: Option<(u64, u64)>,
    /// Pass that is held.
    pub held_step: Option<u64>,
    /// An order is being carried out.
    pub busy: bool,
}

/// A rank's state and when it was observed.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// The state.
    pub state: RankState,
    /// Time of the observation.
    pub at_ms: u64,
}

/// What a rank is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Copy the experts of a map that are new to the rank.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// Use a prepared map from a pass on.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Take back an arming.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let a held pass begin.
    Go {
        /// The pass.
        step: u64,
    },
}

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The leader's fencing number.
    pub fence: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Orders that the rank had begun when it was observed; any other number refuses this one.
    pub expected_orders: Option<u64>,
    /// What to do.
    pub action: Action,
}

/// Where a change stands.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is under way.
    #[display("idle")]
    Idle,
    /// Ranks copy the experts of a map.
    #[display("prepare {version}")]
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// A group that another leader held gets the map in use under a new version.
    #[display("recover {step} with {version}")]
    Recover {
        /// New version of the map in use.
        version: u64,
        /// The pass that is held.
        step: u64,
    },
    /// The group is being held before a pass.
    #[display("hold {step} for {version}")]
    Hold {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// The pass is being armed on all ranks.
    #[display("arm {version} at {step}")]
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// The held pass is being released.
    #[display("go {step}")]
    Go {
        /// The pass.
        step: u64,
    },
}

/// What became of the change that was under way.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// All ranks use the new map.
    #[display("switched")]
    Switched,
    /// Some rank did not prepare the map in time.
    #[display("abandoned")]
    Abandoned,
    /// The group was formed again.
    #[display("formed-again")]
    GroupReformed,
}

/// Leader's view of one group and its change.
#[derive(Clone, Debug)]
pub struct Switch {
    fence: u64,
    hold_rank: usize,
    epoch: u64,
    phase: Phase,
    map: Option<Arc<ExpertMap>>,
    map_in_use: Option<Arc<ExpertMap>>,
    phase_started_ms: u64,
    change_count: u64,
    sent: Vec<Option<SentOrder>>,
    outcome: Option<ChangeOutcome>,
    /// Mean time from the decision to hold a pass until all ranks are armed.
    mean_arming_ms: f64,
    hold_started_ms: u64,
    /// First pass seen of the preparation, and when, to tell how long passes take.
    preparation_start: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    orders: u64,
    action: Action,
    at_ms: u64,
}

impl Switch {
    /// Leads a group of `size` ranks under a fencing number; the hold is set at rank `holder`.
    pub fn new(fence: u64, size: usize, hold_rank: usize) -> Self {
        Self {
            fence,
            hold_rank,
            epoch: 0,
            phase: Phase::Idle,
            map: None,
            map_in_use: None,
            phase_started_ms: 0,
            change_count: 0,
            sent: vec![None; size],
            outcome: None,
            mean_arming_ms: INITIAL_ARMING_MS,
            hold_started_ms: 0,
            preparation_start: None,
        }
    }

    /// Returns where the change stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns how the last change ended, once.
    pub fn take_outcome(&mut self) -> Option<ChangeOutcome> {
        self.outcome.take()
    }

    /// Returns whether a change may start: all ranks are known, agree and have nothing under way.
    pub fn is_ready(&self, now_ms: u64, ranks: &[Option<ObservedState>]) -> bool {
        self.phase == Phase::Idle
            && self
                .usable_states(now_ms, ranks)
                .is_some_and(|all| all.into_iter().all(is_quiescent))
    }

    /// Starts a change to `map`; only where `is_ready`. Returns its version, which no other leader
    /// uses.
    pub fn start(&mut self, now_ms: u64, map: Arc<ExpertMap>) -> u64 {
        let version = self.next_version();
        self.enter(now_ms, Phase::Prepare { version });
        self.preparation_start = None;
        self.map = Some(map);
        version
    }

    /// Notes the map in use, without which a held group cannot be recovered.
    pub fn set_map_in_use(&mut self, map_in_use: Arc<ExpertMap>) {
        self.map_in_use = Some(map_in_use);
    }

    fn next_version(&mut self) -> u64 {
        const VERSIONS_PER_FENCE: u64 = 1 << 20;
        self.change_count += 1;
        self.fence * VERSIONS_PER_FENCE + self.change_count
    }

    /// Takes the ranks' states; returns the orders to send, by rank.
    pub fn advance(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) -> Vec<(usize, Order)> {
        self.update_epoch(now_ms, ranks);
        // Several phases may be passed at once where the states already show them done.
        while self.transition(now_ms, ranks) {}
        self.orders(now_ms, ranks)
    }

    fn update_epoch(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) {
        let newest = ranks.iter().flatten().map(|o| o.state.epoch).max().unwrap_or(self.epoch);
        if newest > self.epoch {
            self.epoch = newest;
            if self.phase != Phase::Idle {
                self.finish(now_ms, ChangeOutcome::GroupReformed);
            }
        }
    }

    /// Makes at most one transition; returns whether it did.
    fn transition(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) -> bool {
        let Some(all) = self.usable_states(now_ms, ranks) else {
            return self.expire_preparation(now_ms);
        };
        let last_pass = all.iter().map(|o| o.state.step).max().unwrap_or(0);
        let held = all.iter().find_map(|o| o.state.held_step);
        if matches!(self.phase, Phase::Prepare { .. }) {
            self.preparation_start.get_or_insert((last_pass, now_ms));
        }
        let next = match self.phase {
            Phase::Idle | Phase::Prepare { .. } if held.is_some() => {
                held.and_then(|step| self.recover(step, &all))
            }
            Phase::Idle => None,
            Phase::Prepare { version } if all.iter().all(|o| has_prepared(o, version)) => {
                Some(Phase::Hold {
                    version,
                    step: last_pass + self.passes_ahead(now_ms, last_pass),
                })
            }
            Phase::Prepare { .. } => return self.expire_preparation(now_ms),
            Phase::Recover { .. } if held.is_none() => {
                self.finish(now_ms, ChangeOutcome::Abandoned);
                return true;
            }
            Phase::Recover { version, step } if all.iter().all(|o| has_prepared(o, version)) => {
                Some(Phase::Arm { version, step })
            }
            Phase::Recover { .. } => None,
            Phase::Hold { version, step } if held == Some(step) => {
                Some(Phase::Arm { version, step })
            }
            Phase::Hold { .. } if held.is_some() => held.and_then(|step| self.recover(step, &all)),
            Phase::Hold { version, step } if last_pass >= step => Some(Phase::Hold {
                version,
                step: last_pass + self.passes_ahead(now_ms, last_pass),
            }),
            Phase::Hold { .. } => None,
            Phase::Arm { version, step } if are_armed(&all, version, step) => {
                Some(Phase::Go { step })
            }
            // Another leader released it, which takes that all ranks are armed.
            Phase::Arm { .. } if held.is_none() => {
                self.finish(now_ms, ChangeOutcome::Abandoned);
                return true;
            }
            Phase::Arm { .. } => None,
            Phase::Go { step } if held.is_none() && last_pass >= step => {
                self.finish(now_ms, ChangeOutcome::Switched);
                return true;
            }
            Phase::Go { .. } => None,
        };
        match next {
            Some(next) if next != self.phase => {
                match (&self.phase, &next) {
                    (_, Phase::Hold { .. }) => self.hold_started_ms = now_ms,
                    (Phase::Arm { .. }, Phase::Go { .. }) => self.update_arming_time(now_ms),
                    _ => {}
                }
                self.enter(now_ms, next);
                true
            }
            _ => false,
        }
    }

    /// Passes until the one to hold: as many as begin while the ranks are armed. A hold that comes too
    /// late is set again; one pass more would keep the old map in use for longer than the group waits.
    fn passes_ahead(&self, now_ms: u64, last_pass: u64) -> u64 {
        let (first, first_ms) = self.preparation_start.unwrap_or((last_pass, now_ms));
        let passes = last_pass.saturating_sub(first) as f64;
        let elapsed_ms = now_ms.saturating_sub(first_ms).max(1) as f64;
        ((self.mean_arming_ms * passes / elapsed_ms).ceil() as u64).clamp(1, MAX_PASSES_AHEAD)
    }

    fn update_arming_time(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.hold_started_ms) as f64;
        self.mean_arming_ms += ARMING_SMOOTHING * (elapsed_ms - self.mean_arming_ms);
    }

    /// What a group needs that another leader holds; nothing while the map in use is not known.
    fn recover(&mut self, step: u64, all: &[&ObservedState]) -> Option<Phase> {
        if let Some((version, _)) = all[0].state.armed
            && are_armed(all, version, step)
        {
            return Some(Phase::Go { step });
        }
        self.map = Some(self.map_in_use.clone()?);
        Some(Phase::Recover { version: self.next_version(), step })
    }

    fn expire_preparation(&mut self, now_ms: u64) -> bool {
        let preparing = matches!(self.phase, Phase::Prepare { .. });
        let expired = preparing && now_ms > self.phase_started_ms + PREPARE_TIMEOUT_MS;
        if expired {
            self.finish(now_ms, ChangeOutcome::Abandoned);
        }
        expired
    }

    fn orders(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) -> Vec<(usize, Order)> {
        let mut orders = Vec::new();
        for (rank, observed) in ranks.iter().enumerate() {
            let Some(observed) = observed.as_ref().filter(|o| o.state.epoch == self.epoch) else {
                continue;
            };
            let Some(action) = self.action(rank, &observed.state, ranks) else {
                continue;
            };
            let begun_orders = observed.state.orders;
            let is_repeated = self.sent[rank].as_ref().is_some_and(|sent| {
                // A rank that has begun an order since is copying the experts of the map.
                let is_copying =
                    matches!(action, Action::Prepare { .. }) && begun_orders > sent.orders;
                let interval_ms =
                    if is_copying { RESEND_PREPARE_INTERVAL_MS } else { RESEND_INTERVAL_MS };
                let is_resend =
                    sent.action == action && (is_copying || sent.orders == begun_orders);
                is_resend && now_ms < sent.at_ms + interval_ms
            });
            if is_repeated || now_ms > observed.at_ms + MAX_STATE_AGE_MS {
                continue;
            }
            self.sent[rank] =
                Some(SentOrder { orders: begun_orders, action: action.clone(), at_ms: now_ms });
            let (fence, epoch) = (self.fence, self.epoch);
            orders
                .push((rank, Order { fence, epoch, expected_orders: Some(begun_orders), action }));
        }
        orders
    }

    fn action(
        &self,
        rank: usize,
        state: &RankState,
        ranks: &[Option<ObservedState>],
    ) -> Option<Action> {
        match self.phase {
            Phase::Idle => None,
            Phase::Prepare { version } => {
                let map = self.map.clone()?;
                let is_needed = state.prepared_version != Some(version) && !state.busy;
                is_needed.then_some(Action::Prepare { version, map })
            }
            Phase::Recover { version, .. } => {
                let is_held = state.held_step.is_some();
                let is_recovered =
                    |o: &ObservedState| o.state.held_step.is_some() && has_prepared(o, version);
                match state.armed {
                    _ if !is_held && !ranks.iter().flatten().any(is_recovered) => None,
                    Some((armed, _)) => Some(Action::Disarm { version: armed }),
                    None => {
                        let map = self.map.clone()?;
                        let is_needed = state.prepared_version != Some(version) && !state.busy;
                        is_needed.then_some(Action::Prepare { version, map })
                    }
                }
            }
            Phase::Hold { step, .. } => {
                let is_needed = rank == self.hold_rank && state.held_step.is_none();
                is_needed.then_some(Action::Hold { step })
            }
            Phase::Arm { version, step } => {
                let is_needed = state.armed != Some((version, step));
                is_needed.then_some(Action::Arm { version, step })
            }
            Phase::Go { step } => {
                let is_needed = state.held_step == Some(step);
                is_needed.then_some(Action::Go { step })
            }
        }
    }

    /// The states of all ranks, where each is known, recent, open and of the newest epoch.
    fn usable_states<'a>(
        &self,
        now_ms: u64,
        ranks: &'a [Option<ObservedState>],
    ) -> Option<Vec<&'a ObservedState>> {
        let usable = |o: &ObservedState| {
            let recent = now_ms <= o.at_ms + MAX_STATE_AGE_MS;
            recent && o.state.is_open && o.state.epoch == self.epoch
        };
        let states = ranks.iter().map(|o| o.as_ref().filter(|o| usable(o)));
        states.collect::<Option<Vec<_>>>().filter(|all| !all.is_empty())
    }

    fn enter(&mut self, now_ms: u64, phase: Phase) {
        self.phase = phase;
        self.phase_started_ms = now_ms;
        self.sent.fill(None);
    }

    fn finish(&mut self, now_ms: u64, outcome: ChangeOutcome) {
        self.outcome = Some(outcome);
        self.map = None;
        self.enter(now_ms, Phase::Idle);
    }
}

fn is_quiescent(observed: &ObservedState) -> bool {
    let state = &observed.state;
    state.held_step.is_none() && state.armed.is_none() && !state.busy
}

fn are_armed(all: &[&ObservedState], version: u64, step: u64) -> bool {
    all.iter().all(|o| o.state.armed == Some((version, step)))
}

fn has_prepared(observed: &ObservedState, version: u64) -> bool {
    observed.state.prepared_version == Some(version)
}
