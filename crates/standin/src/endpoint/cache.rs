//! The prefix cache of a stand-in engine, with limited memory.

use lycheehub_route::endpoint::{BLOCK_TOKENS, block_digests};
use std::collections::BTreeMap;

/// Cached blocks by digest, with the turn of their last use.
#[derive(Debug)]
pub(super) struct Cache {
    blocks: BTreeMap<u64, u64>,
    max_blocks: usize,
    turn: u64,
}

/// What became of a prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefill {
    pub(super) cached_tokens: u64,
    pub(super) stored: Vec<u64>,
    pub(super) dropped: Vec<u64>,
}

impl Cache {
    pub(super) fn new(max_blocks: usize) -> Self {
        Self { blocks: BTreeMap::new(), max_blocks, turn: 0 }
    }

    pub(super) fn prefill(&mut self, prompt: &[u8]) -> Prefill {
        self.turn += 1;
        let digests = block_digests(prompt);
        let cached = digests.iter().take_while(|digest| self.blocks.contains_key(digest)).count();
        let mut prefill = Prefill {
            cached_tokens: cached as u64 * BLOCK_TOKENS,
            stored: digests[cached..].to_vec(),
            dropped: Vec::new(),
        };
        for digest in digests {
            self.blocks.insert(digest, self.turn);
        }
        while self.blocks.len() > self.max_blocks {
            let oldest =
                self.blocks.iter().min_by_key(|(_, turn)| **turn).map(|(digest, _)| *digest);
            let Some(oldest) = oldest else { break };
            self.blocks.remove(&oldest);
            prefill.dropped.push(oldest);
        }
        prefill
    }
}
