//! Settings of entries and sides: reading, validation and defaults.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use currantlink_core::config::TokenHash;
use currantlink_core::exchange::MIN_RETENTION_MS;
use currantlink_wire::settings::{EntrySettings, SideSettings};
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::DaemonError;
use crate::key::LinkKey;

const LOG_POLL_MS: u64 = 500;
const LIST_POLL_MS: u64 = 1_000;
const LOAD_POLL_MS: u64 = 100;
const PING_MS: u64 = 200;
const SILENCE_MS: u64 = 1_000;
const CONNECT_TIMEOUT_MS: u64 = 500;
const GRACE_MS: u64 = 60_000;
const MAX_BODY_KIB: u32 = 1_024;
const TRAFFIC_THREADS: u32 = 2;
const SUBSET_SIZE: u32 = 16;
const RETRY_PERCENT: u32 = 10;
const SNAPSHOT_EVERY_RECORDS: u64 = 200;
const MAX_RUNNING: u32 = 64;
const MAX_QUEUED: u32 = 256;
const MAX_RESPONSE_KIB: u32 = 1_024;
const TICKET_TTL_MS: u64 = 60_000;
const RETENTION_MS: u64 = 60_000;
const ORPHAN_MS: u64 = 5_000;
const HOLD_TIMEOUT_MS: u64 = 2_000;
const SAMPLE_MS: u64 = 250;
const MAX_LINKS: u32 = 1_024;
const BYTES_PER_KIB: usize = 1_024;

/// Error of a settings file.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("could not read settings {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not valid JSON or does not match the schema.
    #[display("settings {}: {field}: {detail}", path.display())]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field in the file.
        field: String,
        /// Message of the parser.
        detail: String,
    },
    /// A field has an invalid value.
    #[display("settings {}: {field}: {value:?} is not {expected}", path.display())]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Name of the field.
        field: &'static str,
        /// Invalid value.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// PEM files for the HTTP server of callers and operators.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    raw: EntrySettings,
    /// Address of the HTTP server.
    pub http_address: SocketAddr,
    /// Key that authenticates links, shared by all processes.
    pub link_key: LinkKey,
    /// SHA-256 hashes of the operators' tokens.
    pub operator_tokens: Vec<TokenHash>,
    /// TLS files of the HTTP server; plain HTTP if absent.
    pub tls: Option<TlsFiles>,
}

impl Entry {
    /// Returns the settings with defaults filled in.
    pub fn raw(&self) -> EntrySettings {
        EntrySettings {
            log_poll_ms: Some(self.log_poll().as_millis() as u64),
            list_poll_ms: Some(self.list_poll().as_millis() as u64),
            ping_ms: Some(self.link_timing().ping.as_millis() as u64),
            silence_ms: Some(self.link_timing().silence.as_millis() as u64),
            connect_timeout_ms: Some(self.link_timing().connect_timeout.as_millis() as u64),
            grace_ms: Some(self.grace().as_millis() as u64),
            max_body_kib: Some((self.max_body_bytes() / BYTES_PER_KIB) as u32),
            traffic_threads: Some(self.traffic_threads() as u32),
            subset_size: Some(self.subset_size() as u32),
            retry_percent: Some(self.retry_percent()),
            snapshot_every_records: Some(self.snapshot_every_records()),
            ..self.raw.clone()
        }
    }

    /// Returns the name of this process.
    pub fn name(&self) -> &str {
        &self.raw.name
    }

    /// Returns the failure domain.
    pub fn failure_domain(&self) -> &str {
        &self.raw.failure_domain
    }

    /// Returns the base URL of the platform's log.
    pub fn log_url(&self) -> &str {
        &self.raw.log_url
    }

    /// Returns the URL of the platform's list of instances.
    pub fn list_url(&self) -> &str {
        &self.raw.list_url
    }

    /// Returns the interval between reads of the log.
    pub fn log_poll(&self) -> Duration {
        millis(self.raw.log_poll_ms, LOG_POLL_MS)
    }

    /// Returns the interval between reads of the list of instances.
    pub fn list_poll(&self) -> Duration {
        millis(self.raw.list_poll_ms, LIST_POLL_MS)
    }

