//! Calls, which are requests that are not idempotent and so must run at most once. Each is claimed
//! in the customer's home region before it runs.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use prost::{Message, bytes::Bytes};
use smol::Timer;

use super::{
    Vm,
    replica_groups::{LISTS_GROUP, ProposalError, claims_group_name},
    target_limit::TargetLimit,
};
use crate::{
    claim::{
        self, Claim, Command, MarkComplete, MarkOutcomesUnknown, Operation, RecordOutcome, Release,
        Verdict,
    },
    event,
    http::BufferShare,
    id, list_state,
    member::State,
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
    path::{self, Admitted, BodyPart, Resolved, TargetResponse},
    replica::Group,
    target::Announcement,
    wire::{Header, ResponseHead},
};

/// How long the home region may take to decide on an operation.
const DECISION_TIMEOUT: Duration = Duration::from_secs(4);
/// How long after its deadline a call without a recorded outcome gets the outcome unknown.
const RECORD_GRACE: Duration = Duration::from_secs(10);
/// How often the leader looks for calls to abandon.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
const MAX_RECORD_ATTEMPTS: u32 = 5;

impl Vm {
    /// Runs a call at `target` at most once: claims it durably in the customer's home region,
    /// dispatches it, stores its outcome in the home region, then answers.
    ///
    /// The call continues if the caller disconnects, so that its outcome is stored.
    pub(super) async fn run_at_most_once(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        target: &Announcement,
        time_left: Duration,
    ) -> Outcome<TargetResponse> {
        let call = ClaimedCall::new(self, request, time_left);
        let work = call.run(Arc::clone(self), Arc::clone(request), target.clone(), time_left);
        run_detached(work).await.unwrap_or_else(|| Outcome::Unknown("the VM is stopping".into()))
    }

    async fn propose_claim_operation(
        &self,
        home: &id::Region,
        operation: Operation,
    ) -> Result<Verdict, ProposalError> {
        let command = Command::new(self.clock.wall(), operation);
        let command = Bytes::from(command.encode_to_vec());
        let replicas = self.claim_replica_peers(home);
        let reply =
            self.propose(&claims_group_name(home), &replicas, command, DECISION_TIMEOUT).await?;
        let reply = claim::Reply::decode(reply).ok().and_then(|reply| reply.verdict);
        reply.ok_or_else(|| {
            ProposalError::OutcomeUnknown("the home region runs another version".to_owned())
        })
    }

    /// While this VM leads the claims group of its region, marks its records complete if they are,
    /// and abandons claims that cannot be settled any more.
    pub(super) async fn maintain_claims(self: Arc<Self>) {
        let Some(group) = self.replica_groups.claims.clone() else { return };
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let status = group.status().consensus;
            if status.leader.as_ref() != Some(&self.settings.vm) {
                continue;
            }
            if group.read(|machine| machine.complete_since_ms().is_none()) {
                self.confirm_records_complete(&group).await;
            }
            for abandon in self.abandon_operations(&group) {
                let operation = Operation::MarkOutcomesUnknown(abandon);
                let command = Command::new(self.clock.wall(), operation).encode_to_vec();
                let _ = group.propose(Bytes::from(command), DECISION_TIMEOUT).await;
            }
        }
    }

    /// The operations that abandon running calls: those past their deadline, and those of processes
    /// that ended, because the VM is gone or a later incarnation of it is known.
    fn abandon_operations(&self, group: &Group<claim::StateMachine>) -> Vec<MarkOutcomesUnknown> {
        let running_processes: Vec<(String, u64)> = group.read(|machine| {
            machine
                .running_incarnations()
                .into_iter()
                .map(|(vm, incarnation)| (vm.to_owned(), incarnation))
                .collect()
        });
        // The default operation names no VM: it abandons only calls past their deadline.
        let past_deadline = (!running_processes.is_empty()).then(MarkOutcomesUnknown::default);
        let now = self.clock.now();
        let members = self.members();
        let ended_processes = running_processes.into_iter().filter_map(|(vm, incarnation)| {
            let (entry, state) =
                members.members(now).find(|(entry, _)| entry.peer.vm.as_str() == vm)?;
            let below_incarnation = match state {
                State::Gone => entry.incarnation.max(incarnation) + 1,
                _ => entry.incarnation,
            };
            (incarnation < below_incarnation)
                .then_some(MarkOutcomesUnknown { vm, below_incarnation })
        });
        past_deadline.into_iter().chain(ended_processes).collect()
    }

    /// Marks the records complete if this claims group is the first of its region.
    ///
    /// The lists group counts the claims groups of each region. A later group replaces one that
    /// lost its disks, so its records may lack claims. The lowest disk ID of the members tells one
    /// group from the next.
    async fn confirm_records_complete(&self, group: &Group<claim::StateMachine>) {
        let membership = group.status().consensus.membership;
        let Some(lowest_disk_id) = membership.peers().map(|peer| peer.disk_id).min() else {
            return;
        };
        let operation = format!("{}/{lowest_disk_id:016x}", group.name());
        let command = list_state::Command::incarnation(&operation, group.name()).encode_to_vec();
        let reply = self
            .propose(LISTS_GROUP, &self.replica_peers(), Bytes::from(command), DECISION_TIMEOUT)
            .await;
        let verdict = reply.ok().and_then(|reply| list_state::Reply::decode(reply).ok()?.verdict);
        match verdict {
            Some(list_state::Verdict::Issued(issued)) if issued.number == 1 => {
                let operation = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
                let command = Command::new(self.clock.wall(), operation).encode_to_vec();
                let _ = group.propose(Bytes::from(command), DECISION_TIMEOUT).await;
            }
            Some(list_state::Verdict::Issued(_)) => {
                event::lists::CLAIMS_INCOMPLETE.emit(&self.logger, &[("group", &group.name())]);
            }
            _ => {}
        }
    }

    /// Records that an operator accepts that earlier calls may run twice; `confirmation`
    /// must be [`RISK_ACCEPTED`](claim::RISK_ACCEPTED).
    pub async fn accept_risk(&self, confirmation: &str, operator: &str) -> Result<(), String> {
        let risk = claim::AcceptRisk {
            confirmation: confirmation.to_owned(),
            operator: operator.to_owned(),
        };
        match self
            .propose_claim_operation(&self.settings.region.clone(), Operation::AcceptRisk(risk))
            .await
        {
            Ok(Verdict::Done(_)) => Ok(()),
            Ok(Verdict::Rejected(rejected)) => Err(rejected.reason),
            Ok(_) => Err("the home region runs another version".to_owned()),
            Err(ProposalError::NotCommitted(cause) | ProposalError::OutcomeUnknown(cause)) => {
                Err(cause)
            }
        }
    }
}

