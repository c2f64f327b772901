use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where figures go besides the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Figures {
    /// The statsd server that takes the figures over UDP.
    pub statsd: Option<SocketAddr>,
    /// What the names of the figures begin with.
    pub prefix: String,
}

impl Default for Figures {
    fn default() -> Self {
        Self { statsd: None, prefix: "pomelogate".to_owned() }
    }
}
