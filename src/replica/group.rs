use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use prost::{Message, bytes::Bytes};
use rand::{TryRng, rngs::SysRng};
use slog::Logger;
use smol::{channel, future::FutureExt};

use super::{
    Envelope, Error, Outgoing, RequestError, Settings, StateMachine,
    runner::{Answer, Input, Runner, Shared},
};
use crate::{
    clock::Clock,
    consensus::{self, LeaderLease, MembershipChange},
    disk::Log,
    event::agreement,
    id,
};

/// Inputs that may wait for the replica; a sender waits when there are more.
const QUEUE: usize = 4096;

/// What a replica knows of itself and its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// What the agreement knows.
    pub consensus: consensus::Status,
    /// The last index that the machine has applied.
    pub applied_index: u64,
    /// Syncs of the folder since the start.
    pub sync_count: u64,
}

/// One replica of one group on one VM.
///
/// It stops when it is dropped.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use pomelogate::{clock, replica::{Group, StateMachine, Settings}};
/// use prost::bytes::Bytes;
///
/// /// Counts commands.
/// struct Count(u64);
///
/// impl StateMachine for Count {
///     fn apply(&mut self, _index: u64, _command: &[u8]) -> Bytes {
///         self.0 += 1;
///         self.snapshot()
///     }
///     fn snapshot(&self) -> Bytes {
///         Bytes::copy_from_slice(&self.0.to_le_bytes())
///     }
///     fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
///         let bytes = snapshot.try_into().map_err(|_| "eight bytes are wanted".to_owned())?;
///         self.0 = u64::from_le_bytes(bytes);
///         Ok(())
///     }
/// }
///
/// smol::block_on(async {
///     let folder = tempfile::tempdir().unwrap();
///     let settings = Settings {
///         vm: "jakarta-1".into(),
///         initial_voters: vec!["jakarta-1".into()],
///         folder: folder.path().join("lists"),
///         ..Settings::default()
///     };
///     let logger = slog::Logger::root(slog::Discard, slog::o!());
///     let (outgoing, _links) = smol::channel::unbounded();
///     let clock = Arc::new(clock::System);
///     let group = Group::start(settings, clock, logger, Count(0), outgoing).await.unwrap();
///     let limit = Duration::from_secs(10);
///     let reply = group.propose(Bytes::from("any"), limit).await.unwrap();
///     assert_eq!(reply, 1u64.to_le_bytes()[..]);
///     group.read_barrier(limit).await.unwrap();
///     assert_eq!(group.read(|count| count.0), 1);
/// });
/// ```
pub struct Group<M> {
    name: String,
    inputs: channel::Sender<Input>,
    shared: Arc<Shared<M>>,
    clock: Arc<dyn Clock>,
    logger: Logger,
    tokens: AtomicU64,
    _task: smol::Task<()>,
}