/// Runs `work` in a task of its own, which continues if the returned future is dropped.
async fn run_detached<T: Send + 'static>(
    work: impl Future<Output = T> + Send + 'static,
) -> Option<T> {
    let (sender, done) = smol::channel::bounded(1);
    smol::spawn(async move {
        let _ = sender.send(work.await).await;
    })
    .detach();
    done.recv().await.ok()
}

/// A call, and the claim that this VM must hold to run it.
#[derive(Clone, Debug)]
struct ClaimedCall {
    home_region: id::Region,
    claim: Claim,
}

impl ClaimedCall {
    fn new(vm: &Vm, request: &path::Request<Admitted>, time_left: Duration) -> Self {
        let Resolved { plan, target_path, body, idempotency_key: key, .. } =
            &request.stage.resolved;
        let key = key.clone().unwrap_or_default();
        let claim = Claim {
            customer: plan.customer.to_string(),
            digest: claim::request_digest(request.method.as_str(), target_path, body),
            // Unique for each attempt, so that a late release by an earlier attempt does not
            // release this claim.
            request: format!("{}.{}", request.id, vm.new_request_id()),
            vm: vm.settings.vm.to_string(),
            incarnation: vm.incarnation,
            created_ms: claim::key_created_ms(&key).unwrap_or_default(),
            deadline_ms: unix_ms(vm.clock.wall() + time_left + RECORD_GRACE),
            key,
        };
        Self { home_region: plan.home.clone(), claim }
    }

    async fn run(
        self,
        vm: Arc<Vm>,
        request: Arc<path::Request<Admitted>>,
        target: Announcement,
        time_left: Duration,
    ) -> Outcome<TargetResponse> {
        let _in_flight = vm.in_flight_guard();
        let hops: Vec<String> = request.hops.iter().map(ToString::to_string).collect();
        match vm
            .propose_claim_operation(&self.home_region, Operation::Claim(self.claim.clone()))
            .await
        {
            Ok(Verdict::Run(_)) => self.dispatch(&vm, &request, &target, time_left).await,
            Ok(verdict) => verdict.outcome().map_or_else(
                || Outcome::Unknown("the home region runs another version".into()),
                |outcome| recorded_outcome(outcome, hops),
            ),
            Err(ProposalError::NotCommitted(cause)) => {
                Outcome::Refused(home_unreachable_refusal(&self.home_region, &cause))
            }
            Err(ProposalError::OutcomeUnknown(cause)) => {
                self.release(&vm).await;
                Outcome::Refused(home_unreachable_refusal(&self.home_region, &cause))
            }
        }
    }

