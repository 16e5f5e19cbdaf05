//! The parts of a prompt.

use crate::job::PrefixPart;

/// The maximum number of parts that are compared.
const PARTS_MAX: usize = 256;

/// The parts of a prompt that other requests may share, and the last one, which is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    shared: Vec<u64>,
    own: Option<u64>,
}

impl Prompt {
    /// Creates a prompt from the identifiers of its parts, in order.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::Prompt;
    ///
    /// let prompt = Prompt::new([7, 3, 7, 9]);
    /// assert_eq!((prompt.shared(), prompt.own()), (&[3, 7][..], Some(9)));
    /// ```
    pub fn new(ids: impl IntoIterator<Item = u64>) -> Self {
        let mut shared: Vec<u64> = ids.into_iter().collect();
        let own = shared.pop();
        shared.truncate(PARTS_MAX);
        shared.sort_unstable();
        shared.dedup();
        Self { shared, own }
    }

    /// Returns the parts that other requests may share, in ascending order.
    pub fn shared(&self) -> &[u64] {
        &self.shared
    }

    /// Returns the last part, which is the request's own.
    pub fn own(&self) -> Option<u64> {
        self.own
    }

    /// Returns all parts, the request's own last.
    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.shared.iter().copied().chain(self.own)
    }

    /// Returns whether other requests may share this part.
    pub fn has(&self, part: u64) -> bool {
        self.shared.binary_search(&part).is_ok()
    }

    /// Returns whether other requests may share all these parts.
    pub fn has_all(&self, parts: &[u64]) -> bool {
        parts.iter().all(|part| self.has(*part))
    }
}

impl From<&[PrefixPart]> for Prompt {
    fn from(prefix: &[PrefixPart]) -> Self {
        Self::new(prefix.iter().map(|part| part.id))
    }
}
