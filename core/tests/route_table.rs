//! The route table returns the route with the longest prefix, and the workspace of the API key.

use currantlink_core::routes::{
    CallerLimits, Denied, Pool, PoolKey, Repeat, Route, RouteKey, RouteTable, WorkspaceKeys,
};

fn route(name: &str, prefix: &str, public: bool) -> Route {
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
        public,
        split: vec![(PoolKey(0), 90), (PoolKey(1), 10)],
    }
}

fn table() -> RouteTable {
    let routes = vec![route("short", "/a/", false), route("long", "/a/b/", true)];
    let pool = |name: &str| Pool {
        name: name.into(),
        max_connections: 10,
        engine: None,
        cold_phase: None,
    };
    let workspace =
        WorkspaceKeys { name: "one".into(), priority: Some(0), keys: vec!["k1".into()] };
    let limits = CallerLimits::default();
    RouteTable::new(7, routes, vec![pool("x"), pool("y")], limits, Some(vec![workspace]))
}

fn name(path: &str, key: Option<&str>) -> Result<String, Denied> {
    let table = table();
    let matched = table.match_request("A.example:80", path, key)?;
    Ok(table.route(matched.route).name.clone())
}

#[test]
fn longest_prefix() {
    assert_eq!(name("/a/b/c", Some("k1")).unwrap(), "long");
    assert_eq!(name("/a/bc", Some("k1")).unwrap(), "short");
    assert_eq!(name("/b", Some("k1")), Err(Denied::NoRoute));
}

#[test]
fn other_host() {
    assert_eq!(table().match_request("b.example", "/a/", Some("k1")), Err(Denied::NoRoute));
}

#[test]
fn unknown_key() {
    assert_eq!(name("/a/x", Some("k2")), Err(Denied::UnknownKey));
    assert_eq!(name("/a/x", None), Err(Denied::UnknownKey));
    assert_eq!(name("/a/b/x", None).unwrap(), "long");
}

#[test]
fn workspace_priority() {
    let table = table();
    let with_key = table.match_request("a.example", "/a/b/", Some("k1")).unwrap();
    assert_eq!((with_key.workspace.as_deref(), with_key.priority), (Some("one"), 0));
    let without_key = table.match_request("a.example", "/a/b/", None).unwrap();
    assert_eq!((without_key.workspace, without_key.priority), (None, 2));
}

#[test]
fn weighted_split() {
    let table = table();
    let picked = |draw| {
        table.pick_pool(table.match_request("a.example", "/a/b/", None).unwrap().route, draw)
    };
    let second = (0..1_000).filter(|&draw| picked(draw) == Some(PoolKey(1))).count();
    assert_eq!(second, 100);
}

#[test]
fn urgency_classes() {
    let urgency = |priorities: &[u32]| {
        let routes = priorities.iter().map(|&priority| Route { priority, ..route("a", "/", true) });
        let pool = Pool { name: "x".into(), max_connections: 10, engine: None, cold_phase: None };
        let table = RouteTable::new(7, routes.collect(), vec![pool], CallerLimits::default(), None);
        let class = |key| table.urgency_class(RouteKey(key), PoolKey(0)).map(|class| class.0);
        let classes: Vec<_> = (0..priorities.len() as u32).map(class).collect();
        assert_eq!(table.has_classes("x"), table.class_count(PoolKey(0)) > 1);
        (table.class_count(PoolKey(0)), classes)
    };
    assert_eq!(urgency(&[2, 2]), (1, vec![None, None]), "all routes have the same priority");
    assert_eq!(urgency(&[7, 0, 2, 7]), (3, vec![Some(2), Some(0), Some(1), Some(2)]));
    assert_eq!(urgency(&[0, 1, 2, 3, 4, 5]).0, 5);
    assert_eq!(urgency(&[0, 1, 2, 3, 4, 5]).1[4..], [Some(4), Some(4)]);
    assert!(!table().has_classes("unknown"));
}
