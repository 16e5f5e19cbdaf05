//! The route document: the highest version that was submitted is in force.

use super::State;
use lycheehub_routes::Document;
use serde::{Deserialize, Serialize};

/// A route document with the text that it was read from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// The index of the command that set it; 0 where there is none yet.
    pub revision: u64,
    /// What it says.
    pub document: Document,
    /// The operator's text, as it was submitted.
    pub source: Vec<u8>,
}

impl State {
    /// Takes a document of a higher version; returns the version that is in force then.
    pub(super) fn replace_document(&mut self, index: u64, change: DocumentRecord) -> u64 {
        let is_first = self.document.revision == 0;
        if is_first || change.document.version > self.document.document.version {
            self.document = DocumentRecord { revision: index, ..change };
            self.revision = index;
        }
        self.document.document.version
    }
}
