//! Shared test fixtures.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Returns the configuration of a property test with a fixed seed.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}
