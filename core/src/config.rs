//! Validated configuration, compiled from the current configuration files.
//!
//! `compile` reports all problems at once. A set of files with problems is refused before it is
//! published. Concurrent changes can still produce an invalid set; its invalid items are then left
//! out of the configuration.

use std::fmt;

use currantlink_wire::config as raw;
use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::{BackendKey, ServiceKey, WorkspaceKey, WorkspaceName};

const DEFAULT_DEADLINE_MS: u64 = 30_000;
const DEFAULT_IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];
const MAX_NAME_LEN: usize = 100;
const MAX_WEIGHT: u32 = 1_000;
const TOKEN_HASH_LEN: usize = 32;

/// Reason why an item of a file is left out of the configuration.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Reason {
    /// The file is not JSON of the configuration schema.
    #[display("{detail}")]
    Syntax {
        /// Message of the JSON parser.
        detail: String,
    },
    /// A name is empty, too long or contains characters other than ASCII letters, digits, `-`, `_`
    /// and `.`.
    #[display("{name:?} is no name")]
    Name {
        /// The name.
        name: String,
    },
    /// Another item of this kind has the same name.
    #[display("{name:?} is defined already in {first_file}")]
    Duplicate {
        /// The name.
        name: String,
        /// Name of the file with the first definition.
        first_file: String,
    },
    /// The item refers to another item that does not exist.
    #[display("{kind} {name:?} does not exist")]
    Unknown {
        /// Kind of the missing item.
        kind: Kind,
        /// Name of the missing item.
        name: String,
    },
    /// A value is not allowed.
    #[display("{value:?} is not {expected}")]
    Value {
        /// The value.
        value: String,
        /// Allowed values.
        expected: &'static str,
    },
}

/// Kind of an item that other items refer to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// A workspace.
    #[display("workspace")]
    Workspace,
    /// A service.
    #[display("service")]
    Service,
    /// A group of ranks.
    #[display("group")]
    Group,
}

/// A problem with its location.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Path of the field within the file, such as `services[0].kind`.
    pub path: String,
    /// Reason.
    pub reason: Reason,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.path, self.reason)
    }
}

/// SHA-256 of a bearer token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenHash([u8; TOKEN_HASH_LEN]);

impl TokenHash {
    /// Computes the hash of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &TokenHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl TryFrom<&str> for TokenHash {
    type Error = Reason;

    fn try_from(text: &str) -> Result<Self, Reason> {
        let bytes = hex::decode(text).ok().and_then(|b| b.try_into().ok());
        bytes.map(Self).ok_or_else(|| Reason::Value {
            value: text.to_owned(),
            expected: "a SHA-256 of 64 hexadecimal digits",
        })
    }
}

/// A customer of the model services.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// Hashes of the workspace's bearer tokens.
    pub tokens: Vec<TokenHash>,
    /// Weight for the fair sharing of a contended backend.
    pub weight: u32,
    /// Maximum number of calls in flight per backend.
    pub max_in_flight: usize,
    /// Most urgent priority that the workspace's calls may use; 0 is the most urgent.
    pub min_priority: u32,
}

/// Kind of a service's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model engine.
    Model,
    /// Any other HTTP service.
    Plain,
}

/// A service that callers can address.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Kind of the backend servers.
    pub kind: ServiceKind,
    /// Model versions; the first is the default.
    pub versions: Vec<String>,
    /// HTTP methods whose requests may run more than once.
    pub idempotent_methods: IndexSet<String>,
    /// Default deadline of a call.
    pub deadline_ms: u64,
    /// Backends of the service.
    pub backends: Vec<BackendKey>,
}

/// A fine-tuned variant of a model, for a single workspace.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// Service of the base model.
    pub service: ServiceKey,
    /// Workspace that may use the adapter.
    pub workspace: WorkspaceKey,
    /// Size of the adapter's weights.
    pub size_mb: u32,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name.
    pub name: String,
    /// Service that the backend belongs to.
    pub service: ServiceKey,
    /// Failure domain.
    pub failure_domain: String,
    /// Address of the backend's side.
    pub side_address: std::net::SocketAddr,
    /// Group whose rank the backend hosts.
    pub group: Option<String>,
}

