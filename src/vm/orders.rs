//! Orders to the targets of this region to load and unload models, given by the VM that holds the
//! region's order lease.

use std::{
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use futures_util::future::join_all;
use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{Vm, node::lock, order_delivery::send_order, replica_groups::LISTS_GROUP};
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

/// Interval between two decisions on which models the targets should hold.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// How long a request for a grant may take; a later answer would be of no use.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the commit of a new fencing number may take.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The lease to give a region's orders, and the controller that decides on them.
#[derive(Debug)]
struct OrderLease {
    fence: Fence,
    controller: Controller,
}

impl Vm {
    /// Gives orders to the targets of this region whenever this VM holds the region's order lease.
    pub(super) async fn run_order_controller(self: Arc<Self>) {
        if self.settings.orders.weights.is_empty() || !self.uses_replicas() {
            return;
        }
        let mut lease: Option<OrderLease> = None;
        let mut leader = None;
        loop {
            Timer::after(DECISION_INTERVAL).await;
            let now = self.clock.now();
            if self.is_stopping() || !self.members().is_first_relay(now) {
                continue;
            }
            if let Some(fence) = self.request_grant(&mut leader, lease.as_ref()).await {
                self.renew_lease(&mut lease, fence);
            }
            if let Some(lease) = &mut lease {
                self.give_orders(lease).await;
            }
        }
    }

    /// Extends the lease. A new fencing number starts a controller that knows of no earlier orders.
    fn renew_lease(&self, lease: &mut Option<OrderLease>, fence: Fence) {
        match lease {
            Some(lease) if lease.fence.number == fence.number => lease.fence = fence,
            _ => {
                event::lists::ORDERS_HELD.emit(&self.logger, &[("fence", &fence.number)]);
                let settings = self.settings.orders.settings();
                let controller = Controller::resumed(settings, fence.issued);
                *lease = Some(OrderLease { fence, controller });
            }
        }
    }

    /// Requests the order lease from the leader of the lists group. Tries the last known leader
    /// first, then the other replicas.
    async fn request_grant(
        &self,
        leader: &mut Option<id::Vm>,
        lease: Option<&OrderLease>,
    ) -> Option<Fence> {
        let mut replicas = self.replica_peers();
        replicas.sort_by_key(|peer| Some(&peer.vm) != leader.as_ref());
        for peer in replicas {
            let requested_at = self.clock.now();
            let Some(grant) = self.request_grant_from(&peer).await else { continue };
            if grant.number > 0 {
                *leader = Some(peer.vm);
                return Some(granted_fence(&grant, requested_at, lease));
            }
            if grant.leader == peer.vm.as_str() {
                *leader = Some(peer.vm);
                return None;
            }
            *leader = (!grant.leader.is_empty()).then(|| grant.leader.as_str().into());
        }
        None
    }

    async fn request_grant_from(&self, peer: &Peer) -> Option<Grant> {
        let region = self.settings.region.to_string();
        let request = Ask { region, incarnation: self.incarnation };
        if peer.vm == self.settings.vm {
            return Some(self.decide_grant(&peer.vm, &request).await);
        }
        let payload = Bytes::from(request.encode_to_vec());
        let reply = self.hub.call(peer.links, Topic::Orders, payload, GRANT_TIMEOUT).await.ok()?;
        Grant::decode(reply).ok()
    }

    /// Answers another VM's request for the order lease.
    pub(super) async fn answer_grant_request(
        self: Arc<Self>,
        from: id::Vm,
        payload: Bytes,
        reply: Sender<Bytes>,
    ) {
        let Ok(request) = Ask::decode(payload) else { return };
        let grant = self.decide_grant(&from, &request).await;
        let _ = reply.send(Bytes::from(grant.encode_to_vec())).await;
    }

    /// Decides, where this VM leads the lists group, whether `from` gets the order lease; names
    /// the leader that it knows otherwise.
    async fn decide_grant(&self, from: &id::Vm, request: &Ask) -> Grant {
        let Some(lists) = &self.replica_groups.lists else { return Grant::default() };
        let Some(proof) = lists.leader_lease().map(leadership_proof) else {
            let leader = lists.status().consensus.leader.filter(|vm| *vm != self.settings.vm);
            let leader = leader.map(|vm| vm.to_string()).unwrap_or_default();
            return Grant { leader, ..Grant::default() };
        };
        let region = id::Region::from(request.region.as_str());
        let holder = Holder { vm: from.clone(), incarnation: request.incarnation };
        let max_lease = self.settings.orders.settings().lease;
        let decision = lock(&self.leases).ask(&region, &holder, proof, max_lease, self.clock.now());
        let leader = self.settings.vm.to_string();
        match decision {
            Decision::Granted { number, until } => {
                let time_left = until.saturating_duration_since(self.clock.now());
                Grant { number, valid_ms: millis(time_left), leader }
            }
            Decision::Issue => {
                if let Some(number) = self.issue_fence(from).await {
                    lock(&self.leases).issued(&region, &holder, proof.term, number);
                }
                Grant { leader, ..Grant::default() }
            }
            Decision::Denied => Grant { leader, ..Grant::default() },
        }
    }

    /// Has the lists group commit a new fencing number for `holder`.
    async fn issue_fence(&self, holder: &id::Vm) -> Option<u64> {
        let operation = format!("{}/{}", self.settings.vm, self.new_request_id());
        let command = Bytes::from(Command::fence(&operation, holder.as_str()).encode_to_vec());
        let reply =
            self.propose(LISTS_GROUP, &self.replica_peers(), command, FENCE_TIMEOUT).await.ok()?;
        match list_state::Reply::decode(reply).ok()?.verdict? {
            list_state::Verdict::Issued(issued) => Some(issued.number),
            _ => None,
        }
    }

    /// Decides on the orders that are due, and gives them.
    async fn give_orders(&self, lease: &mut OrderLease) {
        let now = self.clock.now();
        let Some(book) = self.fresh_book() else { return };
        let targets = self.ordered_targets(now);
        let engines: Vec<Engine> =
            targets.iter().map(|announcement| self.engine_state(announcement)).collect();
        let demands = self.demands(&book, &targets);
        let fence = Some(lease.fence).filter(|fence| now < fence.until);
        let orders = lease.controller.decide(&demands, &engines, fence, now);
        let deliveries = orders.iter().filter_map(|order| {
            let target = targets.iter().find(|announcement| announcement.target == order.target)?;
            Some(self.give_order(order, target, now))
        });
        for refused in join_all(deliveries).await.into_iter().flatten() {
            lease.controller.refused(refused, self.clock.now());
        }
    }

    /// Gives one order, which was decided on at `decided_at`. Returns the target where it did not
    /// accept the order.
    async fn give_order<'a>(
        &self,
        order: &'a Instruction,
        target: &Announcement,
        decided_at: Instant,
    ) -> Option<&'a id::Target> {
        let until = decided_at + order.valid_for;
        let deadline = self.clock.wall() + until.saturating_duration_since(self.clock.now());
        let since_epoch = deadline.duration_since(UNIX_EPOCH).unwrap_or_default();
        let message = Order {
            fence: order.fence,
            deadline_ms: millis(since_epoch),
            action: order.action.clone(),
        };
        let answer = send_order(&self.clock, target.address, &message, until).await;
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

    /// The usable targets of this region that hold models and so take orders.
    fn ordered_targets(&self, now: Instant) -> Vec<Announcement> {
        let targets = self.targets();
        targets.usable(now).filter(|announcement| announcement.models > 0).cloned().collect()
    }

    fn engine_state(&self, announcement: &Announcement) -> Engine {
        Engine {
            target: announcement.target.clone(),
            region: announcement.region.clone(),
            loaded: loaded_models(announcement).collect(),
            slots: usize::try_from(announcement.models).unwrap_or(usize::MAX),
            fenced: announcement.fenced,
            leaving: self.planned_stops().covers_target(
                &announcement.target,
                &announcement.zone,
                &announcement.region,
            ),
        }
    }

    fn demands(&self, book: &Book, targets: &[Announcement]) -> Vec<Demand> {
        let region = &self.settings.region;
        let stocks = self.settings.orders.weights.iter();
        stocks
            .filter(|stock| is_allowed(book, region, stock))
            .map(|stock| {
                let weights = model_weights(&stock.model, &stock.version);
                let busy =
                    targets.iter().map(|announcement| batch_share(announcement, &weights)).sum();
                Demand { region: region.clone(), weights, busy, minimum: stock.minimum }
            })
            .collect()
    }
}

