use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use prost::{Message, bytes::Bytes};
use smol::Timer;

use super::{
    Vm,
    agreement::{LISTS, Undecided, claims},
};
use crate::{
    claim::{
        self, Claim, Command, MarkComplete, MarkOutcomesUnknown, Operation, RecordOutcome, Release,
        Verdict,
    },
    event, id, list_state,
    member::State,
    outcome::{Doubt, Outcome, Reason, Refusal},
    path::{self, Admitted, Answer, Part, Resolved},
    replica::Group,
    target::Announcement,
    wire::{Head, Pair},
};

/// How long a decision of the home region may take.
const DECISION: Duration = Duration::from_secs(4);
/// How long after its deadline a call that nobody settled counts as unknown.
const GRACE: Duration = Duration::from_secs(10);
/// How often the leader looks for calls whose deadline has passed.
const SWEEP: Duration = Duration::from_secs(2);
/// How often settling an outcome is tried again.
const SETTLE_TRIES: u32 = 5;

impl Vm {
    /// Runs a call that may run at most once at `target`: claimed durably in the customer's home
    /// region, then dispatched, then its outcome kept there, then answered.
    ///
    /// The work goes on when the caller leaves, so that its outcome is kept.
    pub(super) async fn run_once(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        target: &Announcement,
        left: Duration,
    ) -> Outcome<Answer> {
        let call = Call::new(self, request, left);
        let work = call.run(Arc::clone(self), Arc::clone(request), target.clone(), left);
        detached(work).await.unwrap_or_else(|| Outcome::Unknown("the VM is stopping".into()))
    }

    async fn decide(&self, home: &id::Region, operation: Operation) -> Result<Verdict, Undecided> {
        let command = Command::new(self.clock.wall(), operation);
        let command = Bytes::from(command.encode_to_vec());
        let replicas = self.claim_replicas(home);
        let reply = self.propose(&claims(home), &replicas, command, DECISION).await?;
        let reply = claim::Reply::decode(reply).ok().and_then(|reply| reply.verdict);
        reply.ok_or_else(|| Undecided::Unknown("the home region runs another version".to_owned()))
    }

    /// Does what the leader of this region's claims has to do, as long as the VM runs.
    pub(super) async fn tend_claims(self: Arc<Self>) {
        let Some(group) = self.agreement.claims.clone() else { return };
        loop {
            Timer::after(SWEEP).await;
            let status = group.status().consensus;
            if status.leader.as_ref() != Some(&self.settings.vm) {
                continue;
            }
            if group.read(|machine| machine.complete_since_ms().is_none()) {
                self.vouch(&group).await;
            }
            for abandon in self.abandoned(&group) {
                let sweep = Operation::MarkOutcomesUnknown(abandon);
                let command = Command::new(self.clock.wall(), sweep).encode_to_vec();
                let _ = group.propose(Bytes::from(command), DECISION).await;
            }
        }
    }

    /// Whose running calls are to be given up: those of processes that ended, as a later one of
    /// the VM is known or the VM is gone, and those past their deadline.
    fn abandoned(&self, group: &Group<claim::StateMachine>) -> Vec<MarkOutcomesUnknown> {
        let runners: Vec<(String, u64)> = group.read(|machine| {
            machine
                .running_incarnations()
                .into_iter()
                .map(|(vm, number)| (vm.to_owned(), number))
                .collect()
        });
        let late = (!runners.is_empty()).then(MarkOutcomesUnknown::default);
        let now = self.clock.now();
        let members = self.members();
        let ended = runners.into_iter().filter_map(|(vm, incarnation)| {
            let (entry, state) =
                members.members(now).find(|(entry, _)| entry.peer.vm.as_str() == vm)?;
            let below = match state {
                State::Gone => entry.incarnation.max(incarnation) + 1,
                _ => entry.incarnation,
            };
            (incarnation < below).then_some(MarkOutcomesUnknown { vm, below_incarnation: below })
        });
        late.into_iter().chain(ended).collect()
    }

