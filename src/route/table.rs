use std::{collections::HashMap, sync::Arc};

use super::{Limits, Route, Service, TableError};
use crate::{id, organisation};

/// One version of all routes, validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The limits on callers' connections and requests.
    pub limits: Limits,
    /// The organisations that may send requests; `None` if requests need no key.
    pub organisations: Option<organisation::Set>,
    routes: Vec<Arc<Route>>,
    services: HashMap<id::Service, Service>,
    /// For each host the indices of its routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
}

impl Table {
    /// Validates routes and services and creates a table of them.
    ///
    /// # Errors
    ///
    /// The first error found; none of the routes may be used then.
    ///
    /// ```
    /// use pomelogate::route::{Limits, Table};
    ///
    /// let table = Table::new(7, Vec::new(), Vec::new(), Limits::default()).unwrap();
    /// assert!(table.find("example.org", "/any").is_none());
    /// ```
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, TableError> {
        let services: HashMap<_, _> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            check(route, &services)?;
            let indices = hosts.entry(route.host.clone()).or_default();
            if let Some(other) = indices.iter().find(|other| routes[**other].prefix == route.prefix)
            {
                return Err(TableError::DuplicatePrefix(
                    routes[*other].name.clone(),
                    route.name.clone(),
                ));
            }
            indices.push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        Ok(Self { version, limits, organisations: None, routes, services, hosts })
    }

    /// The table, with organisations whose keys requests need except on public routes.
    pub fn with_organisations(self, organisations: organisation::Set) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indices = self.hosts.get(host)?;
        let routes = indices.iter().map(|index| &self.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes of `host`.
    pub fn routes_for_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(host).into_iter().flatten().map(|index| &self.routes[*index])
    }

    /// The service with this name.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.get(name)
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table has no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn check(route: &Route, services: &HashMap<id::Service, Service>) -> Result<(), TableError> {
    if let Some(unknown) = route.split.all_services().find(|name| !services.contains_key(*name)) {
        return Err(TableError::UnknownService(route.name.clone(), unknown.clone()));
    }
    if route.split.total_weight() == 0 {
        return Err(TableError::ZeroWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(TableError::ZeroTimeout(route.name.clone()));
    }
    Ok(())
}
