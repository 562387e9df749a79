//! Simulations and settings shared by the test files.
#![allow(dead_code)]

pub mod calls;
pub mod changes;
pub mod matrix;

use proptest::test_runner::{Config, RngSeed};

/// Seed used if `PROPTEST_RNG_SEED` is not set.
const DEFAULT_SEED: u64 = 1;

/// Returns a proptest configuration with `cases` cases and a fixed seed, unless `PROPTEST_CASES` or
/// `PROPTEST_RNG_SEED` overrides them.
pub fn proptest_config(cases: u32) -> Config {
    let from_env = Config::default();
    let has_seed = std::env::var_os("PROPTEST_RNG_SEED").is_some();
    let has_cases = std::env::var_os("PROPTEST_CASES").is_some();
    Config {
        cases: if has_cases { from_env.cases } else { cases },
        rng_seed: if has_seed { from_env.rng_seed } else { RngSeed::Fixed(DEFAULT_SEED) },
        failure_persistence: None,
        ..from_env
    }
}
