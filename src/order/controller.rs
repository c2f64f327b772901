use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Action, Demand, Engine, Fence, Instruction, Settings, Weights};
use crate::id;

/// Keeps each allowed model on enough targets of each region for its demand.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use pomelogate::order::{Action, Controller, Demand, Engine, Fence, Settings, Weights};
///
/// let weights = Weights { model: "plum".into(), version: "1".into(), adapter: None };
/// let demand = Demand { region: "a".into(), weights, busy: 0.4, minimum: 1 };
/// let engine = Engine {
///     target: "engine-1".into(),
///     region: "a".into(),
///     loaded: Vec::new(),
///     slots: 1,
///     fenced: true,
///     leaving: false,
/// };
/// let now = Instant::now();
/// let fence = Fence { number: 7, issued: now, until: now + Duration::from_secs(5) };
/// let mut controller = Controller::new(Settings::default());
/// let orders = controller.decide(&[demand], &[engine], Some(fence), now);
/// assert_eq!((orders.len(), orders[0].fence), (1, 7));
/// assert!(matches!(orders[0].action, Action::Load(_)));
/// ```
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    pending: HashMap<id::Target, Pending>,
    paused: HashMap<id::Target, Instant>,
    arrived: HashMap<(id::Target, Weights), Instant>,
    loads: VecDeque<Instant>,
}

#[derive(Debug)]
struct Pending {
    action: Action,
    until: Instant,
}

/// One decision: what is known, and how many targets hold each model at its end.
struct Round<'a> {
    engines: &'a [Engine],
    demands: BTreeMap<(&'a id::Region, &'a Weights), &'a Demand>,
    fence: Fence,
    now: Instant,
}

