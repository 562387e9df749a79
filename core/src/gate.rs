//! The side's gate: decides which calls its backend takes, in which order, and which it remembers.
//!
//! All work for a backend passes its gate, so limits, fairness, de-duplication and tombstones are
//! exact here without agreement between entries.

use indexmap::IndexMap;

pub use crate::submission::{
    CallQuery, CallStatus, Command, Limits, LinkId, Refusal, Refused, Submission,
};

use crate::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use crate::queue::{FairQueue, QueuedCall};
use crate::ticket::{Minter, Ticket, TicketError, Unverified, Verified};

/// Time after the start of draining during which calls with an issued ticket are still taken.
pub const TICKET_DRAIN_MS: u64 = 2_000;

const US_PER_MS: u64 = 1_000;
const WORK_RATE_SMOOTHING: u64 = 8;
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
    retain_until_ms: u64,
    has_ticket: bool,
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
    pub fn retained(&self) -> usize {
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
    pub fn set_draining(&mut self, now_ms: u64, draining: bool) {
        self.draining_since_ms = match (draining, self.draining_since_ms) {
            (true, None) => Some(now_ms),
            (true, since) => since,
            (false, _) => None,
        };
    }

    /// Returns whether a draining side has nothing left to do.
    pub fn can_stop(&self, now_ms: u64) -> bool {
        let has_outstanding_tickets =
            self.last_mint_ms.is_some_and(|at| now_ms < at + TICKET_DRAIN_MS);
        self.is_draining() && !has_outstanding_tickets && self.running == 0 && self.queue.is_empty()
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
        if self.is_retention_full() {
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

    /// Notes that a link is gone; its idempotent calls are cancelled unless query for in time.
    pub fn link_lost(&mut self, now_ms: u64, link: LinkId) {
        let own = self.calls.values_mut().filter(|c| c.link == link && !c.has_ticket);
        own.for_each(|call| call.orphaned_at_ms = Some(now_ms));
    }

    /// Takes a call that an entry hands over.
    pub fn submit(&mut self, now_ms: u64, submission: Submission) -> Vec<Command> {
        let key = submission.key.clone();
        if self.is_stale(submission.link) {
            return vec![Command::Refuse(key, self.refused(Refusal::StaleLink))];
        }
        let ticket = match self.check_ticket(now_ms, &submission) {
            Ok(ticket) => ticket,
            Err(TicketError::Forged | TicketError::Malformed) => {
                return vec![Command::Refuse(key, self.refused(Refusal::Ticket))];
            }
            Err(error) => return vec![Command::OutcomeUnknown(key, error)],
        };
        if let Some(call) = self.calls.get_mut(&key) {
            call.orphaned_at_ms = None;
            call.link = submission.link;
            return match call.state {
                State::Tombstoned => {
                    vec![Command::Refuse(key, self.refused(Refusal::Tombstoned))]
                }
                _ => vec![Command::Attach(key)],
            };
        }
        match self.admit(now_ms, &submission, ticket.is_some()) {
            Ok(displaced) => self.accept(now_ms, submission, ticket, displaced),
            Err(reason) => vec![self.tombstone(now_ms, &submission, ticket.as_ref(), reason)],
        }
    }

    /// Answers what is known of a call, and tombstones one that is not.
    ///
    /// A has_ticket call is remembered for as long as its ticket is good. An idempotent one is
    /// remembered for the retention only; the asker has to know that it asks in time.
    pub fn query(&mut self, now_ms: u64, query: CallQuery, link: LinkId) -> CallStatus {
        if let Some(ticket) = query.ticket
            && let Err(error) = self.verify(now_ms, &query.key, &query.service, ticket)
        {
            let never_ran = matches!(error, TicketError::Forged | TicketError::Malformed);
            return if never_ran { CallStatus::NotRun } else { CallStatus::CannotTell };
        }
        if let Some(call) = self.calls.get_mut(&query.key) {
            call.orphaned_at_ms = None;
            call.link = link;
            return match call.state {
                State::Waiting | State::Running => CallStatus::Live,
                State::Done => CallStatus::Done,
                State::Tombstoned => CallStatus::NotRun,
            };
        }
        let retain_until_ms = now_ms + self.limits.retention_ms.max(self.minter.ttl_ms());
        self.insert_tombstone(query.key, retain_until_ms, link);
        CallStatus::NotRun
    }

    /// Gives up a call for its caller, or forgets an answered one; a has_ticket call goes on and is
    /// remembered.
    pub fn cancel(&mut self, now_ms: u64, key: &CallKey) -> Vec<Command> {
        let Some(call) = self.calls.get(key) else {
            return Vec::new();
        };
        match call.state {
            State::Waiting => {
                self.remove_queued(now_ms, key);
                vec![Command::Refuse(key.clone(), self.refused(Refusal::Tombstoned))]
            }
            State::Running if !call.has_ticket => vec![Command::Cancel(key.clone())],
            State::Done if !call.has_ticket => {
                self.calls.swap_remove(key);
                vec![Command::Evict(key.clone())]
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
        call.retain_until_ms = call.retain_until_ms.max(now_ms + self.limits.retention_ms);
        let work_tokens = u64::from(call.work_tokens);
        self.running -= 1;
        self.running_tokens -= work_tokens;
        self.update_work_rate(service_us / work_tokens.max(1));
        self.release_in_flight(&key.workspace);
        self.start_next(now_ms)
    }

    /// Expires deadlines, orphans and remembered calls.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = self.expire_waiting(now_ms);
        commands.extend(self.cancel_orphans(now_ms));
        commands.extend(self.evict_expired(now_ms));
        commands.extend(self.start_next(now_ms));
        commands
    }

    /// Whether no further call could be remembered; tombstones have room of their own.
    fn is_retention_full(&self) -> bool {
        self.calls.len() - self.tombstones >= self.limits.max_retained
    }

    fn is_stale(&self, link: LinkId) -> bool {
        self.generations.get(&link.entry).is_some_and(|&newest| link.generation < newest)
    }

    fn check_ticket(
        &self,
        now_ms: u64,
        submission: &Submission,
    ) -> Result<Option<Ticket<Verified>>, TicketError> {
        let verify = |ticket| self.verify(now_ms, &submission.key, &submission.service, ticket);
        submission.ticket.clone().map(verify).transpose()
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
        submission: &Submission,
        has_ticket: bool,
    ) -> Result<Option<CallKey>, Refusal> {
        let workspace = &submission.key.workspace;
        let in_flight = self.in_flight.get(workspace).copied().unwrap_or(0);
        match self.draining_since_ms {
            Some(_) if !has_ticket => return Err(Refusal::Draining),
            Some(since) if now_ms >= since + TICKET_DRAIN_MS => return Err(Refusal::Draining),
            _ => {}
        }
        if in_flight >= submission.workspace_limit {
            return Err(Refusal::WorkspaceLimit);
        }
        if self.is_retention_full() {
            return Err(Refusal::QueueFull);
        }
        if self.estimated_response_ms(submission) > submission.remaining_ms {
            return Err(Refusal::Deadline);
        }
        let has_room =
            self.running < self.limits.max_running || self.queue.len() < self.limits.max_queued;
        if has_room { Ok(None) } else { self.find_displaceable(submission).map(Some) }
    }

    /// Finds a waiting call of a heavier workspace whose place the newcomer takes.
    fn find_displaceable(&self, submission: &Submission) -> Result<CallKey, Refusal> {
        let own = self.queue.workspace_load(&submission.key.workspace);
        let (heaviest, load) = self.queue.most_loaded().ok_or(Refusal::QueueFull)?;
        if heaviest == submission.key.workspace || load <= own {
            return Err(Refusal::QueueFull);
        }
        self.queue.newest_call(&heaviest).ok_or(Refusal::QueueFull)
    }

    fn estimated_response_ms(&self, submission: &Submission) -> u64 {
        let own_us = u64::from(submission.work_tokens) * self.us_per_token;
        if self.running < self.limits.max_running {
            return own_us / US_PER_MS;
        }
        // A fair turn comes before the backlog of heavier workspaces is served.
        let ahead = self.fair_backlog_tokens(submission);
        let wait_us = ahead * self.us_per_token / self.limits.max_running as u64;
        (own_us + wait_us) / US_PER_MS
    }

    fn fair_backlog_tokens(&self, submission: &Submission) -> u64 {
        let half_running = self.running_tokens / 2;
        let own = self.queue.queued_count(&submission.key.workspace);
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
        submission: Submission,
        ticket: Option<Ticket<Verified>>,
        displaced: Option<CallKey>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if let Some(displaced) = displaced {
            self.remove_queued(now_ms, &displaced);
            commands.push(Command::Refuse(displaced, self.refused(Refusal::QueueFull)));
        }
        let key = submission.key.clone();
        let retain_until_ms = ticket.as_ref().map_or(0, Ticket::expires_ms);
        let has_ticket = ticket.is_some();
        let work_tokens = submission.work_tokens.max(1);
        *self.in_flight.entry(key.workspace.clone()).or_default() += 1;
        self.insert_call(
            key.clone(),
            State::Waiting,
            retain_until_ms,
            has_ticket,
            submission.link,
            work_tokens,
        );
        self.queue.push(QueuedCall {
            key: key.clone(),
            priority: submission.priority,
            work_tokens,
            weight: submission.weight,
            deadline_ms: now_ms.saturating_add(submission.remaining_ms),
            queued_at_ms: now_ms,
        });
        let started = self.start_next(now_ms);
        if !started.contains(&Command::Start(key.clone())) {
            commands.push(Command::Enqueue(key));
        }
        commands.extend(started);
        commands
    }

    fn start_next(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.running < self.limits.max_running
            && let Some(queued) = self.queue.pop(now_ms)
        {
            if let Some(call) = self.calls.get_mut(&queued.key) {
                call.state = State::Running;
            }
            self.running += 1;
            self.running_tokens += u64::from(queued.work_tokens);
            commands.push(Command::Start(queued.key));
        }
        commands
    }

    fn expire_waiting(&mut self, now_ms: u64) -> Vec<Command> {
        let late = self.queue.expire(now_ms);
        late.into_iter()
            .map(|queued| {
                self.mark_not_run(now_ms, &queued.key);
                Command::Refuse(queued.key, self.refused(Refusal::Deadline))
            })
            .collect()
    }

    fn cancel_orphans(&mut self, now_ms: u64) -> Vec<Command> {
        let orphan_ms = self.limits.orphan_ms;
        let lost = self.calls.iter().filter(|(_, c)| {
            !c.has_ticket && c.orphaned_at_ms.is_some_and(|at| now_ms >= at + orphan_ms)
        });
        let lost: Vec<(CallKey, State)> = lost.map(|(k, c)| (k.clone(), c.state)).collect();
        let mut commands = Vec::new();
        for (key, state) in lost {
            match state {
                State::Waiting => self.remove_queued(now_ms, &key),
                State::Running => commands.push(Command::Cancel(key.clone())),
                _ => {}
            }
            if let Some(call) = self.calls.get_mut(&key) {
                call.orphaned_at_ms = None;
            }
        }
        commands
    }

    fn evict_expired(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        let tombstones = &mut self.tombstones;
        self.calls.retain(|key, call| {
            let ended = matches!(call.state, State::Done | State::Tombstoned);
            let keep = !ended || call.retain_until_ms > now_ms;
            if !keep {
                *tombstones -= usize::from(call.state == State::Tombstoned);
                commands.push(Command::Evict(key.clone()));
            }
            keep
        });
        commands
    }

    fn remove_queued(&mut self, now_ms: u64, key: &CallKey) {
        if self.queue.remove(key).is_some() {
            self.mark_not_run(now_ms, key);
        }
    }

    fn mark_not_run(&mut self, now_ms: u64, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key) {
            call.state = State::Tombstoned;
            self.tombstones += 1;
            call.retain_until_ms = call.retain_until_ms.max(now_ms + self.limits.retention_ms);
        }
        self.release_in_flight(&key.workspace);
    }

    fn tombstone(
        &mut self,
        now_ms: u64,
        submission: &Submission,
        ticket: Option<&Ticket<Verified>>,
        reason: Refusal,
    ) -> Command {
        let retained_until_ms = now_ms + self.limits.retention_ms;
        let retain_until_ms = ticket.map_or(0, Ticket::expires_ms).max(retained_until_ms);
        let key = submission.key.clone();
        self.insert_tombstone(key.clone(), retain_until_ms, submission.link);
        Command::Refuse(key, self.refused(reason))
    }

    /// Remembers a tombstone while there is room; beyond that the void links of the entry keep
    /// late offers out.
    fn insert_tombstone(&mut self, key: CallKey, retain_until_ms: u64, link: LinkId) {
        if self.tombstones < self.limits.max_retained {
            self.tombstones += 1;
            self.insert_call(key, State::Tombstoned, retain_until_ms, false, link, 0);
        }
    }

    fn insert_call(
        &mut self,
        key: CallKey,
        state: State,
        retain_until_ms: u64,
        has_ticket: bool,
        link: LinkId,
        work_tokens: u32,
    ) {
        let call =
            Call { state, retain_until_ms, has_ticket, orphaned_at_ms: None, link, work_tokens };
        self.calls.insert(key, call);
    }

    fn release_in_flight(&mut self, workspace: &WorkspaceName) {
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count -= 1;
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    fn update_work_rate(&mut self, sample_us: u64) {
        let old = self.us_per_token * (WORK_RATE_SMOOTHING - 1);
        self.us_per_token = ((old + sample_us) / WORK_RATE_SMOOTHING).max(1);
    }

    fn refused(&self, reason: Refusal) -> Refused {
        let backlog_us = self.queue.work_tokens() * self.us_per_token;
        let backlog_ms = backlog_us / US_PER_MS / self.limits.max_running.max(1) as u64;
        Refused { reason, retry_after_ms: backlog_ms.max(MIN_RETRY_AFTER_MS) }
    }
}
