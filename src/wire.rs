//! Frames between VMs: length-delimited `prost` messages.
//!
//! One connection carries many exchanges. A frame names its exchange by a number that is unique
//! on its connection; a new connection has a new incarnation, so that no frame of an old one can
//! be taken for one of the new. The payloads of calls and notices are messages of the part of
//! the system that their topic names.

mod body;
mod frame;
mod topic;

pub use self::{
    body::{
        Abort, Body, Call, Chunk, Credit, End, Handover, Header, Heartbeat, Hello, Need, Notice,
        Reply, ResponseHead,
    },
    frame::Frame,
    topic::Topic,
};
