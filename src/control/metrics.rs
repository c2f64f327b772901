use super::{Control, server::lock};
use crate::{consensus::Role, figure::Page, registry::State};

impl Control {
    /// The current metrics of this replica.
    pub fn metrics_page(&self) -> Page {
        let mut page = Page::default();
        let now = self.clock.now();
        page.gauge("followers", &[], lock(&self.polling_vms).len() as f64);
        page.gauge("vms", &[], self.heartbeats().live_vms(now).count() as f64);
        let Some(group) = self.group() else {
            page.gauge("replica", &[], 0.0);
            return page;
        };
        let status = group.status();
        let leads = status.consensus.role == Role::Leader;
        page.gauge("replica", &[], 1.0);
        page.gauge("leads", &[], f64::from(u8::from(leads)));
        page.gauge("term", &[], status.consensus.term as f64);
        page.gauge("members", &[], status.consensus.membership.members.len() as f64);
        page.gauge("applied_index", &[], status.applied_index as f64);
        page.counter("syncs_total", &[], status.sync_count);
        let since_leader_contact =
            status.consensus.since_leader_contact.map_or(-1.0, |elapsed| elapsed.as_secs_f64());
        page.gauge("leader_unheard_seconds", &[], since_leader_contact);
        self.write_quota_metrics(&mut page);
        group.read(|registry| {
            page.gauge("routes_version", &[], registry.routes_version() as f64);
            page.gauge("established_voters", &[], f64::from(registry.established_voters()));
            page.gauge("drained_zones", &[], registry.drained_zones().count() as f64);
            for state in [State::Ready, State::Leaving, State::Gone] {
                let count = registry.targets().filter(|record| record.state() == state).count();
                let name = format!("{state:?}").to_lowercase();
                page.gauge("targets", &[("state", &name)], count as f64);
            }
        });
        page
    }
}
