//! Request rates that backends in need name for all gateways together.

use derive_more::{Display, Error};

const MILLI_PER_UNIT: f64 = 1_000.0;

/// A rate of requests, in steps of a thousandth of a request per second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}", self.per_second())]
pub struct RequestRate {
    per_1000_s: u64,
}

/// The number is no rate.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("{value} requests per second is not a rate")]
pub struct InvalidRate {
    #[error(not(source))]
    value: f64,
}

impl RequestRate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.per_1000_s as f64 / MILLI_PER_UNIT
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match per_second.is_finite() && per_second >= 0.0 {
            // The conversion saturates.
            true => Ok(Self { per_1000_s: (per_second * MILLI_PER_UNIT) as u64 }),
            false => Err(InvalidRate { value: per_second }),
        }
    }
}
