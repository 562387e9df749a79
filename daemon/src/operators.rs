//! HTTP endpoints for operators: status, backends, configuration and metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::config::{TokenHash, compile};
use currantlink_core::fold::{FoldedRecord, RULE_VERSION, Verdict};
use currantlink_core::ids::RequestId;
use currantlink_wire::config::{Change, FileEdit, Override, Record, record};
use currantlink_wire::link::{Drain, to_side};
use dropshot::{Path, RequestContext, TypedBody, endpoint};
use http::{HeaderMap, StatusCode};
use indexmap::IndexMap;
use prost::Message;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::context::EntryContext;
use crate::error::DaemonError;
use crate::reply::{self, ErrorBody, ErrorCode, HttpResult, bearer_token};
use crate::telemetry;
use crate::view::View;

const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_AFTER_MS: u64 = 1_000;

type Context = RequestContext<Arc<EntryContext>>;

/// State of one entry.
#[derive(Serialize)]
struct StatusBody {
    name: String,
    failure_domain: String,
    stopping: bool,
    requests_in_flight: usize,
    config_offset: u64,
    config_source: String,
    config_age_ms: Option<u64>,
    log_state: String,
    list_age_ms: Option<u64>,
    config_problems: Vec<String>,
    workspaces: usize,
    services: usize,
    backends_linked: usize,
    backends_connected: usize,
}

/// State of one backend as known to this entry.
#[derive(Serialize)]
struct BackendBody {
    name: String,
    service: String,
    failure_domain: String,
    connected: bool,
    taking_work: bool,
    leaving: bool,
    draining: bool,
    incarnation: String,
    queued: u32,
    running: u32,
    capacity: u32,
    work_tokens: u64,
    us_per_token: u64,
    config_offset: u64,
    map_version: u64,
    adapters: Vec<String>,
}

/// One current configuration file.
#[derive(Serialize)]
struct FileBody {
    name: String,
    revision: u64,
    author: String,
    content: String,
}

/// Result of one folded record.
#[derive(Serialize)]
struct VerdictBody {
    offset: u64,
    record_id: String,
    author: String,
    files: Vec<String>,
    verdict: &'static str,
    conflicts: Vec<String>,
}

/// A change of the configuration.
#[derive(Deserialize, JsonSchema)]
pub struct ChangeRequest {
    /// Random id of 32 hexadecimal digits. Requests with the same id are the same change.
    record_id: String,
    /// Name of the operator.
    author: String,
    /// Edits of the files.
    edits: Vec<EditRequest>,
}

/// One file of a change.
#[derive(Deserialize, JsonSchema)]
pub struct EditRequest {
    /// Name of the file.
    name: String,
    /// Revision that the edit is based on, or 0 for a new file.
    base_revision: u64,
    /// New content. Without it, the file is removed.
    content: Option<String>,
}

/// Path parameter that names a backend.
#[derive(Deserialize, JsonSchema)]
pub struct BackendPath {
    /// Name of the backend.
    backend: String,
}

/// Desired drain state of a backend.
#[derive(Deserialize, JsonSchema)]
pub struct DrainRequest {
    /// Whether the backend is taken out of service.
    drained: bool,
}

/// Path parameter that names a record.
#[derive(Deserialize, JsonSchema)]
pub struct RecordPath {
    /// Id of the record.
    record_id: String,
}

/// Show the state of this entry.
#[endpoint { method = GET, path = "/v1/status" }]
pub async fn show_status(context: Context) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    reply::json(StatusCode::OK, &status_body(entry))
}

fn status_body(entry: &EntryContext) -> StatusBody {
    let view = entry.control.view.load();
    let now_ms = clock::now_ms();
    let targets = view.services.values().flat_map(|s| s.targets.iter());
    let connected = targets.clone().filter(|t| t.uplink.state().connected).count();
    StatusBody {
        name: entry.settings.name().to_owned(),
        failure_domain: entry.settings.failure_domain().to_owned(),
        stopping: entry.is_stopping(),
        requests_in_flight: entry.in_flight_count(),
        config_offset: view.fold.as_of(),
        config_source: view.source.to_string(),
        config_age_ms: view.log_read_at_ms.map(|at| now_ms.saturating_sub(at)),
        log_state: view.progress.map_or_else(|| "unread".into(), |p| format!("{p:?}")),
        list_age_ms: view.list_read_at_ms.map(|at| now_ms.saturating_sub(at)),
        config_problems: view.problems.iter().map(ToString::to_string).collect(),
        workspaces: view.config.workspaces().count(),
        services: view.config.services().count(),
        backends_linked: targets.count(),
        backends_connected: connected,
    }
}

/// List the backends that this entry is linked to.
#[endpoint { method = GET, path = "/v1/backends" }]
pub async fn list_backends(context: Context) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    reply::json(StatusCode::OK, &backend_bodies(&entry.control.view.load()))
}

