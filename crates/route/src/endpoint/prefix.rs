//! An estimate of the prompt prefixes that an endpoint has cached.
//!
//! Cache events from endpoints arrive late and may be lost, so they are only hints. Entries expire
//! after a time to live, which is shorter once a gap in the event sequence is seen.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The size of a prompt block, in bytes.
pub const BLOCK_BYTES: usize = 256;
/// The number of tokens that a prompt block is assumed to hold.
pub const BLOCK_TOKENS: u64 = 64;
/// The maximum number of leading blocks that are digested per prompt.
const PROMPT_BLOCKS_MAX: usize = 256;
/// The maximum number of blocks indexed per endpoint.
const BLOCKS_MAX: usize = 8_192;
/// The time to live of a block, in milliseconds.
const BLOCK_TTL_MS: u64 = 10 * 60 * 1_000;
/// The age above which a gap in the event sequence evicts a block, in milliseconds.
const GAP_BLOCK_TTL_MS: u64 = 60 * 1_000;

/// Returns chained digests of a prompt's whole blocks; each also covers all blocks before it.
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

/// An index of the blocks that one endpoint is expected to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// When each block was last recorded, in milliseconds, by block digest.
    seen_ms: BTreeMap<u64, u64>,
    /// The sequence number expected of the next cache event.
    next_sequence: u64,
}

impl PrefixIndex {
    /// Returns the estimated number of leading prompt tokens that are cached.
    pub fn cached_tokens(&self, now_ms: u64, prefix: &[u64]) -> u64 {
        let is_cached = |block: &&u64| {
            self.seen_ms.get(*block).is_some_and(|seen_ms| now_ms < seen_ms + BLOCK_TTL_MS)
        };
        prefix.iter().take_while(is_cached).count() as u64 * BLOCK_TOKENS
    }

    /// Records that the endpoint has prefilled or stored these blocks.
    pub fn record(&mut self, now_ms: u64, prefix: &[u64]) {
        for block in prefix {
            self.seen_ms.insert(*block, now_ms);
        }
        if self.seen_ms.len() > BLOCKS_MAX {
            self.evict_oldest();
        }
    }

    /// Removes a prompt's blocks after a cache miss: the endpoint had to prefill them again.
    pub fn remove(&mut self, prefix: &[u64]) {
        for block in prefix {
            self.seen_ms.remove(block);
        }
    }

    /// Applies a cache event that lists stored and dropped blocks. A gap in the sequence evicts all
    /// but the recently recorded blocks.
    pub fn apply_event(&mut self, now_ms: u64, sequence: u64, stored: &[u64], dropped: &[u64]) {
        if sequence != self.next_sequence {
            self.seen_ms.retain(|_, seen_ms| now_ms < *seen_ms + GAP_BLOCK_TTL_MS);
        }
        self.next_sequence = sequence + 1;
        self.record(now_ms, stored);
        for block in dropped {
            self.seen_ms.remove(block);
        }
    }

    /// Evicts the older half of the blocks.
    fn evict_oldest(&mut self) {
        let mut times: Vec<u64> = self.seen_ms.values().copied().collect();
        times.sort_unstable();
        let median_ms = times[times.len() / 2];
        self.seen_ms.retain(|_, seen_ms| *seen_ms > median_ms);
    }
}
