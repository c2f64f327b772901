use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const BLOCK_BYTES: usize = 256;
const MAX_BLOCKS: usize = 256;
const BYTES_PER_TOKEN: usize = 4;

/// The prompt of a request as a chain of block hashes; the text itself is not kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    blocks: Vec<u64>,
    tokens: u32,
}

impl Prompt {
    /// Hashes a prompt block by block. Each hash covers the `scope` and all blocks before it, so
    /// prompts match only from their start, and those of other models or customers never match.
    ///
    /// ```
    /// use pomelogate::placement::Prompt;
    ///
    /// let short = Prompt::new("assistant", &[7; 512]);
    /// let long = Prompt::new("assistant", &[7; 1024]);
    /// assert!(long.blocks().starts_with(short.blocks()));
    /// ```
    pub fn new(scope: &str, text: &[u8]) -> Self {
        let mut hash = xxh3_64(scope.as_bytes());
        let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS).map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        });
        let blocks = blocks.collect();
        Self { blocks, tokens: u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX) }
    }

    /// Creates a prompt from its block hashes and its length in tokens.
    pub fn from_blocks(blocks: Vec<u64>, tokens: u32) -> Self {
        Self { blocks, tokens }
    }

    /// The chained hashes, one for each block.
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }

    /// The estimated length in tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The estimated tokens that a target with `cached_blocks` leading blocks in its cache still
    /// has to read.
    pub(super) fn uncached_tokens(&self, cached_blocks: usize) -> f64 {
        let cached_ratio = cached_blocks as f64 / self.blocks.len().max(1) as f64;
        f64::from(self.tokens) * (1.0 - cached_ratio.min(1.0))
    }
}
