/// How a stand-in engine misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It cuts the connection of each new stream after so many events, and offers resumption.
    CutStream {
        /// The events before the cut.
        after: usize,
    },
    /// It cuts the connection of each new stream after so many events, for good.
    LoseStream {
        /// The events before the cut.
        after: usize,
    },
    /// It announces a longer body than it sends.
    Truncate,
    /// It takes requests and never answers.
    Silent,
    /// It answers that it is overloaded.
    Overloaded,
    /// It dies, with all its connections, of a request with this text in any of its messages.
    CrashOn(String),
}
