use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use prost::Message;
use rand::{RngExt, rngs::StdRng};

use super::{Fetch, Peer, Store, Update, UpdateError, Versions, VmVersions, peer};
use crate::{id, list::Book, stop};

/// The settings of a list_sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Whether the VM has a disk: versions are served only once they are saved.
    pub has_disk: bool,
    /// The time from one fetch to the next, on average.
    pub fetch_interval: Duration,
    /// How long a fetch may take.
    pub fetch_timeout: Duration,
    /// How many recent books are kept for requests that were decided under them.
    pub max_books: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: "vm".into(),
            region: "region".into(),
            has_disk: false,
            fetch_interval: Duration::from_secs(3),
            fetch_timeout: Duration::from_secs(2),
            max_books: 64,
        }
    }
}

/// What the shell has to do for a list_sync.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a fetch; its reply or its failure is passed back.
    Fetch {
        /// The VM to ask.
        to: id::Vm,
        /// The message.
        fetch: Fetch,
    },
    /// Save the image with [`save_cache`](super::save_cache), then call [`ListSync::mark_saved`].
    Save(Vec<u8>),
    /// New versions are in force.
    InForce(Versions),
}

/// Keeps the lists of one VM as new as its peers', and never older than it served them.
#[derive(Debug)]
pub struct ListSync {
    settings: Settings,
    rng: StdRng,
    store: Store,
    saving: Option<Store>,
    books: VecDeque<Arc<Book>>,
    stops: Arc<stop::PlannedStops>,
    sources: Vec<id::Vm>,
    near: BTreeSet<id::Vm>,
    asked: Option<Asked>,
    attempt: usize,
    next: Instant,
    heard: Option<Instant>,
    tried: Instant,
    misses: VecDeque<Instant>,
    starting: Starting,
    served: BTreeMap<id::Vm, (VmVersions, Instant)>,
    /// The VMs that fetched from this one, and when.
    fetchers: BTreeMap<id::Vm, Instant>,
    /// When to fetch beside the period, so that what became known here is reported soon.
    report: Option<Instant>,
    /// Whether new versions are in force here that no fetch has reported.
    unreported: bool,
}

#[derive(Debug)]
struct Asked {
    peer: id::Vm,
    until: Instant,
}

/// What a VM without saved versions has learnt before it serves any.
#[derive(Debug, Default)]
struct Starting {
    done: bool,
    answered: bool,
    tried: BTreeSet<id::Vm>,
}

/// Periods after which a VM that has neither heard nor failed must ask before it serves on.
const STALE_PERIODS: u32 = 4;
/// Peers that must fail one after the other before a VM counts as cut off from them: a single
/// failure may be of a connection that broke while this process stood still.
const MISSES: usize = 3;
/// How long reports are gathered before they are passed on.
const GATHER: Duration = Duration::from_millis(300);
/// Periods for which a list_sync's report is passed on.
const REPORT_PERIODS: u32 = 4;

impl ListSync {
    /// Creates a list_sync, from the saved image where there is one.
    ///
    /// # Errors
    ///
    /// Where the image cannot be read; the message names the remedy.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use pomelogate::list_state::{Action, ListSync, Peer, Settings};
    /// use rand::{SeedableRng, rngs::StdRng};
    ///
    /// let now = Instant::now();
    /// let settings = Settings { vm: "a-1".into(), region: "a".into(), ..Settings::default() };
    /// let mut list_sync = ListSync::new(settings, None, StdRng::seed_from_u64(1), now)?;
    /// list_sync.set_peers(&[Peer { vm: "a-2".into(), region: "a".into(), holds_replica: true }]);
    /// assert!(list_sync.book().is_none());
    /// assert!(matches!(&list_sync.tick(now)[..], [Action::Fetch { .. }]));
    /// # Ok::<(), String>(())
    /// ```
    pub fn new(
        settings: Settings,
        image: Option<&[u8]>,
        rng: StdRng,
        now: Instant,
    ) -> Result<Self, String> {
        let mut list_sync = Self {
            settings,
            rng,
            store: Store::default(),
            saving: None,
            books: VecDeque::new(),
            stops: Arc::default(),
            sources: Vec::new(),
            near: BTreeSet::new(),
            asked: None,
            attempt: 0,
            next: now,
            heard: None,
            tried: now,
            misses: VecDeque::new(),
            starting: Starting::default(),
            served: BTreeMap::new(),
            fetchers: BTreeMap::new(),
            report: None,
            unreported: false,
        };
        if let Some(image) = image {
            let update = Update::decode(image).map_err(|error| error.to_string())?;
            let mut store = Store::default();
            store.apply(&update).map_err(|error| error.to_string())?;
            list_sync.starting.done = true;
            list_sync.install(store)?;
        }
        Ok(list_sync)
    }

