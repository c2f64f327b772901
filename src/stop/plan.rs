use std::collections::BTreeSet;

use super::Scope;
use crate::id;

/// Every planned stop in force at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    scopes: BTreeSet<Scope>,
}

impl Plan {
    /// Whether a VM is to take no new callers.
    ///
    /// ```
    /// use pomelogate::stop::{Plan, Scope};
    ///
    /// let plan: Plan = [Scope::Zone("jakarta-a".into())].into_iter().collect();
    /// assert!(plan.vm(&"jakarta-1".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// assert!(!plan.vm(&"surabaya-1".into(), &"surabaya-a".into(), &"surabaya".into()));
    /// ```
    pub fn vm(&self, vm: &id::Vm, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Vm(vm.clone())) || self.place(zone, region)
    }

    /// Whether a target is to take no new requests.
    ///
    /// ```
    /// use pomelogate::stop::{Plan, Scope};
    ///
    /// let plan: Plan = [Scope::Target("engine-1".into())].into_iter().collect();
    /// assert!(plan.target(&"engine-1".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// assert!(!plan.target(&"engine-2".into(), &"jakarta-a".into(), &"jakarta".into()));
    /// ```
    pub fn target(&self, target: &id::Target, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Target(target.clone())) || self.place(zone, region)
    }

    /// Whether a whole availability zone is to stop, by itself or with its region.
    pub fn place(&self, zone: &id::Zone, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Zone(zone.clone())) || self.region(region)
    }

    /// Whether a whole region is to stop.
    pub fn region(&self, region: &id::Region) -> bool {
        self.scopes.contains(&Scope::Region(region.clone()))
    }

    /// What is to stop, in order.
    pub fn scopes(&self) -> impl Iterator<Item = &Scope> {
        self.scopes.iter()
    }
}

impl FromIterator<Scope> for Plan {
    fn from_iter<I: IntoIterator<Item = Scope>>(scopes: I) -> Self {
        Self { scopes: scopes.into_iter().collect() }
    }
}
