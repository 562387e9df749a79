//! Request handling of a gateway: routing, authentication, body, dispatch, response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::concurrency::ConcurrencyLimiter;
use currantlink_core::deadlines::FirstDeadlines;
use currantlink_core::durations::Durations;
use currantlink_core::fleet::{FleetKey, Member, Process};
use currantlink_core::group_choice::{GroupChooser, GroupKey};
use currantlink_core::health::Health;
use currantlink_core::ids::{Fingerprint, PromptPart, WorkspaceName};
use currantlink_core::patience::Patience;
use currantlink_core::retry::RetryState;
use currantlink_core::routes::{Pool as Service, PoolKey, Route, RouteKey, RouteTable};
use currantlink_core::share::RetryShare;
use currantlink_core::silence::{self, LastHeard};
use currantlink_core::stalls::{self, BackendState, PassReport};
use currantlink_core::stop::Acceptance;
use currantlink_core::stream_pace::StreamPace;
use currantlink_core::turns::UrgencyClass;
use currantlink_platform::request::{self, RequestMetadata};
use http::{HeaderMap, Method, Request, Response, header};
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::admission::SharedAdmission;
use crate::attempts::{Dispatched, caller_response};
use crate::backend_set::BackendSet;
use crate::caller_limits::{self, CallerBudget, CallerConnection};
use crate::clock::now_ms;
use crate::crash_ledger::{CrashLedger, RequestKeys};
use crate::crashes::UnexplainedLoss;
use crate::departure::{Departure, Progress};
use crate::deployment_settings::GatewaySettings;
use crate::gateway::SharedState;
use crate::gateway_rates::SharedRates;
use crate::in_flight::{InFlightRequest, InFlightRequests};
use crate::pool::ConnectionPool;
use crate::rejection::{CONFIGURATION_RETRY_AFTER, NotRunReason, Rejection};
use crate::response_body::ResponseBody;
use crate::routing_snapshot::{LoadReports, SharedSnapshot};
use crate::silent::SilentBackends;
use crate::stated_limits::StatedLimits;
use crate::stream_relay::{self, RelayedStream};
use crate::trials::{SharedTrials, Trial};
use crate::turns::Turns;
use crate::upstream::UpstreamError;

/// Increase of the urgency class of a client retry. Backends admit higher classes after lower ones.
const CLIENT_RETRY_URGENCY: u32 = 4;
const MAX_URGENCY: u32 = 9;
const MS_PER_S: f64 = 1_000.0;
/// State of a gateway's traffic thread, which serves callers' requests.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) load_reports: Arc<LoadReports>,
    pub(crate) stated_limits: Arc<StatedLimits>,
    pub(crate) crashes: Arc<CrashLedger>,
    pub(crate) trials: Arc<SharedTrials>,
    pub(crate) rates: Arc<SharedRates>,
    pub(crate) admission: Arc<SharedAdmission>,
    leaving: mpsc::UnboundedSender<Process>,
    pub(crate) pool: ConnectionPool,
    pub(crate) callers: CallerBudget,
    pub(crate) observations: RefCell<Observations>,
    pub(crate) silent: SilentBackends,
    /// Listed backends that can be expected to send events. See [`currantlink_core::stalls`].
    pub(crate) sound: BackendSet,
    pub(crate) turns: Turns,
    in_flight: InFlightRequests,
    /// Time of the stop signal and what is accepted since.
    stopping: Cell<Option<(Instant, Acceptance)>>,
    /// Time by which requests are answered, once the process is shutting down.
    answer_by: watch::Sender<Option<Instant>>,
}

