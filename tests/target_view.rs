//! The view of targets: leases, leaves, restarts and nonsense.

mod support;

use std::time::{Duration, Instant};

use pomelogate::{
    id,
    target::{Announcement, Gossip, Load, Need, Nonsense, Offer, Settings, Summary, View},
};
use proptest::prelude::*;
use support::targets::{announcement, model, service};

fn view(vm: &str, region: &str) -> View {
    View::new(Settings::default(), vm.into(), region.into())
}

fn engine(incarnation: u64) -> Announcement {
    let address = ([127, 0, 0, 1], 9).into();
    Announcement { incarnation, ..announcement("engine", "jakarta", address, model("m")) }
}

fn need() -> Need {
    Need::Model { model: "m".into(), version: None, adapter: None }
}

fn serves(view: &View, now: Instant) -> bool {
    view.capable(&need(), now).next().is_some()
}

/// What `from` knows of the engine, told to `to`.
fn tell(from: &View, to: &mut View, now: Instant) {
    let reports = from.sent(&"engine".into(), now).into_iter().collect();
    to.merge(&Gossip { reports, ..Gossip::default() }, now);
}

#[test]
fn a_lease_ends_unless_renewed_and_counts_from_when_the_target_spoke() {
    let start = Instant::now();
    let lease = Settings::default().lease;
    let (mut one, mut two) = (view("one", "jakarta"), view("two", "jakarta"));
    assert_eq!(one.announce(engine(1), start), Ok(true));
    assert_eq!(one.announce(engine(1), start), Ok(false));
    tell(&one, &mut two, start + lease / 2);
    assert!(serves(&two, start + lease / 2));
    assert!(!serves(&two, start + lease), "a copy gives no longer lease");
    assert!(!serves(&one, start + lease));
    assert_eq!(two.expire(start + lease / 2, start + lease).len(), 1);
    let report = two.sent(&"engine".into(), start + lease).unwrap();
    assert_eq!((report.by.as_str(), report.age_ms), ("one", 5000));
}

#[test]
fn a_leave_holds_against_renewals_of_the_same_process_and_ends_with_the_next() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let (mut one, mut two) = (view("one", "jakarta"), view("two", "jakarta"));
    one.announce(engine(1), start).unwrap();
    tell(&one, &mut two, start);
    assert!(one.leave(&"engine".into()));
    two.announce(engine(1), later).unwrap();
    tell(&two, &mut one, later);
    assert!(!serves(&one, later), "a renewal that crossed the leave does not undo it");
    assert!(one.unsent(later).reports.iter().any(|sent| sent.leaving), "the leave is told again");
    tell(&one, &mut two, later);
    assert!(!serves(&two, later));
    two.announce(engine(2), later).unwrap();
    tell(&two, &mut one, later);
    assert!(serves(&one, later) && serves(&two, later));
}

#[test]
fn other_regions_know_the_capacity_but_not_the_targets() {
    let now = Instant::now();
    let (mut near, mut far) = (view("one", "jakarta"), view("two", "surabaya"));
    let load = Load { running: 3, waiting: 2, slots: 8, waiting_tokens: 0 };
    near.announce(Announcement { load, ..engine(1) }, now).unwrap();
    far.merge(&Gossip { summaries: vec![near.summary(now, |_| true)], ..near.all(now) }, now);
    assert!(!serves(&far, now));
    let need = need();
    let (region, capacity) = far.elsewhere(&need, now).next().unwrap();
    assert_eq!(region.as_str(), "jakarta");
    assert_eq!((capacity.targets, capacity.free, capacity.waiting), (1, 5, 2));
    assert_eq!(far.elsewhere(&need, now + Settings::default().summary).count(), 0);
    far.merge(&Gossip { summaries: vec![near.summary(now, |_| false)], ..Gossip::default() }, now);
    assert_eq!(far.elsewhere(&need, now).count(), 1, "no newer than the one known");
}

