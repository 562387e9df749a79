//! The way of one request through a gateway: route, key, body, backend, answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::FleetKey;
use currantlink_core::health::Health;
use currantlink_core::ids::WorkspaceName;
use currantlink_core::pace::ConcurrencyLimiter;
use currantlink_core::relay::RetryState;
use currantlink_core::routes::{Pool as Service, PoolKey, Route, RouteKey, RouteTable};
use currantlink_core::share::RetryShare;
use currantlink_platform::request::{self, RequestMetadata};
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

use crate::attempts::{Started, response};
use crate::belief::{Loads, SharedBelief};
use crate::clock::now_ms;
use crate::deployed::GatewaySettings;
use crate::outbound::Outbound;
use crate::pool::Pool;
use crate::rejection::{CONFIGURATION_WAIT, NotRunReason, Rejection};
use crate::relayed::{self, Relayed};
use crate::upstream::UpstreamError;

/// Weight of a new answer's time in the mean.
const DURATION_SMOOTHING: f64 = 0.05;
/// Urgency that is added to a request that came back and is late already.
const RETURNED_URGENCY: u32 = 4;
const MAX_URGENCY: u32 = 9;
/// A deadline this much shorter than the longest of the route shows that a request came back.
const RETURNED_MS: u64 = 50;

/// State of a gateway's traffic thread.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) belief: SharedBelief,
    pub(crate) loads: Arc<Loads>,
    pub(crate) pool: Pool,
    pub(crate) learned: RefCell<Learned>,
    stopping: Cell<bool>,
}

/// What the gateway learned of backends and callers.
#[derive(Default)]
pub(crate) struct Learned {
    pub(crate) shares: IndexMap<String, RetryShare>,
    pub(crate) health: Health<FleetKey>,
    /// Backends whose address another one answered at.
    pub(crate) misplaced: IndexSet<FleetKey>,
    /// Pauses of recent streams, by service.
    pub(crate) paces: IndexMap<String, ConcurrencyLimiter>,
    pub(crate) durations_ms: IndexMap<String, f64>,
    pub(crate) longest_deadlines_ms: IndexMap<String, u64>,
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
    pub ask: RequestMetadata,
    /// Id of the client's attempt.
    pub attempt_id: String,
    /// End of the time that the caller or the route gives it.
    pub until: Instant,
    /// Arrival.
    pub arrived: Instant,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<Bytes>,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) urgency: u8,
    /// It came back after it had been refused or lost, and is late already.
    pub(crate) returned: bool,
}

impl Call {
    /// Returns its route.
    pub fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    pub(crate) fn pool(&self) -> &Service {
        self.table.pool(self.service)
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
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
        ask: RequestMetadata,
        arrived: Instant,
    ) -> Result<Response<Outbound>, Rejection> {
        let call = self.admit(request, ask, arrived).await?;
        let mut relay = RetryState::new(call.route().repeat, call.route().attempts);
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
        ask: RequestMetadata,
        arrived: Instant,
    ) -> Result<Call, Rejection> {
        let table = self.belief.load().table.clone().ok_or(Rejection::NoConfiguration)?;
        let (parts, body) = request.into_parts();
        let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or_default();
        let admitted = table.match_request(host, parts.uri.path(), ask.api_key.as_deref())?;
        let attempt_id = ask.attempt_id.clone().ok_or(Rejection::NoAttemptId)?;
        let route = table.route(admitted.route);
        let service = table.pick_pool(admitted.route, rand::random());
        let service = service.ok_or(Rejection::NotRun {
            reason: NotRunReason::NoBackend,
            retry_after: CONFIGURATION_WAIT,
        })?;
        let limit_ms = ask.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let until = arrived + Duration::from_millis(limit_ms);
        let body = self.read_body(body, table.limits().max_body_bytes, until).await?;
        let returned = self.has_returned(route, &ask);
        let pool = table.pool(service).name.clone();
        self.share(pool, |share| share.record_request(now_ms()));
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
    fn has_returned(&self, route: &Route, ask: &RequestMetadata) -> bool {
        let mut learned = self.learned.borrow_mut();
        let deadline_ms = ask.deadline_ms.unwrap_or(route.timeout_ms);
        let longest_ms = learned.longest_deadlines_ms.entry(route.name.clone()).or_default();
        *longest_ms = (*longest_ms).max(deadline_ms);
        deadline_ms + RETURNED_MS < *longest_ms
    }

    /// Takes a repeat from the retry budget of the call's service.
    pub fn take_retry(&self, call: &Call) -> bool {
        let gateways = self.belief.load().gateways;
        let pool = call.pool().name.clone();
        let allowed = self.share(pool, |share| share.try_retry(now_ms(), gateways));
        if !allowed {
            log::info!(request = call.attempt_id.as_str(); "retry budget is used up");
        }
        allowed
    }

    fn share<R>(&self, pool: String, use_it: impl FnOnce(&mut RetryShare) -> R) -> R {
        let figures = self.settings().common.retry_budget();
        let mut learned = self.learned.borrow_mut();
        let share = learned.shares.entry(pool).or_insert_with(|| RetryShare::new(figures));
        share.set_limits(figures);
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
        learned.health.record_success(now_ms(), key, took_ms);
        let mean_ms = learned.durations_ms.entry(call.pool().name.clone());
        let mean_ms = mean_ms.or_insert(took_ms);
        *mean_ms += DURATION_SMOOTHING * (took_ms - *mean_ms);
    }

    /// Notes that a backend failed a request.
    pub fn attempt_failed(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        self.learned.borrow_mut().health.record_failure(now_ms(), key);
        self.log_failure(call, key, error);
    }

    pub(crate) fn log_failure(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        let belief = self.belief.load();
        let backend = belief.fleet.get(key).map_or("", |member| member.id.as_str());
        let after_ms = call.arrived.elapsed().as_millis() as u64;
        log::info!(request = call.attempt_id.as_str(), backend, error:% = error, after_ms;
            "attempt failed");
        metrics::counter!("currantlink_attempts_failed_total").increment(1);
    }
}

/// Order of admission at a backend: by the caller's rank, and after the others where the request came
/// back.
fn urgency(priority: u32, returned: bool) -> u8 {
    let behind = if returned { RETURNED_URGENCY } else { 0 };
    (priority + behind).min(MAX_URGENCY) as u8
}
