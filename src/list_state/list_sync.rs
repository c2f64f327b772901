use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use prost::Message;
use rand::{RngExt, rngs::StdRng};

use super::{Fetch, Peer, Store, Update, UpdateError, Versions, VmVersions, peer};
use crate::{id, list::Book, stop};

/// The settings of a [`ListSync`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Whether the VM has a disk. If so, versions are in force only once they are saved.
    pub has_disk: bool,
    /// The average time from one fetch to the next.
    pub fetch_interval: Duration,
    /// The timeout of a fetch.
    pub fetch_timeout: Duration,
    /// Number of recent books kept, for requests that other VMs decided under them.
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

/// What the caller of [`ListSync`] has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a fetch, then call [`ListSync::handle_update`] or
    /// [`ListSync::record_fetch_failure`].
    Fetch {
        /// The VM to fetch from.
        to: id::Vm,
        /// The request.
        fetch: Fetch,
    },
    /// Save the image with [`save_cache`](super::save_cache), then call [`ListSync::mark_saved`].
    Save(Vec<u8>),
    /// Announce that new versions are in force.
    InForce(Versions),
}

/// Keeps the lists of one VM up to date by fetching from its peers.
///
/// The versions in force never go back to older ones.
#[derive(Debug)]
pub struct ListSync {
    settings: Settings,
    rng: StdRng,
    /// The versions in force.
    store: Store,
    /// The newest versions, which are being saved and not yet in force.
    unsaved_store: Option<Store>,
    recent_books: VecDeque<Arc<Book>>,
    planned_stops: Arc<stop::PlannedStops>,
    /// The peers to fetch from, preferred ones first.
    fetch_order: Vec<id::Vm>,
    region_peers: BTreeSet<id::Vm>,
    pending_fetch: Option<PendingFetch>,
    consecutive_failures: usize,
    next_fetch_at: Instant,
    last_update_at: Option<Instant>,
    /// When a peer last answered or this VM last found itself cut off.
    last_checked_at: Instant,
    recent_failures: VecDeque<Instant>,
    startup: Startup,
    /// The last report of each VM, and when it arrived.
    reports: BTreeMap<id::Vm, (VmVersions, Instant)>,
    /// When each VM last fetched from this one.
    last_fetches: BTreeMap<id::Vm, Instant>,
    /// When to fetch ahead of the interval, to pass on reports or to get known newer versions.
    early_fetch_at: Option<Instant>,
    /// Whether versions came into force that no fetch has reported yet.
    has_unreported_versions: bool,
}

#[derive(Debug)]
struct PendingFetch {
    peer: id::Vm,
    deadline: Instant,
}

/// The startup of a VM without saved versions, which puts none in force before it ends.
#[derive(Debug, Default)]
struct Startup {
    is_done: bool,
    was_answered: bool,
    tried_peers: BTreeSet<id::Vm>,
}

/// Fetch intervals without contact to peers after which the lists count as stale.
const STALE_INTERVALS: u32 = 4;
/// Number of failed fetches within the stale interval after which a VM counts as cut off from its
/// peers. A single failure may come from a connection that broke while this process was frozen.
const CUT_OFF_FAILURES: usize = 3;
/// How long reports are collected before they are passed on.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Fetch intervals for which a report of another VM is passed on.
const REPORT_LIFETIME_INTERVALS: u32 = 4;

