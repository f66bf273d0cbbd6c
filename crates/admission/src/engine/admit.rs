//! Admission of an arrival: which attempts reach the controller, and which are answered without it.

use super::attempts::{Attempt, RunState};
use super::{AdmitError, Arrival, Engine, EngineCommand};
use crate::idempotency::{IdempotencyTable, Lookup};
use crate::interface::{Effect, Event, Request, RequestId};
use crate::time::{Micros, Moment};
use std::rc::Rc;

/// What becomes of an arrival.
enum Admission {
    /// The controller decides on it as on the first attempt of its request.
    First,
    /// The controller decides on it as on a repeat of this attempt.
    RepeatOf(RequestId),
    /// It is rejected without the controller.
    Reject {
        /// Advice to the caller; zero gives none.
        retry_after: Micros,
    },
}

impl<T: IdempotencyTable> Engine<T> {
    /// Admits one attempt: appends the commands that follow for it and for others.
    ///
    /// An attempt that fails here has had no effect on the engine. Each other one is answered exactly once, now or by
    /// later calls.
    ///
    /// # Errors
    /// [`AdmitError::DuplicateId`] if an attempt with this id is still known, and [`AdmitError::KeyConflict`]
    /// if its idempotency key belongs to a request with another body. The caller has to answer the attempt
    /// itself, as no command is given for it.
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
            // Nothing can run before the backend is up, so this attempt has not.
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

    /// An attempt that awaits its answer by the earlier of its class's deadline and its caller's timeout.
    fn new_attempt(&self, now: Moment, arrival: &Arrival<'_>) -> Attempt {
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let settings = &self.settings.classes[class];
        let ingress = Moment { mono: now.mono.minus(arrival.age), wall: arrival.ingress };
        let deadline: Micros = settings.deadline.into();
        let timeout = arrival.caller_timeout.map_or(deadline, |timeout| timeout.min(deadline));
        let repeat_key: Option<Rc<str>> = match settings.effect {
            Effect::Keyed => arrival.idempotency_key.as_deref().map(Rc::from),
            _ => None,
        };
        let fingerprint = repeat_key.as_ref().map_or(0, |_| self.idempotency.fingerprint(arrival.body));
        Attempt {
            class,
            repeat_key,
            fingerprint,
            ingress,
            due: ingress.mono.plus(timeout).max(now.mono),
            awaiting_answer: true,
            run: RunState::NotStarted,
            awaiting_call: false,
        }
    }

    /// Decides whether the controller hears of an attempt.
    fn classify(&mut self, now: Moment, attempt: &Attempt) -> Result<Admission, AdmitError> {
        let lookup = match &attempt.repeat_key {
            Some(key) => self.idempotency.lookup(now, key, attempt.fingerprint, attempt.ingress),
            None => Lookup::Vacant,
        };
        match lookup {
            Lookup::BodyMismatch => Err(AdmitError::KeyConflict),
            Lookup::Original(original) => Ok(Admission::RepeatOf(original)),
            // Its key cannot be recorded, so that a retry could run it twice: it does not run.
            Lookup::Unavailable(advice) => {
                Ok(Admission::Reject { retry_after: advice.min(self.max_retry_after()) })
            }
            Lookup::Vacant => Ok(self.classify_first(attempt)),
        }
    }

    /// A first attempt may run unless the grace period is over or its class is closed. Repeats are exempt from both: they
    /// get the result of a run that was admitted before.
    fn classify_first(&self, attempt: &Attempt) -> Admission {
        // The controller counts the grace period from when it is told of the drain, which is later than the notice.
        if self.drain.is_some_and(|drain| attempt.ingress.mono > drain.last_ingress) {
            return Admission::Reject { retry_after: self.max_retry_after() };
        }
        // The operators removed the class: no retry will succeed either, so there is no advice on when.
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

/// Rejects an attempt that the controller never hears of.
fn reject_unadmitted(id: RequestId, retry_after: Micros, commands: &mut Vec<EngineCommand>) {
    commands.push(EngineCommand::Reject { id, retry_after, no_retry_elsewhere: false });
    commands.push(EngineCommand::Forget(id));
}