    /// Vouches for the records of a group that is the first of its region. The group of the
    /// lists counts the groups of each region, so that one that lost its disks is told from it.
    async fn vouch(&self, group: &Group<claim::StateMachine>) {
        let membership = group.status().consensus.membership;
        let Some(formation) = membership.peers().map(|peer| peer.disk_id).min() else { return };
        let operation = format!("{}/{formation:016x}", group.name());
        let command = list_state::Command::incarnation(&operation, group.name()).encode_to_vec();
        let reply = self.propose(LISTS, &self.replicas(), Bytes::from(command), DECISION).await;
        let verdict = reply.ok().and_then(|reply| list_state::Reply::decode(reply).ok()?.verdict);
        match verdict {
            Some(list_state::Verdict::Issued(issued)) if issued.number == 1 => {
                let rebuilt = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
                let command = Command::new(self.clock.wall(), rebuilt).encode_to_vec();
                let _ = group.propose(Bytes::from(command), DECISION).await;
            }
            Some(list_state::Verdict::Issued(_)) => {
                event::lists::CLAIMS_INCOMPLETE.emit(&self.logger, &[("group", &group.name())]);
            }
            _ => {}
        }
    }

    /// Takes an operator's word that calls made before may run twice.
    pub async fn accept_risk(&self, words: &str, operator: &str) -> Result<(), String> {
        let risk =
            claim::AcceptRisk { confirmation: words.to_owned(), operator: operator.to_owned() };
        match self.decide(&self.settings.region.clone(), Operation::AcceptRisk(risk)).await {
            Ok(Verdict::Done(_)) => Ok(()),
            Ok(Verdict::Rejected(rejected)) => Err(rejected.reason),
            Ok(_) => Err("the home region runs another version".to_owned()),
            Err(Undecided::No(cause) | Undecided::Unknown(cause)) => Err(cause),
        }
    }
}

/// Waits for `work`, which goes on when nobody waits any more.
async fn detached<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Option<T> {
    let (sender, done) = smol::channel::bounded(1);
    smol::spawn(async move {
        let _ = sender.send(work.await).await;
    })
    .detach();
    done.recv().await.ok()
}

/// One call that may run at most once.
#[derive(Clone, Debug)]
struct Call {
    home: id::Region,
    claim: Claim,
}

impl Call {
    fn new(vm: &Vm, request: &path::Request<Admitted>, left: Duration) -> Self {
        let Resolved { plan, target_path, body, key, .. } = &request.stage.resolved;
        let key = key.clone().unwrap_or_default();
        let claim = Claim {
            customer: plan.customer.to_string(),
            digest: claim::request_digest(request.method.as_str(), target_path, body),
            // A late release of an earlier attempt must not touch this one, so each has its own.
            request: format!("{}.{}", request.id, vm.request_id()),
            vm: vm.settings.vm.to_string(),
            incarnation: vm.incarnation,
            created_ms: claim::key_created_ms(&key).unwrap_or_default(),
            deadline_ms: milliseconds(vm.clock.wall() + left + GRACE),
            key,
        };
        Self { home: plan.home.clone(), claim }
    }

    async fn run(
        self,
        vm: Arc<Vm>,
        request: Arc<path::Request<Admitted>>,
        target: Announcement,
        left: Duration,
    ) -> Outcome<Answer> {
        let _busy = vm.busy();
        let way: Vec<String> = request.way.iter().map(ToString::to_string).collect();
        match vm.decide(&self.home, Operation::Claim(self.claim.clone())).await {
            Ok(Verdict::Run(_)) => self.dispatch(&vm, &request, &target, left).await,
            Ok(verdict) => verdict.outcome().map_or_else(
                || Outcome::Unknown("the home region runs another version".into()),
                |outcome| decided(outcome, way),
            ),
            Err(Undecided::No(cause)) => Outcome::Refused(unreachable_home(&self.home, &cause)),
            Err(Undecided::Unknown(cause)) => {
                self.release(&vm).await;
                Outcome::Refused(unreachable_home(&self.home, &cause))
            }
        }
    }

