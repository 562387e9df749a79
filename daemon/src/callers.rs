//! HTTP endpoints for callers: model requests, plain calls and ticketed calls.

use std::sync::Arc;

use bytes::Bytes;
use currantlink_core::attempt::Outcome;
use currantlink_core::config::{Adapter, Config, Service, ServiceKind, Workspace};
use currantlink_core::ids::{RequestId, ServiceKey, WorkspaceKey};
use currantlink_core::prefix::PrefixHashes;
use currantlink_core::ticket::{Ticket, Unverified};
use currantlink_wire::link::Header;
use dropshot::{Path, RequestContext, UntypedBody, endpoint};
use http::{HeaderMap, Response, StatusCode, header};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::backend::HOP_BY_HOP_HEADERS;
use crate::call::{self, Call};
use crate::clock;
use crate::context::EntryContext;
use crate::control::ControlEvent;
use crate::reply::{self, ErrorBody, ErrorCode, HttpResult, REQUEST_ID_HEADER, bearer_token};
use crate::view::{ServiceView, View};

const DEADLINE_HEADER: &str = "x-deadline-ms";
const PRIORITY_HEADER: &str = "x-priority";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEFAULT_PRIORITY: u32 = 1;
const MAX_PRIORITY: u32 = 9;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_REQUEST_ID_BYTES: usize = 128;
const MAX_HEADERS_BYTES: usize = 16 << 10;
const DEFAULT_MAX_TOKENS: u32 = 128;
const MAX_TOKENS: u32 = 32_768;
/// Estimated length of a token in a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt tokens that count as much work as one generated token.
const PROMPT_TOKENS_PER_WORK_TOKEN: u32 = 8;

/// Error response to a request that is refused before routing. This request has not run.
#[derive(Debug)]
struct Rejection {
    status: StatusCode,
    code: ErrorCode,
    message: String,
    outcome: Outcome,
}

impl Rejection {
    fn new(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), outcome: Outcome::NotRun }
    }

    fn malformed(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, ErrorCode::Malformed, message)
    }

    /// Changes a refusal that invites another request with the same ticket: an earlier request may have
    /// run the call, and only its side can tell.
    fn with_ticket(self, has_ticket: bool) -> Self {
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE if has_ticket => {
                Self { status: StatusCode::GATEWAY_TIMEOUT, outcome: Outcome::Unknown, ..self }
            }
            _ => self,
        }
    }

    fn respond(self, request_id: &str) -> HttpResult {
        metrics::counter!("currantlink_rejected_total").increment(1);
        let body = ErrorBody::new(self.code, self.message).outcome(self.outcome);
        body.request(request_id).respond(self.status)
    }
}

/// Path parameters of a model request.
#[derive(Deserialize, JsonSchema)]
pub struct ModelPath {
    /// Name of the model's service.
    model: String,
}

/// Body of a model request.
#[derive(Deserialize, JsonSchema)]
pub struct CompletionRequest {
    /// Text to complete.
    prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    max_tokens: Option<u32>,
    /// Adapter of the caller's workspace.
    #[serde(default)]
    adapter: Option<String>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    stream: bool,
}

/// Path parameters of a plain call.
#[derive(Deserialize, JsonSchema)]
pub struct PlainPath {
    service: String,
    #[allow(dead_code)]
    rest: Vec<String>,
}

/// Path parameters of a ticketed call.
#[derive(Deserialize, JsonSchema)]
pub struct TicketPath {
    ticket: String,
    service: String,
    #[allow(dead_code)]
    rest: Vec<String>,
}

/// Complete a prompt. The body is a `CompletionRequest`.
#[endpoint { method = POST, path = "/v1/models/{model}/completions" }]
pub async fn complete(
    context: RequestContext<Arc<EntryContext>>,
    path: Path<ModelPath>,
    body: UntypedBody,
) -> HttpResult {
    let model = path.into_inner().model;
    handle(context, &model, None, |request| request.model_call(body.as_bytes())).await
}

macro_rules! plain_endpoints {
    ($($name:ident, $ticketed:ident, $method:ident;)*) => {$(
        /// Call a plain service.
        #[endpoint {
            method = $method,
            path = "/v1/services/{service}/{rest:.*}",
            unpublished = true,
        }]
        pub async fn $name(
            context: RequestContext<Arc<EntryContext>>,
            path: Path<PlainPath>,
            body: UntypedBody,
        ) -> HttpResult {
            let service = path.into_inner().service;
            handle(context, &service, None, |request| request.plain_call(body.as_bytes())).await
        }

        /// Call a plain service with a ticket.
        #[endpoint {
            method = $method,
            path = "/v1/tickets/{ticket}/{service}/{rest:.*}",
            unpublished = true,
        }]
        pub async fn $ticketed(
            context: RequestContext<Arc<EntryContext>>,
            path: Path<TicketPath>,
            body: UntypedBody,
        ) -> HttpResult {
            let TicketPath { ticket, service, .. } = path.into_inner();
            let call = |request: &CallerRequest<'_>| request.plain_call(body.as_bytes());
            handle(context, &service, Some(ticket), call).await
        }
    )*};
}

