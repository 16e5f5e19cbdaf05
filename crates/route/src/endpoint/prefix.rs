//! What prompt prefixes an endpoint is believed to have cached.
//!
//! Events from endpoints come late and with gaps, so they are hints: a gap voids what was believed
//! for long, and belief ends with time.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bytes of a prompt block.
pub const BLOCK_BYTES: usize = 256;
/// The tokens that a prompt block stands for.
pub const BLOCK_TOKENS: u64 = 64;
/// The most blocks of one prompt that are looked at.
const PROMPT_BLOCKS_MAX: usize = 256;
/// The most blocks remembered for one endpoint.
const BLOCKS_MAX: usize = 8_192;
/// How long belief in a block lasts, in milliseconds.
const BELIEF_MS: u64 = 10 * 60 * 1_000;
/// How long belief in a block survives a gap in the events, in milliseconds after it was noted.
const GAP_BELIEF_MS: u64 = 60 * 1_000;

/// Returns the digests of a prompt's whole blocks, each covering all blocks before it.
///
/// # Examples
/// ```
/// use lycheehub_route::endpoint::block_digests;
/// let a = block_digests(&[1; 600]);
/// let b = block_digests(&[1; 300]);
/// assert_eq!((a.len(), b.len()), (2, 1));
/// assert_eq!(a[0], b[0]);
/// ```
pub fn block_digests(prompt: &[u8]) -> Vec<u64> {
    let mut digest = 0;
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(PROMPT_BLOCKS_MAX);
    blocks
        .map(|block| {
            digest = xxh3_64_with_seed(block, digest);
            digest
        })
        .collect()
}

/// The blocks that one endpoint is believed to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixBelief {
    seen_ms: BTreeMap<u64, u64>,
    next_event: u64,
}

impl PrefixBelief {
    /// Returns how many leading tokens of a prompt are believed to be cached.
    pub fn cached_tokens(&self, now_ms: u64, prefix: &[u64]) -> u64 {
        let known = |block: &&u64| {
            self.seen_ms.get(*block).is_some_and(|seen_ms| now_ms < seen_ms + BELIEF_MS)
        };
        prefix.iter().take_while(known).count() as u64 * BLOCK_TOKENS
    }

    /// Notes that the endpoint has prefilled a prompt.
    pub fn note(&mut self, now_ms: u64, prefix: &[u64]) {
        for block in prefix {
            self.seen_ms.insert(*block, now_ms);
        }
        if self.seen_ms.len() > BLOCKS_MAX {
            self.forget_oldest();
        }
    }

    /// Forgets a prompt's blocks, since the endpoint was seen to prefill them again.
    pub fn forget(&mut self, prefix: &[u64]) {
        for block in prefix {
            self.seen_ms.remove(block);
        }
    }

    /// Takes an event by which blocks were stored or dropped; a gap voids what was not noted of late.
    pub fn event(&mut self, now_ms: u64, number: u64, stored: &[u64], dropped: &[u64]) {
        if number != self.next_event {
            self.seen_ms.retain(|_, seen_ms| now_ms < *seen_ms + GAP_BELIEF_MS);
        }
        self.next_event = number + 1;
        self.note(now_ms, stored);
        for block in dropped {
            self.seen_ms.remove(block);
        }
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<u64> = self.seen_ms.values().copied().collect();
        times.sort_unstable();
        let median_ms = times[times.len() / 2];
        self.seen_ms.retain(|_, seen_ms| *seen_ms > median_ms);
    }
}
