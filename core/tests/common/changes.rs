//! Simulated group for expert map changes: sides with engines, coordinators and their messages.

use currantlink_core::coordinator::{Coordinator, EngineReport, Goal, OrderResponse, Phase};
use currantlink_core::group::{Action, Ballot, Member, Order, Step};
use currantlink_core::ids::Incarnation;

pub const SIDES: usize = 3;
const MAX_STEPS: usize = 600;
const NEW_VERSION: u64 = 1;
const MAX_RECOVERIES: usize = 8;
const MAX_LEADERS: usize = 40;

/// Faults injected at a step of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The step's message is lost.
    Lose,
    /// The step's message is delivered a second time after a delay.
    Duplicate,
    /// The step's message is delivered after a delay.
    Delay,
    /// The engine executes the step's order only after the side's timeout.
    SlowEngine,
    /// The coordinator fails and another one recovers at once.
    CoordinatorDeath,
    /// The coordinator is paused, another one recovers, then the first one resumes.
    CoordinatorPause,
    /// A second coordinator starts its own change.
    Rival,
    /// The side of the step is replaced by a new process.
    SideRestart,
    /// All sides are replaced by new processes.
    AllRestart,
}

pub const FAULTS: [Fault; 9] = [
    Fault::Lose,
    Fault::Duplicate,
    Fault::Delay,
    Fault::SlowEngine,
    Fault::CoordinatorDeath,
    Fault::CoordinatorPause,
    Fault::Rival,
    Fault::SideRestart,
    Fault::AllRestart,
];

/// Step, fault, and the delay in steps until the affected message or coordinator continues.
pub type FaultAt = (usize, Fault, usize);

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    map_version: u64,
    staged: [bool; 8],
    held: bool,
    fence: u64,
}

struct Side {
    member: Member,
    incarnation: Incarnation,
    engine: Engine,
    is_engine_slow: bool,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Order { coordinator: usize, member: usize, order: Order },
    OrderResponse { coordinator: usize, response: OrderResponse },
    Resume { coordinator: usize },
    LateOrder { member: usize, incarnation: Incarnation, order: Order },
    Settled { member: usize, incarnation: Incarnation },
}

struct Leader {
    coordinator: Coordinator,
    is_alive: bool,
    is_paused: bool,
}

pub struct Group {
    sides: Vec<Side>,
    leaders: Vec<Leader>,
    messages: Vec<Message>,
    /// Messages with the step at which they are due.
    delayed: Vec<(usize, Message)>,
    now_step: usize,
    delay_steps: usize,
    /// Responses to paused leaders, each with the index of its leader.
    queued_responses: Vec<(usize, OrderResponse)>,
    checks_fence: bool,
    round: u64,
    last_incarnation: u64,
    mixed_steps: u64,
    steps: u64,
}

impl Group {
    pub fn new(checks_fence: bool) -> Self {
        let sides = (0..SIDES).map(|index| {
            let incarnation = Incarnation(index as u64 + 1);
            let mut member = Member::new(incarnation);
            member.mark_settled();
            Side { member, incarnation, engine: Engine::default(), is_engine_slow: false }
        });
        Self {
            sides: sides.collect(),
            leaders: Vec::new(),
            messages: Vec::new(),
            delayed: Vec::new(),
            now_step: 0,
            delay_steps: 0,
            queued_responses: Vec::new(),
            checks_fence,
            round: 0,
            last_incarnation: SIDES as u64,
            mixed_steps: 0,
            steps: 0,
        }
    }

    /// Makes one change with the given faults, then recovers. Returns the number of steps of the
    /// change.
    pub fn run(&mut self, faults: &[FaultAt], mut order: impl FnMut(usize) -> usize) -> usize {
        self.start_leader(Goal::Switch { map_version: NEW_VERSION });
        while self.now_step < MAX_STEPS {
            self.deliver_due();
            if self.messages.is_empty() {
                break;
            }
            let index = order(self.messages.len()) % self.messages.len();
            let message = self.messages.remove(index);
            let now = self.now_step;
            let faults: Vec<_> = faults.iter().filter(|fault| fault.0 == now).copied().collect();
            self.step(message, &faults);
            self.now_step += 1;
        }
        let steps = self.now_step;
        self.final_recovery(&mut order);
        steps
    }

