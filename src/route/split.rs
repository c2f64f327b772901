use crate::id;

/// The services of a route, each with its weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split(Vec<(id::Service, u64)>);

impl Split {
    /// One service for everything.
    pub fn single(service: id::Service) -> Self {
        Self(vec![(service, 1)])
    }

    /// Adds a service with its weight.
    pub fn with(mut self, service: id::Service, weight: u64) -> Self {
        self.0.push((service, weight));
        self
    }

    /// The sum of the weights.
    pub fn total_weight(&self) -> u64 {
        self.0.iter().map(|(_, weight)| weight).sum()
    }

    /// The services that have a weight.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.0.iter().filter(|(_, weight)| *weight > 0).map(|(service, _)| service)
    }

    /// Every service that the route names.
    pub fn all_services(&self) -> impl Iterator<Item = &id::Service> {
        self.0.iter().map(|(service, _)| service)
    }

    /// The service of the request that drew `number`.
    ///
    /// ```
    /// use pomelogate::route::Split;
    ///
    /// let split = Split::default().with("old".into(), 9).with("new".into(), 1);
    /// assert_eq!(split.pick(8).unwrap().as_str(), "old");
    /// assert_eq!(split.pick(19).unwrap().as_str(), "new");
    /// ```
    pub fn pick(&self, number: u64) -> Option<&id::Service> {
        let mut left = number.checked_rem(self.total_weight())?;
        for (service, weight) in &self.0 {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}
