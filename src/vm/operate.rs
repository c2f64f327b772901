use std::{sync::Arc, time::Duration};

use hyper::StatusCode;

use super::{
    Changed, Vm,
    admin::{malformed, read},
};
use crate::{
    admin::{Applied, Change, Problem, Replica, Replicas, Risk, Stop, Stops},
    consensus::ProposeError,
    id,
    list::{Book, Kind},
    list_state::ChangeAnswer,
    replica::RequestError,
    stop,
};

/// How long a change of replicas may take.
const MEMBERSHIP: Duration = Duration::from_secs(8);
/// The longest that a change waits until it is in force.
const WAIT_LIMIT: Duration = Duration::from_secs(8);

/// A refusal of an operator's request, with its HTTP status.
type Refused = (StatusCode, Problem);

impl Vm {
    /// The newest lists that this VM knows, even where it does not decide by them yet.
    pub(super) fn newest_book(&self) -> Arc<Book> {
        let known = self.list_sync().book();
        known.or_else(|| self.fixed.clone()).unwrap_or_default()
    }

    /// Takes a change of a list.
    pub(super) async fn put(&self, kind: Kind, body: &[u8]) -> Result<Applied, Refused> {
        let change: Change<'_> =
            serde_json::from_slice(body).map_err(|cause| refuse_form(&cause.to_string()))?;
        if change.dry_run {
            return self.try_out(kind, change.list.get()).await;
        }
        let wait = Duration::from_millis(change.wait_ms).min(WAIT_LIMIT);
        applied(self.change(kind, change.list.get(), wait).await)
    }

    async fn try_out(&self, kind: Kind, text: &str) -> Result<Applied, Refused> {
        match self.examine(kind, text).await {
            Ok(draft) => Ok(Applied { version: draft.version, committed: false, waiting: vec![] }),
            Err(changed) => applied(changed),
        }
    }

    /// The planned stops in force on this VM.
    pub(super) fn planned(&self) -> Stops {
        let scopes = self.stops();
        Stops { stops: scopes.scopes().map(|scope| Stop { scope: scope.clone() }).collect() }
    }

    /// Announces or withdraws a planned stop.
    pub(super) async fn stop(&self, body: &[u8], announce: bool) -> Result<Applied, Refused> {
        let Stop { scope } =
            read::<Stop>(body).map_err(|problem| (StatusCode::BAD_REQUEST, problem))?;
        self.check_scope(&scope)?;
        let operation = format!("{}/{}", self.settings.vm, self.request_id());
        applied(self.plan_stop(&scope, announce, &operation, Duration::ZERO).await)
    }

    /// A stop of something unknown would be in force and stop nothing.
    fn check_scope(&self, scope: &stop::Scope) -> Result<(), Refused> {
        let peers = self.peers();
        let known = match scope {
            stop::Scope::Target(_) => true,
            stop::Scope::Vm(vm) => peers.iter().any(|peer| peer.vm == *vm),
            stop::Scope::Zone(zone) => peers.iter().any(|peer| peer.zone == *zone),
            stop::Scope::Region(region) => peers.iter().any(|peer| peer.region == *region),
        };
        if known {
            return Ok(());
        }
        let detail = format!("no VM stands for `{scope}`");
        let problem = Problem::new("unknown_name", detail, "see `pomelogate status` for the names");
        Err((StatusCode::UNPROCESSABLE_ENTITY, problem))
    }

    /// The replicas of the lists, as the replica on this VM knows them.
    pub(super) fn replica_states(&self) -> Result<Replicas, Refused> {
        let lists = self.agreement.lists.as_ref().ok_or_else(|| self.no_replica())?;
        let status = lists.status().consensus;
        let replicas = status.membership.peers().map(|peer| Replica {
            leader: status.leader.as_ref() == Some(&peer.vm),
            voter: status.membership.voters().any(|voter| voter == peer),
            index: (peer.vm == self.settings.vm).then_some(status.last_index),
            vm: peer.vm,
        });
        let empty = status.announced.iter().map(|peer| peer.vm.clone());
        Ok(Replicas { replicas: replicas.collect(), empty: empty.collect() })
    }

    /// Readmits the replica of a VM that lost its disk.
    pub(super) async fn readmit(&self, vm: &str) -> Result<Replicas, Refused> {
        let lists = self.agreement.lists.as_ref().ok_or_else(|| self.no_replica())?;
        lists.admit(id::Vm::from(vm), MEMBERSHIP).await.map_err(|failure| not_changed(&failure))?;
        self.replica_states()
    }

