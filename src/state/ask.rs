use prost::{Message, Oneof};

use super::{Fetch, Served};

/// What one VM asks another about the lists.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// The question.
    #[prost(oneof = "Question", tags = "1, 2")]
    pub question: Option<Question>,
}

/// The kinds of question.
#[derive(Clone, PartialEq, Oneof)]
pub enum Question {
    /// For what is newer; the reply is an [`Update`](super::Update).
    #[prost(message, tag = "1")]
    Fetch(Fetch),
    /// For the versions in force, as the VM knows them; the reply is a [`Reported`].
    #[prost(message, tag = "2")]
    Reports(Reports),
}

/// Asks for the versions in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Reports {}

/// The versions in force on some VMs.
#[derive(Clone, PartialEq, Message)]
pub struct Reported {
    /// The VMs with their versions.
    #[prost(message, repeated, tag = "1")]
    pub served: Vec<Served>,
}

impl From<Question> for Ask {
    fn from(question: Question) -> Self {
        Self { question: Some(question) }
    }
}
