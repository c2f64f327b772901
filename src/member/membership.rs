use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Member, MemberRecord, MembershipReport, Settings, State};
use crate::{id, settings::Peer};

/// A pause between two ticks of this many intervals means that this process stood still.
const PAUSE_INTERVALS: u32 = 3;
/// Summaries within a region of which one says all of each member.
const SUMMARIES_PER_WHOLE: u64 = 6;
/// The VMs to which each VM passes on what comes from other regions.
const TREE_DEGREE: usize = 2;

/// The members that one VM knows, and whom it tells of them.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    this: id::Vm,
    region: id::Region,
    entries: BTreeMap<id::Vm, MemberRecord>,
    /// Where the settings say that a VM takes links, which goes before what it says itself.
    links: BTreeMap<id::Vm, SocketAddr>,
    random: StdRng,
    ticked: Instant,
    ticks: u64,
}

impl Membership {
    /// Starts with `this` VM and those of its settings.
    pub fn new(
        settings: Settings,
        this: Peer,
        incarnation: u64,
        seeds: impl IntoIterator<Item = Peer>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let (vm, region) = (this.vm.clone(), this.region.clone());
        let mut entries: BTreeMap<_, _> =
            seeds.into_iter().map(|peer| (peer.vm.clone(), MemberRecord::new(peer, now))).collect();
        entries.insert(vm.clone(), MemberRecord { incarnation, ..MemberRecord::new(this, now) });
        let links = entries.iter().map(|(vm, entry)| (vm.clone(), entry.peer.links)).collect();
        let random = StdRng::seed_from_u64(seed);
        Self { settings, this: vm, region, entries, links, random, ticked: now, ticks: 0 }
    }

    /// Counts a heartbeat; gives whom to send what.
    pub fn tick(&mut self, load: u32, now: Instant) -> Vec<(Peer, MembershipReport)> {
        self.forgive_pause(now);
        self.forget(now);
        self.ticks += 1;
        let this = self.this.clone();
        if let Some(entry) = self.entries.get_mut(&this) {
            entry.beat += 1;
            entry.load = load;
            entry.heard = now;
        }
        let summaries = self.ticks % self.settings.summary_every == 1;
        let whole = self.ticks % (self.settings.summary_every * SUMMARIES_PER_WHOLE) == 1;
        let report = match (whole, summaries) {
            (true, _) => self.report(now),
            (_, true) => self.shortened_elsewhere(now),
            _ => self.brief(now),
        };
        let mut sends: Vec<_> =
            self.near(now).into_iter().map(|peer| (peer, report.clone())).collect();
        let summary = self.summary(now);
        let mut receivers = self.lost(now);
        if summaries && self.is_relay(now) {
            receivers.extend(self.relays_of_other_regions(now));
        }
        sends.extend(receivers.into_iter().map(|peer| (peer, summary.clone())));
        sends
    }

    /// What this VM tells its region: all of its members, and some of each other region's.
    pub fn report(&self, now: Instant) -> MembershipReport {
        let mut told: BTreeMap<&id::Region, usize> = BTreeMap::new();
        self.tell(now, |entry| {
            let told = told.entry(&entry.peer.region).or_default();
            *told += 1;
            entry.peer.region == self.region || *told <= self.settings.summary_members
        })
    }

    /// What this VM tells other regions: some members of its own.
    fn summary(&self, now: Instant) -> MembershipReport {
        let mut told = 0;
        self.tell(now, |entry| {
            let near = entry.peer.region == self.region;
            told += usize::from(near);
            near && told < self.settings.summary_members
        })
    }

    /// The same as a report, without what is known already of members elsewhere.
    fn shortened_elsewhere(&self, now: Instant) -> MembershipReport {
        let mut report = self.report(now);
        let elsewhere = |member: &&mut Member| member.region != self.region.as_str();
        report.members.iter_mut().filter(elsewhere).for_each(Member::shorten);
        report
    }

    /// The heartbeats of the region, without what its members know of each other already.
    fn brief(&self, now: Instant) -> MembershipReport {
        let mut report = self.tell(now, |entry| entry.peer.region == self.region);
        report.members.iter_mut().skip(1).for_each(Member::shorten);
        report
    }

    fn tell<'a>(
        &'a self,
        now: Instant,
        mut chosen: impl FnMut(&'a MemberRecord) -> bool,
    ) -> MembershipReport {
        let others = self
            .entries
            .values()
            .filter(|entry| entry.peer.vm != self.this && self.state(entry, now) != State::Gone)
            .filter(|entry| chosen(entry));
        let this = self.entries.get(&self.this).into_iter();
        let members = this.chain(others).map(MemberRecord::encode).collect();
        MembershipReport { members }
    }

