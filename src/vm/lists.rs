//! The lists of plans, allowances and planned stops on this VM: keeps them in step with the
//! replicas, and has changes committed.

use std::{
    collections::BTreeSet,
    fs,
    path::Path,
    sync::{Arc, MutexGuard},
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender};

use super::{
    Vm,
    replica_groups::{LISTS_GROUP, ProposalError},
};
use crate::{
    event, id,
    list::{self, Book, Draft, Fault, Kind, KnownNames},
    list_state::{
        self, Action, ChangeAnswer, Command, ListSync, PeerRequest, PeerRequestKind, Reply,
        RolloutProgress, Subject, Update, Versions, VersionsReply, VersionsRequest,
    },
    outcome::{Reason, Refusal},
    settings::Peer,
    stop::{PlannedStops, Scope},
    wire::Topic,
};

/// How long the proposal of a change may take.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(8);
/// How long another VM may take to answer a query about the lists.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the replicas are asked for the versions in force while a change waits.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// The longest pause between two rounds of list synchronization, and the pause between two
/// attempts to seed a list.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request waits for lists that this VM does not have yet; also the additional pause
/// after a seed file with faults.
const LISTS_TIMEOUT: Duration = Duration::from_secs(4);

/// The outcome of an operator's change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The replicas decided on the change.
    Decided(ChangeAnswer),
    /// The change has faults and was not proposed.
    Invalid(Vec<Fault>),
    /// The change was not committed.
    NotCommitted(String),
    /// The change may have been committed; the same change can be sent again.
    OutcomeUnknown(String),
}

impl Vm {
    /// Waits until the lists on this VM are fresh enough to decide by, and returns them.
    ///
    /// # Errors
    ///
    /// Where they are missing or stale for [`LISTS_TIMEOUT`].
    pub(super) async fn wait_for_book(&self) -> Result<Arc<Book>, Refusal> {
        let deadline = self.clock.now() + LISTS_TIMEOUT;
        self.wait_until(deadline, || self.fresh_book().is_some()).await;
        self.fresh_book().ok_or_else(not_ready)
    }

    /// The lists in force; none where those of this VM may be stale.
    pub(super) fn fresh_book(&self) -> Option<Arc<Book>> {
        let list_sync = self.list_sync();
        if self.uses_replicas() && list_sync.is_stale(self.clock.now()) {
            return None;
        }
        list_sync.book().or_else(|| self.static_book.clone())
    }

    /// Waits for the lists of the given versions, under which another VM decided.
    ///
    /// # Errors
    ///
    /// Where they are not yet, or no longer, kept on this VM.
    pub(super) async fn wait_for_book_at(
        &self,
        plans: u64,
        allowances: u64,
    ) -> Result<Arc<Book>, Refusal> {
        if !self.uses_replicas() {
            return self.wait_for_book().await;
        }
        let deadline = self.clock.now() + LISTS_TIMEOUT;
        let find_book = || self.list_sync().book_at(plans, allowances);
        self.wait_until(deadline, || find_book().is_some()).await;
        find_book().ok_or_else(not_ready)
    }

    /// The planned stops in force.
    pub(super) fn planned_stops(&self) -> Arc<PlannedStops> {
        self.list_sync().stops()
    }

    /// Whether the lists come from replicas rather than from files alone.
    pub(super) fn uses_replicas(&self) -> bool {
        !self.settings.replicas.is_empty()
    }

    /// Keeps the lists of this VM in step with the replicas, as long as the VM runs.
    pub(super) async fn sync_lists(self: Arc<Self>) {
        if !self.uses_replicas() {
            return;
        }
        loop {
            self.update_peers();
            self.read_local_replica().await;
            let actions = self.list_sync().tick(self.clock.now());
            self.perform_actions(actions).await;
            self.wait_for_next_round().await;
        }
    }

