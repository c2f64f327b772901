use serde::Deserialize;

/// What the machine of a process has; missing values set no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Processor cores.
    pub cpu_share: Option<f64>,
    /// Memory in megabytes.
    pub memory_mb: Option<u32>,
    /// Network link in Mbit/s.
    pub link_mbps: Option<f64>,
    /// File descriptors that the process may open.
    pub max_fds: Option<u32>,
}
