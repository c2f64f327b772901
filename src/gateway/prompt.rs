use xxhash_rust::xxh3::xxh3_64;

/// One part of a prompt, which targets keep after reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of its identifier.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a request asks a model engine to read and write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// The tokens to read.
    pub tokens: u32,
    /// The most tokens to write.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Reads a prompt from `IDENTIFIER:TOKENS,...` and `TOKENS,MOST_OUTPUT`; what cannot be read
    /// is left out, as it only guides placement.
    ///
    /// ```
    /// use pomelogate::gateway::Prompt;
    ///
    /// let prompt = Prompt::parse(Some("5c1e:800,91bd:410"), Some("1460,80"));
    /// assert_eq!((prompt.parts.len(), prompt.tokens, prompt.max_output_tokens), (2, 1460, 80));
    /// assert_eq!(prompt.shared_tokens(), 800);
    /// ```
    pub fn parse(parts: Option<&str>, tokens: Option<&str>) -> Self {
        let part = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PromptPart { key: xxh3_64(id.as_bytes()), tokens: tokens.parse().ok()? })
        };
        let parts: Vec<PromptPart> =
            parts.unwrap_or_default().split(',').filter_map(part).collect();
        let mut numbers = tokens.unwrap_or_default().split(',').map(|text| text.trim().parse());
        let mut number = || numbers.next().and_then(Result::ok);
        let sum = parts.iter().map(|part| part.tokens).sum();
        let tokens = number().unwrap_or(sum);
        Self { parts, tokens, max_output_tokens: number().unwrap_or(0) }
    }

    /// The tokens of the parts that other requests have too.
    pub fn shared_tokens(&self) -> u32 {
        let parts = self.parts.split_last().map_or(&[][..], |(_, parts)| parts);
        parts.iter().map(|part| part.tokens).sum()
    }

    /// The tokens of the parts that no other request has.
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// The tokens that remain to be read where the first `cached` parts are kept.
    pub fn uncached_tokens(&self, cached: usize) -> u32 {
        let kept: u32 = self.parts.iter().take(cached).map(|part| part.tokens).sum();
        self.tokens.saturating_sub(kept).max(1)
    }

    /// What requests with the same shared parts have in common; nothing where there are none.
    pub fn shared_prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].key)
    }

    /// The keys of the parts in order.
    pub fn part_keys(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.key).collect()
    }
}