/// State derived from traffic, such as retry shares, backend health and response times.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) retry_shares: IndexMap<String, RetryShare>,
    pub(crate) health: Health<FleetKey>,
    /// Backends whose address was found to be served by another backend.
    pub(crate) misdirected: IndexSet<FleetKey>,
    /// Backends that said in a response that they leave.
    pub(crate) leaving: IndexSet<FleetKey>,
    /// Backends that refused a connection, and until when they are not tried again.
    pub(crate) refused_until_ms: IndexMap<FleetKey, u64>,
    /// Pauses of recent streams, by service.
    pub(crate) stream_paces: IndexMap<String, ConcurrencyLimiter>,
    pub(crate) durations: IndexMap<String, Durations>,
    /// Pauses between the events of streams in progress, by service.
    pub(crate) stream_pace: IndexMap<String, StreamPace>,
    /// The same by group.
    pub(crate) group_paces: IndexMap<GroupKey, StreamPace>,
    /// Groups that were left recently, by route.
    pub(crate) group_choosers: IndexMap<String, GroupChooser>,
    pub(crate) unexplained_losses: VecDeque<UnexplainedLoss>,
    pub(crate) first_deadlines: IndexMap<String, FirstDeadlines>,
    /// Time at which a request was last rejected.
    pub(crate) rejected_at_ms: Option<u64>,
}

/// An admitted request, ready for dispatch.
pub struct Call {
    /// Configuration that admitted the request.
    pub table: Arc<RouteTable>,
    /// Route of the request.
    pub route_key: RouteKey,
    /// Service chosen for the request.
    pub service_key: PoolKey,
    /// Metadata from the request's headers.
    pub metadata: RequestMetadata,
    /// Id of the caller's attempt.
    pub attempt_id: String,
    /// Deadline set by the caller or the route, whichever is earlier.
    pub deadline: Instant,
    /// Time of arrival.
    pub arrived_at: Instant,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<Bytes>,
    /// Connection of the caller, on whose account the request holds memory.
    pub(crate) connection: CallerConnection,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) fingerprint: Fingerprint,
    /// Urgency class that is sent to the backend.
    pub(crate) urgency: u8,
    /// Urgency class among the requests of the service, if its routes differ in priority.
    pub(crate) class: Option<UrgencyClass>,
    /// Whether the caller sent the request again after a rejection or a lost response, and part of
    /// its deadline has already been used.
    pub(crate) is_client_retry: bool,
    /// How far the request has come, for the log of callers that leave.
    pub(crate) progress: Progress,
    /// The trial that the request is, if requests like it may crash backends.
    pub(crate) trial: RefCell<Option<Trial>>,
}

impl Call {
    /// Returns the route of the request.
    pub fn route(&self) -> &Route {
        self.table.route(self.route_key)
    }

    pub(crate) fn service(&self) -> &Service {
        self.table.pool(self.service_key)
    }

