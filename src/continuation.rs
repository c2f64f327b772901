//! At which software version a resumable stream may go on.
//!
//! Targets of several software versions may run one service, and what two versions write must not
//! be joined in one stream. Each VM keeps a [`Ledger`] of the streams that it began and sends
//! [`Batch`]es of new records to the replica that it follows. A VM that takes a stream up and has
//! no record of its [`Key`] sends a [`Query`] to all replicas and combines each [`Reply`] in a
//! [`Lookup`]. Without a record, a replica may still prove that one version alone has run the
//! service for longer than any stream lasts; [`Progress`] supplies the time for that. If neither
//! holds, the stream must not go on.

mod batch;
mod finding;
mod key;
mod ledger;
mod lookup;
mod progress;
mod query;
mod resolution;

pub use self::{
    batch::Batch,
    finding::Finding,
    key::Key,
    ledger::{Ledger, MAX_RECORDS, MAX_TIME_LEFT},
    lookup::Lookup,
    progress::{MAX_HORIZON, Progress},
    query::{Query, Reply},
    resolution::{Cause, Resolution},
};
