//! The commands of the tool `pomelogate`.
