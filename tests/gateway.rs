//! The gateway's decisions: which target, whether at all, and how often again.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use pomelogate::{
    gateway::{
        Admission, AdmissionQuery, Attempts, Balancer, Decision, EventSplitter, InFlight, Peers,
        Pick, Prompt, RemoteLoad, RetryBudget, TargetQuery,
    },
    id,
    registry::Target,
    route::{DeliveryMode, Route, Split},
};

fn target(name: &str, now: Instant) -> Target {
    Target {
        target: id::Target::from(name),
        incarnation: 1,
        address: ([10, 0, 0, 9], 8080).into(),
        zone: id::Zone::from("jakarta-a"),
        slots: 64,
        cold_until: now,
        silent: false,
    }
}

fn query<'a>(targets: &'a [&'a Target], prompt: &'a Prompt) -> TargetQuery<'a> {
    static ALONE: LazyLock<Peers> = LazyLock::new(Peers::default);
    TargetQuery { targets, prompt, tried: &[], cold_requests_per_sec: 3.0, peers: &ALONE }
}

fn prompt(subject: u32) -> Prompt {
    let parts = format!("aa:2500,{subject:x}:3800,{:x}:2900", subject + 1000);
    Prompt::parse(Some(&parts), Some("9200,50"))
}

fn rule(priority: u32) -> Route {
    Route {
        name: "plan".to_owned(),
        host: "example.org".to_owned(),
        prefix: "/plan/".to_owned(),
        delivery_mode: DeliveryMode::Stream,
        timeout: Duration::from_secs(4),
        latency_objective: Duration::from_millis(800),
        event_gap_objective: Duration::from_millis(600),
        priority,
        max_attempts: 1,
        keeps_prompt_parts: true,
        split: Split::single("engines".into()),
        allowed_regions: Vec::new(),
    }
}

/// Requests that share parts of their prompts, from many VMs, to few engines.
#[test]
fn requests_with_the_same_shared_parts_go_to_one_target_from_every_vm() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..6).map(|n| target(&format!("engine-{n}"), now)).collect();
    let targets: Vec<&Target> = targets.iter().collect();
    for subject in 0..40 {
        let chosen = |seed| {
            let mut balancer = Balancer::new(seed);
            balancer.choose(query(&targets, &prompt(subject)), now).expect("a target").target.target
        };
        assert_eq!(chosen(1), chosen(2), "subject {subject}");
    }
}

/// One hot subject: its keeper is busy, and the others copy its parts instead of reading them.
#[test]
fn a_busy_keeper_is_relieved_by_targets_that_copy_its_parts() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..4).map(|n| target(&format!("engine-{n}"), now)).collect();
    let targets: Vec<&Target> = targets.iter().collect();
    let mut balancer = Balancer::new(1);
    let prompt = prompt(7);
    let first = balancer.choose(query(&targets, &prompt), now).expect("a target");
    assert!(first.owns_prefix && first.cache_source.is_none());
    // Whoever sent the parts to the keeper knows that it has them.
    balancer.record_sent_untracked(&first, &prompt, now);
    balancer.record_peer_in_flight(
        "other",
        &first.target,
        InFlight { requests: 5, unread_tokens: 40_000.0, stream_gap_secs: 0.0 },
        now,
    );
    let second = balancer.choose(query(&targets, &prompt), now).expect("a target");
    assert_ne!(second.target.target, first.target.target);
    assert_eq!(second.cache_source.map(|keeper| keeper.target), Some(first.target.target));
    assert!(
        second.first_event_secs < 0.2,
        "only the own part is read: {}",
        second.first_event_secs
    );
}

/// Several VMs before the same engines, none of which sees the others' requests.
#[test]
fn work_of_the_other_vms_of_the_region_counts() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..2).map(|n| target(&format!("engine-{n}"), now)).collect();
    let targets: Vec<&Target> = targets.iter().collect();
    let mut balancer = Balancer::new(1);
    let plain = Prompt::default();
    for (loaded, free) in [(0, 1), (1, 0)] {
        let at = now + Duration::from_secs(loaded as u64);
        let work = InFlight { requests: 9, unread_tokens: 30_000.0, stream_gap_secs: 0.0 };
        balancer.record_peer_in_flight("other", targets[loaded], work, at);
        let pick = balancer.choose(query(&targets, &plain), at).expect("a target");
        assert_eq!(pick.target.target, targets[free].target);
    }
}

