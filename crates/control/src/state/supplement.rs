//! The parts of stored encodings that their first version has no place for.
//!
//! Builds run side by side and read each other's bytes. An encoding that is stored or sent therefore
//! keeps its form, and later parts follow it behind a mark. An earlier build does not read on after the
//! first form; where there are no later parts, the bytes are those of an earlier build.

use super::EvacuationRecord;
use lycheehub_routes::Supplement as DocumentSupplement;
use lycheehub_types::FailureDomain;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Precedes the later parts. Bytes after the first form that do not begin with it are ignored.
const MARK: [u8; 4] = *b"+lh1";

/// The later parts of the control state and of its feed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Supplement {
    /// The evacuations in force, by failure domain.
    pub(super) evacuations: BTreeMap<FailureDomain, EvacuationRecord>,
    /// The later parts of the document.
    pub(super) document: DocumentSupplement,
}

impl Supplement {
    /// Returns whether there is nothing to store.
    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Encodes `first`, and `later` behind it.
pub(super) fn encode<F: Serialize, L: Serialize>(first: &F, later: Option<&L>) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(first).unwrap_or_default();
    if let Some(later) = later {
        bytes.extend(MARK);
        bytes.extend(postcard::to_stdvec(later).unwrap_or_default());
    }
    bytes
}

/// Decodes what [`encode`] has written; without later parts they have their default.
///
/// # Errors
/// Fails if the bytes do not decode, or if the later parts do not though their mark is there.
pub(super) fn decode<F: DeserializeOwned, L: DeserializeOwned + Default>(
    bytes: &[u8],
) -> Result<(F, L), postcard::Error> {
    let (first, rest) = postcard::take_from_bytes(bytes)?;
    let later = match rest.strip_prefix(&MARK) {
        Some(later) => postcard::from_bytes(later)?,
        None => L::default(),
    };
    Ok((first, later))
}
