use prost::bytes::Bytes;

/// A deterministic state machine to which a group applies its committed commands.
///
/// The same commands in the same order must give the same replies and the same snapshot on every
/// replica, so a state machine must not depend on clocks, settings or random numbers.
pub trait StateMachine: Send {
    /// Applies the command at `index` of the log and returns the reply for its proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// Encodes the whole state.
    fn snapshot(&self) -> Bytes;

    /// Replaces the whole state by the encoded one.
    ///
    /// # Errors
    ///
    /// If the snapshot cannot be decoded; the message names the remedy.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}
