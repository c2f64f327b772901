use std::collections::{BTreeMap, HashMap};

/// The prefix cache of an engine; the least recently used block goes first.
#[derive(Clone, Debug)]
pub struct Prefix {
    limit: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Prefix {
    /// An empty cache of `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self { limit, clock: 0, used: HashMap::new(), order: BTreeMap::new() }
    }

    /// The leading blocks that the cache holds.
    pub fn matched(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(*block)).count()
    }

    /// Takes blocks in, or marks them as used; gives those that are new and those dropped.
    pub fn store(&mut self, blocks: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => stored.push(*block),
            }
            self.order.insert(self.clock, *block);
        }
        let mut evicted = Vec::new();
        while self.used.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.used.remove(&block);
            evicted.push(block);
        }
        (stored, evicted)
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }
}
