//! The side's gate: decides which calls its backend takes, in which order, and which it remembers.
//!
//! All work for a backend passes its gate, so limits, fairness, de-duplication and tombstones are
//! exact here without agreement between entries.

use indexmap::IndexMap;

pub use crate::offer::{Asked, Command, Known, Limits, LinkId, Offer, Refusal, Refused};

use crate::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use crate::queue::{FairQueue, Waiting};
use crate::ticket::{Minter, Ticket, TicketError, Unverified, Verified};

/// Time after the start of draining during which calls with an issued ticket are still taken.
pub const TICKET_DRAIN_MS: u64 = 2_000;

const US_PER_MS: u64 = 1_000;
const RATE_SMOOTHING: u64 = 8;
const MIN_RETRY_AFTER_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Done,
    Tombstoned,
}

#[derive(Clone, Debug)]
struct Call {
    state: State,
    keep_until_ms: u64,
    ticketed: bool,
    orphaned_at_ms: Option<u64>,
    link: LinkId,
    work_tokens: u32,
}

/// Bookkeeping of one backend's calls.
pub struct Gate {
    minter: Minter,
    limits: Limits,
    incarnation: Incarnation,
    calls: IndexMap<CallKey, Call>,
    in_flight: IndexMap<WorkspaceName, usize>,
    generations: IndexMap<u64, u64>,
    queue: FairQueue,
    running: usize,
    running_tokens: u64,
    tombstones: usize,
    us_per_token: u64,
    draining_since_ms: Option<u64>,
    last_mint_ms: Option<u64>,
}

impl Gate {
    /// Creates an empty gate of one incarnation.
    pub fn new(incarnation: Incarnation, minter: Minter, limits: Limits) -> Self {
        Self {
            minter,
            limits,
            incarnation,
            calls: IndexMap::new(),
            in_flight: IndexMap::new(),
            generations: IndexMap::new(),
            queue: FairQueue::default(),
            running: 0,
            running_tokens: 0,
            tombstones: 0,
            us_per_token: limits.us_per_token.max(1),
            draining_since_ms: None,
            last_mint_ms: None,
        }
    }

    /// Returns the incarnation of this gate.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of calls that are remembered.
    pub fn remembered(&self) -> usize {
        self.calls.len()
    }

    /// Returns the work that waits or runs, in tokens.
    pub fn work_tokens(&self) -> u64 {
        self.queue.work_tokens() + self.running_tokens
    }

    /// Returns the smoothed time per token of work.
    pub fn us_per_token(&self) -> u64 {
        self.us_per_token
    }

