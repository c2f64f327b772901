use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Error, Figures, Link, Log, Orders, Peer, Placement, check};
use crate::{crash, id, limit, path::DispatchLimits};

/// The settings of one VM.
///
/// ```
/// use pomelogate::{id, settings::Settings};
///
/// let settings = Settings { vm: id::Vm::from("jakarta-1"), ..Settings::default() };
/// assert_eq!(settings.region.as_str(), "local");
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// This VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes callers, targets and operators, over HTTP.
    pub callers: SocketAddr,
    /// Where it takes links from other VMs.
    pub links: SocketAddr,
    /// The VMs to ask for all others; their own entries may stand among them.
    pub peers: Vec<Peer>,
    /// The catalogue of names.
    pub names: Option<PathBuf>,
    /// The plans to begin with, where no accepted list is known.
    pub plans: Option<PathBuf>,
    /// The allowances to begin with, where no accepted list is known.
    pub allowances: Option<PathBuf>,
    /// The data folder, on VMs that have a disk.
    pub data: Option<PathBuf>,
    /// The VMs that hold the lists, when the deployment first starts.
    pub replicas: Vec<id::Vm>,
    /// SHA-256 digests of the operators' keys, in hexadecimal.
    pub operators: Vec<String>,
    /// The largest body of a request, in bytes.
    pub body_limit: usize,
    /// Milliseconds until a request's deadline where the caller names none.
    pub deadline_ms: u64,
    /// Milliseconds from SIGTERM to the exit, within which requests in flight have to end.
    pub stop_grace_ms: u64,
    /// How the VM writes its log.
    pub log: Log,
    /// Where figures go besides the administration API.
    pub figures: Figures,
    /// Links to other VMs.
    pub link: Link,
    /// How requests are placed.
    pub placement: Placement,
    /// The limits on requests that run at once.
    pub limits: limit::Settings,
    /// Requests that crash targets.
    pub crashes: crash::Settings,
    /// Orders to load and unload models.
    pub orders: Orders,
}

/// Settings that can be used, and what is doubtful about them.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The settings, with paths from the folder of their file.
    pub settings: Settings,
    /// Warnings.
    pub warnings: Error,
}

impl Settings {
    /// Reads settings from a file; paths in it start from its folder.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read or is not valid; names every problem at once.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Ok(Self::load(path)?.settings)
    }

    /// Reads settings from a file, with warnings.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read or is not valid; names every problem at once.
    pub fn load(path: &Path) -> Result<Loaded, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::read(path, &cause))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut problems = check::form(&text);
        let read = serde_json::from_str::<Self>(&text);
        if let (Err(cause), true) = (&read, problems.is_empty()) {
            problems.push(check::whole(&text, cause));
        }
        if let Some(sound) = check::sound(&text, &problems) {
            let meaning = check::meaning(&sound, folder).into_iter();
            let alone: Vec<_> =
                meaning.filter(|problem| !check::follows(problem, &problems)).collect();
            problems.extend(alone);
        }
        let error = Error::new(path, &text, problems);
        match read {
            Ok(settings) if !error.is_fatal() => {
                Ok(Loaded { settings: settings.within(folder), warnings: error })
            }
            _ => Err(error),
        }
    }

    fn within(self, folder: &Path) -> Self {
        let from = |path: Option<PathBuf>| path.map(|path| folder.join(path));
        Self {
            names: from(self.names),
            plans: from(self.plans),
            allowances: from(self.allowances),
            data: from(self.data),
            ..self
        }
    }

    /// The time until a request's deadline where the caller names none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// The longest time from SIGTERM to the exit.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.stop_grace_ms)
    }

    /// The limits on exchanges with targets.
    pub fn dispatch(&self) -> DispatchLimits {
        DispatchLimits::default()
    }

    /// Whether `vm` holds a replica of the group of the lists.
    pub fn is_replica(&self, vm: &id::Vm) -> bool {
        self.replicas.contains(vm)
    }

    /// The region of `vm`, where the settings name it.
    pub fn region_of(&self, vm: &id::Vm) -> Option<&id::Region> {
        if *vm == self.vm {
            return Some(&self.region);
        }
        self.peers.iter().find(|peer| peer.vm == *vm).map(|peer| &peer.region)
    }

    /// This VM, as others reach it.
    pub fn this(&self) -> Peer {
        Peer {
            vm: self.vm.clone(),
            region: self.region.clone(),
            zone: self.zone.clone(),
            callers: self.callers,
            links: self.links,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: id::Vm::from("local-1"),
            region: id::Region::from("local"),
            zone: id::Zone::from("local-a"),
            callers: SocketAddr::from(([127, 0, 0, 1], 8080)),
            links: SocketAddr::from(([127, 0, 0, 1], 9080)),
            peers: Vec::new(),
            names: None,
            plans: None,
            allowances: None,
            data: None,
            replicas: Vec::new(),
            operators: Vec::new(),
            body_limit: 8 * 1024 * 1024,
            deadline_ms: 120_000,
            stop_grace_ms: 600_000,
            log: Log::default(),
            figures: Figures::default(),
            link: Link::default(),
            placement: Placement::default(),
            limits: limit::Settings::default(),
            crashes: crash::Settings::default(),
            orders: Orders::default(),
        }
    }
}
