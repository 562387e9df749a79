//! One side's part in an expert map change of its group.
//!
//! A coordinator needs the promise of every side of the group to its ballot; a side refuses orders
//! under smaller ballots, also for engines that ignore fencing numbers. Every order names the
//! side's incarnation, so a restarted side never obeys orders meant for its predecessor.

use derive_more::{Display, Error};

use crate::ids::Incarnation;

/// Number of one coordinator's try; the greater one wins.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{round}.{owner:016x}")]
pub struct Ballot {
    /// Round, raised above every round seen.
    pub round: u64,
    /// Random id of the coordinator process, so that no two ballots are equal.
    pub owner: u64,
}

/// Steps of a change, in their order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// Promise to refuse smaller ballots.
    #[display("prepare")]
    Prepare,
    /// Load the weights of the new map beside the old ones.
    #[display("stage")]
    Stage,
    /// Stop all ranks at a step boundary.
    #[display("hold")]
    Hold,
    /// Use the new map.
    #[display("switch")]
    Switch,
    /// Report the map in use, while held.
    #[display("confirm")]
    Confirm,
    /// Go on stepping.
    #[display("release")]
    Release,
}

impl Step {
    /// Returns the step after this one.
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
    /// Step to take.
    pub step: Step,
    /// Version of the new map.
    pub map_version: u64,
}

/// Why a side does not obey.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The order is for another incarnation.
    #[display("the order is for another incarnation of the side")]
    Incarnation,
    /// The side promised a greater ballot, or none yet.
    #[display("the side promised ballot {promised}")]
    Ballot {
        /// Its promise.
        promised: Ballot,
    },
    /// An earlier order may still be at the engine.
    #[display("an earlier order may still be at the engine")]
    Busy,
    /// A step was left out.
    #[display("step {step} came before its turn")]
    Sequence {
        /// The step.
        step: Step,
    },
}

/// What a side does with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Give the order to the engine and report its state.
    Execute,
    /// Report the engine's state only.
    Report,
}

/// Promises of one side.
#[derive(Clone, Debug)]
pub struct Member {
    incarnation: Incarnation,
    promised: Ballot,
    completed: Option<Step>,
    busy: bool,
}

impl Member {
    /// Starts without a promise, and refuses all orders until `settled`: an order of the
    /// predecessor may still be at the engine.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, promised: Ballot::default(), completed: None, busy: true }
    }

    /// Notes that the engine has taken or dropped every order of the predecessor.
    pub fn mark_settled(&mut self) {
        self.busy = false;
    }

    /// Returns the greatest promised ballot.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Takes an order. After `Action::Execute` the engine's answer is told by `executed`.
    ///
    /// # Errors
    ///
    /// Refuses orders for another incarnation, under another ballot than the promised one, out of
    /// sequence, and while an earlier order has no answer.
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

    /// Notes the engine's answer to an executed order.
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