impl<M: StateMachine + 'static> Group<M> {
    /// Opens the folder and starts the replica as a task.
    ///
    /// # Errors
    ///
    /// Where the folder cannot be used or its snapshot cannot be restored.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
        machine: M,
        outgoing: channel::Sender<Outgoing>,
    ) -> Result<Arc<Self>, Error> {
        let identity = SysRng.try_next_u64().map_err(Error::Random)?.max(1);
        let seed = SysRng.try_next_u64().map_err(Error::Random)?;
        let folder = settings.folder.clone();
        let (log, durable) = smol::unblock(move || Log::open(&folder, identity)).await?;
        if durable.hard_state.is_none() {
            agreement::WAITS.emit(&logger, &[("group", &settings.group)]);
        }
        let start = consensus::StartParameters {
            settings: settings.consensus.clone(),
            me: consensus::Peer { vm: settings.vm.clone(), disk_id: log.disk_id() },
            initial_voters: settings.initial_voters.clone(),
            durable_state: durable,
            seed,
        };
        let core = consensus::Raft::new(start, clock.now());
        let shared = Arc::new(Shared::new(machine, core.status()));
        let (inputs, queue) = channel::bounded(QUEUE);
        let name = settings.group.clone();
        let mut runner = Runner {
            settings,
            clock: clock.clone(),
            logger: logger.clone(),
            core,
            log: Some(log),
            shared: shared.clone(),
            queue,
            outgoing,
            proposals: Default::default(),
            reads: Default::default(),
            led: false,
        };
        // A group of one leads at once.
        runner.core.tick(runner.clock.now());
        runner.settle().await?;
        let task = smol::spawn(runner.run());
        let tokens = AtomicU64::new(seed);
        Ok(Arc::new(Self { name, inputs, shared, clock, logger, tokens, _task: task }))
    }

    /// The name of the group.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Takes an encoded [`Envelope`] that came from the replica of `from`.
    ///
    /// Where the replica cannot keep up, the envelope is dropped, as a link may do.
    pub fn receive(&self, from: &id::Vm, payload: Bytes) {
        match Envelope::decode(payload) {
            Ok(envelope) if envelope.group == self.name => {
                let _ = self.inputs.try_send(Input::Message(from.clone(), envelope.message));
            }
            Ok(_) => {}
            Err(error) => {
                agreement::GARBLED.emit(&self.logger, &[("from", from), ("error", &error)]);
            }
        }
    }

    /// Proposes a command and gives the machine's reply once it is committed and applied.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`], [`RequestError::Refused`] and [`RequestError::Stopped`] where it did not
    /// happen; [`RequestError::OutcomeUnknown`] where it may have.
    pub async fn propose(&self, command: Bytes, limit: Duration) -> Result<Bytes, RequestError> {
        self.ask(limit, |answer| Input::Propose(command, answer)).await
    }

    /// Waits until the machine is at least as new as whatever was acknowledged anywhere before
    /// the call, as a quorum confirms.
    ///
    /// # Errors
    ///
    /// Where no quorum confirmed it within `limit`; a read barrier changes nothing.
    pub async fn read_barrier(&self, limit: Duration) -> Result<(), RequestError> {
        let token = self.tokens.fetch_add(1, Ordering::Relaxed);
        self.ask(limit, |answer| Input::Read(token, answer)).await.map(|_| ())
    }

    /// Admits the empty replica of `vm`, be it new or one that lost its disk: first as a
    /// learner, then, once it has caught up, as a voter.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`].
    pub async fn admit(&self, vm: id::Vm, limit: Duration) -> Result<(), RequestError> {
        let input = |answer| Input::MembershipChange(MembershipChange::Admit(vm), answer);
        self.ask(limit, input).await.map(|_| ())
    }

    /// Removes the replica of `vm`.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`].
    pub async fn remove(&self, vm: id::Vm, limit: Duration) -> Result<(), RequestError> {
        let input = |answer| Input::MembershipChange(MembershipChange::Remove(vm), answer);
        self.ask(limit, input).await.map(|_| ())
    }

    /// The fencing number and its lease, where this replica leads and a quorum proved it.
    ///
    /// Whoever acts on it compares [`LeaderLease::expires_at`] with the clock right before acting.
    pub fn leader_lease(&self) -> Option<LeaderLease> {
        let fence = *self.shared.fence.lock().unwrap_or_else(PoisonError::into_inner);
        fence.filter(|fence| self.clock.now() < fence.expires_at)
    }

    /// Looks at the machine as it stands on this VM.
    pub fn read<T>(&self, look: impl FnOnce(&M) -> T) -> T {
        look(&self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What the replica knows.
    pub fn status(&self) -> Status {
        self.shared.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the replica has stopped, as its folder or a snapshot failed; the log says why.
    pub fn is_stopped(&self) -> bool {
        self.inputs.is_closed()
    }

    /// Waits until the machine has applied more than `index`; false once the replica stopped.
    pub async fn wait_until_applied_beyond(&self, index: u64) -> bool {
        loop {
            let change = self.shared.changed.listen();
            if self.status().applied_index > index {
                return true;
            }
            if self.is_stopped() {
                return false;
            }
            change.await;
        }
    }

    async fn ask(
        &self,
        limit: Duration,
        input: impl FnOnce(channel::Sender<Answer>) -> Input,
    ) -> Answer {
        let (answer, answered) = channel::bounded(1);
        let asked = async {
            self.inputs.send(input(answer)).await.map_err(|_| RequestError::Stopped)?;
            answered.recv().await.unwrap_or(Err(RequestError::OutcomeUnknown))
        };
        let late = async {
            smol::Timer::after(limit).await;
            Err(RequestError::OutcomeUnknown)
        };
        asked.or(late).await
    }
}

impl<M> std::fmt::Debug for Group<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Group").field("name", &self.name).finish_non_exhaustive()
    }
}

impl<M> Shared<M> {
    fn new(machine: M, status: consensus::Status) -> Self {
        Self {
            machine: Mutex::new(machine),
            status: Mutex::new(Status { consensus: status, applied_index: 0, sync_count: 0 }),
            fence: Mutex::new(None),
            changed: Default::default(),
        }
    }
}
