//! Handlers of the operators' API that change or read replicated state.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;

use super::{
    ChangeOutcome, Vm,
    admin::{malformed_body, parse_body},
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

/// How long a change of the group's membership may take.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(8);
/// The longest that the answer to a change waits for the change to be in force.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(8);

/// The HTTP status and body of a refusal.
type ErrorResponse = (StatusCode, Problem);

impl Vm {
    /// The newest lists that this VM knows, also where it may not decide requests by them.
    pub(super) fn newest_book(&self) -> Arc<Book> {
        let known = self.list_sync().book();
        known.or_else(|| self.static_book.clone()).unwrap_or_default()
    }

    /// Changes a list, or only checks the change where it is a dry run.
    pub(super) async fn put_list(&self, kind: Kind, body: &[u8]) -> Result<Applied, ErrorResponse> {
        let change: Change<'_> =
            serde_json::from_slice(body).map_err(|cause| bad_request(&cause.to_string()))?;
        if change.dry_run {
            return self.dry_run(kind, change.list.get()).await;
        }
        let wait = Duration::from_millis(change.wait_ms).min(MAX_IN_FORCE_WAIT);
        change_response(self.change_list(kind, change.list.get(), wait).await)
    }

    async fn dry_run(&self, kind: Kind, text: &str) -> Result<Applied, ErrorResponse> {
        match self.check_change(kind, text).await {
            Ok(draft) => Ok(Applied { version: draft.version, committed: false, waiting: vec![] }),
            Err(outcome) => change_response(outcome),
        }
    }

    /// The planned stops in force on this VM.
    pub(super) fn stop_list(&self) -> Stops {
        let planned = self.planned_stops();
        Stops { stops: planned.scopes().map(|scope| Stop { scope: scope.clone() }).collect() }
    }

    /// Announces or withdraws a planned stop.
    pub(super) async fn change_stop(
        &self,
        body: &[u8],
        announce: bool,
    ) -> Result<Applied, ErrorResponse> {
        let Stop { scope } =
            parse_body::<Stop>(body).map_err(|problem| (StatusCode::BAD_REQUEST, problem))?;
        self.check_scope(&scope)?;
        let operation = format!("{}/{}", self.settings.vm, self.new_request_id());
        change_response(
            self.change_planned_stop(&scope, announce, &operation, Duration::ZERO).await,
        )
    }

    /// Refuses a planned stop of an unknown VM, zone or region: it would be in force and stop
    /// nothing.
    fn check_scope(&self, scope: &stop::Scope) -> Result<(), ErrorResponse> {
        let peers = self.known_vms();
        let is_known = match scope {
            stop::Scope::Target(_) => true,
            stop::Scope::Vm(vm) => peers.iter().any(|peer| peer.vm == *vm),
            stop::Scope::Zone(zone) => peers.iter().any(|peer| peer.zone == *zone),
            stop::Scope::Region(region) => peers.iter().any(|peer| peer.region == *region),
        };
        if is_known {
            return Ok(());
        }
        let detail = format!("no VM stands for `{scope}`");
        let problem = Problem::new("unknown_name", detail, "see `pomelogate status` for the names");
        Err((StatusCode::UNPROCESSABLE_ENTITY, problem))
    }

    /// The replicas of the lists, as the replica on this VM knows them.
    pub(super) fn replica_states(&self) -> Result<Replicas, ErrorResponse> {
        let lists = self.replica_groups.lists.as_ref().ok_or_else(|| self.no_replica())?;
        let status = lists.status().consensus;
        let replicas = status.membership.peers().map(|peer| Replica {
            leader: status.leader.as_ref() == Some(&peer.vm),
            voter: status.membership.voters().any(|voter| voter == peer),
            index: (peer.vm == self.settings.vm).then_some(status.last_index),
            vm: peer.vm,
        });
        let without_data = status.announced.iter().map(|peer| peer.vm.clone());
        Ok(Replicas { replicas: replicas.collect(), empty: without_data.collect() })
    }

    /// Readmits to the group the replica of a VM that lost its disk.
    pub(super) async fn readmit(&self, vm: &str) -> Result<Replicas, ErrorResponse> {
        let lists = self.replica_groups.lists.as_ref().ok_or_else(|| self.no_replica())?;
        lists
            .admit(id::Vm::from(vm), MEMBERSHIP_TIMEOUT)
            .await
            .map_err(|error| membership_error(&error))?;
        self.replica_states()
    }

    /// Removes the replica of a VM from the group.
    pub(super) async fn remove_replica(&self, vm: &str) -> Result<Replicas, ErrorResponse> {
        let lists = self.replica_groups.lists.as_ref().ok_or_else(|| self.no_replica())?;
        lists
            .remove(id::Vm::from(vm), MEMBERSHIP_TIMEOUT)
            .await
            .map_err(|error| membership_error(&error))?;
        self.replica_states()
    }

    /// Records that an operator accepts the risk that earlier calls run a second time.
    pub(super) async fn accept_claim_risk(&self, body: &[u8]) -> Result<Risk, ErrorResponse> {
        let risk =
            parse_body::<Risk>(body).map_err(|problem| (StatusCode::BAD_REQUEST, problem))?;
        match self.accept_risk(&risk.words, &risk.operator).await {
            Ok(()) => Ok(risk),
            Err(cause) => {
                let remedy = "see docs/operators/lost-disk.md for the words";
                Err((StatusCode::CONFLICT, Problem::new("not_accepted", cause, remedy)))
            }
        }
    }

    fn no_replica(&self) -> ErrorResponse {
        let names: Vec<&str> = self.settings.replicas.iter().map(id::Vm::as_str).collect();
        let detail = format!("this VM holds no replica; `{}` do", names.join("`, `"));
        let problem = Problem::new("no_replica", detail, "name one of them with `--vm`");
        (StatusCode::NOT_FOUND, problem)
    }
}

/// The answer to a change: the version and the regions that it waits for, or why it was refused.
fn change_response(outcome: ChangeOutcome) -> Result<Applied, ErrorResponse> {
    let refuse = |status, kind: &str, detail: String, remedy: &str| {
        Err((status, Problem::new(kind, detail, remedy)))
    };
    match outcome {
        ChangeOutcome::Decided(ChangeAnswer::Accepted { version }) => {
            Ok(Applied { version, committed: true, waiting: Vec::new() })
        }
        ChangeOutcome::Decided(ChangeAnswer::Committed { version, waiting_for }) => {
            Ok(Applied { version, committed: true, waiting: waiting_for })
        }
        ChangeOutcome::Decided(ChangeAnswer::Conflict { accepted }) => {
            let content = String::from_utf8_lossy(&accepted.content).into_owned();
            let (version, newest) = (accepted.version, accepted.newest);
            let detail = format!(
                "version {version} stands with other content; the newest is {newest}: {content}"
            );
            refuse(StatusCode::CONFLICT, "conflict", detail, "merge, and make the next version")
        }
        ChangeOutcome::Decided(ChangeAnswer::Gap { next }) => {
            let detail = format!("the next change makes version {next}");
            refuse(StatusCode::CONFLICT, "gap", detail, "get the list and change that")
        }
        ChangeOutcome::Decided(ChangeAnswer::Forgotten { oldest }) => {
            let detail = format!("versions below {oldest} can no longer be compared");
            refuse(StatusCode::CONFLICT, "forgotten", detail, "get the list to see what stands")
        }
        ChangeOutcome::Decided(ChangeAnswer::Invalid { faults }) => {
            let detail = faults.join("\n");
            refuse(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail, "correct the list")
        }
        ChangeOutcome::Invalid(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let detail = lines.join("\n");
            refuse(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail, "correct the list")
        }
        ChangeOutcome::NotCommitted(cause) => {
            let remedy = "nothing changed; send it again";
            refuse(StatusCode::SERVICE_UNAVAILABLE, "not_committed", cause, remedy)
        }
        ChangeOutcome::OutcomeUnknown(cause) => {
            let remedy = "send the same again: it is answered as the first time";
            refuse(StatusCode::BAD_GATEWAY, "unknown", cause, remedy)
        }
    }
}

fn bad_request(cause: &str) -> ErrorResponse {
    (StatusCode::BAD_REQUEST, malformed_body(cause))
}

fn membership_error(error: &RequestError) -> ErrorResponse {
    let (status, kind, remedy) = match error {
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
    (status, Problem::new(kind, error.to_string(), remedy))
}
