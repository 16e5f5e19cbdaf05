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
/// Precedes what rollouts have shown, behind all other parts.
const EVIDENCE_MARK: [u8; 4] = *b"+lh2";

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

/// Encodes `first`, with `later` and `evidence` behind it.
pub(super) fn encode<F: Serialize, L: Serialize, E: Serialize>(
    first: &F,
    later: Option<&L>,
    evidence: Option<&E>,
) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(first).unwrap_or_default();
    if let Some(later) = later {
        bytes.extend(MARK);
        bytes.extend(postcard::to_stdvec(later).unwrap_or_default());
    }
    if let Some(evidence) = evidence {
        bytes.extend(EVIDENCE_MARK);
        bytes.extend(postcard::to_stdvec(evidence).unwrap_or_default());
    }
    bytes
}

/// Decodes what [`encode`] has written; parts that are not there have their default.
///
/// # Errors
/// Fails if the bytes do not decode, or if a part does not though its mark is there.
pub(super) fn decode<F, L, E>(bytes: &[u8]) -> Result<(F, L, E), postcard::Error>
where
    F: DeserializeOwned,
    L: DeserializeOwned + Default,
    E: DeserializeOwned + Default,
{
    let (first, rest) = postcard::take_from_bytes(bytes)?;
    let (later, rest) = take_part(rest, MARK)?;
    let (evidence, _) = take_part(rest, EVIDENCE_MARK)?;
    Ok((first, later, evidence))
}

/// Takes the part behind `mark`, if it is there.
fn take_part<P: DeserializeOwned + Default>(
    bytes: &[u8],
    mark: [u8; 4],
) -> Result<(P, &[u8]), postcard::Error> {
    match bytes.strip_prefix(&mark) {
        Some(part) => postcard::take_from_bytes(part),
        None => Ok((P::default(), bytes)),
    }
}
