//! Measurements and simulations of currantlink.

pub mod args;
pub mod baseline;
pub mod error;
pub mod experts;
pub mod output;
pub mod path;
pub mod placement;
pub mod platform;
pub mod routing;
pub mod rules;
pub mod slopes;
pub mod soak;
pub mod stops;
pub mod trace;
