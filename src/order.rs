//! Orders to targets, with fencing numbers and leases.
