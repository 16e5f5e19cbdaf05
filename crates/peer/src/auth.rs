//! Mutual authentication: both ends of a connection prove with an HMAC that they hold the peer key.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// The end of a connection that computes a proof.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Role {
    Initiator,
    Responder,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Initiator => b"caller",
            Self::Responder => b"answerer",
        }
    }
}

/// Generates a random nonce.
pub(crate) fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

/// Computes the proof of one end: an HMAC over both nonces and the initiator's instance name.
pub(crate) fn prove(
    key: &[u8],
    role: Role,
    responder_nonce: &[u8],
    initiator_nonce: &[u8],
    instance: &str,
) -> Vec<u8> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else { return Vec::new() };
    for field in [role.label(), responder_nonce, initiator_nonce, instance.as_bytes()] {
        mac.update(&(field.len() as u64).to_le_bytes());
        mac.update(field);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Compares proofs in constant time.
pub(crate) fn matches(expected: &[u8], given: &[u8]) -> bool {
    !expected.is_empty() && bool::from(expected.ct_eq(given))
}
