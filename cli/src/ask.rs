//! The `ask` subcommand.

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Map, Value};

use crate::args::Ask;
use crate::client::{self, Client, ErrorBody};
use crate::error::CliError;
use crate::output;

impl Ask {
    /// Sends a caller's request and prints the response.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached, the response has an error status, or it ends early.
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(&self.remote)?;
        let response = client.send(&self.request()?).await?;
        if self.stream && response.status().is_success() {
            return print_stream(response).await;
        }
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if self.json {
            print_json(&parts, &body)?;
        }
        let error: Option<ErrorBody> = serde_json::from_slice(&body).ok();
        match error.and_then(|e| e.outcome.map(|outcome| (outcome, e.message))) {
            Some((outcome, message)) if !parts.status.is_success() => {
                Err(CliError::RequestFailed { outcome, message })
            }
            _ if parts.status.is_success() && self.json => Ok(()),
            _ if parts.status.is_success() => print_body(&body),
            _ => Err(refused_error(parts.status, &body)),
        }
    }

    fn request(&self) -> Result<client::ApiRequest, CliError> {
        let mut request = match &self.path {
            Some(path) => self.plain_request(path)?,
            None => self.model_request()?,
        };
        let deadline = self.deadline_ms.map(|ms| ("x-deadline-ms", ms.to_string()));
        let priority = self.priority.map(|class| ("x-priority", class.to_string()));
        let id = self.request_id.clone().map(|id| ("request-id", id));
        request.headers.extend([deadline, priority, id].into_iter().flatten());
        Ok(request)
    }

    fn plain_request(&self, path: &str) -> Result<client::ApiRequest, CliError> {
        let method = Method::from_bytes(self.method.as_bytes()).map_err(http::Error::from)?;
        let path = path.trim_start_matches('/');
        Ok(client::ApiRequest {
            method,
            path: format!("/v1/services/{}/{path}", self.service),
            headers: Vec::new(),
            body: Bytes::from(self.text.clone()),
        })
    }

    fn model_request(&self) -> Result<client::ApiRequest, CliError> {
        let mut body = Map::new();
        body.insert("prompt".into(), self.text.clone().into());
        body.insert("stream".into(), self.stream.into());
        body.extend(self.max_tokens.map(|n| ("max_tokens".into(), Value::from(n))));
        body.extend(self.adapter.clone().map(|a| ("adapter".into(), Value::from(a))));
        client::ApiRequest::post(format!("/v1/models/{}/completions", self.service), &body)
    }
}

async fn print_stream(response: Response<Incoming>) -> Result<(), CliError> {
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            output::raw(&data)?;
        }
    }
    Ok(())
}

fn print_body(body: &[u8]) -> Result<(), CliError> {
    output::raw(body)?;
    output::raw(b"\n")
}

fn print_json(parts: &http::response::Parts, body: &[u8]) -> Result<(), CliError> {
    let headers: Map<String, Value> = parts
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into()))
        .collect();
    let body = serde_json::from_slice::<Value>(body)
        .unwrap_or_else(|_| String::from_utf8_lossy(body).into());
    output::json(&serde_json::json!({
        "status": parts.status.as_u16(),
        "headers": headers,
        "body": body,
    }))
}

fn refused_error(status: StatusCode, body: &[u8]) -> CliError {
    let message = String::from_utf8_lossy(body).into_owned();
    CliError::Refused { status: status.as_u16(), message }
}
