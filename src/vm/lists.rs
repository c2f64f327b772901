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
    agreement::{LISTS, Undecided},
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

/// How long a proposal of a change may take.
const PROPOSAL: Duration = Duration::from_secs(8);
/// How long a fetch may take.
const FETCH: Duration = Duration::from_secs(2);
/// How often the replicas are asked for the versions in force while a change waits for them.
const REPORTS: Duration = Duration::from_secs(1);
/// The longest pause between two looks at what there is to do.
const LOOK: Duration = Duration::from_millis(200);
/// How long a request waits for lists that this VM has not learnt yet.
const LEARN: Duration = Duration::from_secs(4);

/// What came of an operator's change.
#[derive(Clone, Debug, PartialEq)]
pub enum Changed {
    /// It was decided on.
    Decided(ChangeAnswer),
    /// It has faults, so it was not proposed.
    Faulty(Vec<Fault>),
    /// It was not committed.
    NotCommitted(String),
    /// It may have been committed; the same change can be sent again.
    Unknown(String),
}

impl Vm {
    /// The lists in force, once this VM knows that it does not serve old ones.
    ///
    /// # Errors
    ///
    /// Where it has not learnt them.
    pub(super) async fn current_book(&self) -> Result<Arc<Book>, Refusal> {
        let end = self.clock.now() + LEARN;
        self.wait(end, || self.book().is_some()).await;
        self.book().ok_or_else(not_ready)
    }

    /// The lists in force, unless this VM may serve old ones.
    pub(super) fn book(&self) -> Option<Arc<Book>> {
        let list_sync = self.list_sync();
        if self.follows() && list_sync.is_stale(self.clock.now()) {
            return None;
        }
        list_sync.book().or_else(|| self.fixed.clone())
    }

    /// The lists under which another VM decided.
    ///
    /// # Errors
    ///
    /// Where they are not or no longer in force here.
    pub(super) async fn book_at(&self, plans: u64, allowances: u64) -> Result<Arc<Book>, Refusal> {
        if !self.follows() {
            return self.current_book().await;
        }
        let end = self.clock.now() + LEARN;
        let known = || self.list_sync().book_at(plans, allowances);
        self.wait(end, || known().is_some()).await;
        known().ok_or_else(not_ready)
    }

    /// The planned stops in force.
    pub(super) fn stops(&self) -> Arc<PlannedStops> {
        self.list_sync().stops()
    }

    /// Whether the lists come from a group of replicas, and not from files alone.
    pub(super) fn follows(&self) -> bool {
        !self.settings.replicas.is_empty()
    }

    /// Keeps the lists of this VM in step with the replicas.
    pub(super) async fn follow(self: Arc<Self>) {
        if !self.follows() {
            return;
        }
        loop {
            self.name_sources();
            self.take_local().await;
            let actions = self.list_sync().tick(self.clock.now());
            self.perform(actions).await;
            self.pause().await;
        }
    }

