//! Findings in a configuration, and differences between two versions.
#![allow(clippy::unwrap_used)]

use currantlink_core::routes::{
    CallerLimits, EngineProfile, Pool, PoolKey, Repeat, Route, RouteTable, WorkspaceKeys,
};
use currantlink_core::table_check::{
    Draft, EngineFigure, Entry, Fact, FactKind, Field, Location, Severity, findings,
};
use currantlink_core::table_diff::{Change, Value, differences};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        event_wait_ms: None,
        priority: 2,
        attempts: 2,
        public: false,
        split: vec![(PoolKey(0), 1)],
    }
}

fn pool(name: &str) -> Pool {
    Pool { name: name.into(), max_connections: 10, engine: None, cold_phase: None }
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceKeys {
    let keys = keys.iter().map(ToString::to_string).collect();
    WorkspaceKeys { name: name.into(), priority: None, keys }
}

/// Parts of a configuration without findings; tests change single values.
struct Parts {
    version: u64,
    routes: Vec<Route>,
    pools: Vec<Pool>,
    limits: CallerLimits,
    workspaces: Option<Vec<WorkspaceKeys>>,
    facts: Vec<Fact>,
}

impl Parts {
    fn new() -> Self {
        Self {
            version: 7,
            routes: vec![route("r0", "/a/"), route("r1", "/a/b/")],
            pools: vec![pool("s0")],
            limits: CallerLimits::default(),
            workspaces: Some(vec![workspace("w0", &["k0"]), workspace("w1", &["k1"])]),
            facts: Vec::new(),
        }
    }

    fn with(change: impl FnOnce(&mut Self)) -> Self {
        let mut parts = Self::new();
        change(&mut parts);
        parts
    }

    fn draft(self) -> Draft {
        let Self { version, routes, pools, limits, workspaces, facts } = self;
        Draft { table: RouteTable::new(version, routes, pools, limits, workspaces), facts }
    }

    fn fact(&mut self, entry: Entry, field: Field, kind: FactKind) {
        self.facts.push(Fact { location: at(entry, field), kind });
    }
}

fn at(entry: Entry, field: impl Into<Option<Field>>) -> Location {
    Location { entry, field: field.into() }
}

type Found = (Location, &'static str, Severity);

fn found(change: impl FnOnce(&mut Parts)) -> Vec<Found> {
    let found = findings(&Parts::with(change).draft(), None);
    found.iter().map(|f| (f.location, f.problem.code(), f.problem.severity())).collect()
}

fn error(entry: Entry, field: impl Into<Option<Field>>, code: &'static str) -> Vec<Found> {
    vec![(at(entry, field), code, Severity::Error)]
}

fn warning(entry: Entry, field: impl Into<Option<Field>>, code: &'static str) -> Vec<Found> {
    vec![(at(entry, field), code, Severity::Warning)]
}

/// Guards against findings in an ordinary configuration.
#[test]
fn no_findings() {
    assert_eq!(found(|_| ()), []);
    assert_eq!(found(|parts| parts.workspaces = None), [], "no route requires a key");
}

/// Guards against another winner than the one that requests are routed to.
#[test]
fn lost_routes() {
    let duplicate = found(|parts| parts.routes.push(route("r2", "/a/")));
    assert_eq!(duplicate, error(Entry::Route(2), None, "duplicate-route"));
    let other_host = Route { host: "b.example".into(), ..route("r2", "/a/") };
    assert_eq!(found(|parts| parts.routes.push(other_host)), []);
    let shadowed = found(|parts| parts.routes.extend([route("r2", ""), route("r3", "/")]));
    assert_eq!(shadowed, error(Entry::Route(2), None, "shadowed-route"));
    assert_eq!(found(|parts| parts.routes.push(route("r2", ""))), [], "all paths begin with `/`");

    let draft = Parts::with(|parts| parts.routes.push(route("r2", "/a/"))).draft();
    let found = findings(&draft, None);
    assert_eq!(found[0].problem.related(), Some(at(Entry::Route(0), None)));
    let matched = draft.table.match_request("a.example", "/a/x", Some("k0")).unwrap();
    assert_eq!(matched.route.0, 0, "the route that is named gets the requests");
}

/// Guards against routes that no request matches and that look as if they did.
#[test]
fn unmatchable_routes() {
    for prefix in ["a/", "/a?x=1", "/a b", "*"] {
        let found = found(|parts| parts.routes[0].path_prefix = prefix.into());
        assert_eq!(found[..1], error(Entry::Route(0), None, "unmatchable-route"), "{prefix}");
    }
    for host in ["a.example:80", "*", "*.example", "http://a.example"] {
        let found = found(|parts| parts.routes[0].host = host.into());
        assert_eq!(found, error(Entry::Route(0), None, "unmatchable-route"), "{host}");
    }
    let with_port = Route { host: "a.example:80".into(), ..route("r2", "/a/") };
    let with_port = found(|parts| parts.routes.push(with_port));
    assert_eq!(with_port, error(Entry::Route(2), None, "unmatchable-route"), "not a duplicate");
    let asterisk = found(|parts| parts.routes[0].path_prefix = "/a/*".into());
    assert_eq!(asterisk, warning(Entry::Route(0), Field::PathPrefix, "literal-asterisk"));
}

/// Guards against a route without a service, and a service without a route, that are not reported.
#[test]
fn unused_entries() {
    let no_service = found(|parts| parts.routes[1].split.clear());
    assert_eq!(no_service, error(Entry::Route(1), Field::Service, "no-service"));
    let zero = found(|parts| parts.routes[1].split = vec![(PoolKey(0), 0), (PoolKey(0), 0)]);
    assert_eq!(zero, error(Entry::Route(1), Field::Split, "zero-weights"));
    let unused = found(|parts| parts.pools.push(pool("s1")));
    assert_eq!(unused, warning(Entry::Service(1), None, "unused-service"));
    let drained = found(|parts| {
        parts.pools.push(pool("s1"));
        parts.routes[0].split = vec![(PoolKey(0), 1), (PoolKey(1), 0)];
    });
    assert_eq!(drained, warning(Entry::Service(1), None, "unused-service"));
    let unknown = found(|parts| {
        parts.routes[1].split.clear();
        let kind = FactKind::UnknownService("s9".into());
        parts.fact(Entry::Route(1), Field::Service, kind);
    });
    assert_eq!(unknown, error(Entry::Route(1), Field::Service, "unknown-service"));
}

/// Guards against two entries that look like one.
#[test]
fn duplicate_names() {
    let routes = found(|parts| parts.routes[1].name = "r0".into());
    assert_eq!(routes, warning(Entry::Route(1), Field::Name, "duplicate-name"));
    let services = found(|parts| {
        parts.pools.push(pool("s0"));
        parts.routes[1].split = vec![(PoolKey(1), 1)];
    });
    assert_eq!(services, error(Entry::Service(1), Field::Name, "duplicate-service"));
    let workspaces = found(|parts| {
        parts.workspaces = Some(vec![workspace("w", &["k0"]), workspace("w", &["k1"])]);
    });
    assert_eq!(workspaces, warning(Entry::Workspace(1), Field::Name, "duplicate-name"));
}

/// Guards against a workspace whose requests count for another one.
#[test]
fn workspace_keys() {
    let keys = |first: &[&str], second: &[&str]| {
        let list = vec![workspace("w0", first), workspace("w1", second)];
        found(|parts| parts.workspaces = Some(list))
    };
    let second = Entry::Workspace(1);
    assert_eq!(keys(&["a", "b"], &["c", "b"]), error(second, Field::Key(1), "shared-key"));
    assert_eq!(keys(&["a"], &["b", "b"]), warning(second, Field::Key(1), "repeated-key"));
    assert_eq!(keys(&["a"], &[]), warning(second, Field::Keys, "no-keys"));
    for key in ["", " b", "b ", "\u{e9}"] {
        assert_eq!(keys(&["a"], &[key]), error(second, Field::Key(0), "unusable-key"), "{key:?}");
    }
    let nobody = found(|parts| parts.workspaces = Some(Vec::new()));
    assert_eq!(nobody, warning(Entry::Workspaces, None, "no-callers"));
    let public = found(|parts| {
        parts.workspaces = Some(Vec::new());
        parts.routes.iter_mut().for_each(|route| route.public = true);
    });
    assert_eq!(public, []);
}

/// Guards against limits that exclude each other.
#[test]
fn contradictory_limits() {
    let entry = Entry::Route(0);
    let times = |timeout_ms, target_ms, attempts| {
        found(|parts| {
            parts.routes[0] = Route { timeout_ms, target_ms, attempts, ..route("r0", "/a/") };
        })
    };
    assert_eq!(times(100, 100, 1), []);
    assert_eq!(times(99, 100, 1), warning(entry, Field::Timeout, "timeout-below-target"));
    assert_eq!(times(300, 100, 3), []);
    assert_eq!(times(299, 100, 3), warning(entry, Field::Attempts, "too-many-attempts"));
    assert_eq!(times(0, 0, 1), error(entry, Field::Timeout, "not-positive"));
    assert_eq!(times(u64::MAX, u64::MAX, u32::MAX), [], "the product saturates");

    let idle = |idle_timeout_ms, gap_target_ms| {
        found(|parts| {
            parts.limits.idle_timeout_ms = idle_timeout_ms;
            parts.limits.header_timeout_ms = 10;
            parts.routes[1].repeat = Repeat::Stream { gap_target_ms };
        })
    };
    assert_eq!(idle(120, 120), []);
    assert_eq!(idle(119, 120), warning(Entry::Limits, Field::IdleTimeout, "idle-below-pause"));
    let header = found(|parts| parts.limits.header_timeout_ms = 15_001);
    assert_eq!(header, warning(Entry::Limits, Field::HeaderTimeout, "header-above-idle"));
    let body = found(|parts| parts.limits.max_body_bytes = 0);
    assert_eq!(body, error(Entry::Limits, Field::MaxBodyBytes, "not-positive"));
    let pause = found(|parts| {
        let repeat = Repeat::Stream { gap_target_ms: 0 };
        parts.routes[0] = Route { target_ms: 0, repeat, ..route("r0", "/a/") };
    });
    assert_eq!(pause, warning(entry, Field::PauseTarget, "no-pause-target"));
}

/// Guards against figures that have no effect, or not the one that they seem to have.
#[test]
fn odd_figures() {
    let entry = Entry::Service(0);
    let cold = |start: Option<f64>, rate: Option<f64>| {
        found(|parts| {
            for (field, figure) in [(Field::ColdStart, start), (Field::ColdRate, rate)] {
                figure.into_iter().for_each(|f| parts.fact(entry, field, FactKind::Figure(f)));
            }
        })
    };
    assert_eq!(cold(Some(3.0), Some(26.0)), []);
    assert_eq!(cold(Some(0.0), Some(0.0)), [], "switched off");
    let incomplete = "incomplete-cold-phase";
    assert_eq!(cold(Some(3.0), None), error(entry, Field::ColdStart, incomplete));
    assert_eq!(cold(Some(0.0), Some(26.0)), error(entry, Field::ColdRate, incomplete));
    let negative = cold(Some(-1.0), Some(26.0));
    assert_eq!(negative[..1], error(entry, Field::ColdStart, "not-positive"));

    let attempts =
        found(|parts| parts.fact(Entry::Route(1), Field::Attempts, FactKind::Figure(0.0)));
    assert_eq!(attempts, error(Entry::Route(1), Field::Attempts, "not-positive"));
    let engine = |figure, value| {
        found(|parts| {
            parts.pools[0].engine = Some(engine());
            parts.fact(entry, Field::EngineFigure(figure), FactKind::Figure(value));
        })
    };
    let step = Field::EngineFigure(EngineFigure::Step);
    assert_eq!(engine(EngineFigure::Step, 0.0), error(entry, step, "not-positive"));
    assert_eq!(engine(EngineFigure::PerRequest, 0.0), [], "requests may cost nothing");
    let sets = engine(EngineFigure::Sets, 3.0);
    assert_eq!(sets, error(entry, Field::Engine, "incomplete-experts"));
    let ignored = found(|parts| parts.fact(Entry::Route(0), Field::Resumable, FactKind::Ignored));
    assert_eq!(ignored, error(Entry::Route(0), Field::Resumable, "ignored-value"));
}

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 10,
        stride_steps: 6,
        step_ms: 5.0,
        per_request_ms: 0.3,
        prefill_tokens_per_ms: 70.0,
        mean_prompt_tokens: 800.0,
        mean_response_tokens: 150.0,
        experts: None,
    }
}

