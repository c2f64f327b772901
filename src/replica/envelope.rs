use prost::{Message, bytes::Bytes};

use crate::{consensus, id};

/// A message between replicas with the name of its group, as it is sent over a link.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The message.
    #[prost(message, required, tag = "2")]
    pub message: consensus::Message,
}

impl Envelope {
    /// Decodes the name of the group that an encoded envelope is for, so that a VM with replicas
    /// of several groups can deliver it.
    ///
    /// ```
    /// use pomelogate::replica::Envelope;
    /// use prost::Message;
    ///
    /// let envelope = Envelope { group: "lists".to_owned(), ..Envelope::default() };
    /// let group = Envelope::decode_group_name(&envelope.encode_to_vec().into());
    /// assert_eq!(group.as_deref(), Some("lists"));
    /// ```
    pub fn decode_group_name(payload: &Bytes) -> Option<String> {
        Self::decode(payload.clone()).ok().map(|envelope| envelope.group)
    }
}

/// A payload that has to be sent to another VM as a notice of
/// [`Topic::Consensus`](crate::wire::Topic::Consensus).
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The recipient.
    pub to: id::Vm,
    /// The encoded [`Envelope`].
    pub payload: Bytes,
}
