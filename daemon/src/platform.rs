//! Clients of the platform's log and instance list.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use currantlink_core::reader::{Page, RawRecord};
use derive_more::{Display, Error, From};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Records read at a time.
pub const PAGE_RECORDS: usize = 500;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// What is wrong with the platform.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// It cannot be reached.
    #[display("platform unreachable: {_0}")]
    Unreachable(hyper_util::client::legacy::Error),
    /// It did not answer in time; a write may have taken effect.
    #[display("platform timed out")]
    Timeout,
    /// It refused.
    #[display("platform answered {status}")]
    #[from(ignore)]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// Its answer broke off or is too long.
    #[display("platform answer broke off")]
    Body,
    /// Its answer is no JSON of the expected form.
    #[display("platform answer does not parse: {_0}")]
    Json(serde_json::Error),
    /// Its records are not in base64.
    #[display("platform record does not decode: {_0}")]
    Base64(base64::DecodeError),
    /// A request could not be formed.
    #[display("bad platform url: {_0}")]
    Url(http::Error),
}

/// Client of one platform service.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct PageBody {
    first_offset: u64,
    end_offset: u64,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: u64,
    payload: String,
}

#[derive(Serialize)]
struct AppendBody {
    payload: String,
}

#[derive(Deserialize)]
struct AppendedBody {
    offset: u64,
}

/// An instance on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the backend or process.
    pub name: String,
    /// Address of its side's link listener.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

impl Instance {
    /// Returns whether the platform is about to stop the instance.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<Instance>,
}

impl PlatformClient {
    /// Creates a client of the service at `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { base: base.into(), http }
    }

    /// Reads a page of the log.
    ///
    /// # Errors
    ///
    /// Fails where the log cannot be reached or its answer does not parse.
    pub async fn read(&self, from: u64) -> Result<Page, PlatformError> {
        let path = format!("/records?from={from}&limit={PAGE_RECORDS}");
        let body: PageBody = self.request_json(Method::GET, &path, Bytes::new()).await?;
        let records: Result<Vec<RawRecord>, PlatformError> = body
            .records
            .into_iter()
            .map(|r| Ok(RawRecord { offset: r.offset, payload: STANDARD.decode(r.payload)? }))
            .collect();
        let (first_offset, end_offset) = (body.first_offset, body.end_offset);
        Ok(Page { first_offset, end_offset, records: records? })
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// A timeout leaves open whether the record was appended.
    pub async fn append(&self, payload: &[u8]) -> Result<u64, PlatformError> {
        let body = serde_json::to_vec(&AppendBody { payload: STANDARD.encode(payload) })?;
        let appended: AppendedBody =
            self.request_json(Method::POST, "/records", body.into()).await?;
        Ok(appended.offset)
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Fails where the list cannot be reached or its answer does not parse.
    pub async fn instances(&self) -> Result<Vec<Instance>, PlatformError> {
        let body: ListBody = self.request_json(Method::GET, "/instances", Bytes::new()).await?;
        Ok(body.instances)
    }

    /// Reads the list's entry of one instance.
    ///
    /// # Errors
    ///
    /// Fails where the list cannot be reached or its answer does not parse.
    pub async fn instance(&self, name: &str) -> Result<Option<Instance>, PlatformError> {
        let path = format!("/instances?name={name}");
        let body: ListBody = self.request_json(Method::GET, &path, Bytes::new()).await?;
        Ok(body.instances.into_iter().find(|i| i.name == name))
    }

    /// Moves expert weights to a backend; answers once they are there.
    ///
    /// # Errors
    ///
    /// Fails where the store cannot be reached.
    pub async fn transfer(&self, count: u32) -> Result<(), PlatformError> {
        let path = format!("/transfers?count={count}");
        self.send(Method::POST, &path, Bytes::new()).await?;
        Ok(())
    }

    async fn request_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, PlatformError> {
        let send = self.send(method, path, body);
        let bytes = tokio::time::timeout(REQUEST_TIMEOUT, send)
            .await
            .map_err(|_| PlatformError::Timeout)??;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(body))?;
        let response = self.http.request(request).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(PlatformError::Status { status });
        }
        let limited = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let collected = limited.collect().await.map_err(|_| PlatformError::Body)?;
        Ok(collected.to_bytes())
    }
}
