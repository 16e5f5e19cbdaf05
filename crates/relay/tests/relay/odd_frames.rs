//! Frames with odd lengths.

use lycheehub_relay::frames::FrameDecoder;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(4_000) })]

    // Frames of any length, also 2^32-1, in any pieces: nothing is allocated before it arrives.
    #[test]
    fn any_frames_are_decoded_without_a_panic(
        pieces in prop::collection::vec(
            prop_oneof![prop::collection::vec(any::<u8>(), 0..40), Just(vec![0xff; 4]), Just(vec![0; 3])],
            0..20,
        ),
    ) {
        let mut decoder = FrameDecoder::default();
        let mut out = Vec::new();
        for piece in &pieces {
            decoder.decode(piece, &mut out);
        }
        prop_assert!(out.len() <= pieces.iter().map(Vec::len).sum());
    }
}
