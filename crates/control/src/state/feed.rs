//! The change feed for instances without a replica: changes of the control state, without claims.

use super::supplement::{self, Supplement};
use super::{
    DecodeError, DocumentRecord, EvacuationRecord, MoveRecord, RolloutRecord, SectionRecord, State,
};
use lycheehub_types::{FailureDomain, SectionName, ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The changes after one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// The revision after the changes.
    pub revision: u64,
    /// The changed sections.
    pub sections: BTreeMap<SectionName, SectionRecord>,
    /// The changed moves.
    pub moves: BTreeMap<SmolStr, MoveRecord>,
    /// The versions that services serve after completed moves.
    pub serving: BTreeMap<ServiceName, Version>,
    /// The route document, if it changed.
    pub document: Option<DocumentRecord>,
    /// The changed rollouts.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// All evacuations in force. Sent after the other parts.
    #[serde(skip)]
    pub evacuations: BTreeMap<FailureDomain, EvacuationRecord>,
}

impl Feed {
    /// Encodes the feed.
    pub fn encode(&self) -> Vec<u8> {
        let document = self.document.as_ref().map(|record| record.document.supplement());
        let supplement = Supplement {
            evacuations: self.evacuations.clone(),
            document: document.unwrap_or_default(),
        };
        supplement::encode(self, (!supplement.is_empty()).then_some(&supplement), None::<&()>)
    }

    /// Decodes a feed.
    ///
    /// # Errors
    /// Fails if the bytes are not a feed of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (mut feed, supplement, ()): (Self, Supplement, ()) = supplement::decode(bytes)
            .map_err(|cause| DecodeError::Malformed("feed", cause.to_string().into()))?;
        if let Some(record) = &mut feed.document {
            record.document.add_supplement(supplement.document);
        }
        feed.evacuations = supplement.evacuations;
        Ok(feed)
    }
}

impl State {
    /// Returns the changes after `revision`.
    ///
    /// # Examples
    /// ```
    /// let state = lycheehub_control::State::default();
    /// assert_eq!(state.feed_after(0).revision, 0);
    /// ```
    pub fn feed_after(&self, revision: u64) -> Feed {
        let sections = self.sections.iter().filter(|(_, record)| record.revision > revision);
        let moves = self.moves.iter().filter(|(_, record)| record.changed > revision);
        let rollouts = self.rollouts.iter().filter(|(_, record)| record.revision > revision);
        Feed {
            revision: self.revision,
            sections: sections.map(|(name, record)| (name.clone(), record.clone())).collect(),
            moves: moves.map(|(id, record)| (id.clone(), record.clone())).collect(),
            serving: self.serving.clone(),
            document: (self.document.revision > revision).then(|| self.document.clone()),
            rollouts: rollouts.map(|(name, record)| (name.clone(), record.clone())).collect(),
            evacuations: self.evacuations.clone(),
        }
    }

    /// Applies a feed to a state that has no log, unless its revision is not newer; tells whether
    /// it was applied.
    pub fn apply_feed(&mut self, feed: Feed) -> bool {
        if feed.revision <= self.revision {
            return false;
        }
        self.revision = feed.revision;
        self.sections.extend(feed.sections);
        self.moves.extend(feed.moves);
        self.serving = feed.serving;
        self.rollouts.extend(feed.rollouts);
        self.evacuations = feed.evacuations;
        if let Some(document) = feed.document {
            self.document = document;
        }
        self.rebuild_estate();
        true
    }
}
