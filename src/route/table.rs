use std::{collections::HashMap, sync::Arc};

use super::{Limits, Route, Service, TableError};
use crate::id;

/// One version of the list of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The version; the highest is in force.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    rules: Vec<Arc<Route>>,
    services: HashMap<id::Service, Service>,
    /// The places of the rules of each host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
}

impl Table {
    /// Checks a list whole.
    ///
    /// # Errors
    ///
    /// The first fault found; then nothing of the list may be used.
    ///
    /// ```
    /// use pomelogate::route::{TableError, Limits, Table};
    ///
    /// let table = Table::new(7, Vec::new(), Vec::new(), Limits::default()).unwrap();
    /// assert!(table.find("example.org", "/any").is_none());
    /// ```
    pub fn new(
        version: u64,
        rules: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, TableError> {
        let services: HashMap<_, _> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, rule) in rules.iter().enumerate() {
            check(rule, &services)?;
            let places = hosts.entry(rule.host.clone()).or_default();
            if let Some(other) = places.iter().find(|other| rules[**other].prefix == rule.prefix) {
                return Err(TableError::DuplicatePrefix(
                    rules[*other].name.clone(),
                    rule.name.clone(),
                ));
            }
            places.push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(rules[*place].prefix.len()));
        }
        let rules = rules.into_iter().map(Arc::new).collect();
        Ok(Self { version, limits, rules, services, hosts })
    }

    /// The rule with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let places = self.hosts.get(host)?;
        let rules = places.iter().map(|place| &self.rules[*place]);
        rules.into_iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// The rules of `host`.
    pub fn routes_for_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(host).into_iter().flatten().map(|place| &self.rules[*place])
    }

    /// What the list says of a service.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.get(name)
    }

    /// How many routes the list holds.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether the list holds no route.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }
}

fn check(rule: &Route, services: &HashMap<id::Service, Service>) -> Result<(), TableError> {
    if let Some(unknown) =
        rule.split.all_services().find(|service| !services.contains_key(*service))
    {
        return Err(TableError::UnknownService(rule.name.clone(), unknown.clone()));
    }
    if rule.split.total_weight() == 0 {
        return Err(TableError::ZeroWeight(rule.name.clone()));
    }
    if rule.timeout.is_zero() {
        return Err(TableError::ZeroTimeout(rule.name.clone()));
    }
    Ok(())
}
