//! The registry: what is agreed on, what a VM makes of it, and who may be a replica.

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    registry::{
        Announcement, ColdTarget, ColdTargets, Command, Drain, HeartbeatTable, Mirror, Operation,
        Publish, Reply, ServiceLoad, State, StateMachine, TargetRecord, Update, VmChanges, VmInfo,
        Withdraw,
    },
    replica::StateMachine as _,
};
use prost::{Message, bytes::Bytes};

struct Registry {
    machine: StateMachine,
    index: u64,
}

impl Registry {
    fn new() -> Self {
        Self { machine: StateMachine::default(), index: 0 }
    }

    fn apply(&mut self, operation: Operation) -> Reply {
        self.index += 1;
        let command = Command::from(operation).encode_to_vec();
        Reply::decode(&self.machine.apply(self.index, &command)).expect("a reply")
    }

    fn announce(&mut self, row: TargetRecord) -> Reply {
        self.apply(Operation::Announce(row))
    }

    fn state(&self, target: &str) -> State {
        self.machine.target(target).expect("the target").state()
    }
}

fn row(target: &str, incarnation: u64, sequence: u64, port: u16, leaving: bool) -> TargetRecord {
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
    };
    announcement.record()
}

fn publish(version: u64, text: &'static str) -> Operation {
    Operation::Publish(Publish { version, text: Bytes::from_static(text.as_bytes()) })
}

#[test]
fn the_highest_version_of_the_routes_stands_whatever_comes_after() {
    let mut registry = Registry::new();
    assert_eq!(registry.apply(publish(7, "seven")), Reply::Changed);
    assert_eq!(registry.apply(publish(7, "another seven")), Reply::Stands);
    assert_eq!(registry.apply(publish(3, "three")), Reply::Stands);
    assert_eq!(registry.machine.routes(), "seven");
    assert_eq!(registry.apply(publish(12, "twelve")), Reply::Changed);
    assert_eq!(
        (registry.machine.routes_version(), registry.machine.routes().as_ref()),
        (12, &b"twelve"[..])
    );
}

#[test]
fn a_late_announcement_of_a_former_lifetime_changes_nothing() {
    let mut registry = Registry::new();
    registry.announce(row("one", 100, 4, 8080, false));
    registry.announce(row("one", 200, 1, 8080, false));
    assert_eq!(registry.announce(row("one", 100, 9, 8080, true)), Reply::Stands);
    assert_eq!(registry.state("one"), State::Ready);
}

#[test]
fn a_target_that_leaves_or_is_gone_stays_so_for_its_lifetime() {
    let mut registry = Registry::new();
    registry.announce(row("one", 100, 1, 8080, false));
    registry.announce(row("one", 100, 2, 8080, true));
    registry.announce(row("one", 100, 3, 8080, false));
    assert_eq!(registry.state("one"), State::Leaving);
    let withdraw =
        |incarnation| Operation::Withdraw(Withdraw { target: "one".to_owned(), incarnation });
    assert_eq!(registry.apply(withdraw(99)), Reply::Stands);
    assert_eq!(registry.apply(withdraw(100)), Reply::Changed);
    assert_eq!(registry.announce(row("one", 100, 9, 8080, false)), Reply::Stands);
    assert_eq!(registry.state("one"), State::Gone);
    assert_eq!(registry.announce(row("one", 300, 1, 8080, false)), Reply::Changed);
    assert_eq!(registry.state("one"), State::Ready);
}

#[test]
fn an_address_belongs_to_the_target_that_was_born_last() {
    let mut registry = Registry::new();
    registry.announce(row("old", 100, 5, 8080, false));
    registry.announce(row("new", 200, 1, 8080, false));
    assert_eq!(registry.state("old"), State::Gone);
    assert_eq!(registry.announce(row("older", 50, 9, 8080, false)), Reply::Stands);
    assert_eq!(registry.state("new"), State::Ready);
}

#[test]
fn an_order_for_a_zone_that_was_overtaken_does_not_undo_the_later_one() {
    let mut registry = Registry::new();
    let first = registry.machine.zone_drain("jakarta-a");
    let order = |known: &Drain, drained| Operation::Drain(Drain { drained, ..known.clone() });
    assert_eq!(registry.apply(order(&first, true)), Reply::Changed);
    let second = registry.machine.zone_drain("jakarta-a");
    assert_eq!(registry.apply(order(&second, false)), Reply::Changed);
    // The first order again, delayed on its way to the leader.
    assert_eq!(registry.apply(order(&first, true)), Reply::Overtaken);
    assert_eq!(registry.machine.drained_zones().count(), 0);
}

