//! What the tests share.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Returns the configuration of a property test with fixed draws.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}
