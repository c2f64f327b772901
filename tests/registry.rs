//! The registry's state machine, the updates that VMs receive, their mirrors, and the heartbeats.

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    registry::{
        Announcement, ColdTarget, ColdTargets, Command, ContestTracker, Drain, HeartbeatTable,
        Mirror, Operation, Publish, Reply, ServiceLoad, State, StateMachine, TakeOver,
        TargetRecord, Update, VmChanges, VmInfo, Withdraw,
    },
    replica::StateMachine as _,
};
use prost::{Message, bytes::Bytes};

struct Registry {
    state_machine: StateMachine,
    last_index: u64,
}

impl Registry {
    fn new() -> Self {
        Self { state_machine: StateMachine::default(), last_index: 0 }
    }

    fn apply(&mut self, operation: Operation) -> Reply {
        self.last_index += 1;
        let command = Command::from(operation).encode_to_vec();
        Reply::decode(&self.state_machine.apply(self.last_index, &command)).expect("a reply")
    }

    fn announce(&mut self, record: TargetRecord) -> Reply {
        self.apply(Operation::Announce(record))
    }

    fn state(&self, target: &str) -> State {
        self.state_machine.target(target).expect("the target").state()
    }
}

fn record(target: &str, incarnation: u64, sequence: u64, port: u16, leaving: bool) -> TargetRecord {
    let announcement = Announcement {
        target: id::Target::from(target),
        incarnation,
        sequence,
        service: id::Service::from("engines"),
        address: ([10, 0, 0, 9], port).into(),
        zone: id::Zone::from("jakarta-a"),
        slots: 64,
        leaving,
        cold_remaining: Duration::ZERO,
        software_version: id::SoftwareVersion::from("v1"),
    };
    announcement.record()
}

fn publish(version: u64, text: &'static str) -> Operation {
    Operation::Publish(Publish { version, text: Bytes::from_static(text.as_bytes()) })
}

#[test]
fn only_a_higher_version_replaces_the_routes() {
    let mut registry = Registry::new();
    assert_eq!(registry.apply(publish(7, "seven")), Reply::Changed);
    assert_eq!(registry.apply(publish(7, "another seven")), Reply::Stands);
    assert_eq!(registry.apply(publish(3, "three")), Reply::Stands);
    assert_eq!(registry.state_machine.routes(), "seven");
    assert_eq!(registry.apply(publish(12, "twelve")), Reply::Changed);
    assert_eq!(
        (registry.state_machine.routes_version(), registry.state_machine.routes().as_ref()),
        (12, &b"twelve"[..])
    );
}

#[test]
fn a_late_announcement_of_an_earlier_incarnation_is_ignored() {
    let mut registry = Registry::new();
    registry.announce(record("one", 100, 4, 8080, false));
    registry.announce(record("one", 200, 1, 8080, false));
    assert_eq!(registry.announce(record("one", 100, 9, 8080, true)), Reply::Stands);
    assert_eq!(registry.state("one"), State::Ready);
}

#[test]
fn a_leaving_or_gone_target_is_ready_again_only_in_a_new_incarnation() {
    let mut registry = Registry::new();
    registry.announce(record("one", 100, 1, 8080, false));
    registry.announce(record("one", 100, 2, 8080, true));
    registry.announce(record("one", 100, 3, 8080, false));
    assert_eq!(registry.state("one"), State::Leaving);
    let withdraw = |incarnation| {
        Operation::Withdraw(Withdraw { target: "one".to_owned(), incarnation, started_by_ms: 0 })
    };
    assert_eq!(registry.apply(withdraw(99)), Reply::Stands);
    assert_eq!(registry.apply(withdraw(100)), Reply::Changed);
    assert_eq!(registry.announce(record("one", 100, 9, 8080, false)), Reply::Stands);
    assert_eq!(registry.state("one"), State::Gone);
    assert_eq!(registry.announce(record("one", 300, 1, 8080, false)), Reply::Changed);
    assert_eq!(registry.state("one"), State::Ready);
}

#[test]
fn an_address_belongs_to_the_target_that_started_last() {
    let mut registry = Registry::new();
    registry.announce(record("old", 100, 5, 8080, false));
    registry.announce(record("new", 200, 1, 8080, false));
    assert_eq!(registry.state("old"), State::Gone);
    assert_eq!(registry.announce(record("older", 50, 9, 8080, false)), Reply::Stands);
    assert_eq!(registry.state("new"), State::Ready);
}

