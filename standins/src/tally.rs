//! Compares the runs recorded by backend stand-ins with the requests sent.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::engine::GroupRecord;
use crate::plain::Runs;

/// Error of reading run counts from the stand-ins.
#[derive(Debug, Display, Error, From)]
pub enum TallyError {
    /// The request to a stand-in failed.
    #[display("request to a stand-in failed: {_0}")]
    Unreachable(hyper_util::client::legacy::Error),
    /// The response body could not be read.
    #[display("failed to read the response body of a stand-in: {_0}")]
    Body(hyper::Error),
    /// The response body is not the expected JSON.
    #[display("invalid JSON in the response of a stand-in: {_0}")]
    Json(serde_json::Error),
    /// The URL of a stand-in is invalid.
    #[display("invalid URL of a stand-in: {_0}")]
    Url(http::uri::InvalidUri),
}

/// Run counts across all backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of requests that were run to completion.
    pub answered: u64,
    /// Number of requests that were sent but not run to completion.
    pub lost: u64,
    /// Number of runs beyond the first run of a request.
    pub doubled: u64,
}

/// Compares the runs of plain services and engines with the number of requests sent.
///
/// Plain services count runs by request body, engines as started and completed requests.
///
/// # Errors
///
/// Returns an error if the counts of a stand-in cannot be read.
pub async fn tally(
    plain: &[SocketAddr],
    engines: &[SocketAddr],
    sent: u64,
) -> Result<Tally, TallyError> {
    let mut by_body: IndexMap<String, u64> = IndexMap::new();
    for address in plain {
        let runs: Runs = get(address, "/runs").await?;
        for (body, count) in runs.by_body {
            *by_body.entry(body).or_default() += count;
        }
    }
    let mut engine_totals = GroupRecord::default();
    for address in engines {
        let record: GroupRecord = get(address, "/record").await?;
        engine_totals.answered += record.answered;
        engine_totals.begun += record.begun;
    }
    let answered = by_body.len() as u64 + engine_totals.answered;
    let plain_doubled: u64 = by_body.values().map(|count| count - 1).sum();
    let engine_doubled = engine_totals.begun.saturating_sub(engine_totals.answered);
    Ok(Tally {
        answered,
        lost: sent.saturating_sub(answered),
        doubled: plain_doubled + engine_doubled + answered.saturating_sub(sent),
    })
}

async fn get<T: DeserializeOwned>(address: &SocketAddr, path: &str) -> Result<T, TallyError> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let response = client.get(format!("http://{address}{path}").parse()?).await?;
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
