//! Client of a model backend's control API: state, expert counts and orders.

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

/// Timeout of a read. A backend responds within a few milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of an order. An order without a response is sent again and takes effect at most once.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Largest response. Counts and lists of experts have some tens of kilobytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Error of a request to a backend.
#[derive(Debug, Display, Error, From)]
pub enum RankError {
    /// The connection failed.
    #[display("{_0}")]
    Connection(UpstreamError),
    /// The backend did not respond in time.
    #[display("request timed out")]
    Timeout,
    /// The response has an unexpected status.
    #[display("unexpected status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// The status of the response to an order does not determine the outcome.
    #[display("{_0}")]
    Order(OrderStatusError),
    /// The response cannot be decoded.
    #[display("{_0}")]
    Decode(DecodeError),
    /// The order cannot be encoded.
    #[display("{_0}")]
    Encode(serde_json::Error),
}

/// Client of one backend that reuses one connection.
pub struct RankClient {
    address: SocketAddr,
    upstream: Option<Upstream>,
}

impl RankClient {
    /// Creates a client; it connects on the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, upstream: None }
    }

    /// Reads the state of the backend.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the request times out or the response is invalid.
    pub async fn state(&mut self) -> Result<EngineState, RankError> {
        let content = self.get(names::REPORT_PATH).await?;
        Ok(engine::decode_report(&content)?)
    }

    /// Reads the cumulative number of choices of each expert.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the request times out or the response is invalid.
    pub async fn expert_counts(&mut self) -> Result<ExpertCounts, RankError> {
        let content = self.get(names::EXPERT_COUNTS_PATH).await?;
        Ok(engine::decode_counts(&content)?)
    }

    /// Reads the experts that the backend holds.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the request times out or the response is invalid.
    pub async fn experts(&mut self) -> Result<RankExperts, RankError> {
        let content = self.get(&format!("{}?lists=1", names::EXPERT_COUNTS_PATH)).await?;
        Ok(engine::decode_rank_experts(&content)?)
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Fails if no response determines the outcome. The order may still take effect in that case.
    pub async fn send_order(&mut self, order: &Order) -> Result<OrderOutcome, RankError> {
        let body = engine::encode_order(order)?;
        let body = Bytes::from(body);
        let (status, _) = self.call("POST", names::ORDER_PATH, body, ORDER_TIMEOUT).await?;
        Ok(OrderOutcome::try_from(status)?)
    }

    async fn get(&mut self, path: &str) -> Result<Bytes, RankError> {
        match self.call("GET", path, Bytes::new(), READ_TIMEOUT).await? {
            (StatusCode::OK, content) => Ok(content),
            (status, _) => Err(RankError::Status(status.as_u16())),
        }
    }

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
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
            let response = upstream.exchange(Bytes::from(head), body).await?;
            upstream.stop_sending();
            let mut framing = response.framing;
            let mut content = BytesMut::new();
            while let Some(chunk) = upstream.read_body(&mut framing).await? {
                if content.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    return Err(UpstreamError::Malformed { detail: "response body is too large" });
                }
                content.extend_from_slice(&chunk);
            }
            Ok::<_, UpstreamError>((response.status, content.freeze()))
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let result = result.map_err(|_| RankError::Timeout)??;
        self.upstream = Some(upstream);
        Ok(result)
    }
}