impl Controller {
    /// Creates a controller that knows of no order.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pending: HashMap::new(),
            paused: HashMap::new(),
            arrived: HashMap::new(),
            loads: VecDeque::new(),
        }
    }

    /// A controller that takes over from one whose loads it does not know: it takes the weight
    /// store's rate as used up at `now`.
    #[must_use]
    pub fn resumed(settings: Settings, now: Instant) -> Self {
        let loads = std::iter::repeat_n(now, settings.loads).collect();
        Self { loads, ..Self::new(settings) }
    }

    /// The orders to give now. Without a lease that outlasts their deadline there are none.
    pub fn decide(
        &mut self,
        demands: &[Demand],
        engines: &[Engine],
        fence: Option<Fence>,
        now: Instant,
    ) -> Vec<Instruction> {
        self.observe(engines, now);
        let Some(fence) = fence.filter(|fence| now + self.settings.deadline < fence.until) else {
            return Vec::new();
        };
        let demands = demands.iter().map(|demand| ((&demand.region, &demand.weights), demand));
        let round = Round { engines, demands: demands.collect(), fence, now };
        let mut orders = Vec::new();
        for demand in round.by_need() {
            if !self.lacks(demand, &round) {
                continue;
            }
            if let Some(order) = self.load(demand, &round) {
                orders.push(order);
            }
        }
        orders
    }

    /// Takes a target's refusal of an order, or the failure to reach it.
    pub fn refused(&mut self, target: &id::Target, now: Instant) {
        self.pending.remove(target);
        self.paused.insert(target.clone(), now + self.settings.refusal_pause);
    }

    /// The orders that no announcement has confirmed yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn observe(&mut self, engines: &[Engine], now: Instant) {
        let window = self.settings.window;
        self.loads.retain(|at| now.saturating_duration_since(*at) < window);
        self.paused.retain(|_, until| *until > now);
        let loaded: HashMap<&id::Target, &Engine> =
            engines.iter().map(|engine| (&engine.target, engine)).collect();
        self.arrived.retain(|(target, weights), _| {
            loaded.get(target).is_some_and(|engine| engine.loaded.contains(weights))
        });
        for engine in engines {
            for weights in &engine.loaded {
                let at = (engine.target.clone(), weights.clone());
                self.arrived.entry(at).or_insert(now);
            }
        }
        self.pending.retain(|target, pending| {
            !loaded.get(target).is_some_and(|engine| pending.confirmed(engine))
        });
        let late: Vec<id::Target> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(target, _)| target.clone())
            .collect();
        for target in late {
            self.refused(&target, now);
        }
    }

    /// Whether `demand` needs one more target than hold or load its weights.
    fn lacks(&self, demand: &Demand, round: &Round<'_>) -> bool {
        let held = self.held(demand, round);
        held < demand.minimum || demand.busy > self.settings.high * held as f64
    }

    /// Whether `demand` would do with one target fewer.
    fn spares(&self, demand: &Demand, round: &Round<'_>) -> bool {
        let rest = self.held(demand, round).saturating_sub(1);
        rest >= demand.minimum && demand.busy <= self.settings.low * rest as f64
    }

    fn held(&self, demand: &Demand, round: &Round<'_>) -> usize {
        let near = round.engines.iter().filter(|engine| engine.region == demand.region);
        near.filter(|engine| !engine.leaving)
            .filter(|engine| {
                match self.pending.get(&engine.target).map(|pending| &pending.action) {
                    Some(Action::Load(weights)) if *weights == demand.weights => true,
                    Some(Action::Unload(weights)) if *weights == demand.weights => false,
                    _ => engine.loaded.contains(&demand.weights),
                }
            })
            .count()
    }

    /// The order that brings `demand` nearer to one more target: a load, or room for it.
    fn load(&mut self, demand: &Demand, round: &Round<'_>) -> Option<Instruction> {
        let free: Vec<&Engine> =
            round.engines.iter().filter(|engine| self.open(engine, demand, round)).collect();
        if self.loads.len() >= self.settings.loads {
            return None;
        }
        if let Some(engine) = free.iter().find(|engine| engine.loaded.len() < engine.slots) {
            self.loads.push_back(round.now);
            return Some(self.order(engine, Action::Load(demand.weights.clone()), round));
        }
        let (engine, weights) = free.iter().find_map(|engine| {
            let victim = engine.loaded.iter().find(|held| self.removable(engine, held, round))?;
            Some((*engine, victim.clone()))
        })?;
        Some(self.order(engine, Action::Unload(weights), round))
    }

    /// Whether a target may get an order for `demand` now.
    fn open(&self, engine: &Engine, demand: &Demand, round: &Round<'_>) -> bool {
        let ready = round.fence.issued + self.settings.lease + self.settings.deadline;
        engine.region == demand.region
            && !engine.leaving
            && !engine.loaded.contains(&demand.weights)
            && !self.pending.contains_key(&engine.target)
            && !self.paused.contains_key(&engine.target)
            && (engine.fenced || round.now >= ready)
    }

    /// Whether weights may leave a target: long enough there, and not needed there.
    fn removable(&self, engine: &Engine, weights: &Weights, round: &Round<'_>) -> bool {
        let arrived = self.arrived.get(&(engine.target.clone(), weights.clone()));
        let rested = arrived
            .is_some_and(|at| round.now.saturating_duration_since(*at) >= self.settings.residence);
        let demand = round.demands.get(&(&engine.region, weights));
        rested && demand.is_none_or(|demand| self.spares(demand, round))
    }

    fn order(&mut self, engine: &Engine, action: Action, round: &Round<'_>) -> Instruction {
        let until = round.now + self.settings.patience;
        let pending = Pending { action: action.clone(), until };
        self.pending.insert(engine.target.clone(), pending);
        Instruction {
            target: engine.target.clone(),
            fence: round.fence.number,
            valid_for: self.valid_for(round),
            action,
        }
    }

    fn valid_for(&self, round: &Round<'_>) -> Duration {
        let left = round.fence.until.saturating_duration_since(round.now);
        left.min(self.settings.deadline)
    }
}

impl Pending {
    fn confirmed(&self, engine: &Engine) -> bool {
        match &self.action {
            Action::Load(weights) => engine.loaded.contains(weights),
            Action::Unload(weights) => !engine.loaded.contains(weights),
        }
    }
}

impl Round<'_> {
    /// The demands, the ones with the most work for each target that holds them first.
    fn by_need(&self) -> Vec<&Demand> {
        let mut demands: Vec<&Demand> = self.demands.values().copied().collect();
        demands.sort_by(|a, b| self.pressure(b).total_cmp(&self.pressure(a)));
        demands
    }

    fn pressure(&self, demand: &Demand) -> f64 {
        let holders = self.engines.iter().filter(|engine| {
            engine.region == demand.region
                && !engine.leaving
                && engine.loaded.contains(&demand.weights)
        });
        let floor = demand.minimum.max(1) as f64 * f64::EPSILON;
        (demand.busy + floor) / (holders.count() as f64 + f64::EPSILON)
    }
}