#[test]
fn a_delayed_drain_command_does_not_undo_a_later_one() {
    let mut registry = Registry::new();
    let first = registry.state_machine.zone_drain("jakarta-a");
    let command = |known: &Drain, drained| Operation::Drain(Drain { drained, ..known.clone() });
    assert_eq!(registry.apply(command(&first, true)), Reply::Changed);
    let second = registry.state_machine.zone_drain("jakarta-a");
    assert_eq!(registry.apply(command(&second, false)), Reply::Changed);
    // The first command arrives again, after a delay on its way to the leader.
    assert_eq!(registry.apply(command(&first, true)), Reply::Overtaken);
    assert_eq!(registry.state_machine.drained_zones().count(), 0);
}

#[test]
fn a_restored_snapshot_equals_the_original_state() {
    let mut registry = Registry::new();
    registry.apply(publish(7, "seven"));
    registry.announce(record("one", 100, 1, 8080, false));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.state_machine.zone_drain("jakarta-a")
    }));
    let mut restored = StateMachine::default();
    restored.restore(&registry.state_machine.snapshot()).expect("restored");
    assert_eq!(
        Update::since(&restored, 0, |_| true),
        Update::since(&registry.state_machine, 0, |_| true)
    );
    assert_eq!(restored.snapshot(), registry.state_machine.snapshot());
}

fn fresh_update(state_machine: &StateMachine, since: u64) -> Update {
    Update { fresh: true, ..Update::since(state_machine, since, |_| true) }
}

#[test]
fn a_mirror_applies_deltas_and_ignores_older_updates() {
    let now = Instant::now();
    let mut registry = Registry::new();
    registry.announce(record("one", 100, 1, 8080, false));
    let old_update = fresh_update(&registry.state_machine, 0);
    let mut mirror = Mirror::default();
    assert!(mirror.apply(old_update.clone(), now));
    let engines = id::Service::from("engines");
    assert_eq!(mirror.targets(&engines).len(), 1);
    registry.announce(record("two", 150, 1, 8081, false));
    registry.announce(record("one", 100, 2, 8080, true));
    let delta = fresh_update(&registry.state_machine, mirror.index());
    assert_eq!(delta.targets.len(), 2);
    assert!(mirror.apply(delta, now));
    let names = |mirror: &Mirror| -> Vec<String> {
        mirror.targets(&engines).iter().map(|target| target.target.to_string()).collect()
    };
    assert_eq!(names(&mirror), ["two"]);
    assert!(!mirror.apply(old_update, now), "an older update is not applied");
    assert_eq!(names(&mirror), ["two"]);
}

#[test]
fn targets_of_a_drained_zone_are_hidden_and_count_as_cold_after_the_drain() {
    let now = Instant::now();
    let engines = id::Service::from("engines");
    let mut registry = Registry::new();
    let mut mirror = Mirror::default();
    registry.announce(record("one", 100, 1, 8080, false));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.state_machine.zone_drain("jakarta-a")
    }));
    mirror.apply(fresh_update(&registry.state_machine, 0), now);
    assert!(mirror.targets(&engines).is_empty());
    registry.apply(Operation::Drain(Drain {
        drained: false,
        ..registry.state_machine.zone_drain("jakarta-a")
    }));
    mirror.apply(fresh_update(&registry.state_machine, mirror.index()), now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
}

/// In a network partition, the replicas without a leader do not hear from the VMs on the other
/// side. When their updates removed those VMs, a VM found no other VM to hand requests to.
#[test]
fn an_update_from_a_cut_off_replica_removes_no_vm() {
    let now = Instant::now();
    let info = |vm: &str| VmInfo { vm: vm.to_owned(), ..VmInfo::default() };
    let update = |fresh, digest, present| Update {
        fresh,
        vm_changes: Some(VmChanges { digest, full: true, present, removed: vec![] }),
        ..Update::default()
    };
    let mut mirror = Mirror::default();
    mirror.apply(update(true, 5, vec![info("near"), info("far")]), now);
    mirror.apply(update(false, 6, vec![info("near")]), now);
    assert_eq!((mirror.vms().len(), mirror.vms_digest()), (2, 5));
}

