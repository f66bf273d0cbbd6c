//! What the engine asks of the one table of keys, whoever keeps it.
//!
//! The engine decides nothing about keys itself: which try of a keyed request may run, what its repeats get and
//! when an answer may go out is the register's. It is asked in the order in which things happen, answers at
//! once, and tells later what has settled since ([`IdempotencyTable::drain_settled`]). It has no clock and does no I/O.

use crate::interface::RequestId;
use crate::time::{Micros, Moment};
use std::rc::Rc;

/// What is known of a key when a try of it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing that binds: the try is a first one.
    Vacant,
    /// This try has the key; the new one repeats it.
    Original(RequestId),
    /// The key came with another body.
    BodyMismatch,
    /// Nothing, and no first try can be taken now: come back after this long.
    Unavailable(Micros),
}

/// Whether a run may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// Now.
    Granted,
    /// Once [`Settlement::IntentDurable`] says so.
    Pending,
    /// Never: another try of the key ran in its window.
    Denied,
}

/// What a repeat gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It waits for the end of the try that has the key.
    Pending,
    /// This result.
    Replay(Rc<[u8]>),
    /// A failure: the try that has the key ran and has no result to show.
    Failed,
}

/// What the end of a run means for those who wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// All of these, and the try itself, get this result, or a failure.
    Settled(Vec<RequestId>, Option<Rc<[u8]>>),
    /// The result can't be shown before [`Settlement::ResultDurable`].
    AwaitingDurable,
}

/// A try that leaves: what that changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Repeats that waited for it and now never get a result.
    pub waiters: Vec<RequestId>,
    /// It waited to begin, and will not.
    pub intent_withdrawn: bool,
}

/// Something that waited and does so no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The run of this try may begin.
    IntentDurable(RequestId),
    /// This try can't be recorded and never ran, nor did those that waited for it; come back after so long.
    IntentFailed(RequestId, Vec<RequestId>, Micros),
    /// The result of this try may be shown, to it and to those that waited.
    ResultDurable(RequestId, Vec<RequestId>, Rc<[u8]>),
}

/// The one table of keys.
pub trait IdempotencyTable {
    /// Fingerprint of a body: bodies with the same are held to be the same.
    fn fingerprint(&self, body: &[u8]) -> u128;
    /// A try with this key and fingerprint came, which reached the machine at `at`.
    fn lookup(&mut self, now: Moment, key: &str, fingerprint: u128, at: Moment) -> Lookup;
    /// Whether the key is remembered for a try that reached the machine at `at`, whatever its body; changes nothing.
    fn contains(&self, key: &str, at: Moment) -> bool;
    /// The try is a first one and has the key from now on. Returns repeats that waited for the one before it.
    fn reserve(&mut self, key: &Rc<str>, id: RequestId, fingerprint: u128, until: Moment) -> Vec<RequestId>;
    /// The try, which reached the machine at `at`, is to be run; repeats are recognised up to `until`.
    fn begin_run(
        &mut self,
        now: Moment,
        key: &Rc<str>,
        id: RequestId,
        at: Moment,
        until: Moment,
    ) -> RunPermit;
    /// A repeat wants the result of the try that has its key.
    fn join(&mut self, key: &str, id: RequestId) -> JoinOutcome;
    /// A run is over: with a result, with none, or it turned out that it was never begun.
    fn complete_run(&mut self, now: Moment, key: &Rc<str>, id: RequestId, end: RunResult) -> Completion;
    /// The try was answered or given up, and is not running.
    fn release(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Released;
    /// Appends what has settled, and drops what is past its window.
    fn drain_settled(&mut self, now: Moment, out: &mut Vec<Settlement>);
    /// Whether keyed requests can be taken at all yet: false while what was kept before is being read.
    fn is_ready(&self) -> bool;
    /// When to call [`IdempotencyTable::drain_settled`] although nothing happens.
    fn next_wakeup(&self) -> Option<Micros>;
}

/// How a run ended, as far as its record is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// With this result.
    Succeeded(Rc<[u8]>),
    /// It ran, or may have run, and has none.
    NoResult,
    /// It never began.
    NeverRan,
}
