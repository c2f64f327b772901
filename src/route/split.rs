use crate::id;

/// The services that share a route's requests, each with its weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split(Vec<(id::Service, u64)>);

impl Split {
    /// Sends all requests to one service.
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

    /// The services with a weight above 0.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.0.iter().filter(|(_, weight)| *weight > 0).map(|(service, _)| service)
    }

    /// All services, including those with a weight of 0.
    pub fn all_services(&self) -> impl Iterator<Item = &id::Service> {
        self.0.iter().map(|(service, _)| service)
    }

    /// Chooses a service by weight; `number` is a random number. `None` if all weights are 0.
    ///
    /// ```
    /// use pomelogate::route::Split;
    ///
    /// let split = Split::default().with("old".into(), 9).with("new".into(), 1);
    /// assert_eq!(split.pick(8).unwrap().as_str(), "old");
    /// assert_eq!(split.pick(19).unwrap().as_str(), "new");
    /// ```
    pub fn pick(&self, number: u64) -> Option<&id::Service> {
        let mut remaining = number.checked_rem(self.total_weight())?;
        for (service, weight) in &self.0 {
            if remaining < *weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}