    /// Names the VMs that are believed alive.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        let (vm, region) = (&self.settings.vm, &self.settings.region);
        self.sources = peer::fetch_order(vm, region, peers);
        let near = peers.iter().filter(|peer| peer.region == *region && peer.vm != *vm);
        self.near = near.map(|peer| peer.vm.clone()).collect();
    }

    /// Passes time; call it a few times a period and at [`ListSync::next_tick_at`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if let Some(asked) = self.asked.take_if(|asked| asked.until <= now) {
            self.missed(&asked.peer, now);
        }
        let mut actions = self.begin();
        if std::mem::take(&mut self.unreported) {
            self.report.get_or_insert(now);
        }
        if self.asked.is_some() || now < self.next.min(self.report.unwrap_or(self.next)) {
            return actions;
        }
        self.report = None;
        let Some(peer) = self.choose() else {
            self.next = now + self.settings.fetch_interval;
            return actions;
        };
        self.asked = Some(Asked { peer: peer.clone(), until: now + self.settings.fetch_timeout });
        actions.push(Action::Fetch { to: peer, fetch: self.fetch(now) });
        actions
    }

    /// When [`ListSync::tick`] has something to do.
    pub fn next_tick_at(&self) -> Instant {
        let due = self.next.min(self.report.unwrap_or(self.next));
        self.asked.as_ref().map_or(due, |asked| asked.until)
    }

    /// Takes the reply to a fetch.
    ///
    /// # Errors
    ///
    /// Where the update is older than what this VM serves or doesn't fit; it changes nothing.
    pub fn handle_update(
        &mut self,
        from: &id::Vm,
        update: &Update,
        now: Instant,
    ) -> Result<Vec<Action>, UpdateError> {
        let asked = self.asked.take_if(|asked| asked.peer == *from);
        if asked.is_some() {
            self.next = now + self.pause();
        }
        let mut after = self.saving.clone().unwrap_or_else(|| self.store.clone());
        match after.apply(update) {
            Ok(changed) => {
                self.attempt = 0;
                self.misses.clear();
                if let Some(asked) = asked {
                    self.end(&asked, now);
                }
                self.heard = Some(now);
                self.starting.answered = true;
                self.starting.tried.insert(from.clone());
                let mut actions = if changed { self.adopt(after)? } else { Vec::new() };
                actions.extend(self.begin());
                Ok(actions)
            }
            Err(refused) => {
                self.missed(from, now);
                Err(refused)
            }
        }
    }

    /// Takes the news that a peer serves `versions`: what is newer is fetched at once.
    pub fn record_peer_versions(&mut self, versions: &Versions, now: Instant) {
        if !self.versions().covers(versions) {
            self.report = Some(now);
        }
    }

    /// The VMs that fetch from this one, to be told of new versions in force.
    pub fn fetchers(&self) -> Vec<id::Vm> {
        self.fetchers.keys().cloned().collect()
    }

    /// Takes the failure of a fetch.
    pub fn record_fetch_failure(&mut self, from: &id::Vm, now: Instant) {
        if self.asked.take_if(|asked| asked.peer == *from).is_some() {
            self.missed(from, now);
        }
    }

    /// Takes the state of the replica on this VM.
    ///
    /// The replica may have been frozen with its VM, so that it proves nothing about how new it
    /// is: the list_sync goes on fetching from peers.
    ///
    /// # Errors
    ///
    /// Where the replica is behind what this VM serves.
    pub fn apply_local(&mut self, store: &Store) -> Result<Vec<Action>, UpdateError> {
        let own = self.saving.as_ref().unwrap_or(&self.store).versions();
        if !store.versions().covers(&own) {
            return Err(UpdateError::SenderBehind(store.versions()));
        }
        self.starting.answered = true;
        let newer = store.versions() != own;
        let mut actions = if newer { self.adopt(store.clone())? } else { Vec::new() };
        actions.extend(self.begin());
        Ok(actions)
    }

    /// Takes the news that the image of the last [`Action::Save`] is synced.
    ///
    /// # Errors
    ///
    /// Where the lists cannot be read.
    pub fn mark_saved(&mut self) -> Result<Vec<Action>, UpdateError> {
        let Some(store) = self.saving.take() else { return Ok(Vec::new()) };
        let mut actions = self.put_in_force(store)?;
        actions.extend(self.begin());
        Ok(actions)
    }

    /// Serves a peer's fetch from what this VM serves itself, and notes what the peer serves.
    pub fn answer_fetch(&mut self, fetch: &Fetch, now: Instant) -> Update {
        let own = VmVersions {
            vm: fetch.vm.clone(),
            region: fetch.region.clone(),
            versions: fetch.versions,
        };
        let limit = self.settings.fetch_interval * REPORT_PERIODS;
        self.fetchers.retain(|_, at| now.saturating_duration_since(*at) < limit);
        self.fetchers.insert(id::Vm::from(fetch.vm.as_str()), now);
        for served in fetch.relayed_versions.iter().cloned().chain([own]) {
            self.note(served, now);
        }
        self.store.updates_since(fetch)
    }

    /// Notes what a VM serves. Copies of a report come by several ways, late ones too: since a VM
    /// never goes back to an older version, the newest is the one that holds.
    fn note(&mut self, served: VmVersions, now: Instant) {
        let vm = id::Vm::from(served.vm.as_str());
        let known = self.served.get(&vm).map(|(known, _)| known.versions);
        if known.is_some_and(|known| known != served.versions && known.covers(&served.versions)) {
            return;
        }
        if known != Some(served.versions) {
            self.report.get_or_insert(now + GATHER);
        }
        self.served.insert(vm, (served, now));
    }

    /// The lists in force on this VM; none before it has learnt them.
    pub fn book(&self) -> Option<Arc<Book>> {
        let book = self.books.back().filter(|_| self.starting.done);
        book.cloned()
    }

    /// The lists under which another VM decided, if they are or were in force here.
    pub fn book_at(&self, plans: u64, allowances: u64) -> Option<Arc<Book>> {
        let mut books = self.books.iter().rev().filter(|_| self.starting.done);
        let same = books
            .find(|book| book.plans().version == plans && book.allowances().version == allowances);
        same.cloned()
    }

    /// The planned stops in force on this VM.
    pub fn stops(&self) -> Arc<stop::PlannedStops> {
        Arc::clone(&self.stops)
    }

    /// The versions in force on this VM.
    pub fn versions(&self) -> Versions {
        self.store.versions()
    }

    /// Whether this VM must hear from a peer, or fail to reach several, before it decides
    /// anything: it has done neither for long, as after a freeze. What was asked before a freeze
    /// doesn't count.
    pub fn is_stale(&self, now: Instant) -> bool {
        let limit = self.settings.fetch_interval * STALE_PERIODS + self.settings.fetch_timeout;
        self.books.is_empty() || (!self.sources.is_empty() && now > self.tried + limit)
    }

    /// When a peer's state was last found to be no newer than this VM's.
    pub fn last_confirmed_at(&self) -> Option<Instant> {
        self.heard
    }

    fn choose(&self) -> Option<id::Vm> {
        let untried = self.near.iter().find(|vm| !self.starting.tried.contains(*vm));
        if !self.starting.done
            && let Some(vm) = untried
        {
            return Some(vm.clone());
        }
        let place = self.attempt.checked_rem(self.sources.len())?;
        self.sources.get(place).cloned()
    }

    /// What this VM and those that fetch from it serve, as far as they said so lately.
    pub fn reported_versions(&mut self, now: Instant) -> Vec<VmVersions> {
        let own = VmVersions {
            vm: self.settings.vm.to_string(),
            region: self.settings.region.to_string(),
            versions: self.versions(),
        };
        let mut reports = self.others(now);
        reports.push(own);
        reports
    }

    fn fetch(&mut self, now: Instant) -> Fetch {
        Fetch {
            vm: self.settings.vm.to_string(),
            region: self.settings.region.to_string(),
            versions: self.versions(),
            relayed_versions: self.others(now),
        }
    }

    fn others(&mut self, now: Instant) -> Vec<VmVersions> {
        let limit = self.settings.fetch_interval * REPORT_PERIODS;
        self.served.retain(|_, (_, at)| now.saturating_duration_since(*at) < limit);
        self.served.values().map(|(served, _)| served.clone()).collect()
    }

    /// Notes the reply to a fetch, unless a freeze lies between the fetch and its end.
    fn end(&mut self, asked: &Asked, now: Instant) {
        if now < asked.until + self.settings.fetch_interval {
            self.tried = now;
        }
    }

    fn missed(&mut self, peer: &id::Vm, now: Instant) {
        self.attempt += 1;
        self.note_miss(now);
        self.starting.tried.insert(peer.clone());
        self.next = now + self.settings.fetch_interval / 4;
    }

    /// Notes a failed fetch; enough of them in a short time mean that this VM is cut off.
    fn note_miss(&mut self, now: Instant) {
        let window = self.settings.fetch_interval * STALE_PERIODS;
        self.misses.push_back(now);
        self.misses.retain(|at| now.saturating_duration_since(*at) <= window);
        if self.misses.len() >= MISSES.min(self.sources.len()) {
            self.misses.clear();
            self.tried = now;
        }
    }

    /// Ends the start once each peer of the region was asked and one answered.
    fn begin(&mut self) -> Vec<Action> {
        let asked = self.near.iter().all(|vm| self.starting.tried.contains(vm));
        let learnt = asked && self.starting.answered && self.saving.is_none();
        if self.starting.done || !learnt {
            return Vec::new();
        }
        self.starting.done = true;
        vec![Action::InForce(self.versions())]
    }

    fn pause(&mut self) -> Duration {
        if !self.starting.done {
            return Duration::ZERO;
        }
        self.settings.fetch_interval.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn adopt(&mut self, store: Store) -> Result<Vec<Action>, UpdateError> {
        if !self.settings.has_disk {
            return self.put_in_force(store);
        }
        let image = store.full_update().encode_to_vec();
        self.saving = Some(store);
        Ok(vec![Action::Save(image)])
    }

    fn put_in_force(&mut self, store: Store) -> Result<Vec<Action>, UpdateError> {
        self.install(store).map_err(UpdateError::Inapplicable)?;
        self.unreported = true;
        let begun = self.starting.done.then(|| Action::InForce(self.versions()));
        Ok(begun.into_iter().collect())
    }

    fn install(&mut self, store: Store) -> Result<(), String> {
        let book = store.book()?;
        self.stops = Arc::new(store.stops());
        self.store = store;
        if self.books.back().is_some_and(|last| same(last, &book)) {
            return Ok(());
        }
        self.books.push_back(Arc::new(book));
        while self.books.len() > self.settings.max_books.max(1) {
            self.books.pop_front();
        }
        Ok(())
    }
}

fn same(one: &Book, other: &Book) -> bool {
    one.plans().version == other.plans().version
        && one.allowances().version == other.allowances().version
}
