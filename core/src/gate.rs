//! Admission control of a side: decides which calls are admitted, in which order they run, and how
//! long they are retained.
//!
//! All work for a backend passes through its gate. Limits, fairness, de-duplication and tombstones
//! are therefore exact without coordination between entries.

use indexmap::IndexMap;

pub use crate::submission::{
    CallQuery, CallStatus, Command, Limits, LinkId, Refusal, Refused, Submission,
};

use crate::ids::{CallKey, Incarnation, RequestId, WorkspaceName};
use crate::queue::{FairQueue, QueuedCall};
use crate::ticket::{Minter, Ticket, TicketError, Unverified, Verified};

/// Time after the start of draining during which calls with a ticket are still admitted.
pub const TICKET_DRAIN_MS: u64 = 2_000;

/// Time after the end of a call during which a stopping side keeps its response, unless the entry
/// cancels the call. An entry takes a second to notice that its link is dead and to ask again.
pub const RESUME_DRAIN_MS: u64 = 2_000;

const US_PER_MS: u64 = 1_000;
/// Inverse weight of a new sample in the moving average of the time per token.
const WORK_RATE_SMOOTHING: u64 = 8;
const MIN_RETRY_AFTER_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
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
    ended_at_ms: Option<u64>,
    link: LinkId,
    work_tokens: u32,
}

/// Admission control and state of the calls of one backend.
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
    exit_at_ms: Option<u64>,
    is_closed: bool,
    last_mint_ms: Option<u64>,
}

