//! Check of an operator's configuration before it is published.
//!
//! A finding is an error if a part of the configuration would not do what it says, and a warning if the
//! configuration works as written but is probably not what its author intends.

use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::routes::{Pool, PoolKey, Route, RouteKey, RouteTable, WorkspaceKeys};

/// A decoded configuration, with what its author wrote where the route table does not hold it.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// The route table.
    pub table: RouteTable,
    /// Facts that the route table does not hold.
    pub facts: Vec<Fact>,
}

/// A fact about the text of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Where it was written.
    pub location: Location,
    /// What was written.
    pub kind: FactKind,
}

/// Kind of a fact.
#[derive(Clone, Debug, PartialEq)]
pub enum FactKind {
    /// A figure is given explicitly.
    Figure(f64),
    /// A route names a service that is not defined.
    UnknownService(String),
    /// The kind of a route is unknown.
    UnknownKind(String),
    /// The value is not used because of other fields of the entry.
    Ignored,
}

/// Part of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Location {
    /// The entry.
    pub entry: Entry,
    /// Field of the entry, or `None` for the whole entry.
    pub field: Option<Field>,
}

impl Location {
    /// Returns the location of a whole entry.
    pub fn of(entry: Entry) -> Self {
        Self { entry, field: None }
    }
}

/// Entry of a configuration. Entries of lists have their index in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The configuration itself.
    Configuration,
    /// The limits on callers.
    Limits,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// The list of workspaces.
    Workspaces,
    /// A workspace.
    Workspace(usize),
}

/// Field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Name of a route, service or workspace.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    PathPrefix,
    /// Kind of a route.
    Kind,
    /// Timeout of a route.
    Timeout,
    /// Target latency of a route.
    Target,
    /// Longest pause between events that is on time.
    PauseTarget,
    /// Whether streams may be resumed.
    Resumable,
    /// Priority of a route or workspace.
    Priority,
    /// Maximum number of backends that a request is sent to.
    Attempts,
    /// Whether a route requires no API key.
    Public,
    /// The only service of a route.
    Service,
    /// The services of a route with their weights.
    Split,
    /// Service of one share of a traffic split.
    ShareService(usize),
    /// Maximum number of connections to a backend.
    MaxConnections,
    /// How long a backend is cold after a start.
    ColdStart,
    /// Requests per second that a cold backend tolerates.
    ColdRate,
    /// Profile of the engines.
    Engine,
    /// Figure of the profile of the engines.
    EngineFigure(EngineFigure),
    /// Maximum size of a request head.
    MaxHeaderBytes,
    /// Maximum size of a request body.
    MaxBodyBytes,
    /// Timeout for receiving a request head.
    HeaderTimeout,
    /// Idle timeout of a connection.
    IdleTimeout,
    /// API keys of a workspace.
    Keys,
    /// One API key of a workspace.
    Key(usize),
}

/// Figure of the profile of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EngineFigure {
    /// Maximum number of concurrent requests.
    Slots,
    /// Bandwidth of the link of an instance.
    LinkRate,
    /// Token steps per pass.
    Stride,
    /// Duration of a step without requests.
    Step,
    /// Increase of the step duration per running request.
    PerRequest,
    /// Prefill throughput.
    PrefillRate,
    /// Mean length of a prompt.
    MeanPrompt,
    /// Mean length of a response.
    MeanResponse,
    /// Number of layer sets.
    Sets,
    /// Number of experts per set.
    Experts,
    /// Number of slots per rank and set.
    SlotsPerRank,
    /// Maximum number of experts that one map change adds to a rank, per set.
    NewPerSet,
    /// Size of an expert.
    ExpertSize,
    /// Fraction of a step that is spent in experts.
    ExpertShare,
    /// Time that a group needs to re-form.
    FormTime,
}

