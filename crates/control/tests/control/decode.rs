//! Bytes from a peer or a disk never make a decoder panic.

use lycheehub_control::State;
use lycheehub_control::state::{Command, Feed};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn config() -> Config {
    Config {
        cases: 20_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        // Whether they decode does not matter here.
        let _ = (Command::decode(&bytes), Feed::decode(&bytes), State::decode(&bytes));
    }
}