    /// Returns the timing of links.
    pub fn link_timing(&self) -> LinkTiming {
        LinkTiming {
            ping: millis(self.raw.ping_ms, PING_MS),
            silence: millis(self.raw.silence_ms, SILENCE_MS),
            connect_timeout: millis(self.raw.connect_timeout_ms, CONNECT_TIMEOUT_MS),
        }
    }

    /// Returns the grace period of a planned stop.
    pub fn grace(&self) -> Duration {
        millis(self.raw.grace_ms, GRACE_MS)
    }

    /// Returns the maximum size of a request body.
    pub fn max_body_bytes(&self) -> usize {
        self.raw.max_body_kib.unwrap_or(MAX_BODY_KIB) as usize * BYTES_PER_KIB
    }

    /// Returns the number of traffic threads.
    pub fn traffic_threads(&self) -> usize {
        self.raw.traffic_threads.unwrap_or(TRAFFIC_THREADS) as usize
    }

    /// Returns the number of backends per service that the entry links to.
    pub fn subset_size(&self) -> usize {
        self.raw.subset_size.unwrap_or(SUBSET_SIZE) as usize
    }

    /// Returns the number of retries allowed per 100 first attempts.
    pub fn retry_percent(&self) -> u32 {
        self.raw.retry_percent.unwrap_or(RETRY_PERCENT)
    }

    /// Returns the number of log records between snapshots.
    pub fn snapshot_every_records(&self) -> u64 {
        self.raw.snapshot_every_records.unwrap_or(SNAPSHOT_EVERY_RECORDS)
    }
}

/// Timing of the links to sides.
#[derive(Clone, Copy, Debug)]
pub struct LinkTiming {
    /// Interval between pings while a call is in flight.
    pub ping: Duration,
    /// Time without received bytes after which a link in use is replaced.
    pub silence: Duration,
    /// Timeout for opening a link.
    pub connect_timeout: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            ping: Duration::from_millis(PING_MS),
            silence: Duration::from_millis(SILENCE_MS),
            connect_timeout: Duration::from_millis(CONNECT_TIMEOUT_MS),
        }
    }
}

/// Validated settings of a side.
#[derive(Clone, Debug)]
pub struct Side {
    raw: SideSettings,
    /// Address of the link listener.
    pub link_address: SocketAddr,
    /// Address of the operators' HTTP server.
    pub http_address: SocketAddr,
    /// Key that authenticates links, shared by all processes.
    pub link_key: LinkKey,
    /// Base URL of the backend server.
    pub backend_url: http::Uri,
}

impl Side {
    /// Returns the settings with defaults filled in.
    pub fn raw(&self) -> SideSettings {
        SideSettings {
            max_running: Some(self.max_running() as u32),
            max_queued: Some(self.max_queued() as u32),
            max_answer_kib: Some((self.max_response_bytes() / BYTES_PER_KIB) as u32),
            ticket_ttl_ms: Some(self.ticket_ttl_ms()),
            retention_ms: Some(self.retention_ms()),
            orphan_ms: Some(self.orphan_ms()),
            list_poll_ms: Some(self.list_poll().as_millis() as u64),
            load_poll_ms: Some(self.load_poll().as_millis() as u64),
            grace_ms: Some(self.grace().as_millis() as u64),
            traffic_threads: Some(self.traffic_threads() as u32),
            hold_timeout_ms: Some(self.hold_timeout_ms()),
            max_links: Some(self.max_links() as u32),
            sample_ms: Some(self.sample_interval().as_millis() as u64),
            ..self.raw.clone()
        }
    }

    /// Returns the name of this process.
    pub fn name(&self) -> &str {
        &self.raw.name
    }

    /// Returns the failure domain.
    pub fn failure_domain(&self) -> &str {
        &self.raw.failure_domain
    }

    /// Returns the name of the side's backend.
    pub fn backend(&self) -> &str {
        &self.raw.backend
    }

    /// Returns the URL of the platform's list of instances.
    pub fn list_url(&self) -> &str {
        &self.raw.list_url
    }

    /// Returns whether the backend reports load, adapters and expert maps.
    pub fn is_engine(&self) -> bool {
        self.raw.is_engine
    }

    /// Returns whether the engine refuses outdated fencing tokens.
    pub fn engine_checks_fence(&self) -> bool {
        self.raw.engine_checks_fence
    }

    /// Returns whether the engine authenticates the sender of an order.
    pub fn engine_checks_orders(&self) -> bool {
        self.raw.engine_checks_orders
    }

