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
pub const MAX_LEAD_PASSES: u64 = 12;
/// Time from the decision to hold a pass until all ranks are armed, before one was measured: two
/// exchanges with agents, each read every 20 ms.
const FIRST_ARMING_MS: f64 = 40.0;
/// Weight of a new time of arming in the mean.
const ARMING_SMOOTHING: f64 = 0.3;
/// Age after which a rank's state is not used for an order.
pub const STATE_LIFE_MS: u64 = 400;
/// Time after which an order without visible effect is sent again.
pub const RESEND_MS: u64 = 150;
/// Time after which a map is sent again to a rank that has begun to copy it but does not report it.
pub const RESEND_PREPARE_MS: u64 = 2_000;
/// Time after which a map that some rank does not get prepared is given up.
pub const PREPARE_LIMIT_MS: u64 = 8_000;

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
pub struct Observed {
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
pub enum Ended {
    /// All ranks use the new map.
    #[display("switched")]
    Switched,
    /// Some rank did not prepare the map in time.
    #[display("abandoned")]
    Abandoned,
    /// The group was formed again.
    #[display("formed-again")]
    FormedAgain,
}

/// Leader's view of one group and its change.
#[derive(Clone, Debug)]
pub struct Switch {
    fence: u64,
    holder: usize,
    epoch: u64,
    phase: Phase,
    map: Option<Arc<ExpertMap>>,
    in_use: Option<Arc<ExpertMap>>,
    since_ms: u64,
    changes: u64,
    sent: Vec<Option<Sent>>,
    ended: Option<Ended>,
    /// Mean time from the decision to hold a pass until all ranks are armed.
    arming_ms: f64,
    hold_at_ms: u64,
    /// First pass seen of the preparation, and when, to tell how long passes take.
    prepare_began: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
struct Sent {
    orders: u64,
    action: Action,
    at_ms: u64,
}

impl Switch {
    /// Leads a group of `size` ranks under a fencing number; the hold is set at rank `holder`.
    pub fn new(fence: u64, size: usize, holder: usize) -> Self {
        Self {
            fence,
            holder,
            epoch: 0,
            phase: Phase::Idle,
            map: None,
            in_use: None,
            since_ms: 0,
            changes: 0,
            sent: vec![None; size],
            ended: None,
            arming_ms: FIRST_ARMING_MS,
            hold_at_ms: 0,
            prepare_began: None,
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
    pub fn take_ended(&mut self) -> Option<Ended> {
        self.ended.take()
    }

    /// Returns whether a change may start: all ranks are known, agree and have nothing under way.
    pub fn is_ready(&self, now_ms: u64, ranks: &[Option<Observed>]) -> bool {
        self.phase == Phase::Idle
            && self.whole(now_ms, ranks).is_some_and(|all| all.into_iter().all(quiet))
    }

    /// Starts a change to `map`; only where `is_ready`. Returns its version, which no other leader
    /// uses.
    pub fn start(&mut self, now_ms: u64, map: Arc<ExpertMap>) -> u64 {
        let version = self.next_version();
        self.enter(now_ms, Phase::Prepare { version });
        self.prepare_began = None;
        self.map = Some(map);
        version
    }

    /// Notes the map in use, without which a held group cannot be recovered.
    pub fn know(&mut self, in_use: Arc<ExpertMap>) {
        self.in_use = Some(in_use);
    }

    fn next_version(&mut self) -> u64 {
        const CHANGES_PER_LEADER: u64 = 1 << 20;
        self.changes += 1;
        self.fence * CHANGES_PER_LEADER + self.changes
    }

    /// Takes the ranks' states; returns the orders to send, by rank.
    pub fn advance(&mut self, now_ms: u64, ranks: &[Option<Observed>]) -> Vec<(usize, Order)> {
        self.follow_epoch(now_ms, ranks);
        // Several phases may be passed at once where the states already show them done.
        while self.step(now_ms, ranks) {}
        self.orders(now_ms, ranks)
    }

    fn follow_epoch(&mut self, now_ms: u64, ranks: &[Option<Observed>]) {
        let newest = ranks.iter().flatten().map(|o| o.state.epoch).max().unwrap_or(self.epoch);
        if newest > self.epoch {
            self.epoch = newest;
            if self.phase != Phase::Idle {
                self.end(now_ms, Ended::FormedAgain);
            }
        }
    }

    /// Makes at most one transition; returns whether it did.
    fn step(&mut self, now_ms: u64, ranks: &[Option<Observed>]) -> bool {
        let Some(all) = self.whole(now_ms, ranks) else {
            return self.expire(now_ms);
        };
        let begun = all.iter().map(|o| o.state.step).max().unwrap_or(0);
        let held = all.iter().find_map(|o| o.state.held_step);
        if matches!(self.phase, Phase::Prepare { .. }) {
            self.prepare_began.get_or_insert((begun, now_ms));
        }
        let next = match self.phase {
            Phase::Idle | Phase::Prepare { .. } if held.is_some() => {
                held.and_then(|step| self.take_over(step, &all))
            }
            Phase::Idle => None,
            Phase::Prepare { version } if all.iter().all(|o| has_prepared(o, version)) => {
                Some(Phase::Hold { version, step: begun + self.lead_passes(now_ms, begun) })
            }
            Phase::Prepare { .. } => return self.expire(now_ms),
            Phase::Recover { .. } if held.is_none() => {
                self.end(now_ms, Ended::Abandoned);
                return true;
            }
            Phase::Recover { version, step } if all.iter().all(|o| has_prepared(o, version)) => {
                Some(Phase::Arm { version, step })
            }
            Phase::Recover { .. } => None,
            Phase::Hold { version, step } if held == Some(step) => {
                Some(Phase::Arm { version, step })
            }
            Phase::Hold { .. } if held.is_some() => {
                held.and_then(|step| self.take_over(step, &all))
            }
            Phase::Hold { version, step } if begun >= step => {
                Some(Phase::Hold { version, step: begun + self.lead_passes(now_ms, begun) })
            }
            Phase::Hold { .. } => None,
            Phase::Arm { version, step } if are_armed(&all, version, step) => {
                Some(Phase::Go { step })
            }
            // Another leader released it, which takes that all ranks are armed.
            Phase::Arm { .. } if held.is_none() => {
                self.end(now_ms, Ended::Abandoned);
                return true;
            }
            Phase::Arm { .. } => None,
            Phase::Go { step } if held.is_none() && begun >= step => {
                self.end(now_ms, Ended::Switched);
                return true;
            }
            Phase::Go { .. } => None,
        };
        match next {
            Some(next) if next != self.phase => {
                match (&self.phase, &next) {
                    (_, Phase::Hold { .. }) => self.hold_at_ms = now_ms,
                    (Phase::Arm { .. }, Phase::Go { .. }) => self.learn_arming(now_ms),
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
    fn lead_passes(&self, now_ms: u64, begun: u64) -> u64 {
        let (first, first_ms) = self.prepare_began.unwrap_or((begun, now_ms));
        let passes = begun.saturating_sub(first) as f64;
        let elapsed_ms = now_ms.saturating_sub(first_ms).max(1) as f64;
        ((self.arming_ms * passes / elapsed_ms).ceil() as u64).clamp(1, MAX_LEAD_PASSES)
    }

    fn learn_arming(&mut self, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.hold_at_ms) as f64;
        self.arming_ms += ARMING_SMOOTHING * (took_ms - self.arming_ms);
    }

    /// What a group needs that another leader holds; nothing while the map in use is not known.
    fn take_over(&mut self, step: u64, all: &[&Observed]) -> Option<Phase> {
        if let Some((version, _)) = all[0].state.armed
            && are_armed(all, version, step)
        {
            return Some(Phase::Go { step });
        }
        self.map = Some(self.in_use.clone()?);
        Some(Phase::Recover { version: self.next_version(), step })
    }

    fn expire(&mut self, now_ms: u64) -> bool {
        let preparing = matches!(self.phase, Phase::Prepare { .. });
        let expired = preparing && now_ms > self.since_ms + PREPARE_LIMIT_MS;
        if expired {
            self.end(now_ms, Ended::Abandoned);
        }
        expired
    }

    fn orders(&mut self, now_ms: u64, ranks: &[Option<Observed>]) -> Vec<(usize, Order)> {
        let mut orders = Vec::new();
        for (rank, observed) in ranks.iter().enumerate() {
            let Some(observed) = observed.as_ref().filter(|o| o.state.epoch == self.epoch) else {
                continue;
            };
            let Some(action) = self.action(rank, &observed.state, ranks) else {
                continue;
            };
            let number = observed.state.orders;
            let repeated = self.sent[rank].as_ref().is_some_and(|sent| {
                // A rank that has begun an order since is copying the experts of the map.
                let is_copying = matches!(action, Action::Prepare { .. }) && number > sent.orders;
                let pause_ms = if is_copying { RESEND_PREPARE_MS } else { RESEND_MS };
                let is_same = sent.action == action && (is_copying || sent.orders == number);
                is_same && now_ms < sent.at_ms + pause_ms
            });
            if repeated || now_ms > observed.at_ms + STATE_LIFE_MS {
                continue;
            }
            self.sent[rank] = Some(Sent { orders: number, action: action.clone(), at_ms: now_ms });
            let (fence, epoch) = (self.fence, self.epoch);
            orders.push((rank, Order { fence, epoch, expected_orders: Some(number), action }));
        }
        orders
    }

    fn action(&self, rank: usize, state: &RankState, ranks: &[Option<Observed>]) -> Option<Action> {
        match self.phase {
            Phase::Idle => None,
            Phase::Prepare { version } => {
                let map = self.map.clone()?;
                let wanted = state.prepared_version != Some(version) && !state.busy;
                wanted.then_some(Action::Prepare { version, map })
            }
            Phase::Recover { version, .. } => {
                let is_held = state.held_step.is_some();
                let taken = |o: &Observed| o.state.held_step.is_some() && has_prepared(o, version);
                match state.armed {
                    _ if !is_held && !ranks.iter().flatten().any(taken) => None,
                    Some((armed, _)) => Some(Action::Disarm { version: armed }),
                    None => {
                        let map = self.map.clone()?;
                        let wanted = state.prepared_version != Some(version) && !state.busy;
                        wanted.then_some(Action::Prepare { version, map })
                    }
                }
            }
            Phase::Hold { step, .. } => {
                let wanted = rank == self.holder && state.held_step.is_none();
                wanted.then_some(Action::Hold { step })
            }
            Phase::Arm { version, step } => {
                let wanted = state.armed != Some((version, step));
                wanted.then_some(Action::Arm { version, step })
            }
            Phase::Go { step } => {
                let wanted = state.held_step == Some(step);
                wanted.then_some(Action::Go { step })
            }
        }
    }

    /// The states of all ranks, where each is known, recent, open and of the newest epoch.
    fn whole<'a>(&self, now_ms: u64, ranks: &'a [Option<Observed>]) -> Option<Vec<&'a Observed>> {
        let usable = |o: &Observed| {
            let recent = now_ms <= o.at_ms + STATE_LIFE_MS;
            recent && o.state.is_open && o.state.epoch == self.epoch
        };
        let states = ranks.iter().map(|o| o.as_ref().filter(|o| usable(o)));
        states.collect::<Option<Vec<_>>>().filter(|all| !all.is_empty())
    }

    fn enter(&mut self, now_ms: u64, phase: Phase) {
        self.phase = phase;
        self.since_ms = now_ms;
        self.sent.fill(None);
    }

    fn end(&mut self, now_ms: u64, ended: Ended) {
        self.ended = Some(ended);
        self.map = None;
        self.enter(now_ms, Phase::Idle);
    }
}

fn quiet(observed: &Observed) -> bool {
    let state = &observed.state;
    state.held_step.is_none() && state.armed.is_none() && !state.busy
}

fn are_armed(all: &[&Observed], version: u64, step: u64) -> bool {
    all.iter().all(|o| o.state.armed == Some((version, step)))
}

fn has_prepared(observed: &Observed, version: u64) -> bool {
    observed.state.prepared_version == Some(version)
}