/// The fence that a grant gives. Its validity counts from before the request was sent, so that it
/// ends on this VM no later than on the leader.
fn granted_fence(grant: &Grant, requested_at: Instant, lease: Option<&OrderLease>) -> Fence {
    let same_lease = lease.filter(|lease| lease.fence.number == grant.number);
    let issued = same_lease.map_or(requested_at, |lease| lease.fence.issued);
    Fence {
        number: grant.number,
        issued,
        until: requested_at + Duration::from_millis(grant.valid_ms),
    }
}

fn leadership_proof(lease: consensus::LeaderLease) -> Proof {
    Proof { term: lease.term, until: lease.expires_at }
}

fn model_weights(model: &id::Model, version: &id::Version) -> Weights {
    Weights { model: model.clone(), version: version.clone(), adapter: None }
}

fn loaded_models(announcement: &Announcement) -> impl Iterator<Item = Weights> {
    announcement.offers.iter().filter_map(|offer| match offer {
        Offer::Model { model, version, .. } => Some(model_weights(model, version)),
        Offer::Service { .. } => None,
    })
}

/// The share of a target's batch slots that `model` takes, on the assumption that its requests
/// are spread evenly over the models that it holds.
fn batch_share(announcement: &Announcement, model: &Weights) -> f64 {
    let model_count = loaded_models(announcement).count();
    if !loaded_models(announcement).any(|weights| weights == *model) {
        return 0.0;
    }
    let requests = announcement.load.running.saturating_add(announcement.load.waiting);
    f64::from(requests) / f64::from(announcement.load.slots.max(1)) / model_count as f64
}

/// Whether the allowance of any plan permits a model in a region.
fn is_allowed(book: &Book, region: &id::Region, stock: &Stock) -> bool {
    let allowances =
        book.allowances().entries.iter().filter(|entry| entry.regions.contains(region));
    allowances.flat_map(|entry| &entry.models).any(|grant| {
        grant.model == stock.model
            && (grant.versions.is_empty() || grant.versions.contains(&stock.version))
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
