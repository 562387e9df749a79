//! Simulates routing and admission with small backends in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use currantlink_core::attempt::{AttemptEnd, Attempts, NextAction, RunPolicy};
use currantlink_core::budget::RetryBudget;
use currantlink_core::gate::{Command, Gate, Limits, LinkId, Submission};
use currantlink_core::health::Health;
use currantlink_core::ids::{
    BackendKey, CallKey, Incarnation, RequestId, WorkspaceKey, WorkspaceName,
};
use currantlink_core::prefix::{BLOCK_BYTES, PrefixHashes, PrefixTable};
use currantlink_core::router::{Candidate, choose};
use currantlink_core::ticket::Minter;
use hdrhistogram::Histogram;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;

use crate::args::Routing;
use crate::error::BenchError;
use crate::output;

const BACKENDS: usize = 12;
const ENTRIES: usize = 4;
const SLOTS: usize = 8;
const US_PER_TOKEN: u64 = 1_000;
const MEAN_TOKENS: f64 = 100.0;
const TOKEN_SIGMA: f64 = 0.5;
const DEADLINE_MS: u64 = 2_000;
const REPORT_INTERVAL_US: u64 = 100_000;
const TICK_INTERVAL_US: u64 = 20_000;
const NETWORK_DELAY_US: u64 = 500;
const SPREAD_WORKSPACES: usize = 40;
const BUSY_WORKSPACES: usize = 3;
/// Share of the requests that busy workspaces send.
const BUSY_SHARE: f64 = 0.8;
/// Number of prompt prefixes per workspace.
const PREFIXES: usize = 4;
/// Number of prompt prefixes that a backend caches.
const CACHED_PREFIXES: usize = 24;
/// Share of the work of a request that a cached prompt prefix saves.
const CACHE_SAVING_SHARE: f64 = 0.4;
const RETRY_PERCENT: u32 = 10;
const SLOWDOWN_FACTOR: u64 = 10;
const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1e6;
const MAX_LATENCY_US: u64 = 600_000_000;

/// Policy that chooses a backend for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutingPolicy {
    Currantlink,
    Random,
    RoundRobin,
    LeastReported,
}

const POLICIES: [(&str, RoutingPolicy); 4] = [
    ("currantlink", RoutingPolicy::Currantlink),
    ("random", RoutingPolicy::Random),
    ("round-robin", RoutingPolicy::RoundRobin),
    ("least-reported", RoutingPolicy::LeastReported),
];

/// Load and faults of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scenario {
    name: &'static str,
    /// Offered work over the capacity of all backends.
    load: f64,
    /// Whether one backend becomes slower after a third of the time.
    slow_backend: bool,
    /// Whether one backend fails after a third of the time.
    failing_backend: bool,
    /// Whether the set of busy workspaces changes during the simulation.
    shifting: bool,
    /// Whether only the workspaces that send few requests are active.
    quiet_only: bool,
}

const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.7,
    slow_backend: false,
    failing_backend: false,
    shifting: false,
    quiet_only: false,
};

const SCENARIOS: [Scenario; 7] = [
    STEADY,
    Scenario { name: "shifting", shifting: true, ..STEADY },
    Scenario { name: "slow-backend", slow_backend: true, ..STEADY },
    Scenario { name: "dying-backend", failing_backend: true, ..STEADY },
    Scenario { name: "saturated", load: 1.4, ..STEADY },
    Scenario { name: "overload", load: 2.0, ..STEADY },
    Scenario { name: "quiet-alone", quiet_only: true, ..STEADY },
];

/// Result of one policy in one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    scenario: &'static str,
    policy: &'static str,
    requests: u64,
    /// Share of requests with a response before their deadline.
    in_time: f64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    /// Busy time of the busiest backend over the mean.
    max_over_mean: f64,
    cache_hits: f64,
    retries: u64,
    /// Lowest `in_time` of a workspace that sends few requests.
    quiet_in_time: f64,
    quiet_p99_ms: f64,
    /// Work completed before its deadline over the capacity of all backends.
    goodput: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Submit { request: usize, backend: usize },
    Finish { request: usize, backend: usize, incarnation: u64 },
    Refused { request: usize, backend: usize, retry_after_ms: u64 },
    IncarnationLost { request: usize, backend: usize },
    Response { request: usize, backend: usize },
    SendReport { backend: usize },
    ReceiveReport { backend: usize, tokens: u64, us_per_token: u64, received: [u64; ENTRIES] },
    Tick,
    Fault,
    Shift,
}

