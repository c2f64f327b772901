//! Membership: which VMs there are, which are alive, and which a caller should use.
