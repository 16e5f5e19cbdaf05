//! Bytes from a peer or a disk never make a decoder panic.

use crate::fixtures::config;
use lycheehub_control::State;
use lycheehub_control::state::{Command, Feed};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    #![proptest_config(config(20_000))]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        // Whether they decode does not matter here.
        let _ = (Command::decode(&bytes), Feed::decode(&bytes), State::decode(&bytes));
    }
}
