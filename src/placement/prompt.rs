use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const BLOCK_BYTES: usize = 256;
const MOST_BLOCKS: usize = 256;
const BYTES_A_TOKEN: usize = 4;

/// A prompt as placement sees it: chained hashes of its blocks, never its text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    blocks: Vec<u64>,
    tokens: u32,
}

impl Prompt {
    /// Hashes a prompt in blocks. Each hash covers all blocks before it and the `scope`, so that
    /// prompts of other models or customers never match.
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
        let blocks = text.chunks_exact(BLOCK_BYTES).take(MOST_BLOCKS).map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        });
        let blocks = blocks.collect();
        Self { blocks, tokens: u32::try_from(text.len() / BYTES_A_TOKEN).unwrap_or(u32::MAX) }
    }

    /// A prompt of known hashes and length.
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

    /// The estimated tokens that remain to be read where `cached` blocks are known.
    pub(super) fn uncached(&self, cached: usize) -> f64 {
        let known = cached as f64 / self.blocks.len().max(1) as f64;
        f64::from(self.tokens) * (1.0 - known.min(1.0))
    }
}
