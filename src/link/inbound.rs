use prost::bytes::Bytes;
use smol::channel::Sender;

use super::Exchange;
use crate::{
    id,
    wire::{Handover, Topic},
};

/// Something that another VM sent.
#[derive(Debug)]
pub enum Inbound {
    /// A message that wants no reply.
    Notice {
        /// The VM that sent it.
        from: id::Vm,
        /// The part of the system that it is for.
        topic: Topic,
        /// The encoded message.
        payload: Bytes,
    },
    /// A message that wants one reply.
    Call {
        /// The VM that sent it.
        from: id::Vm,
        /// The part of the system that it is for.
        topic: Topic,
        /// The encoded message.
        payload: Bytes,
        /// Takes the encoded reply.
        reply: Sender<Bytes>,
    },
    /// A caller's request, handed over.
    Handover {
        /// The VM that sent it.
        from: id::Vm,
        /// The region of that VM.
        region: id::Region,
        /// The request.
        handover: Box<Handover>,
        /// Carries the request's body in and the answer out.
        exchange: Exchange,
    },
}
