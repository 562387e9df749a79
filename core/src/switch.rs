//! Leads a group of ranks from one expert map to the next. All ranks execute each pass in lockstep,
//! and no pass begins while two ranks have different maps.
//!
//! A change passes through four phases: prepare the map on all ranks; hold the group before a pass
//! a few passes ahead; arm that pass on all ranks; release the pass once every rank reports that it
//! is armed. The hold is set before any rank is armed and released only after all ranks are armed,
//! so the pass cannot begin in between. If arming completes before the group reaches the pass, the
//! group does not pause.
//!
//! Each order names the number of orders that its rank had begun when it was observed. If an order
//! is repeated because its response was lost, at most one copy takes effect. An order that a rank
//! accepts invalidates all other orders for its earlier state.
//!
//! A leader that finds the group held by another leader recovers it: it prepares the map in use
//! under a new version of its own and arms that version. It begins with the ranks that are not
//! armed: once one of them has prepared the new version, it can no longer be armed for the other
//! leader's change, so that change can no longer be completed, and the armed ranks are disarmed. Once
//! every rank has prepared the new version, no order of the other leader can take effect.
//!
//! The machine of the other leader may not respond, and with it the rank beside it. So a leader holds
//! the rank after its own, and the rank before a held one is armed last, after all others are
//! observed to be armed. If that rank is the only one without a usable state and another rank was
//! found not armed, it is not armed either. The group is then released with the map in use.

use std::sync::Arc;

use derive_more::Display;

/// Maximum number of passes between the observation and the held pass. It covers the initial arming
/// time with passes of a few milliseconds.
pub const MAX_PASSES_AHEAD: u64 = 12;
/// Initial estimate of the time from holding a pass until all ranks are armed: two exchanges with
/// the agents, which read the state of their rank every 20 ms during a change.
const INITIAL_ARMING_MS: f64 = 40.0;
/// Weight of a shorter measurement in the arming time. A longer one replaces it: a group that pauses
/// makes all its streams late, while holding a later pass only delays the new map.
const ARMING_SMOOTHING: f64 = 0.1;
/// Maximum arming time that a later change waits for.
const MAX_ARMING_MS: f64 = 300.0;
/// Age above which a rank's state is not used for an order.
pub const MAX_STATE_AGE_MS: u64 = 400;
/// Time after which an order without visible effect is sent again.
pub const RESEND_INTERVAL_MS: u64 = 150;
/// Time after which a map is sent again to a rank that has begun copying but does not report it.
pub const RESEND_PREPARE_INTERVAL_MS: u64 = 2_000;
/// Time after which a change is abandoned if a rank has not prepared the map.
pub const PREPARE_TIMEOUT_MS: u64 = 8_000;

/// Versions of maps that each leader may use: those from its fencing token times this number on.
const VERSIONS_PER_FENCE: u64 = 1 << 20;
/// Changes that a leader starts. The other versions are for recoveries of the group.
const MAX_CHANGES: u64 = VERSIONS_PER_FENCE / 2;

/// Experts by set and rank.
pub type ExpertMap = Vec<Vec<Vec<u32>>>;

/// State of one rank of a group, from its backend's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankState {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group, incremented each time the group is formed.
    pub epoch: u64,
    /// Index of the rank.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group serves requests.
    pub is_open: bool,
    /// Number of orders that the backend has begun.
    pub orders: u64,
    /// Last pass that has begun.
    pub step: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version of the map that is prepared in addition to the map in use.
    pub prepared_version: Option<u64>,
    /// Version and pass that are armed.
    pub armed: Option<(u64, u64)>,
    /// Pass before which the group is held.
    pub held_step: Option<u64>,
    /// Whether an order is being executed.
    pub busy: bool,
}

impl RankState {
    /// Returns whether two states differ in nothing but the last pass.
    pub fn is_same_except_step(&self, other: &Self) -> bool {
        Self { step: other.step, ..self.clone() } == *other
    }
}

/// A rank's state with the time of its observation.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// State of the rank.
    pub state: RankState,
    /// Time of the observation in milliseconds.
    pub at_ms: u64,
}

/// Action of an order.
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
        /// First pass with the map.
        step: u64,
    },
    /// Cancel an armed switch.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// Pass that must not begin.
        step: u64,
    },
    /// Release a held pass.
    Go {
        /// Pass that is held.
        step: u64,
    },
}

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of orders that the rank had begun when it was observed; the rank refuses the order if
    /// the number differs.
    pub expected_orders: Option<u64>,
    /// Action to execute.
    pub action: Action,
}

