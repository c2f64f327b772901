//! Property tests with random messages from other VMs: none causes a panic or unbounded memory use.

use std::time::{Duration, Instant};

use pomelogate::{
    link::OpenedExchanges,
    member::{self, Member, MembershipReport},
    settings::Peer,
    target::{Gossip, Renewals, Sent, Settings, View},
    wire::Frame,
};
use proptest::prelude::*;
use prost::Message;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn view() -> View {
    View::new(Settings::default(), "jakarta-1".into(), "jakarta".into())
}

fn membership(now: Instant) -> member::Membership {
    let address = ([127, 0, 0, 1], 9).into();
    let this = Peer {
        vm: "jakarta-1".into(),
        region: "jakarta".into(),
        zone: "jakarta-a".into(),
        callers: address,
        links: address,
    };
    member::Membership::new(member::Settings::default(), this, 1, [], 7, now)
}

fn extreme_number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX - 1), Just(u64::MAX), any::<u64>()]
}

fn sent() -> impl Strategy<Value = Sent> {
    let text = prop_oneof!["engine", "", "\\PC{0,8}"];
    let address = prop_oneof!["127\\.0\\.0\\.1:9", "", "\\PC{0,8}"];
    (text, address, extreme_number(), extreme_number(), any::<u32>(), any::<bool>()).prop_map(
        |(target, address, incarnation, age_ms, load, leaving)| Sent {
            target,
            address,
            region: "jakarta".to_owned(),
            incarnation,
            age_ms,
            running: load,
            waiting: load,
            slots: load.reverse_bits(),
            leaving,
            ..Sent::default()
        },
    )
}

fn renewals() -> impl Strategy<Value = Renewals> {
    let list = || prop::collection::vec(any::<u32>(), 0..6);
    (list(), list(), list(), list(), list()).prop_map(
        |(digests, ages_ms, running, waiting, waiting_tokens)| Renewals {
            by: "jakarta-2".to_owned(),
            digests,
            ages_ms,
            running,
            waiting,
            waiting_tokens,
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let now = Instant::now();
        let _ = Frame::decode(&bytes[..]);
        if let Ok(gossip) = Gossip::decode(&bytes[..]) {
            view().merge(&gossip, now);
        }
        if let Ok(report) = MembershipReport::decode(&bytes[..]) {
            membership(now).merge(&report, now);
        }
    }

    #[test]
    fn gossip_with_extreme_numbers_is_merged_and_expires(
        reports in prop::collection::vec(sent(), 0..8),
        renewals in prop::option::of(renewals()),
        wanted in prop::collection::vec(any::<u32>(), 0..8),
    ) {
        let now = Instant::now();
        let mut view = view();
        let gossip = Gossip { reports, renewals, wanted, ..Gossip::default() };
        view.merge(&gossip, now);
        view.merge(&gossip, now);
        view.unsent(now);
        view.take_wanted();
        view.summary(now, |_| true);
        let later = now + Settings::default().memory + Duration::from_secs(1);
        view.expire(now, later);
        prop_assert!(view.all(later).reports.is_empty());
        prop_assert!(view.take_wanted().is_empty());
    }

    #[test]
    fn members_with_extreme_numbers_are_merged(
        members in prop::collection::vec((0..3_u8, extreme_number(), extreme_number(), any::<u32>()), 0..8),
    ) {
        let now = Instant::now();
        let mut membership = membership(now);
        let member = |(vm, incarnation, heartbeat_count, in_flight): (u8, u64, u64, u32)| Member {
            vm: format!("jakarta-{vm}"),
            region: "jakarta".to_owned(),
            zone: "jakarta-a".to_owned(),
            callers_address: "127.0.0.1:9".to_owned(),
            links_address: "127.0.0.1:9".to_owned(),
            incarnation,
            heartbeat_count,
            in_flight,
            leaving: false,
        };
        let report = MembershipReport { members: members.into_iter().map(member).collect() };
        membership.merge(&report, now);
        membership.tick(0, now);
        membership.directory(&[], now);
    }

    #[test]
    fn an_exchange_opens_at_most_once_for_random_ids(
        ids in prop::collection::vec(extreme_number(), 0..64),
    ) {
        let mut opened = OpenedExchanges::default();
        for id in ids {
            opened.insert(id);
            prop_assert!(!opened.insert(id));
        }
    }
}
