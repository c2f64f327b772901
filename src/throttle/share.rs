use std::time::Duration;

use super::{Limit, Peers};
use crate::id;

/// All VMs together may send what the limit allows in this time at once.
const BURST: Duration = Duration::from_secs(1);
/// The requests that all VMs together may send at once on top. At a limit of one a second, a few
/// VMs can use it, so that it does not depend on the callers of a single VM.
const BURST_REQUESTS: f64 = 2.5;
/// The shortest time without news of a limit after which other VMs get their turn.
const MIN_TURN: Duration = Duration::from_secs(5);
/// A VM with a turn gets at least this many requests in it.
const REQUESTS_PER_TURN: f64 = 2.0;

/// Whose turn it was when a VM last heard from a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// The hash of the name of one of the VMs; none for the first ones.
    pub holder: Option<u64>,
    /// The time since then.
    pub silence: Duration,
}

/// The part of a target's limit that one VM may use.
///
/// Where the limit is too low for every VM to have a request at hand, the VMs are ranked by a hash
/// that depends on the target, and only a few that follow each other share the limit. If none of
/// them hears from the target for some time, it is the turn of those that follow.
///
/// ```
/// use pomelogate::throttle::{Peers, Share, Turn};
///
/// let limit = "1".parse().unwrap();
/// let vms: Vec<String> = (0..95).map(|number| format!("vm-{number}")).collect();
/// let shares = vms.iter().map(|own| {
///     let peers = Peers::new(own, vms.iter().map(String::as_str));
///     Share::new(limit, &"engine".into(), &peers, Turn::default())
/// });
/// let per_sec: f64 = shares.map(|share| share.per_sec).sum();
/// assert!((0.99..1.01).contains(&per_sec));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests a second; zero if it is the turn of other VMs.
    pub per_sec: f64,
    /// The requests that the VM may send at once.
    pub burst: f64,
    /// The time until it is this VM's turn; zero if it is now.
    pub turn_in: Duration,
}

impl Share {
    /// The share of the VM that `peers` belongs to.
    pub fn new(limit: Limit, target: &id::Target, peers: &Peers, last_turn: Turn) -> Self {
        let burst = limit.per_sec() * BURST.as_secs_f64() + BURST_REQUESTS;
        let vm_count = peers.vm_count();
        let vms_per_turn = (burst as u32).clamp(1, vm_count);
        let per_sec = limit.per_sec() / f64::from(vms_per_turn);
        let turn = MIN_TURN.max(Duration::from_secs_f64(REQUESTS_PER_TURN / per_sec));
        let turn_count = vm_count.div_ceil(vms_per_turn);
        let own_turn = peers.rank(target) / vms_per_turn;
        let holder_rank = last_turn.holder.map_or(0, |holder| peers.rank_of(holder, target));
        let silence = last_turn.silence;
        let turns_since = (silence.as_secs_f64() / turn.as_secs_f64()) as u32 % turn_count;
        let current_turn = (holder_rank / vms_per_turn + turns_since) % turn_count;
        if own_turn == current_turn {
            let burst = (burst / f64::from(vms_per_turn)).floor();
            return Self { per_sec, burst, turn_in: Duration::ZERO };
        }
        let turns_left = (own_turn + turn_count - current_turn) % turn_count;
        let elapsed = Duration::from_secs_f64(silence.as_secs_f64() % turn.as_secs_f64());
        Self { per_sec: 0.0, burst: 0.0, turn_in: (turn * turns_left).saturating_sub(elapsed) }
    }
}
