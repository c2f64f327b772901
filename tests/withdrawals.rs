//! Withdrawals of targets that the registry does not know, or knows only by an earlier incarnation.

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    registry::{
        Announcement, Command, HeartbeatTable, Operation, Reply, State, StateMachine, WallClocks,
        Withdraw,
    },
    replica::StateMachine as _,
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Longest delay of an announcement on its way.
const MAX_LATENESS_MS: u64 = 10_000;
/// Unix milliseconds at the start of a course.
const START_MS: u64 = 1_700_000_000_000;
const TARGET: &str = "engine-1";

/// The replicas of a registry, of which some clocks have jumped, in virtual time.
struct Registry {
    state_machine: StateMachine,
    heartbeats: HeartbeatTable,
    clocks: WallClocks,
    last_index: u64,
    start: Instant,
    now_ms: u64,
    own_jump_ms: i64,
}

impl Registry {
    fn new(replicas: u32, random: &mut StdRng) -> Self {
        let (start, mut clocks) = (Instant::now(), WallClocks::default());
        // A minority jumps, all in one direction.
        let jump_ms = if random.random_bool(0.5) { 2000 } else { -2000 };
        let jumped = random.random_range(0..=(replicas - 1) / 2);
        for replica in 1..replicas {
            let jump_ms = if replica <= jumped { jump_ms } else { 0 };
            let unix_ms = START_MS.saturating_add_signed(jump_ms);
            clocks.record(&id::Vm::from(format!("replica-{replica}")), unix_ms, start);
        }
        let heartbeats = HeartbeatTable::new(Duration::from_secs(3));
        let own_jump_ms = if jumped < (replicas - 1) / 2 { jump_ms } else { 0 };
        Self {
            state_machine: StateMachine::default(),
            heartbeats,
            clocks,
            last_index: 0,
            start,
            now_ms: 0,
            own_jump_ms,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn apply(&mut self, operation: Operation) -> Reply {
        self.last_index += 1;
        let command = Command::from(operation).encode_to_vec();
        Reply::decode(&self.state_machine.apply(self.last_index, &command)).expect("a reply")
    }

    fn announce(&mut self, born_ms: u64, sequence: u64) {
        let announcement = Announcement {
            target: id::Target::from(TARGET),
            incarnation: START_MS + born_ms,
            sequence,
            service: id::Service::from("engines"),
            address: ([10, 0, 0, 9], 8080).into(),
            zone: id::Zone::from("jakarta-a"),
            slots: 64,
            leaving: false,
            cold_remaining: Duration::ZERO,
            software_version: id::SoftwareVersion::from("v1"),
        };
        let now = self.now();
        self.heartbeats.record_announcement(&announcement, now);
        self.apply(Operation::Announce(announcement.record()));
    }

    fn withdraw(&mut self) -> Reply {
        let own_ms = (START_MS + self.now_ms).saturating_add_signed(self.own_jump_ms);
        let unix_ms = self.clocks.median_unix_ms(own_ms, self.now());
        let target = id::Target::from(TARGET);
        let known = self.state_machine.target(TARGET);
        let withdraw = Withdraw::received(&target, known, &self.heartbeats, unix_ms, self.now());
        withdraw.map_or(Reply::Stands, |withdraw| self.apply(Operation::Withdraw(withdraw)))
    }

    fn ready_incarnation(&self) -> Option<u64> {
        let record = self.state_machine.target(TARGET)?;
        (record.state() == State::Ready).then(|| record.incarnation - START_MS)
    }
}

// Guards against a target that is brought back by an announcement that is older than its withdrawal,
// and against a next incarnation that the withdrawal keeps out.
#[test]
fn withdrawal_of_an_unknown_target_holds_against_late_announcements_only() {
    for (replicas, seed) in [5, 7, 95].into_iter().flat_map(|n| (0..50).map(move |seed| (n, seed)))
    {
        let mut random = StdRng::seed_from_u64(seed);
        let mut registry = Registry::new(replicas, &mut random);
        let name = format!("{replicas} replicas, seed {seed}");
        registry.now_ms = 1000;
        let born_ms = registry.now_ms - random.random_range(0..1000);
        assert_eq!(registry.withdraw(), Reply::Changed, "{name}");
        let withdrawn_ms = registry.now_ms;
        // The target goes on serving for seconds before it ends.
        let next_born_ms = withdrawn_ms + random.random_range(1000..4000);
        let mut late: Vec<u64> =
            (0..4).map(|_| withdrawn_ms + random.random_range(0..MAX_LATENESS_MS)).collect();
        late.sort_unstable();
        let mut next_sequence = 0;
        for (sequence, at_ms) in late.into_iter().enumerate() {
            registry.now_ms = at_ms;
            if at_ms >= next_born_ms {
                next_sequence += 1;
                registry.announce(next_born_ms, next_sequence);
                assert_eq!(registry.ready_incarnation(), Some(next_born_ms), "{name}");
            }
            registry.announce(born_ms, sequence as u64 + 1);
            let expected = (at_ms >= next_born_ms).then_some(next_born_ms);
            assert_eq!(registry.ready_incarnation(), expected, "{name}, at {at_ms} ms");
        }
        assert_eq!(registry.withdraw(), Reply::Changed, "{name}");
        assert_eq!(registry.ready_incarnation(), None, "{name}");
    }
}

// Guards against a withdrawal that takes off only an earlier incarnation that ended long ago.
#[test]
fn withdrawal_after_an_incarnation_that_ended_covers_the_one_that_is_not_known_yet() {
    let mut registry = Registry::new(5, &mut StdRng::seed_from_u64(1));
    registry.announce(0, 1);
    registry.now_ms = MAX_LATENESS_MS + 2000;
    assert_eq!(registry.withdraw(), Reply::Changed);
    registry.announce(registry.now_ms - 1000, 1);
    assert_eq!(registry.ready_incarnation(), None);
    registry.announce(registry.now_ms + 1000, 1);
    assert_eq!(registry.ready_incarnation(), Some(registry.now_ms + 1000));
}

// Guards against a repeated withdrawal that takes off the incarnation that followed the withdrawn one.
#[test]
fn withdrawal_of_a_known_incarnation_lets_the_next_one_in_at_once_also_if_it_is_repeated() {
    let mut registry = Registry::new(5, &mut StdRng::seed_from_u64(1));
    registry.announce(0, 1);
    registry.now_ms = 1000;
    assert_eq!(registry.withdraw(), Reply::Changed);
    assert_eq!(registry.withdraw(), Reply::Stands);
    registry.announce(0, 2);
    assert_eq!(registry.ready_incarnation(), None);
    registry.announce(1100, 1);
    assert_eq!(registry.ready_incarnation(), Some(1100));
}
