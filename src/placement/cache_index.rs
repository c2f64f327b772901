use std::collections::{HashMap, VecDeque};

const MOST_BLOCKS_A_TARGET: usize = 8192;

/// A cache event of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The incarnation of the target's process.
    pub incarnation: u64,
    /// The event's number, one more than that of the event before it.
    pub sequence: u64,
    /// The blocks that the cache took.
    pub stored: Vec<u64>,
    /// The blocks that the cache dropped.
    pub evicted: Vec<u64>,
}

/// The blocks that one target is believed to hold, the least recently used forgotten first.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    blocks: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    incarnation: u64,
    sequence: Option<u64>,
}

impl CacheIndex {
    /// How many leading blocks of a prompt the target is believed to hold.
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

    /// Takes blocks in, and keeps at most `limit` of them.
    pub fn store(&mut self, blocks: &[u64], limit: usize) {
        for block in blocks {
            self.stamp += 1;
            self.blocks.insert(*block, self.stamp);
            self.order.push_back((*block, self.stamp));
        }
        let limit = limit.min(MOST_BLOCKS_A_TARGET);
        while self.blocks.len() > limit || self.order.len() > 2 * limit + blocks.len() {
            let Some((block, stamp)) = self.order.pop_front() else { break };
            match self.blocks.get(&block) {
                Some(newest) if *newest == stamp && self.blocks.len() > limit => {
                    self.blocks.remove(&block);
                }
                Some(newest) if *newest == stamp => self.order.push_back((block, stamp)),
                _ => {}
            }
        }
    }

    /// Takes a cache event. Where events were lost, everything believed so far is forgotten and
    /// learned again; an event of the past changes nothing.
    pub fn apply(&mut self, update: &CacheEvent, limit: usize) {
        if update.incarnation < self.incarnation {
            return;
        }
        let renewed = update.incarnation > self.incarnation;
        if renewed {
            self.clear();
            self.incarnation = update.incarnation;
            self.sequence = None;
        }
        if self.sequence.is_some_and(|known| update.sequence <= known) {
            return;
        }
        if self.sequence.is_some_and(|known| update.sequence > known + 1) {
            self.clear();
        }
        self.sequence = Some(update.sequence);
        self.store(&update.stored, limit);
        for block in &update.evicted {
            self.blocks.remove(block);
        }
    }

    /// Forgets all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    /// The number of blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
