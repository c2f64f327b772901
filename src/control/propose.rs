use std::{sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{CommandError, Control, Outcome, replica::GROUP};
use crate::{
    event, id,
    registry::{
        Announcement, Command, Drain, Operation, Publish, Reply, State, StateMachine, TargetRecord,
        Withdraw,
    },
    replica::{Failure, Fate, Forward, Forwarded},
    wire::Topic,
};

/// How long an order may take to be agreed on. Operators ask another VM after a second without an
/// answer, but go on listening for a while where the order is large.
const ORDER: Duration = Duration::from_millis(2500);
/// How long an announcement may take to be agreed on: targets wait a second for the answer.
const ANNOUNCE: Duration = Duration::from_millis(900);
/// How long the leader may take over one forwarded command.
const FORWARD: Duration = Duration::from_millis(1200);
/// The wait before a leader is looked for again.
const PAUSE: Duration = Duration::from_millis(60);
/// When to ask again where no quorum answered: elections end within about two seconds.
const AGAIN: Duration = Duration::from_millis(500);
/// A cold time that ends this much later than the one known is news; smaller ones are delays on
/// the way.
const COLDER: Duration = Duration::from_millis(600);
/// How often an order is decided on anew because another one overtook it.
const TRIES: usize = 4;

impl Control {
    /// Publishes a list of routes.
    ///
    /// # Errors
    ///
    /// Where it is not valid, or no quorum confirmed it.
    pub async fn publish(&self, text: Bytes) -> Result<Outcome, CommandError> {
        let table =
            (self.read_routes)(&text).map_err(|fault| CommandError::Invalid(fault.to_string()))?;
        let publish = Publish { version: table.version, text };
        let verdict = self.propose(Operation::Publish(publish), ORDER).await;
        self.log_order("publish", &table.version.to_string(), &verdict);
        verdict.map(|_| Outcome::Confirmed)
    }

    /// The newest list of routes, as a quorum confirms; nothing where there was none yet.
    ///
    /// # Errors
    ///
    /// Where no quorum answers.
    pub async fn routes(&self) -> Result<Option<Bytes>, CommandError> {
        let group = self.group().ok_or_else(|| unsure("the replica's folder cannot be used"))?;
        group.barrier(ANNOUNCE).await.map_err(|cause| unsure(&cause.to_string()))?;
        Ok(group.read(|machine| (!machine.routes().is_empty()).then(|| machine.routes().clone())))
    }

    /// Has a zone get no work, or work again.
    ///
    /// # Errors
    ///
    /// Where no quorum confirmed it.
    pub async fn drain(&self, zone: &id::Zone, drained: bool) -> Result<Outcome, CommandError> {
        for _ in 0..TRIES {
            let group =
                self.group().ok_or_else(|| unsure("the replica's folder cannot be used"))?;
            group.barrier(ANNOUNCE).await.map_err(|cause| unsure(&cause.to_string()))?;
            let known = group.read(|machine| machine.zone_drain(zone.as_str()));
            let verdict = self.propose(Operation::Drain(Drain { drained, ..known }), ORDER).await;
            let what = if drained { "drain" } else { "take back" };
            self.log_order(what, zone.as_str(), &verdict);
            if verdict? != Reply::Overtaken {
                return Ok(Outcome::Confirmed);
            }
        }
        Err(unsure("other orders for the zone went before"))
    }

    /// Takes what a target says of itself.
    ///
    /// # Errors
    ///
    /// Where it changes what all VMs must know and no quorum confirmed it.
    pub async fn announce(&self, announcement: Announcement) -> Result<Outcome, CommandError> {
        let now = self.clock.now();
        let group = self.group().ok_or_else(|| unsure("the replica's folder cannot be used"))?;
        let record = announcement.record();
        let known = group.read(|machine| machine.target(&record.target).cloned());
        let news = self.is_news(&record, known.as_ref());
        if known.as_ref().is_none_or(|known| known.incarnation <= record.incarnation) {
            self.roster().record_announcement(&announcement, now);
        }
        if !news {
            return Ok(Outcome::Confirmed);
        }
        let verdict = self.propose(Operation::Announce(record.clone()), ANNOUNCE).await;
        let state = format!("{:?}", record.state());
        let outcome = outcome(&verdict);
        event::registry::TARGET.emit(
            &self.logger,
            &[
                ("target", &record.target),
                ("service", &record.service),
                ("address", &record.address),
                ("born", &record.incarnation),
                ("sequence", &record.sequence),
                ("state", &state),
                ("cold_ms", &record.cold_remaining_ms),
                ("outcome", &outcome),
            ],
        );
        verdict.map(|_| Outcome::Confirmed)
    }

    /// Takes that a target is gone.
    ///
    /// # Errors
    ///
    /// Where no quorum confirmed it.
    pub async fn withdraw(&self, target: &id::Target) -> Result<Outcome, CommandError> {
        let group = self.group().ok_or_else(|| unsure("the replica's folder cannot be used"))?;
        group.barrier(ANNOUNCE).await.map_err(|cause| unsure(&cause.to_string()))?;
        let known = group.read(|machine| machine.target(target.as_str()).cloned());
        let Some(known) = known.filter(|known| known.state() != State::Gone) else {
            return Ok(Outcome::Confirmed);
        };
        let withdraw = Withdraw { target: known.target, incarnation: known.incarnation };
        let verdict = self.propose(Operation::Withdraw(withdraw), ANNOUNCE).await;
        self.log_order("withdraw", target.as_str(), &verdict);
        verdict.map(|_| Outcome::Confirmed)
    }

    /// Whether all VMs must know of what the record says.
    fn is_news(&self, record: &TargetRecord, known: Option<&TargetRecord>) -> bool {
        let Some(known) = known else { return true };
        if known.incarnation != record.incarnation || known.state() == State::Gone {
            return known.incarnation < record.incarnation;
        }
        if record.sequence <= known.sequence {
            return false;
        }
        let left = Duration::from_millis(self.cold_left(known));
        known.state() != record.state() && known.state() != State::Leaving
            || (&known.address, &known.service, &known.zone, known.slots)
                != (&record.address, &record.service, &record.zone, record.slots)
            || Duration::from_millis(record.cold_remaining_ms) > left + COLDER
    }

    /// Has the group commit an operation, wherever its leader is.
    async fn propose(&self, operation: Operation, limit: Duration) -> Result<Reply, CommandError> {
        let command = Bytes::from(Command::from(operation).encode_to_vec());
        let end = self.clock.now() + limit;
        let mut cause = "no leader is known".to_owned();
        loop {
            let left = end.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Err(unsure(&cause));
            }
            match self.propose_once(&command, left).await {
                Ok(reply) => {
                    return Reply::decode(&reply)
                        .filter(|reply| *reply != Reply::Unreadable)
                        .ok_or_else(|| unsure("the leader runs another version"));
                }
                Err(failure) => cause = failure,
            }
            Timer::after(PAUSE.min(left)).await;
        }
    }

    async fn propose_once(&self, command: &Bytes, left: Duration) -> Result<Bytes, String> {
        let group = self.group().ok_or("the replica's folder cannot be used")?;
        if !self.is_established(&group) {
            return Err("the replicas are not complete yet".to_owned());
        }
        let leader = match group.propose(command.clone(), left).await {
            Ok(reply) => return Ok(reply),
            Err(Failure::NotLeader(leader)) => leader.ok_or("no leader is known")?,
            Err(failure) => return Err(failure.to_string()),
        };
        let address = self.settings.links_address_of(&leader).ok_or("the leader has no address")?;
        let forward = Forward { group: GROUP.to_owned(), command: command.clone() };
        let payload = Bytes::from(forward.encode_to_vec());
        let reply = self.hub.call(address, Topic::Proposals, payload, left.min(FORWARD)).await;
        let forwarded = Forwarded::decode(reply.map_err(|cause| cause.to_string())?)
            .map_err(|cause| cause.to_string())?;
        match forwarded.fate {
            Some(Fate::Reply(reply)) => Ok(reply),
            Some(Fate::NotLeader(_)) => Err("the leader has changed".to_owned()),
            Some(Fate::Refused(cause) | Fate::Unknown(cause)) => Err(cause),
            None => Err("the leader runs another version".to_owned()),
        }
    }

    /// Answers a command that another replica forwarded.
    pub(super) async fn forwarded(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let Ok(Forward { command, .. }) = Forward::decode(payload) else { return };
        let proposed = match self.group() {
            Some(group) if self.is_established(&group) => group.propose(command, FORWARD).await,
            _ => Err(Failure::NotLeader(None)),
        };
        let forwarded = Forwarded::from(proposed);
        let _ = reply.send(Bytes::from(forwarded.encode_to_vec())).await;
    }

    /// Whether the first group was complete, so that a change outlives the loss of disks that the
    /// deployment has to bear.
    fn is_established(&self, group: &crate::replica::Group<StateMachine>) -> bool {
        group.read(StateMachine::established_voters) > 0
    }

    fn log_order(&self, order: &str, what: &str, verdict: &Result<Reply, CommandError>) {
        let outcome = outcome(verdict);
        event::registry::ORDER
            .emit(&self.logger, &[("order", &order), ("what", &what), ("outcome", &outcome)]);
    }
}

fn outcome(verdict: &Result<Reply, CommandError>) -> String {
    match verdict {
        Ok(reply) => format!("{reply:?}"),
        Err(refused) => refused.to_string(),
    }
}

fn unsure(cause: &str) -> CommandError {
    CommandError::Unconfirmed(cause.to_owned(), AGAIN)
}
