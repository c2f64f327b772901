use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt, the unit in which targets cache what they have read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of its identifier.
    pub key: u64,
    /// The number of its tokens.
    pub tokens: u32,
}

/// The prompt of a request to a model engine, and the limit on its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order. All but the last may be shared with other requests; the last belongs to
    /// this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// The number of tokens in the prompt.
    pub tokens: u32,
    /// The most tokens that the engine may generate.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Parses a prompt from `IDENTIFIER:TOKENS,...` and `TOKENS,MAX_OUTPUT_TOKENS`. Malformed
    /// values are skipped, as the prompt only guides the choice of a target.
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

    /// The sum of both numbers of `TOKENS,MAX_OUTPUT_TOKENS`; `None` if they are missing or malformed.
    ///
    /// ```
    /// use pomelogate::gateway::Prompt;
    ///
    /// assert_eq!(Prompt::parse_token_sum("1460,80"), Some(1540));
    /// assert_eq!(Prompt::parse_token_sum("many"), None);
    /// ```
    pub fn parse_token_sum(text: &str) -> Option<u64> {
        let numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        numbers.map(|number| number.map(u64::from)).sum()
    }

    /// The keys of the parts that other requests may share.
    pub fn shared_keys(&self) -> impl Iterator<Item = u64> {
        let shared_parts = self.parts.split_last().map_or(&[][..], |(_, parts)| parts);
        shared_parts.iter().map(|part| part.key)
    }

    /// The number of tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared_parts = self.parts.split_last().map_or(&[][..], |(_, parts)| parts);
        shared_parts.iter().map(|part| part.tokens).sum()
    }

    /// The number of tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens())
    }

    /// The number of tokens left to read for a target that has the first `cached_parts` parts in
    /// its cache, at least 1.
    pub fn uncached_tokens(&self, cached_parts: usize) -> u32 {
        let cached_tokens: u32 = self.parts.iter().take(cached_parts).map(|part| part.tokens).sum();
        self.tokens.saturating_sub(cached_tokens).max(1)
    }

    /// The key of the last shared part, which stands for the whole shared prefix. None if no part
    /// is shared.
    pub fn shared_prefix_key(&self) -> Option<u64> {
        let last_shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[last_shared].key)
    }
}