plain_endpoints! {
    plain_get, ticket_get, GET;
    plain_post, ticket_post, POST;
    plain_put, ticket_put, PUT;
    plain_patch, ticket_patch, PATCH;
    plain_delete, ticket_delete, DELETE;
}

/// An authenticated request with the configuration that applies to it.
struct CallerRequest<'a> {
    config: &'a Config,
    workspace_key: WorkspaceKey,
    workspace: &'a Workspace,
    service_key: ServiceKey,
    service: &'a Service,
    method: &'a http::Method,
    uri: &'a http::Uri,
    headers: &'a HeaderMap,
    ticket: Option<Ticket<Unverified>>,
}

async fn handle(
    context: RequestContext<Arc<EntryContext>>,
    service: &str,
    ticket: Option<String>,
    build_call: impl FnOnce(&CallerRequest<'_>) -> Result<Call, Rejection>,
) -> HttpResult {
    let entry = Arc::clone(context.context());
    let _guard = entry.begin_request();
    metrics::counter!("currantlink_requests_total").increment(1);
    let headers = context.request.headers();
    let generated_id = RequestId::from(rand::random::<[u8; 16]>());
    let id = caller_request_id(headers).unwrap_or_else(|| generated_id.to_string());
    let view = entry.control.view.load_full();
    let prepared =
        prepare(&entry, &view, &context, service, ticket.as_deref(), generated_id, build_call);
    let (mut call, needs_ticket) = match prepared {
        Ok(prepared) => prepared,
        Err(rejection) => return rejection.with_ticket(ticket.is_some()).respond(&id),
    };
    // A response without chunks would look complete wherever it ends.
    call.streamed &= context.request.version() > http::Version::HTTP_10;
    let service_view = match linked_service(&entry, &view, &call).await {
        Some(service_view) => service_view,
        None => {
            let rejection = Rejection::new(
                StatusCode::SERVICE_UNAVAILABLE,
                ErrorCode::NoBackend,
                "no backend is linked yet",
            );
            return rejection.with_ticket(ticket.is_some()).respond(&id);
        }
    };
    if needs_ticket {
        return redirect_to_ticket(&context, service, &service_view, call, &id).await;
    }
    match call::run(&service_view, call).await {
        Ok(response) => reply::call_response(response, &id),
        Err(error) => reply::call_error(error, &id),
    }
}

fn prepare(
    entry: &EntryContext,
    view: &View,
    context: &RequestContext<Arc<EntryContext>>,
    service: &str,
    ticket: Option<&str>,
    request: RequestId,
    build_call: impl FnOnce(&CallerRequest<'_>) -> Result<Call, Rejection>,
) -> Result<(Call, bool), Rejection> {
    let info = &context.request;
    if entry.is_stopping() {
        let message = "this entry stops";
        return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Stopping, message));
    }
    check_headers(info.headers())?;
    let unauthorized =
        || Rejection::new(StatusCode::UNAUTHORIZED, ErrorCode::Unauthorized, "unknown token");
    let token = bearer_token(info.headers()).ok_or_else(unauthorized)?;
    let (workspace_key, workspace) =
        view.config.workspace_by_token(token).ok_or_else(unauthorized)?;
    let unknown = || Rejection::new(StatusCode::NOT_FOUND, ErrorCode::NotFound, "unknown service");
    let (service_key, service) = view.config.service_by_name(service).ok_or_else(unknown)?;
    let ticket = ticket.map(parse_ticket).transpose()?;
    let has_ticket = ticket.is_some();
    let caller_request = CallerRequest {
        config: &view.config,
        workspace_key,
        workspace,
        service_key,
        service,
        method: info.method(),
        uri: info.uri(),
        headers: info.headers(),
        ticket,
    };
    let mut call = build_call(&caller_request)?;
    if let Some(ticket) = &call.ticket {
        call.request_id = ticket.request();
    } else {
        call.request_id = request;
    }
    let runs_without_ticket = service.kind == ServiceKind::Model
        || service.idempotent_methods.contains(info.method().as_str());
    let needs_ticket = !runs_without_ticket && !has_ticket;
    if needs_ticket && info.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
        let message = "an Idempotency-Key is not honoured; omit it and repeat the call at the \
                       address that the 307 gives";
        return Err(Rejection::new(StatusCode::BAD_REQUEST, ErrorCode::UseTicket, message));
    }
    Ok((call, needs_ticket))
}

fn parse_ticket(text: &str) -> Result<Ticket<Unverified>, Rejection> {
    let bytes = hex::decode(text).map_err(|_| Rejection::malformed("the ticket is malformed"))?;
    Ticket::try_from(bytes.as_slice()).map_err(|e| Rejection::malformed(e.to_string()))
}