    /// Returns whether the backend is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining_since_ms.is_some()
    }

    /// Starts or ends draining.
    pub fn drain(&mut self, now_ms: u64, drained: bool) {
        self.draining_since_ms = match (drained, self.draining_since_ms) {
            (true, None) => Some(now_ms),
            (true, since) => since,
            (false, _) => None,
        };
    }

    /// Returns whether a draining side has nothing left to do.
    pub fn can_stop(&self, now_ms: u64) -> bool {
        let tickets_out = self.last_mint_ms.is_some_and(|at| now_ms < at + TICKET_DRAIN_MS);
        self.is_draining() && !tickets_out && self.running == 0 && self.queue.is_empty()
    }

    /// Mints a ticket for a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Refuses while draining and where the call could not be remembered.
    pub fn mint(
        &mut self,
        now_ms: u64,
        workspace: &WorkspaceName,
        service: &str,
        request: RequestId,
    ) -> Result<Ticket<Verified>, Refused> {
        if self.is_draining() {
            return Err(self.refused(Refusal::Draining));
        }
        if self.is_memory_full() {
            return Err(self.refused(Refusal::QueueFull));
        }
        self.last_mint_ms = Some(now_ms);
        Ok(self.minter.mint(now_ms, workspace, service, request))
    }

    /// Notes that an entry opened a link; its older links are void from now on.
    pub fn link_opened(&mut self, link: LinkId) {
        let newest = self.generations.entry(link.entry).or_insert(link.generation);
        *newest = (*newest).max(link.generation);
    }

    /// Notes that a link is gone; its idempotent calls are cancelled unless asked for in time.
    pub fn link_lost(&mut self, now_ms: u64, link: LinkId) {
        let own = self.calls.values_mut().filter(|c| c.link == link && !c.ticketed);
        own.for_each(|call| call.orphaned_at_ms = Some(now_ms));
    }

    /// Takes a call that an entry hands over.
    pub fn offer(&mut self, now_ms: u64, offer: Offer) -> Vec<Command> {
        let key = offer.key.clone();
        if self.is_stale(offer.link) {
            return vec![Command::Refuse(key, self.refused(Refusal::StaleLink))];
        }
        let ticket = match self.check_ticket(now_ms, &offer) {
            Ok(ticket) => ticket,
            Err(TicketError::Forged | TicketError::Malformed) => {
                return vec![Command::Refuse(key, self.refused(Refusal::Ticket))];
            }
            Err(error) => return vec![Command::Unknown(key, error)],
        };
        if let Some(call) = self.calls.get_mut(&key) {
            call.orphaned_at_ms = None;
            call.link = offer.link;
            return match call.state {
                State::Tombstoned => {
                    vec![Command::Refuse(key, self.refused(Refusal::Tombstoned))]
                }
                _ => vec![Command::Attach(key)],
            };
        }
        match self.admit(now_ms, &offer, ticket.is_some()) {
            Ok(displaced) => self.accept(now_ms, offer, ticket, displaced),
            Err(reason) => vec![self.tombstone(now_ms, &offer, ticket.as_ref(), reason)],
        }
    }

    /// Answers what is known of a call, and tombstones one that is not.
    ///
    /// A ticketed call is remembered for as long as its ticket is good. An idempotent one is
    /// remembered for the retention only; the asker has to know that it asks in time.
    pub fn query(&mut self, now_ms: u64, asked: Asked, link: LinkId) -> Known {
        if let Some(ticket) = asked.ticket
            && let Err(error) = self.verify(now_ms, &asked.key, &asked.service, ticket)
        {
            let never_ran = matches!(error, TicketError::Forged | TicketError::Malformed);
            return if never_ran { Known::NotRun } else { Known::CannotTell };
        }
        if let Some(call) = self.calls.get_mut(&asked.key) {
            call.orphaned_at_ms = None;
            call.link = link;
            return match call.state {
                State::Waiting | State::Running => Known::Live,
                State::Done => Known::Done,
                State::Tombstoned => Known::NotRun,
            };
        }
        let keep_until_ms = now_ms + self.limits.retention_ms.max(self.minter.ttl_ms());
        self.remember_refused(asked.key, keep_until_ms, link);
        Known::NotRun
    }

    /// Gives up a call for its caller, or forgets an answered one; a ticketed call goes on and is
    /// remembered.
    pub fn cancel(&mut self, now_ms: u64, key: &CallKey) -> Vec<Command> {
        let Some(call) = self.calls.get(key) else {
            return Vec::new();
        };
        match call.state {
            State::Waiting => {
                self.unqueue(now_ms, key);
                vec![Command::Refuse(key.clone(), self.refused(Refusal::Tombstoned))]
            }
            State::Running if !call.ticketed => vec![Command::Stop(key.clone())],
            State::Done if !call.ticketed => {
                self.calls.swap_remove(key);
                vec![Command::Forget(key.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Notes the end of a running call and starts the next ones.
    pub fn finished(&mut self, now_ms: u64, key: &CallKey, service_us: u64) -> Vec<Command> {
        let Some(call) = self.calls.get_mut(key).filter(|c| c.state == State::Running) else {
            return Vec::new();
        };
        call.state = State::Done;
        call.keep_until_ms = call.keep_until_ms.max(now_ms + self.limits.retention_ms);
        let work_tokens = u64::from(call.work_tokens);
        self.running -= 1;
        self.running_tokens -= work_tokens;
        self.learn_rate(service_us / work_tokens.max(1));
        self.leave(&key.workspace);
        self.start_next(now_ms)
    }

    /// Expires deadlines, orphans and remembered calls.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = self.expire_waiting(now_ms);
        commands.extend(self.stop_orphans(now_ms));
        commands.extend(self.forget_old(now_ms));
        commands.extend(self.start_next(now_ms));
        commands
    }

    /// Whether no further call could be remembered; tombstones have room of their own.
    fn is_memory_full(&self) -> bool {
        self.calls.len() - self.tombstones >= self.limits.max_remembered
    }

    fn is_stale(&self, link: LinkId) -> bool {
        self.generations.get(&link.entry).is_some_and(|&newest| link.generation < newest)
    }

    fn check_ticket(
        &self,
        now_ms: u64,
        offer: &Offer,
    ) -> Result<Option<Ticket<Verified>>, TicketError> {
        let verify = |ticket| self.verify(now_ms, &offer.key, &offer.service, ticket);
        offer.ticket.clone().map(verify).transpose()
    }

    fn verify(
        &self,
        now_ms: u64,
        key: &CallKey,
        service: &str,
        ticket: Ticket<Unverified>,
    ) -> Result<Ticket<Verified>, TicketError> {
        if ticket.request() != key.request {
            return Err(TicketError::Forged);
        }
        self.minter.verify(now_ms, &key.workspace, service, ticket)
    }

    fn admit(
        &mut self,
        now_ms: u64,
        offer: &Offer,
        ticketed: bool,
    ) -> Result<Option<CallKey>, Refusal> {
        let workspace = &offer.key.workspace;
        let in_flight = self.in_flight.get(workspace).copied().unwrap_or(0);
        match self.draining_since_ms {
            Some(_) if !ticketed => return Err(Refusal::Draining),
            Some(since) if now_ms >= since + TICKET_DRAIN_MS => return Err(Refusal::Draining),
            _ => {}
        }
        if in_flight >= offer.workspace_limit {
            return Err(Refusal::WorkspaceLimit);
        }
        if self.is_memory_full() {
            return Err(Refusal::QueueFull);
        }
        if self.answer_in_ms(offer) > offer.remaining_ms {
            return Err(Refusal::Deadline);
        }
        let has_room =
            self.running < self.limits.max_running || self.queue.len() < self.limits.max_queued;
        if has_room { Ok(None) } else { self.displace(offer).map(Some) }
    }

    /// Finds a waiting call of a heavier workspace whose place the newcomer takes.
    fn displace(&self, offer: &Offer) -> Result<CallKey, Refusal> {
        let own = self.queue.load_of(&offer.key.workspace);
        let (heaviest, load) = self.queue.heaviest().ok_or(Refusal::QueueFull)?;
        if heaviest == offer.key.workspace || load <= own {
            return Err(Refusal::QueueFull);
        }
        self.queue.newest_of(&heaviest).ok_or(Refusal::QueueFull)
    }

    fn answer_in_ms(&self, offer: &Offer) -> u64 {
        let own_us = u64::from(offer.work_tokens) * self.us_per_token;
        if self.running < self.limits.max_running {
            return own_us / US_PER_MS;
        }
        // A fair turn comes before the backlog of heavier workspaces is served.
        let ahead = self.fair_backlog_tokens(offer);
        let wait_us = ahead * self.us_per_token / self.limits.max_running as u64;
        (own_us + wait_us) / US_PER_MS
    }

    fn fair_backlog_tokens(&self, offer: &Offer) -> u64 {
        let half_running = self.running_tokens / 2;
        let own = self.queue.waiting_of(&offer.key.workspace);
        let all = self.queue.len();
        match own {
            0 => half_running,
            own if own * 2 <= all => half_running + self.queue.work_tokens() / 2,
            _ => half_running + self.queue.work_tokens(),
        }
    }

    fn accept(
        &mut self,
        now_ms: u64,
        offer: Offer,
        ticket: Option<Ticket<Verified>>,
        displaced: Option<CallKey>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if let Some(loser) = displaced {
            self.unqueue(now_ms, &loser);
            commands.push(Command::Refuse(loser, self.refused(Refusal::QueueFull)));
        }
        let key = offer.key.clone();
        let keep_until_ms = ticket.as_ref().map_or(0, Ticket::expires_ms);
        let ticketed = ticket.is_some();
        let work_tokens = offer.work_tokens.max(1);
        *self.in_flight.entry(key.workspace.clone()).or_default() += 1;
        self.remember(
            key.clone(),
            State::Waiting,
            keep_until_ms,
            ticketed,
            offer.link,
            work_tokens,
        );
        self.queue.push(Waiting {
            key: key.clone(),
            priority: offer.priority,
            work_tokens,
            weight: offer.weight,
            deadline_ms: now_ms.saturating_add(offer.remaining_ms),
            since_ms: now_ms,
        });
        let started = self.start_next(now_ms);
        if !started.contains(&Command::Start(key.clone())) {
            commands.push(Command::Hold(key));
        }
        commands.extend(started);
        commands
    }

    fn start_next(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.running < self.limits.max_running
            && let Some(waiting) = self.queue.pop(now_ms)
        {
            if let Some(call) = self.calls.get_mut(&waiting.key) {
                call.state = State::Running;
            }
            self.running += 1;
            self.running_tokens += u64::from(waiting.work_tokens);
            commands.push(Command::Start(waiting.key));
        }
        commands
    }

    fn expire_waiting(&mut self, now_ms: u64) -> Vec<Command> {
        let late = self.queue.expire(now_ms);
        late.into_iter()
            .map(|waiting| {
                self.mark_not_run(now_ms, &waiting.key);
                Command::Refuse(waiting.key, self.refused(Refusal::Deadline))
            })
            .collect()
    }

    fn stop_orphans(&mut self, now_ms: u64) -> Vec<Command> {
        let orphan_ms = self.limits.orphan_ms;
        let lost = self.calls.iter().filter(|(_, c)| {
            !c.ticketed && c.orphaned_at_ms.is_some_and(|at| now_ms >= at + orphan_ms)
        });
        let lost: Vec<(CallKey, State)> = lost.map(|(k, c)| (k.clone(), c.state)).collect();
        let mut commands = Vec::new();
        for (key, state) in lost {
            match state {
                State::Waiting => self.unqueue(now_ms, &key),
                State::Running => commands.push(Command::Stop(key.clone())),
                _ => {}
            }
            if let Some(call) = self.calls.get_mut(&key) {
                call.orphaned_at_ms = None;
            }
        }
        commands
    }

    fn forget_old(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        let tombstones = &mut self.tombstones;
        self.calls.retain(|key, call| {
            let ended = matches!(call.state, State::Done | State::Tombstoned);
            let keep = !ended || call.keep_until_ms > now_ms;
            if !keep {
                *tombstones -= usize::from(call.state == State::Tombstoned);
                commands.push(Command::Forget(key.clone()));
            }
            keep
        });
        commands
    }

    fn unqueue(&mut self, now_ms: u64, key: &CallKey) {
        if self.queue.remove(key).is_some() {
            self.mark_not_run(now_ms, key);
        }
    }

    fn mark_not_run(&mut self, now_ms: u64, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key) {
            call.state = State::Tombstoned;
            self.tombstones += 1;
            call.keep_until_ms = call.keep_until_ms.max(now_ms + self.limits.retention_ms);
        }
        self.leave(&key.workspace);
    }

    fn tombstone(
        &mut self,
        now_ms: u64,
        offer: &Offer,
        ticket: Option<&Ticket<Verified>>,
        reason: Refusal,
    ) -> Command {
        let retained_ms = now_ms + self.limits.retention_ms;
        let keep_until_ms = ticket.map_or(0, Ticket::expires_ms).max(retained_ms);
        let key = offer.key.clone();
        self.remember_refused(key.clone(), keep_until_ms, offer.link);
        Command::Refuse(key, self.refused(reason))
    }

    /// Remembers a tombstone while there is room; beyond that the void links of the entry keep
    /// late offers out.
    fn remember_refused(&mut self, key: CallKey, keep_until_ms: u64, link: LinkId) {
        if self.tombstones < self.limits.max_remembered {
            self.tombstones += 1;
            self.remember(key, State::Tombstoned, keep_until_ms, false, link, 0);
        }
    }

    fn remember(
        &mut self,
        key: CallKey,
        state: State,
        keep_until_ms: u64,
        ticketed: bool,
        link: LinkId,
        work_tokens: u32,
    ) {
        let call = Call { state, keep_until_ms, ticketed, orphaned_at_ms: None, link, work_tokens };
        self.calls.insert(key, call);
    }

    fn leave(&mut self, workspace: &WorkspaceName) {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count -= 1;
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    fn learn_rate(&mut self, sample_us: u64) {
        let old = self.us_per_token * (RATE_SMOOTHING - 1);
        self.us_per_token = ((old + sample_us) / RATE_SMOOTHING).max(1);
    }

    fn refused(&self, reason: Refusal) -> Refused {
        let backlog_us = self.queue.work_tokens() * self.us_per_token;
        let drain_ms = backlog_us / US_PER_MS / self.limits.max_running.max(1) as u64;
        Refused { reason, retry_after_ms: drain_ms.max(MIN_RETRY_AFTER_MS) }
    }
}
