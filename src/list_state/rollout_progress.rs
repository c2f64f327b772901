use std::collections::{BTreeMap, BTreeSet};

use super::{Fetch, Subject, Versions, VmVersions};
use crate::id;

/// Which versions each VM has reported in force.
///
/// A region counts only when every VM that is expected there has reported; silence never counts.
/// VersionsRequest are not replicated: each fetch repeats them, so a new leader has them after a period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    expected: BTreeMap<id::Vm, id::Region>,
    served: BTreeMap<id::Vm, Versions>,
}

impl RolloutProgress {
    /// Counts on reports of a VM, from the settings or from membership.
    pub fn expect_vm(&mut self, vm: id::Vm, region: id::Region) {
        self.expected.insert(vm, region);
    }

    /// Counts on a VM no more.
    ///
    /// Only for a VM that its own region's membership has evicted: one that merely cannot be
    /// reached may be serving its callers.
    pub fn remove_vm(&mut self, vm: &id::Vm) {
        self.expected.remove(vm);
        self.served.remove(vm);
    }

    /// Takes the reports that a fetch carries.
    ///
    /// ```
    /// use pomelogate::list_state::{Fetch, RolloutProgress, Subject, Versions};
    ///
    /// let mut progress = RolloutProgress::default();
    /// progress.expect_vm("jakarta-1".into(), "jakarta".into());
    /// assert_eq!(progress.pending_regions(Subject::Plans, 1), ["jakarta".into()]);
    /// progress.record_fetch(&Fetch {
    ///     vm: "jakarta-1".to_owned(),
    ///     region: "jakarta".to_owned(),
    ///     versions: Versions { plans: 1, ..Versions::default() },
    ///     relayed_versions: Vec::new(),
    /// });
    /// assert!(progress.pending_regions(Subject::Plans, 1).is_empty());
    /// ```
    pub fn record_fetch(&mut self, fetch: &Fetch) {
        self.record_versions(&fetch.vm, fetch.versions);
        for VmVersions { vm, versions, .. } in &fetch.relayed_versions {
            self.record_versions(vm, *versions);
        }
    }

    /// Takes the report of one VM. A late report of older versions changes nothing.
    pub fn record_versions(&mut self, vm: &str, versions: Versions) {
        let Some((vm, _)) = self.expected.get_key_value(vm) else { return };
        let served = self.served.entry(vm.clone()).or_default();
        if versions.covers(served) {
            *served = versions;
        }
    }

    /// The regions where `version` of `subject` is not known to be in force.
    pub fn pending_regions(&self, subject: Subject, version: u64) -> Vec<id::Region> {
        let behind = self.expected.iter().filter(|(vm, _)| {
            self.served.get(*vm).is_none_or(|served| served.of(subject) < version)
        });
        let regions: BTreeSet<&id::Region> = behind.map(|(_, region)| region).collect();
        regions.into_iter().cloned().collect()
    }

    /// The versions that each expected VM has reported, if any.
    pub fn vms(&self) -> impl Iterator<Item = (&id::Vm, &id::Region, Option<Versions>)> {
        self.expected.iter().map(|(vm, region)| (vm, region, self.served.get(vm).copied()))
    }
}
