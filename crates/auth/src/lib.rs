//! Mutual authentication: both ends of a connection prove with an HMAC that they hold the peer key.
//! [`DigestKey`] derives digests from the same key.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod digest;

pub use digest::{DIGEST_BYTES, DigestKey};

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;
/// The length of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;

/// The end of a connection that computes a proof.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// The end that opened the connection.
    Initiator,
    /// The end that accepted it.
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
pub fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

/// Computes the proof of one end: an HMAC over both nonces and the initiator's instance name.
///
/// # Examples
/// ```
/// use lycheehub_auth::{Role, matches, nonce, prove};
///
/// let (key, ours, theirs) = (b"secret", nonce(), nonce());
/// let proof = prove(key, Role::Initiator, &theirs, &ours, "entry-1");
/// assert!(matches(&prove(key, Role::Initiator, &theirs, &ours, "entry-1"), &proof));
/// assert!(!matches(&prove(key, Role::Responder, &theirs, &ours, "entry-1"), &proof));
/// ```
pub fn prove(
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
pub fn matches(expected: &[u8], given: &[u8]) -> bool {
    !expected.is_empty() && bool::from(expected.ct_eq(given))
}
