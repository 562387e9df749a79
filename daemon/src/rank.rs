//! Calls to a model backend: its state, its expert counts, and orders.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use currantlink_core::switch::Order;
use currantlink_platform::engine::{
    self, EngineState, ExpertCounts, OrderOutcome, OrderStatusError, RankExperts,
};
use currantlink_platform::error::DecodeError;
use currantlink_platform::names;
use derive_more::{Display, Error, From};
use http::StatusCode;

use crate::upstream::{Upstream, UpstreamError};

/// Time for a read. A backend answers within a few milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for an order. One that is left unanswered is sent again, and takes effect once at most.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum RankError {
    /// The connection failed.
    #[display("{_0}")]
    Connection(UpstreamError),
    /// No answer came in time.
    #[display("no answer in time")]
    Timeout,
    /// The answer has an unexpected status.
    #[display("status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// The order was answered with a status that says nothing.
    #[display("{_0}")]
    Order(OrderStatusError),
    /// The answer does not decode.
    #[display("{_0}")]
    Decode(DecodeError),
    /// The order does not encode.
    #[display("{_0}")]
    Encode(serde_json::Error),
}

/// Client of one backend with one kept connection.
pub struct RankClient {
    address: SocketAddr,
    upstream: Option<Upstream>,
}

impl RankClient {
    /// Connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, upstream: None }
    }

    /// Reads the backend's state.
    ///
    /// # Errors
    ///
    /// Fails where the backend does not answer as expected.
    pub async fn state(&mut self) -> Result<EngineState, RankError> {
        let text = self.get(names::REPORT_PATH).await?;
        Ok(engine::decode_report(&text)?)
    }

    /// Reads how often each expert was chosen.
    ///
    /// # Errors
    ///
    /// Fails where the backend does not answer as expected.
    pub async fn expert_counts(&mut self) -> Result<ExpertCounts, RankError> {
        let text = self.get(names::EXPERT_COUNTS_PATH).await?;
        Ok(engine::decode_counts(&text)?)
    }

    /// Reads the experts that the backend holds.
    ///
    /// # Errors
    ///
    /// Fails where the backend does not answer as expected.
    pub async fn experts(&mut self) -> Result<RankExperts, RankError> {
        let text = self.get(&format!("{}?lists=1", names::EXPERT_COUNTS_PATH)).await?;
        Ok(engine::decode_rank_experts(&text)?)
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Fails where no answer says what became of it; it may still be carried out then.
    pub async fn send_order(&mut self, order: &Order) -> Result<OrderOutcome, RankError> {
        let body = engine::encode_order(order)?;
        let (status, _) = self.call("POST", names::ORDER_PATH, &body, ORDER_TIMEOUT).await?;
        Ok(OrderOutcome::try_from(status)?)
    }

    async fn get(&mut self, path: &str) -> Result<Bytes, RankError> {
        match self.call("GET", path, &[], READ_TIMEOUT).await? {
            (StatusCode::OK, text) => Ok(text),
            (status, _) => Err(RankError::Status(status.as_u16())),
        }
    }

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), RankError> {
        let address = self.address;
        let mut upstream = match self.upstream.take().filter(Upstream::is_reusable) {
            Some(upstream) => upstream,
            None => Upstream::connect(address, READ_TIMEOUT).await.map_err(UpstreamError::from)?,
        };
        let len = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
             content-length: {len}\r\n\r\n"
        );
        let exchange = async {
            let response = upstream.exchange(head.as_bytes(), body).await?;
            let mut framing = response.framing;
            let mut text = BytesMut::new();
            while let Some(chunk) = upstream.read_body(&mut framing).await? {
                text.extend_from_slice(&chunk);
            }
            Ok::<_, UpstreamError>((response.status, text.freeze()))
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let result = result.map_err(|_| RankError::Timeout)??;
        self.upstream = Some(upstream);
        Ok(result)
    }
}