    /// Waits until the replica on this VM applies more entries or the next round is due.
    async fn wait_for_next_round(&self) {
        let due = self.list_sync().next_tick_at().saturating_duration_since(self.clock.now());
        let timer = async {
            Timer::after(due.min(SYNC_INTERVAL)).await;
        };
        match &self.replica_groups.lists {
            Some(lists) => {
                let index = lists.status().applied_index;
                let applied = async {
                    if !lists.wait_until_applied_beyond(index).await {
                        std::future::pending::<()>().await;
                    }
                };
                smol::future::or(applied, timer).await;
            }
            None => timer.await,
        }
    }

    /// Tells the follower which VMs it may fetch from.
    fn update_peers(&self) {
        let is_replica = |peer: &Peer| self.settings.is_replica(&peer.vm);
        let peers: Vec<_> = self
            .known_vms()
            .into_iter()
            .map(|peer| list_state::Peer {
                holds_replica: is_replica(&peer),
                vm: peer.vm,
                region: peer.region,
            })
            .collect();
        self.list_sync().set_peers(&peers);
    }

    /// Reads the lists from the replica on this VM, where there is one.
    async fn read_local_replica(&self) {
        let Some(lists) = &self.replica_groups.lists else { return };
        if lists.status().applied_index == 0 {
            return;
        }
        let actions = lists.read(|machine| self.list_sync().apply_local(machine.store()));
        if let Ok(actions) = actions {
            self.perform_actions(actions).await;
        }
    }