#[test]
fn a_snapshot_holds_everything() {
    let mut registry = Registry::new();
    registry.apply(publish(7, "seven"));
    registry.announce(row("one", 100, 1, 8080, false));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.machine.zone_drain("jakarta-a")
    }));
    let mut restored = StateMachine::default();
    restored.restore(&registry.machine.snapshot()).expect("restored");
    assert_eq!(
        Update::since(&restored, 0, |_| true),
        Update::since(&registry.machine, 0, |_| true)
    );
    assert_eq!(restored.snapshot(), registry.machine.snapshot());
}

fn news(machine: &StateMachine, since: u64) -> Update {
    Update { fresh: true, ..Update::since(machine, since, |_| true) }
}

#[test]
fn a_mirror_follows_by_differences_and_never_goes_back() {
    let now = Instant::now();
    let mut registry = Registry::new();
    registry.announce(row("one", 100, 1, 8080, false));
    let old = news(&registry.machine, 0);
    let mut mirror = Mirror::default();
    assert!(mirror.apply(old.clone(), now));
    let engines = id::Service::from("engines");
    assert_eq!(mirror.targets(&engines).len(), 1);
    registry.announce(row("two", 150, 1, 8081, false));
    registry.announce(row("one", 100, 2, 8080, true));
    let delta = news(&registry.machine, mirror.index());
    assert_eq!(delta.targets.len(), 2);
    assert!(mirror.apply(delta, now));
    let names = |mirror: &Mirror| -> Vec<String> {
        mirror.targets(&engines).iter().map(|target| target.target.to_string()).collect()
    };
    assert_eq!(names(&mirror), ["two"]);
    assert!(!mirror.apply(old, now), "an older replica's word is not taken");
    assert_eq!(names(&mirror), ["two"]);
}

#[test]
fn targets_of_a_drained_zone_get_nothing_and_count_as_cold_when_it_is_taken_back() {
    let now = Instant::now();
    let engines = id::Service::from("engines");
    let mut registry = Registry::new();
    let mut mirror = Mirror::default();
    registry.announce(row("one", 100, 1, 8080, false));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.machine.zone_drain("jakarta-a")
    }));
    mirror.apply(news(&registry.machine, 0), now);
    assert!(mirror.targets(&engines).is_empty());
    registry.apply(Operation::Drain(Drain {
        drained: false,
        ..registry.machine.zone_drain("jakarta-a")
    }));
    mirror.apply(news(&registry.machine, mirror.index()), now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
}

/// In a core that is cut in two, the half without a leader hears of no VM beyond the cut, and VMs
/// that asked it found nobody to hand a request to.
#[test]
fn a_replica_that_is_cut_off_does_not_make_a_vm_forget_the_others() {
    let now = Instant::now();
    let entry = |vm: &str| VmInfo { vm: vm.to_owned(), ..VmInfo::default() };
    let told = |fresh, digest, present| Update {
        fresh,
        vm_changes: Some(VmChanges { digest, full: true, present, removed: vec![] }),
        ..Update::default()
    };
    let mut mirror = Mirror::default();
    mirror.apply(told(true, 5, vec![entry("near"), entry("far")]), now);
    mirror.apply(told(false, 6, vec![entry("near")]), now);
    assert_eq!((mirror.vms().len(), mirror.vms_digest()), (2, 5));
}

/// Each change of a VM sent the entries of all VMs to all VMs: with 101 VMs replicas sent 1 MB/s.
#[test]
fn vms_are_told_what_changed_of_the_others_and_not_all_of_them() {
    let now = Instant::now();
    let entry =
        |vm: &str, ready| VmInfo { vm: vm.to_owned(), ready, incarnation: 1, ..VmInfo::default() };
    let mut roster = HeartbeatTable::new(Duration::from_secs(3));
    for vm in ["one", "two", "three"] {
        roster.record_vm(entry(vm, true), now);
    }
    let known = roster.vm_set().digest();
    // The same said again later is no change, nor are loads.
    let later = now + Duration::from_secs(2);
    let busy = ServiceLoad { service: "engines".to_owned(), requests: 7, ..ServiceLoad::default() };
    roster.record_vm(VmInfo { loads: vec![busy], ..entry("one", true) }, later);
    roster.record_vm(entry("two", true), later);
    assert_eq!(roster.vm_set().digest(), known);
    roster.record_vm(entry("two", false), later);
    roster.sweep(now + Duration::from_secs(4));
    let vm_set = roster.vm_set();
    assert_eq!(vm_set.changed_since(known), Some(["three", "two"].into()));
    assert!(vm_set.contains("two") && !vm_set.contains("three"));
    assert_eq!(vm_set.changed_since(known ^ 1), None, "what is not known is told whole");
}