/// Returns the view of the call's service. If the entry has no link to the backend of the ticket,
/// the control thread opens one first.
async fn linked_service(entry: &EntryContext, view: &View, call: &Call) -> Option<ServiceView> {
    let service = view.services.get(&call.service)?;
    let Some(ticket) = &call.ticket else {
        return Some(service.clone());
    };
    if view.target(&call.service, ticket.backend()).is_some()
        || view.config.backend_by_name(ticket.backend()).is_none()
    {
        return Some(service.clone());
    }
    let mut published = entry.control.published.clone();
    let backend = ticket.backend().to_owned();
    entry.control.events.send(ControlEvent::LinkBackend(backend)).await.ok()?;
    published.changed().await.ok()?;
    entry.control.view.load().services.get(&call.service).cloned()
}

async fn redirect_to_ticket(
    context: &RequestContext<Arc<EntryContext>>,
    service: &str,
    view: &ServiceView,
    call: Call,
    id: &str,
) -> HttpResult {
    let ticket = match call::mint_ticket(view, &call).await {
        Ok(ticket) => ticket,
        Err(error) => return reply::call_error(error, id),
    };
    let location = format!("/v1/tickets/{}/{service}{}", hex::encode(&ticket), call.path);
    log::debug!(
        target: "route",
        request:% = call.request_id, path = context.request.uri().path();
        "ticket issued"
    );
    let builder = Response::builder()
        .status(StatusCode::TEMPORARY_REDIRECT)
        .header(header::LOCATION, location)
        .header(REQUEST_ID_HEADER, id);
    reply::build(builder, "")
}

impl CallerRequest<'_> {
    fn model_call(&self, body: &[u8]) -> Result<Call, Rejection> {
        if self.service.kind != ServiceKind::Model {
            return Err(Rejection::new(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                "unknown service",
            ));
        }
        let request: CompletionRequest =
            serde_json::from_slice(body).map_err(|e| Rejection::malformed(e.to_string()))?;
        let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS {
            return Err(Rejection::malformed("max_tokens is from 1 to 32768"));
        }
        let adapter = request.adapter.as_deref().map(|name| self.adapter(name)).transpose()?;
        let prompt_tokens = (request.prompt.len() / BYTES_PER_TOKEN) as u32;
        let mut call = self.call(String::from("/v1/completions"), body)?;
        call.work_tokens = max_tokens + prompt_tokens / PROMPT_TOKENS_PER_WORK_TOKEN;
        call.adapter = adapter;
        call.prefixes = PrefixHashes::of(self.workspace_key, request.prompt.as_bytes());
        call.streamed = request.stream;
        Ok(call)
    }

    fn plain_call(&self, body: &[u8]) -> Result<Call, Rejection> {
        if self.service.kind != ServiceKind::Plain {
            return Err(Rejection::new(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                "unknown service",
            ));
        }
        let path_and_query = self.uri.path_and_query().map_or("", |p| p.as_str());
        // The path begins with `/v1/services/{service}/` or `/v1/tickets/{ticket}/{service}/`.
        let skipped = if self.ticket.is_some() { 5 } else { 4 };
        let rest = path_and_query.splitn(skipped + 1, '/').nth(skipped).unwrap_or("");
        self.call(format!("/{rest}"), body)
    }

    fn adapter(&self, name: &str) -> Result<Adapter, Rejection> {
        let adapter = self.config.adapter(name, self.service_key, self.workspace_key);
        let unknown =
            || Rejection::new(StatusCode::NOT_FOUND, ErrorCode::NotFound, "unknown adapter");
        adapter.cloned().ok_or_else(unknown)
    }

    fn call(&self, path: String, body: &[u8]) -> Result<Call, Rejection> {
        let remaining_ms = number_header(self.headers, DEADLINE_HEADER, self.service.deadline_ms)?;
        let priority = number_header(self.headers, PRIORITY_HEADER, u64::from(DEFAULT_PRIORITY))?;
        let priority = priority.min(u64::from(MAX_PRIORITY)) as u32;
        Ok(Call {
            request_id: RequestId::from([0; 16]),
            workspace: self.workspace.name.clone(),
            service: self.service.name.clone(),
            method: self.method.to_string(),
            path,
            headers: forwarded_headers(self.headers),
            body: Bytes::copy_from_slice(body),
            deadline_ms: clock::now_ms() + remaining_ms.min(MAX_DEADLINE_MS),
            priority: priority.max(self.workspace.min_priority),
            ticket: self.ticket.clone(),
            work_tokens: 1,
            adapter: None,
            prefixes: PrefixHashes::default(),
            streamed: false,
        })
    }
}

fn caller_request_id(headers: &HeaderMap) -> Option<String> {
    let id = headers.get(REQUEST_ID_HEADER)?.to_str().ok()?;
    let usable = !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES;
    usable.then(|| id.to_owned())
}

fn number_header(headers: &HeaderMap, name: &str, default: u64) -> Result<u64, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(default);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.ok_or_else(|| Rejection::malformed(format!("header {name} is no number")))
}

fn check_headers(headers: &HeaderMap) -> Result<(), Rejection> {
    let bytes: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    if bytes <= MAX_HEADERS_BYTES {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(Rejection::new(status, ErrorCode::Malformed, "headers are too large"))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    const OWN: [&str; 4] = ["authorization", DEADLINE_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER];
    let forwarded = headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && !OWN.contains(&name.as_str())
    });
    let headers = forwarded.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    headers.collect()
}
