use std::{collections::HashMap, sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{
    outcome::{Reason, Refusal},
    routed_request::RoutedRequest,
    server::Gateway,
};
use crate::{
    clock::within,
    control::lock,
    event,
    figure::Page,
    id,
    quota::{GrantReply, Resolution, Spent, Ticket, Wallet},
    wire::Topic,
};

/// How long the leader may take to answer: a round trip between regions, and some time while it is busy.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(350);
/// The delay after a question that no leader answered.
const QUESTION_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A request waits for a grant for its objective divided by this, but not less than the time below.
const GRANT_WAIT_DIVISOR: u32 = 4;
/// Two round trips between regions.
const MIN_GRANT_WAIT: Duration = Duration::from_millis(300);
/// The `Retry-After` while no leader answers. Elections end within about two seconds.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// What this VM may spend, and the requests that wait for grants.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    wallet: Wallet,
    waiting: HashMap<Ticket, Sender<Resolution>>,
    /// The replica that led when it last answered.
    leader: Option<id::Vm>,
    /// Questions that failed while no leader was known. Each goes to another replica, as one of them may
    /// be down.
    failures: usize,
    counts: Counts,
}

/// Counts since the start, for metrics.
#[derive(Debug, Default)]
struct Counts {
    questions: u64,
    unanswered: u64,
    /// Requests that waited and were not granted.
    exceeded: u64,
}

impl Gateway {
    /// Takes the units of a request from the quota of its organisation, if it has one.
    ///
    /// # Errors
    ///
    /// If the quota is used up, or no leader of the replicas tells.
    pub(super) async fn acquire_quota(
        self: &Arc<Self>,
        request: &RoutedRequest,
    ) -> Result<Option<Spent>, Refusal> {
        let Some(organisation) = request.organisation.as_ref() else { return Ok(None) };
        let Some(quota) = organisation.quota else { return Ok(None) };
        let units = quota.units(request.declared_tokens);
        let name = &organisation.name;
        let now = self.clock.since_boot();
        let spent = lock(&self.quotas).wallet.spend(name, units, now);
        if spent.is_some() {
            self.ask_for_grants();
            return Ok(spent);
        }
        let (sender, receiver) = smol::channel::bounded(1);
        let ticket = {
            let mut quotas = lock(&self.quotas);
            let ticket = quotas.wallet.wait(name, units, now);
            quotas.waiting.insert(ticket, sender);
            ticket
        };
        let _waiting = WaitGuard { gateway: self, ticket };
        self.ask_for_grants();
        let wait = (request.route.latency_objective / GRANT_WAIT_DIVISOR).max(MIN_GRANT_WAIT);
        let wait = wait.min(request.time_left(self.clock.now()));
        match within(wait, receiver.recv()).await {
            Some(Ok(Resolution::Spent(spent))) => Ok(Some(spent)),
            Some(Ok(Resolution::Unlimited)) => Ok(None),
            Some(Ok(Resolution::Exceeded(retry_after))) => {
                let detail = format!("the quota of organisation `{name}` is used up");
                Err(Refusal::new(Reason::QuotaExceeded, detail, retry_after))
            }
            Some(Err(_)) | None => {
                let detail = "no leader of the replicas tells what is left of the quota";
                Err(Refusal::new(Reason::QuotaUnknown, detail, NO_LEADER_RETRY_AFTER))
            }
        }
    }

    /// Gives back the units of a request that did not run.
    pub(super) fn give_back_quota(&self, request: &RoutedRequest, spent: Option<Spent>) {
        if let (Some(organisation), Some(spent)) = (request.organisation.as_ref(), spent) {
            let now = self.clock.since_boot();
            lock(&self.quotas).wallet.give_back(&organisation.name, spent, now);
        }
    }

