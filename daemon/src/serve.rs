//! The way of one request through a gateway: route, key, body, backend, answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::{FleetKey, Member};
use currantlink_core::health::Health;
use currantlink_core::ids::WorkspaceName;
use currantlink_core::relay::{Next, Outcome, Relay};
use currantlink_core::routes::{Pool as Service, PoolKey, Route, RouteKey, RouteTable};
use currantlink_core::share::RetryShare;
use currantlink_core::spread::{self, Candidate, Choice, REPORT_LIFE_MS};
use currantlink_platform::answer::{self, AnswerFacts};
use currantlink_platform::request::{self, Ask, Handover};
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

use crate::belief::{Loads, SharedBelief};
use crate::clock::now_ms;
use crate::deployed::GatewaySettings;
use crate::outbound::Outbound;
use crate::pool::{Claim, Pool};
use crate::rejection::{NotRunReason, Rejection};
use crate::relayed::{self, Relayed};
use crate::upstream::{Framing, Head, Upstream, UpstreamError};

/// Time to connect to a backend. Connections take a few milliseconds; a lost opening packet is sent
/// again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Answers of other requests that are skipped on a connection before it is given up.
const MAX_STRAY_ANSWERS: usize = 3;
/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time of an answer before any was seen.
const FIRST_DURATION_MS: f64 = 1_500.0;
/// Weight of a new answer's time in the mean.
const DURATION_SMOOTHING: f64 = 0.05;
/// Part of the target that is kept back from waiting: reading the prompt and the first step.
const KEPT_BACK_MS: f64 = 120.0;
/// Least queue at a backend, so that slots are filled again without a round trip.
const LEAST_QUEUE: u32 = 1;
/// Shortest and longest time after which a refused request comes back.
const RETRY_AFTER_MS: (u64, u64) = (300, 1_500);
/// The same while a group is being formed again, which takes seconds.
const FORMING_RETRY_MS: (u64, u64) = (1_500, 2_500);
/// Urgency that is added to a request that came back and is late already.
const RETURNED_URGENCY: u32 = 4;
const MAX_URGENCY: u32 = 9;
/// Queue that a request which came back may join, against that of a new one: it is late already, and
/// refused once more it is lost.
const RETURNED_QUEUE: u32 = 2;
/// A deadline this much shorter than the longest of the route shows that a request came back.
const RETURNED_MS: u64 = 50;

/// State of a gateway's traffic thread.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    belief: SharedBelief,
    loads: Arc<Loads>,
    pool: Pool,
    learned: RefCell<Learned>,
    stopping: Cell<bool>,
}

#[derive(Default)]
struct Learned {
    shares: IndexMap<String, RetryShare>,
    health: Health<FleetKey>,
    /// Backends whose address another one answered at.
    misplaced: IndexSet<FleetKey>,
    durations_ms: IndexMap<String, f64>,
    longest_deadlines_ms: IndexMap<String, u64>,
}

/// A request that may be sent to backends.
pub struct Call {
    /// Configuration that admitted it.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: RouteKey,
    /// Service that serves it.
    pub service: PoolKey,
    /// What it says of itself.
    pub ask: Ask,
    /// Id of the client's attempt.
    pub attempt_id: String,
    /// End of the time that the caller or the route gives it.
    pub until: Instant,
    /// Arrival.
    pub arrived: Instant,
    method: Method,
    target: String,
    headers: HeaderMap,
    body: Option<Bytes>,
    workspace: Option<WorkspaceName>,
    urgency: u8,
    /// It came back after it had been refused or lost, and is late already.
    returned: bool,
}