/// Engines that start cold bear a few requests a second over all VMs.
#[test]
fn a_cold_target_gets_this_vms_share_of_what_it_bears_and_no_more() {
    let now = Instant::now();
    let cold = Target { cold_until: now + Duration::from_secs(3), ..target("cold", now) };
    let targets = [&cold];
    let plain = Prompt::default();
    let mut balancer = Balancer::new(1);
    let mut sent = 0;
    for step in 0..40 {
        let at = now + Duration::from_millis(25 * step);
        let vms = Peers::new("one", ["one", "two", "three"].into_iter());
        let query = TargetQuery { peers: &vms, ..query(&targets, &plain) };
        if let Some(pick) = balancer.choose(query, at) {
            balancer.record_sent_untracked(&pick, &plain, at);
            sent += 1;
        }
    }
    assert_eq!(sent, 1, "a third of three a second");
}

/// Among 28 VMs each sent a cold target one request a second, ten times what it bears.
#[test]
fn cold_targets_get_what_they_bear_from_many_vms_together() {
    let now = Instant::now();
    let names: Vec<String> = (0..28).map(|number| format!("10.0.0.{number}")).collect();
    let all = || names.iter().map(String::as_str);
    let colds: Vec<Target> = (0..10)
        .map(|number| Target {
            cold_until: now + Duration::from_secs(3),
            ..target(&format!("cold-{number}"), now)
        })
        .collect();
    let plain = Prompt::default();
    let mut most_of_a_vm = 0;
    let mut sent = vec![0; colds.len()];
    for own in all() {
        let (peers, mut balancer) = (Peers::new(own, all()), Balancer::new(1));
        let mut of_vm = 0;
        for (cold, sent) in colds.iter().zip(&mut sent) {
            for step in 0..40 {
                let at = now + Duration::from_millis(25 * step);
                let targets = [cold];
                let query = TargetQuery {
                    peers: &peers,
                    cold_requests_per_sec: 2.5,
                    ..query(&targets, &plain)
                };
                if let Some(pick) = balancer.choose(query, at) {
                    balancer.record_sent_untracked(&pick, &plain, at);
                    *sent += 1;
                    of_vm += 1;
                }
            }
        }
        most_of_a_vm = most_of_a_vm.max(of_vm);
    }
    assert_eq!(sent, vec![3; colds.len()], "each target gets its rate, rounded up");
    assert!(most_of_a_vm <= 5, "other VMs for each target: {most_of_a_vm}");
}

/// 28 VMs that learn of each other's requests 400 ms late all chose the target that was the best
/// then: three targets got ten times the mean, all that was sent.
#[test]
fn many_vms_that_learn_late_of_each_other_do_not_all_choose_the_same_target() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..30).map(|number| target(&format!("{number}"), now)).collect();
    let all: Vec<&Target> = targets.iter().collect();
    let names: Vec<String> = (0..28).map(|number| format!("10.0.0.{number}")).collect();
    let word = InFlight { requests: 8, unread_tokens: 20_000.0, stream_gap_secs: 0.0 };
    let mut counts = vec![0; targets.len()];
    for (seed, own) in names.iter().enumerate() {
        let peers = Peers::new(own, names.iter().map(String::as_str));
        let mut balancer = Balancer::new(seed as u64);
        // All were told the same: three targets have little to read.
        for busy in &targets[3..] {
            balancer.record_peer_in_flight("sibling", busy, word, now);
        }
        for step in 0..20 {
            let at = now + Duration::from_millis(20 * step);
            let alone = Prompt::parse(Some(&format!("{seed:x}{step}:800")), Some("800,300"));
            let query = TargetQuery { peers: &peers, ..query(&all, &alone) };
            let pick = balancer.choose(query, at).expect("a target");
            balancer.record_sent_untracked(&pick, &alone, at);
            let place = targets.iter().position(|target| target.target == pick.target.target);
            counts[place.expect("one of them")] += 1;
        }
    }
    let (most, sum) = (counts.iter().max().expect("targets"), counts.iter().sum::<u32>());
    let mean = f64::from(sum) / targets.len() as f64;
    assert!(f64::from(*most) < 5.0 * mean, "{most} at the busiest, {mean} on average: {counts:?}");
}

