//! The identity of a quarantine, by which operators name it.

use super::{RequestDigest, Suspect};
use lycheehub_types::ServiceName;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of hexadecimal digits of the text.
const DIGITS: usize = 16;

/// The identity of a quarantine: a digest of its service and its suspects, the same at each leader. One
/// that is narrowed gets a new one.
///
/// # Examples
/// ```
/// use lycheehub_dispatch::crashes::{QuarantineId, Suspect};
///
/// let id = QuarantineId::of(&"writer".into(), &[Suspect::Part(7)]);
/// assert_eq!(id.to_string().parse(), Ok(id));
/// assert_ne!(id, QuarantineId::of(&"labels".into(), &[Suspect::Part(7)]));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineId(u64);

impl QuarantineId {
    /// Returns the identity of the quarantine of these suspects, whatever their order.
    pub fn of(service: &ServiceName, suspects: &[Suspect]) -> Self {
        let mut suspects = suspects.to_vec();
        suspects.sort_unstable();
        let digest = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
        Self(suspects.into_iter().fold(digest, with_suspect))
    }
}

/// Returns the digest with a suspect; a part and a request differ in the number of their bytes.
fn with_suspect(digest: u64, suspect: Suspect) -> u64 {
    match suspect {
        Suspect::Part(part) => xxh3_64_with_seed(&part.to_be_bytes(), digest),
        Suspect::Request(request) => {
            let bytes: [u8; RequestDigest::BYTES] = request.to_bytes();
            xxh3_64_with_seed(&bytes, digest)
        }
    }
}

impl fmt::Display for QuarantineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0DIGITS$x}", self.0)
    }
}

impl FromStr for QuarantineId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
