use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;

use super::{Bounds, Error, Machine};
use crate::{clock::millis, id};

/// Settings of one VM in a deployment with seed VMs.
///
/// ```
/// use pomelogate::node::Settings;
///
/// let text = r#"{
///     "name": "core-1", "address": "10.0.0.4", "region": "jakarta", "zone": "jakarta-a",
///     "regions": { "jakarta-a": "jakarta" }, "links_port": 7660,
///     "control": "10.0.0.4:8146", "directory": "10.0.0.4:8143", "data": "/data",
///     "seeds": ["10.0.0.4:8146"], "first_start": true
/// }"#;
/// let settings: Settings = serde_json::from_str(text).unwrap();
/// assert!(settings.problems().is_empty());
/// assert_eq!(settings.vm().as_str(), "10.0.0.4");
/// ```
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Display name of the VM.
    pub name: String,
    /// IP address of the VM, which is also its name among the VMs.
    pub address: IpAddr,
    /// Region of the VM.
    pub region: id::Region,
    /// Availability zone of the VM.
    pub zone: id::Zone,
    /// Region of each availability zone.
    pub regions: BTreeMap<id::Zone, id::Region>,
    /// Port on which VMs accept links; the same on all VMs.
    pub links_port: u16,
    /// IP address to bind for links, if it differs from `address`, as it does behind NAT.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// Address at which the VM accepts callers, if it does.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address of the health check, on a VM that accepts callers.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Address at which the VM accepts targets and operators, if it does.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Address at which callers ask which VMs to use, on a VM that answers them.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Port on which the VM serves metrics.
    #[serde(default)]
    pub figures_port: Option<u16>,
    /// Data folder, on a VM with a disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// `control` addresses of a few VMs of the deployment.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so the replicas form a new group.
    #[serde(default)]
    pub first_start: bool,
    /// Interval at which targets announce themselves.
    #[serde(default = "default_announce_interval", rename = "announce_ms", with = "millis")]
    pub announce_interval: Duration,
    /// Limits that the operators set for the whole deployment.
    #[serde(default)]
    pub bounds: Bounds,
    /// Whether targets are kept below the numbers of requests at which they slow, and those that do
    /// not report their work time within their memory, too.
    #[serde(default)]
    pub learn_target_capacity: bool,
    /// Resources of the machine that the VM runs on.
    #[serde(default)]
    pub machine: Machine,
}

fn default_announce_interval() -> Duration {
    Duration::from_millis(1200)
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not JSON with these fields, or has inconsistent settings.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.into(), cause))?;
        let mut json = serde_json::Deserializer::from_str(&text);
        let settings: Self = serde_path_to_error::deserialize(&mut json)
            .map_err(|cause| Error::Parse(path.into(), cause.to_string()))?;
        match settings.problems() {
            problems if problems.is_empty() => Ok(settings),
            problems => Err(Error::Settings(problems)),
        }
    }

    /// The inconsistencies of the settings, each with its remedy.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut expect = |holds: bool, problem: &str| {
            if !holds {
                problems.push(problem.to_owned());
            }
        };
        expect(!self.seeds.is_empty(), "`seeds` is empty; add the `control` address of a VM");
        expect(
            self.callers.is_some() || self.control.is_some(),
            "neither `callers` nor `control` is set; set at least one of them",
        );
        expect(
            self.control.is_none() || self.data.is_some(),
            "`control` is set without `data`; set the data folder",
        );
        expect(
            self.regions.get(&self.zone) == Some(&self.region),
            "`regions` does not map `zone` to `region`; correct one of them",
        );
        expect(self.bounds.retry_ratio >= 0.0, "`bounds.retry_ratio` is negative; set 0 or more");
        expect(
            self.bounds.quota_excess_ratio >= 0.0 && self.bounds.quota_slack >= 0.0,
            "`bounds.quota_excess_ratio` or `bounds.quota_slack` is negative; set 0 or more",
        );
        expect(
            !self.bounds.quota_window.is_zero(),
            "`bounds.quota_window_s` is 0; set some seconds",
        );
        expect(
            self.machine.is_valid(),
            "a resource of `machine` is not above 0; correct it or leave it out",
        );
        problems
    }

    /// Name of this VM among the VMs.
    pub fn vm(&self) -> id::Vm {
        id::Vm::from(self.address.to_string())
    }

    /// Address that this VM binds for links.
    pub fn links_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(self.address), self.links_port)
    }

    /// Address at which other VMs connect to this VM.
    pub fn links_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.links_port)
    }

    /// Address at which the named VM accepts links; `None` if the name is not an IP address.
    pub fn links_address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        let address = vm.as_str().parse().ok()?;
        Some(SocketAddr::new(address, self.links_port))
    }

    /// Names of the seed VMs.
    pub fn seed_vms(&self) -> Vec<id::Vm> {
        self.seeds.iter().map(|seed| id::Vm::from(seed.ip().to_string())).collect()
    }

    /// Region of a zone; `None` if the settings do not list the zone.
    pub fn region_of(&self, zone: &id::Zone) -> Option<&id::Region> {
        self.regions.get(zone)
    }
}