/// Guards against a record that processes ignore because they know one with the same version.
#[test]
fn old_version() {
    let active = Parts::new().draft().table;
    let codes = |version| {
        let draft = Parts::with(|parts| parts.version = version).draft();
        let found = findings(&draft, Some(&active));
        found.iter().map(|f| (f.problem.code(), f.problem.severity())).collect::<Vec<_>>()
    };
    assert_eq!(codes(8), []);
    assert_eq!(codes(7), [("version-not-higher", Severity::Error)]);
    assert_eq!(codes(6), [("version-not-higher", Severity::Error)]);
    let zero = found(|parts| parts.version = 0);
    assert_eq!(zero, warning(Entry::Configuration, Field::Version, "version-zero"));
}

/// Guards against changes that are not shown, and entries that are matched by their positions.
#[test]
fn changed_entries() {
    let old = Parts::with(|parts| parts.pools.push(pool("s1"))).draft();
    assert_eq!(differences(&old, &old), []);
    let new = Parts::with(|parts| {
        parts.routes = vec![route("r2", "/c/"), route("r1", "/a/b/")];
        parts.routes[1].timeout_ms = 900;
        parts.routes[1].split = vec![(PoolKey(0), 5)];
        parts.pools = vec![pool("s1"), pool("s0")];
        parts.fact(Entry::Service(1), Field::ColdRate, FactKind::Figure(26.0));
        parts.limits.max_body_bytes = 100;
    });
    let found = differences(&old, &new.draft());
    let found: Vec<_> = found.iter().map(|d| (d.location, d.name.as_deref(), &d.change)).collect();
    let changed = |before: Value, after: Value| Change::Changed { before, after };
    let split = |name: &str, weight| Value::Split(vec![(name.into(), weight)]);
    let expected = [
        (at(Entry::Route(0), None), Some("r2"), &Change::Added),
        (at(Entry::Route(1), Field::Timeout), Some("r1"), &changed(1_000.into(), 900.into())),
        (at(Entry::Route(1), Field::Split), Some("r1"), &changed(split("s0", 1), split("s1", 5))),
        (at(Entry::Route(0), None), Some("r0"), &Change::Removed),
        (at(Entry::Service(1), Field::ColdRate), Some("s0"), &changed(Value::Absent, 26.0.into())),
        (at(Entry::Limits, Field::MaxBodyBytes), None, &changed((4 << 20).into(), 100.into())),
    ];
    assert_eq!(found, expected);
}

