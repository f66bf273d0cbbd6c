//! Admission of arriving attempts: decides which of them are passed to the controller and which are rejected
//! without it.

use super::attempts::{Attempt, RunState};
use super::{AdmitError, Arrival, Engine, EngineCommand};
use crate::idempotency::{IdempotencyTable, Lookup};
use crate::interface::{Effect, Event, Request, RequestId};
use crate::time::{Micros, Moment};
use std::rc::Rc;

/// How the engine treats an arriving attempt.
enum Admission {
    /// The attempt is passed to the controller as the first attempt of its request.
    First,
    /// The attempt is passed to the controller as a repeat of the given attempt.
    RepeatOf(RequestId),
    /// The attempt is rejected and is not passed to the controller.
    Reject {
        /// How long the caller is asked to wait before a retry; zero if the answer carries no retry-after.
        retry_after: Micros,
    },
}

impl<T: IdempotencyTable> Engine<T> {
    /// Admits the attempt `arrival`, which was read at `now`, and appends the commands that follow for this
    /// attempt and for others.
    ///
    /// After an error the state of the engine is unchanged. Otherwise the attempt is answered exactly once,
    /// by this call or a later one, unless its caller has gone.
    ///
    /// # Errors
    /// [`AdmitError::DuplicateId`] if the engine still knows an attempt with this id, and
    /// [`AdmitError::KeyConflict`] if the idempotency key belongs to a request with another body. The host
    /// has to answer the attempt itself, as the engine gives no command for it.
    pub fn admit(
        &mut self,
        now: Moment,
        arrival: Arrival<'_>,
        commands: &mut Vec<EngineCommand>,
    ) -> Result<(), AdmitError> {
        let id = arrival.id;
        if self.attempts.contains(id) {
            return Err(AdmitError::DuplicateId);
        }
        if self.controller.is_none() {
            // Nothing runs before the backend has started, so a rejection is correct: this attempt never ran.
            reject_unadmitted(id, self.max_retry_after(), commands);
            return Ok(());
        }
        let attempt = self.new_attempt(now, &arrival);
        let original = match self.classify(now, &attempt)? {
            Admission::First => None,
            Admission::RepeatOf(original) => Some(original),
            Admission::Reject { retry_after } => {
                reject_unadmitted(id, retry_after, commands);
                return Ok(());
            }
        };
        self.controller_events.push(Event::Request(self.controller_request(&arrival, &attempt, original)));
        self.attempts.insert(id, attempt);
        self.step(now, commands);
        Ok(())
    }

    /// Creates the entry of an attempt that has no run yet. The attempt is due at the earlier of its class's
    /// deadline and its caller's timeout, but not before `now`.
    fn new_attempt(&self, now: Moment, arrival: &Arrival<'_>) -> Attempt {
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let settings = &self.settings.classes[class];
        let ingress = Moment { mono: now.mono.minus(arrival.age), wall: arrival.ingress };
        let deadline: Micros = settings.deadline.into();
        let timeout = arrival.caller_timeout.map_or(deadline, |timeout| timeout.min(deadline));
        let idempotency_key: Option<Rc<str>> = match settings.effect {
            Effect::Keyed => arrival.idempotency_key.as_deref().map(Rc::from),
            _ => None,
        };
        let fingerprint = idempotency_key.as_ref().map_or(0, |_| self.idempotency.fingerprint(arrival.body));
        Attempt {
            class,
            idempotency_key,
            fingerprint,
            ingress,
            due: ingress.mono.plus(timeout).max(now.mono),
            awaiting_answer: true,
            run: RunState::NotStarted,
            awaiting_call: false,
        }
    }

    /// Decides whether the attempt is passed to the controller, and whether as a first attempt or as a
    /// repeat.
    fn classify(&mut self, now: Moment, attempt: &Attempt) -> Result<Admission, AdmitError> {
        let lookup = match &attempt.idempotency_key {
            Some(key) => self.idempotency.lookup(now, key, attempt.fingerprint, attempt.ingress),
            None => Lookup::Vacant,
        };
        match lookup {
            Lookup::BodyMismatch => Err(AdmitError::KeyConflict),
            Lookup::Original(original) => Ok(Admission::RepeatOf(original)),
            // The key cannot be recorded, so a retry of the request could run a second time: this attempt
            // must not run.
            Lookup::Unavailable(retry_after) => {
                Ok(Admission::Reject { retry_after: retry_after.min(self.max_retry_after()) })
            }
            Lookup::Vacant => Ok(self.classify_first(attempt)),
        }
    }

    /// Accepts a first attempt unless the grace period of a drain is over or the class is closed. Repeats are
    /// exempt from both conditions, as they get the result of a run that was admitted before.
    fn classify_first(&self, attempt: &Attempt) -> Admission {
        // The engine checks the grace period itself. The controller counts the period from when it is told of
        // the drain, which is later than the notice.
        if self.drain.is_some_and(|drain| attempt.ingress.mono > drain.last_ingress) {
            return Admission::Reject { retry_after: self.max_retry_after() };
        }
        // The operators removed the class. A later retry cannot succeed either, so the answer carries no
        // retry-after.
        if !self.open_classes.get(attempt.class).copied().unwrap_or(false) {
            return Admission::Reject { retry_after: Micros(0) };
        }
        Admission::First
    }

    fn controller_request(
        &self,
        arrival: &Arrival<'_>,
        attempt: &Attempt,
        original: Option<RequestId>,
    ) -> Request {
        let keyed = self.settings.classes[attempt.class].effect == Effect::Keyed;
        Request {
            id: arrival.id,
            class: attempt.class,
            tenant: 0,
            resource_key: arrival.resource_key.filter(|_| !keyed),
            deadline: arrival.caller_timeout.map(|_| attempt.due.time()),
            work_hint: arrival.work_hint.map(Micros::span),
            queued_kb: arrival.queued_kb,
            shed_order: arrival.shed_order,
            caller: arrival.caller,
            is_retry: arrival.is_retry,
            read_delay: arrival.age.span(),
            original,
        }
    }
}

/// Rejects an attempt that is not passed to the controller.
fn reject_unadmitted(id: RequestId, retry_after: Micros, commands: &mut Vec<EngineCommand>) {
    commands.push(EngineCommand::Reject { id, retry_after, no_retry_elsewhere: false });
    commands.push(EngineCommand::Forget(id));
}
