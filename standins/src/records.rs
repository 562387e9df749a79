//! Stand-in for the record store of the platform: an append-only log with keyed topics and faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use currantlink_platform::{names, store};
use http::{HeaderValue, Response, StatusCode};
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::Notify;

use crate::server::{self, Body, IncomingRequest};

/// How the store handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Requests are served.
    #[default]
    Up,
    /// Requests fail with status 503 and have no effect.
    Busy,
    /// Requests are read, have no effect and get no response.
    Silent,
    /// Requests take effect and get no response.
    LoseResponses,
}

/// Record store. Clones share their state.
#[derive(Clone, Default)]
pub struct RecordStore(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    topics: IndexMap<String, Topic>,
    /// Number of restores.
    era: u64,
    health: Health,
    delay: Duration,
    requests: u64,
}

#[derive(Default)]
struct Topic {
    /// First offset that can be read.
    first_offset: u64,
    records: Vec<Stored>,
    newest: IndexMap<String, (u64, Bytes)>,
}

#[derive(Clone)]
struct Stored {
    at: Instant,
    content: Bytes,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, record: Stored) {
        let offset = self.end_offset();
        if is_keyed && let Ok(keyed) = store::decode_keyed_record(record.content.clone()) {
            match keyed.value {
                Some(value) => drop(self.newest.insert(keyed.key, (offset, value))),
                None => drop(self.newest.shift_remove(&keyed.key)),
            }
        }
        self.records.push(record);
    }
}

