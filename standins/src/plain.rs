//! Stand-in for a plain service that counts its runs.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::server::{self, IncomingRequest};

/// Run counts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs started, by request ID.
    pub by_id: IndexMap<String, u64>,
    /// Number of runs started, by request body.
    pub by_body: IndexMap<String, u64>,
    /// Number of runs completed, by request body. A run ends early if its connection is closed.
    #[serde(default)]
    pub completed_by_body: IndexMap<String, u64>,
}

/// Response body that echoes the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// Service name.
    pub service: String,
    /// Request ID as received.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body as text.
    pub body: String,
}

/// Plain service. `/runs` returns the run counts; any other request is echoed and, unless its method
/// is GET, counted.
#[derive(Clone)]
pub struct PlainService {
    name: String,
    request_duration: Duration,
    runs: Arc<Mutex<Runs>>,
}

impl PlainService {
    /// Creates a service whose requests take `request_duration`.
    pub fn new(name: impl Into<String>, request_duration: Duration) -> Self {
        Self { name: name.into(), request_duration, runs: Arc::default() }
    }

    /// Serves over HTTP and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let plain = self.clone();
        server::serve(address, move |request| {
            let plain = plain.clone();
            Box::pin(async move { plain.handle(request).await })
        })
        .await
    }

    /// Returns the run counts so far.
    pub fn runs(&self) -> Runs {
        self.lock().clone()
    }

    async fn handle(&self, request: IncomingRequest) -> http::Response<server::Body> {
        if request.path() == "/runs" {
            return server::json(&self.runs());
        }
        let echo = Echo {
            service: self.name.clone(),
            request_id: request.header("x-request-id").unwrap_or_default().to_owned(),
            method: request.head.method.to_string(),
            path: request.head.uri.path_and_query().map_or("", |p| p.as_str()).to_owned(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        self.count(&echo);
        if !self.request_duration.is_zero() {
            tokio::time::sleep(self.request_duration).await;
        }
        *self.lock().completed_by_body.entry(echo.body.clone()).or_default() += 1;
        server::json(&echo)
    }

    fn count(&self, echo: &Echo) {
        let mut runs = self.lock();
        if echo.method != "GET" {
            *runs.by_id.entry(echo.request_id.clone()).or_default() += 1;
            *runs.by_body.entry(echo.body.clone()).or_default() += 1;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
