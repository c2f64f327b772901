//! Settings of a VM, read from JSON.