impl Field {
    /// Returns whether 0 is a meaningful value: no cost, no additional expert, or no cold phase.
    fn allows_zero(self) -> bool {
        use EngineFigure::{FormTime, NewPerSet, PerRequest};
        matches!(
            self,
            Field::ColdStart
                | Field::ColdRate
                | Field::EngineFigure(PerRequest | NewPerSet | FormTime)
        )
    }
}

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Severity {
    /// A part of the configuration would not do what it says.
    #[display("error")]
    Error,
    /// The configuration works as written but is probably not what is intended.
    #[display("warning")]
    Warning,
}

/// What is wrong. API keys are never part of it.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Problem {
    /// The version is not higher than the active one.
    #[display(
        "version {version} is not higher than the active version {active}, so processes ignore it"
    )]
    VersionNotHigher {
        /// The version.
        version: u64,
        /// The active version.
        active: u64,
    },
    /// Version 0 stands for an unknown configuration.
    #[display("version 0 means in messages between processes that no configuration is known")]
    VersionZero,
    /// A service is not defined.
    #[display("service {name:?} is not defined")]
    UnknownService {
        /// Name of the service.
        name: String,
    },
    /// The kind of a route is unknown.
    #[display("kind {kind:?} is unknown; its requests run at most once and are not streams")]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// A value is not used because of other fields of the entry.
    #[display("the value is not used because of other fields of this entry")]
    Ignored,
    /// A figure is not a positive number.
    #[display("{figure} is not a positive number")]
    NotPositive {
        /// The figure.
        figure: f64,
    },
    /// An earlier route has the same host and path prefix.
    #[display(
        "an earlier route, {name:?}, has the same host and path prefix and gets all requests"
    )]
    DuplicateRoute {
        /// The earlier route.
        earlier: RouteKey,
        /// Name of the earlier route.
        name: String,
    },
    /// Another route always wins.
    #[display("route {name:?} wins for all requests that this route matches")]
    ShadowedRoute {
        /// The route that wins.
        winner: RouteKey,
        /// Name of the route that wins.
        name: String,
    },
    /// No request matches a route.
    #[display(
        "no request matches: a host is compared without its port and as it is, a path begins with `/` \
         and has no query"
    )]
    UnmatchableRoute,
    /// An asterisk is not a wildcard.
    #[display("`*` is not a wildcard; the prefix matches only paths that contain it")]
    LiteralAsterisk,
    /// A route has no service.
    #[display("the route has no service, so all its requests are rejected")]
    NoService,
    /// All weights of a traffic split are 0.
    #[display("all weights are 0, so the first service gets all requests")]
    ZeroWeights,
    /// No route sends requests to a service.
    #[display("no route sends requests to the service")]
    UnusedService,
    /// An earlier service has the same name.
    #[display("an earlier service has the same name; routes use the last one of that name")]
    DuplicateService {
        /// Index of the earlier service.
        earlier: usize,
    },
    /// An earlier route or workspace has the same name.
    #[display(
        "an earlier entry has the same name; logs, metrics and limits do not distinguish them"
    )]
    DuplicateName {
        /// The earlier entry.
        earlier: Entry,
    },
    /// Two workspaces have the same API key.
    #[display(
        "workspace {name:?} has the same API key; requests count for the last workspace with it"
    )]
    SharedKey {
        /// The earlier workspace.
        earlier: Location,
        /// Name of the earlier workspace.
        name: String,
    },
    /// A workspace has an API key twice.
    #[display("the workspace has this API key twice")]
    RepeatedKey,
    /// No request can have an API key.
    #[display(
        "no request can have this API key: it is empty, not ASCII, or begins or ends with a space"
    )]
    UnusableKey,
    /// A workspace has no API keys.
    #[display("the workspace has no API key, so no request belongs to it")]
    NoKeys,
    /// Routes require API keys and no workspace has one.
    #[display(
        "no workspace has an API key, so all requests of routes that are not public are rejected"
    )]
    NoCallers,
    /// The timeout is shorter than the target latency.
    #[display(
        "the timeout of {timeout_ms} ms is shorter than the target latency of {target_ms} ms"
    )]
    TimeoutBelowTarget {
        /// The timeout.
        timeout_ms: u64,
        /// The target latency.
        target_ms: u64,
    },
    /// The timeout does not leave time for all attempts.
    #[display(
        "{attempts} attempts of {target_ms} ms, the target latency, do not fit into the timeout of \
         {timeout_ms} ms"
    )]
    TooManyAttempts {
        /// Maximum number of attempts.
        attempts: u32,
        /// The target latency.
        target_ms: u64,
        /// The timeout.
        timeout_ms: u64,
    },
    /// A stream has no pause target.
    #[display("the stream has no target for its pauses, so all its events count as late")]
    NoPauseTarget,
    /// The idle timeout is shorter than the longest allowed pause of a stream.
    #[display(
        "the idle timeout of {idle_timeout_ms} ms is shorter than the longest allowed pause of {pause_ms} \
         ms of route {name:?}"
    )]
    IdleBelowPause {
        /// The idle timeout.
        idle_timeout_ms: u64,
        /// The longest allowed pause.
        pause_ms: u64,
        /// The route with this pause.
        route: RouteKey,
        /// Name of the route.
        name: String,
    },
    /// The timeout of the request head is longer than the idle timeout.
    #[display(
        "the timeout of the request head, {header_timeout_ms} ms, is longer than the idle timeout of \
         {idle_timeout_ms} ms"
    )]
    HeaderAboveIdle {
        /// Timeout for receiving the request head.
        header_timeout_ms: u64,
        /// Idle timeout.
        idle_timeout_ms: u64,
    },
    /// One of the two figures of the cold phase is missing or 0.
    #[display(
        "the other figure of the cold phase is missing or 0, so the service has no cold phase"
    )]
    IncompleteColdPhase,
    /// Figures of the expert maps are missing.
    #[display("figures of the expert maps are missing, so the service has none")]
    IncompleteExperts,
}