#[test]
fn nonsense_is_refused() {
    let settings = Settings::default();
    let mut view = view("one", "jakarta");
    let long = "x".repeat(settings.name + 1);
    let unspecified = ([0, 0, 0, 0], 9).into();
    let cases = [
        (Announcement { offers: vec![], ..engine(1) }, Nonsense::NoOffers),
        (
            Announcement { offers: vec![service("s"); settings.offers + 1], ..engine(1) },
            Nonsense::TooMany(settings.offers),
        ),
        (Announcement { offers: vec![service(&long)], ..engine(1) }, Nonsense::Name(128)),
        (Announcement { target: id::Target::from(""), ..engine(1) }, Nonsense::Name(128)),
        (Announcement { address: unspecified, ..engine(1) }, Nonsense::Address(unspecified)),
        (Announcement { region: "mars".into(), ..engine(1) }, Nonsense::Region("jakarta".into())),
    ];
    for (announcement, refusal) in cases {
        assert_eq!(view.announce(announcement, Instant::now()), Err(refusal));
    }
    let offer = Offer::Model { model: "m".into(), version: "".into(), adapters: vec![] };
    assert!(
        view.announce(Announcement { offers: vec![offer], ..engine(1) }, Instant::now()).is_err()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// However copies are reordered and repeated, all VMs come to agree, and none serves a target
    /// whose latest process leaves.
    #[test]
    fn views_agree_whatever_the_order(
        steps in prop::collection::vec((0..3_usize, 0..4_u8, 1..4_u64), 1..40),
        order in prop::collection::vec((0..3_usize, 0..1000_usize), 0..80),
    ) {
        let mut now = Instant::now();
        let mut views = ["one", "two", "three"].map(|vm| view(vm, "jakarta"));
        let mut sent = Vec::new();
        let mut left = 0;
        for (place, action, incarnation) in steps {
            now += Duration::from_millis(10);
            if action == 0 && views[place].leave(&"engine".into()) {
                left = left.max(views[place].sent(&"engine".into(), now).unwrap().incarnation);
            } else {
                views[place].announce(engine(incarnation), now).unwrap();
            }
            sent.extend(views[place].sent(&"engine".into(), now).map(|report| (report, now)));
        }
        let told = order.iter().map(|(to, pick)| (*to, pick % sent.len()));
        let all = (0..3).flat_map(|to| (0..sent.len()).map(move |pick| (to, pick)));
        for (to, pick) in told.chain(all) {
            let (mut report, at) = sent[pick].clone();
            report.age_ms += u64::try_from((now - at).as_millis()).unwrap();
            views[to].merge(&Gossip { reports: vec![report], ..Gossip::default() }, now);
        }
        let known = views.each_ref().map(|view| view.sent(&"engine".into(), now).map(|report| (report.incarnation, report.leaving)));
        prop_assert_eq!(&known[0], &known[1]);
        prop_assert_eq!(&known[1], &known[2]);
        let latest = known[0].as_ref().map_or(0, |known| known.0);
        prop_assert!(left < latest || left == 0 || !serves(&views[0], now));
    }
}

/// Bytes a second that the busiest VM, a relay, sends of targets at the size of the design.
#[test]
fn the_cost_of_renewals_and_summaries_stays_in_budget() {
    const VMS: usize = 13;
    const REGIONS: usize = 27;
    const MODELS: usize = 15;
    const SUMMARY_SECONDS: f64 = 0.4 * REGIONS as f64;
    const DEGREE: usize = 2;
    const BATCHES: usize = 5;
    const BUDGET: f64 = 10_000.0;
    let load = Load { running: 40, waiting: 12, slots: 256, waiting_tokens: 20_000 };
    let now = Instant::now();
    for targets in [10, 70, 300] {
        let mut view = view("jakarta-01", "jakarta");
        let mut bytes = 0;
        for batch in 0..=BATCHES {
            for number in 0..targets {
                let target = id::Target::from(format!("engine-{number:04}"));
                let offers = vec![model(&format!("model-{:02}", number % MODELS))];
                view.announce(Announcement { target, offers, load, ..engine(1) }, now).unwrap();
            }
            let told = prost::Message::encoded_len(&view.unsent(now));
            // The first batch says all of each target, once.
            bytes += if batch == 0 { 0 } else { told };
        }
        // Each VM takes its share of the targets, and renews them to each of the others.
        let renewals = bytes as f64 / BATCHES as f64 * (VMS - 1) as f64 / VMS as f64;
        let summary = prost::Message::encoded_len(&view.summary(now, |_| true));
        let copies = (REGIONS - 1) * (1 + DEGREE);
        let summaries = (summary * copies) as f64 / SUMMARY_SECONDS;
        #[expect(clippy::print_stdout, reason = "figures for docs/CAPACITY.md")]
        {
            println!(
                "targets, {targets} in the region: {renewals:.0} B/s of renewals by each VM, {summaries:.0} B/s of summaries by a relay ({summary} B each)"
            );
        }
        assert!(renewals + summaries < BUDGET);
    }
}

#[test]
fn a_shortened_renewal_extends_the_lease_only_of_the_process_it_names() {
    let start = Instant::now();
    let later = start + Duration::from_secs(4);
    let (mut one, mut two, mut three) =
        (view("one", "jakarta"), view("two", "jakarta"), view("three", "jakarta"));
    one.announce(engine(2), start).unwrap();
    two.merge(&one.unsent(start), start);
    three.announce(engine(1), start).unwrap();
    one.announce(engine(2), later).unwrap();
    let short = one.unsent(later);
    assert!(short.reports.is_empty() && short.renewals.is_some());
    two.merge(&short, later);
    three.merge(&short, later);
    let end = start + Settings::default().lease;
    assert!(serves(&two, end) && !serves(&three, end));
}

#[test]
fn a_vm_that_missed_an_announcement_asks_for_it_at_the_next_renewal() {
    let mut now = Instant::now();
    let mut later = || {
        now += Duration::from_millis(10);
        now
    };
    let (mut one, mut two) = (view("one", "jakarta"), view("two", "jakarta"));
    let changed = Announcement { offers: vec![model("m"), model("n")], ..engine(1) };
    for announced in [engine(1), changed] {
        one.announce(announced.clone(), later()).unwrap();
        let _missed = one.unsent(later());
        one.announce(announced.clone(), later()).unwrap();
        let now = later();
        two.merge(&one.unsent(now), now);
        let (asked, asks) = two.take_wanted().pop().unwrap();
        assert_eq!(asked.as_str(), "one");
        one.merge(&asks, later());
        let now = later();
        two.merge(&one.unsent(now), now);
        assert_eq!(two.usable(now).next().unwrap().offers, announced.offers);
        one.announce(announced, later()).unwrap();
        let now = later();
        two.merge(&one.unsent(now), now);
        assert!(two.take_wanted().is_empty());
    }
}

#[test]
fn a_short_renewal_does_not_undo_a_leave_and_has_it_told_again() {
    let start = Instant::now();
    let (mut one, mut two) = (view("one", "jakarta"), view("two", "jakarta"));
    one.announce(engine(1), start).unwrap();
    two.merge(&one.unsent(start), start);
    two.leave(&"engine".into());
    let later = start + Duration::from_secs(1);
    one.announce(engine(1), later).unwrap();
    let short = one.unsent(later);
    assert!(short.renewals.is_some());
    two.unsent(later);
    two.merge(&short, later);
    assert!(!serves(&two, later));
    one.merge(&two.unsent(later), later);
    assert!(!serves(&one, later));
}

/// Receivers take summaries written within 250 ms for one; what changed right after a summary was
/// lost to other regions until the next one, 10.8 s with 27 regions.
#[test]
fn a_change_right_after_a_summary_is_told_again_before_the_next_one() {
    let start = Instant::now();
    let interval = Duration::from_secs(10);
    let mut telling = pomelogate::target::Telling::new(start);
    let mut told = Vec::new();
    for step in 0..20 {
        let at = Duration::from_millis(200 * step);
        if telling.is_due(start + at, step == 1, interval) {
            told.push(at.as_millis());
        }
    }
    assert_eq!(told, [0, 200, 600]);
}

/// An announcement of another writer with the highest incarnation must not hold a target's
/// identifier for longer than its lease.
#[test]
fn a_sound_target_is_back_after_the_lease_of_an_odd_announcement() {
    let lease = Settings::default().lease;
    let mut now = Instant::now();
    let mut view = view("one", "jakarta");
    let max = u32::MAX;
    let load = Load { running: max, waiting: max, slots: max, waiting_tokens: max };
    let odd = Announcement { load, models: max, offers: vec![service("odd")], ..engine(u64::MAX) };
    view.announce(odd, now).expect("announced");
    assert!(!serves(&view, now));
    let end = now + lease * 4;
    while !serves(&view, now) && now < end {
        view.announce(engine(1), now).expect("announced");
        let before = now;
        now += lease / 8;
        view.expire(before, now);
    }
    assert!(serves(&view, now));
}

/// Messages of other VMs are data: odd ones are left out, and sums of loads don't overflow.
#[test]
fn odd_gossip_is_left_out() {
    let now = Instant::now();
    let (mut one, mut other) = (view("one", "jakarta"), view("other", "jakarta"));
    let max = u32::MAX;
    let load = Load { running: 0, waiting: max, slots: max, waiting_tokens: max };
    for target in ["engine", "second"] {
        let announcement = Announcement { target: target.into(), load, ..engine(1) };
        one.announce(announcement, now).expect("announced");
    }
    let sound = one.sent(&"engine".into(), now).expect("known");
    let odd_addresses = ["10.0.0.9:0", "0.0.0.0:1", "10.0.0.9:65536", "nowhere"].map(|address| {
        let mut report = sound.clone();
        (report.target, report.address) = (format!("odd at {address}"), address.to_owned());
        report
    });
    let mut old = sound.clone();
    (old.target, old.age_ms) = ("old".to_owned(), u64::MAX);
    let mut reports = odd_addresses.to_vec();
    reports.extend([old, sound, one.sent(&"second".into(), now).expect("known")]);
    let summary = Summary { region: "mars".to_owned(), age_ms: u64::MAX, lines: Vec::new() };
    other.merge(&Gossip { reports, summaries: vec![summary], ..Gossip::default() }, now);
    assert!(serves(&other, now));
    for report in ["odd at 10.0.0.9:0", "odd at 0.0.0.0:1", "odd at nowhere"] {
        assert!(other.sent(&report.into(), now).is_none(), "{report}");
    }
    let _ = other.summary(now, |_| true);
}
