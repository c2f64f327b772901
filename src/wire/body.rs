use prost::{Message, Oneof};

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first frame each way on a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A sign of life.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// A message that wants no reply.
    #[prost(message, tag = "4")]
    Notice(Notice),
    /// A message that wants one reply.
    #[prost(message, tag = "5")]
    Call(Call),
    /// The reply to a call.
    #[prost(message, tag = "6")]
    Reply(Reply),
    /// A caller's request, handed to another VM.
    #[prost(message, tag = "7")]
    Handover(Box<Handover>),
    /// The head of the answer to a request.
    #[prost(message, tag = "8")]
    ResponseHead(ResponseHead),
    /// A piece of a body.
    #[prost(message, tag = "9")]
    Chunk(Chunk),
    /// The end of a whole body.
    #[prost(message, tag = "10")]
    End(End),
    /// The end of an exchange that failed.
    #[prost(message, tag = "11")]
    Abort(Abort),
    /// The caller has gone; the work is to stop.
    #[prost(message, tag = "12")]
    Cancel(End),
    /// Leave to send more chunks of the exchange.
    #[prost(message, tag = "13")]
    Credit(Credit),
}

/// Leave to send more chunks of an exchange.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Credit {
    /// The bytes that may be sent beyond those allowed before.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
}

/// The first frame each way on a connection: who speaks.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The VM that speaks.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The incarnation of the speaking process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of this connection within the speaking process.
    #[prost(uint64, tag = "3")]
    pub connection: u64,
    /// The speaker's region.
    #[prost(string, tag = "4")]
    pub region: String,
}

/// A sign of life.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Heartbeat {
    /// Whether the sender has something at stake, so that the receiver must answer at once and
    /// write often for a while.
    #[prost(bool, tag = "1")]
    pub urgent: bool,
}

/// A message that wants no reply.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// The part of the system that the message is for: a [`Topic`](super::Topic).
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: prost::bytes::Bytes,
}

/// A message that wants one reply.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// The part of the system that the message is for: a [`Topic`](super::Topic).
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

/// A caller's request, handed to another VM. Its body follows as chunks.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The request's identifier.
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
    /// The headers that concern the target or the decision.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// Hand-overs between regions so far, this one included.
    #[prost(uint32, tag = "6")]
    pub region_handovers: u32,
    /// Hand-overs within the receiver's region so far, this one included.
    #[prost(uint32, tag = "7")]
    pub handovers_within_region: u32,
    /// Milliseconds left until the caller's deadline when the frame was written.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// The VMs that the request has crossed, in order.
    #[prost(string, repeated, tag = "9")]
    pub vms_crossed: Vec<String>,
    /// The version of the plans under which the first VM decided.
    #[prost(uint64, tag = "10")]
    pub plans_version: u64,
    /// The version of the allowances under which the first VM decided.
    #[prost(uint64, tag = "11")]
    pub allowances_version: u64,
    /// What the request needs of a target, in canonical names.
    #[prost(message, optional, tag = "12")]
    pub need: Option<Need>,
    /// The path at the target.
    #[prost(string, tag = "13")]
    pub target_path: String,
    /// The idempotency key; empty where there is none.
    #[prost(string, tag = "14")]
    pub idempotency_key: String,
    /// Whether the request is of the class that may wait.
    #[prost(bool, tag = "15")]
    pub batch: bool,
}

/// What a request needs of a target; an empty text stands for none.
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

/// The head of the answer to a request.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
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

/// A piece of a body.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: prost::bytes::Bytes,
}

/// The end of a whole body.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct End {}

/// The end of an exchange that failed.
#[derive(Clone, PartialEq, Message)]
pub struct Abort {
    /// Whether the request is known not to have run.
    #[prost(bool, tag = "1")]
    pub did_not_run: bool,
    /// The [`Reason`](crate::outcome::Reason) of a refusal, in its JSON form.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// What was found.
    #[prost(string, tag = "3")]
    pub detail: String,
    /// What the caller can do about it.
    #[prost(string, tag = "4")]
    pub remedy: String,
    /// Milliseconds to wait before trying again; zero where there is no advice.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
    /// Whether an earlier request with the same idempotency key is still running the call.
    #[prost(bool, tag = "6")]
    pub still_running: bool,
}
