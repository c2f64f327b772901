use std::time::Duration;

use super::Rule;

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of VMs before the targets.
    pub vms: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of targets of the service.
    pub targets: usize,
    /// When a release to the next version begins.
    pub releases: Vec<Duration>,
    /// When all VMs are killed at once.
    pub kills_of_all_vms: Vec<Duration>,
    /// Time between the faults of single VMs, targets and replicas.
    pub fault_interval: Duration,
    /// Time between new streams.
    pub stream_interval: Duration,
    /// Length of the run.
    pub length: Duration,
    /// How VMs find the version of a stream.
    pub rule: Rule,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 7,
            replicas: 3,
            targets: 12,
            releases: [20, 50].map(Duration::from_secs).to_vec(),
            kills_of_all_vms: [10, 22, 27, 52, 58].map(Duration::from_secs).to_vec(),
            fault_interval: Duration::from_millis(1500),
            stream_interval: Duration::from_millis(40),
            length: Duration::from_secs(75),
            rule: Rule::AskReplicas,
        }
    }
}
