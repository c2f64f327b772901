//! HTTP/1 client and server for callers, targets and operators, with `hyper` on `smol`.

mod account;
mod body;
mod buffer_budget;
mod client;
mod connections;
mod counted_body;
mod deadline_body;
mod delimiter;
mod event_progress;
mod head_guard;
mod server;
mod stall_detector;
mod status;
mod write_stall;
mod write_tracker;

pub use self::{
    account::{Account, Cause, RequestAccount, ServerAccount},
    body::{
        Body, CollectError, IncompleteBody, channel, collect, collect_counted, discard, empty,
        full, read_failure,
    },
    buffer_budget::{BufferBudget, BufferShare},
    client::{RequestError, send_request},
    connections::{Connection, Connections},
    deadline_body::full_before_deadline,
    delimiter::Delimiter,
    event_progress::{EventProgress, is_event_stream},
    server::{Limits, Stop, Stopped, serve, serve_counted},
    stall_detector::StallDetector,
    status::is_final_status,
};
pub(crate) use self::{
    client::{
        ConnectError, connect, handshake, is_connectable, refuses_connections, send_request_if,
    },
    head_guard::{HeadGuard, HeadState},
    server::{STOP_LINGER, max_headers_of},
    status::{final_status, undefined_status},
};