    /// Writes what was asked of the leader to a page of metrics.
    pub(super) fn write_quota_metrics(&self, page: &mut Page) {
        let quotas = lock(&self.quotas);
        page.counter("grants_asked_total", &[], quotas.counts.questions);
        page.counter("grants_unanswered_total", &[], quotas.counts.unanswered);
        page.counter("grants_refused_total", &[], quotas.counts.exceeded);
    }

    /// Asks the leader for what requests wait for and what is expected soon.
    fn ask_for_grants(self: &Arc<Self>) {
        let question = lock(&self.quotas).wallet.next_question(self.clock.since_boot());
        let Some((number, question)) = question else { return };
        let gateway = Arc::clone(self);
        smol::spawn(async move {
            let payload = Bytes::from(question.encode_to_vec());
            let reply = gateway.ask_leader(payload).await;
            let now = gateway.clock.since_boot();
            let resolved = {
                let mut quotas = lock(&gateway.quotas);
                quotas.counts.questions += 1;
                match &reply {
                    Some(reply) => quotas.wallet.record_reply(number, reply, now),
                    None => {
                        quotas.counts.unanswered += 1;
                        quotas.wallet.record_failure(number);
                        Vec::new()
                    }
                }
            };
            if reply.is_none() {
                Timer::after(QUESTION_RETRY_DELAY).await;
            }
            gateway.resolve(resolved);
            let has_waiting = !lock(&gateway.quotas).waiting.is_empty();
            if has_waiting {
                gateway.ask_for_grants();
            }
        })
        .detach();
    }

    /// Sends a question to the replica that leads, or to one that may know it.
    async fn ask_leader(&self, payload: Bytes) -> Option<GrantReply> {
        let (known, failures) = {
            let quotas = lock(&self.quotas);
            (quotas.leader.clone(), quotas.failures)
        };
        let first = known.clone().or_else(|| {
            let replicas = self.replicas();
            let index = failures.checked_rem(replicas.len())?;
            replicas.into_iter().nth(index)
        })?;
        let reply = self.ask_replicas(first, payload).await;
        if reply.is_none() {
            let mut quotas = lock(&self.quotas);
            quotas.failures = quotas.failures.wrapping_add(1);
            if quotas.leader == known {
                quotas.leader = None;
            }
        }
        reply
    }

    /// Asks a replica, and then the leader that it names.
    async fn ask_replicas(&self, first: id::Vm, payload: Bytes) -> Option<GrantReply> {
        let mut asked = first;
        // The replica that is asked first may name the leader.
        for _ in 0..2 {
            let address = self.settings.links_address_of(&asked)?;
            let call = self.hub.call(address, Topic::Quotas, payload.clone(), QUESTION_TIMEOUT);
            let reply = call.await.ok().and_then(|reply| GrantReply::decode(reply).ok())?;
            if reply.leads {
                let previous = lock(&self.quotas).leader.replace(asked.clone());
                if previous.as_ref() != Some(&asked) {
                    event::registry::GRANTED_BY.emit(&self.logger, &[("leader", &asked)]);
                }
                return Some(reply);
            }
            if reply.leader.is_empty() {
                return None;
            }
            asked = id::Vm::from(reply.leader.as_str());
        }
        None
    }

    fn resolve(&self, resolved: Vec<(Ticket, Resolution)>) {
        for (ticket, resolution) in resolved {
            if matches!(resolution, Resolution::Exceeded(_)) {
                lock(&self.quotas).counts.exceeded += 1;
            }
            let sender = lock(&self.quotas).waiting.remove(&ticket);
            // A caller that left meanwhile has dropped its receiver.
            let is_delivered = sender.is_some_and(|sender| sender.try_send(resolution).is_ok());
            if !is_delivered {
                lock(&self.quotas).wallet.cancel(ticket);
            }
        }
    }
}

/// Removes a request from those that wait, when it is answered or its caller leaves.
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut quotas = lock(&self.gateway.quotas);
        if quotas.waiting.remove(&self.ticket).is_some() {
            quotas.wallet.cancel(self.ticket);
        }
    }
}
