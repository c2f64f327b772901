use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Member, MemberRecord, MembershipReport, Settings, State};
use crate::{id, settings::Peer};

/// A gap of more heartbeat intervals than this between two ticks means that this process was paused.
const MIN_PAUSE_HEARTBEAT_INTERVALS: u32 = 3;
/// One in this many summaries within a region includes the full data of every member.
const SUMMARIES_PER_FULL_REPORT: u64 = 6;
/// The VMs to which each VM forwards a broadcast within its region.
const BROADCAST_TREE_DEGREE: usize = 2;

/// The members that one VM knows, and the choice of the VMs to which it reports them.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    this: id::Vm,
    region: id::Region,
    records: BTreeMap<id::Vm, MemberRecord>,
    /// The links addresses from the settings. They override the addresses that VMs report themselves.
    configured_links: BTreeMap<id::Vm, SocketAddr>,
    random: StdRng,
    last_tick_at: Instant,
    ticks: u64,
}

impl Membership {
    /// Creates the membership with `this` VM and the VMs from the settings.
    pub fn new(
        settings: Settings,
        this: Peer,
        incarnation: u64,
        seeds: impl IntoIterator<Item = Peer>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let (vm, region) = (this.vm.clone(), this.region.clone());
        let mut records: BTreeMap<_, _> =
            seeds.into_iter().map(|peer| (peer.vm.clone(), MemberRecord::new(peer, now))).collect();
        records.insert(vm.clone(), MemberRecord { incarnation, ..MemberRecord::new(this, now) });
        let configured_links =
            records.iter().map(|(vm, record)| (vm.clone(), record.peer.links)).collect();
        let random = StdRng::seed_from_u64(seed);
        Self {
            settings,
            this: vm,
            region,
            records,
            configured_links,
            random,
            last_tick_at: now,
            ticks: 0,
        }
    }

    /// Counts a heartbeat of this VM; returns the reports to send and their receivers.
    pub fn tick(&mut self, in_flight: u32, now: Instant) -> Vec<(Peer, MembershipReport)> {
        self.compensate_pause(now);
        self.remove_expired(now);
        self.ticks += 1;
        let this = self.this.clone();
        if let Some(record) = self.records.get_mut(&this) {
            record.heartbeat_count += 1;
            record.in_flight = in_flight;
            record.last_heartbeat_at = now;
        }
        let send_summary = self.ticks % self.settings.heartbeats_per_summary == 1;
        let full =
            self.ticks % (self.settings.heartbeats_per_summary * SUMMARIES_PER_FULL_REPORT) == 1;
        let report = match (full, send_summary) {
            (true, _) => self.report(now),
            (_, true) => self.report_without_remote_peers(now),
            _ => self.region_heartbeats(now),
        };
        let mut sends: Vec<_> =
            self.heartbeat_receivers(now).into_iter().map(|peer| (peer, report.clone())).collect();
        let summary = self.region_summary(now);
        let mut receivers = self.gone_vm(now);
        if send_summary && self.is_relay(now) {
            receivers.extend(self.relays_of_other_regions(now));
        }
        sends.extend(receivers.into_iter().map(|peer| (peer, summary.clone())));
        sends
    }

    /// The full report: all members of this region and some members of each other region.
    pub fn report(&self, now: Instant) -> MembershipReport {
        let mut reported_counts: BTreeMap<&id::Region, usize> = BTreeMap::new();
        self.report_of(now, |record| {
            let reported = reported_counts.entry(&record.peer.region).or_default();
            *reported += 1;
            record.peer.region == self.region || *reported <= self.settings.members_per_summary
        })
    }

    /// The report to other regions: some members of this region.
    fn region_summary(&self, now: Instant) -> MembershipReport {
        let mut reported = 0;
        self.report_of(now, |record| {
            let same_region = record.peer.region == self.region;
            reported += usize::from(same_region);
            same_region && reported < self.settings.members_per_summary
        })
    }

    /// Like [`Self::report`], but without the regions, zones and addresses of members of other regions,
    /// which receivers know already.
    fn report_without_remote_peers(&self, now: Instant) -> MembershipReport {
        let mut report = self.report(now);
        let is_remote = |member: &&mut Member| member.region != self.region.as_str();
        report.members.iter_mut().filter(is_remote).for_each(Member::omit_peer);
        report
    }

    /// The heartbeats of the members of this region, without the regions, zones and addresses of the
    /// other members, which receivers know already.
    fn region_heartbeats(&self, now: Instant) -> MembershipReport {
        let mut report = self.report_of(now, |record| record.peer.region == self.region);
        report.members.iter_mut().skip(1).for_each(Member::omit_peer);
        report
    }