    async fn dispatch(
        &self,
        vm: &Arc<Vm>,
        request: &path::Request<Admitted>,
        target: &Announcement,
        time_left: Duration,
    ) -> Outcome<TargetResponse> {
        let (limits, watch) = (vm.settings.dispatch(), TargetLimit::watch(vm, target));
        let share = vm.buffer_budget.share();
        let response = path::dispatch(request, target, limits, time_left, &vm.clock, watch, share);
        let outcome = match response.await {
            Outcome::Answered(response) => {
                let share = vm.buffer_budget.share();
                read_complete_response(response, vm.settings.body_limit, share).await
            }
            Outcome::Refused(refusal) => {
                self.release(vm).await;
                return Outcome::Refused(refusal);
            }
            Outcome::Unknown(cause) => Err(cause),
        };
        match outcome {
            Ok((head, body, hops)) => {
                self.record_outcome(vm, Some(to_stored_response(&head, &body))).await;
                Outcome::Answered(response_with_body(head, body, hops))
            }
            Err(cause) => {
                self.record_outcome(vm, None).await;
                Outcome::Unknown(cause)
            }
        }
    }

    async fn record_outcome(&self, vm: &Vm, response: Option<claim::StoredResponse>) {
        let Claim { customer, key, request, .. } = self.claim.clone();
        let record = RecordOutcome { customer, key, request, response };
        for _ in 0..MAX_RECORD_ATTEMPTS {
            if vm
                .propose_claim_operation(
                    &self.home_region,
                    Operation::RecordOutcome(record.clone()),
                )
                .await
                .is_ok()
            {
                return;
            }
        }
        event::path::NOT_SETTLED.emit(&vm.logger, &[("request", &self.claim.request)]);
    }

    /// Releases the claim of a call of which no byte was written to a target.
    async fn release(&self, vm: &Vm) {
        let Claim { customer, key, request, .. } = self.claim.clone();
        let release = Operation::Release(Release { customer, key, request });
        let _ = vm.propose_claim_operation(&self.home_region, release).await;
    }
}

/// The outcome that the home region gave instead of permission to run the call.
fn recorded_outcome(
    outcome: Outcome<claim::StoredResponse>,
    hops: Vec<String>,
) -> Outcome<TargetResponse> {
    match outcome {
        Outcome::Refused(refusal) => Outcome::Refused(refusal),
        Outcome::Unknown(cause) => Outcome::Unknown(cause),
        Outcome::Answered(response) => {
            let headers = response
                .headers
                .into_iter()
                .map(|header| Header { name: header.name, value: header.value.to_vec() });
            let headers = headers.collect();
            let head = ResponseHead { status: response.status, headers, ..ResponseHead::default() };
            Outcome::Answered(response_with_body(head, response.body, hops))
        }
    }
}

async fn read_complete_response(
    mut response: TargetResponse,
    limit: usize,
    mut share: BufferShare,
) -> Result<(ResponseHead, Bytes, Vec<String>), UnknownOutcome> {
    let mut body = Vec::new();
    loop {
        match response.next().await {
            BodyPart::Chunk(bytes)
                if body.len() + bytes.len() <= limit && share.grow_to(body.len() + bytes.len()) =>
            {
                body.extend_from_slice(&bytes);
            }
            BodyPart::Chunk(_) => return Err("the call ran, but its answer is too large".into()),
            BodyPart::End => {
                return Ok((response.head.clone(), Bytes::from(body), response.hops.clone()));
            }
            BodyPart::Abort(cause) => return Err(cause.into()),
        }
    }
}

fn to_stored_response(head: &ResponseHead, body: &Bytes) -> claim::StoredResponse {
    let headers = head.headers.iter().map(|pair| claim::Header {
        name: pair.name.clone(),
        value: Bytes::copy_from_slice(&pair.value),
    });
    claim::StoredResponse {
        status: head.status,
        headers: headers.collect(),
        body: body.clone(),
        body_dropped: false,
    }
}

fn response_with_body(head: ResponseHead, body: Bytes, hops: Vec<String>) -> TargetResponse {
    let (sender, parts) = smol::channel::bounded(2);
    let _ = sender.try_send(BodyPart::Chunk(body));
    let _ = sender.try_send(BodyPart::End);
    TargetResponse::new(head, hops, parts)
}

fn home_unreachable_refusal(home: &id::Region, cause: &str) -> Refusal {
    Refusal::new(
        Reason::HomeUnreachable,
        format!("the home region `{home}` did not decide on the call: {cause}"),
        "send the call again with the same key",
    )
    .retry_after(Duration::from_secs(1))
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