    async fn dispatch(
        &self,
        vm: &Vm,
        request: &path::Request<Admitted>,
        target: &Announcement,
        left: Duration,
    ) -> Outcome<Answer> {
        let limits = vm.settings.dispatch();
        let outcome = match path::dispatch(request, target, limits, left).await {
            Outcome::Answered(answer) => whole(answer, vm.settings.body_limit).await,
            Outcome::Refused(refusal) => {
                self.release(vm).await;
                return Outcome::Refused(refusal);
            }
            Outcome::Unknown(doubt) => Err(doubt),
        };
        match outcome {
            Ok((head, body, way)) => {
                self.settle(vm, Some(stored(&head, &body))).await;
                Outcome::Answered(restored(head, body, way))
            }
            Err(doubt) => {
                self.settle(vm, None).await;
                Outcome::Unknown(doubt)
            }
        }
    }

    async fn settle(&self, vm: &Vm, answer: Option<claim::StoredResponse>) {
        let Claim { customer, key, request, .. } = self.claim.clone();
        let settle = RecordOutcome { customer, key, request, response: answer };
        for _ in 0..SETTLE_TRIES {
            if vm.decide(&self.home, Operation::RecordOutcome(settle.clone())).await.is_ok() {
                return;
            }
        }
        event::path::NOT_SETTLED.emit(&vm.logger, &[("request", &self.claim.request)]);
    }

    /// Gives the claim back: no byte of the call was written to a target.
    async fn release(&self, vm: &Vm) {
        let Claim { customer, key, request, .. } = self.claim.clone();
        let release = Operation::Release(Release { customer, key, request });
        let _ = vm.decide(&self.home, release).await;
    }
}

/// The outcome of a request whose call it is not to run.
fn decided(outcome: Outcome<claim::StoredResponse>, way: Vec<String>) -> Outcome<Answer> {
    match outcome {
        Outcome::Refused(refusal) => Outcome::Refused(refusal),
        Outcome::Unknown(doubt) => Outcome::Unknown(doubt),
        Outcome::Answered(answer) => {
            let headers = answer
                .headers
                .into_iter()
                .map(|header| Pair { name: header.name, value: header.value.to_vec() });
            let head = Head { status: answer.status, headers: headers.collect() };
            Outcome::Answered(restored(head, answer.body, way))
        }
    }
}

/// Reads an answer whole.
async fn whole(mut answer: Answer, limit: usize) -> Result<(Head, Bytes, Vec<String>), Doubt> {
    let mut body = Vec::new();
    loop {
        match answer.next().await {
            Part::Chunk(bytes) if body.len() + bytes.len() <= limit => {
                body.extend_from_slice(&bytes);
            }
            Part::Chunk(_) => return Err("the call ran, but its answer is too large".into()),
            Part::End => return Ok((answer.head.clone(), Bytes::from(body), answer.way.clone())),
            Part::Abort(cause) => return Err(cause.into()),
        }
    }
}

fn stored(head: &Head, body: &Bytes) -> claim::StoredResponse {
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

fn restored(head: Head, body: Bytes, way: Vec<String>) -> Answer {
    let (sender, parts) = smol::channel::bounded(2);
    let _ = sender.try_send(Part::Chunk(body));
    let _ = sender.try_send(Part::End);
    Answer::new(head, way, parts)
}

fn unreachable_home(home: &id::Region, cause: &str) -> Refusal {
    Refusal::new(
        Reason::HomeUnreachable,
        format!("the home region `{home}` did not decide on the call: {cause}"),
        "send the call again with the same key",
    )
    .retry_after(Duration::from_secs(1))
}

fn milliseconds(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