/// Regions were cut from each other: each request tried three VMs there for most of a second each.
#[test]
fn a_vm_that_cannot_be_reached_gets_nothing_for_a_while() {
    let now = Instant::now();
    let (vm, seconds) = ("10.2.0.7", Duration::from_secs);
    let mut admission = Admission::default();
    assert!(!admission.is_in_backoff(vm, now));
    admission.record_unreachable(vm, now);
    // Another request that was on its way as well.
    admission.record_unreachable(vm, now + seconds(1) / 2);
    assert!(admission.is_in_backoff(vm, now + seconds(1) / 2));
    assert!(!admission.is_in_backoff(vm, now + seconds(1)), "it is tried again");
    admission.record_unreachable(vm, now + seconds(1));
    assert!(admission.is_in_backoff(vm, now + seconds(2)), "and left alone for longer");
    admission.record_reachable(vm);
    assert!(!admission.is_in_backoff(vm, now + seconds(2)));
}

/// Each VM of a region at its peak passed requests to the same one of two regions, the first by
/// name, as the least busy target had nothing to read in either.
#[test]
fn a_region_with_free_places_is_preferred_to_a_crowded_one() {
    let now = Instant::now();
    let crowded = RemoteLoad { requests_per_slot: 0.9, ..there(0.0, now) };
    let idle = RemoteLoad { region: "bandung".into(), requests_per_slot: 0.1, ..there(0.0, now) };
    let rule = rule(0);
    for order in [[crowded.clone(), idle.clone()], [idle, crowded]] {
        let mut admission = Admission::default();
        let decision = admission.decide(applicant(&rule), None, &order, 1, now);
        assert_eq!(decision, Decision::Remote("bandung".into()));
    }
}

/// Some engines answer with failures though they say that they are sound.
#[test]
fn a_target_that_fails_many_requests_is_chosen_last_but_not_shut_out() {
    let now = Instant::now();
    let targets = [target("sound", now), target("grey", now)];
    let both: Vec<&Target> = targets.iter().collect();
    let plain = Prompt::default();
    let mut balancer = Balancer::new(1);
    for _ in 0..20 {
        balancer.record_response(&targets[1], true, now);
    }
    let pick = |balancer: &mut Balancer, targets: &[&Target]| -> Pick {
        balancer.choose(query(targets, &plain), now).expect("a target")
    };
    assert_eq!(pick(&mut balancer, &both).target.target.as_str(), "sound");
    let alone = pick(&mut balancer, &both[1..]);
    assert!(
        alone.first_event_secs < 0.1,
        "failures are no delay, so admission does not refuse for them"
    );
}

fn applicant(route: &Route) -> AdmissionQuery<'_> {
    let service = route.split.services().next().expect("a service");
    AdmissionQuery {
        route,
        service,
        time_left: Duration::from_secs(4),
        unshared_tokens: 2900,
        has_started: false,
        retry_jitter: 0.5,
    }
}

fn there(min_backlog_secs: f64, now: Instant) -> RemoteLoad {
    RemoteLoad {
        region: "surabaya".into(),
        min_backlog_secs,
        requests_per_slot: 0.0,
        target_count: 6,
        capacity_scarce: false,
        received_at: now,
    }
}

/// A region at its peak beside one at its trough.
#[test]
fn a_request_goes_to_another_region_only_where_that_pays_for_the_way() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(1);
    let mut decide =
        |here, there: &[RemoteLoad]| admission.decide(applicant(&rule), here, there, 1, now);
    assert_eq!(decide(Some(0.15), &[there(0.0, now)]), Decision::Local);
    assert_eq!(decide(Some(0.5), &[there(0.0, now)]), Decision::Remote("surabaya".into()));
    assert_eq!(decide(Some(0.3), &[there(0.2, now)]), Decision::Local);
    assert_eq!(decide(None, &[there(0.0, now)]), Decision::Remote("surabaya".into()));
    assert_eq!(decide(None, &[]), Decision::NoTarget);
}

/// More callers than the engines of all regions can serve in time.
#[test]
fn what_would_be_late_everywhere_is_refused_at_once_with_the_time_to_come_back() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(1);
    let decision = admission.decide(applicant(&rule), Some(1.5), &[there(1.6, now)], 1, now);
    let Decision::Refuse(late) = decision else { panic!("{decision:?}") };
    assert!(
        late.retry_after_secs > 1.5 - late.limit_secs && late.retry_after_secs <= 3.0,
        "{late}"
    );
}

/// Under pressure the less urgent rank gives way first.
#[test]
fn the_more_urgent_rank_is_taken_at_delays_at_which_the_other_is_refused() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let mut decide = |rule: &Route| admission.decide(applicant(rule), Some(0.6), &[], 1, now);
    assert_eq!(decide(&rule(0)), Decision::Local);
    assert!(matches!(decide(&rule(1)), Decision::Refuse(_)));
}

