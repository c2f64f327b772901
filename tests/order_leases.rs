//! Who may give orders in a region, on a clock that the test moves: never two at a time, also
//! across changes of the leader that grants it.

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    order::{Ask, Decision, Grant, Holder, Leases, Proof},
};
use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message;

const LONGEST: Duration = Duration::from_millis(1000);
const PROOF: Duration = Duration::from_millis(900);

fn holder(vm: &str, incarnation: u64) -> Holder {
    Holder { vm: vm.into(), incarnation }
}

/// Leaders one after the other, each with what it remembers, and the numbers that they share.
struct Group {
    leases: Leases,
    term: u64,
    newest: u64,
    region: id::Region,
}

impl Group {
    fn new() -> Self {
        Self { leases: Leases::default(), term: 1, newest: 0, region: "a".into() }
    }

    fn ask(&mut self, holder: &Holder, now: Instant) -> Option<(u64, Instant)> {
        let proof = Proof { term: self.term, until: now + PROOF };
        match self.leases.ask(&self.region, holder, proof, LONGEST, now) {
            Decision::Granted { number, until } => Some((number, until)),
            Decision::Issue => {
                self.newest += 1;
                self.leases.issued(&self.region, holder, self.term, self.newest);
                None
            }
            Decision::Denied => None,
        }
    }

    fn change_leader(&mut self, fresh: bool) {
        self.term += 1;
        if fresh {
            self.leases = Leases::default();
        }
    }
}

#[test]
fn another_vm_waits_for_the_end_of_the_lease_and_gets_a_newer_number() {
    let mut group = Group::new();
    let start = Instant::now();
    let (first, second) = (holder("a-1", 1), holder("a-2", 1));
    assert_eq!(group.ask(&first, start), None, "a new leader waits for the old one's leases");
    let now = start + LONGEST;
    assert_eq!(group.ask(&first, now), None, "its number is being issued");
    let (number, until) = group.ask(&first, now).unwrap();
    assert_eq!(group.ask(&second, until - Duration::from_millis(1)), None);
    assert_eq!(group.ask(&second, until), None);
    let (newer, _) = group.ask(&second, until).unwrap();
    assert!(newer > number);
    assert_eq!(group.ask(&first, until), None);
}

#[test]
fn a_restarted_process_is_another_holder() {
    let mut group = Group::new();
    let start = Instant::now();
    group.ask(&holder("a-1", 1), start);
    group.ask(&holder("a-1", 1), start + LONGEST);
    let (_, until) = group.ask(&holder("a-1", 1), start + LONGEST).unwrap();
    assert_eq!(group.ask(&holder("a-1", 2), start + LONGEST), None);
    assert_eq!(group.ask(&holder("a-1", 2), until), None);
    assert!(group.ask(&holder("a-1", 2), until).is_some());
}

/// The leader answers each region twice a second; a VM may spend 10 KB/s on control.
#[test]
fn the_questions_of_27_regions_fit_the_budget_of_the_leader() {
    let ask = Ask { region: "region-of-long-name".into(), incarnation: u64::MAX };
    let leader = "region-of-long-name-1".into();
    let grant = Grant { number: u64::MAX, valid_ms: 900, leader };
    let bytes = ask.encoded_len() + grant.encoded_len();
    #[expect(clippy::print_stdout, reason = "figures for docs/CAPACITY.md")]
    {
        println!("question {} bytes, answer {} bytes", ask.encoded_len(), grant.encoded_len());
    }
    assert!(27 * 2 * bytes < 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(4), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No two holders have leases at once, and a later holder's number is newer.
    #[test]
    fn leases_never_overlap(steps in prop::collection::vec((0_u64..400, 0_u64..3, 0_u8..20), 1..80)) {
        let mut group = Group::new();
        let mut now = Instant::now();
        let mut last: Option<(Holder, u64, Instant)> = None;
        for (wait, vm, event) in steps {
            now += Duration::from_millis(wait);
            if event < 2 {
                group.change_leader(event == 0);
            }
            let asker = holder(&format!("a-{vm}"), 1);
            let Some((number, until)) = group.ask(&asker, now) else { continue };
            if let Some((holder, newest, end)) = &last {
                prop_assert!(*holder == asker && number >= *newest || now >= *end && number > *newest);
            }
            let end = last.map_or(until, |(_, _, end)| end.max(until));
            last = Some((asker, number, end));
        }
    }
}
