//! Frames between VMs: length-delimited `prost` messages.
//!
//! One connection carries many exchanges. A frame contains the ID of its exchange, which is unique on
//! its connection. A new connection identifies itself in its hello, so that a frame of an earlier
//! connection cannot be mistaken for one of the new connection. The payloads of calls and notices
//! are messages of the module that their topic names.

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
