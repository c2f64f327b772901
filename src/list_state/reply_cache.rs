use std::collections::{HashMap, VecDeque};

use prost::{Message, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::{Reply, Verdict};

/// Number of operations whose replies are cached, so that a resend gets the first reply.
pub const MAX_CACHED_REPLIES: usize = 4_096;

/// The replies to the latest operations that carry an operation identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    oldest_first: VecDeque<String>,
    replies: HashMap<String, CachedReply>,
}

/// The reply to one operation, with the digest of its command.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CachedReply {
    #[prost(string, tag = "1")]
    operation: String,
    #[prost(bytes = "bytes", tag = "2")]
    command_digest: Bytes,
    #[prost(message, required, tag = "3")]
    reply: Reply,
}

impl ReplyCache {
    /// The cached reply to `operation`, if any. Reusing the identifier for another command is
    /// invalid.
    pub fn find(&self, operation: &str, command: &[u8]) -> Option<Verdict> {
        let cached = self.replies.get(operation)?;
        if cached.command_digest == Sha256::digest(command)[..] {
            return cached.reply.verdict.clone();
        }
        let fault = format!("operation `{operation}` was another command; use a new identifier");
        Some(Verdict::invalid(fault))
    }

    /// Caches the reply to `operation` and drops the oldest reply beyond the limit.
    pub fn insert_reply(&mut self, operation: &str, command: &[u8], verdict: &Verdict) {
        self.insert(CachedReply {
            operation: operation.to_owned(),
            command_digest: Bytes::from(Sha256::digest(command).to_vec()),
            reply: verdict.clone().into(),
        });
    }

    fn insert(&mut self, cached: CachedReply) {
        self.oldest_first.push_back(cached.operation.clone());
        self.replies.insert(cached.operation.clone(), cached);
        if self.oldest_first.len() > MAX_CACHED_REPLIES
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.replies.remove(&oldest);
        }
    }

    pub fn image(&self) -> Vec<CachedReply> {
        self.oldest_first
            .iter()
            .filter_map(|operation| self.replies.get(operation).cloned())
            .collect()
    }

    pub fn from_image(image: Vec<CachedReply>) -> Self {
        let mut cache = Self::default();
        for cached in image {
            cache.insert(cached);
        }
        cache
    }
}
