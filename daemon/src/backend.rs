//! HTTP client that runs calls on the backend server of a side.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_wire::link::{Failed, Head, Header, Submit};
use derive_more::{Display, Error, From};
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio_util::sync::CancellationToken;

use crate::recording::{Recording, ResponsePart};

/// Largest response to a request that is not a call, such as the state of the engine.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Header that passes the request id to the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that apply to a single connection or are set anew for each request. They are not
/// forwarded.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error of a request to the backend server. For calls, the display text is sent to the entry.
#[derive(Debug, Display, Error, From)]
pub enum BackendError {
    /// The call is not a valid HTTP request.
    #[display("bad request: {_0}")]
    Request(http::Error),
    /// No connection to the backend server could be opened.
    #[display("back end unreachable")]
    #[from(ignore)]
    Connect,
    /// The connection failed after the request was sent, or a request that is not a call got an
    /// error status.
    #[display("back end broke off")]
    #[from(ignore)]
    Broken,
    /// The response exceeds the size limit of its recording.
    #[display("answer too large")]
    #[from(ignore)]
    TooLarge,
    /// The call was cancelled or its deadline passed.
    #[display("cancelled")]
    #[from(ignore)]
    Cancelled,
}

impl BackendError {
    fn may_have_run(&self) -> bool {
        !matches!(self, BackendError::Request(_) | BackendError::Connect)
    }
}

/// HTTP client of the backend server. A connection is closed, not reused, if its response was not
/// read to the end.
#[derive(Clone, Debug)]
pub struct BackendClient {
    base_url: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    /// Creates a client for the backend server at `base_url`.
    pub fn new(base_url: &http::Uri) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { base_url: base_url.to_string().trim_end_matches('/').to_owned(), http }
    }

    /// Runs a call for at most `timeout` and records its response or its failure.
    pub async fn run(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
        timeout: Duration,
        cancel: CancellationToken,
    ) {
        let exchange =
            tokio::time::timeout(timeout, self.load_adapter_and_exchange(submit, recording));
        let result = tokio::select! {
            () = cancel.cancelled() => Err(BackendError::Cancelled),
            result = exchange => result.unwrap_or(Err(BackendError::Cancelled)),
        };
        match result {
            Ok(()) => recording.finish(),
            Err(error) => {
                let may_have_run = error.may_have_run();
                recording
                    .push(ResponsePart::Failed(Failed { may_have_run, detail: error.to_string() }));
            }
        }
    }

    /// Requests the engine to load an adapter.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable or responds with an error.
    pub async fn load_adapter(&self, name: &str) -> Result<(), BackendError> {
        self.fetch("POST", &format!("/adapters?name={name}"), Bytes::new()).await?;
        Ok(())
    }

    /// Sends a request that is not a call, such as an order to the engine, and returns the response
    /// body.
    ///
    /// # Errors
    ///
    /// Fails if the backend server is unreachable, responds with an error status, or closes the
    /// connection before the end of the response.
    pub async fn fetch(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, BackendError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header("content-type", "application/json")
            .body(Full::new(body))?;
        let response = self.send(request).await?;
        if !response.status().is_success() {
            return Err(BackendError::Broken);
        }
        let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok(collected.map_err(|_| BackendError::Broken)?.to_bytes())
    }

    async fn load_adapter_and_exchange(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
    ) -> Result<(), BackendError> {
        if !submit.adapter.is_empty() {
            // The call has not been sent, so the error must report that it did not run.
            self.load_adapter(&submit.adapter).await.map_err(|_| BackendError::Connect)?;
        }
        self.exchange(submit, recording).await
    }

    async fn exchange(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
    ) -> Result<(), BackendError> {
        let response = self.send(self.build_request(submit)?).await?;
        let (parts, mut body) = response.into_parts();
        recording.push(ResponsePart::Head(response_head(&parts)));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BackendError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !recording.push(ResponsePart::Data(data)) {
                return Err(BackendError::TooLarge);
            }
        }
        Ok(())
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, BackendError> {
        let sent = self.http.request(request).await;
        sent.map_err(|e| if e.is_connect() { BackendError::Connect } else { BackendError::Broken })
    }

    fn build_request(&self, submit: &Submit) -> Result<Request<Full<Bytes>>, BackendError> {
        let mut request = Request::builder()
            .method(submit.method.as_str())
            .uri(format!("{}{}", self.base_url, submit.path));
        for header in &submit.headers {
            let value = HeaderValue::from_bytes(&header.value).map_err(http::Error::from)?;
            request = request.header(header.name.as_str(), value);
        }
        if let Some(call) = &submit.call {
            request = request.header(REQUEST_ID_HEADER, hex::encode(&call.request_id));
        }
        Ok(request.body(Full::new(submit.body.clone()))?)
    }
}

fn response_head(parts: &http::response::Parts) -> Head {
    let is_forwarded = |name: &HeaderName| !HOP_BY_HOP_HEADERS.contains(&name.as_str());
    let headers = parts.headers.iter().filter(|(name, _)| is_forwarded(name));
    let headers = headers.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    Head { status: u32::from(parts.status.as_u16()), headers: headers.collect() }
}
