//! Decoders accept arbitrary bytes without panicking, and decoded messages encode again.
#![allow(clippy::unwrap_used)]

use currantlink_wire::config::{Record, State};
use currantlink_wire::link::{Hello, Proof, ToEntry, ToSide};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

fn proptest_config() -> ProptestConfig {
    let from_env = ProptestConfig::default();
    let seeded = std::env::var_os("PROPTEST_RNG_SEED").is_some();
    let rng_seed = if seeded { from_env.rng_seed } else { RngSeed::Fixed(1) };
    ProptestConfig { rng_seed, failure_persistence: None, ..from_env }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn random_bytes(bytes in vec(any::<u8>(), 0..300)) {
        let bytes = bytes.as_slice();
        let _ = ToSide::decode(bytes).map(|m| m.encode_to_vec());
        let _ = ToEntry::decode(bytes).map(|m| m.encode_to_vec());
        let _ = Hello::decode(bytes).map(|m| m.encode_to_vec());
        let _ = Proof::decode(bytes).map(|m| m.encode_to_vec());
        let _ = Record::decode(bytes).map(|m| m.encode_to_vec());
        let _ = State::decode(bytes).map(|m| m.encode_to_vec());
    }
}
