//! What the engine asks of the idempotency table, whoever keeps it.
//!
//! The table decides which attempt of a keyed request may run, what its repeats get, and when a result may be shown. The
//! engine calls it in the order in which things happen; it answers at once, and reports what became durable later
//! through [`IdempotencyTable::drain_settled`]. It reads no clock and does no I/O.

use crate::interface::RequestId;
use crate::time::{Micros, Moment, Timestamp};
use std::rc::Rc;

/// What is known of a key when an attempt with it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing that binds: the attempt is the first of its request.
    Vacant,
    /// This attempt has the key; the new one repeats it.
    Original(RequestId),
    /// The key was used with another body.
    BodyMismatch,
    /// Nothing is known, and no new key can be recorded now: retry after this long.
    Unavailable(Micros),
}

/// Whether a run may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// At once.
    Granted,
    /// Once [`Settlement::IntentDurable`] reports it.
    Pending,
    /// Never: another attempt of the key ran in its window.
    Denied,
}

/// What a repeat gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It waits for the end of the attempt that has the key.
    Pending,
    /// This result.
    Replay(Rc<[u8]>),
    /// A failure: the attempt that has the key ran and has no result to show.
    Failed,
}

/// How a run ended, as far as its record is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// With this result.
    Succeeded(Rc<[u8]>),
    /// It ran, or may have run, and has no result.
    NoResult,
    /// It never began.
    NeverRan,
}

/// What the end of a run means for the attempts that wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// These waiters, and the attempt itself, get this result, or a failure if there is none.
    Settled(Vec<RequestId>, Option<Rc<[u8]>>),
    /// The result must not be shown before [`Settlement::ResultDurable`] reports it.
    AwaitingDurable,
}

/// What changes when an attempt releases its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Repeats that waited for it and can get no result any more.
    pub waiters: Vec<RequestId>,
    /// Its intent was being made durable and was withdrawn: it never runs.
    pub intent_withdrawn: bool,
}

/// Something that was waiting for the store, and no longer is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The intent of this attempt is durable: its run may begin.
    IntentDurable(RequestId),
    /// The intent of this attempt could not be recorded: neither it nor its waiters ran. Retry after this long.
    IntentFailed(RequestId, Vec<RequestId>, Micros),
    /// The result of this attempt is durable: it may be shown to it and to its waiters.
    ResultDurable(RequestId, Vec<RequestId>, Rc<[u8]>),
}

/// The table of idempotency keys. There is one in a node.
///
/// `ingress` is when an attempt reached the machine: windows count from the ingress of the attempt that ran.
pub trait IdempotencyTable {
    /// Fingerprint of a body; bodies with equal fingerprints count as equal.
    fn fingerprint(&self, body: &[u8]) -> u128;
    /// Looks up the key of an attempt that has arrived.
    fn lookup(&mut self, now: Moment, key: &str, fingerprint: u128, ingress: Moment) -> Lookup;
    /// Whether the key binds an attempt with this ingress, whatever its body.
    fn contains(&self, key: &str, ingress: Moment) -> bool;
    /// Records the attempt as the first of its request, in place of an entry whose window is over. Returns the waiters of
    /// that one.
    fn reserve(&mut self, key: &Rc<str>, id: RequestId, fingerprint: u128, until: Moment) -> Vec<RequestId>;
    /// Asks for permission to run the attempt; repeats are recognised up to `until`.
    fn begin_run(
        &mut self,
        now: Moment,
        key: &Rc<str>,
        id: RequestId,
        ingress: Moment,
        until: Moment,
    ) -> RunPermit;
    /// Asks for the result of the attempt that has the key.
    fn join(&mut self, key: &str, id: RequestId) -> JoinOutcome;
    /// The run of this attempt is over.
    fn complete_run(&mut self, now: Moment, key: &Rc<str>, id: RequestId, result: RunResult) -> Completion;
    /// The attempt was answered or abandoned, and is not running: it needs its key no longer. A key that ran stays for its
    /// whole window.
    fn release(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Released;
    /// Appends what has settled since the last call, and drops entries whose window is over.
    fn drain_settled(&mut self, now: Moment, settlements: &mut Vec<Settlement>);
    /// Whether keyed requests can be admitted: false while the keys of an earlier process are being read.
    fn is_ready(&self) -> bool;
    /// When to call [`IdempotencyTable::drain_settled`] although nothing happens.
    fn next_wakeup(&self) -> Option<Timestamp>;
}