struct Request {
    workspace: usize,
    entry: usize,
    prompt: usize,
    tokens: u32,
    started_us: u64,
    attempts: Attempts,
    tried: Vec<BackendKey>,
    prefixes: PrefixHashes,
    is_finished: bool,
}

struct Backend {
    gate: Gate,
    failed: bool,
    slowdown: u64,
    busy_us: u64,
    /// Cached prompt prefixes as (workspace, prompt), least recently used first.
    cached: IndexSet<(usize, usize)>,
    calls: IndexMap<RequestId, usize>,
    received: [u64; ENTRIES],
}

struct Entry {
    health: Health,
    prefixes: PrefixTable,
    budget: RetryBudget,
    /// Last reported tokens of work and microseconds per token, by backend.
    reported: Vec<(u64, u64)>,
    reported_at_ms: Vec<u64>,
    /// Total tokens of work sent to each backend.
    sent: Vec<u64>,
    /// Tokens of work that each backend had received from this entry, as of its last report.
    received: Vec<u64>,
    next: usize,
}

struct Simulation {
    scenario: Scenario,
    policy: RoutingPolicy,
    lag_us: u64,
    end_us: u64,
    rng: StdRng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    backends: Vec<Backend>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    workspace_names: Vec<WorkspaceName>,
    /// First of the `BUSY_WORKSPACES` consecutive workspaces that send most of the requests.
    busy_from: usize,
    latency: Histogram<u64>,
    quiet_latency: Histogram<u64>,
    sent_by_workspace: Vec<u64>,
    in_time_by_workspace: Vec<u64>,
    in_time_tokens: u64,
    cache_hits: u64,
    retries: u64,
}

/// Runs all scenarios with every policy and prints one line for each.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn run(options: &Routing) -> Result<(), BenchError> {
    for scenario in SCENARIOS {
        for (name, policy) in POLICIES {
            let report = measure(options, scenario, name, policy);
            print(&report, options.json)?;
        }
    }
    Ok(())
}

fn measure(
    options: &Routing,
    scenario: Scenario,
    name: &'static str,
    policy: RoutingPolicy,
) -> Report {
    let mut simulation = Simulation::new(options, scenario, policy);
    simulation.run();
    simulation.report(name)
}

fn histogram() -> Histogram<u64> {
    #[allow(clippy::expect_used)]
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order")
}

fn gate(backend: usize) -> Gate {
    let incarnation = Incarnation(backend as u64 + 1);
    let limits = Limits {
        max_running: SLOTS,
        max_queued: 64,
        max_retained: 4_096,
        retention_ms: 1_000,
        orphan_ms: 1_000,
        us_per_token: US_PER_TOKEN,
    };
    Gate::new(incarnation, Minter::new(incarnation, "backend", [1; 32], 1_000), limits)
}

