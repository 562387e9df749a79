//! Differences between two versions of an operator's configuration.
//!
//! Entries are matched by name. Values are compared by their effect, so that a default that is written
//! out is no difference. Figures that the route table does not hold as written (engines, cold phases) are
//! compared as written.

use derive_more::{Display, From};
use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use crate::routes::{CallerLimits, Pool, Repeat, Route, RouteTable, WorkspaceKeys};
use crate::table_check::{Draft, EngineFigure, Entry, Field, Location, figure};

/// Number of bytes of the hash by which sets of API keys are told apart. It is too short to confirm a
/// guessed key beyond doubt, and long enough that a changed set nearly always has another hash.
const KEY_HASH_BYTES: usize = 4;

const ENGINE_FIGURES: [EngineFigure; 15] = [
    EngineFigure::Slots,
    EngineFigure::LinkRate,
    EngineFigure::Stride,
    EngineFigure::Step,
    EngineFigure::PerRequest,
    EngineFigure::PrefillRate,
    EngineFigure::MeanPrompt,
    EngineFigure::MeanResponse,
    EngineFigure::Sets,
    EngineFigure::Experts,
    EngineFigure::SlotsPerRank,
    EngineFigure::NewPerSet,
    EngineFigure::ExpertSize,
    EngineFigure::ExpertShare,
    EngineFigure::FormTime,
];

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Where it is: in the old configuration if the entry was removed, otherwise in the new one.
    pub location: Location,
    /// Name of the entry, if it has one.
    pub name: Option<String>,
    /// What has changed.
    pub change: Change,
}

/// Kind of a difference.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry is new.
    Added,
    /// The entry no longer exists.
    Removed,
    /// A field has another value.
    Changed {
        /// The old value.
        before: Value,
        /// The new value.
        after: Value,
    },
}

impl Change {
    /// Returns the stable code of the kind.
    pub fn code(&self) -> &'static str {
        match self {
            Change::Added => "added",
            Change::Removed => "removed",
            Change::Changed { .. } => "changed",
        }
    }
}

/// Value of a field.
#[derive(Clone, Debug, Display, From, PartialEq)]
pub enum Value {
    /// A whole number.
    Count(u64),
    /// A figure.
    Figure(f64),
    /// A switch.
    Flag(bool),
    /// A text.
    #[display("{_0:?}")]
    Text(String),
    /// The kind of a route.
    Kind(RequestKind),
    /// The services of a route with their weights.
    #[display("{}", shares_text(_0))]
    Split(Vec<(String, u32)>),
    /// API keys. The keys themselves are not held.
    #[display("{count} keys, hash {}", hex::encode(hash))]
    #[from(ignore)]
    Keys {
        /// Number of different keys.
        count: usize,
        /// Start of the hash of all keys, whatever their order.
        hash: [u8; KEY_HASH_BYTES],
    },
    /// The field is not set.
    #[display("not set")]
    #[from(ignore)]
    Absent,
}

impl<T: Into<Value>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Value::Absent, Into::into)
    }
}

/// Kind of a route's requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// The request may run at most once.
    #[display("at most once")]
    AtMostOnce,
    /// The response is a stream of events.
    #[display("stream")]
    Stream,
}

/// Returns the differences between an old configuration and a new one.
pub fn differences(old: &Draft, new: &Draft) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_lists(
        &mut found,
        (old.table.routes(), new.table.routes()),
        (|route| &route.name, Entry::Route),
        |(_, old_route), (_, new_route)| {
            route_fields(&old.table, old_route).zip(route_fields(&new.table, new_route)).collect()
        },
    );
    compare_lists(
        &mut found,
        (old.table.pools(), new.table.pools()),
        (|pool| &pool.name, Entry::Service),
        |old_pool, new_pool| {
            service_fields(old, old_pool).zip(service_fields(new, new_pool)).collect()
        },
    );
    let limits = limit_fields(old.table.limits()).zip(limit_fields(new.table.limits()));
    found.extend(changes(Entry::Limits, None, limits));
    let workspaces = |draft: &Draft| draft.table.workspaces().map(<[_]>::to_vec);
    let (old, new) = (workspaces(old), workspaces(new));
    let change = match (&old, &new) {
        (None, Some(_)) => Some(Change::Added),
        (Some(_), None) => Some(Change::Removed),
        _ => None,
    };
    let location = Location::of(Entry::Workspaces);
    found.extend(change.map(|change| Difference { location, name: None, change }));
    compare_lists(
        &mut found,
        (&old.unwrap_or_default(), &new.unwrap_or_default()),
        (|workspace| &workspace.name, Entry::Workspace),
        |(_, old), (_, new)| workspace_fields(old).zip(workspace_fields(new)).collect(),
    );
    found
}

type FieldValue = (Field, Value);

