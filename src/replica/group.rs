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
    runner::{Input, RequestResult, Runner, Shared},
};
use crate::{
    clock::Clock,
    consensus::{self, LeaderLease, MembershipChange},
    disk::Log,
    event::agreement,
    id,
};

/// Requests wait while the queue is full; messages are dropped.
const MAX_QUEUED_INPUTS: usize = 4096;

/// What a replica knows about itself and its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The state of the consensus.
    pub consensus: consensus::Status,
    /// The last index that is applied to the state machine.
    pub applied_index: u64,
    /// The number of syncs to disk since the replica started.
    pub sync_count: u64,
}

/// A replicated group, accessed through its replica on this VM.
///
/// The replica stops when this is dropped.
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
///     let timeout = Duration::from_secs(10);
///     let reply = group.propose(Bytes::from("any"), timeout).await.unwrap();
///     assert_eq!(reply, 1u64.to_le_bytes()[..]);
///     group.read_barrier(timeout).await.unwrap();
///     assert_eq!(group.read(|count| count.0), 1);
/// });
/// ```
pub struct Group<M> {
    name: String,
    inputs: channel::Sender<Input>,
    shared: Arc<Shared<M>>,
    clock: Arc<dyn Clock>,
    logger: Logger,
    next_read_token: AtomicU64,
    _task: smol::Task<()>,
}

impl<M: StateMachine + 'static> Group<M> {
    /// Opens the folder and starts the replica in a task.
    ///
    /// # Errors
    ///
    /// If the folder cannot be used or its snapshot cannot be restored.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
        machine: M,
        outgoing: channel::Sender<Outgoing>,
    ) -> Result<Arc<Self>, Error> {
        let new_disk_id = SysRng.try_next_u64().map_err(Error::Random)?.max(1);
        let seed = SysRng.try_next_u64().map_err(Error::Random)?;
        let folder = settings.folder.clone();
        let (log, durable_state) = smol::unblock(move || Log::open(&folder, new_disk_id)).await?;
        if durable_state.hard_state.is_none() {
            agreement::WAITS.emit(&logger, &[("group", &settings.group)]);
        }
        let start = consensus::StartParameters {
            settings: settings.consensus.clone(),
            me: consensus::Peer { vm: settings.vm.clone(), disk_id: log.disk_id() },
            initial_voters: settings.initial_voters.clone(),
            durable_state,
            seed,
        };
        let raft = consensus::Raft::new(start, clock.now());
        let shared = Arc::new(Shared::new(machine, raft.status()));
        let (inputs, queued_inputs) = channel::bounded(MAX_QUEUED_INPUTS);
        let name = settings.group.clone();
        let mut runner = Runner {
            settings,
            clock: clock.clone(),
            logger: logger.clone(),
            raft,
            log: Some(log),
            shared: shared.clone(),
            queued_inputs,
            outgoing,
            pending_proposals: Default::default(),
            pending_reads: Default::default(),
            was_leader: false,
        };
        // The only voter of a group becomes leader at once.
        runner.raft.tick(runner.clock.now());
        runner.process_outputs().await?;
        let task = smol::spawn(runner.run());
        let next_read_token = AtomicU64::new(seed);
        Ok(Arc::new(Self { name, inputs, shared, clock, logger, next_read_token, _task: task }))
    }

    /// The name of the group.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Handles an encoded [`Envelope`] from the replica of the VM `from`.
    ///
    /// Drops the envelope if too many inputs are queued; the consensus tolerates lost messages.
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

    /// Proposes a command and returns the reply of the state machine once it is committed and
    /// applied.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`], [`RequestError::Refused`] and [`RequestError::Stopped`] if the
    /// command has no effect; [`RequestError::OutcomeUnknown`] if it may have been committed.
    pub async fn propose(&self, command: Bytes, timeout: Duration) -> Result<Bytes, RequestError> {
        self.request(timeout, |result_sender| Input::Propose(command, result_sender)).await
    }

    /// Waits until the state machine of this replica includes every command that was acknowledged
    /// on any replica before the call. A quorum confirms the index it waits for.
    ///
    /// # Errors
    ///
    /// If no quorum confirmed the index within `timeout`. A read barrier changes nothing.
    pub async fn read_barrier(&self, timeout: Duration) -> Result<(), RequestError> {
        let token = self.next_read_token.fetch_add(1, Ordering::Relaxed);
        self.request(timeout, |result_sender| Input::ReadBarrier(token, result_sender))
            .await
            .map(|_| ())
    }

    /// Admits the empty replica of `vm`, which may be new or may have lost its disk. It starts as
    /// a learner and becomes a voter once it has caught up.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`].
    pub async fn admit(&self, vm: id::Vm, timeout: Duration) -> Result<(), RequestError> {
        let build_input =
            |result_sender| Input::MembershipChange(MembershipChange::Admit(vm), result_sender);
        self.request(timeout, build_input).await.map(|_| ())
    }

    /// Removes the replica of `vm`.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`].
    pub async fn remove(&self, vm: id::Vm, timeout: Duration) -> Result<(), RequestError> {
        let build_input =
            |result_sender| Input::MembershipChange(MembershipChange::Remove(vm), result_sender);
        self.request(timeout, build_input).await.map(|_| ())
    }

    /// Asks the group to remove this replica. The status tells when it has left; until then it
    /// repeats the request.
    ///
    /// # Errors
    ///
    /// [`RequestError::Stopped`] if the replica does not run.
    pub async fn leave(&self) -> Result<(), RequestError> {
        self.inputs.send(Input::Leave).await.map_err(|_| RequestError::Stopped)
    }

    /// The leader's lease, if this replica leads and the lease has not expired.
    ///
    /// The caller has to compare [`LeaderLease::expires_at`] with the clock again right before it
    /// acts as leader.
    pub fn leader_lease(&self) -> Option<LeaderLease> {
        let lease = *self.shared.leader_lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.filter(|lease| self.clock.now() < lease.expires_at)
    }

    /// Reads the current state of the state machine on this VM, which may lag behind the leader.
    pub fn read<T>(&self, read_state: impl FnOnce(&M) -> T) -> T {
        read_state(&self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The current status.
    pub fn status(&self) -> Status {
        self.shared.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the replica has stopped because of an error in its folder or a snapshot. The log
    /// has the cause.
    pub fn is_stopped(&self) -> bool {
        self.inputs.is_closed()
    }

    /// Waits until an entry after `index` is applied. Returns false if the replica stops first.
    pub async fn wait_until_applied_beyond(&self, index: u64) -> bool {
        loop {
            let changed = self.shared.changed.listen();
            if self.status().applied_index > index {
                return true;
            }
            if self.is_stopped() {
                return false;
            }
            changed.await;
        }
    }

    async fn request(
        &self,
        timeout: Duration,
        build_input: impl FnOnce(channel::Sender<RequestResult>) -> Input,
    ) -> RequestResult {
        let (result_sender, result_receiver) = channel::bounded(1);
        let response = async {
            self.inputs
                .send(build_input(result_sender))
                .await
                .map_err(|_| RequestError::Stopped)?;
            result_receiver.recv().await.unwrap_or(Err(RequestError::OutcomeUnknown))
        };
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err(RequestError::OutcomeUnknown)
        };
        response.or(timed_out).await
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
            leader_lease: Mutex::new(None),
            changed: Default::default(),
        }
    }
}