impl RecordStore {
    /// Listens on `address` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let records = self.clone();
        server::serve(address, move |request| {
            let records = records.clone();
            Box::pin(async move { records.handle(&request).await })
        })
        .await
    }

    /// Sets how the store handles subsequent requests.
    pub fn set_health(&self, health: Health) {
        self.state().health = health;
    }

    /// Sets the delay before a request is handled.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Returns the number of requests received so far.
    pub fn requests(&self) -> u64 {
        self.state().requests
    }

    /// Appends a record to a keyed topic, as an operator or a backend would.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, vec![store::encode_keyed_record(key, value)]);
    }

    /// Drops all records. The newest record of each key of a keyed topic can still be listed.
    pub fn truncate(&self) {
        for topic in self.state().topics.values_mut() {
            topic.first_offset = topic.end_offset();
        }
    }

    /// Restores the store from a copy of `age`, and begins a new era. Returns what the operator and the
    /// backends wrote since, by topic, which they write again.
    pub fn restore(&self, age: Duration) -> Vec<(String, Vec<Bytes>)> {
        let Some(copied_at) = Instant::now().checked_sub(age) else {
            return Vec::new();
        };
        let mut state = self.state();
        state.era += 1;
        let mut rewritten = Vec::new();
        for (name, topic) in &mut state.topics {
            let kept = topic.records.partition_point(|record| record.at <= copied_at);
            let lost = topic.records.split_off(kept);
            if [names::OPERATOR_TOPIC, names::BACKENDS_TOPIC].contains(&name.as_str()) {
                let lost = lost.into_iter().map(|record| record.content);
                rewritten.push((name.clone(), lost.collect()));
            }
            let records = std::mem::take(&mut topic.records);
            let first_offset = topic.first_offset.min(kept as u64);
            *topic = Topic { first_offset, ..Topic::default() };
            records.into_iter().for_each(|record| topic.push(is_keyed(name), record));
        }
        drop(state);
        self.0.changed.notify_waiters();
        rewritten
    }

    /// Writes records again that a restore has lost.
    pub fn write_again(&self, lost: Vec<(String, Vec<Bytes>)>) {
        for (topic, records) in lost {
            self.append(&topic, records);
        }
    }

    fn append(&self, topic: &str, records: Vec<Bytes>) -> (u64, u64) {
        let is_keyed = is_keyed(topic);
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end_offset();
        let at = Instant::now();
        records.into_iter().for_each(|content| topic.push(is_keyed, Stored { at, content }));
        let end_offset = topic.end_offset();
        drop(state);
        self.0.changed.notify_waiters();
        (offset, end_offset)
    }

    async fn handle(&self, request: &IncomingRequest) -> Response<Body> {
        let (health, delay) = {
            let mut state = self.state();
            state.requests += 1;
            (state.health, state.delay)
        };
        tokio::time::sleep(delay).await;
        match health {
            Health::Up => self.execute(request).await,
            Health::Busy => server::status(StatusCode::SERVICE_UNAVAILABLE),
            Health::Silent => std::future::pending().await,
            Health::LoseResponses => {
                self.execute(request).await;
                std::future::pending().await
            }
        }
    }

    async fn execute(&self, request: &IncomingRequest) -> Response<Body> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let mut response = match request.path() {
            "/api/log-append" => self.handle_append(request, &topic),
            "/api/log-newest" => self.handle_newest(request, &topic),
            "/api/log-read" => self.handle_read(request, &topic).await,
            _ => server::status(StatusCode::NOT_FOUND),
        };
        response.headers_mut().insert(names::STORE_ERA, HeaderValue::from(self.state().era));
        response
    }

    fn handle_append(&self, request: &IncomingRequest, topic: &str) -> Response<Body> {
        let end_offset = self.state().topics.get(topic).map_or(0, Topic::end_offset);
        if request.query("at").is_some_and(|at| at.parse() != Ok(end_offset)) {
            let body = json!({ "end_offset": end_offset });
            return server::json_status(StatusCode::PRECONDITION_FAILED, &body);
        }
        let Some(records) = split_records(&request.body) else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        let (offset, end_offset) = self.append(topic, records);
        server::json_status(StatusCode::OK, &json!({ "offset": offset, "end_offset": end_offset }))
    }

    fn handle_newest(&self, request: &IncomingRequest, topic: &str) -> Response<Body> {
        const PAGE_ITEMS: usize = 5;
        let state = self.state();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let mut keys: Vec<&String> = topic.newest.keys().collect();
        keys.sort();
        let after = request.query("after").unwrap_or_default();
        let rest: Vec<&String> = keys.into_iter().filter(|key| key.as_str() > after).collect();
        let item = |key: &&String| {
            let (offset, value) = &topic.newest[key.as_str()];
            json!({ "key": key, "value": BASE64_STANDARD.encode(value), "offset": offset })
        };
        let items: Vec<_> = rest.iter().take(PAGE_ITEMS).map(item).collect();
        let has_more = rest.len() > PAGE_ITEMS;
        let end_offset = topic.end_offset();
        let body = json!({ "items": items, "has_more": has_more, "end_offset": end_offset });
        server::json_status(StatusCode::OK, &body)
    }

    async fn handle_read(&self, request: &IncomingRequest, topic: &str) -> Response<Body> {
        let from: u64 = request.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
        let wait_ms = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.0.changed.notified();
            if let Some(response) = self.read_now(topic, from, wait_ms > 0) {
                return response;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return self
                    .read_now(topic, from, false)
                    .unwrap_or_else(|| server::status(StatusCode::INTERNAL_SERVER_ERROR));
            }
        }
    }

    /// Reads the available records; returns `None` if there are none and the client waits.
    fn read_now(&self, topic: &str, from: u64, may_wait: bool) -> Option<Response<Body>> {
        let state = self.state();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        if !(topic.first_offset..=topic.end_offset()).contains(&from) {
            let body = json!({ "first": topic.first_offset });
            return Some(server::json_status(StatusCode::GONE, &body));
        }
        let records = &topic.records[from as usize..];
        if records.is_empty() && may_wait {
            return None;
        }
        let mut body = Vec::new();
        body.extend_from_slice(&topic.end_offset().to_be_bytes());
        body.extend_from_slice(&topic.first_offset.to_be_bytes());
        for Stored { content, .. } in records {
            body.extend_from_slice(&(content.len() as u32).to_be_bytes());
            body.extend_from_slice(content);
        }
        Some(server::bytes(Bytes::from(body)))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_keyed(topic: &str) -> bool {
    topic.starts_with("keyed.")
}

fn split_records(body: &Bytes) -> Option<Vec<Bytes>> {
    const LEN_BYTES: usize = 4;
    let mut rest = body.clone();
    let mut records = Vec::new();
    while !rest.is_empty() {
        let len: [u8; LEN_BYTES] = rest.get(..LEN_BYTES)?.try_into().ok()?;
        let len = u32::from_be_bytes(len) as usize;
        let _ = rest.split_to(LEN_BYTES);
        if rest.len() < len {
            return None;
        }
        records.push(rest.split_to(len));
    }
    Some(records)
}
