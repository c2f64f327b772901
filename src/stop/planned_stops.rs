use std::collections::BTreeSet;

use super::Scope;
use crate::id;

/// The planned stops that are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedStops {
    scopes: BTreeSet<Scope>,
}

impl PlannedStops {
    /// Whether a planned stop covers a VM, so that it takes no new callers.
    ///
    /// ```
    /// use pomelogate::stop::{PlannedStops, Scope};
    ///
    /// let stops: PlannedStops = [Scope::Zone("jakarta-a".into())].into_iter().collect();
    /// assert!(stops.covers_vm(&"jakarta-1".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// assert!(!stops.covers_vm(&"surabaya-1".into(), &"surabaya-a".into(), &"surabaya".into()));
    /// ```
    pub fn covers_vm(&self, vm: &id::Vm, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Vm(vm.clone())) || self.covers_zone(zone, region)
    }

    /// Whether a planned stop covers a target, so that it takes no new requests.
    ///
    /// ```
    /// use pomelogate::stop::{PlannedStops, Scope};
    ///
    /// let stops: PlannedStops = [Scope::Target("engine-1".into())].into_iter().collect();
    /// assert!(stops.covers_target(&"engine-1".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// assert!(!stops.covers_target(&"engine-2".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// ```
    pub fn covers_target(&self, target: &id::Target, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Target(target.clone())) || self.covers_zone(zone, region)
    }

    /// Whether a planned stop covers a whole availability zone or its region.
    pub fn covers_zone(&self, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Zone(zone.clone())) || self.covers_region(region)
    }

    /// Whether a planned stop covers a whole region.
    pub fn covers_region(&self, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Region(region.clone()))
    }

    /// The scope of each planned stop, in order.
    pub fn scopes(&self) -> impl Iterator<Item = &Scope> {
        self.scopes.iter()
    }
}

impl FromIterator<Scope> for PlannedStops {
    fn from_iter<I: IntoIterator<Item = Scope>>(scopes: I) -> Self {
        Self { scopes: scopes.into_iter().collect() }
    }
}
