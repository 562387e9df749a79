//! Stand-in for the append-only log of the platform.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::server::{self, IncomingRequest};

const DEFAULT_LIMIT: usize = 500;

/// Faults that can be set at run time with `PUT /faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every request except `/faults` fails with status 503.
    pub outage: bool,
    /// Appends take effect but fail with status 504.
    pub lose_answers: bool,
    /// Delay of every response.
    pub delay_ms: u64,
    /// Number of records that are retained, or 0 for no limit.
    pub keep_records: usize,
    /// Rate limit of appends, or 0 for no limit.
    pub appends_per_s: u32,
}

#[derive(Default)]
struct State {
    first_offset: u64,
    records: Vec<String>,
    faults: Faults,
    appends_in_window: u32,
    window_start: Option<Instant>,
}

/// Append-only log. Clones share their state.
#[derive(Clone)]
pub struct Log(Arc<Mutex<State>>);

#[derive(Deserialize)]
struct AppendRequest {
    payload: String,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Serialize)]
struct Page {
    first_offset: u64,
    end_offset: u64,
    records: Vec<PageRecord>,
}

#[derive(Serialize)]
struct PageRecord {
    offset: u64,
    payload: String,
}

impl Default for Log {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State { first_offset: 1, ..State::default() })))
    }
}

impl Log {
    /// Serves the log over HTTP and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let log = self.clone();
        server::serve(address, move |request| {
            let log = log.clone();
            Box::pin(async move { log.handle(request).await })
        })
        .await
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.trim();
    }

    /// Returns the number of records appended since the start, including those no longer retained.
    pub fn appended_records(&self) -> u64 {
        let state = self.lock();
        state.first_offset - 1 + state.records.len() as u64
    }

    async fn handle(&self, request: IncomingRequest) -> http::Response<server::Body> {
        let faults = self.lock().faults;
        if request.path() == "/faults" {
            return self.change_faults(&request);
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return server::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.head.method.as_str(), request.path()) {
            ("POST", "/records") => self.append(&request, faults),
            ("GET", "/records") => self.read(&request),
            _ => server::status(StatusCode::NOT_FOUND),
        }
    }

    fn change_faults(&self, request: &IncomingRequest) -> http::Response<server::Body> {
        match request.json() {
            Some(faults) => {
                self.set_faults(faults);
                server::status(StatusCode::NO_CONTENT)
            }
            None => server::status(StatusCode::BAD_REQUEST),
        }
    }

    fn append(&self, request: &IncomingRequest, faults: Faults) -> http::Response<server::Body> {
        let Some(append) = request.json::<AppendRequest>() else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if !state.admit_append() {
            return server::status(StatusCode::TOO_MANY_REQUESTS);
        }
        state.records.push(append.payload);
        state.trim();
        let offset = state.first_offset + state.records.len() as u64 - 1;
        if faults.lose_answers {
            return server::status(StatusCode::GATEWAY_TIMEOUT);
        }
        server::json(&AppendResponse { offset })
    }

    fn read(&self, request: &IncomingRequest) -> http::Response<server::Body> {
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let state = self.lock();
        let from = number("from").unwrap_or(state.first_offset).max(state.first_offset);
        let limit = number("limit").map_or(DEFAULT_LIMIT, |n| n as usize);
        let skipped = (from - state.first_offset) as usize;
        let kept = state.records.iter().enumerate().skip(skipped).take(limit);
        let records = kept
            .map(|(index, payload)| PageRecord {
                offset: state.first_offset + index as u64,
                payload: payload.clone(),
            })
            .collect();
        let end_offset = state.first_offset + state.records.len() as u64;
        server::json(&Page { first_offset: state.first_offset, end_offset, records })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn trim(&mut self) {
        let keep = self.faults.keep_records;
        if keep > 0 && self.records.len() > keep {
            let excess = self.records.len() - keep;
            self.records.drain(..excess);
            self.first_offset += excess as u64;
        }
    }

    fn admit_append(&mut self) -> bool {
        let rate = self.faults.appends_per_s;
        let is_expired = self.window_start.is_none_or(|s| s.elapsed() >= Duration::from_secs(1));
        if is_expired {
            self.window_start = Some(Instant::now());
            self.appends_in_window = 0;
        }
        self.appends_in_window += 1;
        rate == 0 || self.appends_in_window <= rate
    }
}
