//! Routes, services and keys of one configuration version, and how a request finds its route.

use derive_more::{Display, Error};
use indexmap::IndexMap;

/// Index of a route in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// Index of a service in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(pub u32);

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// A stream of events, once at most.
    Stream {
        /// Longest pause between events that is on time.
        gap_target_ms: u64,
    },
    /// A stream of events that another backend may continue after the last event passed on.
    ResumableStream {
        /// Longest pause between events that is on time.
        gap_target_ms: u64,
    },
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. } | Repeat::ResumableStream { .. })
    }

    /// Returns the longest pause between the events of a stream that is on time.
    pub fn gap_target_ms(self) -> Option<u64> {
        match self {
            Repeat::Stream { gap_target_ms } | Repeat::ResumableStream { gap_target_ms } => {
                Some(gap_target_ms)
            }
            Repeat::Idempotent | Repeat::AtMostOnce => None,
        }
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Prefix of the paths that it serves.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is on time.
    pub target_ms: u64,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Backends that one request may be sent to.
    pub attempts: u32,
    /// No API key is needed.
    pub public: bool,
    /// Services with their weights.
    pub split: Vec<(PoolKey, u32)>,
}

/// Speed of a service's engines, for predictions.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Token steps of one pass.
    pub stride_steps: u32,
    /// Time of an empty step.
    pub step_ms: f64,
    /// Time that each running request adds to a step.
    pub per_request_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub usual_answer_tokens: f64,
    /// Expert maps, where the engines form groups.
    pub experts: Option<ExpertProfile>,
}

/// Sizes of a group's expert maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertProfile {
    /// Sets of layers with a map of their own.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Slots of one rank in a set.
    pub slots_per_rank: usize,
    /// New experts that one change may bring to a rank, in each set.
    pub new_per_set: usize,
    /// Time to copy one expert to a rank.
    pub copy_ms: f64,
    /// Share of a step that is expert work.
    pub expert_share: f64,
    /// Time a group needs to form again.
    pub form_ms: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Connections that a backend accepts from all callers together.
    pub max_connections: u32,
    /// Speed of its engines, where it runs models.
    pub engine: Option<EngineProfile>,
}

/// One workspace and the API keys that identify it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceKeys {
    /// Name of the workspace.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// Keys in force.
    pub keys: Vec<String>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout_ms: u64,
    /// Time that a kept connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits before any configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a request finds no service.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Denied {
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The route needs a key and the request has none, or an unknown one.
    #[display("unknown-key")]
    UnknownKey,
}

/// A request's route and workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Route.
    pub route: RouteKey,
    /// Name of the workspace, where keys are in use.
    pub workspace: Option<String>,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    pools: Vec<Pool>,
    limits: CallerLimits,
    workspaces: Option<Vec<WorkspaceKeys>>,
    by_host: IndexMap<String, Vec<RouteKey>>,
    by_key: IndexMap<String, usize>,
}

impl RouteTable {
    /// Indexes the parts of a configuration. Without `workspaces` no keys are asked for.
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
        Self { version, routes, pools, limits, workspaces, by_host, by_key }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a route.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns a service.
    pub fn pool(&self, key: PoolKey) -> &Pool {
        &self.pools[key.0 as usize]
    }

    /// Returns all services.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns whether callers need API keys.
    pub fn has_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Finds the route and the workspace of a request.
    ///
    /// # Errors
    ///
    /// Fails where no route matches or the route needs a key that is not in force.
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
        let priority = workspace.and_then(|h| h.priority).unwrap_or(found.priority);
        Ok(RouteMatch { route, workspace: workspace.map(|h| h.name.clone()), priority })
    }

    fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.split(':').next().unwrap_or(host);
        let keys = match self.by_host.get(host) {
            Some(keys) => keys,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        keys.iter().copied().find(|&key| path.starts_with(&self.route(key).path_prefix))
    }

    /// Picks the service of a request by its share of the route's weights; `draw` is uniform.
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
