//! Coordinates one expert map change of a group.
//!
//! Any process may coordinate at any time. A coordinator releases the group only after every side
//! has reported the same map while held under this coordinator's ballot. If a coordinator fails at
//! any point, the next one therefore finds the group either held or on one map.

use derive_more::Display;

use crate::group::{Ballot, Order, Step};
use crate::ids::Incarnation;

/// State of an engine, reported with each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineReport {
    /// Version of the map in use.
    pub map_version: u64,
    /// Newest version staged in addition to the map in use; 0 if none.
    pub staged_version: u64,
    /// Whether the ranks are held.
    pub held: bool,
}

/// A side's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderResponse {
    /// Index of the side.
    pub member: usize,
    /// The order's ballot.
    pub ballot: Ballot,
    /// The order's step.
    pub step: Step,
    /// Whether the side accepted the order.
    pub accepted: bool,
    /// Greatest ballot that the side has promised.
    pub promised: Ballot,
    /// State of the side's engine.
    pub report: EngineReport,
}

/// Purpose of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Goal {
    /// Switch the group to a new map.
    Switch {
        /// Version of the new map, greater than all earlier versions.
        map_version: u64,
    },
    /// Bring all sides to one map and release the group.
    Recover,
}

/// State of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Orders of this step are sent; not all sides have responded.
    #[display("{_0}")]
    Running(Step),
    /// All sides were released on one map.
    #[display("done")]
    Done,
    /// A side refused or was unreachable; a new attempt needs a round above this one.
    #[display("abandoned below round {_0}")]
    Abandoned(u64),
}

/// One attempt at a change.
#[derive(Clone, Debug)]
pub struct Coordinator {
    ballot: Ballot,
    goal: Goal,
    incarnations: Vec<Incarnation>,
    reports: Vec<Option<EngineReport>>,
    target_version: u64,
    phase: Phase,
}

impl Coordinator {
    /// Creates an attempt with the last reported incarnations of the sides.
    pub fn new(ballot: Ballot, goal: Goal, incarnations: Vec<Incarnation>) -> Self {
        let reports = vec![None; incarnations.len()];
        let phase = Phase::Running(Step::Prepare);
        Self { ballot, goal, incarnations, reports, target_version: 0, phase }
    }

    /// Returns the state of the change.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the version of the map that the group ends on; 0 before `Step::Prepare` completes.
    pub fn target_version(&self) -> u64 {
        self.target_version
    }

    /// Returns the orders that have no response yet, each with the index of its side.
    pub fn pending_orders(&self) -> Vec<(usize, Order)> {
        let Phase::Running(step) = self.phase else {
            return Vec::new();
        };
        let unanswered = self.reports.iter().enumerate().filter(|(_, r)| r.is_none());
        unanswered.map(|(member, _)| (member, self.order_for(member, step))).collect()
    }

    /// Handles a response and returns whether it led to new pending orders.
    pub fn handle_response(&mut self, response: OrderResponse) -> bool {
        if response.ballot != self.ballot || self.phase != Phase::Running(response.step) {
            return false;
        }
        if !response.accepted || !self.is_expected(response.step, response.report) {
            let round = response.promised.round.max(self.ballot.round);
            self.phase = Phase::Abandoned(round);
            return false;
        }
        self.reports[response.member] = Some(response.report);
        if self.reports.iter().any(Option::is_none) {
            return false;
        }
        self.advance(response.step);
        matches!(self.phase, Phase::Running(_))
    }

    /// Abandons the attempt because a side was replaced or cannot be reached.
    pub fn abandon(&mut self) {
        if let Phase::Running(_) = self.phase {
            self.phase = Phase::Abandoned(self.ballot.round);
        }
    }

    fn order_for(&self, member: usize, step: Step) -> Order {
        Order {
            incarnation: self.incarnations[member],
            ballot: self.ballot,
            step,
            map_version: self.target_version,
        }
    }

    fn is_expected(&self, step: Step, report: EngineReport) -> bool {
        match step {
            Step::Prepare | Step::Stage => true,
            Step::Hold => report.held,
            Step::Switch | Step::Confirm => {
                report.held && report.map_version == self.target_version
            }
            Step::Release => report.map_version == self.target_version,
        }
    }

    fn advance(&mut self, step: Step) {
        if step == Step::Prepare {
            self.target_version = self.choose_target_version();
        }
        self.phase = step.next().map_or(Phase::Done, Phase::Running);
        self.reports.fill(None);
    }

    fn choose_target_version(&self) -> u64 {
        let newest = self.reports.iter().flatten().map(|r| r.map_version).max().unwrap_or(0);
        match self.goal {
            Goal::Switch { map_version } if map_version > newest => map_version,
            _ => newest,
        }
    }
}