/// When each change of a VM caused the infos of all VMs to be sent to all VMs, replicas sent 1 MB/s
/// in a deployment of 101 VMs.
#[test]
fn only_the_vms_that_changed_are_sent() {
    let now = Instant::now();
    let info =
        |vm: &str, ready| VmInfo { vm: vm.to_owned(), ready, incarnation: 1, ..VmInfo::default() };
    let mut table = HeartbeatTable::new(Duration::from_secs(3));
    for vm in ["one", "two", "three"] {
        table.record_vm(info(vm, true), now);
    }
    let known = table.vm_set().digest();
    // Neither a repeated heartbeat nor a new load changes the digest.
    let later = now + Duration::from_secs(2);
    let busy = ServiceLoad { service: "engines".to_owned(), requests: 7, ..ServiceLoad::default() };
    table.record_vm(VmInfo { loads: vec![busy], ..info("one", true) }, later);
    table.record_vm(info("two", true), later);
    assert_eq!(table.vm_set().digest(), known);
    table.record_vm(info("two", false), later);
    table.sweep(now + Duration::from_secs(4));
    let vm_set = table.vm_set();
    assert_eq!(vm_set.changed_since(known), Some(["three", "two"].into()));
    assert!(vm_set.contains("two") && !vm_set.contains("three"));
    assert_eq!(vm_set.changed_since(known ^ 1), None, "an unknown digest requires the full set");
}

#[test]
fn updates_hold_only_relevant_targets_and_other_targets_are_no_change() {
    let mut registry = Registry::new();
    let in_bandung = |record: TargetRecord| TargetRecord { zone: "bandung-a".to_owned(), ..record };
    let is_relevant = |record: &TargetRecord| record.zone == "jakarta-a";
    registry.announce(record("one", 100, 1, 8080, false));
    let known = registry.state_machine.index();
    registry.announce(in_bandung(record("two", 100, 1, 8081, false)));
    assert!(!Update::has_changes(&registry.state_machine, known, is_relevant));
    let update = Update::since(&registry.state_machine, known, is_relevant);
    assert!(update.targets.is_empty() && update.index > known);
    registry.announce(record("one", 100, 2, 8080, true));
    assert!(Update::has_changes(&registry.state_machine, known, is_relevant));
    registry.apply(publish(7, "seven"));
    let known = registry.state_machine.index();
    assert!(!Update::has_changes(&registry.state_machine, known, is_relevant));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.state_machine.zone_drain("bandung-a")
    }));
    assert!(Update::has_changes(&registry.state_machine, known, is_relevant));
}

#[test]
fn changed_targets_are_listed_in_the_order_of_their_changes() {
    let mut registry = Registry::new();
    for (sequence, target) in (1..).zip(["one", "two", "three", "one"]) {
        registry.announce(record(target, 100, sequence, 8000 + sequence as u16, false));
    }
    registry.apply(Operation::Withdraw(Withdraw {
        target: "two".to_owned(),
        incarnation: 100,
        started_by_ms: 0,
    }));
    let changed = |since| -> Vec<&str> {
        registry
            .state_machine
            .targets_changed_since(since)
            .map(|record| record.target.as_str())
            .collect()
    };
    assert_eq!(changed(0), ["three", "one", "two"]);
    assert_eq!(changed(3), ["one", "two"]);
    assert_eq!(changed(5), [""; 0]);
}

