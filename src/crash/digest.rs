use std::fmt;

use sha2::{Digest as _, Sha256};

use crate::{id, target::Need};

const DIGEST_BYTES: usize = 16;

/// Identifies requests with the same content, through any VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of a request's customer, canonical model or service name, and body.
    ///
    /// ```
    /// use pomelogate::{crash::Digest, id, target::Need};
    ///
    /// let need = Need::Service { service: id::Service::from("jobs") };
    /// let one = Digest::new(&"crew".into(), &need, b"{}");
    /// assert_eq!(one, Digest::new(&"crew".into(), &need, b"{}"));
    /// assert_ne!(one, Digest::new(&"crew".into(), &need, b"[]"));
    /// ```
    pub fn new(customer: &id::Customer, need: &Need, body: &[u8]) -> Self {
        Self::of(&[customer.as_str().as_bytes(), need.to_string().as_bytes(), body])
    }

    /// Computes the digest of a list of byte strings. Their lengths count, so moving bytes from
    /// one to the next changes the digest.
    ///
    /// ```
    /// use pomelogate::crash::Digest;
    ///
    /// assert_ne!(Digest::of(&[b"/a", b"b"]), Digest::of(&[b"/", b"ab"]));
    /// ```
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// The digest as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads a digest from bytes; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
