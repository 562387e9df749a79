//! Route table of one configuration version: routes, services and API keys.

use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::turns::UrgencyClass;

/// Maximum number of urgency classes of a service. Backends order requests by ten classes, two of which
/// are used for each of these.
pub const MAX_CLASSES: usize = 5;

/// Index of a route in its route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// Index of a service in its route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(pub u32);

/// How often a route's request may run, and whether the response is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of events; the request may run at most once.
    Stream {
        /// Target for the longest pause between events.
        gap_target_ms: u64,
    },
    /// The response is a stream of events that another backend may resume after the last event
    /// forwarded to the caller.
    ResumableStream {
        /// Target for the longest pause between events.
        gap_target_ms: u64,
    },
}

impl Repeat {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. } | Repeat::ResumableStream { .. })
    }

    /// Returns the target for the longest pause between events, or `None` if the response is not a
    /// stream.
    pub fn gap_target_ms(self) -> Option<u64> {
        match self {
            Repeat::Stream { gap_target_ms } | Repeat::ResumableStream { gap_target_ms } => {
                Some(gap_target_ms)
            }
            Repeat::Idempotent | Repeat::AtMostOnce => None,
        }
    }

    /// Returns whether a request that may already have run may be dispatched again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Prefix of matching paths.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Timeout of a request.
    pub timeout_ms: u64,
    /// Target latency of a response.
    pub target_ms: u64,
    /// Longest time that callers wait for an event, if the response is a stream.
    pub event_wait_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of backends that a request is dispatched to.
    pub attempts: u32,
    /// Whether the route requires no API key.
    pub public: bool,
    /// Services with their traffic weights.
    pub split: Vec<(PoolKey, u32)>,
}

/// Performance of a service's engines, for latency predictions.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of token steps per pass.
    pub stride_steps: u32,
    /// Duration of a step without requests.
    pub step_ms: f64,
    /// Increase of the step duration per running request.
    pub per_request_ms: f64,
    /// Prefill throughput.
    pub prefill_tokens_per_ms: f64,
    /// Mean length of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean length of a response.
    pub mean_response_tokens: f64,
    /// Expert maps, if the engines form groups.
    pub experts: Option<ExpertProfile>,
}

/// Dimensions and costs of a group's expert maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertProfile {
    /// Number of layer sets; each set has its own map.
    pub sets: usize,
    /// Number of experts per set.
    pub experts: usize,
    /// Number of slots per rank and set.
    pub slots_per_rank: usize,
    /// Maximum number of experts that one map change adds to a rank, per set.
    pub new_per_set: usize,
    /// Time to copy an expert to a rank.
    pub copy_ms: f64,
    /// Fraction of a step that is spent in experts.
    pub expert_share: f64,
    /// Time that a group needs to re-form.
    pub form_ms: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Maximum number of connections to a backend, over all its clients.
    pub max_connections: u32,
    /// Performance of the engines, if the service runs models.
    pub engine: Option<EngineProfile>,
    /// How a backend behaves after its start, if it has a cold phase.
    pub cold_phase: Option<ColdPhase>,
}

/// The time after a start in which a backend tolerates few requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPhase {
    /// How long a backend is cold after a start.
    pub start_ms: u64,
    /// Requests per second that a cold backend tolerates.
    pub per_s: f64,
}

/// A workspace and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceKeys {
    /// Name of the workspace.
    pub name: String,
    /// Priority that overrides the route's priority.
    pub priority: Option<u32>,
    /// Valid API keys.
    pub keys: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request head.
    pub max_header_bytes: usize,
    /// Maximum size of the request body.
    pub max_body_bytes: usize,
    /// Timeout for receiving the request head.
    pub header_timeout_ms: u64,
    /// Idle timeout of a keep-alive connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first configuration is received.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Reason for the rejection of a request by the route table.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Denied {
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The route requires an API key and the request has no key or an unknown key.
    #[display("unknown-key")]
    UnknownKey,
}

/// Route and workspace of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Route.
    pub route: RouteKey,
    /// Name of the workspace, if the request has a valid API key.
    pub workspace: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Indexed routes, services and API keys of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    pools: Vec<Pool>,
    limits: CallerLimits,
    workspaces: Option<Vec<WorkspaceKeys>>,
    by_host: IndexMap<String, Vec<RouteKey>>,
    by_key: IndexMap<String, usize>,
    /// By service: the priorities of its routes, if they differ, the most urgent first.
    priorities: Vec<Vec<u32>>,
}

