//! Figures: counters and histograms for each customer and class.
//!
//! A [`Board`] takes one [`Sample`] a request. It is read as a [`Snapshot`] and may send each
//! sample to statsd; neither ever blocks the request path.

mod board;
mod page;
mod row;
mod sample;
mod snapshot;
mod statsd;

pub use self::{
    board::Board,
    page::{Label, Page},
    sample::{Outcome, Sample},
    snapshot::{Quantiles, Refusals, Snapshot, Summary},
    statsd::Statsd,
};