    /// Waits for the replica on this VM to apply more, or for the next step to be due.
    async fn pause(&self) {
        let due = self.list_sync().next_tick_at().saturating_duration_since(self.clock.now());
        let timer = async {
            Timer::after(due.min(LOOK)).await;
        };
        match &self.agreement.lists {
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

    fn name_sources(&self) {
        let replica = |peer: &Peer| self.settings.is_replica(&peer.vm);
        let peers: Vec<_> = self
            .peers()
            .into_iter()
            .map(|peer| list_state::Peer {
                holds_replica: replica(&peer),
                vm: peer.vm,
                region: peer.region,
            })
            .collect();
        self.list_sync().set_peers(&peers);
    }

    async fn take_local(&self) {
        let Some(lists) = &self.agreement.lists else { return };
        if lists.status().applied_index == 0 {
            return;
        }
        let taken = lists.read(|machine| self.list_sync().apply_local(machine.store()));
        if let Ok(actions) = taken {
            self.perform(actions).await;
        }
    }

    async fn perform(&self, actions: Vec<Action>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Fetch { to, fetch } => {
                    queue.extend(self.fetch_lists(to, PeerRequestKind::Fetch(fetch)).await);
                }
                Action::Save(image) => queue.extend(self.save(image).await),
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
                    self.tell_fetchers(&versions);
                }
            }
        }
    }

    /// Tells the VMs that fetch from this one of new versions, so that they fetch at once.
    fn tell_fetchers(&self, versions: &Versions) {
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

    /// Takes another VM's word of the versions that it serves.
    pub(super) fn hear_of_lists(&self, payload: Bytes) {
        if let Ok(versions) = Versions::decode(payload) {
            self.list_sync().record_peer_versions(&versions, self.clock.now());
        }
    }

    async fn fetch_lists(&self, from: id::Vm, question: PeerRequestKind) -> Vec<Action> {
        let update = self.question::<Update>(&from, question).await;
        let now = self.clock.now();
        let Some(update) = update else {
            self.list_sync().record_fetch_failure(&from, now);
            return Vec::new();
        };
        self.list_sync().handle_update(&from, &update, now).unwrap_or_default()
    }

    async fn question<T: Message + Default>(
        &self,
        to: &id::Vm,
        question: PeerRequestKind,
    ) -> Option<T> {
        let peer = self.peer(to)?;
        let payload = Bytes::from(PeerRequest::from(question).encode_to_vec());
        let reply = self.hub.call(peer.links, Topic::Lists, payload, FETCH).await.ok()?;
        T::decode(reply).ok()
    }

    async fn save(&self, image: Vec<u8>) -> Vec<Action> {
        let Some(folder) = self.settings.data.clone() else { return Vec::new() };
        match smol::unblock(move || list_state::save_cache(&folder, &image)).await {
            Ok(()) => self.list_sync().mark_saved().unwrap_or_default(),
            Err(cause) => {
                event::lists::CACHE_FAILED.emit(&self.logger, &[("cause", &cause)]);
                Vec::new()
            }
        }
    }

    /// Answers another VM's question about the lists.
    pub(super) async fn answer_lists(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
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

    /// Checks a new version of a list, has it committed, and says where it is in force; waits for
    /// that at most for `wait`.
    pub async fn change(&self, kind: Kind, text: &str, wait: Duration) -> Changed {
        let draft = match self.examine(kind, text).await {
            Ok(draft) => draft,
            Err(changed) => return changed,
        };
        let command = match &self.agreement.lists {
            Some(lists) => lists.read(|machine| Command::compact_change(draft, machine.store())),
            None => Command::change(draft),
        };
        self.decide_lists(command, kind.into(), wait).await
    }

    /// Checks a version of a list as a change does before it is proposed.
    ///
    /// One that stands already, and is sent again, is not checked against what stands by now.
    pub(super) async fn examine(&self, kind: Kind, text: &str) -> Result<Draft, Changed> {
        let book = match self.current_book().await {
            Ok(book) => book,
            Err(refusal) => return Err(Changed::NotCommitted(refusal.to_string())),
        };
        let stands = match kind {
            Kind::Plans => book.plans().version,
            Kind::Allowances => book.allowances().version,
        };
        match list::parse_draft(kind, text) {
            Ok(draft) if draft.version <= stands => Ok(draft),
            _ => list::check(kind, text, &self.known(), &book).map_err(Changed::Faulty),
        }
    }

    /// Announces a planned stop, or withdraws it.
    pub async fn plan_stop(
        &self,
        scope: &Scope,
        announce: bool,
        operation: &str,
        wait: Duration,
    ) -> Changed {
        let command = if announce {
            Command::announce(operation, scope)
        } else {
            Command::withdraw(operation, scope)
        };
        self.decide_lists(command, Subject::Stops, wait).await
    }

    async fn decide_lists(&self, command: Command, subject: Subject, wait: Duration) -> Changed {
        if !self.follows() {
            let why = "the settings name no replicas, so the lists come from files alone";
            return Changed::NotCommitted(why.to_owned());
        }
        let command = Bytes::from(command.encode_to_vec());
        let reply = match self.propose(LISTS, &self.replicas(), command, PROPOSAL).await {
            Ok(reply) => reply,
            Err(Undecided::No(cause)) => return Changed::NotCommitted(cause),
            Err(Undecided::Unknown(cause)) => return Changed::Unknown(cause),
        };
        let Ok(reply) = Reply::decode(reply) else {
            return Changed::Unknown("the replicas run another version".to_owned());
        };
        Changed::Decided(self.in_force(subject, &reply, self.clock.now() + wait).await)
    }

    /// Says in which regions a version is in force, asking again until `end` or all are.
    async fn in_force(&self, subject: Subject, reply: &Reply, end: Instant) -> ChangeAnswer {
        loop {
            let answer = ChangeAnswer::new(subject, reply.clone(), &self.progress().await);
            let waits = matches!(answer, ChangeAnswer::Committed { .. });
            if !waits || self.clock.now() >= end {
                return answer;
            }
            Timer::after(REPORTS).await;
        }
    }

    /// What every known VM serves, gathered from the replicas.
    pub(super) async fn progress(&self) -> RolloutProgress {
        let mut progress = RolloutProgress::default();
        for peer in self.serving() {
            progress.expect_vm(peer.vm, peer.region);
        }
        let asked = self.replicas().into_iter().map(|replica| async move {
            if replica.vm == self.settings.vm {
                return Some(self.list_sync().reported_versions(self.clock.now()));
            }
            let question = PeerRequestKind::Versions(VersionsRequest {});
            self.question::<VersionsReply>(&replica.vm, question)
                .await
                .map(|reply| reply.vm_versions)
        });
        for served in futures_util::future::join_all(asked).await.into_iter().flatten().flatten() {
            progress.record_versions(&served.vm, served.versions);
        }
        progress
    }

    /// The VMs that may be serving callers, those of the settings among them even when they have
    /// been forgotten.
    fn serving(&self) -> Vec<Peer> {
        let members = self.members();
        let mut serving = members.serving(self.clock.now());
        let known: BTreeSet<_> =
            members.members(self.clock.now()).map(|(entry, _)| &entry.peer.vm).collect();
        let forgotten = self.settings.peers.iter().filter(|peer| !known.contains(&peer.vm));
        serving.extend(forgotten.cloned());
        serving
    }

    /// Proposes the lists of the files, where no list was accepted yet.
    pub(super) async fn seed(self: Arc<Self>) {
        let Some(lists) = &self.agreement.lists else { return };
        for (kind, path) in
            [(Kind::Allowances, &self.settings.allowances), (Kind::Plans, &self.settings.plans)]
        {
            let Some(path) = path else { continue };
            while lists.status().applied_index == 0
                || lists.read(|machine| machine.store().versions()).of(kind.into()) == 0
            {
                self.seed_from(kind, path).await;
                Timer::after(LOOK).await;
            }
        }
    }

    async fn seed_from(&self, kind: Kind, path: &Path) {
        let Some(lists) = &self.agreement.lists else { return };
        let (Ok(text), Ok(book)) =
            (fs::read_to_string(path), lists.read(|machine| machine.store().book()))
        else {
            return;
        };
        match list::check(kind, &text, &self.known(), &book) {
            Ok(draft) => {
                let command = Bytes::from(Command::change(draft).encode_to_vec());
                let _ = lists.propose(command, PROPOSAL).await;
            }
            Err(faults) => {
                for fault in faults {
                    let path = path.display();
                    event::path::FAULTY_LIST
                        .emit(&self.logger, &[("file", &path), ("fault", &fault)]);
                }
                Timer::after(LEARN).await;
            }
        }
    }

    /// The canonical names that lists may use.
    pub(super) fn known(&self) -> KnownNames {
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
