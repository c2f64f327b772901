//! Names: three schemes that name the same regions, models and services.
//!
//! A [`Catalogue`] holds the canonical names and each scheme's aliases. Names are resolved once,
//! before any decision; a name that means two things is refused, never guessed.

mod alias;
mod catalogue;
mod document;
mod error;
mod kind;
mod scheme;
mod table;

pub use self::{
    alias::Alias,
    catalogue::Catalogue,
    document::{Document, ModelEntry, SchemeAliases},
    error::{Error, Fault},
    kind::Kind,
    scheme::Scheme,
};
