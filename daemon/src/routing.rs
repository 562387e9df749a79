//! Selects a backend for a call among the backends that the entry is linked to.

use currantlink_core::attempt::AttemptEnd;
use currantlink_core::config::Adapter;
use currantlink_core::ids::{BackendKey, RequestId, WorkspaceName};
use currantlink_core::prefix::PrefixHashes;
use currantlink_core::router::{self, Candidate, Choice, ChooseError};

use crate::clock;
use crate::view::{ServiceView, Target};

/// Assumed rate at which a backend loads an adapter.
const ADAPTER_LOAD_MB_PER_S: u64 = 2_000;
const US_PER_S: u64 = 1_000_000;

/// Properties of a call that determine the selection.
pub struct RouteQuery<'a> {
    /// Id of the request, for the log.
    pub request_id: RequestId,
    /// Workspace of the caller, for the log.
    pub workspace: &'a WorkspaceName,
    /// Estimated work in tokens.
    pub work_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: &'a PrefixHashes,
    /// Adapter that must be loaded before the call runs.
    pub adapter: Option<&'a Adapter>,
    /// Remaining time until the deadline.
    pub remaining_ms: u64,
}

/// Selects a backend and logs the decision.
///
/// # Errors
///
/// Fails if no backend accepts calls or no backend can meet the deadline.
pub fn choose(
    service: &ServiceView,
    query: &RouteQuery<'_>,
    tried: &[BackendKey],
) -> Result<Target, AttemptEnd> {
    let now_ms = clock::now_ms();
    let holders = service.state.prefixes().holders(now_ms, query.prefixes);
    let candidates = candidates(service, query, &holders, now_ms);
    let draw = rand::random();
    let choice = router::choose(&candidates, tried, query.work_tokens, query.remaining_ms, draw);
    log_choice(service, query, tried.len(), &choice);
    match choice {
        Ok(choice) => find_target(service, choice.backend).ok_or(AttemptEnd::NoBackend),
        Err(ChooseError::NoBackend) => Err(AttemptEnd::NoBackend),
        Err(ChooseError::Deadline { late_ms }) => Err(AttemptEnd::Refused {
            reason: currantlink_core::gate::Refusal::Deadline,
            retry_after_ms: late_ms,
        }),
    }
}

fn candidates(
    service: &ServiceView,
    query: &RouteQuery<'_>,
    holders: &[(BackendKey, u32)],
    now_ms: u64,
) -> Vec<Candidate> {
    let health = service.state.health();
    let connected = service.targets.iter().map(|t| (t, t.uplink.state()));
    connected
        .filter(|(_, state)| state.connected)
        .map(|(target, state)| Candidate {
            backend: target.key,
            reported_tokens: state.status.work_tokens,
            report_age_ms: now_ms.saturating_sub(state.reported_at_ms),
            sent_tokens: target.uplink.unreported_tokens(),
            capacity: state.status.capacity,
            us_per_token: state.status.us_per_token.max(1),
            one_way_us: target.one_way_us,
            adapter_load_us: adapter_load_us(query.adapter, &state.status.adapters),
            cached_tokens: holders.iter().find(|(r, _)| *r == target.key).map_or(0, |(_, n)| *n),
            draining: target.leaving || state.status.draining,
            ejected: health.is_ejected(now_ms, target.key),
        })
        .collect()
}

fn adapter_load_us(adapter: Option<&Adapter>, loaded: &[String]) -> u64 {
    match adapter {
        Some(adapter) if !loaded.contains(&adapter.name) => {
            u64::from(adapter.size_mb) * US_PER_S / ADAPTER_LOAD_MB_PER_S
        }
        _ => 0,
    }
}

fn find_target(service: &ServiceView, key: BackendKey) -> Option<Target> {
    service.targets.iter().find(|t| t.key == key).cloned()
}

fn log_choice(
    service: &ServiceView,
    query: &RouteQuery<'_>,
    tried_count: usize,
    choice: &Result<Choice, ChooseError>,
) {
    let (request, workspace) = (query.request_id, query.workspace);
    match choice {
        Ok(choice) => {
            let backend = find_target(service, choice.backend).map(|t| t.name).unwrap_or_default();
            log::info!(
                target: "route",
                request:% = request, workspace:% = workspace, backend = backend.as_str(),
                why:% = choice.reason, considered = choice.considered, tried = tried_count,
                cost_us = choice.cost_us;
                "routed"
            );
        }
        Err(error) => log::info!(
            target: "route",
            request:% = request, workspace:% = workspace, why:% = error, tried = tried_count;
            "not routed"
        ),
    }
}