/// Phase of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// No change is in progress.
    #[display("idle")]
    Idle,
    /// Ranks copy the experts of a map.
    #[display("prepare {version}")]
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// The map in use is prepared under a new version, because another leader held the group.
    #[display("recover {step} with {version}")]
    Recover {
        /// New version of the map in use.
        version: u64,
        /// Pass that is held.
        step: u64,
    },
    /// The hold of the group before a pass is being set.
    #[display("hold {step} for {version}")]
    Hold {
        /// Version of the map.
        version: u64,
        /// Pass to hold.
        step: u64,
    },
    /// The map is being armed on all ranks.
    #[display("arm {version} at {step}")]
    Arm {
        /// Version of the map.
        version: u64,
        /// First pass with the map.
        step: u64,
    },
    /// The held pass is being released.
    #[display("go {step}")]
    Go {
        /// Pass to release.
        step: u64,
    },
    /// The held pass is being released without a change of the map.
    #[display("release {step}")]
    Release {
        /// Pass to release.
        step: u64,
    },
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// All ranks use the new map.
    #[display("switched")]
    Switched,
    /// The change was abandoned: a rank did not prepare the map in time, or another leader released
    /// the group.
    #[display("abandoned")]
    Abandoned,
    /// The group was formed again.
    #[display("formed-again")]
    GroupReformed,
}

/// State of one group's change at its leader.
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
    /// Time from holding a pass until its release is observed, in slow recent changes.
    arming_ms: f64,
    /// Time at which this leader began to hold a pass whose release it has not observed yet.
    hold_started_ms: Option<u64>,
    /// Pass and time at the start of the preparation, used to compute the pass time.
    preparation_start: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    orders: u64,
    action: Action,
    at_ms: u64,
}

impl Switch {
    /// Creates the leader of a group of `size` ranks with a fencing token; `own_rank` is the rank on
    /// the leader's machine.
    pub fn new(fence: u64, size: usize, own_rank: usize) -> Self {
        Self {
            fence,
            hold_rank: (own_rank + 1) % size.max(1),
            epoch: 0,
            phase: Phase::Idle,
            map: None,
            map_in_use: None,
            phase_started_ms: 0,
            change_count: 0,
            sent: vec![None; size],
            outcome: None,
            arming_ms: INITIAL_ARMING_MS,
            hold_started_ms: None,
            preparation_start: None,
        }
    }

    /// Returns the phase of the change.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns and clears the outcome of the last change.
    pub fn take_outcome(&mut self) -> Option<ChangeOutcome> {
        self.outcome.take()
    }

    /// Returns whether a change may start: all ranks have a usable state and none is held, armed or
    /// busy.
    pub fn is_ready(&self, now_ms: u64, ranks: &[Option<ObservedState>]) -> bool {
        self.phase == Phase::Idle
            && !self.is_exhausted()
            && self
                .usable_states(now_ms, ranks)
                .is_some_and(|all| all.into_iter().all(is_quiescent))
    }

    /// Returns whether the leader has no versions left for further changes. Another version would be one of
    /// the next leader's.
    pub fn is_exhausted(&self) -> bool {
        self.phase == Phase::Idle && self.change_count >= MAX_CHANGES
    }

    /// Starts a change to `map`; requires `is_ready`. Returns the version of the map, which no
    /// other leader uses.
    pub fn start(&mut self, now_ms: u64, map: Arc<ExpertMap>) -> u64 {
        let version = self.next_version();
        self.enter(now_ms, Phase::Prepare { version });
        self.preparation_start = None;
        self.map = Some(map);
        version
    }

    /// Abandons a change whose map is still being prepared.
    pub fn abandon_preparation(&mut self, now_ms: u64) {
        if matches!(self.phase, Phase::Prepare { .. }) {
            self.finish(now_ms, ChangeOutcome::Abandoned);
        }
    }

    /// Sets the map in use, which is required to recover a held group.
    pub fn set_map_in_use(&mut self, map_in_use: Arc<ExpertMap>) {
        self.map_in_use = Some(map_in_use);
    }

    fn next_version(&mut self) -> u64 {
        self.change_count += 1;
        self.fence * VERSIONS_PER_FENCE + self.change_count
    }