/// A region's word is up to two seconds old, and all VMs hand over on it.
#[test]
fn hand_overs_count_on_top_of_what_a_region_last_told() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(1);
    let region = id::Region::from("surabaya");
    let decide = |admission: &mut Admission, rule: &Route| {
        admission.decide(applicant(rule), Some(0.45), &[there(0.0, now)], 3, now)
    };
    for _ in 0..200 {
        admission.record_handover(&region, &"engines".into(), 9200, now);
    }
    assert_eq!(decide(&mut admission, &rule), Decision::Local);
    // Those of one service say nothing of the targets of another.
    let jobs = Route { split: Split::single("jobs".into()), ..rule };
    assert_eq!(decide(&mut admission, &jobs), Decision::Remote(region));
}

#[test]
fn repeats_over_all_vms_stay_within_the_budget_in_every_window() {
    let (vms, ratio, slack) = (8, 0.2, 56.0);
    let window = Duration::from_secs(10);
    let service = id::Service::from("engines");
    let start = Instant::now();
    let mut budgets: Vec<RetryBudget> =
        (0..vms).map(|_| RetryBudget::new(ratio, slack, window)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_vm_count(vms));
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..30_000u64 {
        let now = start + Duration::from_millis(step);
        let budget = &mut budgets[(step % u64::from(vms)) as usize];
        if step % 7 == 0 {
            budget.record_request(&service, now);
            requests.push(step);
        }
        if budget.spend_retry(&service, now) {
            repeats.push(step);
        }
    }
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + 10_000).contains(*time)).count() as f64
    };
    for from in (0..20_000).step_by(50) {
        let allowed = ratio * within(&requests, from) + slack;
        assert!(within(&repeats, from) <= allowed, "from {from} ms");
    }
    assert!(repeats.len() > 100, "the budget is used");
}

#[test]
fn a_stream_is_cut_at_whole_events_wherever_its_bytes_are_split() {
    let whole: String = (1..20).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n))).collect();
    for size in 1..60 {
        let mut events = EventSplitter::default();
        let mut passed = Vec::new();
        for chunk in whole.as_bytes().chunks(size) {
            passed.extend_from_slice(&events.push(chunk));
            assert!(passed.is_empty() || passed.ends_with(b"\n\n"), "chunks of {size}");
        }
        assert_eq!((passed.as_slice(), events.last_id()), (whole.as_bytes(), Some(19)));
    }
}

/// Long prompts beside many streams: each read prompt delays every stream of its engine.
#[test]
fn a_long_prompt_goes_where_few_streams_are_and_a_stream_where_pauses_are_short() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..2).map(|n| target(&format!("engine-{n}"), now)).collect();
    let targets: Vec<&Target> = targets.iter().collect();
    let mut balancer = Balancer::new(1);
    balancer.record_peer_in_flight(
        "other",
        targets[0],
        InFlight { requests: 40, unread_tokens: 0.0, stream_gap_secs: 0.02 },
        now,
    );
    balancer.record_peer_in_flight(
        "other",
        targets[1],
        InFlight { requests: 4, unread_tokens: 0.0, stream_gap_secs: 0.3 },
        now,
    );
    let long = Prompt::parse(Some("aa:9000"), Some("9000,50"));
    let chat = Prompt::parse(Some("bb:800"), Some("800,300"));
    let pick = |balancer: &mut Balancer, prompt: &Prompt| {
        balancer.choose(query(&targets, prompt), now).expect("a target").target.target
    };
    assert_eq!(pick(&mut balancer, &long), targets[1].target);
    assert_eq!(pick(&mut balancer, &chat), targets[0].target);
}

/// A stream that breaks off midway, while targets are busy.
#[test]
fn a_stream_that_broke_off_is_gone_on_with_however_late() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(0);
    let mut decide = |applicant| admission.decide(applicant, Some(1.1), &[], 1, now);
    assert!(matches!(decide(applicant(&rule)), Decision::Refuse(_)));
    assert_eq!(decide(AdmissionQuery { has_started: true, ..applicant(&rule) }), Decision::Local);
}

