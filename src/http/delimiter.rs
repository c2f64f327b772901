use std::fmt;

use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delimiter {
    /// Its content length, which is 0 for a response without a body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which may as well be that of a target that failed.
    Connection,
}

impl Delimiter {
    /// The delimiter of the body that came with `headers`.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) || body.is_end_stream() {
            Self::Length
        } else {
            Self::Connection
        }
    }
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}
