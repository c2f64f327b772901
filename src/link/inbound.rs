use prost::bytes::Bytes;
use smol::channel::Sender;

use super::Exchange;
use crate::{
    id,
    wire::{Handover, Topic},
};

/// A message from another VM.
#[derive(Debug)]
pub enum Inbound {
    /// A message without a reply.
    Notice {
        /// The VM that sent it.
        from: id::Vm,
        /// The part of the program that handles it.
        topic: Topic,
        /// The encoded message.
        payload: Bytes,
    },
    /// A message with one reply.
    Call {
        /// The VM that sent it.
        from: id::Vm,
        /// The part of the program that handles it.
        topic: Topic,
        /// The encoded message.
        payload: Bytes,
        /// Sends the encoded reply.
        reply: Sender<Bytes>,
    },
    /// A caller's request that another VM handed over.
    Handover {
        /// The VM that sent it.
        from: id::Vm,
        /// The region of that VM.
        region: id::Region,
        /// The request.
        handover: Box<Handover>,
        /// Receives the body of the request and sends the response.
        exchange: Exchange,
    },
}