impl Gate {
    /// Creates an empty gate for one incarnation of the side.
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
            exit_at_ms: None,
            is_closed: false,
            last_mint_ms: None,
        }
    }

    /// Returns the incarnation of the side.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of retained calls, including tombstones.
    pub fn retained(&self) -> usize {
        self.calls.len()
    }

    /// Returns the work of all queued and running calls in tokens.
    pub fn work_tokens(&self) -> u64 {
        self.queue.work_tokens() + self.running_tokens
    }

    /// Returns the moving average of the time per token of work.
    pub fn us_per_token(&self) -> u64 {
        self.us_per_token
    }

    /// Returns whether the side is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since_ms.is_some()
    }

    /// Starts or stops draining.
    pub fn set_draining(&mut self, now_ms: u64, draining: bool) {
        self.draining_since_ms = match (draining, self.draining_since_ms) {
            (true, None) => Some(now_ms),
            (true, since) => since,
            (false, _) => None,
        };
    }

    /// Returns whether the side is draining and has no calls left. Recently minted tickets keep it
    /// running, since their calls may still arrive.
    pub fn can_stop(&self, now_ms: u64) -> bool {
        let has_outstanding_tickets =
            self.last_mint_ms.is_some_and(|at| now_ms < at + TICKET_DRAIN_MS);
        self.is_draining() && !has_outstanding_tickets && self.running == 0 && self.queue.is_empty()
    }

    /// Sets the time at which the process exits in any case. Refuses queued calls whose deadline lies
    /// after it, and from then on admits none: the exit might cut them off while they run.
    pub fn set_exit(&mut self, now_ms: u64, exit_at_ms: u64) -> Vec<Command> {
        self.exit_at_ms = Some(exit_at_ms);
        let removed = self.queue.remove_due_after(exit_at_ms);
        self.refuse_removed(now_ms, removed, Refusal::Draining)
    }

    /// Closes the gate for good if the side can stop and no response has to be kept for an entry that
    /// lost its link. Returns whether it is closed: no call is admitted any more, so that the process
    /// can exit.
    pub fn close_if_idle(&mut self, now_ms: u64) -> bool {
        self.is_closed |= self.can_stop(now_ms) && !self.has_recent_responses(now_ms);
        self.is_closed
    }

    fn has_recent_responses(&self, now_ms: u64) -> bool {
        let is_recent =
            |call: &Call| call.ended_at_ms.is_some_and(|at| now_ms < at + RESUME_DRAIN_MS);
        self.calls.values().any(is_recent)
    }

    /// Mints a ticket for a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Refuses if the side is draining or cannot retain another call.
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

    /// Records that an entry opened a link. Submissions over its older links are refused from now
    /// on.
    pub fn link_opened(&mut self, link: LinkId) {
        let newest = self.generations.entry(link.entry).or_insert(link.generation);
        *newest = (*newest).max(link.generation);
    }

    /// Records the loss of a link. Its idempotent calls are cancelled after `orphan_ms` unless an
    /// entry queries or submits them again.
    pub fn link_lost(&mut self, now_ms: u64, link: LinkId) {
        let own = self.calls.values_mut().filter(|c| c.link == link && !c.has_ticket);
        own.for_each(|call| call.orphaned_at_ms = Some(now_ms));
    }

    /// Admits, attaches to or refuses a submitted call.
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

    /// Returns the state of a call. A call without a record is tombstoned, so that a delayed
    /// submission cannot run it.
    ///
    /// A ticketed call is retained until its ticket expires. An idempotent call is retained for the
    /// retention time only; the entry must not rely on `NotRun` after that time.
    pub fn query(&mut self, now_ms: u64, query: CallQuery, link: LinkId) -> CallStatus {
        if let Some(ticket) = query.ticket
            && let Err(error) = self.verify(now_ms, &query.key, &query.service, ticket)
        {
            let never_ran = matches!(error, TicketError::Forged | TicketError::Malformed);
            return if never_ran { CallStatus::NotRun } else { CallStatus::OutcomeUnknown };
        }
        if let Some(call) = self.calls.get_mut(&query.key) {
            call.orphaned_at_ms = None;
            call.link = link;
            return match call.state {
                State::Queued | State::Running => CallStatus::InFlight,
                State::Done => CallStatus::Done,
                State::Tombstoned => CallStatus::NotRun,
            };
        }
        let retain_until_ms = now_ms + self.limits.retention_ms.max(self.minter.ttl_ms());
        self.insert_tombstone(query.key, retain_until_ms, link);
        CallStatus::NotRun
    }

    /// Cancels a queued or idempotent running call, or evicts a finished idempotent call.
    ///
    /// A running or finished ticketed call is not affected.
    pub fn cancel(&mut self, now_ms: u64, key: &CallKey) -> Vec<Command> {
        let Some(call) = self.calls.get(key) else {
            return Vec::new();
        };
        match call.state {
            State::Queued => {
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

    /// Records the end of a running call and starts the next ones. `service_us` is its running
    /// time.
    pub fn finished(&mut self, now_ms: u64, key: &CallKey, service_us: u64) -> Vec<Command> {
        let Some(call) = self.calls.get_mut(key).filter(|c| c.state == State::Running) else {
            return Vec::new();
        };
        call.state = State::Done;
        call.ended_at_ms = Some(now_ms);
        call.retain_until_ms = call.retain_until_ms.max(now_ms + self.limits.retention_ms);
        let work_tokens = u64::from(call.work_tokens);
        self.running -= 1;
        self.running_tokens -= work_tokens;
        self.update_work_rate(service_us / work_tokens.max(1));
        self.release_in_flight(&key.workspace);
        self.start_next(now_ms)
    }

    /// Refuses queued calls past their deadline, cancels orphaned calls and evicts expired records.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = self.expire_queued(now_ms);
        commands.extend(self.cancel_orphans(now_ms));
        commands.extend(self.evict_expired(now_ms));
        commands.extend(self.start_next(now_ms));
        commands
    }

    /// Returns whether no further call can be retained. Tombstones do not count towards the limit.
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
            Some(_) if !has_ticket || self.is_closed => return Err(Refusal::Draining),
            Some(since) if now_ms >= since + TICKET_DRAIN_MS => return Err(Refusal::Draining),
            Some(_) if self.is_due_after_exit(now_ms, submission) => return Err(Refusal::Draining),
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
        let has_capacity =
            self.running < self.limits.max_running || self.queue.len() < self.limits.max_queued;
        if has_capacity { Ok(None) } else { self.find_displaceable(submission).map(Some) }
    }

    fn is_due_after_exit(&self, now_ms: u64, submission: &Submission) -> bool {
        let deadline_ms = now_ms.saturating_add(submission.remaining_ms);
        self.exit_at_ms.is_some_and(|exit_at_ms| deadline_ms > exit_at_ms)
    }

    /// Returns the newest queued call of the workspace with the most load, to be displaced by a
    /// call of a workspace with less load.
    fn find_displaceable(&self, submission: &Submission) -> Result<CallKey, Refusal> {
        let own_load = self.queue.workspace_load(&submission.key.workspace);
        let (most_loaded, load) = self.queue.most_loaded().ok_or(Refusal::QueueFull)?;
        if most_loaded == submission.key.workspace || load <= own_load {
            return Err(Refusal::QueueFull);
        }
        self.queue.newest_call(&most_loaded).ok_or(Refusal::QueueFull)
    }

    fn estimated_response_ms(&self, submission: &Submission) -> u64 {
        let own_us = u64::from(submission.work_tokens) * self.us_per_token;
        if self.running < self.limits.max_running {
            return own_us / US_PER_MS;
        }
        // Fair queueing starts this call before it has served the entire backlog of workspaces with
        // more load.
        let backlog_tokens = self.fair_backlog_tokens(submission);
        let wait_us = backlog_tokens * self.us_per_token / self.limits.max_running as u64;
        (own_us + wait_us) / US_PER_MS
    }

    fn fair_backlog_tokens(&self, submission: &Submission) -> u64 {
        let half_running = self.running_tokens / 2;
        let own_count = self.queue.queued_count(&submission.key.workspace);
        let total_count = self.queue.len();
        match own_count {
            0 => half_running,
            own_count if own_count * 2 <= total_count => {
                half_running + self.queue.work_tokens() / 2
            }
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
            State::Queued,
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

    fn expire_queued(&mut self, now_ms: u64) -> Vec<Command> {
        let expired = self.queue.expire(now_ms);
        self.refuse_removed(now_ms, expired, Refusal::Deadline)
    }

    fn refuse_removed(
        &mut self,
        now_ms: u64,
        removed: Vec<QueuedCall>,
        reason: Refusal,
    ) -> Vec<Command> {
        let refuse = |queued: QueuedCall| {
            self.mark_not_run(now_ms, &queued.key);
            Command::Refuse(queued.key, self.refused(reason))
        };
        removed.into_iter().map(refuse).collect()
    }

    fn cancel_orphans(&mut self, now_ms: u64) -> Vec<Command> {
        let orphan_ms = self.limits.orphan_ms;
        let orphaned = self.calls.iter().filter(|(_, c)| {
            !c.has_ticket && c.orphaned_at_ms.is_some_and(|at| now_ms >= at + orphan_ms)
        });
        let orphaned: Vec<(CallKey, State)> = orphaned.map(|(k, c)| (k.clone(), c.state)).collect();
        let mut commands = Vec::new();
        for (key, state) in orphaned {
            match state {
                State::Queued => self.remove_queued(now_ms, &key),
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
        let retention_end_ms = now_ms + self.limits.retention_ms;
        let retain_until_ms = ticket.map_or(0, Ticket::expires_ms).max(retention_end_ms);
        let key = submission.key.clone();
        self.insert_tombstone(key.clone(), retain_until_ms, submission.link);
        Command::Refuse(key, self.refused(reason))
    }

    /// Adds a tombstone unless the limit is reached. Beyond the limit, only the check for stale
    /// links rejects delayed submissions.
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
        let call = Call {
            state,
            retain_until_ms,
            has_ticket,
            orphaned_at_ms: None,
            ended_at_ms: None,
            link,
            work_tokens,
        };
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