fn backend_bodies(view: &View) -> Vec<BackendBody> {
    let pairs = view.services.iter().flat_map(|(n, s)| s.targets.iter().map(move |t| (n, t)));
    pairs
        .map(|(service, target)| {
            let state = target.uplink.state();
            let status = &state.status;
            BackendBody {
                name: target.name.clone(),
                service: service.clone(),
                failure_domain: target.failure_domain.clone(),
                connected: state.connected,
                taking_work: state.connected && !target.leaving && !status.draining,
                leaving: target.leaving,
                draining: status.draining,
                incarnation: format!("{:016x}", status.incarnation),
                queued: status.queued,
                running: status.running,
                capacity: status.capacity,
                work_tokens: status.work_tokens,
                us_per_token: status.us_per_token,
                config_offset: status.config_offset,
                map_version: status.map_version,
                adapters: status.adapters.clone(),
            }
        })
        .collect()
}

/// Take a backend out of service, or return it to service.
#[endpoint { method = POST, path = "/v1/backends/{backend}/drain" }]
pub async fn set_drain(
    context: Context,
    path: Path<BackendPath>,
    body: TypedBody<DrainRequest>,
) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    let (backend, drained) = (path.into_inner().backend, body.into_inner().drained);
    let view = entry.control.view.load_full();
    if view.config.backend_by_name(&backend).is_none() {
        let body = ErrorBody::new(ErrorCode::NotFound, "unknown backend");
        return body.respond(StatusCode::NOT_FOUND);
    }
    if let Some(target) = view.find_target(&backend) {
        let incarnation = target.uplink.state().status.incarnation;
        target.uplink.try_send(incarnation, to_side::Body::Drain(Drain { drained }));
    }
    let record_id = RequestId::from(rand::random::<[u8; 16]>());
    let body = record::Body::Override(Override { backend, drained });
    append_and_wait(entry, record_id, body).await
}

/// Show the current configuration files.
#[endpoint { method = GET, path = "/v1/config" }]
pub async fn show_config(context: Context) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    let view = entry.control.view.load();
    let files = view.fold.files().map(|f| FileBody {
        name: f.name.clone(),
        revision: f.revision,
        author: f.author.clone(),
        content: String::from_utf8_lossy(&f.content).into_owned(),
    });
    reply::json(StatusCode::OK, &files.collect::<Vec<_>>())
}

/// List the most recent changes, oldest first.
#[endpoint { method = GET, path = "/v1/config/history" }]
pub async fn list_changes(context: Context) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    let view = entry.control.view.load();
    let changes = view.history.iter().filter(|f| f.verdict != Verdict::Ignored);
    reply::json(StatusCode::OK, &changes.map(verdict_body).collect::<Vec<_>>())
}

/// Change files. All edits are accepted or all are refused.
#[endpoint { method = POST, path = "/v1/config/changes" }]
pub async fn change_config(context: Context, body: TypedBody<ChangeRequest>) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    let request = body.into_inner();
    let Ok(record_id) = request.record_id.parse::<RequestId>() else {
        let body = ErrorBody::new(ErrorCode::Malformed, "record_id has 32 hexadecimal digits");
        return body.respond(StatusCode::BAD_REQUEST);
    };
    let view = entry.control.view.load_full();
    if let Some(known) = find_record(&view, record_id) {
        return verdict_response(known);
    }
    let problems = problems_with_edits(&view, &request);
    if !problems.is_empty() {
        let body = ErrorBody::new(ErrorCode::BadConfiguration, "the files have problems");
        return body.details(problems).respond(StatusCode::UNPROCESSABLE_ENTITY);
    }
    let edits = request.edits.into_iter().map(|e| FileEdit {
        name: e.name,
        base_revision: e.base_revision,
        content: e.content.map(Bytes::from),
    });
    let change = Change { author: request.author, edits: edits.collect() };
    append_and_wait(entry, record_id, record::Body::Change(change)).await
}

/// Show the result of a change.
#[endpoint { method = GET, path = "/v1/config/changes/{record_id}" }]
pub async fn show_change(context: Context, path: Path<RecordPath>) -> HttpResult {
    let entry = context.context();
    if let Some(rejection) = reject_unauthorized(entry, context.request.headers()) {
        return rejection;
    }
    let view = entry.control.view.load_full();
    let id = path.into_inner().record_id.parse::<RequestId>().ok();
    match id.and_then(|id| find_record(&view, id)) {
        Some(known) => verdict_response(known),
        None => {
            ErrorBody::new(ErrorCode::NotFound, "no such record yet").respond(StatusCode::NOT_FOUND)
        }
    }
}

/// Show the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
pub async fn show_metrics(context: Context) -> HttpResult {
    let entry = context.context();
    metrics::gauge!("currantlink_requests_in_flight").set(entry.in_flight_count() as f64);
    let offset = entry.control.view.load().fold.as_of();
    metrics::gauge!("currantlink_config_offset").set(offset as f64);
    telemetry::metrics_response(&entry.metrics)
}

