/// How a VM finds the version of a stream that it has no record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// It asks the replicas.
    AskReplicas,
    /// It takes the only version that it knows of.
    TrustView,
    /// It refuses the stream.
    OwnRecords,
}
