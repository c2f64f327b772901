use std::collections::{HashMap, VecDeque};

use prost::{Message, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::{Reply, Verdict};

/// How many operations' replies are kept, so that a resend gets the first reply.
pub const MAX_CACHED_REPLIES: usize = 4_096;

/// The replies to the latest operations that carry an identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    order: VecDeque<String>,
    kept: HashMap<String, CachedReply>,
}

/// The reply to one operation.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CachedReply {
    #[prost(string, tag = "1")]
    operation: String,
    #[prost(bytes = "bytes", tag = "2")]
    digest: Bytes,
    #[prost(message, required, tag = "3")]
    reply: Reply,
}

impl ReplyCache {
    /// The first reply to `operation`, if it is a resend of the same `command`.
    pub fn find(&self, operation: &str, command: &[u8]) -> Option<Verdict> {
        let receipt = self.kept.get(operation)?;
        if receipt.digest == Sha256::digest(command)[..] {
            return receipt.reply.verdict.clone();
        }
        let fault = format!("operation `{operation}` was another command; use a new identifier");
        Some(Verdict::invalid(fault))
    }

    /// Keeps the reply to `operation`.
    pub fn keep(&mut self, operation: &str, command: &[u8], verdict: &Verdict) {
        self.insert(CachedReply {
            operation: operation.to_owned(),
            digest: Bytes::from(Sha256::digest(command).to_vec()),
            reply: verdict.clone().into(),
        });
    }

    fn insert(&mut self, receipt: CachedReply) {
        self.order.push_back(receipt.operation.clone());
        self.kept.insert(receipt.operation.clone(), receipt);
        if self.order.len() > MAX_CACHED_REPLIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.kept.remove(&oldest);
        }
    }

    pub fn image(&self) -> Vec<CachedReply> {
        self.order.iter().filter_map(|operation| self.kept.get(operation).cloned()).collect()
    }

    pub fn from_image(image: Vec<CachedReply>) -> Self {
        let mut receipts = Self::default();
        for receipt in image {
            receipts.insert(receipt);
        }
        receipts
    }
}
