//! Label values of metrics, bounded in number.

use smol_str::SmolStr;
use std::collections::BTreeSet;

/// What stands for all values beyond the bound.
const OTHER: &str = "other";

/// The values of a label that were seen first; all others are told as one.
///
/// # Examples
/// ```
/// use lycheehub_proxy::labels::Labels;
///
/// let mut labels = Labels::new(1);
/// assert_eq!(labels.value(&"large".into()), "large");
/// assert_eq!(labels.value(&"small".into()), "other");
/// assert_eq!(labels.value(&"large".into()), "large");
/// ```
#[derive(Clone, Debug)]
pub struct Labels {
    seen: BTreeSet<SmolStr>,
    most: usize,
}

impl Labels {
    /// Makes a label with at most so many values, and one for all others.
    pub fn new(most: usize) -> Self {
        Self { seen: BTreeSet::new(), most }
    }

    /// Returns the value that stands for `name`.
    pub fn value(&mut self, name: &SmolStr) -> SmolStr {
        if !self.seen.contains(name) {
            if self.seen.len() >= self.most {
                return SmolStr::new_static(OTHER);
            }
            self.seen.insert(name.clone());
        }
        name.clone()
    }
}
