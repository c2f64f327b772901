//! Resolution of the names of regions, models and services, which have aliases in several naming
//! schemes.
//!
//! A [`Catalogue`] has the canonical names and the aliases of each scheme. Names in a request are
//! resolved once, before any decision. An ambiguous name is refused.

mod alias;
mod catalogue;
mod document;
mod error;
mod kind;
mod name_table;
mod scheme;

pub use self::{
    alias::Alias,
    catalogue::Catalogue,
    document::{Document, ModelEntry, SchemeAliases},
    error::{Error, Fault},
    kind::Kind,
    scheme::Scheme,
};
