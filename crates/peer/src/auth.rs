//! Proofs by which both ends of a connection show that they hold the peer key.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The bytes of a nonce.
pub(crate) const NONCE_BYTES: usize = 32;

/// Which end of a connection proves itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    Caller,
    Answerer,
}

impl End {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"caller",
            Self::Answerer => b"answerer",
        }
    }
}

pub(crate) fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

/// Proves that one end holds the key, for both ends' nonces and the caller's name.
pub(crate) fn prove(key: &[u8], end: End, theirs: &[u8], ours: &[u8], instance: &str) -> Vec<u8> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else { return Vec::new() };
    for part in [end.label(), theirs, ours, instance.as_bytes()] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Compares proofs in constant time.
pub(crate) fn matches(expected: &[u8], given: &[u8]) -> bool {
    !expected.is_empty() && bool::from(expected.ct_eq(given))
}
