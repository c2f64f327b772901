use prost::Message;

/// Renewals that say nothing new but load: each target goes by the digest of what it announced.
///
/// The lists run side by side, a place in each for a target.
#[derive(Clone, PartialEq, Message)]
pub struct Renewals {
    /// The VM that took the announcements.
    #[prost(string, tag = "1")]
    pub by: String,
    /// The digest of each target's announcement.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
    /// Milliseconds since the VM took it.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
    /// Requests in its batch.
    #[prost(uint32, repeated, tag = "4")]
    pub running: Vec<u32>,
    /// Requests that wait.
    #[prost(uint32, repeated, tag = "5")]
    pub waiting: Vec<u32>,
    /// Prompt tokens that wait to be read.
    #[prost(uint32, repeated, tag = "6")]
    pub waiting_tokens: Vec<u32>,
}

/// One target of [`Renewals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Renewal {
    pub(super) digest: u32,
    pub(super) age_ms: u32,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) waiting_tokens: u32,
}

impl Renewals {
    pub(super) fn push(&mut self, renewal: Renewal) {
        let Renewal { digest, age_ms, running, waiting, waiting_tokens } = renewal;
        self.digests.push(digest);
        self.ages_ms.push(age_ms);
        self.running.push(running);
        self.waiting.push(waiting);
        self.waiting_tokens.push(waiting_tokens);
    }

    /// The renewals; what a list that is too short does not say ends them.
    pub(super) fn iter(&self) -> impl Iterator<Item = Renewal> {
        (0..self.digests.len()).map_while(|at| {
            Some(Renewal {
                digest: self.digests[at],
                age_ms: *self.ages_ms.get(at)?,
                running: *self.running.get(at)?,
                waiting: *self.waiting.get(at)?,
                waiting_tokens: *self.waiting_tokens.get(at)?,
            })
        })
    }
}
