use std::{collections::HashMap, sync::Arc};

use super::{Fault, Limits, Rule, Service};
use crate::id;

/// One version of the list of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The version; the highest is in force.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    rules: Vec<Arc<Rule>>,
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
    /// use pomelogate::route::{Fault, Limits, Table};
    ///
    /// let table = Table::new(7, Vec::new(), Vec::new(), Limits::default()).unwrap();
    /// assert!(table.find("example.org", "/any").is_none());
    /// ```
    pub fn new(
        version: u64,
        rules: Vec<Rule>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, Fault> {
        let services: HashMap<_, _> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, rule) in rules.iter().enumerate() {
            check(rule, &services)?;
            let places = hosts.entry(rule.host.clone()).or_default();
            if let Some(other) = places.iter().find(|other| rules[**other].prefix == rule.prefix) {
                return Err(Fault::SamePlace(rules[*other].name.clone(), rule.name.clone()));
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
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let places = self.hosts.get(host)?;
        let rules = places.iter().map(|place| &self.rules[*place]);
        rules.into_iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// The rules of `host`.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = &Arc<Rule>> {
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

fn check(rule: &Rule, services: &HashMap<id::Service, Service>) -> Result<(), Fault> {
    if let Some(unknown) = rule.split.named().find(|service| !services.contains_key(*service)) {
        return Err(Fault::UnknownService(rule.name.clone(), unknown.clone()));
    }
    if rule.split.total() == 0 {
        return Err(Fault::NoWeight(rule.name.clone()));
    }
    if rule.longest_wait.is_zero() {
        return Err(Fault::NoTime(rule.name.clone()));
    }
    Ok(())
}