/// Guards against API keys in the output, and against changed keys that are not shown.
#[test]
fn changed_keys() {
    let with_keys = |keys: &[&str]| {
        let list = vec![workspace("w0", keys)];
        Parts::with(|parts| parts.workspaces = Some(list)).draft()
    };
    let old = with_keys(&["secret-one", "secret-two"]);
    assert_eq!(differences(&old, &with_keys(&["secret-two", "secret-one"])), []);
    let found = differences(&old, &with_keys(&["secret-one", "secret-six"]));
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].location, at(Entry::Workspace(0), Field::Keys));
    assert!(!format!("{found:?}").contains("secret"), "{found:?}");
    let Change::Changed { before: Value::Keys { count, hash }, after } = &found[0].change else {
        panic!("{found:?}");
    };
    assert_eq!((*count, hash.len()), (2, 4));
    assert!(after.to_string().starts_with("2 keys, hash "), "{after}");

    let public = Parts::with(|parts| parts.workspaces = None).draft();
    let codes = |old: &Draft, new: &Draft| {
        let found = differences(old, new);
        found.iter().map(|d| (d.location, d.change.code())).collect::<Vec<_>>()
    };
    let list = at(Entry::Workspaces, None);
    let entry = at(Entry::Workspace(0), None);
    assert_eq!(codes(&old, &public), [(list, "removed"), (entry, "removed")]);
    assert_eq!(codes(&public, &old), [(list, "added"), (entry, "added")]);
}