/// A group of ranks that execute steps in lockstep.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Service that the group belongs to.
    pub service: ServiceKey,
    /// Weight of skew in the cost of an expert map.
    pub skew_weight: f64,
    /// Weight of transfers and lost steps in the cost of an expert map.
    pub move_weight: f64,
    /// Backends that host the group's ranks.
    pub backends: Vec<BackendKey>,
}

/// Current configuration, with indexes by name, key and token.
#[derive(Clone, Debug, Default)]
pub struct Config {
    workspaces: IndexMap<String, Workspace>,
    services: IndexMap<String, Service>,
    adapters: IndexMap<String, Adapter>,
    backends: IndexMap<String, Backend>,
    groups: IndexMap<String, Group>,
    tokens: IndexMap<TokenHash, WorkspaceKey>,
}

impl Config {
    /// Returns the workspace that owns a bearer token.
    pub fn workspace_by_token(&self, token: &str) -> Option<(WorkspaceKey, &Workspace)> {
        let hash = TokenHash::of(token);
        let key = *self.tokens.get(&hash)?;
        let workspace = self.workspace(key)?;
        let is_valid = workspace.tokens.iter().any(|t| t.matches(&hash));
        is_valid.then_some((key, workspace))
    }

    /// Returns a workspace by key.
    pub fn workspace(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.workspaces.get_index(key.0 as usize).map(|(_, w)| w)
    }

    /// Returns a workspace by name.
    pub fn workspace_by_name(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Returns a service by key.
    pub fn service(&self, key: ServiceKey) -> Option<&Service> {
        self.services.get_index(key.0 as usize).map(|(_, s)| s)
    }

    /// Returns a service by name.
    pub fn service_by_name(&self, name: &str) -> Option<(ServiceKey, &Service)> {
        let (index, _, service) = self.services.get_full(name)?;
        Some((ServiceKey(index as u32), service))
    }

    /// Returns an adapter by name, if the workspace may use it with the service.
    pub fn adapter(
        &self,
        name: &str,
        service: ServiceKey,
        workspace: WorkspaceKey,
    ) -> Option<&Adapter> {
        let adapter = self.adapters.get(name)?;
        (adapter.service == service && adapter.workspace == workspace).then_some(adapter)
    }

    /// Returns a backend by key.
    pub fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get_index(key.0 as usize).map(|(_, b)| b)
    }

    /// Returns a backend by name.
    pub fn backend_by_name(&self, name: &str) -> Option<(BackendKey, &Backend)> {
        let (index, _, backend) = self.backends.get_full(name)?;
        Some((BackendKey(index as u32), backend))
    }

    /// Returns all backends.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns a group by name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name)
    }
}

/// A compiled configuration and its problems.
#[derive(Clone, Debug, Default)]
pub struct Compiled {
    /// The valid items.
    pub config: Config,
    /// Problems of the items that were left out.
    pub problems: Vec<Problem>,
}

/// Compiles pairs of file name and contents, sorted by name.
pub fn compile<'a>(files: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Compiled {
    let mut compiler = Compiler::default();
    let parsed: Vec<(&str, raw::ConfigFile)> =
        files.into_iter().filter_map(|(name, text)| compiler.parse(name, text)).collect();
    let files = parsed.iter().map(|(name, file)| (*name, file));
    compiler.add_all(&files.collect::<Vec<_>>());
    Compiled { config: compiler.config, problems: compiler.problems }
}

#[derive(Default)]
struct Compiler {
    config: Config,
    problems: Vec<Problem>,
    defined_in: IndexMap<(&'static str, String), String>,
}

struct Location<'a> {
    file: &'a str,
    list: &'static str,
    index: usize,
}

