//! Organisations: who may send requests on routes, under which key, to which regions and how much.
//!
//! A configuration holds a [`Set`] of them. A VM accepts their keys only under a [`KeyLease`], so that a
//! key that was withdrawn stops on every VM within a bound, also on one that is cut off.

mod credential;
mod definition;
mod key_lease;
mod quota;
mod set;
mod set_error;

pub use self::{
    credential::{Credential, CredentialError},
    definition::Organisation,
    key_lease::KeyLease,
    quota::{Quota, Unit},
    set::Set,
    set_error::SetError,
};
