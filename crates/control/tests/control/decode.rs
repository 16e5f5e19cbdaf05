//! Decoding arbitrary bytes from a peer or a disk never panics.

use crate::fixtures::config;
use lycheehub_control::State;
use lycheehub_control::state::{Command, Feed};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    #![proptest_config(config(20_000))]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..200)) {
        // Only panics matter here, not whether the bytes decode.
        let _ = (Command::decode(&bytes), Feed::decode(&bytes), State::decode(&bytes));
    }
}
