use super::Weights;
use crate::id;

/// What a model engine last announced of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The target.
    pub target: id::Target,
    /// Its region.
    pub region: id::Region,
    /// The weights that it has loaded.
    pub loaded: Vec<Weights>,
    /// How many weights it can hold at once.
    pub slots: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Whether it leaves or is under a planned stop; such a target gets no orders.
    pub leaving: bool,
}