impl Problem {
    /// Returns the stable code of the problem.
    pub fn code(&self) -> &'static str {
        match self {
            Problem::VersionNotHigher { .. } => "version-not-higher",
            Problem::VersionZero => "version-zero",
            Problem::UnknownService { .. } => "unknown-service",
            Problem::UnknownKind { .. } => "unknown-kind",
            Problem::Ignored => "ignored-value",
            Problem::NotPositive { .. } => "not-positive",
            Problem::DuplicateRoute { .. } => "duplicate-route",
            Problem::ShadowedRoute { .. } => "shadowed-route",
            Problem::UnmatchableRoute => "unmatchable-route",
            Problem::LiteralAsterisk => "literal-asterisk",
            Problem::NoService => "no-service",
            Problem::ZeroWeights => "zero-weights",
            Problem::UnusedService => "unused-service",
            Problem::DuplicateService { .. } => "duplicate-service",
            Problem::DuplicateName { .. } => "duplicate-name",
            Problem::SharedKey { .. } => "shared-key",
            Problem::RepeatedKey => "repeated-key",
            Problem::UnusableKey => "unusable-key",
            Problem::NoKeys => "no-keys",
            Problem::NoCallers => "no-callers",
            Problem::TimeoutBelowTarget { .. } => "timeout-below-target",
            Problem::TooManyAttempts { .. } => "too-many-attempts",
            Problem::NoPauseTarget => "no-pause-target",
            Problem::IdleBelowPause { .. } => "idle-below-pause",
            Problem::HeaderAboveIdle { .. } => "header-above-idle",
            Problem::IncompleteColdPhase => "incomplete-cold-phase",
            Problem::IncompleteExperts => "incomplete-experts",
        }
    }

    /// Returns the severity of the problem.
    pub fn severity(&self) -> Severity {
        match self {
            Problem::VersionZero
            | Problem::LiteralAsterisk
            | Problem::UnusedService
            | Problem::DuplicateName { .. }
            | Problem::RepeatedKey
            | Problem::NoKeys
            | Problem::NoCallers
            | Problem::TimeoutBelowTarget { .. }
            | Problem::TooManyAttempts { .. }
            | Problem::NoPauseTarget
            | Problem::IdleBelowPause { .. }
            | Problem::HeaderAboveIdle { .. } => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Returns the location of the other entry that causes the problem, if there is one.
    pub fn related(&self) -> Option<Location> {
        let route = |key: &RouteKey| Some(Location::of(Entry::Route(key.0 as usize)));
        match self {
            Problem::DuplicateRoute { earlier: key, .. }
            | Problem::ShadowedRoute { winner: key, .. }
            | Problem::IdleBelowPause { route: key, .. } => route(key),
            Problem::DuplicateService { earlier } => Some(Location::of(Entry::Service(*earlier))),
            Problem::DuplicateName { earlier } => Some(Location::of(*earlier)),
            Problem::SharedKey { earlier, .. } => Some(*earlier),
            _ => None,
        }
    }
}

/// A problem and where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Where the problem is.
    pub location: Location,
    /// What is wrong.
    pub problem: Problem,
}

