use prost::{Message, Oneof};

/// The content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first frame in each direction of a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Shows that the sender is alive.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// A message without a reply.
    #[prost(message, tag = "4")]
    Notice(Notice),
    /// A message with one reply.
    #[prost(message, tag = "5")]
    Call(Call),
    /// The reply to a call.
    #[prost(message, tag = "6")]
    Reply(Reply),
    /// A caller's request that is handed over to another VM.
    #[prost(message, tag = "7")]
    Handover(Box<Handover>),
    /// The head of the response to a request.
    #[prost(message, tag = "8")]
    ResponseHead(ResponseHead),
    /// A part of a body.
    #[prost(message, tag = "9")]
    Chunk(Chunk),
    /// The end of a complete body.
    #[prost(message, tag = "10")]
    End(End),
    /// The end of a failed exchange.
    #[prost(message, tag = "11")]
    Abort(Abort),
    /// The caller disconnected, so the receiver must stop its work.
    #[prost(message, tag = "12")]
    Cancel(End),
    /// Permission to send more chunks of the exchange.
    #[prost(message, tag = "13")]
    Credit(Credit),
}

/// Permission to send more chunks of an exchange.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Credit {
    /// The additional bytes that may be sent.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
}

/// The first frame in each direction of a connection, which identifies the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The sending VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The incarnation of the sending process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of this connection within the sending process.
    #[prost(uint64, tag = "3")]
    pub connection: u64,
    /// The region of the sending VM.
    #[prost(string, tag = "4")]
    pub region: String,
}

/// Shows that the sender is alive.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Heartbeat {
    /// Whether the sender is active. The receiver must then answer at once and send heartbeats often
    /// for a while.
    #[prost(bool, tag = "1")]
    pub urgent: bool,
}

/// A message without a reply.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// The number of the [`Topic`](super::Topic) of the message.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: prost::bytes::Bytes,
}

/// A message with one reply.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// The number of the [`Topic`](super::Topic) of the message.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: prost::bytes::Bytes,
}

/// The reply to a call.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: prost::bytes::Bytes,
}

/// A caller's request that is handed over to another VM. Its body follows as chunks.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The ID of the request.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The customer, as the first VM authenticated it.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The HTTP path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that the target or the placement of the request needs.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// Handovers between regions so far, including this one.
    #[prost(uint32, tag = "6")]
    pub region_handovers: u32,
    /// Handovers within the region of the receiver so far, including this one.
    #[prost(uint32, tag = "7")]
    pub handovers_within_region: u32,
    /// Milliseconds until the caller's deadline when the frame was written.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// The VMs through which the request has passed, in order.
    #[prost(string, repeated, tag = "9")]
    pub vms_crossed: Vec<String>,
    /// The version of the plans that the first VM used.
    #[prost(uint64, tag = "10")]
    pub plans_version: u64,
    /// The version of the allowances that the first VM used.
    #[prost(uint64, tag = "11")]
    pub allowances_version: u64,
    /// What the request requires of a target, in canonical names.
    #[prost(message, optional, tag = "12")]
    pub need: Option<Need>,
    /// The path of the request to the target.
    #[prost(string, tag = "13")]
    pub target_path: String,
    /// The idempotency key; empty if there is none.
    #[prost(string, tag = "14")]
    pub idempotency_key: String,
    /// Whether the request is in the batch class.
    #[prost(bool, tag = "15")]
    pub batch: bool,
    /// The only software version of targets that may serve the request, if it continues a stream;
    /// empty if it continues none.
    #[prost(string, tag = "16")]
    pub software_version: String,
    /// Whether the sender can have the rest of the response, a stream, from another VM.
    #[prost(bool, tag = "17")]
    pub is_resumable: bool,
}

/// What a request requires of a target; an empty field sets no requirement.
#[derive(Clone, PartialEq, Message)]
pub struct Need {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version of the model.
    #[prost(string, tag = "2")]
    pub version: String,
    /// The adapter of the model.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// The plain service.
    #[prost(string, tag = "4")]
    pub service: String,
}

/// The head of the response to a request.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The version of the software of the target that responds; empty if it is unknown.
    #[prost(string, tag = "3")]
    pub software_version: String,
}

/// A header: its name and its value.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A part of a body.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: prost::bytes::Bytes,
}

/// The end of a complete body.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct End {}

/// The end of a failed exchange.
#[derive(Clone, PartialEq, Message)]
pub struct Abort {
    /// Whether the request is known not to have run.
    #[prost(bool, tag = "1")]
    pub did_not_run: bool,
    /// The [`Reason`](crate::outcome::Reason) of a refusal, as JSON.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// A description of what went wrong.
    #[prost(string, tag = "3")]
    pub detail: String,
    /// What the caller can do about it.
    #[prost(string, tag = "4")]
    pub remedy: String,
    /// Milliseconds to wait before a retry; zero for no advice.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
    /// Whether an earlier request with the same idempotency key is still running.
    #[prost(bool, tag = "6")]
    pub still_running: bool,
}