/// Compares two lists. The entries with one name are matched in their order.
fn compare_lists<T>(
    found: &mut Vec<Difference>,
    (old, new): (&[T], &[T]),
    (name, entry): (impl Fn(&T) -> &String, impl Fn(usize) -> Entry),
    fields: impl Fn((usize, &T), (usize, &T)) -> Vec<(FieldValue, FieldValue)>,
) {
    let (old, new) = (by_name(old, &name), by_name(new, &name));
    for (key, &(index, item)) in &new {
        let (entry, name) = (entry(index), Some(key.0.to_owned()));
        match old.get(key) {
            Some(&before) => found.extend(changes(entry, name, fields(before, (index, item)))),
            None => {
                let location = Location::of(entry);
                found.push(Difference { location, name, change: Change::Added });
            }
        }
    }
    for (key, &(index, _)) in old.iter().filter(|(key, _)| !new.contains_key(*key)) {
        let (location, name) = (Location::of(entry(index)), Some(key.0.to_owned()));
        found.push(Difference { location, name, change: Change::Removed });
    }
}

/// Returns the entries by name and number among those of this name, with their indexes.
fn by_name<T>(items: &[T], name: impl Fn(&T) -> &String) -> IndexMap<(&str, usize), (usize, &T)> {
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    let keyed = items.iter().enumerate().map(|(index, item)| {
        let count = counts.entry(name(item)).or_default();
        *count += 1;
        ((name(item).as_str(), *count), (index, item))
    });
    keyed.collect()
}

fn changes(
    entry: Entry,
    name: Option<String>,
    fields: impl IntoIterator<Item = (FieldValue, FieldValue)>,
) -> impl Iterator<Item = Difference> {
    let changed = fields.into_iter().filter(|(before, after)| before.1 != after.1);
    changed.map(move |((field, before), (_, after))| Difference {
        location: Location { entry, field: Some(field) },
        name: name.clone(),
        change: Change::Changed { before, after },
    })
}

fn route_fields(table: &RouteTable, route: &Route) -> impl Iterator<Item = FieldValue> + use<> {
    let (kind, resumable) = match route.repeat {
        Repeat::Idempotent => (RequestKind::Idempotent, false),
        Repeat::AtMostOnce => (RequestKind::AtMostOnce, false),
        Repeat::Stream { .. } => (RequestKind::Stream, false),
        Repeat::ResumableStream { .. } => (RequestKind::Stream, true),
    };
    let shares = route.split.iter().map(|&(pool, weight)| (table.pool(pool).name.clone(), weight));
    [
        (Field::Host, route.host.clone().into()),
        (Field::PathPrefix, route.path_prefix.clone().into()),
        (Field::Kind, kind.into()),
        (Field::Resumable, resumable.into()),
        (Field::PauseTarget, route.repeat.gap_target_ms().into()),
        (Field::Timeout, route.timeout_ms.into()),
        (Field::Target, route.target_ms.into()),
        (Field::Priority, u64::from(route.priority).into()),
        (Field::Attempts, u64::from(route.attempts).into()),
        (Field::Public, route.public.into()),
        (Field::Split, shares.collect::<Vec<_>>().into()),
    ]
    .into_iter()
}

fn service_fields(
    draft: &Draft,
    (index, pool): (usize, &Pool),
) -> impl Iterator<Item = FieldValue> {
    let connections = Some(pool.max_connections).filter(|&count| count < u32::MAX);
    let written = move |field| {
        let location = Location { entry: Entry::Service(index), field: Some(field) };
        (field, figure(draft, location).into())
    };
    let engine_figures = ENGINE_FIGURES.into_iter().map(Field::EngineFigure);
    [
        (Field::MaxConnections, connections.map(u64::from).into()),
        (Field::Engine, pool.engine.is_some().into()),
    ]
    .into_iter()
    .chain([Field::ColdStart, Field::ColdRate].into_iter().chain(engine_figures).map(written))
}

fn limit_fields(limits: CallerLimits) -> impl Iterator<Item = FieldValue> {
    [
        (Field::MaxHeaderBytes, (limits.max_header_bytes as u64).into()),
        (Field::MaxBodyBytes, (limits.max_body_bytes as u64).into()),
        (Field::HeaderTimeout, limits.header_timeout_ms.into()),
        (Field::IdleTimeout, limits.idle_timeout_ms.into()),
    ]
    .into_iter()
}

fn workspace_fields(workspace: &WorkspaceKeys) -> impl Iterator<Item = FieldValue> + use<> {
    [
        (Field::Priority, workspace.priority.map(u64::from).into()),
        (Field::Keys, keys_value(&workspace.keys)),
    ]
    .into_iter()
}

fn keys_value(keys: &[String]) -> Value {
    let mut keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    keys.sort_unstable();
    keys.dedup();
    let mut hasher = Sha256::new();
    for key in &keys {
        hasher.update((key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
    }
    let digest = hasher.finalize();
    let mut hash = [0; KEY_HASH_BYTES];
    hash.copy_from_slice(&digest[..KEY_HASH_BYTES]);
    Value::Keys { count: keys.len(), hash }
}

fn shares_text(shares: &[(String, u32)]) -> String {
    let texts = shares.iter().map(|(service, weight)| format!("{service:?} x {weight}"));
    match shares {
        [] => "no service".to_owned(),
        _ => texts.collect::<Vec<_>>().join(", "),
    }
}
