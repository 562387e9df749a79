//! Counts the runs that the stand-ins of the back ends saw.

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

/// Why the runs cannot be counted.
#[derive(Debug, Display, Error, From)]
pub enum TallyError {
    /// A stand-in cannot be reached.
    #[display("could not reach a stand-in: {_0}")]
    Unreachable(hyper_util::client::legacy::Error),
    /// An answer broke off.
    #[display("a stand-in's answer broke off: {_0}")]
    Body(hyper::Error),
    /// An answer is no JSON of the expected form.
    #[display("a stand-in's answer does not parse: {_0}")]
    Json(serde_json::Error),
    /// A URL cannot be formed.
    #[display("bad url: {_0}")]
    Url(http::uri::InvalidUri),
}

/// Runs as the back ends counted them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were run to their end.
    pub answered: u64,
    /// Requests that were sent and not run.
    pub lost: u64,
    /// Runs beyond the first of a request.
    pub doubled: u64,
}

/// Counts the runs of plain services, by body, and of engines, against what was sent.
///
/// # Errors
///
/// Fails where a stand-in does not answer.
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