    /// Returns the maximum number of calls that the backend runs concurrently.
    pub fn max_running(&self) -> usize {
        self.raw.max_running.unwrap_or(MAX_RUNNING) as usize
    }

    /// Returns the maximum number of queued calls.
    pub fn max_queued(&self) -> usize {
        self.raw.max_queued.unwrap_or(MAX_QUEUED) as usize
    }

    /// Returns the maximum size of a stored response.
    pub fn max_response_bytes(&self) -> usize {
        self.raw.max_answer_kib.unwrap_or(MAX_RESPONSE_KIB) as usize * BYTES_PER_KIB
    }

    /// Returns the lifetime of a ticket.
    pub fn ticket_ttl_ms(&self) -> u64 {
        self.raw.ticket_ttl_ms.unwrap_or(TICKET_TTL_MS)
    }

    /// Returns the time for which an ended call is stored.
    pub fn retention_ms(&self) -> u64 {
        self.raw.retention_ms.unwrap_or(RETENTION_MS)
    }

    /// Returns the time for which an idempotent call continues without a link.
    pub fn orphan_ms(&self) -> u64 {
        self.raw.orphan_ms.unwrap_or(ORPHAN_MS)
    }

    /// Returns the interval between reads of the list of instances.
    pub fn list_poll(&self) -> Duration {
        millis(self.raw.list_poll_ms, LIST_POLL_MS)
    }

    /// Returns the interval between reads of the engine's load.
    pub fn load_poll(&self) -> Duration {
        millis(self.raw.load_poll_ms, LOAD_POLL_MS)
    }

    /// Returns the grace period of a planned stop.
    pub fn grace(&self) -> Duration {
        millis(self.raw.grace_ms, GRACE_MS)
    }

    /// Returns the number of traffic threads.
    pub fn traffic_threads(&self) -> usize {
        self.raw.traffic_threads.unwrap_or(TRAFFIC_THREADS) as usize
    }

    /// Returns the time after which a held group is recovered.
    pub fn hold_timeout_ms(&self) -> u64 {
        self.raw.hold_timeout_ms.unwrap_or(HOLD_TIMEOUT_MS)
    }

    /// Returns the base URL of the weight store, if configured.
    pub fn store_url(&self) -> Option<&str> {
        Some(self.raw.store_url.as_str()).filter(|url| !url.is_empty())
    }

    /// Returns the interval between samples of expert loads.
    pub fn sample_interval(&self) -> Duration {
        millis(self.raw.sample_ms, SAMPLE_MS)
    }

    /// Returns the maximum number of open links.
    pub fn max_links(&self) -> usize {
        self.raw.max_links.unwrap_or(MAX_LINKS) as usize
    }
}

/// Reads and validates the settings of an entry.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is invalid; the error names both.
pub fn load_entry(path: &Path) -> Result<Entry, SettingsError> {
    let raw: EntrySettings = read(path)?;
    let checker = Checker { path };
    checker.positive("silence_ms", raw.silence_ms)?;
    checker.positive("ping_ms", raw.ping_ms)?;
    checker.positive("traffic_threads", raw.traffic_threads.map(u64::from))?;
    checker.positive("subset_size", raw.subset_size.map(u64::from))?;
    checker.positive("max_body_kib", raw.max_body_kib.map(u64::from))?;
    checker.name("name", &raw.name)?;
    checker.url("log_url", &raw.log_url)?;
    checker.url("list_url", &raw.list_url)?;
    Ok(Entry {
        http_address: checker.address("http_address", &raw.http_address)?,
        link_key: checker.link_key(&raw.link_key_path)?,
        operator_tokens: checker.token_hashes(&raw.operator_token_sha256)?,
        tls: checker.tls(&raw.tls_certificate_path, &raw.tls_key_path)?,
        raw,
    })
}