#[test]
fn a_vm_is_told_of_the_targets_of_its_region_and_not_woken_by_others() {
    let mut registry = Registry::new();
    let elsewhere = |row: TargetRecord| TargetRecord { zone: "bandung-a".to_owned(), ..row };
    let near = |row: &TargetRecord| row.zone == "jakarta-a";
    registry.announce(row("one", 100, 1, 8080, false));
    let known = registry.machine.index();
    registry.announce(elsewhere(row("two", 100, 1, 8081, false)));
    assert!(!Update::has_changes(&registry.machine, known, near));
    let told = Update::since(&registry.machine, known, near);
    assert!(told.targets.is_empty() && told.index > known);
    registry.announce(row("one", 100, 2, 8080, true));
    assert!(Update::has_changes(&registry.machine, known, near));
    registry.apply(publish(7, "seven"));
    let known = registry.machine.index();
    assert!(!Update::has_changes(&registry.machine, known, near));
    registry.apply(Operation::Drain(Drain {
        drained: true,
        ..registry.machine.zone_drain("bandung-a")
    }));
    assert!(Update::has_changes(&registry.machine, known, near));
}

#[test]
fn the_targets_that_changed_are_found_in_the_order_of_their_changes() {
    let mut registry = Registry::new();
    for (sequence, target) in (1..).zip(["one", "two", "three", "one"]) {
        registry.announce(row(target, 100, sequence, 8000 + sequence as u16, false));
    }
    registry.apply(Operation::Withdraw(Withdraw { target: "two".to_owned(), incarnation: 100 }));
    let changed = |since| -> Vec<&str> {
        registry.machine.targets_changed_since(since).map(|row| row.target.as_str()).collect()
    };
    assert_eq!(changed(0), ["three", "one", "two"]);
    assert_eq!(changed(3), ["one", "two"]);
    assert_eq!(changed(5), [""; 0]);
}

/// After a loss of power replicas did not know how old their rows were: every target that had once
/// announced itself cold counted as cold again, and got a few requests a second.
#[test]
fn a_target_is_cold_only_as_long_as_the_replica_says_so() {
    let now = Instant::now();
    let engines = id::Service::from("engines");
    let mut registry = Registry::new();
    registry.announce(TargetRecord { cold_remaining_ms: 3000, ..row("one", 100, 1, 8080, false) });
    let cold = ColdTarget { target: "one".to_owned(), remaining_ms: 3000 };
    let cold_targets = Some(ColdTargets { digest: 1, targets: vec![cold] });
    let mut mirror = Mirror::default();
    mirror.apply(Update { cold_targets, ..news(&registry.machine, 0) }, now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
    // What is known already is not told again.
    mirror.apply(news(&registry.machine, mirror.index()), now);
    assert!(mirror.targets(&engines)[0].cold_until > now);
    // Its next announcement says that it is not: nothing changed in the registry.
    let warm = Some(ColdTargets { digest: 2, targets: vec![] });
    mirror.apply(Update { cold_targets: warm, ..news(&registry.machine, mirror.index()) }, now);
    assert!(mirror.targets(&engines)[0].cold_until <= now);
}

#[test]
fn what_a_target_said_last_goes_before_what_it_said_earlier_whoever_heard_it_when() {
    let now = Instant::now();
    let say = |sequence, cold_remaining| Announcement {
        target: "engine".into(),
        incarnation: 100,
        sequence,
        service: "engines".into(),
        address: ([10, 0, 0, 9], 8080).into(),
        zone: "jakarta-a".into(),
        slots: 64,
        leaving: false,
        cold_remaining,
    };
    let second = Duration::from_secs(1);
    let mut one = HeartbeatTable::new(second * 3);
    let mut other = HeartbeatTable::new(second * 3);
    let cold = |roster: &HeartbeatTable, at| {
        roster.last_announcement("engine").expect("heard").cold_until > at
    };
    one.record_announcement(&say(5, second * 3), now);
    // An earlier announcement comes late.
    one.record_announcement(&say(4, Duration::ZERO), now + second);
    assert!(cold(&one, now + second));
    other.record_announcement(&say(3, Duration::ZERO), now + second);
    other.merge(one.report(|_| true, now + second), now + second);
    assert!(cold(&other, now + second));
    other.record_announcement(&say(6, Duration::ZERO), now + second * 2);
    assert!(!cold(&other, now + second * 2));
}
