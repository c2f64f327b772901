use std::{
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use futures_util::future::join_all;
use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{Vm, agreement::LISTS, deliver::deliver, node::lock};
use crate::{
    consensus, event, id,
    list::Book,
    list_state::{self, Command},
    order::{
        Answer, Ask, Controller, Decision, Demand, Engine, Fence, Grant, Holder, Instruction,
        Message as Order, Proof, Weights,
    },
    settings::{Peer, Stock},
    target::{Announcement, Offer},
    wire::Topic,
};

/// Time between two looks at what targets should hold.
const STEP: Duration = Duration::from_millis(500);
/// How long the question for a grant may take; a later answer would be worth nothing.
const ASK: Duration = Duration::from_millis(600);
/// How long issuing a fencing number may take.
const ISSUE: Duration = Duration::from_secs(2);

/// What the VM that gives a region's orders keeps.
#[derive(Debug)]
struct Right {
    fence: Fence,
    controller: Controller,
}

impl Vm {
    /// Gives orders to the targets of this region whenever this VM holds the right to.
    pub(super) async fn tend_orders(self: Arc<Self>) {
        if self.settings.orders.weights.is_empty() || !self.follows() {
            return;
        }
        let mut right: Option<Right> = None;
        let mut leader = None;
        loop {
            Timer::after(STEP).await;
            let now = self.clock.now();
            if self.is_stopping() || !self.members().is_first_relay(now) {
                continue;
            }
            if let Some(fence) = self.ask_for_grant(&mut leader, right.as_ref()).await {
                self.take_right(&mut right, fence);
            }
            if let Some(right) = &mut right {
                self.order(right).await;
            }
        }
    }

    /// Takes a renewed right, or one with a new number: then nothing is known of earlier orders.
    fn take_right(&self, right: &mut Option<Right>, fence: Fence) {
        match right {
            Some(right) if right.fence.number == fence.number => right.fence = fence,
            _ => {
                event::lists::ORDERS_HELD.emit(&self.logger, &[("fence", &fence.number)]);
                let settings = self.settings.orders.settings();
                let controller = Controller::resumed(settings, fence.issued);
                *right = Some(Right { fence, controller });
            }
        }
    }

    /// Asks the leader of the lists' group, trying each replica until one leads.
    async fn ask_for_grant(
        &self,
        leader: &mut Option<id::Vm>,
        right: Option<&Right>,
    ) -> Option<Fence> {
        let mut replicas = self.replicas();
        replicas.sort_by_key(|peer| Some(&peer.vm) != leader.as_ref());
        for peer in replicas {
            let asked = self.clock.now();
            let Some(grant) = self.ask_one(&peer).await else { continue };
            if grant.number > 0 {
                *leader = Some(peer.vm);
                return Some(fence(&grant, asked, right));
            }
            if grant.leader == peer.vm.as_str() {
                *leader = Some(peer.vm);
                return None;
            }
            *leader = (!grant.leader.is_empty()).then(|| grant.leader.as_str().into());
        }
        None
    }

    async fn ask_one(&self, peer: &Peer) -> Option<Grant> {
        let region = self.settings.region.to_string();
        let ask = Ask { region, incarnation: self.incarnation };
        if peer.vm == self.settings.vm {
            return Some(self.grant(&peer.vm, &ask).await);
        }
        let payload = Bytes::from(ask.encode_to_vec());
        let reply = self.hub.call(peer.links, Topic::Orders, payload, ASK).await.ok()?;
        Grant::decode(reply).ok()
    }

    /// Answers another VM's question for the right to give orders.
    pub(super) async fn answer_ask(
        self: Arc<Self>,
        from: id::Vm,
        payload: Bytes,
        reply: Sender<Bytes>,
    ) {
        let Ok(ask) = Ask::decode(payload) else { return };
        let grant = self.grant(&from, &ask).await;
        let _ = reply.send(Bytes::from(grant.encode_to_vec())).await;
    }

    async fn grant(&self, from: &id::Vm, ask: &Ask) -> Grant {
        let Some(lists) = &self.agreement.lists else { return Grant::default() };
        let Some(proof) = lists.leader_lease().map(proof) else {
            let leader = lists.status().consensus.leader.filter(|vm| *vm != self.settings.vm);
            let leader = leader.map(|vm| vm.to_string()).unwrap_or_default();
            return Grant { leader, ..Grant::default() };
        };
        let region = id::Region::from(ask.region.as_str());
        let holder = Holder { vm: from.clone(), incarnation: ask.incarnation };
        let longest = self.settings.orders.settings().lease;
        let decision = lock(&self.leases).ask(&region, &holder, proof, longest, self.clock.now());
        let leader = self.settings.vm.to_string();
        match decision {
            Decision::Granted { number, until } => {
                let left = until.saturating_duration_since(self.clock.now());
                Grant { number, valid_ms: millis(left), leader }
            }
            Decision::Issue => {
                if let Some(number) = self.issue(from).await {
                    lock(&self.leases).issued(&region, &holder, proof.term, number);
                }
                Grant { leader, ..Grant::default() }
            }
            Decision::Denied => Grant { leader, ..Grant::default() },
        }
    }

    /// Has the group of the lists commit a new fencing number.
    async fn issue(&self, holder: &id::Vm) -> Option<u64> {
        let operation = format!("{}/{}", self.settings.vm, self.request_id());
        let command = Bytes::from(Command::fence(&operation, holder.as_str()).encode_to_vec());
        let reply = self.propose(LISTS, &self.replicas(), command, ISSUE).await.ok()?;
        match list_state::Reply::decode(reply).ok()?.verdict? {
            list_state::Verdict::Issued(issued) => Some(issued.number),
            _ => None,
        }
    }

    async fn order(&self, right: &mut Right) {
        let now = self.clock.now();
        let Some(book) = self.book() else { return };
        let targets = self.engines(now);
        let engines: Vec<Engine> = targets.iter().map(|said| self.engine(said)).collect();
        let demands = self.demands(&book, &targets);
        let fence = Some(right.fence).filter(|fence| now < fence.until);
        let orders = right.controller.decide(&demands, &engines, fence, now);
        let given = orders.iter().filter_map(|order| {
            let target = targets.iter().find(|said| said.target == order.target)?;
            Some(self.give(order, target, now))
        });
        for refused in join_all(given).await.into_iter().flatten() {
            right.controller.refused(refused, self.clock.now());
        }
    }

    /// Gives one order, decided on at `decided`; the target where it did not accept.
    async fn give<'a>(
        &self,
        order: &'a Instruction,
        target: &Announcement,
        decided: Instant,
    ) -> Option<&'a id::Target> {
        let until = decided + order.valid_for;
        let deadline = self.clock.wall() + until.saturating_duration_since(self.clock.now());
        let since = deadline.duration_since(UNIX_EPOCH).unwrap_or_default();
        let message =
            Order { fence: order.fence, deadline_ms: millis(since), action: order.action.clone() };
        let answer = deliver(&self.clock, target.address, &message, until).await;
        let action = format!("{:?}", order.action);
        let fields: [event::Field<'_>; 3] =
            [("target", &order.target), ("action", &action), ("fence", &order.fence)];
        if answer == Ok(Answer::Accepted) {
            event::lists::ORDER.emit(&self.logger, &fields);
            return None;
        }
        let cause = format!("{answer:?}");
        let [target, action, fence] = fields;
        let fields = [target, action, fence, ("cause", &cause)];
        event::lists::ORDER_REFUSED.emit(&self.logger, &fields);
        Some(&order.target)
    }

    /// The targets of this region that take orders.
    fn engines(&self, now: Instant) -> Vec<Announcement> {
        let targets = self.targets();
        targets.usable(now).filter(|said| said.models > 0).cloned().collect()
    }

    fn engine(&self, said: &Announcement) -> Engine {
        Engine {
            target: said.target.clone(),
            region: said.region.clone(),
            loaded: loaded(said).collect(),
            slots: usize::try_from(said.models).unwrap_or(usize::MAX),
            fenced: said.fenced,
            leaving: self.stops().covers_target(&said.target, &said.zone, &said.region),
        }
    }

    fn demands(&self, book: &Book, targets: &[Announcement]) -> Vec<Demand> {
        let region = &self.settings.region;
        let stocks = self.settings.orders.weights.iter();
        stocks
            .filter(|stock| is_allowed(book, region, stock))
            .map(|stock| {
                let weights = weights(&stock.model, &stock.version);
                let busy = targets.iter().map(|said| busy(said, &weights)).sum();
                Demand { region: region.clone(), weights, busy, minimum: stock.minimum }
            })
            .collect()
    }
}

