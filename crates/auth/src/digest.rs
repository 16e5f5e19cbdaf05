//! Digests that are alike at all instances and that nobody without the peer key can foresee.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt;

/// The length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 16;
/// The length of a block of the hash, in bytes, which is that of a key.
const BLOCK_BYTES: usize = 64;
/// Keeps the key of digests apart from other uses of the peer key.
const PURPOSE: &[u8] = b"lycheehub digest key";

/// The key of digests.
#[derive(Clone)]
pub struct DigestKey(Hmac<Sha256>);

impl DigestKey {
    /// Derives the key from the peer key, which all instances share.
    pub fn derive(peer_key: &[u8]) -> Self {
        let derived = Sha256::new().chain_update(PURPOSE).chain_update(peer_key).finalize();
        let mut key = [0; BLOCK_BYTES];
        key[..derived.len()].copy_from_slice(&derived);
        Self(Hmac::new(&key.into()))
    }

    /// Returns the digest of a sequence of fields. Their lengths are digested, too: a byte that moves
    /// from one field to the next changes the digest.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_auth::DigestKey;
    ///
    /// let key = DigestKey::derive(b"secret");
    /// assert_eq!(key.digest(&[b"GET", b"/a"]), DigestKey::derive(b"secret").digest(&[b"GET", b"/a"]));
    /// assert_ne!(key.digest(&[b"GET", b"/a"]), key.digest(&[b"GET/", b"a"]));
    /// assert_ne!(key.digest(&[b"GET", b"/a"]), DigestKey::derive(b"other").digest(&[b"GET", b"/a"]));
    /// ```
    pub fn digest(&self, fields: &[&[u8]]) -> [u8; DIGEST_BYTES] {
        let mut mac = self.0.clone();
        for field in fields {
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&mac.finalize().into_bytes()[..DIGEST_BYTES]);
        digest
    }
}

impl fmt::Debug for DigestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DigestKey")
    }
}