    /// Removes the replica of a VM.
    pub(super) async fn remove_replica(&self, vm: &str) -> Result<Replicas, Refused> {
        let lists = self.agreement.lists.as_ref().ok_or_else(|| self.no_replica())?;
        lists
            .remove(id::Vm::from(vm), MEMBERSHIP)
            .await
            .map_err(|failure| not_changed(&failure))?;
        self.replica_states()
    }

    /// Takes an operator's word that calls made before may run a second time.
    pub(super) async fn accept(&self, body: &[u8]) -> Result<Risk, Refused> {
        let risk = read::<Risk>(body).map_err(|problem| (StatusCode::BAD_REQUEST, problem))?;
        match self.accept_risk(&risk.words, &risk.operator).await {
            Ok(()) => Ok(risk),
            Err(cause) => {
                let remedy = "see docs/operators/lost-disk.md for the words";
                Err((StatusCode::CONFLICT, Problem::new("not_accepted", cause, remedy)))
            }
        }
    }

    fn no_replica(&self) -> Refused {
        let names: Vec<&str> = self.settings.replicas.iter().map(id::Vm::as_str).collect();
        let detail = format!("this VM holds no replica; `{}` do", names.join("`, `"));
        let problem = Problem::new("no_replica", detail, "name one of them with `--vm`");
        (StatusCode::NOT_FOUND, problem)
    }
}

/// The answer to a change: where it stands, or why it does not.
fn applied(changed: Changed) -> Result<Applied, Refused> {
    let refused = |status, kind: &str, detail: String, remedy: &str| {
        Err((status, Problem::new(kind, detail, remedy)))
    };
    match changed {
        Changed::Decided(ChangeAnswer::Accepted { version }) => {
            Ok(Applied { version, committed: true, waiting: Vec::new() })
        }
        Changed::Decided(ChangeAnswer::Committed { version, waiting_for }) => {
            Ok(Applied { version, committed: true, waiting: waiting_for })
        }
        Changed::Decided(ChangeAnswer::Conflict { accepted }) => {
            let content = String::from_utf8_lossy(&accepted.content).into_owned();
            let (version, newest) = (accepted.version, accepted.newest);
            let detail = format!(
                "version {version} stands with other content; the newest is {newest}: {content}"
            );
            refused(StatusCode::CONFLICT, "conflict", detail, "merge, and make the next version")
        }
        Changed::Decided(ChangeAnswer::Gap { next }) => {
            let detail = format!("the next change makes version {next}");
            refused(StatusCode::CONFLICT, "gap", detail, "get the list and change that")
        }
        Changed::Decided(ChangeAnswer::Forgotten { oldest }) => {
            let detail = format!("versions below {oldest} can no longer be compared");
            refused(StatusCode::CONFLICT, "forgotten", detail, "get the list to see what stands")
        }
        Changed::Decided(ChangeAnswer::Invalid { faults }) => {
            let detail = faults.join("\n");
            refused(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail, "correct the list")
        }
        Changed::Faulty(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let detail = lines.join("\n");
            refused(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail, "correct the list")
        }
        Changed::NotCommitted(cause) => {
            let remedy = "nothing changed; send it again";
            refused(StatusCode::SERVICE_UNAVAILABLE, "not_committed", cause, remedy)
        }
        Changed::Unknown(cause) => {
            let remedy = "send the same again: it is answered as the first time";
            refused(StatusCode::BAD_GATEWAY, "unknown", cause, remedy)
        }
    }
}

fn refuse_form(cause: &str) -> Refused {
    (StatusCode::BAD_REQUEST, malformed(cause))
}

fn not_changed(failure: &RequestError) -> Refused {
    let (status, kind, remedy) = match failure {
        RequestError::NotLeader(_) | RequestError::Refused(ProposeError::NotLeader(_)) => (
            StatusCode::CONFLICT,
            "not_leader",
            "ask the leader, which `GET /admin/v1/replicas` names",
        ),
        RequestError::OutcomeUnknown => {
            (StatusCode::BAD_GATEWAY, "unknown", "look at the replicas again")
        }
        RequestError::Refused(_) | RequestError::Stopped => {
            (StatusCode::CONFLICT, "refused", "look at the replicas")
        }
    };
    (status, Problem::new(kind, failure.to_string(), remedy))
}