impl Compiler {
    fn parse<'a>(&mut self, name: &'a str, text: &[u8]) -> Option<(&'a str, raw::ConfigFile)> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let parsed = serde_path_to_error::deserialize(&mut json);
        let (path, detail) = match parsed {
            Ok(file) => match json.end() {
                Ok(()) => return Some((name, file)),
                Err(error) => (String::from("."), error.to_string()),
            },
            Err(error) => (error.path().to_string(), error.inner().to_string()),
        };
        let reason = Reason::Syntax { detail };
        self.problems.push(Problem { file: name.to_owned(), path, reason });
        None
    }

    fn add_all(&mut self, files: &[(&str, &raw::ConfigFile)]) {
        for_each_item(files, "workspaces", |f| &f.workspaces, |s, w| self.add_workspace(&s, w));
        for_each_item(files, "services", |f| &f.services, |s, v| self.add_service(&s, v));
        for_each_item(files, "adapters", |f| &f.adapters, |s, a| self.add_adapter(&s, a));
        for_each_item(files, "groups", |f| &f.groups, |s, g| self.add_group(&s, g));
        for_each_item(files, "backends", |f| &f.backends, |s, b| self.add_backend(&s, b));
    }

    fn report(&mut self, location: &Location<'_>, field: &str, reason: Reason) {
        let path = format!("{}[{}].{field}", location.list, location.index);
        self.problems.push(Problem { file: location.file.to_owned(), path, reason });
    }

    fn register_name(&mut self, location: &Location<'_>, name: &str) -> bool {
        if !is_name(name) {
            self.report(location, "name", Reason::Name { name: name.to_owned() });
            return false;
        }
        let id = (location.list, name.to_owned());
        if let Some(first_file) = self.defined_in.get(&id).cloned() {
            let reason = Reason::Duplicate { name: name.to_owned(), first_file };
            self.report(location, "name", reason);
            return false;
        }
        self.defined_in.insert(id, location.file.to_owned());
        true
    }

    fn service_key(&mut self, location: &Location<'_>, name: &str) -> Option<ServiceKey> {
        let key = self.config.service_by_name(name).map(|(key, _)| key);
        if key.is_none() {
            let reason = Reason::Unknown { kind: Kind::Service, name: name.to_owned() };
            self.report(location, "service", reason);
        }
        key
    }

    fn add_workspace(&mut self, location: &Location<'_>, raw: &raw::Workspace) {
        if !self.register_name(location, &raw.name) {
            return;
        }
        let weight = raw.weight.unwrap_or(1);
        if weight == 0 || weight > MAX_WEIGHT {
            let value = weight.to_string();
            self.report(location, "weight", Reason::Value { value, expected: "from 1 to 1000" });
            return;
        }
        let key = WorkspaceKey(self.config.workspaces.len() as u32);
        let mut tokens = Vec::new();
        for text in &raw.token_sha256 {
            match self.parse_token(location, text) {
                Some(hash) => tokens.push(hash),
                None => continue,
            }
        }
        self.config.tokens.extend(tokens.iter().map(|&hash| (hash, key)));
        let workspace = Workspace {
            name: WorkspaceName::from(raw.name.as_str()),
            tokens,
            weight,
            max_in_flight: raw.max_in_flight.map_or(usize::MAX, |n| n as usize),
            min_priority: raw.min_priority.unwrap_or(0),
        };
        self.config.workspaces.insert(raw.name.clone(), workspace);
    }

    fn parse_token(&mut self, location: &Location<'_>, text: &str) -> Option<TokenHash> {
        let hash = match TokenHash::try_from(text) {
            Ok(hash) => hash,
            Err(reason) => {
                self.report(location, "token_sha256", reason);
                return None;
            }
        };
        if self.config.tokens.contains_key(&hash) {
            let value = text.to_owned();
            let expected = "unique; another workspace has the same token";
            self.report(location, "token_sha256", Reason::Value { value, expected });
            return None;
        }
        Some(hash)
    }

    fn add_service(&mut self, location: &Location<'_>, raw: &raw::Service) {
        if !self.register_name(location, &raw.name) {
            return;
        }
        let kind = match raw.kind.as_str() {
            "model" => ServiceKind::Model,
            "plain" => ServiceKind::Plain,
            other => {
                let value = other.to_owned();
                let reason = Reason::Value { value, expected: "\"model\" or \"plain\"" };
                self.report(location, "kind", reason);
                return;
            }
        };
        let methods = match raw.idempotent_methods.as_slice() {
            [] => DEFAULT_IDEMPOTENT_METHODS.map(String::from).into_iter().collect(),
            named => named.iter().cloned().collect(),
        };
        let service = Service {
            name: raw.name.clone(),
            kind,
            versions: raw.versions.clone(),
            idempotent_methods: methods,
            deadline_ms: raw.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
            backends: Vec::new(),
        };
        self.config.services.insert(raw.name.clone(), service);
    }

    fn add_adapter(&mut self, location: &Location<'_>, raw: &raw::Adapter) {
        if !self.register_name(location, &raw.name) {
            return;
        }
        let Some(service) = self.service_key(location, &raw.service) else {
            return;
        };
        let Some(index) = self.config.workspaces.get_index_of(&raw.workspace) else {
            let reason = Reason::Unknown { kind: Kind::Workspace, name: raw.workspace.clone() };
            self.report(location, "workspace", reason);
            return;
        };
        let adapter = Adapter {
            name: raw.name.clone(),
            service,
            workspace: WorkspaceKey(index as u32),
            size_mb: raw.size_mb,
        };
        self.config.adapters.insert(raw.name.clone(), adapter);
    }

    fn add_group(&mut self, location: &Location<'_>, raw: &raw::Group) {
        if !self.register_name(location, &raw.name) {
            return;
        }
        let Some(service) = self.service_key(location, &raw.service) else {
            return;
        };
        let (skew_weight, move_weight) =
            (raw.skew_weight.unwrap_or(1.0), raw.move_weight.unwrap_or(1.0));
        for (field, value) in [("skew_weight", skew_weight), ("move_weight", move_weight)] {
            if !value.is_finite() || value < 0.0 {
                let value = value.to_string();
                self.report(location, field, Reason::Value { value, expected: "0 or more" });
                return;
            }
        }
        let group = Group {
            name: raw.name.clone(),
            service,
            skew_weight,
            move_weight,
            backends: Vec::new(),
        };
        self.config.groups.insert(raw.name.clone(), group);
    }

    fn add_backend(&mut self, location: &Location<'_>, raw: &raw::Backend) {
        if !self.register_name(location, &raw.name) {
            return;
        }
        let Some(service) = self.service_key(location, &raw.service) else {
            return;
        };
        let Ok(side_address) = raw.side_address.parse() else {
            let value = raw.side_address.clone();
            self.report(location, "side_address", Reason::Value { value, expected: "IP:PORT" });
            return;
        };
        if !raw.group.is_empty() && !self.config.groups.contains_key(&raw.group) {
            let reason = Reason::Unknown { kind: Kind::Group, name: raw.group.clone() };
            self.report(location, "group", reason);
            return;
        }
        let key = BackendKey(self.config.backends.len() as u32);
        if let Some((_, entry)) = self.config.services.get_index_mut(service.0 as usize) {
            entry.backends.push(key);
        }
        if let Some(group) = self.config.groups.get_mut(&raw.group) {
            group.backends.push(key);
        }
        let backend = Backend {
            name: raw.name.clone(),
            service,
            failure_domain: raw.failure_domain.clone(),
            side_address,
            group: Some(raw.group.clone()).filter(|g| !g.is_empty()),
        };
        self.config.backends.insert(raw.name.clone(), backend);
    }
}

fn for_each_item<T>(
    files: &[(&str, &raw::ConfigFile)],
    list: &'static str,
    items: impl Fn(&raw::ConfigFile) -> &Vec<T>,
    mut add: impl FnMut(Location<'_>, &T),
) {
    for (file, parsed) in files {
        for (index, item) in items(parsed).iter().enumerate() {
            add(Location { file, list, index }, item);
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_LEN && name.chars().all(allowed)
}
