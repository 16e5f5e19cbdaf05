//! Metric label values, bounded in number.

use smol_str::SmolStr;
use std::collections::BTreeSet;

/// The label value that replaces all values beyond the bound.
const OTHER: &str = "other";

/// Limits the cardinality of a metric label: the first distinct values are kept, all later ones are
/// replaced by `other`.
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
    max_values: usize,
}

impl Labels {
    /// Creates a label with at most `max_values` distinct values besides `other`.
    pub fn new(max_values: usize) -> Self {
        Self { seen: BTreeSet::new(), max_values }
    }

    /// Returns the label value for `name`.
    pub fn value(&mut self, name: &SmolStr) -> SmolStr {
        if !self.seen.contains(name) {
            if self.seen.len() >= self.max_values {
                return SmolStr::new_static(OTHER);
            }
            self.seen.insert(name.clone());
        }
        name.clone()
    }
}