    /// Returns what the request may have in common with requests that crash backends.
    pub(crate) fn keys(&self) -> RequestKeys<'_> {
        RequestKeys {
            service: &self.service().name,
            parts: &self.metadata.shared_prompt_parts,
            fingerprint: self.fingerprint,
            attempt: Fingerprint::of(&[self.attempt_id.as_bytes()]),
        }
    }

    /// Returns whether the request is a trial.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.borrow().is_some()
    }

    /// Ends the trial of the request, if it is one: others with the same key may be sent.
    pub(crate) fn end_trial(&self) {
        self.trial.take();
    }

    /// Returns for how long the caller still waits for the next event.
    pub(crate) fn patience(&self) -> Patience {
        Patience {
            event_wait_ms: self.route().event_wait_ms,
            unheard_ms: self.progress.unheard().as_millis() as u64,
            deadline_left_ms: self.remaining().as_millis() as u64,
        }
    }

    /// Returns the time in which the request can still be answered on time.
    pub(crate) fn target_left_ms(&self) -> u64 {
        self.route().target_ms.saturating_sub(self.arrived_at.elapsed().as_millis() as u64)
    }

    /// Returns the shared parts of the prompt as text for the log.
    pub(crate) fn prompt_parts_text(&self) -> String {
        let parts = self.metadata.shared_prompt_parts.iter();
        parts.map(PromptPart::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns the remaining time before the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Gateway {
    /// Creates a gateway without observations.
    pub fn new(settings: GatewaySettings, shared: SharedState) -> Self {
        let SharedState {
            snapshot,
            load_reports,
            stated_limits,
            crashes,
            trials,
            rates,
            admission,
            leaving,
        } = shared;
        let gateway = Self {
            settings: RefCell::new(Rc::new(settings)),
            snapshot,
            load_reports,
            stated_limits,
            crashes,
            trials,
            rates,
            admission,
            leaving,
            pool: ConnectionPool::default(),
            callers: CallerBudget::default(),
            observations: RefCell::default(),
            silent: SilentBackends::default(),
            sound: BackendSet::default(),
            turns: Turns::default(),
            in_flight: InFlightRequests::default(),
            stopping: Cell::new(None),
            answer_by: watch::Sender::default(),
        };
        gateway.apply_budget();
        gateway
    }

    fn apply_budget(&self) {
        let limits = self.settings().common.budget_limits();
        self.callers.set_limits(limits);
        self.pool.set_idle_limit(limits.idle_backends());
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: GatewaySettings) {
        self.stated_limits.set_cold_margin(settings.common.cold_margin());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.apply_budget();
    }

    /// Returns the requests that have not been answered completely.
    pub fn in_flight(&self) -> &InFlightRequests {
        &self.in_flight
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Marks the process as shutting down since `stopped_at`. Requests that have no response at
    /// `answer_by` are answered although their outcome may be unknown.
    pub fn stop(&self, stopped_at: Instant, acceptance: Acceptance, answer_by: Instant) {
        self.stopping.set(Some((stopped_at, acceptance)));
        self.answer_by.send_replace(Some(answer_by));
    }

    /// Waits for the result of a dispatch, or rejects the request shortly before the process exits.
    async fn before_exit<T>(
        &self,
        call: &Call,
        relay: &mut RetryState,
        dispatch: impl AsyncFnOnce(&mut RetryState) -> Result<T, Rejection>,
    ) -> Result<T, Rejection> {
        let mut answer_by = self.answer_by.subscribe();
        let exit_is_near = async {
            let answer_by = answer_by.wait_for(Option::is_some).await.map(|at| *at);
            match answer_by {
                Ok(Some(at)) => tokio::time::sleep_until(at).await,
                // The sender lives as long as the gateway.
                Ok(None) | Err(_) => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            result = dispatch(relay) => return result,
            () = exit_is_near => {}
        }
        match relay.dispatches() {
            0 => Err(self.not_run_rejection(call, NotRunReason::Stopping)),
            _ => Err(Rejection::ResponseLost),
        }
    }

    /// Returns whether a request is accepted although the process may be shutting down.
    fn accepts(&self, call: &Call) -> bool {
        self.stopping.get().is_none_or(|(stopped_at, acceptance)| {
            acceptance.accepts(stopped_at.elapsed(), call.remaining())
        })
    }

    /// Returns whether a configuration is known and the process is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.snapshot.load().table.is_some()
    }

    /// Returns the limits for callers' requests.
    pub fn caller_limits(&self) -> currantlink_core::routes::CallerLimits {
        self.snapshot.load().table.as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Closes expired idle connections and removes the state of backends that are no longer known.
    pub fn evict_stale(&self) {
        let snapshot = self.snapshot.load();
        let known =
            |key| snapshot.fleet.get(key).is_some_and(|m| snapshot.fleet.by_id(&m.id) == Some(key));
        self.pool.evict(known);
        let mut observations = self.observations.borrow_mut();
        observations.health.retain(known);
        observations.misdirected.retain(|&key| known(key));
        observations.leaving.retain(|&key| known(key));
        observations.refused_until_ms.retain(|&key, _| known(key));
        self.stated_limits.retain(known);
        self.admission.retain(|service| {
            snapshot.table.as_ref().is_some_and(|table| table.has_classes(service))
        });
        self.callers.record_metrics();
    }

    /// Closes the idle connections to backends in evacuated failure domains.
    pub fn close_evacuated(&self) {
        let snapshot = self.snapshot.load();
        if snapshot.evacuations.active().next().is_none() {
            return;
        }
        let is_evacuated =
            |member: &Member| snapshot.evacuations.is_active(&member.announcement.failure_domain);
        let evacuated = snapshot.fleet.listed().filter(|(_, member)| is_evacuated(member));
        evacuated.for_each(|(key, _)| self.pool.close_idle(key));
    }

    /// Determines which backends are sound, and which of those with an agent are silent.
    pub fn update_silent(&self) {
        let (now, snapshot) = (now_ms(), self.snapshot.load());
        let mut heard = IndexMap::<&str, Vec<LastHeard<FleetKey>>>::new();
        let mut states = IndexMap::<&str, Vec<BackendState<FleetKey>>>::new();
        for (key, member) in snapshot.fleet.listed() {
            let report = self.load_reports.get(member.announcement.address);
            // An older report is about an earlier backend with the same address.
            let report = report.filter(|r| r.received_at_ms >= member.known_since_ms);
            let heard_at_ms =
                report.map(|report| report.received_at_ms.max(self.pool.heard_at_ms(key)));
            let service = member.announcement.service.as_str();
            let pass_report = report.zip(heard_at_ms).map(|(report, heard_at_ms)| PassReport {
                group: report.group,
                is_serving: report.is_serving,
                age_ms: report.age_ms(now),
                heard_age_ms: now.saturating_sub(heard_at_ms),
                is_agent_stopping: report.is_last,
            });
            states.entry(service).or_default().push(BackendState { key, report: pass_report });
            if let Some((report, heard_at_ms)) = report.zip(heard_at_ms) {
                heard.entry(service).or_default().push(LastHeard {
                    key,
                    heard_at_ms,
                    interval_ms: report.interval_ms,
                    is_agent_stopping: report.is_last,
                });
            }
        }
        let sound = states.values().flat_map(|states| stalls::sound_backends(states));
        let sound: IndexSet<FleetKey> = sound.collect();
        metrics::gauge!("currantlink_sound_backends").set(sound.len() as f64);
        self.sound.replace(sound);
        let silent = heard.values().flat_map(|heard| silence::silent_backends(heard, now));
        self.silent.replace(silent.collect(), &snapshot.fleet);
    }

    /// Serves one request and returns the response for the caller.
    pub async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<ResponseBody> {
        let arrived_at = Instant::now();
        let metadata = request::decode(request.headers());
        let attempt_id = metadata.attempt_id.clone().unwrap_or_default();
        let in_flight =
            self.in_flight.begin(InFlightRequest { attempt_id: attempt_id.clone(), arrived_at });
        let progress = Progress::new(arrived_at);
        let departure =
            Departure::watch(Rc::clone(&self), attempt_id.clone(), arrived_at, progress.clone());
        let handling = Rc::clone(&self).handle(request, connection, metadata, arrived_at, progress);
        let handled = handling.await;
        let mut response = match handled {
            Ok(response) => response,
            Err(rejection) => {
                let after_ms = arrived_at.elapsed().as_millis() as u64;
                let status = rejection.status().as_u16();
                self.observations.borrow_mut().rejected_at_ms = Some(now_ms());
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
        response.map(|body| body.with_departure(departure).with_guard(in_flight))
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: CallerConnection,
        metadata: RequestMetadata,
        arrived_at: Instant,
        progress: Progress,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let call = self.admit(request, connection, metadata, arrived_at, progress).await?;
        if !self.accepts(&call) {
            return Err(self.not_run_rejection(&call, NotRunReason::Stopping));
        }
        if let Some((stopped_at, _)) = self.stopping.get() {
            let after_stop_ms = stopped_at.elapsed().as_millis() as u64;
            let remaining_ms = call.remaining().as_millis() as u64;
            log::info!(request = call.attempt_id.as_str(), after_stop_ms, remaining_ms;
                "request accepted while stopping");
        }
        if !call.is_client_retry {
            self.crashes.record_arrival(call.keys());
        }
        let mut relay = RetryState::new(call.route().repeat, call.route().attempts);
        let mut tried = Vec::new();
        match call.route().repeat.is_stream() {
            true => {
                let dispatch = async |relay: &mut RetryState| {
                    self.dispatch(&call, relay, &mut tried, None).await
                };
                let response = self.before_exit(&call, &mut relay, dispatch).await?;
                let response = match response {
                    Dispatched::Response(response) => response,
                    Dispatched::Failure(response) => return Ok(response),
                };
                let head = response.head.clone();
                if !head.status.is_success() {
                    let body = self.read_response_body(&call, response).await;
                    let body = body.map_err(|_| self.unknown_outcome_rejection(&call))?;
                    return Ok(caller_response(&head, ResponseBody::from_bytes(body)));
                }
                let stream = RelayedStream::new(self, call, relay, tried, response);
                Ok(caller_response(&head, ResponseBody::from_stream(stream_relay::chunks(stream))))
            }
            false => {
                let dispatch = async |relay: &mut RetryState| {
                    self.dispatch_buffered(&call, relay, &mut tried).await
                };
                self.before_exit(&call, &mut relay, dispatch).await
            }
        }
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        connection: CallerConnection,
        metadata: RequestMetadata,
        arrived_at: Instant,
        progress: Progress,
    ) -> Result<Call, Rejection> {
        let table = self.snapshot.load().table.clone().ok_or(Rejection::NoConfiguration)?;
        let (parts, body) = request.into_parts();
        let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or_default();
        let admitted = table.match_request(host, parts.uri.path(), metadata.api_key.as_deref())?;
        let attempt_id = metadata.attempt_id.clone().ok_or(Rejection::NoAttemptId)?;
        let route = table.route(admitted.route);
        let service_key = table.pick_pool(admitted.route, rand::random());
        let service_key = service_key.ok_or(Rejection::NotRun {
            reason: NotRunReason::NoBackend,
            retry_after: CONFIGURATION_RETRY_AFTER,
        })?;
        let limit_ms = metadata.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let deadline = arrived_at + Duration::from_millis(limit_ms);
        if let Some(workspace) = admitted.workspace.as_deref() {
            connection.set_workspace(workspace);
        }
        let limit_bytes = table.limits().max_body_bytes;
        let body =
            caller_limits::read_request_body(&connection, body, limit_bytes, deadline).await?;
        let is_client_retry = self.is_client_retry(route, &metadata);
        let has_engine = table.pool(service_key).engine.is_some();
        let class = table.urgency_class(admitted.route, service_key).filter(|_| has_engine);
        let service = table.pool(service_key).name.clone();
        self.with_retry_share(service, |share| share.record_request(now_ms()));
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let workspace = admitted.workspace.as_deref().map(WorkspaceName::from);
        let fingerprint = Fingerprint::of(&[
            workspace.as_ref().map_or("", WorkspaceName::as_str).as_bytes(),
            parts.method.as_str().as_bytes(),
            host.as_bytes(),
            target.as_bytes(),
            body.as_deref().unwrap_or_default(),
        ]);
        Ok(Call {
            route_key: admitted.route,
            service_key,
            metadata,
            attempt_id,
            deadline,
            arrived_at,
            method: parts.method,
            target,
            headers: parts.headers,
            body,
            connection,
            workspace,
            fingerprint,
            urgency: match class {
                Some(class) => class_urgency(class, is_client_retry),
                None => urgency(admitted.priority, is_client_retry),
            },
            class,
            is_client_retry,
            progress,
            trial: RefCell::default(),
            table,
        })
    }

    /// Returns whether a request returns after a rejection.
    fn is_client_retry(&self, route: &Route, metadata: &RequestMetadata) -> bool {
        let mut observations = self.observations.borrow_mut();
        let rejected_at_ms = observations.rejected_at_ms;
        let deadlines = observations.first_deadlines.entry(route.name.clone()).or_default();
        let deadline_ms = metadata.deadline_ms.unwrap_or(route.timeout_ms);
        deadlines.is_returned(now_ms(), deadline_ms, rejected_at_ms)
    }

    /// Returns after which time a request that is rejected now is recognized when it returns.
    pub(crate) fn recognized_after_ms(&self, call: &Call) -> u64 {
        let elapsed_ms = call.arrived_at.elapsed().as_millis() as u64;
        let deadline_ms = call.metadata.deadline_ms.unwrap_or(call.route().timeout_ms);
        let observations = self.observations.borrow();
        let deadlines = observations.first_deadlines.get(&call.route().name);
        deadlines.map_or(0, |d| d.recognized_after_ms(deadline_ms.saturating_sub(elapsed_ms)))
    }

    /// Records that a backend says that it leaves: it gets no more requests, here at once and from the
    /// other gateways when they are told.
    pub(crate) fn record_leaving(&self, key: FleetKey, member: &Member) {
        if member.leaving || !self.observations.borrow_mut().leaving.insert(key) {
            return;
        }
        log::info!(backend = member.id.as_str(); "backend says that it leaves");
        self.pool.close_idle(key);
        if self.leaving.send(member.process()).is_err() {
            log::error!(backend = member.id.as_str();
                "other gateways are not told that a backend leaves: the control thread has ended");
        }
    }

    /// Spends one retry from the service's retry budget, if the budget allows it.
    pub fn try_spend_retry(&self, call: &Call) -> bool {
        let gateways = self.snapshot.load().gateway_count;
        let service = call.service().name.clone();
        let allowed = self.with_retry_share(service, |share| share.try_retry(now_ms(), gateways));
        if !allowed {
            log::info!(request = call.attempt_id.as_str(); "retry budget exhausted");
        }
        allowed
    }

    fn with_retry_share<R>(&self, service: String, update: impl FnOnce(&mut RetryShare) -> R) -> R {
        let limits = self.settings().common.retry_budget();
        let mut observations = self.observations.borrow_mut();
        let share =
            observations.retry_shares.entry(service).or_insert_with(|| RetryShare::new(limits));
        share.set_limits(limits);
        update(share)
    }

    /// Records that a backend served a request.
    pub fn record_success(&self, call: &Call, key: FleetKey, status: http::StatusCode) {
        let took_ms = call.arrived_at.elapsed().as_secs_f64() * MS_PER_S;
        let snapshot = self.snapshot.load();
        let backend = snapshot.fleet.get(key).map(|member| member.id.as_str());
        log::info!(request = call.attempt_id.as_str(), backend, status = status.as_u16(),
            after_ms = took_ms as u64; "request served");
        let route = call.route().name.clone();
        metrics::histogram!("currantlink_request_seconds", "route" => route).record(took_ms / 1e3);
        metrics::counter!("currantlink_requests_served_total").increment(1);
        let mut observations = self.observations.borrow_mut();
        observations.health.record_success(now_ms(), key, took_ms);
        observations.durations.entry(call.service().name.clone()).or_default().record(took_ms);
    }

    /// Records that an attempt at a backend failed.
    pub fn record_failure(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        self.observations.borrow_mut().health.record_failure(now_ms(), key);
        self.log_failure(call, key, error);
    }

    pub(crate) fn log_failure(&self, call: &Call, key: FleetKey, error: &UpstreamError) {
        let snapshot = self.snapshot.load();
        let backend = snapshot.fleet.get(key).map_or("", |member| member.id.as_str());
        let after_ms = call.arrived_at.elapsed().as_millis() as u64;
        let prompt_parts = call.prompt_parts_text();
        log::info!(request = call.attempt_id.as_str(), backend, error:% = error, after_ms,
            fingerprint:% = call.fingerprint, prompt_parts; "attempt failed");
        metrics::counter!("currantlink_attempts_failed_total").increment(1);
    }
}

/// Returns the urgency class that is sent to a backend if the routes of its service differ in priority:
/// client retries go after other requests of their class, but before those of less urgent ones.
fn class_urgency(class: UrgencyClass, is_client_retry: bool) -> u8 {
    (2 * class.0 + u8::from(is_client_retry)).min(MAX_URGENCY as u8)
}

/// Returns the urgency class, which orders admission at a backend: by the caller's priority, with
/// client retries after other requests.
fn urgency(priority: u32, is_client_retry: bool) -> u8 {
    let penalty = if is_client_retry { CLIENT_RETRY_URGENCY } else { 0 };
    (priority + penalty).min(MAX_URGENCY) as u8
}
