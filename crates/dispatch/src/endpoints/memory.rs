//! Which parts of prompts an endpoint has read of late, as far as is known here.

use crate::job::PrefixPart;
use std::collections::{BTreeMap, VecDeque};

/// The most parts that are remembered of an endpoint.
const PARTS_MAX: usize = 512;

/// The parts that were read, the oldest forgotten first.
#[derive(Clone, Debug, Default)]
pub struct PrefixMemory {
    /// How often each part stands in `order`.
    parts: BTreeMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    /// Returns how many tokens at the beginning of a prompt need not be read again.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{PrefixPart, endpoints::PrefixMemory};
    ///
    /// let (shared, own) = (PrefixPart { id: 1, tokens: 60 }, PrefixPart { id: 2, tokens: 500 });
    /// let mut memory = PrefixMemory::default();
    /// memory.note(&[shared]);
    /// assert_eq!(memory.cached_tokens(&[shared, own]), 60);
    /// assert_eq!(memory.cached_tokens(&[own, shared]), 0);
    /// ```
    pub fn cached_tokens(&self, prefix: &[PrefixPart]) -> u32 {
        let known = prefix.iter().take_while(|part| self.parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was read.
    pub fn note(&mut self, prefix: &[PrefixPart]) {
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
