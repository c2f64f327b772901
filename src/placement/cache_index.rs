use std::collections::{HashMap, VecDeque};

const MAX_BLOCKS_PER_TARGET: usize = 8192;

/// A change of a target's prompt cache, as the target reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The incarnation of the target's process.
    pub incarnation: u64,
    /// The sequence number within the incarnation, increased by one for each event.
    pub sequence: u64,
    /// The hashes of the blocks that the cache stored.
    pub stored: Vec<u64>,
    /// The hashes of the blocks that the cache evicted.
    pub evicted: Vec<u64>,
}

/// An index of the prompt blocks that one target probably has in its cache. When it is full, it
/// drops the least recently used blocks.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    /// The block hashes, each with the number of its last use.
    blocks: HashMap<u64, u64>,
    /// All uses in order. Entries whose number is no longer the block's last one are stale.
    uses: VecDeque<(u64, u64)>,
    last_use: u64,
    incarnation: u64,
    sequence: Option<u64>,
}

impl CacheIndex {
    /// The number of leading blocks of a prompt that are in the index.
    ///
    /// ```
    /// let mut cache = pomelogate::placement::CacheIndex::default();
    /// cache.store(&[1, 2], 100);
    /// assert_eq!(cache.matched_prefix_len(&[1, 2, 3]), 2);
    /// assert_eq!(cache.matched_prefix_len(&[3, 1, 2]), 0);
    /// ```
    pub fn matched_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains_key(*block)).count()
    }

    /// Adds blocks, then drops the least recently used ones until at most `max_blocks` remain.
    pub fn store(&mut self, blocks: &[u64], max_blocks: usize) {
        for block in blocks {
            self.last_use += 1;
            self.blocks.insert(*block, self.last_use);
            self.uses.push_back((*block, self.last_use));
        }
        let max_blocks = max_blocks.min(MAX_BLOCKS_PER_TARGET);
        while self.blocks.len() > max_blocks || self.uses.len() > 2 * max_blocks + blocks.len() {
            let Some((block, number)) = self.uses.pop_front() else { break };
            match self.blocks.get(&block) {
                Some(last) if *last == number && self.blocks.len() > max_blocks => {
                    self.blocks.remove(&block);
                }
                Some(last) if *last == number => self.uses.push_back((block, number)),
                _ => {}
            }
        }
    }

    /// Applies a cache event. A gap in the sequence numbers or a new incarnation clears the index
    /// first; an event with an old sequence number or of an old incarnation is ignored.
    pub fn apply(&mut self, event: &CacheEvent, max_blocks: usize) {
        if event.incarnation < self.incarnation {
            return;
        }
        let restarted = event.incarnation > self.incarnation;
        if restarted {
            self.clear();
            self.incarnation = event.incarnation;
            self.sequence = None;
        }
        if self.sequence.is_some_and(|last| event.sequence <= last) {
            return;
        }
        if self.sequence.is_some_and(|last| event.sequence > last + 1) {
            self.clear();
        }
        self.sequence = Some(event.sequence);
        self.store(&event.stored, max_blocks);
        for block in &event.evicted {
            self.blocks.remove(block);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.uses.clear();
    }

    /// The number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