    /// Reports this VM first, then the other members for which `select` returns true.
    fn report_of<'a>(
        &'a self,
        now: Instant,
        mut select: impl FnMut(&'a MemberRecord) -> bool,
    ) -> MembershipReport {
        let others = self
            .records
            .values()
            .filter(|record| record.peer.vm != self.this && self.state(record, now) != State::Gone)
            .filter(|record| select(record));
        let this = self.records.get(&self.this).into_iter();
        let members = this.chain(others).map(MemberRecord::encode).collect();
        MembershipReport { members }
    }

    /// Merges a report of another VM; returns the VMs that are new or restarted.
    pub fn merge(&mut self, report: &MembershipReport, now: Instant) -> Vec<id::Vm> {
        report.members.iter().filter_map(|member| self.merge_member(member, now)).collect()
    }

    /// Marks this VM as leaving. Also counts a heartbeat, because VMs that know the latest heartbeat
    /// would otherwise ignore the change.
    pub fn mark_leaving(&mut self) {
        let this = self.this.clone();
        if let Some(record) = self.records.get_mut(&this) {
            record.leaving = true;
            record.heartbeat_count += 1;
        }
    }

    /// All members, with their states at `now`.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&MemberRecord, State)> {
        self.records.values().map(move |record| (record, self.state(record, now)))
    }

    /// The VMs that may be serving callers. A change of the lists takes effect only once all of them
    /// have applied it.
    ///
    /// A silent VM is included, because it may be partitioned and still serve callers. It is
    /// excluded once it is gone while another VM of its region is alive, because that VM no longer
    /// reports it. A leaving VM is excluded, because it accepts no new requests.
    pub fn may_be_serving(&self, now: Instant) -> Vec<Peer> {
        let alive: BTreeSet<&id::Region> = self
            .members(now)
            .filter(|(_, state)| *state == State::Alive)
            .map(|(record, _)| &record.peer.region)
            .collect();
        self.members(now)
            .filter(|(record, state)| match state {
                State::Alive | State::Suspect => true,
                State::Leaving => false,
                State::Gone => !alive.contains(&record.peer.region),
            })
            .map(|(record, _)| self.peer_of(record))
            .collect()
    }

    /// The VMs that callers or handovers should use, best first: VMs of this region before others,
    /// otherwise in a random order that favors VMs with fewer requests in flight.
    ///
    /// Includes only VMs of `regions`, or of all regions if it is empty, and only those in the best
    /// state that any of them has: suspect, leaving or gone VMs only if none is alive.
    pub fn directory(&mut self, regions: &[id::Region], now: Instant) -> Vec<Peer> {
        self.directory_where(now, |peer| regions.is_empty() || regions.contains(&peer.region))
    }

    /// Like [`Self::directory`], for the VMs for which `matches` returns true.
    pub fn directory_where(&mut self, now: Instant, matches: impl Fn(&Peer) -> bool) -> Vec<Peer> {
        let mut ranked = Vec::new();
        let records: Vec<(Peer, u32, State)> = self
            .members(now)
            .filter(|(record, _)| matches(&record.peer))
            .map(|(record, state)| (self.peer_of(record), record.in_flight, state))
            .collect();
        let best_state = records.iter().map(|(_, _, state)| *state).min();
        for (peer, in_flight, state) in records {
            if Some(state) == best_state {
                let other_region = peer.region != self.region;
                let exponential = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
                ranked.push((
                    other_region,
                    exponential * f64::from(in_flight.saturating_add(1)),
                    peer,
                ));
            }
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, peer)| peer).collect()
    }

    /// The other VMs of this region that are not gone.
    pub fn region_peers(&self, now: Instant) -> Vec<Peer> {
        let is_region_peer = |record: &MemberRecord| {
            record.peer.region == self.region && record.peer.vm != self.this
        };
        self.members(now)
            .filter(|(record, state)| is_region_peer(record) && *state != State::Gone)
            .map(|(record, _)| self.peer_of(record))
            .collect()
    }

    /// Whether this VM is a relay, which reports its region to other regions.
    pub fn is_relay(&self, now: Instant) -> bool {
        self.relays(&self.region, now).iter().any(|peer| peer.vm == self.this)
    }

    /// Whether this VM is the first relay of its region.
    pub fn is_first_relay(&self, now: Instant) -> bool {
        self.relays(&self.region, now).first().is_some_and(|peer| peer.vm == self.this)
    }

    /// The number of regions with known VMs.
    pub fn region_count(&self) -> u64 {
        let regions: BTreeSet<&id::Region> =
            self.records.values().map(|record| &record.peer.region).collect();
        regions.len() as u64
    }

    /// The VMs to which this VM forwards a broadcast that `root` started: its children in a tree
    /// that reaches every VM of the region once.
    pub fn broadcast_children(&self, root: &id::Vm, now: Instant) -> Vec<Peer> {
        let mut region: Vec<Peer> = self
            .members(now)
            .filter(|(record, _)| record.peer.region == self.region)
            .filter(|(record, state)| record.peer.vm == self.this || *state != State::Gone)
            .map(|(record, _)| self.peer_of(record))
            .collect();
        let root_index = region.iter().position(|peer| peer.vm == *root).unwrap_or_default();
        region.rotate_left(root_index);
        let index = region.iter().position(|peer| peer.vm == self.this).unwrap_or_default();
        region
            .into_iter()
            .skip(BROADCAST_TREE_DEGREE * index + 1)
            .take(BROADCAST_TREE_DEGREE)
            .collect()
    }

    /// One random relay of each other region.
    pub fn relays_of_other_regions(&mut self, now: Instant) -> Vec<Peer> {
        let regions: BTreeSet<id::Region> =
            self.records.values().map(|record| record.peer.region.clone()).collect();
        let mut receivers = Vec::new();
        for region in regions.into_iter().filter(|region| *region != self.region) {
            let relays = self.relays(&region, now);
            receivers.extend(choose_random(&mut self.random, relays, 1));
        }
        receivers
    }

    fn relays(&self, region: &id::Region, now: Instant) -> Vec<Peer> {
        let mut relays: Vec<(State, &MemberRecord)> = self
            .members(now)
            .filter(|(record, _)| record.peer.region == *region)
            .map(|(record, state)| (state, record))
            .collect();
        relays.sort_by_key(|(state, _)| *state);
        relays.truncate(self.settings.relays_per_region);
        relays.into_iter().map(|(_, record)| self.peer_of(record)).collect()
    }

    fn heartbeat_receivers(&mut self, now: Instant) -> Vec<Peer> {
        let region_peers = self.region_peers(now);
        choose_random(&mut self.random, region_peers, self.settings.fanout)
    }

    /// A random gone VM, if any. Sending it a report detects when it is back.
    fn gone_vm(&mut self, now: Instant) -> Vec<Peer> {
        let gone = self
            .members(now)
            .filter(|(_, state)| *state == State::Gone)
            .map(|(record, _)| self.peer_of(record))
            .collect();
        choose_random(&mut self.random, gone, 1)
    }

    fn merge_member(&mut self, member: &Member, now: Instant) -> Option<id::Vm> {
        let vm = id::Vm::from(member.vm.as_str());
        if vm == self.this {
            self.refute(member.incarnation);
            return None;
        }
        let known = self.records.get(&vm).map(|record| record.peer.clone());
        let peer = if member.omits_peer() { known? } else { member.peer()? };
        let known =
            self.records.get(&vm).map(|record| (record.incarnation, record.heartbeat_count));
        if member.incarnation == 0 || known >= Some((member.incarnation, member.heartbeat_count)) {
            return None;
        }
        let Member { incarnation, heartbeat_count, in_flight, leaving, .. } = *member;
        let record = MemberRecord {
            peer,
            incarnation,
            heartbeat_count,
            in_flight,
            leaving,
            last_heartbeat_at: now,
        };
        self.records.insert(vm.clone(), record);
        known.is_none_or(|(before, _)| before != incarnation).then_some(vm)
    }

    /// Raises the own incarnation above one that other VMs attribute to this VM, so that they accept
    /// its heartbeats.
    fn refute(&mut self, incarnation: u64) {
        let this = self.this.clone();
        if let Some(record) = self.records.get_mut(&this)
            && record.incarnation < incarnation
        {
            record.incarnation = incarnation.saturating_add(1);
        }
    }

    /// Shifts the heartbeat times by a pause of this process, which could receive no heartbeats
    /// meanwhile.
    fn compensate_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick_at);
        if pause > self.settings.heartbeat_interval * MIN_PAUSE_HEARTBEAT_INTERVALS {
            for record in self.records.values_mut() {
                record.last_heartbeat_at = (record.last_heartbeat_at + pause).min(now);
            }
        }
        self.last_tick_at = now;
    }

    /// Removes members without a heartbeat for the retention time.
    fn remove_expired(&mut self, now: Instant) {
        const RETENTION: Duration = Duration::from_secs(3600);
        self.records.retain(|_, record| {
            now.saturating_duration_since(record.last_heartbeat_at) < RETENTION
        });
    }

    /// The addresses of a member; the links address from the settings has priority.
    pub fn peer_of(&self, record: &MemberRecord) -> Peer {
        let links =
            self.configured_links.get(&record.peer.vm).copied().unwrap_or(record.peer.links);
        Peer { links, ..record.peer.clone() }
    }

    fn state(&self, record: &MemberRecord, now: Instant) -> State {
        let same_region = record.peer.region == self.region;
        record.state(&self.settings, same_region, now)
    }
}

fn choose_random(random: &mut StdRng, mut from: Vec<Peer>, count: usize) -> Vec<Peer> {
    let mut chosen = Vec::new();
    while chosen.len() < count && !from.is_empty() {
        let index = random.random_range(0..from.len());
        chosen.push(from.swap_remove(index));
    }
    chosen
}
