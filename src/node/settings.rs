use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;

use super::{Bounds, Error};
use crate::{clock::millis, id};

/// The settings of one VM of a deployment with seeds.
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
    /// The name of the VM for people.
    pub name: String,
    /// Its IP number, which is its name towards other VMs.
    pub address: IpAddr,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The region of each availability zone.
    pub regions: BTreeMap<id::Zone, id::Region>,
    /// The port for links, the same on all VMs.
    pub links_port: u16,
    /// The IP number on which it listens for links, where that is another one than `address`, as
    /// behind a translation of addresses.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// Where it takes callers, if it does.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Where it says whether it is ready, on a VM that takes callers.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Where it takes targets and operators, if it does.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Where callers ask which VMs to use, on a VM that tells them.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Where figures are served as text, with the path.
    #[serde(default)]
    pub figures_port: Option<u16>,
    /// The data folder, on a VM with a disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Control addresses of a few VMs of the deployment.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// How often targets announce themselves.
    #[serde(default = "default_announce_interval", rename = "announce_ms", with = "millis")]
    pub announce_interval: Duration,
    /// What the deployment is held to.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_announce_interval() -> Duration {
    Duration::from_millis(1200)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read, is no JSON of these fields, or contradicts itself.
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

    /// What contradicts itself, each with its remedy.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut expect = |holds: bool, problem: &str| {
            if !holds {
                problems.push(problem.to_owned());
            }
        };
        expect(!self.seeds.is_empty(), "`seeds` is empty; name the control address of a VM");
        expect(
            self.callers.is_some() || self.control.is_some(),
            "neither `callers` nor `control` is set; set what this VM serves",
        );
        expect(
            self.control.is_none() || self.data.is_some(),
            "`control` needs `data`; name the data folder",
        );
        expect(
            self.regions.get(&self.zone) == Some(&self.region),
            "`regions` gives the VM's zone another region; correct one of them",
        );
        expect(self.bounds.retry_ratio >= 0.0, "`bounds.retry_ratio` is negative; set 0 or more");
        problems
    }

    /// The name of this VM towards other VMs.
    pub fn vm(&self) -> id::Vm {
        id::Vm::from(self.address.to_string())
    }

    /// Where this VM listens for links.
    pub fn links_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(self.address), self.links_port)
    }

    /// Where other VMs reach its links.
    pub fn links_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.links_port)
    }

    /// Where the VM of that name takes links; nothing where the name is no IP number.
    pub fn links_address_of(&self, vm: &id::Vm) -> Option<SocketAddr> {
        let address = vm.as_str().parse().ok()?;
        Some(SocketAddr::new(address, self.links_port))
    }

    /// The names of the seeds.
    pub fn seed_vms(&self) -> Vec<id::Vm> {
        self.seeds.iter().map(|seed| id::Vm::from(seed.ip().to_string())).collect()
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: &id::Zone) -> Option<&id::Region> {
        self.regions.get(zone)
    }
}