impl RouteTable {
    /// Builds the indexes. Without `workspaces`, no route requires an API key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        limits: CallerLimits,
        workspaces: Option<Vec<WorkspaceKeys>>,
    ) -> Self {
        let mut by_host: IndexMap<String, Vec<RouteKey>> = IndexMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(RouteKey(index as u32));
        }
        let prefix_len = |key: &RouteKey| routes[key.0 as usize].path_prefix.len();
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(prefix_len(key)));
        }
        let mut by_key = IndexMap::new();
        for (index, workspace) in workspaces.iter().flatten().enumerate() {
            by_key.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        let priorities = differing_priorities(&routes, pools.len());
        Self { version, routes, pools, limits, workspaces, by_host, by_key, priorities }
    }

    /// Returns the configuration version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with this key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the service with this key.
    pub fn pool(&self, key: PoolKey) -> &Pool {
        &self.pools[key.0 as usize]
    }

    /// Returns all services.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Returns the number of urgency classes of a service: 1 unless its routes differ in priority.
    pub fn class_count(&self, pool: PoolKey) -> u8 {
        let priorities = self.priorities.get(pool.0 as usize);
        priorities.map_or(1, |priorities| priorities.len().clamp(1, MAX_CLASSES) as u8)
    }

    /// Returns whether a service is known and its routes differ in priority.
    pub fn has_classes(&self, service: &str) -> bool {
        let key = self.pools.iter().position(|pool| pool.name == service);
        key.is_some_and(|key| self.class_count(PoolKey(key as u32)) > 1)
    }

    /// Returns the urgency class of a route at a service, or `None` if all routes of the service have
    /// the same priority. Beyond [`MAX_CLASSES`], the least urgent priorities share a class.
    pub fn urgency_class(&self, route: RouteKey, pool: PoolKey) -> Option<UrgencyClass> {
        let priorities = self.priorities.get(pool.0 as usize)?;
        let rank = priorities.binary_search(&self.route(route).priority).ok()?;
        (priorities.len() > 1).then_some(UrgencyClass(rank.min(MAX_CLASSES - 1) as u8))
    }

    /// Returns the shortest pause target of the streams that a service serves.
    pub fn pause_target_ms(&self, pool: PoolKey) -> Option<u64> {
        let serves = |route: &&Route| route.split.iter().any(|&(key, _)| key == pool);
        let routes = self.routes.iter().filter(serves);
        routes.filter_map(|route| route.repeat.gap_target_ms()).min()
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the workspaces, or `None` if no route requires an API key.
    pub fn workspaces(&self) -> Option<&[WorkspaceKeys]> {
        self.workspaces.as_deref()
    }

    /// Returns whether the configuration defines API keys.
    pub fn has_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the route with the longest matching path prefix, and the workspace of the API key.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route requires an API key and `key` is not valid.
    pub fn match_request(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, Denied> {
        let route = self.find_route(host, path).ok_or(Denied::NoRoute)?;
        let found = self.route(route);
        let workspace = key.and_then(|key| self.by_key.get(key)).zip(self.workspaces.as_ref());
        let workspace = workspace.map(|(&index, workspaces)| &workspaces[index]);
        if workspace.is_none() && self.workspaces.is_some() && !found.public {
            return Err(Denied::UnknownKey);
        }
        let priority = workspace.and_then(|w| w.priority).unwrap_or(found.priority);
        Ok(RouteMatch { route, workspace: workspace.map(|w| w.name.clone()), priority })
    }

    fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.split(':').next().unwrap_or(host);
        let keys = match self.by_host.get(host) {
            Some(keys) => keys,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        keys.iter().copied().find(|&key| path.starts_with(&self.route(key).path_prefix))
    }

    /// Returns the route that gets the requests with the host and path prefix of a route: the route
    /// itself, unless another one always wins over it. Returns `None` if no request matches the route.
    pub fn effective_route(&self, key: RouteKey) -> Option<RouteKey> {
        let Route { host, path_prefix, .. } = self.route(key);
        // The shortest path with this prefix. A route that wins for it wins for all longer paths, as
        // only an equally long prefix can win for it.
        let path = Some(path_prefix.as_str()).filter(|path| !path.is_empty()).unwrap_or("/");
        let winner = self.find_route(host, path).filter(|_| is_host(host) && is_path(path))?;
        // A host is looked up without its port, so a host with a port finds the routes of another one.
        (self.route(winner).host == *host).then_some(winner)
    }

    /// Selects a service of the route by traffic weight. `draw` is a uniform random number.
    pub fn pick_pool(&self, route: RouteKey, draw: u64) -> Option<PoolKey> {
        let split = &self.route(route).split;
        let total: u64 = split.iter().map(|&(_, weight)| u64::from(weight)).sum();
        if total == 0 {
            return split.first().map(|&(pool, _)| pool);
        }
        let mut rest = draw % total;
        for &(pool, weight) in split {
            match u64::from(weight) {
                weight if rest < weight => return Some(pool),
                weight => rest -= weight,
            }
        }
        None
    }
}

/// Returns whether a request can have this host. There are no wildcards.
fn is_host(host: &str) -> bool {
    !host.contains(|c: char| matches!(c, '*' | '/' | '?' | '#') || c.is_whitespace())
}

/// Returns whether a request can have this path, which is without a query.
fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && !path.contains(|c: char| matches!(c, '?' | '#') || c.is_whitespace() || c.is_control())
}

/// Returns the priorities of the routes of each service, in order and without repetitions.
fn differing_priorities(routes: &[Route], pools: usize) -> Vec<Vec<u32>> {
    let mut priorities = vec![Vec::new(); pools];
    for route in routes {
        for &(pool, _) in &route.split {
            if let Some(of_pool) = priorities.get_mut(pool.0 as usize) {
                of_pool.push(route.priority);
            }
        }
    }
    for of_pool in &mut priorities {
        of_pool.sort_unstable();
        of_pool.dedup();
    }
    priorities
}