/// Returns the findings of a configuration, and of its version if the active one is given.
pub fn findings(draft: &Draft, active: Option<&RouteTable>) -> Vec<Finding> {
    let mut check = Check { draft, findings: Vec::new() };
    check.version(active);
    check.facts();
    for (key, route) in (0..).map(RouteKey).zip(draft.table.routes()) {
        check.route(key, route);
    }
    for (key, pool) in (0..).map(PoolKey).zip(draft.table.pools()) {
        check.service(key, pool);
    }
    check.limits();
    check.workspaces(draft.table.workspaces());
    check.findings
}

struct Check<'a> {
    draft: &'a Draft,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn report(&mut self, entry: Entry, field: impl Into<Option<Field>>, problem: Problem) {
        let location = Location { entry, field: field.into() };
        self.findings.push(Finding { location, problem });
    }

    /// Returns a figure that is given explicitly.
    fn figure(&self, entry: Entry, field: Field) -> Option<f64> {
        figure(self.draft, Location { entry, field: Some(field) })
    }

    fn version(&mut self, active: Option<&RouteTable>) {
        let version = self.draft.table.version();
        let problem = match active.map(RouteTable::version) {
            Some(active) if version <= active => Problem::VersionNotHigher { version, active },
            _ if version == 0 => Problem::VersionZero,
            _ => return,
        };
        self.report(Entry::Configuration, Field::Version, problem);
    }

    fn facts(&mut self) {
        for Fact { location, kind } in &self.draft.facts {
            let allows_zero = location.field.is_some_and(Field::allows_zero);
            let problem = match kind {
                &FactKind::Figure(figure) if figure > 0.0 || (figure == 0.0 && allows_zero) => {
                    continue;
                }
                &FactKind::Figure(figure) => Problem::NotPositive { figure },
                FactKind::UnknownService(name) => Problem::UnknownService { name: name.clone() },
                FactKind::UnknownKind(kind) => Problem::UnknownKind { kind: kind.clone() },
                FactKind::Ignored => Problem::Ignored,
            };
            self.findings.push(Finding { location: *location, problem });
        }
    }

    fn route(&mut self, key: RouteKey, route: &Route) {
        let entry = Entry::Route(key.0 as usize);
        let table = &self.draft.table;
        let name = |key: RouteKey| table.route(key).name.clone();
        match table.effective_route(key) {
            Some(winner) if winner == key => {}
            None => self.report(entry, None, Problem::UnmatchableRoute),
            Some(earlier) if table.route(earlier).path_prefix == route.path_prefix => {
                self.report(entry, None, Problem::DuplicateRoute { earlier, name: name(earlier) });
            }
            Some(winner) => {
                self.report(entry, None, Problem::ShadowedRoute { winner, name: name(winner) });
            }
        }
        if route.path_prefix.contains('*') {
            self.report(entry, Field::PathPrefix, Problem::LiteralAsterisk);
        }
        let earlier = table.routes()[..key.0 as usize].iter().position(|r| r.name == route.name);
        if let Some(earlier) = earlier.map(Entry::Route) {
            self.report(entry, Field::Name, Problem::DuplicateName { earlier });
        }
        self.route_services(entry, route);
        self.route_times(entry, route);
    }

    fn route_services(&mut self, entry: Entry, route: &Route) {
        // A route with undefined services has a finding for each of them.
        let is_unknown = |fact: &Fact| {
            fact.location.entry == entry && matches!(fact.kind, FactKind::UnknownService(_))
        };
        let has_unknown = self.draft.facts.iter().any(is_unknown);
        match route.split.as_slice() {
            [] if !has_unknown => self.report(entry, Field::Service, Problem::NoService),
            split if !has_unknown && split.iter().all(|&(_, weight)| weight == 0) => {
                self.report(entry, Field::Split, Problem::ZeroWeights);
            }
            _ => {}
        }
    }

    fn route_times(&mut self, entry: Entry, route: &Route) {
        let &Route { timeout_ms, target_ms, attempts, .. } = route;
        match u64::from(attempts).saturating_mul(target_ms) {
            _ if timeout_ms == 0 => {
                self.report(entry, Field::Timeout, Problem::NotPositive { figure: 0.0 });
            }
            _ if timeout_ms < target_ms => {
                let problem = Problem::TimeoutBelowTarget { timeout_ms, target_ms };
                self.report(entry, Field::Timeout, problem);
            }
            needed_ms if needed_ms > timeout_ms => {
                let problem = Problem::TooManyAttempts { attempts, target_ms, timeout_ms };
                self.report(entry, Field::Attempts, problem);
            }
            _ => {}
        }
        let is_given = |field| self.figure(entry, field).is_some();
        if route.repeat.gap_target_ms() == Some(0)
            && !is_given(Field::PauseTarget)
            && !is_given(Field::Target)
        {
            self.report(entry, Field::PauseTarget, Problem::NoPauseTarget);
        }
    }

    fn service(&mut self, key: PoolKey, pool: &Pool) {
        let entry = Entry::Service(key.0 as usize);
        let table = &self.draft.table;
        let earlier = table.pools()[..key.0 as usize].iter().position(|p| p.name == pool.name);
        if let Some(earlier) = earlier {
            self.report(entry, Field::Name, Problem::DuplicateService { earlier });
        }
        // A route whose weights are all 0 sends its requests to its first service.
        let sends = |route: &Route| match route.split.iter().any(|&(_, weight)| weight > 0) {
            true => route.split.iter().any(|&(pool, weight)| pool == key && weight > 0),
            false => route.split.first().is_some_and(|&(pool, _)| pool == key),
        };
        if !table.routes().iter().any(sends) {
            self.report(entry, None, Problem::UnusedService);
        }
        if pool.max_connections == 0 {
            self.report(entry, Field::MaxConnections, Problem::NotPositive { figure: 0.0 });
        }
        let is_positive = |field| self.figure(entry, field).is_some_and(|figure| figure > 0.0);
        match (is_positive(Field::ColdStart), is_positive(Field::ColdRate)) {
            (true, false) => {
                self.report(entry, Field::ColdStart, Problem::IncompleteColdPhase);
            }
            (false, true) => self.report(entry, Field::ColdRate, Problem::IncompleteColdPhase),
            _ => {}
        }
        use EngineFigure::{Experts, Sets, SlotsPerRank};
        let mut dimensions = [Sets, Experts, SlotsPerRank].map(Field::EngineFigure).into_iter();
        if pool.engine.as_ref().is_some_and(|engine| engine.experts.is_none())
            && dimensions.any(|field| self.figure(entry, field).is_some())
        {
            self.report(entry, Field::Engine, Problem::IncompleteExperts);
        }
    }

    fn limits(&mut self) {
        let limits = self.draft.table.limits();
        let (header_timeout_ms, idle_timeout_ms) =
            (limits.header_timeout_ms, limits.idle_timeout_ms);
        let figures = [
            (Field::MaxHeaderBytes, limits.max_header_bytes as u64),
            (Field::MaxBodyBytes, limits.max_body_bytes as u64),
            (Field::HeaderTimeout, header_timeout_ms),
            (Field::IdleTimeout, idle_timeout_ms),
        ];
        for (field, _) in figures.into_iter().filter(|&(_, figure)| figure == 0) {
            self.report(Entry::Limits, field, Problem::NotPositive { figure: 0.0 });
        }
        if header_timeout_ms > idle_timeout_ms {
            let problem = Problem::HeaderAboveIdle { header_timeout_ms, idle_timeout_ms };
            self.report(Entry::Limits, Field::HeaderTimeout, problem);
        }
        let routes = (0..).map(RouteKey).zip(self.draft.table.routes());
        let pauses = routes.filter_map(|(key, route)| Some((route.repeat.gap_target_ms()?, key)));
        let longest = pauses.max_by_key(|&(pause_ms, key)| (pause_ms, std::cmp::Reverse(key)));
        if let Some((pause_ms, route)) = longest.filter(|&(ms, _)| idle_timeout_ms < ms) {
            let name = self.draft.table.route(route).name.clone();
            let problem = Problem::IdleBelowPause { idle_timeout_ms, pause_ms, route, name };
            self.report(Entry::Limits, Field::IdleTimeout, problem);
        }
    }

    fn workspaces(&mut self, workspaces: Option<&[WorkspaceKeys]>) {
        let mut owners: IndexMap<&str, (usize, usize)> = IndexMap::new();
        for (index, workspace) in workspaces.iter().copied().flatten().enumerate() {
            let entry = Entry::Workspace(index);
            let before = &workspaces.unwrap_or_default()[..index];
            let earlier = before.iter().position(|other| other.name == workspace.name);
            if let Some(earlier) = earlier.map(Entry::Workspace) {
                self.report(entry, Field::Name, Problem::DuplicateName { earlier });
            }
            if workspace.keys.is_empty() {
                self.report(entry, Field::Keys, Problem::NoKeys);
            }
            for (number, key) in workspace.keys.iter().enumerate() {
                if key.is_empty() || key.trim() != key || !key.is_ascii() {
                    self.report(entry, Field::Key(number), Problem::UnusableKey);
                }
                let owner = *owners.entry(key).or_insert((index, number));
                let problem = match owner {
                    owner if owner == (index, number) => continue,
                    (owner, _) if owner == index => Problem::RepeatedKey,
                    (owner, first) => Problem::SharedKey {
                        earlier: Location {
                            entry: Entry::Workspace(owner),
                            field: Some(Field::Key(first)),
                        },
                        name: before[owner].name.clone(),
                    },
                };
                self.report(entry, Field::Key(number), problem);
            }
        }
        let has_restricted = self.draft.table.routes().iter().any(|route| !route.public);
        if workspaces.is_some() && owners.is_empty() && has_restricted {
            self.report(Entry::Workspaces, None, Problem::NoCallers);
        }
    }
}

/// Returns a figure that is given explicitly at a location.
pub(crate) fn figure(draft: &Draft, location: Location) -> Option<f64> {
    let at = draft.facts.iter().filter(|fact| fact.location == location);
    at.filter_map(|fact| match fact.kind {
        FactKind::Figure(figure) => Some(figure),
        _ => None,
    })
    .next()
}
