use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    Announcement, Capacity, Gossip, Index, Line, Load, Need, Nonsense, Offer, Renewal, Renewals,
    Report, Sent, Settings, Summary, message::millis,
};
use crate::{http::is_connectable, id};

/// Summaries of a region that seem to be written within this time count as one: the time that each
/// copy spends on its way makes it look later than it is.
pub(super) const SAME_SUMMARY: Duration = Duration::from_millis(250);

/// What a VM knows of targets: those of its region in full, other regions in summary.
#[derive(Clone, Debug)]
pub struct View {
    settings: Settings,
    vm: id::Vm,
    region: id::Region,
    reports: BTreeMap<id::Target, Report>,
    index: Index,
    regions: BTreeMap<id::Region, Elsewhere>,
    unsent: BTreeSet<id::Target>,
    /// Those of `unsent` that the others may not know in full.
    news: BTreeSet<id::Target>,
    /// What this VM told its region of each target that it took announcements of.
    told: BTreeMap<id::Target, u32>,
    /// Digests that other VMs renewed and this VM does not know.
    wanted: BTreeMap<id::Vm, BTreeSet<u32>>,
    /// The regions whose summaries others of this region are to be told.
    passing: BTreeSet<id::Region>,
    changed: bool,
}

/// Another region's summary.
#[derive(Clone, Debug)]
struct Elsewhere {
    written: Instant,
    lines: BTreeMap<Need, Capacity>,
}

impl View {
    /// The empty view of `vm` in `region`.
    pub fn new(settings: Settings, vm: id::Vm, region: id::Region) -> Self {
        Self {
            settings,
            vm,
            region,
            reports: BTreeMap::new(),
            index: Index::default(),
            regions: BTreeMap::new(),
            unsent: BTreeSet::new(),
            news: BTreeSet::new(),
            told: BTreeMap::new(),
            wanted: BTreeMap::new(),
            passing: BTreeSet::new(),
            changed: false,
        }
    }

