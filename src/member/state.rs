/// What is known of a VM's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// Its heartbeats come.
    Alive,
    /// Its heartbeats have not come for a while; it may be slow or cut off.
    Suspect,
    /// It has announced that it stops.
    Leaving,
    /// Its heartbeats have not come for so long that it counts as failed.
    Gone,
}