/// Reads and validates the settings of a side.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is invalid; the error names both.
pub fn load_side(path: &Path) -> Result<Side, SettingsError> {
    let raw: SideSettings = read(path)?;
    let checker = Checker { path };
    checker.positive("max_running", raw.max_running.map(u64::from))?;
    checker.positive("max_answer_kib", raw.max_answer_kib.map(u64::from))?;
    checker.positive("traffic_threads", raw.traffic_threads.map(u64::from))?;
    checker.positive("ticket_ttl_ms", raw.ticket_ttl_ms)?;
    checker.name("name", &raw.name)?;
    checker.at_least("retention_ms", raw.retention_ms, MIN_RETENTION_MS)?;
    checker.name("backend", &raw.backend)?;
    checker.url("list_url", &raw.list_url)?;
    if !raw.store_url.is_empty() {
        checker.url("store_url", &raw.store_url)?;
    }
    Ok(Side {
        link_address: checker.address("link_address", &raw.link_address)?,
        http_address: checker.address("http_address", &raw.http_address)?,
        link_key: checker.link_key(&raw.link_key_path)?,
        backend_url: checker.url("backend_url", &raw.backend_url)?,
        raw,
    })
}

/// Prints settings as JSON to standard output.
///
/// # Errors
///
/// Fails if standard output cannot be written. A closed pipe is not an error.
pub fn print(settings: &impl Serialize) -> Result<(), DaemonError> {
    let mut out = io::stdout().lock();
    let written = serde_json::to_writer_pretty(&mut out, settings).map_err(io::Error::from);
    let written = written.and_then(|()| writeln!(out));
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => other.map_err(DaemonError::Print),
    }
}

pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text =
        fs::read(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        field: error.path().to_string(),
        detail: error.inner().to_string(),
    })
}

fn millis(value: Option<u64>, default_ms: u64) -> Duration {
    Duration::from_millis(value.unwrap_or(default_ms))
}

pub(crate) struct Checker<'a> {
    pub(crate) path: &'a Path,
}

impl Checker<'_> {
    pub(crate) fn error(
        &self,
        field: &'static str,
        value: &str,
        expected: &'static str,
    ) -> SettingsError {
        let (path, value) = (self.path.to_owned(), value.to_owned());
        SettingsError::Value { path, field, value, expected }
    }

    pub(crate) fn name(&self, field: &'static str, value: &str) -> Result<(), SettingsError> {
        let is_empty = value.is_empty();
        if is_empty { Err(self.error(field, value, "a name")) } else { Ok(()) }
    }

    fn positive(&self, field: &'static str, value: Option<u64>) -> Result<(), SettingsError> {
        let is_zero = value == Some(0);
        if is_zero { Err(self.error(field, "0", "1 or more")) } else { Ok(()) }
    }

    fn at_least(
        &self,
        field: &'static str,
        value: Option<u64>,
        min: u64,
    ) -> Result<(), SettingsError> {
        match value {
            Some(value) if value < min => {
                Err(self.error(field, &value.to_string(), "30000 or more"))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn address(
        &self,
        field: &'static str,
        value: &str,
    ) -> Result<SocketAddr, SettingsError> {
        value.parse().map_err(|_| self.error(field, value, "an address IP:PORT"))
    }

    fn url(&self, field: &'static str, value: &str) -> Result<http::Uri, SettingsError> {
        let uri: Option<http::Uri> = value.parse().ok();
        uri.filter(|u| u.scheme_str() == Some("http") && u.authority().is_some())
            .ok_or_else(|| self.error(field, value, "a URL http://IP:PORT"))
    }

    fn link_key(&self, value: &str) -> Result<LinkKey, SettingsError> {
        let path = PathBuf::from(value);
        let bytes = fs::read(&path).map_err(|source| SettingsError::Read { path, source })?;
        LinkKey::try_from(bytes.as_slice())
            .map_err(|_| self.error("link_key_path", value, "a file of 32 bytes or more"))
    }

    fn token_hashes(&self, values: &[String]) -> Result<Vec<TokenHash>, SettingsError> {
        let hash = |text: &String| {
            TokenHash::try_from(text.as_str())
                .map_err(|_| self.error("operator_token_sha256", text, "a SHA-256 in hexadecimal"))
        };
        values.iter().map(hash).collect()
    }

    fn tls(&self, certificate: &str, key: &str) -> Result<Option<TlsFiles>, SettingsError> {
        match (certificate.is_empty(), key.is_empty()) {
            (true, true) => Ok(None),
            (false, false) => {
                Ok(Some(TlsFiles { certificate: certificate.into(), key: key.into() }))
            }
            _ => Err(self.error("tls_key_path", key, "set together with tls_certificate_path")),
        }
    }
}
