use super::Quota;
use crate::id;

/// An organisation that sends requests on routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The name, which targets are told.
    pub name: id::Organisation,
    /// The priority of its requests; `None` if the priority of their route applies. 0 is the most urgent.
    pub priority: Option<u32>,
    /// The regions that may receive its requests; empty if all may.
    pub allowed_regions: Vec<id::Region>,
    /// What it may send over all VMs together; `None` if there is no limit.
    pub quota: Option<Quota>,
}

impl Organisation {
    /// Whether a target or a VM of `region` may receive the body of a request.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
}
