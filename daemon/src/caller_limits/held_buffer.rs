//! One buffer for a body, whose size is reserved before it grows.

use bytes::Bytes;
use currantlink_core::memory_budget::Purpose;
use tokio::time::Instant;

use super::{CallerConnection, Reservation};

/// First size of the buffer of a body without a declared length: a few reads from a socket.
const FIRST_BYTES: usize = 16 << 10;

/// The bytes of a body that is being read.
pub struct HeldBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    limit_bytes: usize,
    until: Instant,
}

impl HeldBuffer {
    /// Reserves the declared length of a body, or the first bytes of one without. A declared length is
    /// reserved whole: bodies that each wait for their last part would keep each other waiting. The
    /// buffer grows only as bytes arrive. Returns `None` if the bytes do not fit by `until`.
    pub async fn begin(
        connection: &CallerConnection,
        purpose: Purpose,
        declared_bytes: Option<usize>,
        limit_bytes: usize,
        until: Instant,
    ) -> Option<Self> {
        let first_bytes = declared_bytes.unwrap_or(FIRST_BYTES.min(limit_bytes));
        let limit_bytes = declared_bytes.unwrap_or(limit_bytes);
        let reservation = connection.reserve(purpose, first_bytes, until).await?;
        Some(Self { bytes: Vec::new(), reservation, limit_bytes, until })
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether `more` bytes fit into what is reserved.
    pub fn fits(&self, more: usize) -> bool {
        self.bytes.len() + more <= self.reservation.bytes
    }

    /// Reserves what `more` bytes need, in steps that double the size up to the limit. Returns false if
    /// it does not fit by `until`.
    pub async fn reserve(&mut self, more: usize, until: Instant) -> bool {
        let needed = self.bytes.len() + more;
        if needed <= self.reservation.bytes {
            return true;
        }
        let size = needed.max((2 * self.reservation.bytes).min(self.limit_bytes));
        let step = size - self.reservation.bytes;
        self.reservation.grow(step, until.min(self.until)).await
    }

    /// Appends bytes that were reserved.
    pub fn extend(&mut self, data: &[u8]) {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(FIRST_BYTES);
            let capacity = doubled.min(self.reservation.bytes).max(needed);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
    }

    /// Returns the bytes. They stay reserved until they are dropped.
    pub fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink(self.bytes.len());
        hold(self.bytes, self.reservation)
    }

    /// Returns a body that arrived as one piece, without a copy.
    pub fn finish_with(mut self, whole: Bytes) -> Bytes {
        self.reservation.shrink(whole.len());
        hold(whole, self.reservation)
    }
}

struct Held<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that stay reserved until the last reference to them is dropped.
pub(super) fn hold(bytes: impl AsRef<[u8]> + Send + 'static, reservation: Reservation) -> Bytes {
    Bytes::from_owner(Held { bytes, _reservation: reservation })
}