    /// Moves due messages to the front; if no other message is left, advances to the next due time.
    fn deliver_due(&mut self) {
        if self.messages.is_empty()
            && let Some(first) = self.delayed.iter().map(|(due, _)| *due).min()
        {
            self.now_step = self.now_step.max(first);
        }
        let now = self.now_step;
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|l| l.0 <= now);
        self.delayed = later;
        let due: Vec<(usize, Message)> = due;
        self.messages.splice(0..0, due.into_iter().map(|(_, message)| message));
    }

    fn schedule(&mut self, message: Message) {
        self.delayed.push((self.now_step + self.delay_steps, message));
    }

    /// Returns a description of the violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        if self.mixed_steps > 0 {
            return Some(format!("{} steps with different maps", self.mixed_steps));
        }
        let held = self.sides.iter().filter(|s| s.engine.held).count();
        if held > 0 {
            return Some(format!("{held} sides stay held after recovery"));
        }
        None
    }

    fn start_leader(&mut self, goal: Goal) {
        if self.leaders.len() >= MAX_LEADERS + MAX_RECOVERIES {
            return;
        }
        self.round += 1;
        let ballot = Ballot { round: self.round, owner: self.leaders.len() as u64 + 1 };
        let incarnations = self.sides.iter().map(|s| s.incarnation).collect();
        let coordinator = Coordinator::new(ballot, goal, incarnations);
        self.leaders.push(Leader { coordinator, is_alive: true, is_paused: false });
        self.send_pending(self.leaders.len() - 1);
    }

    fn send_pending(&mut self, leader: usize) {
        let pending = self.leaders[leader].coordinator.pending_orders();
        let orders = pending.into_iter().map(|(member, order)| Message::Order {
            coordinator: leader,
            member,
            order,
        });
        self.messages.extend(orders);
    }

    fn step(&mut self, message: Message, faults: &[FaultAt]) {
        let (leader, side) = match message {
            Message::Order { coordinator, member, .. } => (coordinator, member),
            Message::OrderResponse { coordinator, response } => (coordinator, response.member),
            Message::Resume { coordinator } => (coordinator, 0),
            Message::LateOrder { member, .. } | Message::Settled { member, .. } => (0, member),
        };
        let is_link = matches!(message, Message::Order { .. } | Message::OrderResponse { .. });
        let mut lost = false;
        for &(_, fault, delay) in faults {
            self.delay_steps = delay;
            match fault {
                Fault::Lose => lost = is_link,
                Fault::Duplicate if is_link => self.schedule(message),
                Fault::Delay if is_link => {
                    self.schedule(message);
                    lost = true;
                }
                Fault::Duplicate | Fault::Delay => {}
                Fault::SlowEngine => self.sides[side].is_engine_slow = true,
                Fault::CoordinatorDeath => {
                    self.leaders[leader].is_alive = false;
                    self.start_leader(Goal::Recover);
                }
                Fault::CoordinatorPause => {
                    self.leaders[leader].is_paused = true;
                    self.schedule(Message::Resume { coordinator: leader });
                    self.start_leader(Goal::Recover);
                }
                Fault::Rival => self.start_leader(Goal::Switch { map_version: 2 }),
                Fault::SideRestart => self.restart(side),
                Fault::AllRestart => (0..SIDES).for_each(|s| self.restart(s)),
            }
        }
        if lost {
            self.time_out(leader);
        } else {
            self.deliver(message);
        }
        self.step_ranks();
    }

    /// Handles a timeout of the coordinator: the attempt is abandoned and the group recovered.
    fn time_out(&mut self, leader: usize) {
        if self.leaders[leader].is_alive
            && matches!(self.leaders[leader].coordinator.phase(), Phase::Running(_))
        {
            self.leaders[leader].coordinator.abandon();
            self.start_leader(Goal::Recover);
        }
    }

    fn restart(&mut self, side: usize) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        self.sides[side].incarnation = incarnation;
        self.sides[side].member = Member::new(incarnation);
        self.sides[side].is_engine_slow = false;
        let orders = self.delayed.iter().filter(
            |(_, message)| matches!(message, Message::LateOrder { member, .. } if *member == side),
        );
        let settled_at = orders.map(|(due, _)| due + 1).max();
        let settled = Message::Settled { member: side, incarnation };
        match settled_at {
            Some(due) => self.delayed.push((due, settled)),
            None => self.deliver(settled),
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order { coordinator, member, order } => {
                if let Some(response) = self.execute_order(member, order) {
                    self.messages.push(Message::OrderResponse { coordinator, response });
                } else {
                    self.time_out(coordinator);
                }
            }
            Message::OrderResponse { coordinator, response } => {
                self.receive_response(coordinator, response)
            }
            Message::Resume { coordinator } => self.resume(coordinator),
            Message::Settled { member, incarnation } => {
                if self.sides[member].incarnation == incarnation {
                    self.sides[member].member.mark_settled();
                }
            }
            Message::LateOrder { member, incarnation, order } => {
                let checks_fence = self.checks_fence;
                let side = &mut self.sides[member];
                side.engine.execute(order, checks_fence);
                if side.incarnation == incarnation {
                    side.member.record_result(order.step, false);
                }
            }
        }
    }

    fn receive_response(&mut self, leader: usize, response: OrderResponse) {
        if !self.leaders[leader].is_alive {
            return;
        }
        if self.leaders[leader].is_paused {
            self.queued_responses.push((leader, response));
            return;
        }
        let before = self.leaders[leader].coordinator.phase();
        let more = self.leaders[leader].coordinator.handle_response(response);
        match self.leaders[leader].coordinator.phase() {
            Phase::Abandoned(seen) if before != Phase::Abandoned(seen) => {
                self.round = self.round.max(seen);
                let busy = self.leaders[leader + 1..].iter().any(|l| l.is_alive && !l.is_paused);
                if !busy && self.leaders.len() < MAX_LEADERS {
                    self.start_leader(Goal::Recover);
                }
            }
            _ if more => self.send_pending(leader),
            _ => {}
        }
    }

    /// Resumes a paused coordinator with the responses that arrived meanwhile.
    fn resume(&mut self, leader: usize) {
        self.leaders[leader].is_paused = false;
        let (own, others) =
            std::mem::take(&mut self.queued_responses).into_iter().partition(|(l, _)| *l == leader);
        self.queued_responses = others;
        let own: Vec<(usize, OrderResponse)> = own;
        own.into_iter().for_each(|(leader, response)| self.receive_response(leader, response));
    }

    /// Executes an order and returns the response, or `None` if the engine does not respond in time.
    fn execute_order(&mut self, index: usize, order: Order) -> Option<OrderResponse> {
        let checks_fence = self.checks_fence;
        let side = &mut self.sides[index];
        let accepted = match side.member.receive(order) {
            Ok(Action::Report) => true,
            Ok(Action::Execute) if side.is_engine_slow => {
                side.is_engine_slow = false;
                let incarnation = side.incarnation;
                self.schedule(Message::LateOrder { member: index, incarnation, order });
                return None;
            }
            Ok(Action::Execute) => {
                let done = side.engine.execute(order, checks_fence);
                side.member.record_result(order.step, done);
                done
            }
            Err(_) => false,
        };
        let promised = side.member.promised();
        let fence = Ballot { round: side.engine.fence, owner: 0 };
        Some(OrderResponse {
            member: index,
            ballot: order.ballot,
            step: order.step,
            accepted,
            promised: if checks_fence { promised.max(fence) } else { promised },
            report: side.engine.report(),
        })
    }

    /// Makes one step of the ranks, unless one of them is held.
    fn step_ranks(&mut self) {
        if self.sides.iter().any(|s| s.engine.held) {
            return;
        }
        self.steps += 1;
        let first = self.sides[0].engine.map_version;
        self.mixed_steps += u64::from(self.sides.iter().any(|s| s.engine.map_version != first));
    }

    /// Delivers the delayed messages, then recovers without faults until no side is held.
    fn final_recovery(&mut self, order: &mut impl FnMut(usize) -> usize) {
        self.messages.clear();
        self.delayed.sort_by_key(|(due, _)| *due);
        for (_, message) in std::mem::take(&mut self.delayed) {
            self.deliver(message);
            self.step_ranks();
        }
        self.messages.clear();
        for _ in 0..MAX_RECOVERIES {
            if self.sides.iter().all(|s| !s.engine.held) {
                return;
            }
            self.leaders.iter_mut().for_each(|leader| leader.is_alive = false);
            self.start_leader(Goal::Recover);
            while !self.messages.is_empty() {
                let index = order(self.messages.len()) % self.messages.len();
                let message = self.messages.remove(index);
                self.step(message, &[]);
            }
        }
    }

    /// Returns the map version in use if it is the same on all sides.
    pub fn version(&self) -> Option<u64> {
        let first = self.sides[0].engine.map_version;
        self.sides.iter().all(|s| s.engine.map_version == first).then_some(first)
    }
}

impl Engine {
    fn execute(&mut self, order: Order, checks_fence: bool) -> bool {
        if checks_fence && order.ballot.round < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.ballot.round);
        let version = order.map_version as usize;
        match order.step {
            Step::Stage => self.staged[version] = true,
            Step::Hold => self.held = true,
            Step::Switch if version == 0 || self.staged[version] => {
                self.map_version = order.map_version;
            }
            Step::Switch => {}
            Step::Release => self.held = false,
            Step::Prepare | Step::Confirm => {}
        }
        true
    }

    fn report(&self) -> EngineReport {
        let staged_version = (0..8).rev().find(|&v| self.staged[v]).unwrap_or(0) as u64;
        EngineReport { map_version: self.map_version, staged_version, held: self.held }
    }
}
