//! Links between VMs: multiplexed exchanges over one connection for each pair.
