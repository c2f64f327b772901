use xxhash_rust::xxh3::Xxh3;

/// Names a stream: the host and path of its request and the ID of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// Computes the key of a stream. Its size does not depend on the length of the parts.
    ///
    /// ```
    /// use pomelogate::continuation::Key;
    ///
    /// let key = Key::of("chat.example", "/v1/stream", b"7f3a");
    /// assert_eq!(key, Key::of("chat.example", "/v1/stream", b"7f3a"));
    /// assert_ne!(key, Key::of("chat.example", "/v1/strea", b"m7f3a"));
    /// ```
    pub fn of(host: &str, path_and_query: &str, request_id: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [host.as_bytes(), path_and_query.as_bytes(), request_id] {
            // The length keeps parts that are split differently apart.
            hasher.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }

    /// The key as a number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for Key {
    fn from(number: u64) -> Self {
        Self(number)
    }
}
