use std::{
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{CommandError, Control, Outcome, replica::GROUP, server::lock};
use crate::{
    event, id,
    registry::{
        Announcement, Command, Drain, Operation, Publish, Reply, State, StateMachine, TakeOver,
        TargetRecord, Withdraw,
    },
    replica::{ForwardOutcome, ForwardReply, ForwardRequest, Group, RequestError},
    wire::Topic,
};

/// Timeout of an operator's command. Operators ask another VM after a second without an answer, but
/// keep listening for a while if the command is large.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of an announcement; targets wait a second for the answer.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of one forwarded command at the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before a failed proposal is sent again, possibly to another leader.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Delay after which a client should retry if no quorum answered. Elections end within about two
/// seconds.
const CLIENT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// An announced cold time is proposed only if it ends later than the known one by more than this.
/// Smaller differences come from network delays.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(600);
/// Number of times a drain is proposed if concurrent changes of the zone invalidate it.
const MAX_DRAIN_ATTEMPTS: usize = 4;

/// Maximum length of a text from outside in the log.
const MAX_LOGGED_CHARS: usize = 256;

impl Control {
    /// Publishes a list of routes.
    ///
    /// # Errors
    ///
    /// If the list is invalid, or no quorum confirmed it.
    pub async fn publish(&self, text: Bytes) -> Result<Outcome, CommandError> {
        let table =
            (self.parse_routes)(&text).map_err(|error| CommandError::Invalid(error.to_string()))?;
        let publish = Publish { version: table.version, text };
        let result = self.propose(Operation::Publish(publish), COMMAND_TIMEOUT).await;
        self.log_command("publish", &table.version.to_string(), &result);
        result.map(|_| Outcome::Confirmed)
    }

    /// Returns the newest list of routes that a quorum confirms, or `None` if there is no list.
    ///
    /// # Errors
    ///
    /// If no quorum answers.
    pub async fn routes(&self) -> Result<Option<Bytes>, CommandError> {
        let group =
            self.group().ok_or_else(|| unconfirmed("the replica's folder cannot be used"))?;
        group
            .read_barrier(ANNOUNCE_TIMEOUT)
            .await
            .map_err(|cause| unconfirmed(&cause.to_string()))?;
        Ok(group
            .read(|registry| (!registry.routes().is_empty()).then(|| registry.routes().clone())))
    }

    /// Drains a zone, or ends its drain if `drained` is `false`.
    ///
    /// # Errors
    ///
    /// If no quorum confirmed it.
    pub async fn drain(&self, zone: &id::Zone, drained: bool) -> Result<Outcome, CommandError> {
        for _ in 0..MAX_DRAIN_ATTEMPTS {
            let group =
                self.group().ok_or_else(|| unconfirmed("the replica's folder cannot be used"))?;
            group
                .read_barrier(ANNOUNCE_TIMEOUT)
                .await
                .map_err(|cause| unconfirmed(&cause.to_string()))?;
            let known = group.read(|registry| registry.zone_drain(zone.as_str()));
            let result =
                self.propose(Operation::Drain(Drain { drained, ..known }), COMMAND_TIMEOUT).await;
            let command = if drained { "drain" } else { "take back" };
            self.log_command(command, zone.as_str(), &result);
            if result? != Reply::Overtaken {
                return Ok(Outcome::Confirmed);
            }
        }
        Err(unconfirmed("other orders for the zone went before"))
    }

    /// Handles an announcement of a target.
    ///
    /// # Errors
    ///
    /// If no target can be as it says, or if it changes what all VMs must know and no quorum confirmed
    /// it.
    pub async fn announce(&self, announcement: Announcement) -> Result<Outcome, CommandError> {
        let now = self.clock.now();
        if let Err(error) = announcement.check() {
            let cause = self.refuse_announcement(announcement.target.as_str(), &error.to_string());
            return Err(CommandError::Invalid(cause));
        }
        let group = self.group();
        let record = announcement.record();
        let known = group
            .as_ref()
            .and_then(|group| group.read(|registry| registry.target(&record.target).cloned()));
        let is_current = |known: &TargetRecord| {
            known.incarnation <= record.incarnation && !known.is_withdrawn(record.incarnation)
        };
        if known.as_ref().is_none_or(is_current) {
            let is_cold_change = self.heartbeats().record_announcement(&announcement, now);
            if is_cold_change {
                self.spread_cold_period(&announcement, now);
            }
        }
        let group = group.ok_or_else(|| unconfirmed("the replica's folder cannot be used"))?;
        let is_change = self.is_change(&record, known.as_ref());
        let is_outdated = known.as_ref().is_some_and(|known| record.is_outdated_by(known));
        let take_over =
            if is_change || is_outdated { self.take_over(&group, &record, now) } else { None };
        if !is_change && take_over.is_none() {
            return Ok(Outcome::Confirmed);
        }
        let operation =
            take_over.map_or_else(|| Operation::Announce(record.clone()), Operation::TakeOver);
        let result = self.propose(operation, ANNOUNCE_TIMEOUT).await;
        let state = format!("{:?}", record.state());
        let outcome = outcome_text(&result);
        event::registry::TARGET.emit(
            &self.logger,
            &[
                ("target", &record.target),
                ("service", &record.service),
                ("address", &record.address),
                ("born", &record.incarnation),
                ("software", &record.software_version),
                ("sequence", &record.sequence),
                ("state", &state),
                ("cold_ms", &record.cold_remaining_ms),
                ("outcome", &outcome),
            ],
        );
        result.map(|_| Outcome::Confirmed)
    }

    /// The command for an announcement that silent records keep out of the registry, if its sender is
    /// alive.
    fn take_over(
        &self,
        group: &Group<StateMachine>,
        record: &TargetRecord,
        now: Instant,
    ) -> Option<TakeOver> {
        let blocking: Vec<TargetRecord> =
            group.read(|registry| registry.blocking(record).cloned().collect());
        let take_over = TakeOver::received(
            record,
            &blocking,
            &mut lock(&self.contests),
            &self.heartbeats(),
            now,
        )?;
        let names: Vec<&str> = blocking.iter().map(|known| known.target.as_str()).collect();
        event::registry::TAKEN_OVER.emit(
            &self.logger,
            &[
                ("target", &record.target),
                ("address", &record.address),
                ("born", &record.incarnation),
                ("displaced", &names.join(" ")),
            ],
        );
        Some(take_over)
    }

    /// Logs, at a bounded rate, an announcement that names no target. Returns the cause, shortened.
    pub fn refuse_announcement(&self, target: &str, cause: &str) -> String {
        let shorten = |text: &str| text.chars().take(MAX_LOGGED_CHARS).collect::<String>();
        let (target, cause) = (shorten(target), shorten(cause));
        let mut sampler = lock(&self.refusal_sampler);
        if sampler.passes(self.clock.now()) {
            let left_out = sampler.take_left_out();
            event::registry::NO_TARGET.emit(
                &self.logger,
                &[("target", &target), ("cause", &cause), ("left_out", &left_out)],
            );
        }
        cause
    }

    /// Marks a target as gone.
    ///
    /// # Errors
    ///
    /// If no quorum confirmed it.
    pub async fn withdraw(&self, target: &id::Target) -> Result<Outcome, CommandError> {
        let group =
            self.group().ok_or_else(|| unconfirmed("the replica's folder cannot be used"))?;
        group
            .read_barrier(ANNOUNCE_TIMEOUT)
            .await
            .map_err(|cause| unconfirmed(&cause.to_string()))?;
        lock(&self.contests).forget(target.as_str());
        let known = group.read(|registry| registry.target(target.as_str()).cloned());
        let now = self.clock.now();
        let unix_ms = lock(&self.wall_clocks).median_unix_ms(self.unix_ms(), now);
        let withdraw = Withdraw::received(target, known.as_ref(), &self.heartbeats(), unix_ms, now);
        let result = match withdraw {
            Some(withdraw) => self.propose(Operation::Withdraw(withdraw), ANNOUNCE_TIMEOUT).await,
            None => Ok(Reply::Stands),
        };
        self.log_command("withdraw", target.as_str(), &result);
        result.map(|_| Outcome::Confirmed)
    }

    /// The wall clock of this replica in Unix milliseconds.
    pub(super) fn unix_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether `record` differs from the known record in a way that all VMs must know.
    fn is_change(&self, record: &TargetRecord, known: Option<&TargetRecord>) -> bool {
        let Some(known) = known else { return true };
        if known.incarnation != record.incarnation || known.state() == State::Gone {
            return known.incarnation < record.incarnation
                && !known.is_withdrawn(record.incarnation);
        }
        if record.sequence <= known.sequence {
            return false;
        }
        // What this replica heard does not count here: it may not have been committed.
        let known_remaining = Duration::from_millis(self.recorded_cold_ms(known, self.clock.now()));
        known.state() != record.state() && known.state() != State::Leaving
            || (&known.address, &known.service, &known.zone, known.slots)
                != (&record.address, &record.service, &record.zone, record.slots)
            || known.software_version != record.software_version
            || Duration::from_millis(record.cold_remaining_ms)
                > known_remaining + COLD_TIME_TOLERANCE
    }

    /// Has the group commit an operation, wherever its leader is. Retries a failed attempt until
    /// `timeout`.
    async fn propose(
        &self,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Reply, CommandError> {
        let command = Bytes::from(Command::from(operation).encode_to_vec());
        let deadline = self.clock.now() + timeout;
        let mut cause = "no leader is known".to_owned();
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            if remaining.is_zero() {
                return Err(unconfirmed(&cause));
            }
            match self.propose_once(&command, remaining).await {
                Ok(reply) => {
                    return Reply::decode(&reply)
                        .filter(|reply| *reply != Reply::Unreadable)
                        .ok_or_else(|| unconfirmed("the leader runs another version"));
                }
                Err(failure) => cause = failure,
            }
            Timer::after(RETRY_DELAY.min(remaining)).await;
        }
    }

    /// Proposes a command here or, if another replica leads, at the leader.
    async fn propose_once(&self, command: &Bytes, timeout: Duration) -> Result<Bytes, String> {
        let group = self.group().ok_or("the replica's folder cannot be used")?;
        if !self.is_established(&group) {
            return Err("the replicas are not complete yet".to_owned());
        }
        let leader = match group.propose(command.clone(), timeout).await {
            Ok(reply) => return Ok(reply),
            Err(RequestError::NotLeader(leader)) => leader.ok_or("no leader is known")?,
            Err(failure) => return Err(failure.to_string()),
        };
        let address = self.settings.links_address_of(&leader).ok_or("the leader has no address")?;
        let request = ForwardRequest { group: GROUP.to_owned(), command: command.clone() };
        let payload = Bytes::from(request.encode_to_vec());
        let reply =
            self.hub.call(address, Topic::Proposals, payload, timeout.min(FORWARD_TIMEOUT)).await;
        let forward_reply = ForwardReply::decode(reply.map_err(|cause| cause.to_string())?)
            .map_err(|cause| cause.to_string())?;
        match forward_reply.outcome {
            Some(ForwardOutcome::Reply(reply)) => Ok(reply),
            Some(ForwardOutcome::NotLeader(_)) => Err("the leader has changed".to_owned()),
            Some(ForwardOutcome::Refused(cause) | ForwardOutcome::Unknown(cause)) => Err(cause),
            None => Err("the leader runs another version".to_owned()),
        }
    }

    /// Proposes a command that another replica forwarded, and replies with the result.
    pub(super) async fn serve_proposal(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let Ok(ForwardRequest { command, .. }) = ForwardRequest::decode(payload) else { return };
        let proposed = match self.group() {
            Some(group) if self.is_established(&group) => {
                group.propose(command, FORWARD_TIMEOUT).await
            }
            _ => Err(RequestError::NotLeader(None)),
        };
        let forward_reply = ForwardReply::from(proposed);
        let _ = reply.send(Bytes::from(forward_reply.encode_to_vec())).await;
    }

    /// Whether the first group has been complete, so that a committed change survives the loss of
    /// as many disks as the deployment must tolerate.
    fn is_established(&self, group: &crate::replica::Group<StateMachine>) -> bool {
        group.read(StateMachine::established_voters) > 0
    }

    fn log_command(&self, command: &str, subject: &str, result: &Result<Reply, CommandError>) {
        let outcome = outcome_text(result);
        event::registry::ORDER
            .emit(&self.logger, &[("order", &command), ("what", &subject), ("outcome", &outcome)]);
    }
}

fn outcome_text(result: &Result<Reply, CommandError>) -> String {
    match result {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    }
}

fn unconfirmed(cause: &str) -> CommandError {
    CommandError::Unconfirmed(cause.to_owned(), CLIENT_RETRY_AFTER)
}