    /// Takes an announcement from its target; true where it says more than the last one but load.
    ///
    /// # Errors
    ///
    /// Where it cannot be meant so.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> Result<bool, Nonsense> {
        self.check(&announcement)?;
        let known = self.reports.get(&announcement.target).filter(|known| {
            known.announcement.incarnation >= announcement.incarnation
                && known.announcement.offers == announcement.offers
                && known.announcement.address == announcement.address
                && known.age(now) < self.settings.lease
        });
        let news = known.is_none();
        let target = announcement.target.clone();
        let by = self.vm.clone();
        self.learn(Report { announcement, by, taken: now, leaving: false });
        if news {
            self.news.insert(target.clone());
        }
        self.unsent.insert(target);
        Ok(news)
    }

    /// Marks a target as leaving for the rest of its incarnation; false where it is not known.
    pub fn leave(&mut self, target: &id::Target) -> bool {
        let Some(report) = self.reports.get_mut(target) else { return false };
        report.leaving = true;
        self.changed = true;
        self.tell(target);
        true
    }

    /// Takes what another VM of the region or a relay says; gives the targets that it says leave.
    pub fn merge(&mut self, gossip: &Gossip, now: Instant) -> Vec<id::Target> {
        let mut left = Vec::new();
        for sent in &gossip.reports {
            let Some(report) = sent.decode(now) else { continue };
            let Announcement { region, address, .. } = &report.announcement;
            if *region == self.region && is_connectable(*address) {
                let target = report.announcement.target.clone();
                if self.learn(report) {
                    left.push(target);
                }
            }
        }
        if let Some(renewals) = &gossip.renewals {
            self.renew(renewals, now);
        }
        for digest in &gossip.wanted {
            let wanted: Vec<id::Target> = self.index.targets(*digest).cloned().collect();
            wanted.iter().for_each(|target| self.tell(target));
        }
        for target in &gossip.leaving {
            let target = id::Target::from(target.as_str());
            if !self.is_leaving(&target) && self.leave(&target) {
                left.push(target);
            }
        }
        for summary in &gossip.summaries {
            self.learn_region(summary, now);
        }
        left
    }

    /// Forgets what no longer holds; gives the targets whose lease ended since `before`.
    pub fn expire(&mut self, before: Instant, now: Instant) -> Vec<id::Target> {
        let settings = self.settings;
        let spent = self.reports.extract_if(.., |_, report| report.is_spent(&settings, now));
        for (target, _) in spent {
            self.index.remove(&target);
            self.told.remove(&target);
        }
        self.regions.retain(|_, region| now - region.written < settings.summary);
        self.reports
            .values()
            .filter(|report| report.holds(&settings, before) && !report.holds(&settings, now))
            .map(|report| report.announcement.target.clone())
            .collect()
    }

    /// What this VM owes the others of its region since it was last asked.
    ///
    /// A renewal that says nothing new but load goes by the digest of the announcement, if this VM
    /// told the others the announcement before.
    pub fn unsent(&mut self, now: Instant) -> Gossip {
        let news = std::mem::take(&mut self.news);
        let unsent = std::mem::take(&mut self.unsent);
        let mut reports = Vec::new();
        let mut renewals = Renewals { by: self.vm.to_string(), ..Renewals::default() };
        for target in &unsent {
            let Some(report) = self.reports.get(target) else { continue };
            let own = report.by == self.vm && !report.leaving && !news.contains(target);
            let digest = self.index.digest(target);
            let told = digest.filter(|digest| own && self.told.get(target) == Some(digest));
            match told.and_then(|digest| renewal(digest, report, now)) {
                Some(renewal) => renewals.push(renewal),
                None => {
                    reports.push(Sent::encode(report, now));
                    digest.map(|digest| self.told.insert(target.clone(), digest));
                }
            }
        }
        let renewals = (!renewals.digests.is_empty()).then_some(renewals);
        Gossip { reports, renewals, ..Gossip::default() }
    }

    /// Whom to ask for the announcements that were renewed and are not known here.
    pub fn take_wanted(&mut self) -> Vec<(id::Vm, Gossip)> {
        let wanted = std::mem::take(&mut self.wanted);
        let ask = |(vm, digests): (id::Vm, BTreeSet<u32>)| {
            let wanted = digests.into_iter().collect();
            (vm, Gossip { wanted, ..Gossip::default() })
        };
        wanted.into_iter().map(ask).collect()
    }

    /// The summaries that came since this was last asked, to be passed on within the region.
    pub fn take_passing(&mut self, now: Instant) -> Vec<Summary> {
        let passing = std::mem::take(&mut self.passing);
        let mut summaries = self.summaries(now);
        summaries.retain(|summary| passing.contains(summary.region.as_str()));
        summaries
    }

    /// Whether what this region can serve changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// One target, to be sent.
    pub fn sent(&self, target: &id::Target, now: Instant) -> Option<Sent> {
        self.reports.get(target).map(|report| Sent::encode(report, now))
    }

    /// All that this VM knows, for one that starts.
    pub fn all(&self, now: Instant) -> Gossip {
        let reports = self.reports.values().map(|report| Sent::encode(report, now)).collect();
        Gossip { reports, summaries: self.summaries(now), ..Gossip::default() }
    }

    /// The other regions' summaries.
    pub fn summaries(&self, now: Instant) -> Vec<Summary> {
        let summary = |(region, known): (&id::Region, &Elsewhere)| Summary {
            region: region.to_string(),
            age_ms: millis(now.saturating_duration_since(known.written)),
            lines: known.lines.iter().map(|(need, has)| Line::encode(need, *has)).collect(),
        };
        self.regions.iter().map(summary).collect()
    }

    /// This region's summary; only the targets that `permits` lets through count.
    pub fn summary(&self, now: Instant, permits: impl Fn(&Announcement) -> bool) -> Summary {
        self.summary_with_room(now, permits, |_| true)
    }

    /// The same, where only the targets with `has_room` have free places, however little they run.
    pub fn summary_with_room(
        &self,
        now: Instant,
        permits: impl Fn(&Announcement) -> bool,
        has_room: impl Fn(&Announcement) -> bool,
    ) -> Summary {
        let mut lines: BTreeMap<Need, Capacity> = BTreeMap::new();
        for report in self.holding(now).filter(|report| permits(&report.announcement)) {
            let load = report.announcement.load;
            let free = load.slots.saturating_sub(load.running);
            let free = if has_room(&report.announcement) { free } else { 0 };
            let adds = Capacity { targets: 1, free, waiting: load.waiting };
            let needs: BTreeSet<Need> = report.announcement.offers.iter().flat_map(needs).collect();
            for need in needs {
                let line = lines.entry(need).or_default();
                *line = line.plus(adds);
            }
        }
        let lines = lines.iter().map(|(need, has)| Line::encode(need, *has)).collect();
        Summary { region: self.region.to_string(), age_ms: 0, lines }
    }

    /// The targets of this region that may get new work at `now`.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.holding(now).map(|report| &report.announcement)
    }

    /// The targets of this region that meet `need` at `now`.
    pub fn capable<'a>(
        &'a self,
        need: &'a Need,
        now: Instant,
    ) -> impl Iterator<Item = &'a Announcement> {
        self.reports(need, now).map(|report| &report.announcement)
    }

    /// The same, with who took each announcement and when.
    pub fn reports<'a>(&'a self, need: &'a Need, now: Instant) -> impl Iterator<Item = &'a Report> {
        let meets =
            |report: &&Report| report.announcement.offers.iter().any(|offer| need.met_by(offer));
        self.holding(now).filter(meets)
    }

    /// The other regions that can meet `need`, each with its capacity for it.
    pub fn elsewhere<'a>(
        &'a self,
        need: &'a Need,
        now: Instant,
    ) -> impl Iterator<Item = (&'a id::Region, Capacity)> {
        let holds = move |known: &Elsewhere| now - known.written < self.settings.summary;
        self.regions.iter().filter(move |(_, known)| holds(known)).filter_map(
            move |(region, known)| {
                let lines = known.lines.iter().filter(|(line, _)| asks_for(need, line));
                let capacity = lines.map(|(_, capacity)| *capacity).reduce(Capacity::plus)?;
                Some((region, capacity))
            },
        )
    }

    /// What every other region can serve, as far as its summary holds.
    pub fn capacities(&self, now: Instant) -> impl Iterator<Item = (&id::Region, &Need, Capacity)> {
        let holds = move |known: &Elsewhere| now - known.written < self.settings.summary;
        self.regions.iter().filter(move |(_, known)| holds(known)).flat_map(|(region, known)| {
            known.lines.iter().map(move |(need, capacity)| (region, need, *capacity))
        })
    }

    /// What is known of one target, whether it may get new work or not.
    pub fn report(&self, target: &id::Target) -> Option<&Report> {
        self.reports.get(target)
    }

    /// How long ago the summary of `region` was written there.
    pub fn summary_age(&self, region: &id::Region, now: Instant) -> Option<Duration> {
        self.regions.get(region).map(|known| now.saturating_duration_since(known.written))
    }

    /// Takes renewals of targets that are known, and notes which are not.
    fn renew(&mut self, renewals: &Renewals, now: Instant) {
        let by = id::Vm::from(renewals.by.as_str());
        for renewal in renewals.iter() {
            let target = self.index.target(renewal.digest);
            let Some(known) = target.and_then(|target| self.reports.get(target)) else {
                self.wanted.entry(by.clone()).or_default().insert(renewal.digest);
                continue;
            };
            let age = Duration::from_millis(renewal.age_ms.into());
            let Some(taken) = now.checked_sub(age) else { continue };
            let Renewal { running, waiting, waiting_tokens, .. } = renewal;
            let slots = known.announcement.load.slots;
            let load = Load { running, waiting, slots, waiting_tokens };
            let announcement = Announcement { load, ..known.announcement.clone() };
            self.learn(Report { announcement, by: by.clone(), taken, leaving: false });
        }
    }

    fn holding(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.reports.values().filter(move |report| report.holds(&self.settings, now))
    }

    fn is_leaving(&self, target: &id::Target) -> bool {
        self.reports.get(target).is_some_and(|report| report.leaving)
    }

    /// Takes a report; true where it tells that a target leaves, or contradicts that.
    fn learn(&mut self, report: Report) -> bool {
        let target = report.announcement.target.clone();
        let Some(known) = self.reports.get(&target) else {
            let leaving = report.leaving;
            self.changed = true;
            self.insert(report);
            return leaving;
        };
        let (left, says) = (known.leaving, report.leaving);
        let same = known.announcement.incarnation == report.announcement.incarnation;
        self.changed |=
            !same || left != says || known.announcement.offers != report.announcement.offers;
        if let Some(known) = known.succeeded_by(report) {
            self.insert(known);
        }
        if same && left != says {
            self.tell(&target);
        }
        same && says && !left
    }

    fn insert(&mut self, report: Report) {
        let target = &report.announcement.target;
        let known = self.reports.get(target);
        if known.is_none_or(|known| !known.announcement.is_renewed_by(&report.announcement)) {
            self.index.insert(&report);
        }
        self.reports.insert(target.clone(), report);
    }

    fn tell(&mut self, target: &id::Target) {
        self.unsent.insert(target.clone());
        self.news.insert(target.clone());
    }

    fn learn_region(&mut self, summary: &Summary, now: Instant) {
        let region = id::Region::from(summary.region.as_str());
        let Some(written) = now.checked_sub(Duration::from_millis(summary.age_ms)) else { return };
        let known = self.regions.get(&region);
        if region == self.region
            || known.is_some_and(|known| known.written + SAME_SUMMARY >= written)
        {
            return;
        }
        let lines: BTreeMap<_, _> = summary.lines.iter().filter_map(Line::decode).collect();
        self.passing.insert(region.clone());
        self.regions.insert(region, Elsewhere { written, lines });
    }

    fn check(&self, announcement: &Announcement) -> Result<(), Nonsense> {
        let Settings { offers, adapters, name, .. } = self.settings;
        let said = &announcement.offers;
        if said.is_empty() && announcement.models == 0 {
            return Err(Nonsense::NoOffers);
        }
        if said.len() > offers || said.iter().any(|offer| offer.adapters().len() > adapters) {
            return Err(Nonsense::TooMany(offers.min(adapters)));
        }
        let own = [announcement.target.as_str(), announcement.zone.as_str()];
        let bad = |text: &str| text.is_empty() || text.len() > name;
        if own.into_iter().any(bad) || said.iter().flat_map(Offer::names).any(bad) {
            return Err(Nonsense::Name(name));
        }
        let address = announcement.address;
        if !is_connectable(address) {
            return Err(Nonsense::Address(address));
        }
        if announcement.region != self.region {
            return Err(Nonsense::Region(self.region.clone()));
        }
        Ok(())
    }
}

fn renewal(digest: u32, report: &Report, now: Instant) -> Option<Renewal> {
    let Load { running, waiting, waiting_tokens, .. } = report.announcement.load;
    let age_ms = u32::try_from(millis(report.age(now))).ok()?;
    Some(Renewal { digest, age_ms, running, waiting, waiting_tokens })
}

/// The needs that an offer meets: with no adapter, and with each of its adapters.
fn needs(offer: &Offer) -> Vec<Need> {
    match offer {
        Offer::Service { service } => vec![Need::Service { service: service.clone() }],
        Offer::Model { model, version, adapters } => std::iter::once(None)
            .chain(adapters.iter().cloned().map(Some))
            .map(|adapter| Need::Model {
                model: model.clone(),
                version: Some(version.clone()),
                adapter,
            })
            .collect(),
    }
}

/// Whether a summary's line counts towards what a request needs.
fn asks_for(need: &Need, line: &Need) -> bool {
    match (need, line) {
        (Need::Service { service }, Need::Service { service: there }) => service == there,
        (
            Need::Model { model, version, adapter },
            Need::Model { model: there, version: at, adapter: with },
        ) => model == there && (version.is_none() || version == at) && adapter == with,
        _ => false,
    }
}
