use prost::bytes::Bytes;

/// A deterministic state machine to which a group applies its committed commands.
///
/// The same commands in the same order must give the same replies and the same snapshot on every
/// replica; so a machine reads no clock, no settings and no random numbers.
pub trait StateMachine: Send {
    /// Applies the command at `index` of the log and gives the reply to whoever proposed it.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// The whole state, encoded.
    fn snapshot(&self) -> Bytes;

    /// Replaces the whole state by an encoded one.
    ///
    /// # Errors
    ///
    /// Where the snapshot cannot be decoded; the message names the remedy.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}
