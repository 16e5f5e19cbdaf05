//! The route document: the submitted document with the highest version is in force.

use super::State;
use lycheehub_routes::Document;
use serde::{Deserialize, Serialize};

/// A route document with its source text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// The index of the command that set the document; 0 if there is none yet.
    pub revision: u64,
    /// The parsed document.
    pub document: Document,
    /// The operator's text, as submitted.
    pub source: Vec<u8>,
}

impl State {
    /// Replaces the document if the new version is higher; returns the version in force afterwards.
    pub(super) fn replace_document(&mut self, index: u64, change: DocumentRecord) -> u64 {
        let is_first = self.document.revision == 0;
        if is_first || change.document.version > self.document.document.version {
            self.document = DocumentRecord { revision: index, ..change };
            self.revision = index;
        }
        self.document.document.version
    }
}
