//! HTTP client of the platform's log, instance list and weight store.

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

/// Maximum number of records in a page of the log.
pub const PAGE_RECORDS: usize = 500;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Error of a request to the platform.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform cannot be reached.
    #[display("could not reach the platform: {_0}")]
    Unreachable(hyper_util::client::legacy::Error),
    /// No response arrived in time. A write may have taken effect.
    #[display("request to the platform timed out")]
    Timeout,
    /// The response has an error status.
    #[display("platform responded with status {status}")]
    #[from(ignore)]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The response body is truncated or too long.
    #[display("response body of the platform is truncated or too long")]
    Body,
    /// The response body is not the expected JSON.
    #[display("could not parse the platform's response: {_0}")]
    Json(serde_json::Error),
    /// The payload of a record is not valid base64.
    #[display("could not decode a record of the log: {_0}")]
    Base64(base64::DecodeError),
    /// The request could not be built from the configured URL.
    #[display("invalid platform url: {_0}")]
    Url(http::Error),
}

/// HTTP client of one platform service.
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

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the backend or process.
    pub name: String,
    /// Address of the link listener of the instance's side.
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
    /// Creates a client of the service at the URL `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { base: base.into(), http }
    }

    /// Reads a page of the log from offset `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be reached or the response cannot be parsed.
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
    /// Fails if the log does not acknowledge the record. After a timeout, the record may have been
    /// appended.
    pub async fn append(&self, payload: &[u8]) -> Result<u64, PlatformError> {
        let body = serde_json::to_vec(&AppendBody { payload: STANDARD.encode(payload) })?;
        let appended: AppendedBody =
            self.request_json(Method::POST, "/records", body.into()).await?;
        Ok(appended.offset)
    }

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Fails if the list cannot be reached or the response cannot be parsed.
    pub async fn instances(&self) -> Result<Vec<Instance>, PlatformError> {
        let body: ListBody = self.request_json(Method::GET, "/instances", Bytes::new()).await?;
        Ok(body.instances)
    }

    /// Reads one instance from the list; `None` if the list does not contain it.
    ///
    /// # Errors
    ///
    /// Fails if the list cannot be reached or the response cannot be parsed.
    pub async fn instance(&self, name: &str) -> Result<Option<Instance>, PlatformError> {
        let path = format!("/instances?name={name}");
        let body: ListBody = self.request_json(Method::GET, &path, Bytes::new()).await?;
        Ok(body.instances.into_iter().find(|i| i.name == name))
    }

    /// Transfers the weights of `count` experts to a backend and waits for completion.
    ///
    /// # Errors
    ///
    /// Fails if the weight store cannot be reached or responds with an error status.
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