impl Call {
    /// Returns its route.
    pub fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    fn pool(&self) -> &Service {
        self.table.pool(self.service)
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

/// An answer whose body is still to be read.
pub struct Answered {
    /// Head.
    pub head: Head,
    /// What the head says.
    pub facts: AnswerFacts,
    /// Connection that it arrives on.
    pub upstream: Upstream,
    /// Use of the backend.
    pub claim: Claim,
    /// Backend.
    pub key: FleetKey,
}

impl Gateway {
    /// Starts with nothing learned.
    pub fn new(settings: GatewaySettings, belief: SharedBelief, loads: Arc<Loads>) -> Self {
        Self {
            settings: RefCell::new(Rc::new(settings)),
            belief,
            loads,
            pool: Pool::default(),
            learned: RefCell::default(),
            stopping: Cell::new(false),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes over changed settings.
    pub fn set_settings(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Notes that the process is about to end.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns whether a configuration and the backends are known.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.belief.load().table.is_some()
    }

    /// Returns what callers may send.
    pub fn caller_limits(&self) -> currantlink_core::routes::CallerLimits {
        self.belief.load().table.as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Closes idle connections that are too old and forgets backends that are gone.
    pub fn sweep(&self) {
        let belief = self.belief.load();
        let known =
            |key| belief.fleet.get(key).is_some_and(|m| belief.fleet.by_id(&m.id) == Some(key));
        self.pool.sweep(known);
        let mut learned = self.learned.borrow_mut();
        learned.health.retain(known);
        learned.misplaced.retain(|&key| known(key));
    }

    /// Serves one request.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Outbound> {
        let arrived = Instant::now();
        let ask = request::decode(request.headers());
        let attempt_id = ask.attempt_id.clone().unwrap_or_default();
        let mut response = match Rc::clone(&self).run(request, ask, arrived).await {
            Ok(response) => response,
            Err(rejection) => {
                let after_ms = arrived.elapsed().as_millis() as u64;
                let status = rejection.status().as_u16();
                log::info!(request = attempt_id.as_str(), outcome:% = rejection, status,
                    after_ms; "request rejected");
                metrics::counter!("currantlink_rejections_total", "reason" => rejection.to_string())
                    .increment(1);
                rejection.response()
            }
        };
        if self.is_stopping() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn run(
        self: Rc<Self>,
        request: Request<Incoming>,
        ask: Ask,
        arrived: Instant,
    ) -> Result<Response<Outbound>, Rejection> {
        let call = self.admit(request, ask, arrived).await?;
        let mut relay = Relay::new(call.route().repeat, call.route().attempts);
        let mut tried = Vec::new();
        match call.route().repeat.is_stream() {
            true => {
                let answered = self.start(&call, &mut relay, &mut tried, None).await?;
                let answered = match answered {
                    Started::Answered(answered) => answered,
                    Started::Failure(response) => return Ok(response),
                };
                let head = answered.head.clone();
                if !head.status.is_success() {
                    let body = self.collect(&call, answered).await;
                    let body = body.map_err(|_| self.outcome_unknown(&call))?;
                    return Ok(response(&head, Outbound::whole(body)));
                }
                let stream = Relayed::new(self, call, relay, tried, answered);
                Ok(response(&head, Outbound::pieces(relayed::pieces(stream))))
            }
            false => self.whole(&call, &mut relay, &mut tried).await,
        }
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        ask: Ask,
        arrived: Instant,
    ) -> Result<Call, Rejection> {
        let table = self.belief.load().table.clone().ok_or(Rejection::NoConfiguration)?;
        let (parts, body) = request.into_parts();
        let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or_default();
        let admitted = table.admit(host, parts.uri.path(), ask.api_key.as_deref())?;
        let attempt_id = ask.attempt_id.clone().ok_or(Rejection::NoAttemptId)?;
        let route = table.route(admitted.route);
        let service = table.pick(admitted.route, rand::random()).ok_or(Rejection::NotRun {
            reason: NotRunReason::NoBackend,
            retry_after: Duration::from_millis(RETRY_AFTER_MS.0),
        })?;
        let limit_ms = ask.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let until = arrived + Duration::from_millis(limit_ms);
        let body = self.read_body(body, table.limits().body_bytes, until).await?;
        let returned = self.has_returned(route, &ask);
        let pool = table.pool(service).name.clone();
        self.share(pool, |share| share.request(now_ms()));
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        Ok(Call {
            route: admitted.route,
            service,
            ask,
            attempt_id,
            until,
            arrived,
            method: parts.method,
            target,
            headers: parts.headers,
            body,
            workspace: admitted.workspace.as_deref().map(WorkspaceName::from),
            urgency: urgency(admitted.priority, returned),
            returned,
            table,
        })
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit_bytes: usize,
        until: Instant,
    ) -> Result<Option<Bytes>, Rejection> {
        use hyper::body::Body as _;
        if body.is_end_stream() {
            return Ok(None);
        }
        let reading = Limited::new(body, limit_bytes).collect();
        match tokio::time::timeout_at(until, reading).await {
            Ok(Ok(read)) => Ok(Some(read.to_bytes())),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
            Ok(Err(error)) => {
                log::debug!(error:% = error; "request body broke off");
                Err(Rejection::BodyBroken)
            }
            Err(_) => Err(Rejection::BodyLate),
        }
    }

    /// Returns whether a request came back: it has less time than those of its route that come for
    /// the first time.
    fn has_returned(&self, route: &Route, ask: &Ask) -> bool {
        let mut learned = self.learned.borrow_mut();
        let deadline_ms = ask.deadline_ms.unwrap_or(route.timeout_ms);
        let longest_ms = learned.longest_deadlines_ms.entry(route.name.clone()).or_default();
        *longest_ms = (*longest_ms).max(deadline_ms);
        deadline_ms + RETURNED_MS < *longest_ms
    }

    /// Has a request run whose answer is not a stream.
    async fn whole(
        &self,
        call: &Call,
        relay: &mut Relay,
        tried: &mut Vec<FleetKey>,
    ) -> Result<Response<Outbound>, Rejection> {
        loop {
            let answered = match self.start(call, relay, tried, None).await? {
                Started::Answered(answered) => answered,
                Started::Failure(response) => return Ok(response),
            };
            let key = answered.key;
            let head = answered.head.clone();
            match self.collect(call, answered).await {
                Ok(body) => {
                    self.succeeded(call, key, head.status);
                    return Ok(response(&head, Outbound::whole(body)));
                }
                Err(error) => {
                    self.attempt_failed(call, key, &error);
                    let next = relay.ended(Outcome::Unknown, || self.take_retry(call));
                    if next != Next::Again {
                        return Err(self.outcome_unknown(call));
                    }
                }
            }
        }
    }

    /// Sends a request to backends until one answers.
    pub async fn start(
        &self,
        call: &Call,
        relay: &mut Relay,
        tried: &mut Vec<FleetKey>,
        last_event_id: Option<u64>,
    ) -> Result<Started, Rejection> {
        loop {
            if call.left().is_zero() {
                return Err(self.no_time(call, relay));
            }
            let key = match self.place(call, tried) {
                Ok(key) => key,
                Err(_) if relay.may_have_run() => return Err(Rejection::AnswerLost),
                Err(rejection) => return Err(rejection),
            };
            tried.push(key);
            let (outcome, failure) = match self.attempt(call, relay, key, last_event_id).await {
                Attempt::Answered(answered) => return Ok(Started::Answered(answered)),
                Attempt::Ended(outcome) => (outcome, None),
                Attempt::Failed(answered) => {
                    let head = answered.head.clone();
                    match self.collect(call, answered).await {
                        Ok(body) => (Outcome::Failed, Some(response(&head, Outbound::whole(body)))),
                        Err(error) => {
                            self.attempt_failed(call, key, &error);
                            (Outcome::Unknown, None)
                        }
                    }
                }
            };
            let next = relay.ended(outcome, || self.take_retry(call));
            log::info!(request = call.attempt_id.as_str(), outcome:% = outcome, next:% = next,
                sends = relay.sends(); "attempt ended");
            match (next, failure) {
                (Next::Again, _) => {}
                (Next::PassOn, Some(failure)) => return Ok(Started::Failure(failure)),
                (Next::Refuse, _) => {
                    return Err(self.not_run(call, NotRunReason::RefusedByBackends));
                }
                (Next::GiveUp | Next::PassOn, _) => return Err(self.outcome_unknown(call)),
            }
        }
    }

    /// Sends a request to one backend and reads the head of its answer.
    async fn attempt(
        &self,
        call: &Call,
        relay: &mut Relay,
        key: FleetKey,
        last_event_id: Option<u64>,
    ) -> Attempt {
        let belief = self.belief.load();
        let Some(member) = belief.fleet.get(key) else {
            return Attempt::Ended(Outcome::NotConnected);
        };
        let claim = self.pool.claim(key, now_ms());
        let (mut upstream, reused) = match claim.idle() {
            Some(upstream) => (upstream, true),
            None => {
                let limit = CONNECT_LIMIT.min(call.left());
                match Upstream::connect(member.said.address, limit).await {
                    Ok(upstream) => (upstream, false),
                    Err(error) => {
                        self.attempt_failed(call, key, &error.into());
                        return Attempt::Ended(Outcome::NotConnected);
                    }
                }
            }
        };
        let head = request::encode_head(&self.handover(call, member, last_event_id));
        let body = call.body.as_deref().unwrap_or_default();
        relay.sending();
        let reading = Self::own_answer(call, &mut upstream, &head, body);
        let read = match tokio::time::timeout_at(call.until, reading).await {
            Ok(read) => read,
            Err(_) => {
                let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
                self.attempt_failed(call, key, &error.into());
                return Attempt::Ended(Outcome::Unknown);
            }
        };
        let (head, facts) = match read {
            Ok(answer) => answer,
            Err(error) => {
                // An idle connection that the backend closes in this moment says nothing of it.
                match reused {
                    true => self.log_failure(call, key, &error),
                    false => self.attempt_failed(call, key, &error),
                }
                return Attempt::Ended(Outcome::Unknown);
            }
        };
        let status = facts.status;
        let answered = Box::new(Answered { head, facts, upstream, claim, key });
        match &answered.facts {
            facts if facts.not_run => {
                let misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
                self.drain_refusal(call, answered).await;
                match misdirected {
                    true => {
                        log::info!(backend = member.id.as_str(); "another backend has the address");
                        self.learned.borrow_mut().misplaced.insert(key);
                        Attempt::Ended(Outcome::Misdirected)
                    }
                    false => Attempt::Ended(Outcome::NotRun),
                }
            }
            facts if !facts.is_signed || facts.is_encoded => {
                let error = UpstreamError::Malformed { detail: "answer is not signed" };
                self.attempt_failed(call, key, &error);
                Attempt::Ended(Outcome::Unknown)
            }
            _ if status.is_server_error() => {
                self.learned.borrow_mut().health.failed(now_ms(), key);
                Attempt::Failed(answered)
            }
            _ => Attempt::Answered(answered),
        }
    }

    /// Reads answers until the one that belongs to the request.
    async fn own_answer(
        call: &Call,
        upstream: &mut Upstream,
        head: &[u8],
        body: &[u8],
    ) -> Result<(Head, AnswerFacts), UpstreamError> {
        let mut answer = upstream.exchange(head, body).await?;
        for _ in 0..MAX_STRAY_ANSWERS {
            let facts = answer::decode(answer.status, &answer.headers);
            let has_other_id = facts.attempt_id.as_ref().is_some_and(|id| *id != call.attempt_id);
            if call.method == Method::HEAD {
                answer.framing = Framing::Done;
            }
            if facts.attempt_id.as_ref() == Some(&call.attempt_id) || facts.not_run && !has_other_id
            {
                return Ok((answer, facts));
            }
            if answer.framing == Framing::UntilClose || facts.attempt_id.is_none() {
                return Err(UpstreamError::Malformed { detail: "answer to no known request" });
            }
            let mut framing = answer.framing;
            while upstream.body(&mut framing).await?.is_some() {}
            answer = upstream.next_head().await?;
        }
        Err(UpstreamError::Malformed { detail: "too many stray answers" })
    }

    fn handover<'a>(
        &self,
        call: &'a Call,
        member: &'a Member,
        last_event_id: Option<u64>,
    ) -> Handover<'a> {
        Handover {
            method: &call.method,
            target: &call.target,
            headers: &call.headers,
            backend_id: &member.id,
            workspace: call.workspace.as_ref().map(WorkspaceName::as_str),
            has_keys: call.table.has_keys(),
            left_ms: call.left().as_millis() as u64,
            urgency: call.pool().engine.is_some().then_some(call.urgency),
            last_event_id,
            body_len: call.body.as_ref().map(Bytes::len),
        }
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain_refusal(&self, call: &Call, answered: Box<Answered>) {
        if let Err(error) = self.collect(call, answered).await {
            log::debug!(error:% = error; "refusal broke off");
        }
    }

    async fn collect(&self, call: &Call, answered: Box<Answered>) -> Result<Bytes, UpstreamError> {
        let Answered { head, facts, mut upstream, claim, .. } = *answered;
        let mut framing = head.framing;
        let reading = async {
            let mut body = bytes::BytesMut::new();
            while let Some(piece) = upstream.body(&mut framing).await? {
                body.extend_from_slice(&piece);
                if body.len() > MAX_ANSWER_BYTES {
                    return Err(UpstreamError::Malformed { detail: "answer is too long" });
                }
            }
            Ok(body.freeze())
        };
        let body = match tokio::time::timeout_at(call.until, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
        };
        self.keep(claim, upstream, &head, facts);
        Ok(body)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep(&self, claim: Claim, upstream: Upstream, head: &Head, facts: AnswerFacts) {
        if head.framing != Framing::UntilClose && upstream.is_reusable() {
            claim.keep(upstream, facts.keep);
        }
    }

    fn place(&self, call: &Call, tried: &[FleetKey]) -> Result<FleetKey, Rejection> {
        let belief = self.belief.load();
        let now = now_ms();
        let pool = call.pool();
        let cap = pool.max_connections / belief.gateways.max(1) as u32;
        let learned = self.learned.borrow();
        let settings = self.settings();
        let domain = settings.common.failure_domain();
        let candidates = belief.fleet.open(&pool.name).filter(|(key, _)| !tried.contains(key));
        let candidates = candidates.filter(|(key, _)| !learned.misplaced.contains(key));
        let mut capped = false;
        let candidates = candidates.filter(|&(key, _)| {
            let has_room = self.pool.running(key) < cap.max(1);
            capped |= !has_room;
            has_room
        });
        let candidates = candidates.map(|(key, member)| {
            let report = self.loads.get(member.said.address);
            let report = report.filter(|r| r.age_ms(now) < REPORT_LIFE_MS);
            let (own, own_since_report) = self.pool.load(key, report.map_or(now, |r| r.at_ms));
            let suspended = learned.health.is_ejected(now, key);
            Candidate {
                key,
                slots: member.said.slots,
                own,
                own_since_report,
                report,
                suspended,
                local: member.said.failure_domain == domain,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let duration_ms =
            learned.durations_ms.get(&pool.name).copied().unwrap_or(FIRST_DURATION_MS);
        drop(learned);
        let slots = candidates.first().map_or(1, |c| c.slots.max(1));
        let release_ms = (duration_ms / f64::from(slots)).max(1.0);
        let wait_ms = (call.route().target_ms as f64 - KEPT_BACK_MS).max(0.0);
        let queue_limit = ((wait_ms / release_ms) as u32).max(LEAST_QUEUE);
        let queue_limit = if call.returned { queue_limit * RETURNED_QUEUE } else { queue_limit };
        match spread::choose(&candidates, queue_limit, rand::random()) {
            Choice::Send(key) => {
                let chosen = candidates.iter().find(|candidate| candidate.key == key);
                let load = chosen.map(Candidate::load);
                let report_age_ms = chosen.and_then(|c| c.report).map(|r| r.age_ms(now));
                let backend = belief.fleet.get(key).map(|member| member.id.as_str());
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    backend, load, report_age_ms, candidates = candidates.len(), queue_limit,
                    tried = tried.len(), config_version = call.table.version();
                    "request placed");
                Ok(key)
            }
            Choice::Full { excess } => {
                let least_load = candidates.iter().map(Candidate::load).min();
                log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                    least_load, slots, queue_limit, excess, candidates = candidates.len(),
                    returned = call.returned, config_version = call.table.version();
                    "backends full");
                Err(self.not_run(call, NotRunReason::Full))
            }
            Choice::Forming => {
                let ages = candidates.iter().filter_map(|c| c.report).map(|r| r.age_ms(now));
                log::info!(request = call.attempt_id.as_str(), candidates = candidates.len(),
                    report_age_ms = ages.max(); "groups stand still");
                Err(self.not_run(call, NotRunReason::Forming))
            }
            Choice::Nobody if capped => Err(self.not_run(call, NotRunReason::Full)),
            Choice::Nobody if tried.is_empty() => Err(self.not_run(call, NotRunReason::NoBackend)),
            Choice::Nobody => Err(self.not_run(call, NotRunReason::RefusedByBackends)),
        }
    }

    fn not_run(&self, call: &Call, reason: NotRunReason) -> Rejection {
        let (least_ms, most_ms) = match reason {
            NotRunReason::Forming => FORMING_RETRY_MS,
            _ => RETRY_AFTER_MS,
        };
        let spread_ms = rand::random_range(least_ms..=most_ms);
        let limit_ms = call.left().as_millis() as u64 * 3 / 10;
        Rejection::NotRun { reason, retry_after: Duration::from_millis(spread_ms.min(limit_ms)) }
    }

    fn no_time(&self, call: &Call, relay: &Relay) -> Rejection {
        match relay.may_have_run() {
            true => Rejection::Timeout,
            false => self.not_run(call, NotRunReason::Deadline),
        }
    }

    fn outcome_unknown(&self, call: &Call) -> Rejection {
        if call.left().is_zero() { Rejection::Timeout } else { Rejection::AnswerLost }
    }

    /// Takes a repeat from the retry budget of the call's service.
    pub fn take_retry(&self, call: &Call) -> bool {
        let gateways = self.belief.load().gateways;
        let pool = call.pool().name.clone();
        let allowed = self.share(pool, |share| share.repeat(now_ms(), gateways));
        if !allowed {
            log::info!(request = call.attempt_id.as_str(); "retry budget is used up");
        }
        allowed
    }

    fn share<R>(&self, pool: String, use_it: impl FnOnce(&mut RetryShare) -> R) -> R {
        let figures = self.settings().common.retry_budget();
        let mut learned = self.learned.borrow_mut();
        let share = learned.shares.entry(pool).or_insert_with(|| RetryShare::new(figures));
        share.set_figures(figures);
        use_it(share)
    }

    /// Notes that a backend served a request.
    pub fn succeeded(&self, call: &Call, key: FleetKey, status: http::StatusCode) {
        let took_ms = call.arrived.elapsed().as_secs_f64() * 1_000.0;
        let belief = self.belief.load();
        let backend = belief.fleet.get(key).map(|member| member.id.as_str());
        log::info!(request = call.attempt_id.as_str(), backend, status = status.as_u16(),
            after_ms = took_ms as u64; "request served");
        let route = call.route().name.clone();
        metrics::histogram!("currantlink_request_seconds", "route" => route).record(took_ms / 1e3);
        metrics::counter!("currantlink_requests_served_total").increment(1);
        let mut learned = self.learned.borrow_mut();
        learned.health.answered(now_ms(), key, took_ms);
        let mean_ms = learned.durations_ms.entry(call.pool().name.clone());
        let mean_ms = mean_ms.or_insert(took_ms);
        *mean_ms += DURATION_SMOOTHING * (took_ms - *mean_ms);
    }

    /// Notes that a backend failed a request.
    pub fn attempt_failed(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        self.learned.borrow_mut().health.failed(now_ms(), key);
        self.log_failure(call, key, error);
    }

    fn log_failure(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        let belief = self.belief.load();
        let backend = belief.fleet.get(key).map_or("", |member| member.id.as_str());
        let after_ms = call.arrived.elapsed().as_millis() as u64;
        log::info!(request = call.attempt_id.as_str(), backend, error:% = error, after_ms;
            "attempt failed");
        metrics::counter!("currantlink_attempts_failed_total").increment(1);
    }
}

/// What became of sending a request.
pub enum Started {
    /// A backend answers.
    Answered(Box<Answered>),
    /// A backend ran it and failed; no other is asked.
    Failure(Response<Outbound>),
}

enum Attempt {
    Answered(Box<Answered>),
    Failed(Box<Answered>),
    Ended(Outcome),
}

/// Order of admission at a backend: by the caller's rank, and after the others where the request came
/// back.
fn urgency(priority: u32, returned: bool) -> u8 {
    let behind = if returned { RETURNED_URGENCY } else { 0 };
    (priority + behind).min(MAX_URGENCY) as u8
}

fn response(head: &Head, body: Outbound) -> Response<Outbound> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let is_passed_on = |name: &str| !request::is_hop_header(name) && name != "content-length";
    for (name, value) in &head.headers {
        if is_passed_on(name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    response
}
