//! At which version a stream may go on: the records, the replies and the registry, each alone, and
//! releases in virtual time with kills and cuts, judged from the clients' side. Pattern:
//! deterministic simulation testing, every run repeats by its seed.

#![expect(clippy::print_stdout, reason = "figures of the run, shown with --nocapture")]

use std::time::{Duration, Instant};

use pomelogate::{
    continuation::{Batch, Cause, Finding, Key, Ledger, Lookup, Progress, Reply, Resolution},
    emulator::release::{Outcome, Rule, Scenario, World},
    id,
    registry::{Announcement, Command, Operation, StateMachine, Withdraw},
    replica::StateMachine as _,
};
use proptest::prelude::*;
use prost::Message;

const SECOND: Duration = Duration::from_secs(1);

fn version(text: &str) -> id::SoftwareVersion {
    id::SoftwareVersion::from(text)
}

fn large() -> Scenario {
    Scenario {
        vms: 95,
        replicas: 7,
        targets: 24,
        stream_interval: Duration::from_millis(15),
        ..Scenario::default()
    }
}

/// To run more seeds: `POMELOGATE_SEEDS=1000 cargo test --locked --test continuation vms_never`.
fn seeds(seeds_in_ci: u64) -> std::ops::Range<u64> {
    let seeds = std::env::var("POMELOGATE_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    0..seeds.unwrap_or(seeds_in_ci)
}

fn check(scenario: &Scenario, seeds: std::ops::Range<u64>) {
    let (mut taken_up, mut gone_on) = (0, 0);
    for seed in seeds {
        let outcome = World::new(scenario.clone(), seed).run();
        assert_eq!(outcome.mixed, 0, "ORDER, seed {seed}: {outcome:?}");
        let enough = outcome.taken_up < 12 || outcome.goes_on_as_often();
        assert!(enough, "LOST, seed {seed}: {outcome:?}");
        taken_up += outcome.taken_up;
        gone_on += outcome.gone_on;
    }
    assert!(taken_up >= 100, "only {taken_up} streams were taken up");
    println!("{gone_on} of {taken_up} streams went on");
}

/// Guards against streams with events of two versions, and streams that may go on but do not.
#[test]
fn seven_vms_never_join_two_versions_and_streams_go_on() {
    check(&Scenario::default(), seeds(40));
}

/// Guards against the same with many VMs and replicas.
#[test]
fn ninety_five_vms_never_join_two_versions_and_streams_go_on() {
    check(&large(), seeds(8));
}

/// Guards against a simulation that could not show a joined stream.
#[test]
fn vms_that_trust_their_view_join_two_versions() {
    let scenario = Scenario { rule: Rule::TrustView, ..Scenario::default() };
    let run = |seed| World::new(scenario.clone(), seed).run();
    let mixed: u32 = (0..5).map(|seed| run(seed).mixed).sum();
    assert!(mixed > 0, "no stream was joined");
}

/// Guards against a simulation that could not show a lost stream.
#[test]
fn vms_that_know_only_their_own_records_lose_streams() {
    let scenario = Scenario { rule: Rule::OwnRecords, ..Scenario::default() };
    let outcomes = (0..5).map(|seed| World::new(scenario.clone(), seed).run());
    assert!(outcomes.map(|outcome: Outcome| outcome.goes_on_as_often()).any(|often| !often));
}

/// Guards against records that are lost between a VM and its replica.
#[test]
fn a_batch_carries_records_once_and_again_after_a_failure() {
    let now = Instant::now();
    let (mut vm, mut replica) = (Ledger::default(), Ledger::default());
    let keys: Vec<Key> = (0..20_000_u64).map(Key::from).collect();
    for key in &keys {
        vm.record(*key, &version("v1"), SECOND, now);
    }
    vm.record(keys[0], &version("v2"), SECOND, now);
    let lost = vm.take_unsent(now).expect("records");
    vm.mark_unsent(lost, now);
    while let Some(batch) = vm.take_unsent(now) {
        replica.merge(&Batch::decode(&*batch.encode_to_vec()).expect("a batch"), now);
    }
    assert_eq!(replica.find(keys[0], now), Some(Finding::Conflicting));
    let known = |key: &&Key| replica.find(**key, now) == Some(Finding::Version(version("v1")));
    assert_eq!(keys.iter().filter(known).count(), keys.len() - 1);
    assert_eq!(replica.take_unsent(now), None);
    assert_eq!(replica.find(keys[1], now + SECOND), None);
}

/// Guards against a replica that concludes from the time before its start.
#[test]
fn nothing_is_known_of_the_time_before_the_start() {
    let start = Instant::now() + 10 * SECOND;
    let mut progress = Progress::new();
    for second in 0..8000 {
        progress.record(u64::from(second), start + second * SECOND);
    }
    assert_eq!(progress.index_at_or_before(start - SECOND), None);
    assert_eq!(progress.index_at_or_before(start + 100 * SECOND), None);
    assert_eq!(progress.index_at_or_before(start + 7000 * SECOND), Some(7000));
}

struct Registry(StateMachine, u64);

impl Registry {
    fn apply(&mut self, operation: Operation) -> u64 {
        self.1 += 1;
        self.0.apply(self.1, &Command::from(operation).encode_to_vec());
        self.1
    }

    fn announce(&mut self, target: u16, sequence: u64, service: &str, text: &str) -> u64 {
        let announcement = Announcement {
            target: id::Target::from(target.to_string()),
            incarnation: 1,
            sequence,
            service: id::Service::from(service),
            address: ([10, 0, 0, 1], 1000 + target).into(),
            zone: id::Zone::from("a"),
            slots: 1,
            leaving: false,
            cold_remaining: Duration::ZERO,
            software_version: version(text),
        };
        self.apply(Operation::Announce(announcement.record()))
    }

    fn withdraw(&mut self, target: u16) -> u64 {
        self.apply(Operation::Withdraw(Withdraw {
            target: target.to_string(),
            incarnation: 1,
            started_by_ms: 0,
        }))
    }

    fn sole(&self, index: u64) -> Option<String> {
        self.0.sole_version("chat", index).map(|version| version.to_string())
    }

    fn restored(&self) -> Self {
        let mut state_machine = StateMachine::default();
        state_machine.restore(&self.0.snapshot()).expect("a snapshot");
        Self(state_machine, self.1)
    }
}

/// Guards against taking the only version left for the only one that served.
#[test]
fn a_version_is_sole_once_the_ends_of_all_others_are_past() {
    let mut registry = Registry(StateMachine::default(), 0);
    registry.announce(1, 1, "chat", "v1");
    assert_eq!(registry.sole(0).as_deref(), Some("v1"));
    registry.announce(2, 1, "chat", "v2");
    assert_eq!(registry.sole(u64::MAX), None);
    let end = registry.withdraw(1);
    for registry in [&registry, &registry.restored()] {
        assert_eq!(registry.sole(end - 1), None);
        assert_eq!(registry.sole(end).as_deref(), Some("v2"));
    }
    // A target that changes its service ends there.
    registry.announce(3, 1, "chat", "v3");
    let moved = registry.announce(3, 2, "other", "v3");
    assert_eq!(registry.sole(moved - 1), None);
    assert_eq!(registry.sole(moved).as_deref(), Some("v2"));
    // The version of a target may be unknown.
    registry.announce(4, 1, "chat", "");
    assert_eq!(registry.sole(u64::MAX), None);
    let unknown = registry.withdraw(4);
    assert_eq!((registry.sole(unknown - 1), registry.sole(unknown)), (None, Some("v2".into())));
}

/// Guards against forgetting ends that are dropped for room.
#[test]
fn nothing_is_concluded_below_the_ends_that_were_dropped() {
    let mut registry = Registry(StateMachine::default(), 0);
    registry.announce(1, 1, "chat", "v");
    let ends: Vec<u64> = (2..100)
        .map(|target| {
            registry.announce(target, 1, "chat", &format!("v{target}"));
            registry.withdraw(target)
        })
        .collect();
    for end in &ends {
        assert_eq!(registry.sole(end - 1), None);
    }
    assert_eq!(registry.sole(ends[97]).as_deref(), Some("v"));
    for service in 0..1000_u16 {
        registry.announce(1000 + service, 1, &format!("s{service}"), "v");
        registry.withdraw(1000 + service);
    }
    assert_eq!(registry.sole(ends[97] - 1), None);
}

fn replies() -> impl Strategy<Value = Vec<Option<Reply>>> {
    let versions = || prop::sample::select(vec!["", "v1", "v2", "v3"]).prop_map(str::to_owned);
    let reply = (prop::collection::vec(versions(), 0..3), versions())
        .prop_map(|(versions, sole_version)| Reply { versions, sole_version });
    prop::collection::vec(prop::option::of(reply), 0..8)
}

proptest! {
    /// Guards against a panic or growth by what another process sends.
    #[test]
    fn any_batch_can_be_merged(
        versions in prop::collection::vec(".{0,300}", 0..4),
        keys in prop::collection::vec(0..9_u64, 0..40),
        version_indexes in prop::collection::vec(any::<u32>().prop_map(|i| i % 7), 0..40),
        time_left_ms in prop::collection::vec(any::<u32>(), 0..40),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let now = Instant::now();
        let mut ledger = Ledger::default();
        let batch = Batch { versions, keys, version_indexes, time_left_ms };
        ledger.merge(&batch, now);
        prop_assert!(ledger.len() <= 9);
        if let Ok(batch) = Batch::decode(&*bytes) {
            ledger.merge(&batch, now);
        }
        ledger.mark_unsent(batch, now);
        ledger.mark_all_unsent();
        ledger.take_unsent(now);
    }

    /// Guards against a repeated name that resolves to one of its versions.
    #[test]
    fn conflicting_replies_never_resolve_to_a_version(replies in replies()) {
        let mut lookup = Lookup::new(replies.len());
        let mut seen = Vec::new();
        let mut resolution = None;
        for reply in &replies {
            if let Some(reply) = reply {
                seen.extend(reply.versions.iter().map(String::as_str));
                seen.extend(Some(reply.sole_version.as_str()).filter(|text| !text.is_empty()));
            }
            resolution = lookup.record_reply(reply.as_ref());
            if resolution.is_some() {
                break;
            }
        }
        let expected = match seen.first() {
            Some(first) if first.is_empty() || seen.iter().any(|other| other != first) => {
                Resolution::Unknown(Cause::Conflicting)
            }
            Some(first) => Resolution::Version(version(first)),
            None if replies.iter().any(Option::is_some) => Resolution::Unknown(Cause::NoRecord),
            None => Resolution::Unknown(Cause::Unconfirmed),
        };
        prop_assert_eq!(resolution.unwrap_or_else(|| lookup.finish()), expected);
    }
}