/// A replica that restarts does not know the age of its records. When the cold time was taken from
/// the record, every target that had once been cold counted as cold after a power loss and received
/// only a few requests per second.
#[test]
fn a_target_is_cold_only_while_the_replica_lists_it_as_cold() {
    let now = Instant::now();
    let engines = id::Service::from("engines");
    let mut registry = Registry::new();
    registry
        .announce(TargetRecord { cold_remaining_ms: 3000, ..record("one", 100, 1, 8080, false) });
    let cold = ColdTarget { target: "one".to_owned(), remaining_ms: 3000, ..ColdTarget::default() };
    let cold_targets = Some(ColdTargets { digest: 1, targets: vec![cold] });
    let mut mirror = Mirror::default();
    mirror.apply(Update { cold_targets, ..fresh_update(&registry.state_machine, 0) }, now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
    // An update without a list of cold targets keeps the known list.
    mirror.apply(fresh_update(&registry.state_machine, mirror.index()), now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
    // The target has announced that it is no longer cold, which does not change its record.
    let warm = Some(ColdTargets { digest: 2, targets: vec![] });
    mirror.apply(
        Update { cold_targets: warm, ..fresh_update(&registry.state_machine, mirror.index()) },
        now,
    );
    assert!(mirror.targets(&engines)[0].cold_until <= now);
}

#[test]
fn the_newest_announcement_wins_in_whatever_order_replicas_receive_it() {
    let now = Instant::now();
    let announcement = |sequence, cold_remaining| Announcement {
        target: "engine".into(),
        incarnation: 100,
        sequence,
        service: "engines".into(),
        address: ([10, 0, 0, 9], 8080).into(),
        zone: "jakarta-a".into(),
        slots: 64,
        leaving: false,
        cold_remaining,
        software_version: id::SoftwareVersion::from("v1"),
    };
    let second = Duration::from_secs(1);
    let mut one = HeartbeatTable::new(second * 3);
    let mut other = HeartbeatTable::new(second * 3);
    let is_cold = |table: &HeartbeatTable, at| {
        table.last_announcement("engine").expect("heard").cold_until > at
    };
    one.record_announcement(&announcement(5, second * 3), now);
    // An earlier announcement arrives late.
    one.record_announcement(&announcement(4, Duration::ZERO), now + second);
    assert!(is_cold(&one, now + second));
    other.record_announcement(&announcement(3, Duration::ZERO), now + second);
    other.merge(one.report(|_| true, now + second), now + second);
    assert!(is_cold(&other, now + second));
    other.record_announcement(&announcement(6, Duration::ZERO), now + second * 2);
    assert!(!is_cold(&other, now + second * 2));
}

/// The command with which `record` takes the place of all records that keep it out.
fn take_over(registry: &Registry, record: &TargetRecord) -> Operation {
    let displaced = registry.state_machine.blocking(record).map(TargetRecord::version).collect();
    Operation::TakeOver(TakeOver { record: record.clone(), displaced })
}

/// A sound target stayed out of the registry for good because of a record with a later start.
#[test]
fn a_target_takes_its_address_back_and_vms_see_it() {
    let engines = id::Service::from("engines");
    let mut registry = Registry::new();
    registry.announce(record("sound", 100, 1, 8080, false));
    registry.announce(record("odd", u64::MAX, u64::MAX, 8080, false));
    let mut mirror = Mirror::default();
    mirror.apply(fresh_update(&registry.state_machine, 0), Instant::now());
    let sound = record("sound", 100, 2, 8080, false);
    assert_eq!(registry.announce(sound.clone()), Reply::Stands);
    let take_over = take_over(&registry, &sound);
    assert_eq!(registry.apply(take_over), Reply::Changed);
    assert_eq!((registry.state("sound"), registry.state("odd")), (State::Ready, State::Gone));
    mirror.apply(fresh_update(&registry.state_machine, mirror.index()), Instant::now());
    let targets: Vec<_> = mirror.targets(&engines).iter().map(|it| it.target.as_str()).collect();
    assert_eq!(targets, ["sound"]);
    // The record that was displaced keeps out no later change.
    let leaving = record("sound", 100, 3, 8080, true);
    assert_eq!(registry.announce(leaving), Reply::Changed);
    assert_eq!(registry.state("sound"), State::Leaving);
}

/// A start or a sequence number of another writer held the identifier of a sound target for good.
#[test]
fn a_target_takes_its_identifier_back() {
    for (incarnation, sequence) in [(u64::MAX, 1), (100, u64::MAX)] {
        let mut registry = Registry::new();
        registry.announce(record("sound", incarnation, sequence, 9090, false));
        let sound = record("sound", 100, 2, 8080, false);
        assert_eq!(registry.announce(sound.clone()), Reply::Stands);
        let take_over = take_over(&registry, &sound);
        assert_eq!(registry.apply(take_over), Reply::Changed);
        assert_eq!(registry.announce(record("sound", 100, 3, 8081, false)), Reply::Changed);
    }
}

/// What replicas have heard, and how one of them decides on the announcements that it receives.
struct Replica {
    heartbeats: HeartbeatTable,
    contests: ContestTracker,
}

impl Replica {
    fn new() -> Self {
        let heartbeats = HeartbeatTable::new(Duration::from_secs(3));
        Self { heartbeats, contests: ContestTracker::default() }
    }

    fn announce(&mut self, registry: &mut Registry, record: &TargetRecord, now: Instant) -> Reply {
        let announcement = Announcement {
            target: record.target.as_str().into(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            service: record.service.as_str().into(),
            address: record.address.parse().expect("an address"),
            zone: record.zone.as_str().into(),
            slots: record.slots,
            leaving: record.state() == State::Leaving,
            cold_remaining: Duration::from_millis(record.cold_remaining_ms),
            software_version: record.software_version.as_str().into(),
        };
        self.heartbeats.record_announcement(&announcement, now);
        let blocking: Vec<_> = registry.state_machine.blocking(record).cloned().collect();
        let (contests, heartbeats) = (&mut self.contests, &self.heartbeats);
        let take_over = TakeOver::received(record, &blocking, contests, heartbeats, now);
        let operation = take_over.map_or(Operation::Announce(record.clone()), Operation::TakeOver);
        registry.apply(operation)
    }
}

/// A target that one announcement of another writer had displaced never came back: its own record,
/// gone by then, counted as renewed by the announcements that it kept out.
#[test]
fn a_displaced_target_returns_while_it_goes_on_and_nobody_else_does() {
    let second = Duration::from_secs(1);
    let start = Instant::now();
    let (mut registry, mut replica) = (Registry::new(), Replica::new());
    replica.announce(&mut registry, &record("sound", 100, 1, 8080, false), start);
    replica.announce(&mut registry, &record("odd", 900, 1, 8080, false), start);
    assert_eq!(registry.state("sound"), State::Gone);
    for sequence in 2..=14_u32 {
        let now = start + second * (sequence - 1);
        let said = record("sound", 100, sequence.into(), 8080, false);
        replica.announce(&mut registry, &said, now);
    }
    assert_eq!((registry.state("sound"), registry.state("odd")), (State::Ready, State::Gone));
}

/// The way back for a displaced target must not be one for the late announcements of a target that
/// has ended.
#[test]
fn a_displaced_target_does_not_return_while_its_successor_goes_on_or_once_it_was_withdrawn() {
    let second = Duration::from_secs(1);
    let start = Instant::now();
    let (mut registry, mut replica) = (Registry::new(), Replica::new());
    replica.announce(&mut registry, &record("ended", 100, 1, 8080, false), start);
    replica.announce(&mut registry, &record("successor", 900, 1, 8080, false), start);
    for sequence in 2..=40_u32 {
        let now = start + second * (sequence - 1);
        let number = sequence.into();
        replica.announce(&mut registry, &record("successor", 900, number, 8080, false), now);
        let late = record("ended", 100, number, 8080, false);
        assert_eq!(replica.announce(&mut registry, &late, now), Reply::Stands);
    }
    assert_eq!(registry.state("successor"), State::Ready);
    let withdraw = Withdraw { target: "ended".to_owned(), incarnation: 100, started_by_ms: 0 };
    registry.apply(Operation::Withdraw(withdraw));
    for sequence in 41..=80_u32 {
        let now = start + second * (sequence - 1);
        let late = record("ended", 100, sequence.into(), 8080, false);
        assert_eq!(replica.announce(&mut registry, &late, now), Reply::Stands);
    }
    assert_eq!(registry.state("ended"), State::Gone);
}

/// A copy of an announcement from before the displacement proves nothing.
#[test]
fn an_earlier_number_does_not_bring_a_displaced_target_back() {
    let second = Duration::from_secs(1);
    let start = Instant::now();
    let (mut registry, mut replica) = (Registry::new(), Replica::new());
    replica.announce(&mut registry, &record("ended", 100, 50, 8080, true), start);
    replica.announce(&mut registry, &record("successor", 900, 1, 8080, false), start);
    for sequence in 1..=20_u32 {
        let now = start + second * sequence;
        replica.announce(&mut registry, &record("ended", 100, 50, 8080, true), now);
        let late = record("ended", 100, sequence.into(), 8080, false);
        assert_eq!(replica.announce(&mut registry, &late, now), Reply::Stands);
    }
}

#[test]
fn a_delayed_take_over_undoes_no_later_change() {
    let mut registry = Registry::new();
    registry.announce(record("newer", 200, 1, 8080, false));
    let older = record("older", 100, 9, 8080, false);
    let delayed = take_over(&registry, &older);
    // The newer target announces a change after the command was proposed.
    registry.announce(TargetRecord { slots: 32, ..record("newer", 200, 2, 8080, false) });
    assert_eq!(registry.apply(delayed), Reply::Stands);
    assert_eq!(registry.state("newer"), State::Ready);
}

#[test]
fn a_withdrawn_target_takes_nothing_over() {
    let mut registry = Registry::new();
    registry.announce(record("one", 100, 1, 8080, false));
    let withdraw = Withdraw { target: "one".to_owned(), incarnation: 100, started_by_ms: 0 };
    registry.apply(Operation::Withdraw(withdraw.clone()));
    let late = record("one", 100, 2, 8080, false);
    let operation = take_over(&registry, &late);
    assert_eq!(registry.apply(operation), Reply::Stands);
    assert_eq!(registry.state("one"), State::Gone);
    // Also if it was withdrawn after another one had taken its address.
    registry.announce(record("two", 100, 1, 9090, false));
    registry.announce(record("odd", 900, 1, 9090, false));
    let withdraw = Withdraw { target: "two".to_owned(), ..withdraw };
    assert_eq!(registry.apply(Operation::Withdraw(withdraw)), Reply::Changed);
    let late = record("two", 100, 2, 9090, false);
    let operation = take_over(&registry, &late);
    assert_eq!(registry.apply(operation), Reply::Stands);
}

/// Late announcements come for a time, those of a live target go on; a burst is no proof.
#[test]
fn only_announcements_that_go_on_show_that_a_target_is_alive() {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let announced = |sequence| record("one", 100, sequence, 8080, false);
    let mut tracker = ContestTracker::default();
    let mut burst = (0..100).map(|sequence| (sequence, at(0.01 * sequence as f64)));
    assert!(!burst.any(|(sequence, at)| tracker.record(&announced(sequence), at)));
    // The same one again and again is not newer, and a long pause starts anew.
    assert!(!(1..20).any(|second| tracker.record(&announced(99), at(f64::from(second)))));
    assert!(!(40..50).any(|second| tracker.record(&announced(second), at(second as f64))));
    assert!(tracker.record(&announced(50), at(50.0)));
    tracker.forget("one");
    assert!(!tracker.record(&announced(51), at(51.0)));
}

/// The last announcement of another writer held a target's number, and with it the target's content.
#[test]
fn a_number_that_nobody_repeats_is_forgotten() {
    let start = Instant::now();
    let announcement = |sequence, cold_remaining| Announcement {
        target: "one".into(),
        incarnation: 100,
        sequence,
        service: "engines".into(),
        address: ([10, 0, 0, 9], 8080).into(),
        zone: "jakarta-a".into(),
        slots: 64,
        leaving: false,
        cold_remaining,
        software_version: id::SoftwareVersion::from("v1"),
    };
    let second = Duration::from_secs(1);
    let (mut one, mut other) = (HeartbeatTable::new(second * 3), HeartbeatTable::new(second * 3));
    let odd = record("one", 100, u64::MAX, 8080, false);
    one.record_announcement(&announcement(u64::MAX, Duration::MAX), start);
    for sequence in 1..=11 {
        let now = start + second * sequence;
        one.record_announcement(&announcement(sequence.into(), Duration::ZERO), now);
        other.merge(one.report(|_| true, now), now);
        let lasts = sequence >= 10;
        assert_eq!((one.is_silent(&odd, now), other.is_silent(&odd, now)), (lasts, lasts));
    }
    let now = start + second * 11;
    for table in [one, other] {
        let last = table.last_announcement("one").expect("heard");
        assert_eq!((last.version, last.cold_until), ((100, 11), now));
    }
}

/// Records that an older process wrote stopped the VMs that read them.
#[test]
fn a_record_without_a_usable_address_is_left_out_and_reported_once() {
    let now = Instant::now();
    let sound = record("sound", 100, 1, 8080, false);
    let addresses = ["10.0.0.9:0", "0.0.0.0:80", "224.0.0.1:80", "10.0.0.9:65536", "nowhere", ""];
    let odd = addresses.iter().enumerate().map(|(number, address)| TargetRecord {
        target: format!("odd-{number}"),
        address: (*address).to_owned(),
        slots: u32::MAX,
        cold_remaining_ms: u64::MAX,
        ..sound.clone()
    });
    let cold =
        ColdTarget { target: "sound".to_owned(), remaining_ms: u64::MAX, ..ColdTarget::default() };
    let cold_targets = Some(ColdTargets { digest: 1, targets: vec![cold] });
    let targets = odd.chain([sound.clone()]).collect();
    let update = Update { index: 1, targets, cold_targets, fresh: true, ..Update::default() };
    let mut mirror = Mirror::default();
    assert!(mirror.apply(update, now));
    assert_eq!(mirror.targets(&"engines".into()).len(), 1);
    assert_eq!(mirror.take_unusable_targets().len(), addresses.len());
    assert!(mirror.apply(Update { index: 2, fresh: true, ..Update::default() }, now));
    assert_eq!(mirror.take_unusable_targets(), []);
}
