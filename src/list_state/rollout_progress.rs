use std::collections::{BTreeMap, BTreeSet};

use super::{Fetch, Subject, Versions, VmVersions};
use crate::id;

/// The versions that each VM has reported in force.
///
/// A version counts as in force in a region only once every VM that is expected there has reported
/// it. Reports are not replicated: each fetch repeats them, so a new leader has them after one
/// fetch interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    expected_vms: BTreeMap<id::Vm, id::Region>,
    reported: BTreeMap<id::Vm, Versions>,
}

impl RolloutProgress {
    /// Expects reports of a VM, which is known from the settings or from membership.
    pub fn expect_vm(&mut self, vm: id::Vm, region: id::Region) {
        self.expected_vms.insert(vm, region);
    }

    /// Stops expecting reports of a VM.
    ///
    /// Call this only for a VM that its own region's membership has evicted: a VM that is only
    /// unreachable may still serve callers.
    pub fn remove_vm(&mut self, vm: &id::Vm) {
        self.expected_vms.remove(vm);
        self.reported.remove(vm);
    }

    /// Records the versions that a fetch reports.
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

    /// Records the versions of one VM. A delayed report of older versions is ignored.
    pub fn record_versions(&mut self, vm: &str, versions: Versions) {
        let Some((vm, _)) = self.expected_vms.get_key_value(vm) else { return };
        let newest = self.reported.entry(vm.clone()).or_default();
        if versions.covers(newest) {
            *newest = versions;
        }
    }

    /// The regions in which some expected VM has not reported `version` of `subject` in force.
    pub fn pending_regions(&self, subject: Subject, version: u64) -> Vec<id::Region> {
        let behind = self.expected_vms.iter().filter(|(vm, _)| {
            self.reported.get(*vm).is_none_or(|reported| reported.of(subject) < version)
        });
        let regions: BTreeSet<&id::Region> = behind.map(|(_, region)| region).collect();
        regions.into_iter().cloned().collect()
    }

    /// Each expected VM, its region and the versions that it has reported, if any.
    pub fn vms(&self) -> impl Iterator<Item = (&id::Vm, &id::Region, Option<Versions>)> {
        self.expected_vms.iter().map(|(vm, region)| (vm, region, self.reported.get(vm).copied()))
    }
}
