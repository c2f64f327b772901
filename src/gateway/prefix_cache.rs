use std::collections::{BTreeMap, HashMap};

use super::PromptPart;

/// The parts that are remembered for a target whose memory is unknown.
const MAX_PARTS: usize = 2048;

/// The prompt parts that one target probably has in its memory, least recently used first out.
///
/// A VM sees a small share of the requests in a large region. It therefore records its own requests
/// and those that the other VMs report.
///
/// ```
/// use pomelogate::gateway::{PrefixCache, PromptPart};
///
/// let part = |key| PromptPart { key, tokens: 600 };
/// let mut cache = PrefixCache::default();
/// cache.set_capacity(1000);
/// cache.store(&[part(1)]);
/// assert_eq!(cache.held_parts(&[part(1), part(2)]), 1);
/// cache.store(&[part(2)]);
/// assert_eq!(cache.held_parts(&[part(1)]), 0, "there is room for one part");
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    stored_tokens: u64,
    parts: HashMap<u64, StoredPart>,
    /// The keys of the parts by the number of their last use.
    uses: BTreeMap<u64, u64>,
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct StoredPart {
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Sets the tokens that the target's memory holds; zero if they are unknown.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens;
    }

    /// The number of leading parts of a prompt that the target probably has.
    pub fn held_parts(&self, parts: &[PromptPart]) -> usize {
        parts.iter().take_while(|part| self.parts.contains_key(&part.key)).count()
    }

    /// Adds the parts of a prompt and drops the least recently used ones beyond the capacity.
    pub fn store(&mut self, parts: &[PromptPart]) {
        // A part is of no use without those before it, so later parts are dropped first.
        for part in parts.iter().rev() {
            self.last_use += 1;
            let stored = StoredPart { tokens: part.tokens, last_use: self.last_use };
            if let Some(previous) = self.parts.insert(part.key, stored) {
                self.uses.remove(&previous.last_use);
                self.stored_tokens -= u64::from(previous.tokens);
            }
            self.uses.insert(self.last_use, part.key);
            self.stored_tokens += u64::from(part.tokens);
        }
        while self.is_over_capacity() {
            let Some((_, key)) = self.uses.pop_first() else { break };
            if let Some(dropped) = self.parts.remove(&key) {
                self.stored_tokens -= u64::from(dropped.tokens);
            }
        }
    }

    /// Forgets all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.uses.clear();
        self.stored_tokens = 0;
    }

    fn is_over_capacity(&self) -> bool {
        let too_many_tokens = self.capacity_tokens > 0 && self.stored_tokens > self.capacity_tokens;
        too_many_tokens || self.parts.len() > MAX_PARTS
    }
}
