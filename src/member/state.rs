/// The state of a VM, as another VM observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// Its heartbeats are received.
    Alive,
    /// No new heartbeat was received for a while; it may be slow or partitioned.
    Suspect,
    /// It announced that it stops.
    Leaving,
    /// No new heartbeat was received for so long that it is considered failed.
    Gone,
}
