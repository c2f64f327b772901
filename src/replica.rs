//! Replicated groups: the shell that carries [`crate::consensus`] over links and disk.

mod machine;

pub use self::machine::Machine;