impl ListSync {
    /// Creates a `ListSync` from the image in the cache file, if there is one.
    ///
    /// # Errors
    ///
    /// If the image cannot be read.
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
            unsaved_store: None,
            recent_books: VecDeque::new(),
            planned_stops: Arc::default(),
            fetch_order: Vec::new(),
            region_peers: BTreeSet::new(),
            pending_fetch: None,
            consecutive_failures: 0,
            next_fetch_at: now,
            last_update_at: None,
            last_checked_at: now,
            recent_failures: VecDeque::new(),
            startup: Startup::default(),
            reports: BTreeMap::new(),
            last_fetches: BTreeMap::new(),
            early_fetch_at: None,
            has_unreported_versions: false,
        };
        if let Some(image) = image {
            let update = Update::decode(image).map_err(|error| error.to_string())?;
            let mut store = Store::default();
            store.apply(&update).map_err(|error| error.to_string())?;
            list_sync.startup.is_done = true;
            list_sync.set_store(store)?;
        }
        Ok(list_sync)
    }

    /// Sets the VMs that are considered alive.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        let (vm, region) = (&self.settings.vm, &self.settings.region);
        self.fetch_order = peer::fetch_order(vm, region, peers);
        let region_peers = peers.iter().filter(|peer| peer.region == *region && peer.vm != *vm);
        self.region_peers = region_peers.map(|peer| peer.vm.clone()).collect();
    }

    /// Handles what is due at `now`. Call it at [`ListSync::next_tick_at`] and a few times per fetch
    /// interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if let Some(fetch) = self.pending_fetch.take_if(|fetch| fetch.deadline <= now) {
            self.record_failure(&fetch.peer, now);
        }
        let mut actions = self.end_startup_if_ready();
        if std::mem::take(&mut self.has_unreported_versions) {
            self.early_fetch_at.get_or_insert(now);
        }
        if self.pending_fetch.is_some()
            || now < self.next_fetch_at.min(self.early_fetch_at.unwrap_or(self.next_fetch_at))
        {
            return actions;
        }
        self.early_fetch_at = None;
        let Some(peer) = self.choose_peer() else {
            self.next_fetch_at = now + self.settings.fetch_interval;
            return actions;
        };
        self.pending_fetch =
            Some(PendingFetch { peer: peer.clone(), deadline: now + self.settings.fetch_timeout });
        actions.push(Action::Fetch { to: peer, fetch: self.fetch_request(now) });
        actions
    }

    /// When [`ListSync::tick`] has something to do next.
    pub fn next_tick_at(&self) -> Instant {
        let due = self.next_fetch_at.min(self.early_fetch_at.unwrap_or(self.next_fetch_at));
        self.pending_fetch.as_ref().map_or(due, |fetch| fetch.deadline)
    }

    /// Handles the reply to a fetch.
    ///
    /// # Errors
    ///
    /// If the sender is behind this VM or the update does not apply. Nothing changes then, and the
    /// fetch counts as failed.
    pub fn handle_update(
        &mut self,
        from: &id::Vm,
        update: &Update,
        now: Instant,
    ) -> Result<Vec<Action>, UpdateError> {
        let fetch = self.pending_fetch.take_if(|fetch| fetch.peer == *from);
        if fetch.is_some() {
            self.next_fetch_at = now + self.pause_before_next_fetch();
        }
        let mut after = self.unsaved_store.clone().unwrap_or_else(|| self.store.clone());
        match after.apply(update) {
            Ok(changed) => {
                self.consecutive_failures = 0;
                self.recent_failures.clear();
                if let Some(fetch) = fetch {
                    self.record_reply(&fetch, now);
                }
                self.last_update_at = Some(now);
                self.startup.was_answered = true;
                self.startup.tried_peers.insert(from.clone());
                let mut actions =
                    if changed { self.save_or_put_in_force(after)? } else { Vec::new() };
                actions.extend(self.end_startup_if_ready());
                Ok(actions)
            }
            Err(refused) => {
                self.record_failure(from, now);
                Err(refused)
            }
        }
    }

    /// Handles a peer's announcement of the versions in force there. Newer ones are fetched at the
    /// next tick.
    pub fn record_peer_versions(&mut self, versions: &Versions, now: Instant) {
        if !self.versions().covers(versions) {
            self.early_fetch_at = Some(now);
        }
    }

    /// The VMs that fetch from this one and are to be notified of new versions in force.
    pub fn fetchers(&self) -> Vec<id::Vm> {
        self.last_fetches.keys().cloned().collect()
    }

    /// Handles the failure of a fetch.
    pub fn record_fetch_failure(&mut self, from: &id::Vm, now: Instant) {
        if self.pending_fetch.take_if(|fetch| fetch.peer == *from).is_some() {
            self.record_failure(from, now);
        }
    }

    /// Applies the state of the replica on this VM.
    ///
    /// The replica may have been frozen with its VM, so its state may be old: fetching from peers
    /// goes on.
    ///
    /// # Errors
    ///
    /// If the replica is behind the versions in force.
    pub fn apply_local(&mut self, store: &Store) -> Result<Vec<Action>, UpdateError> {
        let newest = self.unsaved_store.as_ref().unwrap_or(&self.store).versions();
        if !store.versions().covers(&newest) {
            return Err(UpdateError::SenderBehind(store.versions()));
        }
        self.startup.was_answered = true;
        let newer = store.versions() != newest;
        let mut actions =
            if newer { self.save_or_put_in_force(store.clone())? } else { Vec::new() };
        actions.extend(self.end_startup_if_ready());
        Ok(actions)
    }

    /// Puts the versions of the last [`Action::Save`] in force, now that they are saved.
    ///
    /// # Errors
    ///
    /// If the lists cannot be read.
    pub fn mark_saved(&mut self) -> Result<Vec<Action>, UpdateError> {
        let Some(store) = self.unsaved_store.take() else { return Ok(Vec::new()) };
        let mut actions = self.put_in_force(store)?;
        actions.extend(self.end_startup_if_ready());
        Ok(actions)
    }

    /// Answers a peer's fetch from the versions in force, and records the versions it reports.
    pub fn answer_fetch(&mut self, fetch: &Fetch, now: Instant) -> Update {
        let own = VmVersions {
            vm: fetch.vm.clone(),
            region: fetch.region.clone(),
            versions: fetch.versions,
        };
        let lifetime = self.settings.fetch_interval * REPORT_LIFETIME_INTERVALS;
        self.last_fetches.retain(|_, at| now.saturating_duration_since(*at) < lifetime);
        self.last_fetches.insert(id::Vm::from(fetch.vm.as_str()), now);
        for report in fetch.relayed_versions.iter().cloned().chain([own]) {
            self.record_report(report, now);
        }
        self.store.updates_since(fetch)
    }

    /// Records the versions in force on a VM. Copies of a report arrive through several VMs and
    /// possibly out of order. A VM never goes back to an older version, so the newest report wins.
    fn record_report(&mut self, report: VmVersions, now: Instant) {
        let vm = id::Vm::from(report.vm.as_str());
        let known = self.reports.get(&vm).map(|(known, _)| known.versions);
        if known.is_some_and(|known| known != report.versions && known.covers(&report.versions)) {
            return;
        }
        if known != Some(report.versions) {
            self.early_fetch_at.get_or_insert(now + REPORT_DELAY);
        }
        self.reports.insert(vm, (report, now));
    }

    /// The lists in force on this VM; `None` before startup has ended.
    pub fn book(&self) -> Option<Arc<Book>> {
        let book = self.recent_books.back().filter(|_| self.startup.is_done);
        book.cloned()
    }

    /// The lists of the given versions, if they are in force here or were recently.
    pub fn book_at(&self, plans: u64, allowances: u64) -> Option<Arc<Book>> {
        let mut books = self.recent_books.iter().rev().filter(|_| self.startup.is_done);
        let same = books
            .find(|book| book.plans().version == plans && book.allowances().version == allowances);
        same.cloned()
    }

    /// The planned stops in force on this VM.
    pub fn stops(&self) -> Arc<stop::PlannedStops> {
        Arc::clone(&self.planned_stops)
    }

    /// The versions in force on this VM.
    pub fn versions(&self) -> Versions {
        self.store.versions()
    }

    /// Whether the lists may be out of date, so that the VM must not decide requests by them.
    ///
    /// This is so if no peer has answered for long and the VM has not found itself cut off either,
    /// as after a freeze. Replies to fetches from before the freeze don't count. A VM that is cut
    /// off goes on with the lists it has.
    pub fn is_stale(&self, now: Instant) -> bool {
        let limit = self.settings.fetch_interval * STALE_INTERVALS + self.settings.fetch_timeout;
        self.recent_books.is_empty()
            || (!self.fetch_order.is_empty() && now > self.last_checked_at + limit)
    }

    /// When an update from a peer was last accepted.
    pub fn last_update_at(&self) -> Option<Instant> {
        self.last_update_at
    }

    fn choose_peer(&self) -> Option<id::Vm> {
        let untried = self.region_peers.iter().find(|vm| !self.startup.tried_peers.contains(*vm));
        if !self.startup.is_done
            && let Some(vm) = untried
        {
            return Some(vm.clone());
        }
        let index = self.consecutive_failures.checked_rem(self.fetch_order.len())?;
        self.fetch_order.get(index).cloned()
    }

    /// The versions in force on this VM and, as recently reported, on those that fetch from it.
    pub fn reported_versions(&mut self, now: Instant) -> Vec<VmVersions> {
        let own = VmVersions {
            vm: self.settings.vm.to_string(),
            region: self.settings.region.to_string(),
            versions: self.versions(),
        };
        let mut reports = self.recent_reports(now);
        reports.push(own);
        reports
    }

    fn fetch_request(&mut self, now: Instant) -> Fetch {
        Fetch {
            vm: self.settings.vm.to_string(),
            region: self.settings.region.to_string(),
            versions: self.versions(),
            relayed_versions: self.recent_reports(now),
        }
    }

    fn recent_reports(&mut self, now: Instant) -> Vec<VmVersions> {
        let lifetime = self.settings.fetch_interval * REPORT_LIFETIME_INTERVALS;
        self.reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < lifetime);
        self.reports.values().map(|(report, _)| report.clone()).collect()
    }

    /// Marks the lists as up to date, unless the process was frozen during the fetch.
    fn record_reply(&mut self, fetch: &PendingFetch, now: Instant) {
        if now < fetch.deadline + self.settings.fetch_interval {
            self.last_checked_at = now;
        }
    }

    fn record_failure(&mut self, peer: &id::Vm, now: Instant) {
        self.consecutive_failures += 1;
        self.record_failure_time(now);
        self.startup.tried_peers.insert(peer.clone());
        self.next_fetch_at = now + self.settings.fetch_interval / 4;
    }

    /// Records a failed fetch. If enough fail in a short time, this VM is cut off from its peers and
    /// may go on with the lists it has.
    fn record_failure_time(&mut self, now: Instant) {
        let window = self.settings.fetch_interval * STALE_INTERVALS;
        self.recent_failures.push_back(now);
        self.recent_failures.retain(|at| now.saturating_duration_since(*at) <= window);
        if self.recent_failures.len() >= CUT_OFF_FAILURES.min(self.fetch_order.len()) {
            self.recent_failures.clear();
            self.last_checked_at = now;
        }
    }

    /// Ends startup once each peer of the region was tried and a peer or the local replica answered.
    fn end_startup_if_ready(&mut self) -> Vec<Action> {
        let all_tried = self.region_peers.iter().all(|vm| self.startup.tried_peers.contains(vm));
        let is_ready = all_tried && self.startup.was_answered && self.unsaved_store.is_none();
        if self.startup.is_done || !is_ready {
            return Vec::new();
        }
        self.startup.is_done = true;
        vec![Action::InForce(self.versions())]
    }

    fn pause_before_next_fetch(&mut self) -> Duration {
        if !self.startup.is_done {
            return Duration::ZERO;
        }
        self.settings.fetch_interval.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn save_or_put_in_force(&mut self, store: Store) -> Result<Vec<Action>, UpdateError> {
        if !self.settings.has_disk {
            return self.put_in_force(store);
        }
        let image = store.full_update().encode_to_vec();
        self.unsaved_store = Some(store);
        Ok(vec![Action::Save(image)])
    }

    fn put_in_force(&mut self, store: Store) -> Result<Vec<Action>, UpdateError> {
        self.set_store(store).map_err(UpdateError::Inapplicable)?;
        self.has_unreported_versions = true;
        let in_force = self.startup.is_done.then(|| Action::InForce(self.versions()));
        Ok(in_force.into_iter().collect())
    }

    fn set_store(&mut self, store: Store) -> Result<(), String> {
        let book = store.book()?;
        self.planned_stops = Arc::new(store.stops());
        self.store = store;
        if self.recent_books.back().is_some_and(|last| has_same_versions(last, &book)) {
            return Ok(());
        }
        self.recent_books.push_back(Arc::new(book));
        while self.recent_books.len() > self.settings.max_books.max(1) {
            self.recent_books.pop_front();
        }
        Ok(())
    }
}

fn has_same_versions(one: &Book, other: &Book) -> bool {
    one.plans().version == other.plans().version
        && one.allowances().version == other.allowances().version
}