    /// Takes what another VM tells; gives the VMs that were new or restarted.
    pub fn merge(&mut self, report: &MembershipReport, now: Instant) -> Vec<id::Vm> {
        report.members.iter().filter_map(|member| self.merge_one(member, now)).collect()
    }

    /// Marks this VM as leaving, as a heartbeat of its own, so that VMs which know the latest one
    /// take it.
    pub fn mark_leaving(&mut self) {
        let this = self.this.clone();
        if let Some(entry) = self.entries.get_mut(&this) {
            entry.leaving = true;
            entry.beat += 1;
        }
    }

    /// All members, with their states at `now`.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&MemberRecord, State)> {
        self.entries.values().map(move |entry| (entry, self.state(entry, now)))
    }

    /// The VMs that may be serving callers: a change of the lists is in force only once each of
    /// them serves it.
    ///
    /// A VM that fell silent still counts, as it may be cut off, unless its own region goes on
    /// without it: other VMs of the region are heard and don't name it any more. One that said
    /// that it stops takes no new requests.
    pub fn may_be_serving(&self, now: Instant) -> Vec<Peer> {
        let alive: BTreeSet<&id::Region> = self
            .members(now)
            .filter(|(_, state)| *state == State::Alive)
            .map(|(entry, _)| &entry.peer.region)
            .collect();
        self.members(now)
            .filter(|(entry, state)| match state {
                State::Alive | State::Suspect => true,
                State::Leaving => false,
                State::Gone => !alive.contains(&entry.peer.region),
            })
            .map(|(entry, _)| self.peer_of(entry))
            .collect()
    }

    /// The VMs that callers or hand-overs should use, best first: this region's before others',
    /// and within a region in a random order in which idle ones tend to come first.
    ///
    /// Only `regions` count, or all where there are none. VMs that are leaving, suspect or gone
    /// are named only where there is no other.
    pub fn directory(&mut self, regions: &[id::Region], now: Instant) -> Vec<Peer> {
        self.directory_where(now, |peer| regions.is_empty() || regions.contains(&peer.region))
    }

    /// The same, of the VMs for which `counts` holds.
    pub fn directory_where(&mut self, now: Instant, counts: impl Fn(&Peer) -> bool) -> Vec<Peer> {
        let mut ranked = Vec::new();
        let entries: Vec<(Peer, u32, State)> = self
            .members(now)
            .filter(|(entry, _)| counts(&entry.peer))
            .map(|(entry, state)| (self.peer_of(entry), entry.load, state))
            .collect();
        let best = entries.iter().map(|(_, _, state)| *state).min();
        for (peer, load, state) in entries {
            if Some(state) == best {
                let far = peer.region != self.region;
                let draw = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
                ranked.push((far, draw * f64::from(load.saturating_add(1)), peer));
            }
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, peer)| peer).collect()
    }

    /// The other VMs of this region that may be alive.
    pub fn region_peers(&self, now: Instant) -> Vec<Peer> {
        let near =
            |entry: &MemberRecord| entry.peer.region == self.region && entry.peer.vm != self.this;
        self.members(now)
            .filter(|(entry, state)| near(entry) && *state != State::Gone)
            .map(|(entry, _)| self.peer_of(entry))
            .collect()
    }

    /// Whether this VM is one of those that speak for its region to others.
    pub fn is_relay(&self, now: Instant) -> bool {
        self.relays(&self.region, now).iter().any(|peer| peer.vm == self.this)
    }

    /// Whether this VM is the first of its region's relays.
    pub fn is_first_relay(&self, now: Instant) -> bool {
        self.relays(&self.region, now).first().is_some_and(|peer| peer.vm == self.this)
    }

    /// How many regions there are.
    pub fn region_count(&self) -> u64 {
        let regions: BTreeSet<&id::Region> =
            self.entries.values().map(|entry| &entry.peer.region).collect();
        regions.len() as u64
    }

    /// The VMs to which this one passes on what `root` began to tell the region: its children in
    /// a tree that reaches every VM of the region once.
    pub fn broadcast_children(&self, root: &id::Vm, now: Instant) -> Vec<Peer> {
        let mut region: Vec<Peer> = self
            .members(now)
            .filter(|(entry, _)| entry.peer.region == self.region)
            .filter(|(entry, state)| entry.peer.vm == self.this || *state != State::Gone)
            .map(|(entry, _)| self.peer_of(entry))
            .collect();
        let first = region.iter().position(|peer| peer.vm == *root).unwrap_or_default();
        region.rotate_left(first);
        let place = region.iter().position(|peer| peer.vm == self.this).unwrap_or_default();
        region.into_iter().skip(TREE_DEGREE * place + 1).take(TREE_DEGREE).collect()
    }

    /// One relay of each other region, drawn anew at each call.
    pub fn relays_of_other_regions(&mut self, now: Instant) -> Vec<Peer> {
        let regions: BTreeSet<id::Region> =
            self.entries.values().map(|entry| entry.peer.region.clone()).collect();
        let mut receivers = Vec::new();
        for region in regions.into_iter().filter(|region| *region != self.region) {
            let relays = self.relays(&region, now);
            receivers.extend(draw(&mut self.random, relays, 1));
        }
        receivers
    }

    fn relays(&self, region: &id::Region, now: Instant) -> Vec<Peer> {
        let mut relays: Vec<(State, &MemberRecord)> = self
            .members(now)
            .filter(|(entry, _)| entry.peer.region == *region)
            .map(|(entry, state)| (state, entry))
            .collect();
        relays.sort_by_key(|(state, _)| *state);
        relays.truncate(self.settings.relays);
        relays.into_iter().map(|(_, entry)| self.peer_of(entry)).collect()
    }

    fn near(&mut self, now: Instant) -> Vec<Peer> {
        let region_peers = self.region_peers(now);
        draw(&mut self.random, region_peers, self.settings.fanout)
    }

    /// One VM that seems to have failed, to learn when it is back.
    fn lost(&mut self, now: Instant) -> Vec<Peer> {
        let lost = self
            .members(now)
            .filter(|(_, state)| *state == State::Gone)
            .map(|(entry, _)| self.peer_of(entry))
            .collect();
        draw(&mut self.random, lost, 1)
    }

    fn merge_one(&mut self, member: &Member, now: Instant) -> Option<id::Vm> {
        let vm = id::Vm::from(member.vm.as_str());
        if vm == self.this {
            self.refute(member.incarnation);
            return None;
        }
        let known = self.entries.get(&vm).map(|entry| entry.peer.clone());
        let peer = if member.is_short() { known? } else { member.peer()? };
        let known = self.entries.get(&vm).map(|entry| (entry.incarnation, entry.beat));
        if member.incarnation == 0 || known >= Some((member.incarnation, member.beat)) {
            return None;
        }
        let Member { incarnation, beat, load, leaving, .. } = *member;
        let entry = MemberRecord { peer, incarnation, beat, load, leaving, heard: now };
        self.entries.insert(vm.clone(), entry);
        known.is_none_or(|(before, _)| before != incarnation).then_some(vm)
    }

    /// Outlives what others believe to be a later process of this VM.
    fn refute(&mut self, incarnation: u64) {
        let this = self.this.clone();
        if let Some(entry) = self.entries.get_mut(&this)
            && entry.incarnation < incarnation
        {
            entry.incarnation = incarnation.saturating_add(1);
        }
    }

    /// Where this process stood still, the others' silence is not theirs.
    fn forgive_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.ticked);
        if pause > self.settings.interval * PAUSE_INTERVALS {
            for entry in self.entries.values_mut() {
                entry.heard = (entry.heard + pause).min(now);
            }
        }
        self.ticked = now;
    }

    /// Forgets, after a long time, members that are gone.
    fn forget(&mut self, now: Instant) {
        const FORGET: Duration = Duration::from_secs(3600);
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.heard) < FORGET);
    }

    /// How to reach a member: where the settings name its links, there.
    pub fn peer_of(&self, entry: &MemberRecord) -> Peer {
        let links = self.links.get(&entry.peer.vm).copied().unwrap_or(entry.peer.links);
        Peer { links, ..entry.peer.clone() }
    }

    fn state(&self, entry: &MemberRecord, now: Instant) -> State {
        let near = entry.peer.region == self.region;
        entry.state(&self.settings, near, now)
    }
}

fn draw(random: &mut StdRng, mut from: Vec<Peer>, count: usize) -> Vec<Peer> {
    let mut drawn = Vec::new();
    while drawn.len() < count && !from.is_empty() {
        let place = random.random_range(0..from.len());
        drawn.push(from.swap_remove(place));
    }
    drawn
}