/// After a loss of power, requests that were refused elsewhere first found free targets and were
/// refused for the time that they had waited.
#[test]
fn a_request_that_has_waited_is_served_late_where_targets_are_free() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(0);
    let time_left = Duration::from_secs(2);
    let waited = AdmissionQuery { time_left, ..applicant(&rule) };
    assert_eq!(admission.decide(waited, Some(0.1), &[], 1, now), Decision::Local);
    let time_left = Duration::from_millis(100);
    let hopeless = AdmissionQuery { time_left, ..applicant(&rule) };
    assert!(matches!(admission.decide(hopeless, Some(0.1), &[], 1, now), Decision::Refuse(_)));
}

/// Engines that hang or are cut off answer nothing, and say nothing either.
#[test]
fn a_target_that_gives_no_sign_of_life_for_its_work_gets_no_more() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..2).map(|n| target(&format!("engine-{n}"), now)).collect();
    let targets: Vec<&Target> = targets.iter().collect();
    let plain = Prompt::default();
    let mut balancer = Balancer::new(1);
    let first = balancer.choose(query(&targets, &plain), now).expect("a target");
    balancer.record_sent_untracked(&first, &plain, now);
    for step in 0..20 {
        let at = now + Duration::from_millis(1500 + 10 * step);
        let pick = balancer.choose(query(&targets, &plain), at).expect("a target");
        assert_ne!(pick.target.target, first.target.target);
    }
    let at = now + Duration::from_millis(1700);
    balancer.record_activity(&first.target, at);
    let only = [&first.target];
    assert!(balancer.choose(query(&only, &plain), at).is_some());
}

/// An incident: requests that were handed over, failed there and failed here once more ran on a
/// third target, as the failure gave the second one's place back.
#[test]
fn a_request_never_runs_on_more_targets_than_its_rule_allows() {
    let name = |n: u64| id::Target::from(format!("engine-{n}"));
    let mut random = 1u64;
    for round in 0..2000 {
        let most = 1 + round % 3;
        let mut attempts = Attempts::new(most);
        let (mut here, mut elsewhere) = (std::collections::BTreeSet::new(), 0);
        while attempts.may_attempt() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let draw = random >> 33;
            let target = attempts.only_target().cloned().unwrap_or_else(|| name(draw % 4));
            if attempts.only_target().is_none() && draw.is_multiple_of(3) {
                attempts.record_remote_run();
                elsewhere += 1;
                continue;
            }
            attempts.record_run(&target);
            here.insert(target.clone());
            if draw.is_multiple_of(2) {
                attempts.record_failure(&target);
            }
        }
        assert!(here.len() as u32 + elsewhere <= most, "round {round}");
    }
}

/// An incident: a region with two engines looked free by its word of a second ago, and all VMs of
/// the other regions handed over to it, to be refused there. It is still the place for those that
/// may go nowhere else.
#[test]
fn a_region_that_refused_a_hand_over_gets_fewer_for_a_while() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let rule = rule(0);
    let region = id::Region::from("surabaya");
    let decide = |admission: &mut Admission, here, now| {
        admission.decide(applicant(&rule), here, &[there(0.0, now)], 1, now)
    };
    let goes = Decision::Remote(region.clone());
    assert_eq!(decide(&mut admission, Some(0.3), now), goes);
    admission.record_refused_handover(&region, &"engines".into(), now);
    assert_eq!(decide(&mut admission, Some(0.3), now), Decision::Local);
    assert_eq!(decide(&mut admission, None, now), goes);
    assert_eq!(decide(&mut admission, Some(0.3), now + Duration::from_secs(1)), goes);
}

/// A zone is emptied: some requests may go to one other region only, the rest to any.
#[test]
fn work_that_may_go_anywhere_gives_way_where_home_bound_work_is_refused() {
    let now = Instant::now();
    let mut admission = Admission::default();
    let free = rule(1);
    let bound = Route { allowed_regions: vec!["jakarta".into()], ..rule(0) };
    let decide = |admission: &mut Admission, rule: &Route, here, capacity_scarce| {
        let there = RemoteLoad { capacity_scarce, ..there(0.1, now) };
        admission.decide(applicant(rule), Some(here), &[there], 1, now)
    };
    assert_eq!(decide(&mut admission, &free, 0.2, false), Decision::Local);
    let refused = admission.decide(applicant(&bound), Some(0.9), &[], 1, now);
    assert!(matches!(refused, Decision::Refuse(_)));
    assert_eq!(decide(&mut admission, &free, 0.2, false), Decision::Remote("surabaya".into()));
    assert_eq!(decide(&mut admission, &free, 0.2, true), Decision::Local, "scarce there too");
}