    async fn perform_actions(&self, actions: Vec<Action>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Fetch { to, fetch } => {
                    queue.extend(self.fetch_update(to, PeerRequestKind::Fetch(fetch)).await);
                }
                Action::Save(image) => queue.extend(self.save_lists(image).await),
                Action::InForce(versions) => {
                    let (plans, allowances) = (versions.plans, versions.allowances);
                    event::lists::IN_FORCE.emit(
                        &self.logger,
                        &[
                            ("plans", &plans),
                            ("allowances", &allowances),
                            ("stops", &versions.stops),
                        ],
                    );
                    self.notify_fetchers(&versions);
                }
            }
        }
    }

    /// Notifies the VMs that fetch from this one of new versions, so that they fetch at once.
    fn notify_fetchers(&self, versions: &Versions) {
        let payload = Bytes::from(versions.encode_to_vec());
        let fetchers = self.list_sync().fetchers();
        for peer in fetchers.iter().filter_map(|vm| self.peer(vm)) {
            let (hub, payload) = (Arc::clone(&self.hub), payload.clone());
            let notify = async move {
                let _ = hub.notify(peer.links, Topic::Lists, payload).await;
            };
            smol::spawn(notify).detach();
        }
    }

    /// Receives the versions that another VM serves.
    pub(super) fn receive_list_versions(&self, payload: Bytes) {
        if let Ok(versions) = Versions::decode(payload) {
            self.list_sync().record_peer_versions(&versions, self.clock.now());
        }
    }

    async fn fetch_update(&self, from: id::Vm, question: PeerRequestKind) -> Vec<Action> {
        let update = self.query_vm::<Update>(&from, question).await;
        let now = self.clock.now();
        let Some(update) = update else {
            self.list_sync().record_fetch_failure(&from, now);
            return Vec::new();
        };
        self.list_sync().handle_update(&from, &update, now).unwrap_or_default()
    }

    async fn query_vm<T: Message + Default>(
        &self,
        to: &id::Vm,
        question: PeerRequestKind,
    ) -> Option<T> {
        let peer = self.peer(to)?;
        let payload = Bytes::from(PeerRequest::from(question).encode_to_vec());
        let reply = self.hub.call(peer.links, Topic::Lists, payload, QUERY_TIMEOUT).await.ok()?;
        T::decode(reply).ok()
    }

    async fn save_lists(&self, image: Vec<u8>) -> Vec<Action> {
        let Some(folder) = self.settings.data.clone() else { return Vec::new() };
        match smol::unblock(move || list_state::save_cache(&folder, &image)).await {
            Ok(()) => self.list_sync().mark_saved().unwrap_or_default(),
            Err(cause) => {
                event::lists::CACHE_FAILED.emit(&self.logger, &[("cause", &cause)]);
                Vec::new()
            }
        }
    }

    /// Answers another VM's query about the lists.
    pub(super) async fn answer_list_query(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let Ok(request) = PeerRequest::decode(payload) else { return };
        let now = self.clock.now();
        let bytes = match request.kind {
            Some(PeerRequestKind::Fetch(fetch)) => {
                self.list_sync().answer_fetch(&fetch, now).encode_to_vec()
            }
            Some(PeerRequestKind::Versions(_)) => {
                VersionsReply { vm_versions: self.list_sync().reported_versions(now) }
                    .encode_to_vec()
            }
            None => return,
        };
        let _ = reply.send(Bytes::from(bytes)).await;
    }

    /// Checks a new version of a list and has it committed. Then waits up to `wait` for it to be
    /// in force in every region, and returns the regions that are missing.
    pub async fn change_list(&self, kind: Kind, text: &str, wait: Duration) -> ChangeOutcome {
        let draft = match self.check_change(kind, text).await {
            Ok(draft) => draft,
            Err(outcome) => return outcome,
        };
        let command = match &self.replica_groups.lists {
            Some(lists) => lists.read(|machine| Command::compact_change(draft, machine.store())),
            None => Command::change(draft),
        };
        self.propose_to_lists(command, kind.into(), wait).await
    }

    /// Runs the checks that [`Vm::change_list`] runs before it proposes a version of a list.
    ///
    /// A version that is already in force and is sent again is not checked against the lists in
    /// force.
    pub(super) async fn check_change(
        &self,
        kind: Kind,
        text: &str,
    ) -> Result<Draft, ChangeOutcome> {
        let book = match self.wait_for_book().await {
            Ok(book) => book,
            Err(refusal) => return Err(ChangeOutcome::NotCommitted(refusal.to_string())),
        };
        let newest = match kind {
            Kind::Plans => book.plans().version,
            Kind::Allowances => book.allowances().version,
        };
        match list::parse_draft(kind, text) {
            Ok(draft) if draft.version <= newest => Ok(draft),
            _ => {
                list::check(kind, text, &self.known_names(), &book).map_err(ChangeOutcome::Invalid)
            }
        }
    }

    /// Announces or withdraws a planned stop. A resend with the same `operation` gets the first
    /// reply.
    pub async fn change_planned_stop(
        &self,
        scope: &Scope,
        announce: bool,
        operation: &str,
        wait: Duration,
    ) -> ChangeOutcome {
        let command = if announce {
            Command::announce(operation, scope)
        } else {
            Command::withdraw(operation, scope)
        };
        self.propose_to_lists(command, Subject::Stops, wait).await
    }

    async fn propose_to_lists(
        &self,
        command: Command,
        subject: Subject,
        wait: Duration,
    ) -> ChangeOutcome {
        if !self.uses_replicas() {
            let why = "the settings name no replicas, so the lists come from files alone";
            return ChangeOutcome::NotCommitted(why.to_owned());
        }
        let command = Bytes::from(command.encode_to_vec());
        let reply = match self
            .propose(LISTS_GROUP, &self.replica_peers(), command, PROPOSAL_TIMEOUT)
            .await
        {
            Ok(reply) => reply,
            Err(ProposalError::NotCommitted(cause)) => return ChangeOutcome::NotCommitted(cause),
            Err(ProposalError::OutcomeUnknown(cause)) => {
                return ChangeOutcome::OutcomeUnknown(cause);
            }
        };
        let Ok(reply) = Reply::decode(reply) else {
            return ChangeOutcome::OutcomeUnknown("the replicas run another version".to_owned());
        };
        ChangeOutcome::Decided(
            self.wait_until_in_force(subject, &reply, self.clock.now() + wait).await,
        )
    }

    /// Asks the replicas until the version is in force in every region, or until `deadline`.
    async fn wait_until_in_force(
        &self,
        subject: Subject,
        reply: &Reply,
        deadline: Instant,
    ) -> ChangeAnswer {
        loop {
            let answer = ChangeAnswer::new(subject, reply.clone(), &self.gather_progress().await);
            let is_waiting = matches!(answer, ChangeAnswer::Committed { .. });
            if !is_waiting || self.clock.now() >= deadline {
                return answer;
            }
            Timer::after(PROGRESS_INTERVAL).await;
        }
    }

    /// Gathers from the replicas which versions every VM serves.
    pub(super) async fn gather_progress(&self) -> RolloutProgress {
        let mut progress = RolloutProgress::default();
        for peer in self.serving_vms() {
            progress.expect_vm(peer.vm, peer.region);
        }
        let queries = self.replica_peers().into_iter().map(|replica| async move {
            if replica.vm == self.settings.vm {
                return Some(self.list_sync().reported_versions(self.clock.now()));
            }
            let question = PeerRequestKind::Versions(VersionsRequest {});
            self.query_vm::<VersionsReply>(&replica.vm, question)
                .await
                .map(|reply| reply.vm_versions)
        });
        for served in futures_util::future::join_all(queries).await.into_iter().flatten().flatten()
        {
            progress.record_versions(&served.vm, served.versions);
        }
        progress
    }

    /// The VMs that may be serving callers. Those of the settings are included even when the
    /// membership has forgotten them.
    fn serving_vms(&self) -> Vec<Peer> {
        let members = self.members();
        let mut serving = members.may_be_serving(self.clock.now());
        let known: BTreeSet<_> =
            members.members(self.clock.now()).map(|(entry, _)| &entry.peer.vm).collect();
        let forgotten = self.settings.peers.iter().filter(|peer| !known.contains(&peer.vm));
        serving.extend(forgotten.cloned());
        serving
    }

    /// Proposes the lists of the files until the replicas have accepted a first version of each.
    pub(super) async fn seed_lists(self: Arc<Self>) {
        let Some(lists) = &self.replica_groups.lists else { return };
        for (kind, path) in
            [(Kind::Allowances, &self.settings.allowances), (Kind::Plans, &self.settings.plans)]
        {
            let Some(path) = path else { continue };
            while lists.status().applied_index == 0
                || lists.read(|machine| machine.store().versions()).of(kind.into()) == 0
            {
                self.seed_from_file(kind, path).await;
                Timer::after(SYNC_INTERVAL).await;
            }
        }
    }

    async fn seed_from_file(&self, kind: Kind, path: &Path) {
        let Some(lists) = &self.replica_groups.lists else { return };
        let (Ok(text), Ok(book)) =
            (fs::read_to_string(path), lists.read(|machine| machine.store().book()))
        else {
            return;
        };
        match list::check(kind, &text, &self.known_names(), &book) {
            Ok(draft) => {
                let command = Bytes::from(Command::change(draft).encode_to_vec());
                let _ = lists.propose(command, PROPOSAL_TIMEOUT).await;
            }
            Err(faults) => {
                for fault in faults {
                    let path = path.display();
                    event::path::FAULTY_LIST
                        .emit(&self.logger, &[("file", &path), ("fault", &fault)]);
                }
                Timer::after(LISTS_TIMEOUT).await;
            }
        }
    }

    /// The canonical names that lists may use.
    pub(super) fn known_names(&self) -> KnownNames {
        KnownNames::from(&self.names)
    }

    pub(super) fn list_sync(&self) -> MutexGuard<'_, ListSync> {
        super::node::lock(&self.list_sync)
    }
}

fn not_ready() -> Refusal {
    Refusal::new(
        Reason::NotReady,
        "this VM has not learnt the lists in force",
        "use another VM that the directory names",
    )
    .retry_after(Duration::from_secs(1))
}
