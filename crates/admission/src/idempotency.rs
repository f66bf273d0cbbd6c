//! The interface between the engine and the idempotency table, which another crate implements.
//!
//! The table decides which attempt of a request with an idempotency key may run, what repeats of that attempt
//! get, and when a result may be shown. The engine calls the table in the order in which events occur. The
//! table answers each call at once, and reports through [`IdempotencyTable::drain_settled`] what became
//! durable later. It reads no clock and does no I/O.

use crate::interface::RequestId;
use crate::time::{Micros, Moment, Timestamp};
use std::rc::Rc;

/// The state of an idempotency key when an attempt with this key arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No entry of the key covers the arrival of the attempt, so it is the first attempt of its request.
    Vacant,
    /// The given attempt holds the key, and the arriving attempt is a repeat of it.
    Original(RequestId),
    /// The key was used by a request with another body.
    BodyMismatch,
    /// No entry of the key is known, and no new key can be recorded now. The caller is asked to wait for this
    /// long before a retry.
    Unavailable(Micros),
}

/// The table's decision whether an attempt may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// The run may begin at once.
    Granted,
    /// The run may begin when [`Settlement::IntentDurable`] is reported for the attempt.
    Pending,
    /// The run must not begin, as another attempt with the key ran within the key's window.
    Denied,
}

/// The answer for a repeat of the attempt that holds the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The repeat waits until the attempt that holds the key ends.
    Pending,
    /// The repeat is answered with this result.
    Replay(Rc<[u8]>),
    /// The repeat is answered with a failure: the attempt that holds the key ran and has no result to show.
    Failed,
}

/// How a run ended, in the terms that the table records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The run succeeded with this result.
    Succeeded(Rc<[u8]>),
    /// The attempt ran, or may have run, and has no result.
    NoResult,
    /// The run never began.
    NeverRan,
}

/// The answer that follows from the end of a run, for the attempt itself and the repeats that wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The attempt itself and these waiting repeats are answered now: with this result, or with a failure if
    /// there is none.
    Settled(Vec<RequestId>, Option<Rc<[u8]>>),
    /// The result must not be shown before [`Settlement::ResultDurable`] reports that it is durable.
    AwaitingDurable,
}

/// The consequences when an attempt releases its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Repeats that waited for the attempt and can no longer get a result.
    pub waiters: Vec<RequestId>,
    /// Whether the attempt's intent was still being made durable and was withdrawn, so that the attempt never
    /// runs.
    pub intent_withdrawn: bool,
}

/// An intent or a result whose write to the idempotency store was pending and is now decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The intent of this attempt is durable, so its run may begin.
    IntentDurable(RequestId),
    /// The intent of this attempt could not be recorded. Neither the attempt nor the given waiting repeats
    /// ran; their callers are asked to wait for the given time before a retry.
    IntentFailed(RequestId, Vec<RequestId>, Micros),
    /// The result of this attempt is durable, so it may be shown to its caller and to the given waiting
    /// repeats.
    ResultDurable(RequestId, Vec<RequestId>, Rc<[u8]>),
}

/// The table of idempotency keys. A node has one.
///
/// In all methods `ingress` is the time at which an attempt reached the machine. The window of a key counts
/// from the ingress of the attempt that ran.
pub trait IdempotencyTable {
    /// The fingerprint of a request body; bodies with equal fingerprints count as equal.
    fn fingerprint(&self, body: &[u8]) -> u128;
    /// Looks up `key` for an attempt that has arrived with this fingerprint of its body.
    fn lookup(&mut self, now: Moment, key: &str, fingerprint: u128, ingress: Moment) -> Lookup;
    /// Whether the window of an entry of `key` covers this ingress, whatever the body of the attempt.
    fn contains(&self, key: &str, ingress: Moment) -> bool;
    /// Records attempt `id` as the first attempt of its request, until `until`. Replaces an entry of `key`
    /// whose window is over, and returns the repeats that waited for the replaced entry.
    fn reserve(&mut self, key: &Rc<str>, id: RequestId, fingerprint: u128, until: Moment) -> Vec<RequestId>;
    /// Asks for permission to run attempt `id`. If it runs, repeats are recognised until `until`.
    fn begin_run(
        &mut self,
        now: Moment,
        key: &Rc<str>,
        id: RequestId,
        ingress: Moment,
        until: Moment,
    ) -> RunPermit;
    /// Asks for the result of the attempt that holds `key`, on behalf of the repeat `id`.
    fn join(&mut self, key: &str, id: RequestId) -> JoinOutcome;
    /// Records that the run of attempt `id` ended with `result`.
    fn complete_run(&mut self, now: Moment, key: &Rc<str>, id: RequestId, result: RunResult) -> Completion;
    /// Releases `key` after attempt `id` was answered or abandoned and is not running. A key whose attempt
    /// ran stays for its whole window.
    fn release(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Released;
    /// Appends everything that has settled since the last call to `settlements`, and removes entries whose
    /// window is over.
    fn drain_settled(&mut self, now: Moment, settlements: &mut Vec<Settlement>);
    /// Whether requests with an idempotency key can be admitted; false while the keys of an earlier process
    /// are still being read from the idempotency store.
    fn is_ready(&self) -> bool;
    /// The time at which [`IdempotencyTable::drain_settled`] has to be called even if no event occurs; `None`
    /// if nothing is scheduled.
    fn next_wakeup(&self) -> Option<Timestamp>;
}