/// The right that a grant gives, counted from before it was asked for.
fn fence(grant: &Grant, asked: Instant, right: Option<&Right>) -> Fence {
    let known = right.filter(|right| right.fence.number == grant.number);
    let issued = known.map_or(asked, |right| right.fence.issued);
    Fence { number: grant.number, issued, until: asked + Duration::from_millis(grant.valid_ms) }
}

fn proof(fence: consensus::LeaderLease) -> Proof {
    Proof { term: fence.term, until: fence.expires_at }
}

fn weights(model: &id::Model, version: &id::Version) -> Weights {
    Weights { model: model.clone(), version: version.clone(), adapter: None }
}

fn loaded(said: &Announcement) -> impl Iterator<Item = Weights> {
    said.offers.iter().filter_map(|offer| match offer {
        Offer::Model { model, version, .. } => Some(weights(model, version)),
        Offer::Service { .. } => None,
    })
}

/// The share of a target's batch that its work on `model` takes, were its work spread evenly.
fn busy(said: &Announcement, model: &Weights) -> f64 {
    let held = loaded(said).count();
    if !loaded(said).any(|weights| weights == *model) {
        return 0.0;
    }
    let work = said.load.running.saturating_add(said.load.waiting);
    f64::from(work) / f64::from(said.load.slots.max(1)) / held as f64
}

/// Whether any plan may use a model in a region.
fn is_allowed(book: &Book, region: &id::Region, stock: &Stock) -> bool {
    let near = book.allowances().entries.iter().filter(|entry| entry.regions.contains(region));
    near.flat_map(|entry| &entry.models).any(|grant| {
        grant.model == stock.model
            && (grant.versions.is_empty() || grant.versions.contains(&stock.version))
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
