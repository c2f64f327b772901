//! How a VM of the emulator places a request under each policy.

use std::time::Duration;

use rand::RngExt;

use super::{
    Policy, World,
    world::{Event, SERVICE, prompt},
};
use crate::{
    gateway::{AdmissionQuery, Decision, Pick, RemoteLoad, TargetQuery},
    id,
    registry::Target,
};

/// How often a hand-over that was refused leads to another place.
const MOST_REFUSALS: u32 = 2;
/// The part of its time within which a refused caller comes back.
const PATIENCE: f64 = 1.0 / 3.0;

impl World<'_> {
    /// A VM places a request: its own caller's, or one that was handed over.
    pub(super) fn place(&mut self, request: usize, vm: usize) {
        if self.requests[request].over {
            return;
        }
        match self.policy {
            Policy::Gateway => self.place_as_gateway(request, vm),
            Policy::RoundRobin | Policy::LeastLoad => self.place_plainly(request, vm),
        }
    }

    fn place_plainly(&mut self, request: usize, vm: usize) {
        let site = self.site;
        let class = &site.classes[self.requests[request].class];
        let own = self.vms[vm].region;
        let region = if site.allows(class, own) { own } else { class.homes[0] };
        let engines: Vec<usize> = self.engines_of(region).collect();
        self.vms[vm].turn += 1;
        let engine = match self.policy {
            Policy::LeastLoad => {
                let start = self.random.random_range(0..engines.len());
                let turned = (0..engines.len()).map(|step| engines[(start + step) % engines.len()]);
                turned.min_by_key(|engine| self.reports[*engine]).unwrap_or(engines[0])
            }
            _ => engines[self.vms[vm].turn % engines.len()],
        };
        let way = if region == own { 0.0 } else { site.way };
        let pick = Pick {
            target: self.targets[engine].clone(),
            cache_source: None,
            owns_prefix: false,
            first_event_secs: 0.0,
            in_flight: 0,
        };
        self.send(request, vm, &pick, engine, way);
    }

    fn place_as_gateway(&mut self, request: usize, vm: usize) {
        let now = self.instant();
        let asked = &self.requests[request];
        let (class, own) = (asked.class, self.vms[vm].region);
        let here = asked.vm == vm;
        let described = &self.site.classes[class];
        let allowed = self.site.allows(described, own);
        let near: Vec<&Target> = match allowed {
            true => self.engines_of(own).map(|engine| &self.targets[engine]).collect(),
            false => Vec::new(),
        };
        let prompt = prompt(&asked.job);
        let state = &mut self.vms[vm];
        let query = TargetQuery {
            targets: &near,
            prompt: &prompt,
            tried: &[],
            cold_requests_per_sec: 0.0,
            cache_capacity_tokens: self.site.pace.memory.into(),
            may_be_outdated: false,
            peers: &state.peers,
        };
        let pick = state.board.choose(query, now);
        let elsewhere = |there: &&RemoteLoad| here && there.region.as_str() != own.to_string();
        let there: Vec<RemoteLoad> = self.loads[class].iter().filter(elsewhere).cloned().collect();
        let service = id::Service::from(SERVICE);
        let left = (described.deadline - (self.now - asked.came)).max(0.0);
        let applicant = AdmissionQuery {
            priority: self.rules[class].priority,
            is_region_restricted: !self.rules[class].allowed_regions.is_empty(),
            route: &self.rules[class],
            service: &service,
            time_left: Duration::from_secs_f64(left),
            unshared_tokens: prompt.unshared_tokens(),
            has_started: false,
            retry_jitter: self.random.random(),
            standing: None,
            has_free_slots: false,
        };
        let delay = pick.as_ref().map(|pick| pick.first_event_secs);
        let vms = state.peers.vm_count();
        match (state.admission.decide(applicant, delay, &there, vms, now), pick) {
            (Decision::Local, Some(pick)) => {
                let engine = self.engine_of(&pick.target.target);
                self.send(request, vm, &pick, engine, 0.0);
            }
            (Decision::Remote(region), _) => {
                let tokens = prompt.unshared_tokens();
                state.admission.record_handover(&region, &service, tokens, now);
                let to: usize = region.as_str().parse().unwrap_or_default();
                let partners: Vec<usize> =
                    (0..self.vms.len()).filter(|vm| self.vms[*vm].region == to).collect();
                let partner = partners[self.random.random_range(0..partners.len())];
                self.after(self.site.way, Event::Place { request, vm: partner });
            }
            (Decision::Refuse(late), _) => self.refuse(request, vm, late.retry_after_secs),
            _ => self.refuse(request, vm, 0.5),
        }
    }

    pub(super) fn refuse(&mut self, request: usize, vm: usize, after: f64) {
        let now = self.instant();
        let asked = &mut self.requests[request];
        let home = asked.vm;
        if vm != home && asked.refusals < MOST_REFUSALS {
            asked.refusals += 1;
            let region = id::Region::from(self.vms[vm].region.to_string());
            let service = id::Service::from(SERVICE);
            self.vms[home].admission.record_refused_handover(&region, &service, now);
            self.after(self.site.way, Event::Place { request, vm: home });
            return;
        }
        let left = self.site.classes[asked.class].deadline - (self.now - asked.came);
        if asked.returned || after > left * PATIENCE {
            asked.over = true;
            self.outcome.refused += 1;
            return;
        }
        asked.returned = true;
        self.after(after, Event::Place { request, vm: home });
    }
}