    /// Advances the change with the ranks' states and returns the orders to send, by rank.
    pub fn advance(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) -> Vec<(usize, Order)> {
        self.update_epoch(now_ms, ranks);
        // One update can complete several phases.
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

    /// Makes at most one transition and returns whether the phase changed.
    fn transition(&mut self, now_ms: u64, ranks: &[Option<ObservedState>]) -> bool {
        if matches!(self.phase, Phase::Release { .. })
            && !ranks.iter().flatten().any(|o| o.state.held_step.is_some())
        {
            self.finish(now_ms, ChangeOutcome::Abandoned);
            return true;
        }
        let Some(all) = self.usable_states(now_ms, ranks) else {
            return match self.states_without_last_armed(now_ms, ranks) {
                Some((step, others)) => self.recover_without_last_armed(now_ms, step, &others),
                None => self.expire_preparation(now_ms),
            };
        };
        let last_pass = all.iter().map(|o| o.state.step).max().unwrap_or(0);
        let held = all.iter().find_map(|o| o.state.held_step);
        if matches!(self.phase, Phase::Prepare { .. }) {
            self.preparation_start.get_or_insert((last_pass, now_ms));
        }
        if matches!(self.phase, Phase::Go { .. }) && held.is_none() {
            self.update_arming_time(now_ms);
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
            // The other leader armed the last rank meanwhile, so no rank can be disarmed.
            Phase::Recover { step, .. } if are_armed_alike(&all) => Some(Phase::Go { step }),
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
            // Another leader released the group, which requires that all ranks are armed.
            Phase::Arm { .. } if held.is_none() => {
                self.finish(now_ms, ChangeOutcome::Abandoned);
                return true;
            }
            Phase::Arm { .. } => None,
            Phase::Go { step } if held.is_none() && last_pass >= step => {
                self.finish(now_ms, ChangeOutcome::Switched);
                return true;
            }
            // Another rank is held as well.
            Phase::Go { step } | Phase::Release { step }
                if held.is_some() && !all.iter().any(|o| o.state.held_step == Some(step)) =>
            {
                held.and_then(|step| self.recover(step, &all))
            }
            Phase::Go { .. } | Phase::Release { .. } => None,
        };
        match next {
            Some(next) if next != self.phase => {
                match next {
                    Phase::Hold { .. } => self.hold_started_ms = Some(now_ms),
                    Phase::Recover { .. } => self.hold_started_ms = None,
                    _ => {}
                }
                self.enter(now_ms, next);
                true
            }
            _ => false,
        }
    }

    /// Returns the number of passes until the pass to hold: as many as begin while the ranks are
    /// armed. A hold that is set too late is set again. Holding a later pass would keep the old map
    /// in use for longer than the group would pause.
    fn passes_ahead(&self, now_ms: u64, last_pass: u64) -> u64 {
        let (first, first_ms) = self.preparation_start.unwrap_or((last_pass, now_ms));
        let passes = last_pass.saturating_sub(first) as f64;
        let elapsed_ms = now_ms.saturating_sub(first_ms).max(1) as f64;
        ((self.arming_ms * passes / elapsed_ms).ceil() as u64).clamp(1, MAX_PASSES_AHEAD)
    }

    fn update_arming_time(&mut self, now_ms: u64) {
        let Some(started_ms) = self.hold_started_ms.take() else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(started_ms) as f64;
        let smoothed_ms = self.arming_ms + ARMING_SMOOTHING * (elapsed_ms - self.arming_ms);
        self.arming_ms = smoothed_ms.max(elapsed_ms.min(MAX_ARMING_MS));
    }

    /// Returns the phase for a group that another leader holds, or `None` if the map in use is
    /// unknown.
    fn recover(&mut self, step: u64, all: &[&ObservedState]) -> Option<Phase> {
        if are_armed_alike(all) {
            return Some(Phase::Go { step });
        }
        self.map = Some(self.map_in_use.clone()?);
        Some(Phase::Recover { version: self.next_version(), step })
    }

    /// Recovers a group whose held pass is `step` from the states of all ranks except the one that is
    /// armed last. Returns whether the phase changed.
    fn recover_without_last_armed(
        &mut self,
        now_ms: u64,
        step: u64,
        others: &[&ObservedState],
    ) -> bool {
        let next = match self.phase {
            Phase::Recover { version, .. } => {
                let is_undone =
                    |o: &&ObservedState| o.state.armed.is_none() && has_prepared(o, version);
                others.iter().all(is_undone).then_some(Phase::Release { step })
            }
            Phase::Arm { .. } | Phase::Go { .. } | Phase::Release { .. } => None,
            // If all others are armed, the last one may be armed as well.
            _ if others.iter().all(|o| o.state.armed.is_some()) => None,
            _ => self.recover(step, others),
        };
        next.map(|next| self.enter(now_ms, next)).is_some()
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
                // A rank that has begun an order since the last send is copying the experts of the
                // map.
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
                let states = || ranks.iter().flatten().filter(|o| o.state.epoch == self.epoch);
                // The ranks are armed for different changes, so that none can be completed.
                let is_mixed = || {
                    states().all(|o| o.state.armed.is_some())
                        && states().any(|o| o.state.armed != state.armed)
                };
                match state.armed {
                    Some((armed, _))
                        if states().any(|o| has_prepared(o, version)) || is_mixed() =>
                    {
                        Some(Action::Disarm { version: armed })
                    }
                    Some(_) => None,
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
                let is_held = |o: &Option<ObservedState>| {
                    o.as_ref().is_some_and(|o| o.state.held_step == Some(step))
                };
                let last = self.rank_before(ranks.iter().position(is_held)?);
                let is_armed = |o: &Option<ObservedState>| {
                    o.as_ref().is_some_and(|o| o.state.armed == Some((version, step)))
                };
                let others_armed =
                    || ranks.iter().enumerate().all(|(other, o)| other == rank || is_armed(o));
                let is_needed = state.armed != Some((version, step));
                (is_needed && (rank != last || others_armed()))
                    .then_some(Action::Arm { version, step })
            }
            Phase::Go { step } | Phase::Release { step } => {
                let is_needed = state.held_step == Some(step);
                is_needed.then_some(Action::Go { step })
            }
        }
    }

