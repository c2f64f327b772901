use std::fmt;

use hyper::{HeaderMap, header::AUTHORIZATION};

/// The longest key that is looked up. Longer ones are unknown.
const MAX_KEY_BYTES: usize = 1024;

/// The key that a request carries in its `Authorization` header.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Credential<'a>(&'a str);

/// Why a request carries no key. The text of the header is not told, as it may hold one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialError {
    /// The header is missing.
    Missing,
    /// The header comes more than once.
    Repeated,
    /// The header does not hold `Bearer` and a key.
    Malformed,
}

impl<'a> Credential<'a> {
    /// The key in the headers of a request.
    ///
    /// # Errors
    ///
    /// If there is none, or more than one.
    ///
    /// ```
    /// use hyper::{HeaderMap, header::AUTHORIZATION};
    /// use pomelogate::organisation::{Credential, CredentialError};
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Credential::of(&headers), Err(CredentialError::Missing));
    /// headers.insert(AUTHORIZATION, "bearer secret".parse().unwrap());
    /// assert_eq!(Credential::of(&headers).unwrap().key(), "secret");
    /// headers.append(AUTHORIZATION, "bearer secret".parse().unwrap());
    /// assert_eq!(Credential::of(&headers), Err(CredentialError::Repeated));
    /// ```
    pub fn of(headers: &'a HeaderMap) -> Result<Self, CredentialError> {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let value = values.next().ok_or(CredentialError::Missing)?;
        if values.next().is_some() {
            return Err(CredentialError::Repeated);
        }
        let text = value.to_str().map_err(|_| CredentialError::Malformed)?;
        let (scheme, key) = text.split_once(' ').ok_or(CredentialError::Malformed)?;
        let key = key.trim();
        let is_usable =
            scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        is_usable.then_some(Self(key)).ok_or(CredentialError::Malformed)
    }

    /// The key. It must not be logged or passed on.
    pub fn key(&self) -> &'a str {
        self.0
    }
}

impl fmt::Debug for Credential<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

impl fmt::Display for CredentialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "the request has no key; send it as `Authorization: Bearer KEY`",
            Self::Repeated => "the request has more than one `Authorization` header; send one",
            Self::Malformed => "the `Authorization` header is not `Bearer KEY`",
        })
    }
}

impl std::error::Error for CredentialError {}
