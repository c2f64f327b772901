//! Orders under changing demand, refusals, lost leases and changes of leader, on a clock that
//! the test moves and engines that obey or don't.

use std::time::{Duration, Instant};

use pomelogate::order::{
    Action, Controller, Demand, Engine, Fence, Instruction, Settings, Weights,
};

const STEP: Duration = Duration::from_secs(10);

fn weights(model: &str) -> Weights {
    Weights { model: model.into(), version: "1".into(), adapter: None }
}

fn engine(number: usize, loaded: &[&str]) -> Engine {
    Engine {
        target: format!("engine-{number}").into(),
        region: "a".into(),
        loaded: loaded.iter().map(|model| weights(model)).collect(),
        slots: 1,
        fenced: true,
        leaving: false,
    }
}

fn demand(model: &str, busy: f64) -> Demand {
    Demand { region: "a".into(), weights: weights(model), busy, minimum: 1 }
}

fn fence(now: Instant) -> Option<Fence> {
    let issued = now.checked_sub(Duration::from_secs(100)).unwrap_or(now);
    Some(Fence { number: 1, issued, until: now + Duration::from_secs(5) })
}

fn obey(engines: &mut [Engine], orders: &[Instruction]) {
    for order in orders {
        let engine = engines.iter_mut().find(|engine| engine.target == order.target).expect("it");
        match &order.action {
            Action::Load(weights) => engine.loaded.push(weights.clone()),
            Action::Unload(weights) => engine.loaded.retain(|held| held != weights),
        }
        assert!(engine.loaded.len() <= engine.slots);
    }
}

fn holders(engines: &[Engine], model: &str) -> usize {
    engines.iter().filter(|engine| engine.loaded.contains(&weights(model))).count()
}

#[test]
fn a_peak_takes_idle_targets_within_the_rate_and_leaves_each_model_one() {
    let mut engines: Vec<Engine> =
        (0..12).map(|number| engine(number, &[if number < 10 { "plum" } else { "fig" }])).collect();
    let settings = Settings { loads: 2, ..Settings::default() };
    let mut controller = Controller::new(settings.clone());
    let mut now = Instant::now();
    controller.decide(&[demand("plum", 0.1), demand("fig", 0.1)], &engines, fence(now), now);
    now += settings.residence;
    let mut loads = Vec::new();
    for _ in 0..120 {
        now += STEP;
        let demands = [demand("plum", 0.1), demand("fig", 6.0)];
        let orders = controller.decide(&demands, &engines, fence(now), now);
        let loaded = orders.iter().filter(|order| matches!(order.action, Action::Load(_)));
        loads.extend(loaded.map(|_| now));
        obey(&mut engines, &orders);
    }
    assert!(holders(&engines, "fig") >= 8, "{engines:?}");
    assert!(holders(&engines, "plum") >= 1);
    for (place, at) in loads.iter().enumerate() {
        let within = loads[place..].iter().filter(|other| **other - *at < settings.window);
        assert!(within.count() <= settings.loads);
    }
}

#[test]
fn demand_that_swings_does_not_make_it_thrash() {
    let mut engines: Vec<Engine> =
        (0..4).map(|number| engine(number, &[if number < 2 { "plum" } else { "fig" }])).collect();
    let mut controller = Controller::new(Settings::default());
    let mut now = Instant::now();
    let mut orders = 0;
    for round in 0..360 {
        now += STEP;
        let (plum, fig) = if round % 2 == 0 { (1.7, 0.3) } else { (0.3, 1.7) };
        let given = controller.decide(
            &[demand("plum", plum), demand("fig", fig)],
            &engines,
            fence(now),
            now,
        );
        orders += given.len();
        obey(&mut engines, &given);
    }
    assert!(orders <= 2 * 3600 / 600 * 4, "{orders} orders in an hour");
}

#[test]
fn a_target_that_refuses_or_stays_silent_is_left_alone_for_a_while() {
    let engines = [engine(0, &[])];
    let settings = Settings::default();
    let mut controller = Controller::new(settings.clone());
    let mut now = Instant::now();
    let demands = [demand("plum", 0.5)];
    let decide = |controller: &mut Controller, now: Instant| {
        controller.decide(&demands, &engines, fence(now), now).len()
    };
    assert_eq!(decide(&mut controller, now), 1);
    assert_eq!(decide(&mut controller, now), 0, "it is under way");
    controller.refused(&engines[0].target, now);
    assert_eq!(decide(&mut controller, now), 0);
    now += settings.refusal_pause;
    assert_eq!(decide(&mut controller, now), 1);
    now += settings.patience;
    assert_eq!(decide(&mut controller, now), 0, "no announcement came");
    now += settings.refusal_pause;
    assert_eq!(decide(&mut controller, now), 1);
}

#[test]
fn no_order_without_a_lease_and_none_that_outlives_it() {
    let engines = [engine(0, &[])];
    let settings = Settings::default();
    let demands = [demand("plum", 0.5)];
    let now = Instant::now();
    let lease = |left| Some(Fence { number: 1, issued: now, until: now + left });
    let mut controller = Controller::new(settings.clone());
    assert!(controller.decide(&demands, &engines, None, now).is_empty());
    assert!(controller.decide(&demands, &engines, lease(settings.deadline), now).is_empty());
    let left = settings.deadline + Duration::from_millis(1);
    let orders = controller.decide(&demands, &engines, lease(left), now);
    assert!(orders[0].valid_for <= left);
}

#[test]
fn a_new_leader_waits_out_the_old_lease_before_a_target_that_ignores_fencing() {
    let unfenced = Engine { fenced: false, ..engine(0, &[]) };
    let settings = Settings::default();
    let demands = [demand("plum", 0.5)];
    let issued = Instant::now();
    let at = |now: Instant| Some(Fence { number: 2, issued, until: now + settings.lease });
    let mut controller = Controller::new(settings.clone());
    let wait = settings.lease + settings.deadline;
    let before = issued + wait - Duration::from_millis(1);
    let engines = [unfenced];
    assert!(controller.decide(&demands, &engines, at(before), before).is_empty());
    let after = issued + wait;
    assert_eq!(controller.decide(&demands, &engines, at(after), after).len(), 1);
    let fenced = [engine(1, &[])];
    let mut controller = Controller::new(settings.clone());
    assert_eq!(controller.decide(&demands, &fenced, at(issued), issued).len(), 1);
}

#[test]
fn a_controller_that_takes_over_loads_nothing_for_a_window() {
    let engines: Vec<Engine> = (0..3).map(|number| engine(number, &[])).collect();
    let settings = Settings::default();
    let demands = [Demand { minimum: 3, ..demand("plum", 0.0) }];
    let start = Instant::now();
    let mut controller = Controller::resumed(settings.clone(), start);
    let before = start + settings.window - Duration::from_millis(1);
    assert!(controller.decide(&demands, &engines, fence(before), before).is_empty());
    let after = start + settings.window;
    assert_eq!(controller.decide(&demands, &engines, fence(after), after).len(), 1);
}