    fn is_usable(&self, now_ms: u64, observed: &ObservedState) -> bool {
        let is_recent = now_ms <= observed.at_ms + MAX_STATE_AGE_MS;
        is_recent && observed.state.is_open && observed.state.epoch == self.epoch
    }

    /// Returns the states of all ranks, if each one is known, recent, open and of the newest epoch.
    fn usable_states<'a>(
        &self,
        now_ms: u64,
        ranks: &'a [Option<ObservedState>],
    ) -> Option<Vec<&'a ObservedState>> {
        let states = ranks.iter().map(|o| o.as_ref().filter(|o| self.is_usable(now_ms, o)));
        states.collect::<Option<Vec<_>>>().filter(|all| !all.is_empty())
    }

    /// Returns the held pass and the states of all ranks except the one before the held rank, if that
    /// is the only one without a usable state and one rank is held.
    fn states_without_last_armed<'a>(
        &self,
        now_ms: u64,
        ranks: &'a [Option<ObservedState>],
    ) -> Option<(u64, Vec<&'a ObservedState>)> {
        let is_held =
            |o: &Option<ObservedState>| o.as_ref().is_some_and(|o| o.state.held_step.is_some());
        let held_rank = ranks.iter().position(is_held)?;
        let step = ranks[held_rank].as_ref()?.state.held_step?;
        let last = self.rank_before(held_rank);
        let is_only_held = ranks.iter().filter(|o| is_held(o)).count() == 1;
        let others = ranks.iter().enumerate().filter(|&(rank, _)| rank != last);
        let others = others.map(|(_, o)| o.as_ref().filter(|o| self.is_usable(now_ms, o)));
        let others = others.collect::<Option<Vec<_>>>()?;
        (is_only_held && last != held_rank).then_some((step, others))
    }

    fn rank_before(&self, rank: usize) -> usize {
        let size = self.sent.len().max(1);
        (rank + size - 1) % size
    }

    fn enter(&mut self, now_ms: u64, phase: Phase) {
        self.phase = phase;
        self.phase_started_ms = now_ms;
        self.sent.fill(None);
    }

    fn finish(&mut self, now_ms: u64, outcome: ChangeOutcome) {
        self.outcome = Some(outcome);
        self.map = None;
        self.hold_started_ms = None;
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

fn are_armed_alike(all: &[&ObservedState]) -> bool {
    all[0].state.armed.is_some_and(|(version, step)| are_armed(all, version, step))
}

fn has_prepared(observed: &ObservedState, version: u64) -> bool {
    observed.state.prepared_version == Some(version)
}
