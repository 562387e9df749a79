//! Acceptance of expert map orders by one side of a group.
//!
//! A coordinator needs the promise of every side of the group to its ballot. A side refuses orders
//! under smaller ballots, which also protects engines that ignore fencing tokens. Every order names
//! the side's incarnation, so a restarted side never executes an order sent to the previous
//! process.

use derive_more::{Display, Error};

use crate::ids::Incarnation;

/// Number of one coordinator's attempt; the greater one takes precedence.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{round}.{owner:016x}")]
pub struct Ballot {
    /// Round, greater than every round the coordinator has observed.
    pub round: u64,
    /// Random id of the coordinator process, which keeps ballots unique.
    pub owner: u64,
}

/// Steps of a change, in order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// Promise to refuse smaller ballots.
    #[display("prepare")]
    Prepare,
    /// Load the weights of the new map in addition to the current ones.
    #[display("stage")]
    Stage,
    /// Stop all ranks at a step boundary.
    #[display("hold")]
    Hold,
    /// Use the new map.
    #[display("switch")]
    Switch,
    /// Report the map in use while held.
    #[display("confirm")]
    Confirm,
    /// Resume stepping.
    #[display("release")]
    Release,
}

impl Step {
    /// Returns the next step, or `None` after the last one.
    pub fn next(self) -> Option<Step> {
        match self {
            Step::Prepare => Some(Step::Stage),
            Step::Stage => Some(Step::Hold),
            Step::Hold => Some(Step::Switch),
            Step::Switch => Some(Step::Confirm),
            Step::Confirm => Some(Step::Release),
            Step::Release => None,
        }
    }
}

/// An order of a coordinator to one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Incarnation of the side that the order is for.
    pub incarnation: Incarnation,
    /// The coordinator's ballot.
    pub ballot: Ballot,
    /// Step to execute.
    pub step: Step,
    /// Version of the new map.
    pub map_version: u64,
}

/// Reason for refusing an order.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The order names another incarnation.
    #[display("the order is for another incarnation of the side")]
    Incarnation,
    /// The side has promised a greater ballot, or none yet.
    #[display("the side promised ballot {promised}")]
    Ballot {
        /// Ballot that the side has promised.
        promised: Ballot,
    },
    /// An earlier order may still be pending at the engine.
    #[display("an earlier order may still be at the engine")]
    Busy,
    /// A previous step is missing.
    #[display("step {step} is out of sequence")]
    Sequence {
        /// Step of the refused order.
        step: Step,
    },
}

/// Handling of an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the order to the engine and report its state.
    Execute,
    /// Only report the engine's state.
    Report,
}

/// Promises and progress of one side.
#[derive(Clone, Debug)]
pub struct Member {
    incarnation: Incarnation,
    promised: Ballot,
    completed: Option<Step>,
    busy: bool,
}

impl Member {
    /// Creates a side without a promise. It refuses all orders until `mark_settled`, because an
    /// order of the previous process may still be pending at the engine.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, promised: Ballot::default(), completed: None, busy: true }
    }

    /// Records that the engine has executed or dropped every order of the previous process.
    pub fn mark_settled(&mut self) {
        self.busy = false;
    }

    /// Returns the greatest promised ballot.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Checks an order. After `Action::Execute`, the engine's result has to be passed to
    /// `record_result`.
    ///
    /// # Errors
    ///
    /// Refuses orders that name another incarnation, that are under another ballot than the
    /// promised one, that are out of sequence, or that arrive while an earlier order has no result.
    pub fn receive(&mut self, order: Order) -> Result<Action, OrderError> {
        let promised = self.promised;
        match order.step {
            _ if order.incarnation != self.incarnation => Err(OrderError::Incarnation),
            _ if self.busy => Err(OrderError::Busy),
            Step::Prepare if order.ballot >= promised => {
                self.promise(order.ballot);
                Ok(Action::Report)
            }
            _ if order.ballot != promised => Err(OrderError::Ballot { promised }),
            step if Some(step) <= self.completed => Ok(Action::Report),
            step if self.completed.and_then(Step::next) != Some(step) => {
                Err(OrderError::Sequence { step })
            }
            Step::Confirm => {
                self.completed = Some(Step::Confirm);
                Ok(Action::Report)
            }
            _ => {
                self.busy = true;
                Ok(Action::Execute)
            }
        }
    }

    /// Records the engine's result for an executed order.
    pub fn record_result(&mut self, step: Step, success: bool) {
        self.busy = false;
        if success {
            self.completed = Some(step);
        }
    }

    fn promise(&mut self, ballot: Ballot) {
        if ballot > self.promised {
            self.promised = ballot;
            self.completed = None;
        }
        self.completed = self.completed.or(Some(Step::Prepare));
    }
}
