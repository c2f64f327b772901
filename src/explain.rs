//! What a VM would do with a request now, and why.

mod answer;
mod candidate;
mod explanation;
mod query;
mod region;
mod view;

pub use self::{
    answer::Answer,
    candidate::{Candidate, Verdict},
    explanation::Explanation,
    query::{Query, QueryError},
    region::Region,
    view::View,
};
