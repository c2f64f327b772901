use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Answer, Candidate, Region, View};

/// What a VM would do with a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// The view that the decision is based on.
    pub view: View,
    /// The organisation, if the query names one and the route asks for keys.
    pub organisation: Option<String>,
    /// The route.
    pub route: Option<String>,
    /// The service. If the route splits requests over several, the next request may get another one.
    pub service: Option<String>,
    /// The priority; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The targets of the service.
    pub candidates: Vec<Candidate>,
    /// The other regions that may serve the request.
    pub regions: Vec<Region>,
    /// What would happen.
    pub answer: Answer,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let View { vm, region, routes_version, registry_index, .. } = &self.view;
        let age = |ms: Option<u64>| ms.map_or("none".to_owned(), |ms| format!("{ms} ms old"));
        writeln!(f, "VM {vm} of region {region}")?;
        writeln!(
            f,
            "view: routes version {routes_version}, registry index {registry_index}, loads {}, \
             keys {}{}",
            age(self.view.loads_age_ms),
            age(self.view.keys_age_ms),
            if self.view.may_be_outdated { ", in doubt after a suspension" } else { "" },
        )?;
        let text = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".to_owned());
        writeln!(f, "organisation: {}", text(&self.organisation))?;
        writeln!(f, "route: {}", text(&self.route))?;
        writeln!(f, "service: {}", text(&self.service))?;
        if let Some(priority) = self.priority {
            writeln!(f, "priority: {priority}")?;
        }
        for candidate in &self.candidates {
            let Candidate { target, zone, silent, cold_ms, verdict, .. } = candidate;
            write!(f, "target {target} in {zone}: {verdict}")?;
            if *silent {
                f.write_str("; silent")?;
            }
            if *cold_ms > 0 {
                write!(f, "; cold for {cold_ms} ms more")?;
            }
            writeln!(f)?;
        }
        for other in &self.regions {
            let Region { region, first_event_ms, penalty_ms, targets, report_age_ms } = other;
            writeln!(
                f,
                "region {region}: first event in {first_event_ms} ms, {penalty_ms} ms added, \
                 {targets} targets, reported {report_age_ms} ms ago"
            )?;
        }
        writeln!(f, "answer: {}", self.answer)
    }
}
