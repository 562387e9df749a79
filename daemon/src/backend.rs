//! Calls to the back end beside a side.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_wire::link::{Failed, Head, Header, Submit};
use derive_more::{Display, Error, From};
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio_util::sync::CancellationToken;

use crate::recording::{Recording, ResponsePart};

/// Header that gives back ends the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers of one hop, which are not passed on.
pub const HOP_HEADERS: [&str; 9] = [
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

/// What is wrong with a call to the back end.
#[derive(Debug, Display, Error, From)]
pub enum BackendError {
    /// The call cannot be written as a request.
    #[display("bad request: {_0}")]
    Request(http::Error),
    /// No connection could be opened.
    #[display("back end unreachable")]
    #[from(ignore)]
    Connect,
    /// The request was sent and the answer broke off.
    #[display("back end broke off")]
    #[from(ignore)]
    Broken,
    /// The answer is too large to be kept.
    #[display("answer too large")]
    #[from(ignore)]
    TooLarge,
    /// The call was cancelled or its time is up.
    #[display("cancelled")]
    #[from(ignore)]
    Cancelled,
}

impl BackendError {
    fn may_have_run(&self) -> bool {
        !matches!(self, BackendError::Request(_) | BackendError::Connect)
    }
}

/// Client of the back end. A connection with an abandoned answer is closed, not reused.
#[derive(Clone, Debug)]
pub struct BackendClient {
    base: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    /// Creates a client of the back end at `base`.
    pub fn new(base: &http::Uri) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { base: base.to_string().trim_end_matches('/').to_owned(), http }
    }

    /// Runs a call and records its answer.
    pub async fn run(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
        limit: Duration,
        cancel: CancellationToken,
    ) {
        let running = tokio::time::timeout(limit, self.load_and_exchange(submit, recording));
        let result = tokio::select! {
            () = cancel.cancelled() => Err(BackendError::Cancelled),
            result = running => result.unwrap_or(Err(BackendError::Cancelled)),
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

    /// Has the engine load an adapter.
    ///
    /// # Errors
    ///
    /// Fails where the engine cannot be reached or refuses.
    pub async fn load_adapter(&self, name: &str) -> Result<(), BackendError> {
        self.ask("POST", &format!("/adapters?name={name}"), Bytes::new()).await?;
        Ok(())
    }

    /// Sends a request that is no call, such as an order to the engine.
    ///
    /// # Errors
    ///
    /// Fails where the back end cannot be reached or its answer breaks off.
    pub async fn ask(&self, method: &str, path: &str, body: Bytes) -> Result<Bytes, BackendError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(body))?;
        let response = self.send(request).await?;
        if !response.status().is_success() {
            return Err(BackendError::Broken);
        }
        let collected = response.into_body().collect().await;
        Ok(collected.map_err(|_| BackendError::Broken)?.to_bytes())
    }

    async fn load_and_exchange(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
    ) -> Result<(), BackendError> {
        if !submit.adapter.is_empty() {
            // The call itself was not sent yet.
            self.load_adapter(&submit.adapter).await.map_err(|_| BackendError::Connect)?;
        }
        self.exchange(submit, recording).await
    }

    async fn exchange(
        &self,
        submit: &Submit,
        recording: &Arc<Recording>,
    ) -> Result<(), BackendError> {
        let response = self.send(self.request(submit)?).await?;
        let (parts, mut body) = response.into_parts();
        recording.push(ResponsePart::Head(head(&parts)));
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

    fn request(&self, submit: &Submit) -> Result<Request<Full<Bytes>>, BackendError> {
        let mut request = Request::builder()
            .method(submit.method.as_str())
            .uri(format!("{}{}", self.base, submit.path));
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

fn head(parts: &http::response::Parts) -> Head {
    let passed = |name: &HeaderName| !HOP_HEADERS.contains(&name.as_str());
    let headers = parts.headers.iter().filter(|(name, _)| passed(name));
    let headers = headers.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    Head { status: u32::from(parts.status.as_u16()), headers: headers.collect() }
}
