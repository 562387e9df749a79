//! HTTP client for an entry.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::args::Remote;
use crate::error::CliError;

const MAX_REDIRECTS: usize = 5;

/// Body of an error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// `not-run`, `failed` or `unknown`.
    pub outcome: Option<String>,
    /// Human-readable message.
    pub message: String,
    /// Items that the error applies to.
    pub details: Vec<String>,
}

/// HTTP request to an entry.
pub struct ApiRequest {
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Headers in addition to `authorization`.
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl ApiRequest {
    /// Creates a GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized.
    pub fn post(path: impl Into<String>, value: &impl serde::Serialize) -> Result<Self, CliError> {
        let headers = vec![("content-type", String::from("application/json"))];
        let body = serde_json::to_vec(value)?.into();
        Ok(Self { method: Method::POST, path: path.into(), headers, body })
    }
}

/// HTTP client that authenticates with a bearer token.
pub struct Client {
    base: String,
    token: String,
    http: HyperClient<HttpsConnector<HttpConnector>, Full<Bytes>>,
}

impl Client {
    /// Creates a client that trusts only the certificates of `remote.ca` for HTTPS.
    ///
    /// # Errors
    ///
    /// Fails if the certificates cannot be read.
    pub fn new(remote: &Remote) -> Result<Self, CliError> {
        let roots = remote.ca.as_deref().map(read_roots).transpose()?;
        let tls = ClientConfig::builder_with_provider(
            rustls::crypto::aws_lc_rs::default_provider().into(),
        )
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots.unwrap_or_else(RootCertStore::empty))
        .with_no_client_auth();
        let connector = HttpsConnectorBuilder::new()
            .with_tls_config(tls)
            .https_or_http()
            .enable_http1()
            .build();
        Ok(Self {
            base: remote.entry.trim_end_matches('/').to_owned(),
            token: remote.token.clone(),
            http: HyperClient::builder(TokioExecutor::new()).build(connector),
        })
    }

    /// Sends an operator's request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, refuses the request, or returns a different JSON shape.
    pub async fn send_json<T: DeserializeOwned>(&self, request: ApiRequest) -> Result<T, CliError> {
        let response = self.send(&request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        if status.is_success() {
            return Ok(serde_json::from_slice(&body)?);
        }
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        let mut message = error.message;
        for detail in &error.details {
            message.push_str("; ");
            message.push_str(detail);
        }
        match status {
            StatusCode::CONFLICT => Err(CliError::Conflict { details: error.details.join("; ") }),
            _ if error.outcome.is_some() => {
                Err(CliError::RequestFailed { outcome: error.outcome.unwrap_or_default(), message })
            }
            _ => Err(CliError::Refused { status: status.as_u16(), message }),
        }
    }

    /// Sends a request and follows redirects, such as the one to a ticket.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or redirects too often.
    pub async fn send(&self, request: &ApiRequest) -> Result<Response<Incoming>, CliError> {
        let mut path = request.path.clone();
        for _ in 0..MAX_REDIRECTS {
            let response = self.send_once(request, &path).await?;
            if response.status() != StatusCode::TEMPORARY_REDIRECT {
                return Ok(response);
            }
            let location = response.headers().get(header::LOCATION);
            let location = location.and_then(|l| l.to_str().ok());
            path = location.ok_or(CliError::TooManyRedirects)?.to_owned();
        }
        Err(CliError::TooManyRedirects)
    }

    async fn send_once(
        &self,
        request: &ApiRequest,
        path: &str,
    ) -> Result<Response<Incoming>, CliError> {
        let url = format!("{}{path}", self.base);
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(&url)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let http_request = builder.body(Full::new(request.body.clone()))?;
        if http_request.uri().authority().is_none() {
            return Err(CliError::Url { url });
        }
        let response = self.http.request(http_request).await;
        response.map_err(|source| CliError::Unreachable { url, source })
    }
}

fn read_roots(path: &Path) -> Result<RootCertStore, CliError> {
    let read_error = |source| CliError::File { action: "read", path: path.to_owned(), source };
    let file = File::open(path).map_err(read_error)?;
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_reader_iter(BufReader::new(file)) {
        let certificate = certificate.map_err(|e| read_error(std::io::Error::other(e)))?;
        roots.add(certificate)?;
    }
    Ok(roots)
}