impl Simulation {
    fn new(options: &Routing, scenario: Scenario, policy: RoutingPolicy) -> Self {
        let backends = (0..BACKENDS).map(|backend| Backend {
            gate: gate(backend),
            failed: false,
            slowdown: 1,
            busy_us: 0,
            cached: IndexSet::new(),
            calls: IndexMap::new(),
            received: [0; ENTRIES],
        });
        let entries = (0..ENTRIES).map(|_| Entry {
            health: Health::default(),
            prefixes: PrefixTable::default(),
            budget: RetryBudget::new(RETRY_PERCENT),
            reported: vec![(0, US_PER_TOKEN); BACKENDS],
            reported_at_ms: vec![0; BACKENDS],
            sent: vec![0; BACKENDS],
            received: vec![0; BACKENDS],
            next: 0,
        });
        let workspace_names: Vec<WorkspaceName> = (0..SPREAD_WORKSPACES)
            .map(|n| WorkspaceName::from(format!("workspace-{n}").as_str()))
            .collect();
        Self {
            scenario,
            policy,
            lag_us: options.lag_ms * US_PER_MS,
            end_us: options.seconds * US_PER_S as u64,
            rng: StdRng::seed_from_u64(options.seed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            backends: backends.collect(),
            entries: entries.collect(),
            requests: Vec::new(),
            sent_by_workspace: vec![0; workspace_names.len()],
            in_time_by_workspace: vec![0; workspace_names.len()],
            workspace_names,
            busy_from: 0,
            latency: histogram(),
            quiet_latency: histogram(),
            in_time_tokens: 0,
            cache_hits: 0,
            retries: 0,
        }
    }

    fn run(&mut self) {
        self.schedule(0, Event::Arrive);
        self.schedule(TICK_INTERVAL_US, Event::Tick);
        self.schedule(self.end_us / 3, Event::Fault);
        self.schedule(self.end_us / 6, Event::Shift);
        for backend in 0..BACKENDS {
            let phase = REPORT_INTERVAL_US * backend as u64 / BACKENDS as u64;
            self.schedule(phase, Event::SendReport { backend });
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle_event(event);
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn handle_event(&mut self, event: Event) {
        let over = self.now_us >= self.end_us;
        match event {
            Event::Arrive if over => {}
            Event::Arrive => self.receive_request(),
            Event::Submit { request, backend } => self.submit(request, backend),
            Event::Finish { request, backend, incarnation } => {
                self.finish_request(request, backend, incarnation)
            }
            Event::Refused { request, backend, retry_after_ms } => {
                let reason = currantlink_core::gate::Refusal::QueueFull;
                let _ = backend;
                self.attempt_ended(request, AttemptEnd::Refused { reason, retry_after_ms });
            }
            Event::IncarnationLost { request, backend } => {
                let now_ms = self.now_ms();
                let entry = &mut self.entries[self.requests[request].entry];
                entry.health.record_failure(now_ms, BackendKey(backend as u32));
                self.attempt_ended(request, AttemptEnd::IncarnationLost);
            }
            Event::Response { request, backend } => self.receive_response(request, backend),
            Event::SendReport { backend } => self.report_load(backend, over),
            Event::ReceiveReport { backend, tokens, us_per_token, received } => {
                let at_ms = (self.now_us - self.lag_us) / US_PER_MS;
                for (entry, received) in self.entries.iter_mut().zip(received) {
                    entry.reported[backend] = (tokens, us_per_token);
                    entry.reported_at_ms[backend] = at_ms;
                    entry.received[backend] = received;
                }
            }
            Event::Tick => self.tick(over),
            Event::Fault => self.inject_fault(),
            Event::Shift if over || !self.scenario.shifting => {}
            Event::Shift => {
                self.busy_from = (self.busy_from + BUSY_WORKSPACES) % SPREAD_WORKSPACES;
                self.schedule(self.end_us / 6, Event::Shift);
            }
        }
    }

    fn receive_request(&mut self) {
        let quiet_only = self.scenario.quiet_only;
        let capacity = BACKENDS as f64 * SLOTS as f64 / (MEAN_TOKENS * US_PER_TOKEN as f64);
        let share = if quiet_only { 1.0 - BUSY_SHARE } else { 1.0 };
        let rate = capacity * self.scenario.load * share;
        if let Ok(gaps) = Exp::new(rate) {
            let gap = gaps.sample(&mut self.rng);
            self.schedule(gap as u64 + 1, Event::Arrive);
        }
        let busy = !quiet_only && self.rng.random::<f64>() < BUSY_SHARE;
        let workspace = if busy {
            (self.busy_from + self.rng.random_range(0..BUSY_WORKSPACES)) % SPREAD_WORKSPACES
        } else {
            self.rng.random_range(0..SPREAD_WORKSPACES)
        };
        let prompt = self.rng.random_range(0..PREFIXES);
        let mean_log = MEAN_TOKENS.ln() - TOKEN_SIGMA * TOKEN_SIGMA / 2.0;
        let tokens = match LogNormal::new(mean_log, TOKEN_SIGMA) {
            Ok(lengths) => lengths.sample(&mut self.rng).clamp(5.0, 1_000.0) as u32,
            Err(_) => MEAN_TOKENS as u32,
        };
        let text = vec![prompt as u8; BLOCK_BYTES * 2];
        let request = Request {
            workspace,
            entry: self.rng.random_range(0..ENTRIES),
            prompt,
            tokens,
            started_us: self.now_us,
            attempts: Attempts::new(RunPolicy::Idempotent, self.now_ms() + DEADLINE_MS),
            tried: Vec::new(),
            prefixes: PrefixHashes::of(WorkspaceKey(workspace as u32), &text),
            is_finished: false,
        };
        self.sent_by_workspace[workspace] += 1;
        self.entries[request.entry].budget.deposit();
        self.requests.push(request);
        self.route(self.requests.len() - 1);
    }

    fn route(&mut self, request: usize) {
        match self.choose_backend(request) {
            Some(backend) => {
                let r = &mut self.requests[request];
                r.tried.push(BackendKey(backend as u32));
                let entry = &mut self.entries[r.entry];
                entry.sent[backend] += u64::from(r.tokens);
                let now_ms = self.now_us / US_PER_MS;
                entry.prefixes.record(now_ms, BackendKey(backend as u32), &r.prefixes);
                self.schedule(NETWORK_DELAY_US, Event::Submit { request, backend });
            }
            None => self.attempt_ended(request, AttemptEnd::NoBackend),
        }
    }

    fn choose_backend(&mut self, request: usize) -> Option<usize> {
        let now_ms = self.now_ms();
        let r = &self.requests[request];
        let entry = &mut self.entries[r.entry];
        let alive: Vec<usize> = (0..BACKENDS)
            .filter(|&n| !self.backends[n].failed && !r.tried.contains(&BackendKey(n as u32)))
            .collect();
        if alive.is_empty() {
            return None;
        }
        match self.policy {
            RoutingPolicy::Random => Some(alive[self.rng.random_range(0..alive.len())]),
            RoutingPolicy::RoundRobin => {
                entry.next += 1;
                Some(alive[entry.next % alive.len()])
            }
            RoutingPolicy::LeastReported => alive.into_iter().min_by_key(|&n| entry.reported[n].0),
            RoutingPolicy::Currantlink => {
                let holders = entry.prefixes.holders(now_ms, &r.prefixes);
                let candidates: Vec<Candidate> = alive
                    .into_iter()
                    .map(|n| candidate(entry, n, &holders, now_ms, r.tokens))
                    .collect();
                let remaining_ms = r.attempts.remaining_ms(now_ms);
                let draw = self.rng.random();
                let choice = choose(&candidates, &r.tried, r.tokens, remaining_ms, draw);
                choice.ok().map(|c| c.backend.0 as usize)
            }
        }
    }

    fn submit(&mut self, request: usize, backend: usize) {
        if self.backends[backend].failed {
            self.schedule(NETWORK_DELAY_US, Event::IncarnationLost { request, backend });
            return;
        }
        let now_ms = self.now_ms();
        let r = &self.requests[request];
        let key = self.key(request);
        let submission = Submission {
            key: key.clone(),
            link: LinkId { entry: r.entry as u64, generation: 1 },
            service: String::new(),
            remaining_ms: r.attempts.remaining_ms(now_ms),
            priority: 1,
            weight: 1,
            workspace_limit: usize::MAX,
            work_tokens: r.tokens,
            ticket: None,
        };
        self.backends[backend].received[r.entry] += u64::from(r.tokens);
        self.backends[backend].calls.insert(key.request, request);
        let commands = self.backends[backend].gate.submit(now_ms, submission);
        self.execute(backend, commands);
    }

    fn key(&self, request: usize) -> CallKey {
        let r = &self.requests[request];
        let mut id = [0; 16];
        id[..8].copy_from_slice(&(request as u64).to_be_bytes());
        CallKey {
            workspace: self.workspace_names[r.workspace].clone(),
            request: RequestId::from(id),
            attempt: r.attempts.attempt_number(),
        }
    }

    fn execute(&mut self, backend: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start(key) => self.start(backend, &key),
                Command::Refuse(key, refused) => {
                    if let Some(request) = self.backends[backend].calls.swap_remove(&key.request) {
                        let retry_after_ms = refused.retry_after_ms;
                        let event = Event::Refused { request, backend, retry_after_ms };
                        self.schedule(NETWORK_DELAY_US, event);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, backend: usize, key: &CallKey) {
        let Some(&request) = self.backends[backend].calls.get(&key.request) else {
            return;
        };
        let r = &self.requests[request];
        let server = &mut self.backends[backend];
        let prefix = (r.workspace, r.prompt);
        let hit = server.cached.shift_remove(&prefix);
        server.cached.insert(prefix);
        if server.cached.len() > CACHED_PREFIXES {
            server.cached.shift_remove_index(0);
        }
        self.cache_hits += u64::from(hit);
        let share = if hit { 1.0 - CACHE_SAVING_SHARE } else { 1.0 };
        let time_us = f64::from(r.tokens) * US_PER_TOKEN as f64 * share;
        let time_us = time_us as u64 * server.slowdown;
        server.busy_us += time_us;
        let incarnation = server.gate.incarnation().0;
        self.schedule(time_us, Event::Finish { request, backend, incarnation });
    }

    fn finish_request(&mut self, request: usize, backend: usize, incarnation: u64) {
        let server = &mut self.backends[backend];
        if server.failed || server.gate.incarnation().0 != incarnation {
            self.schedule(NETWORK_DELAY_US, Event::IncarnationLost { request, backend });
            return;
        }
        let now_ms = self.now_us / US_PER_MS;
        let key = self.key(request);
        let server = &mut self.backends[backend];
        server.calls.swap_remove(&key.request);
        let share = u64::from(self.requests[request].tokens) * US_PER_TOKEN * server.slowdown;
        let commands = server.gate.finished(now_ms, &key, share);
        self.execute(backend, commands);
        self.schedule(NETWORK_DELAY_US, Event::Response { request, backend });
    }

    fn receive_response(&mut self, request: usize, backend: usize) {
        let now_ms = self.now_ms();
        let r = &mut self.requests[request];
        if r.is_finished {
            return;
        }
        r.is_finished = true;
        let elapsed_us = self.now_us - r.started_us;
        let per_token = elapsed_us as f64 / f64::from(r.tokens);
        self.entries[r.entry].health.record_success(now_ms, BackendKey(backend as u32), per_token);
        if elapsed_us > DEADLINE_MS * US_PER_MS {
            return;
        }
        self.latency.saturating_record(elapsed_us);
        self.in_time_by_workspace[r.workspace] += 1;
        self.in_time_tokens += u64::from(r.tokens);
        if !is_busy(self.busy_from, r.workspace) {
            self.quiet_latency.saturating_record(elapsed_us);
        }
    }

    fn attempt_ended(&mut self, request: usize, ending: AttemptEnd) {
        let now_ms = self.now_ms();
        let r = &mut self.requests[request];
        if r.is_finished {
            return;
        }
        let budget = &mut self.entries[r.entry].budget;
        match r.attempts.attempt_ended(now_ms, ending, false, || budget.withdraw()) {
            NextAction::Retry => {
                self.retries += 1;
                self.route(request);
            }
            NextAction::GiveUp { .. } => r.is_finished = true,
        }
    }

    fn report_load(&mut self, backend: usize, over: bool) {
        let gate = &self.backends[backend].gate;
        let (tokens, us_per_token) = (gate.work_tokens(), gate.us_per_token());
        let received = self.backends[backend].received;
        let lag_us = self.lag_us;
        self.schedule(lag_us, Event::ReceiveReport { backend, tokens, us_per_token, received });
        if !over {
            self.schedule(REPORT_INTERVAL_US, Event::SendReport { backend });
        }
    }

    fn tick(&mut self, over: bool) {
        let now_ms = self.now_ms();
        for backend in 0..BACKENDS {
            let commands = self.backends[backend].gate.tick(now_ms);
            self.execute(backend, commands);
        }
        if !over || self.backends.iter().any(|r| r.gate.queued() > 0 && !r.failed) {
            self.schedule(TICK_INTERVAL_US, Event::Tick);
        }
    }

    fn inject_fault(&mut self) {
        if self.scenario.slow_backend {
            self.backends[0].slowdown = SLOWDOWN_FACTOR;
        }
        if self.scenario.failing_backend {
            self.backends[0].failed = true;
            let calls = std::mem::take(&mut self.backends[0].calls);
            for request in calls.into_values() {
                self.schedule(NETWORK_DELAY_US, Event::IncarnationLost { request, backend: 0 });
            }
        }
    }

    fn report(&self, policy: &'static str) -> Report {
        let sent: u64 = self.sent_by_workspace.iter().sum();
        let in_time: u64 = self.in_time_by_workspace.iter().sum();
        let busy: Vec<f64> = self.backends.iter().map(|r| r.busy_us as f64).collect();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        let quiet = (0..SPREAD_WORKSPACES).filter(|&w| !is_busy(self.busy_from, w));
        let shares = quiet
            .filter(|&w| self.sent_by_workspace[w] > 0)
            .map(|w| self.in_time_by_workspace[w] as f64 / self.sent_by_workspace[w] as f64);
        let all_slots = BACKENDS as f64 * SLOTS as f64 * self.end_us as f64;
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / US_PER_MS as f64;
        Report {
            scenario: self.scenario.name,
            policy,
            requests: sent,
            in_time: in_time as f64 / sent as f64,
            p50_ms: ms(&self.latency, 0.50),
            p95_ms: ms(&self.latency, 0.95),
            p99_ms: ms(&self.latency, 0.99),
            max_over_mean: busy.iter().copied().fold(0.0, f64::max) / mean,
            cache_hits: self.cache_hits as f64 / sent as f64,
            retries: self.retries,
            quiet_in_time: shares.fold(1.0, f64::min),
            quiet_p99_ms: ms(&self.quiet_latency, 0.99),
            goodput: self.in_time_tokens as f64 * US_PER_TOKEN as f64 / all_slots,
        }
    }
}

fn is_busy(busy_from: usize, workspace: usize) -> bool {
    (workspace + SPREAD_WORKSPACES - busy_from) % SPREAD_WORKSPACES < BUSY_WORKSPACES
}

fn candidate(
    entry: &Entry,
    backend: usize,
    holders: &[(BackendKey, u32)],
    now_ms: u64,
    tokens: u32,
) -> Candidate {
    let key = BackendKey(backend as u32);
    let (reported_tokens, us_per_token) = entry.reported[backend];
    let saving = (f64::from(tokens) * CACHE_SAVING_SHARE) as u32;
    Candidate {
        backend: key,
        reported_tokens,
        report_age_ms: now_ms.saturating_sub(entry.reported_at_ms[backend]),
        sent_tokens: entry.sent[backend].saturating_sub(entry.received[backend]),
        capacity: SLOTS as u32,
        us_per_token,
        one_way_us: NETWORK_DELAY_US,
        adapter_load_us: 0,
        cached_tokens: holders.iter().find(|(r, _)| *r == key).map_or(0, |(_, n)| *n.min(&saving)),
        draining: false,
        ejected: entry.health.is_ejected(now_ms, key),
    }
}

fn print(report: &Report, json: bool) -> Result<(), BenchError> {
    output::report(report, json, || {
        format!(
            "{:<13} {:<15} in_time={:.4} p50={:.0} p95={:.0} p99={:.0} max/mean={:.2} hits={:.2} \
         retries={} quiet_in_time={:.3} quiet_p99={:.0} goodput={:.3}",
            report.scenario,
            report.policy,
            report.in_time,
            report.p50_ms,
            report.p95_ms,
            report.p99_ms,
            report.max_over_mean,
            report.cache_hits,
            report.retries,
            report.quiet_in_time,
            report.quiet_p99_ms,
            report.goodput,
        )
    })
}
