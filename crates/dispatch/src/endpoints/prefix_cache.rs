//! An estimate of the prompt parts in the prefix cache of an endpoint.

use crate::job::PrefixPart;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of parts tracked per endpoint.
const PARTS_MAX: usize = 512;

/// The recently processed prompt parts; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// The number of occurrences of each part in `order`.
    parts: BTreeMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Returns the number of tokens at the start of a prompt that are expected to be cached.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{PrefixPart, endpoints::PrefixCache};
    ///
    /// let (shared, own) = (PrefixPart { id: 1, tokens: 60 }, PrefixPart { id: 2, tokens: 500 });
    /// let mut cache = PrefixCache::default();
    /// cache.record(&[shared]);
    /// assert_eq!(cache.cached_tokens(&[shared, own]), 60);
    /// assert_eq!(cache.cached_tokens(&[own, shared]), 0);
    /// ```
    pub fn cached_tokens(&self, prefix: &[PrefixPart]) -> u32 {
        let known = prefix.iter().take_while(|part| self.parts.contains_key(&part.id));
        known.fold(0, |tokens, part| tokens.saturating_add(part.tokens))
    }

    /// Records the parts of a processed prompt.
    pub fn record(&mut self, prefix: &[PrefixPart]) {
        for part in prefix {
            *self.parts.entry(part.id).or_default() += 1;
            self.order.push_back(part.id);
        }
        while self.order.len() > PARTS_MAX {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(count) = self.parts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.parts.remove(&oldest);
                }
            }
        }
    }
}