/// Show the OpenAPI document of the published endpoints.
#[endpoint { method = GET, path = "/openapi.json", unpublished = true }]
pub async fn show_openapi(_context: Context) -> HttpResult {
    match openapi_document() {
        Ok(document) => reply::json(StatusCode::OK, &document),
        Err(error) => Err(dropshot::HttpError::for_internal_error(error.to_string())),
    }
}

/// Builds the OpenAPI document.
///
/// # Errors
///
/// Fails if two endpoints conflict or the document cannot be serialized as JSON.
pub fn openapi_document() -> Result<serde_json::Value, DaemonError> {
    let api = crate::entry::api()?;
    let version = api_version();
    let definition = api.openapi("currantlink", version);
    definition.json().map_err(|e| DaemonError::Print(std::io::Error::from(e)))
}

fn api_version() -> semver::Version {
    semver::Version::new(0, 1, 0)
}

fn reject_unauthorized(entry: &EntryContext, headers: &HeaderMap) -> Option<HttpResult> {
    let hash = bearer_token(headers).map(TokenHash::of);
    let known = hash.is_some_and(|hash| {
        // All hashes are compared, so that the response time does not depend on the match.
        entry.settings.operator_tokens.iter().fold(false, |found, t| found | t.matches(&hash))
    });
    (!known).then(|| {
        let body = ErrorBody::new(ErrorCode::Unauthorized, "unknown token");
        body.respond(StatusCode::UNAUTHORIZED)
    })
}

fn problems_with_edits(view: &View, request: &ChangeRequest) -> Vec<String> {
    let current = view.fold.files().map(|f| (f.name.clone(), f.content.clone()));
    let mut files: IndexMap<String, Bytes> = current.collect();
    for edit in &request.edits {
        match &edit.content {
            Some(content) => {
                files.insert(edit.name.clone(), Bytes::from(content.clone()));
            }
            None => {
                files.shift_remove(&edit.name);
            }
        }
    }
    files.sort_keys();
    let texts = files.iter().map(|(name, text)| (name.as_str(), text.as_ref()));
    compile(texts).problems.iter().map(ToString::to_string).collect()
}

/// Appends a record to the log and waits until it is folded. The record is found by its id, so a
/// lost response to the append does not matter.
async fn append_and_wait(
    entry: &EntryContext,
    record_id: RequestId,
    body: record::Body,
) -> HttpResult {
    let id = Bytes::copy_from_slice(record_id.as_bytes());
    let record = Record { record_id: id, rule: RULE_VERSION, body: Some(body) };
    let mut published = entry.control.published.clone();
    let appended = entry.log.append(&record.encode_to_vec()).await;
    if let Err(error) = &appended {
        log::warn!(record:% = record_id, error:% = error; "append to the log was not acknowledged");
    }
    let waiting = async {
        loop {
            published.borrow_and_update();
            if let Some(found) = find_record(&entry.control.view.load_full(), record_id) {
                return Some(verdict_response(found));
            }
            if published.changed().await.is_err() {
                return None;
            }
        }
    };
    match tokio::time::timeout(VERDICT_TIMEOUT, waiting).await.ok().flatten() {
        Some(response) => response,
        None => {
            let message = format!("the log has not answered; ask for record {record_id} again");
            ErrorBody::new(ErrorCode::LogUnavailable, message)
                .outcome(currantlink_core::attempt::Outcome::Unknown)
                .retry_after_ms(RETRY_AFTER_MS)
                .respond(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

fn find_record(view: &View, record_id: RequestId) -> Option<&FoldedRecord> {
    view.history.iter().find(|f| f.record_id == Some(record_id))
}

fn verdict_response(folded: &FoldedRecord) -> HttpResult {
    match &folded.verdict {
        Verdict::Refused(conflicts) => {
            let body = ErrorBody::new(ErrorCode::Conflict, "another change was accepted first");
            let conflicts = conflicts.iter().map(ToString::to_string);
            body.details(conflicts).respond(StatusCode::CONFLICT)
        }
        _ => reply::json(StatusCode::OK, &verdict_body(folded)),
    }
}

fn verdict_body(folded: &FoldedRecord) -> VerdictBody {
    let (verdict, conflicts) = match &folded.verdict {
        Verdict::Accepted => ("accepted", Vec::new()),
        Verdict::Refused(conflicts) => {
            ("refused", conflicts.iter().map(ToString::to_string).collect())
        }
        Verdict::Ignored | Verdict::AlreadyFolded => ("passed", Vec::new()),
    };
    VerdictBody {
        offset: folded.offset,
        record_id: folded.record_id.map(|id| id.to_string()).unwrap_or_default(),
        author: folded.author.clone(),
        files: folded.files.clone(),
        verdict,
        conflicts,
    }
}
