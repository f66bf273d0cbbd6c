//! The gateways of a world: they draw the requests of clients, send attempts of them to the node, and process
//! the answers.

use super::{Event, GATEWAYS, NODE_PORT, World, address};
use crate::fakes::fastcgi::{self, Answer, Reader};
use crate::fakes::kernel::RequestFacts;
use crate::network::Side;
use crate::site::RequestClass;
use gaugestand_admission::time::{Micros, Moment, Timestamp};
use std::collections::BTreeMap;

/// Most open requests that a gateway sends on one connection.
const MAX_OPEN_REQUESTS: usize = 8;
/// Time from the end of the caller's timeout until the gateway abandons the attempt: an answer that was sent
/// in time may still be in flight until then.
const ABANDON_DELAY: Micros = Micros::millis(200);
/// Shortest timeout of a caller that waits for less than the deadline of its class.
const MIN_CALLER_TIMEOUT: Micros = Micros::millis(300);
/// Delay of a retry: a minimum plus an exponentially distributed part with this mean.
const MIN_RETRY_DELAY: Micros = Micros::millis(5);
const MEAN_RETRY_DELAY: Micros = Micros::millis(300);
/// A late repeat is sent at a random time in an interval around the end of the deduplication window. The
/// interval starts this many microseconds before that end (lead) and is this many microseconds long (spread).
const LATE_REPEAT_LEAD_US: u64 = 3_000_000;
const LATE_REPEAT_SPREAD_US: u64 = 3_300_000;

/// A request of a client, across all its attempts.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Index of the class in [`crate::site::Site::classes`].
    class: usize,
    /// Idempotency key, if the class is keyed.
    key: Option<String>,
    body: Vec<u8>,
    /// CPU time that a run needs on one core of speed 1.
    work: Micros,
    /// Number of further attempts that may be sent.
    attempts_left: u32,
    /// When the caller stops waiting; `None` until the first attempt sets it.
    caller_deadline: Option<Timestamp>,
    /// Key of the resource that a read is about.
    resource: String,
}

/// A connection from a gateway to the node.
#[derive(Debug)]
pub(super) struct GatewayConnection {
    gateway: u64,
    reader: Reader,
    /// Ids of the open attempts, by FastCGI request id.
    open: BTreeMap<u16, String>,
    /// FastCGI request id of the next attempt; never 0.
    next_number: u16,
}

impl GatewayConnection {
    fn new(gateway: u64) -> Self {
        GatewayConnection { gateway, reader: Reader::default(), open: BTreeMap::new(), next_number: 1 }
    }

    /// Adds an open attempt and returns its FastCGI request id.
    fn begin(&mut self, id: &str) -> u16 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1).max(1);
        self.open.insert(number, id.to_string());
        number
    }

    /// Ids of the open attempts.
    pub(super) fn open_ids(&self) -> Vec<String> {
        self.open.values().cloned().collect()
    }
}

/// An attempt that has no answer yet and was not abandoned.
#[derive(Clone, Debug)]
pub(super) struct OpenAttempt {
    request: Request,
    /// The gateway's side of the connection on which the attempt was sent.
    side: Side,
    /// FastCGI request id of the attempt on its connection.
    number: u16,
}

/// The times that limit how long the caller of an attempt waits.
struct CallerTimeout {
    /// Time from the attempt until the caller stops waiting, in whole milliseconds, as the gateway states it
    /// to the node.
    left: Micros,
    /// When the answer is due according to the rules.
    due: Timestamp,
    is_retry: bool,
}

impl World {
    /// Draws a new request of a client.
    pub(super) fn draw_request(&mut self) -> Request {
        let class = self.site.draw_class(&mut self.rng);
        let request_class = &self.site.classes[class];
        let half_work = Micros(request_class.work.0 / 2);
        let keyed = request_class.keyed;
        let work = half_work.plus(self.rng.exponential(half_work));
        let resource = format!("{:016x}", self.rng.below(50));
        let id = self.new_id();
        let attempts_left = 1 + self.rng.below(3) as u32;
        let key = keyed.then(|| format!("key{id}"));
        Request { class, key, body: id.into_bytes(), work, attempts_left, caller_deadline: None, resource }
    }

    /// Returns the next unused id of a request or an attempt, as 16 hexadecimal digits.
    fn new_id(&mut self) -> String {
        self.next_id += 1;
        format!("{:016x}", self.next_id)
    }

    /// Sends an attempt from a random gateway, on a connection that has room or on a new one.
    pub(super) fn send_attempt(&mut self, mut request: Request) {
        let gateway = self.rng.below(GATEWAYS);
        let side = self.connection_for(gateway);
        let id = self.new_id();
        let moment = self.net.borrow().moment();
        request.attempts_left -= 1;
        let class = self.site.classes[request.class].clone();
        let timeout = self.caller_timeout(&mut request, &class, moment);
        let params = self.parameters(&request, &class, &id, gateway, moment, &timeout);
        let Some(connection) = self.connections.get_mut(&side) else { return };
        let number = connection.begin(&id);
        self.net.borrow_mut().write_all(side, &fastcgi::request(number, &params, &request.body));
        let facts = RequestFacts {
            class: class.name,
            body: request.body.clone(),
            work: request.work,
            calls: class.calls,
            skips: class.skipped_call_weight > 0.0,
        };
        self.kernel.add_request(&id, facts);
        let key = request.key.clone().map(|key| (key, request.body.clone()));
        self.rules.on_sent(&id, key, moment.mono, timeout.due, self.incarnation);
        self.sent += 1;
        let abandoned_at = moment.mono.plus(timeout.left).plus(ABANDON_DELAY);
        self.schedule(abandoned_at, Event::Abandon(id.clone()));
        self.attempts.insert(id, OpenAttempt { request, side, number });
    }

    /// Returns a connection of the gateway that has room for one more attempt, or opens one.
    fn connection_for(&mut self, gateway: u64) -> Side {
        // Some requests get a new connection, so that nothing else passes on it while they are open, unless a
        // later request shares it.
        let shares = self.rng.chance(0.7);
        let has_room = |connection: &GatewayConnection| {
            shares && connection.gateway == gateway && connection.open.len() < MAX_OPEN_REQUESTS
        };
        let free = self.connections.iter().find(|(_, connection)| has_room(connection));
        if let Some((side, _)) = free {
            return *side;
        }
        let side = self.net.borrow_mut().connect(address(NODE_PORT));
        self.connections.insert(side, GatewayConnection::new(gateway));
        side
    }

    /// Returns the caller's timeout of an attempt and draws it if this is the first attempt of its request.
    /// Some callers wait for less than the deadline of their class; a retry has the time that is left.
    fn caller_timeout(
        &mut self,
        request: &mut Request,
        class: &RequestClass,
        moment: Moment,
    ) -> CallerTimeout {
        let is_retry = request.caller_deadline.is_some();
        let is_patient = !self.rng.chance(0.2);
        let until = *request.caller_deadline.get_or_insert_with(|| {
            let short = MIN_CALLER_TIMEOUT.plus(self.rng.exponential(class.deadline)).min(class.deadline);
            moment.mono.plus(if is_patient { class.deadline } else { short })
        });
        let left = whole_millis(until.since(moment.mono));
        let due = moment.mono.plus(if self.site.sends_timeout { left } else { class.deadline });
        CallerTimeout { left, due, is_retry }
    }

    /// Returns the FastCGI parameters of an attempt, with the fields that the site's gateways send.
    fn parameters(
        &mut self,
        request: &Request,
        class: &RequestClass,
        id: &str,
        gateway: u64,
        moment: Moment,
        timeout: &CallerTimeout,
    ) -> Vec<(&'static str, String)> {
        let mut params = vec![
            ("REQUEST_METHOD", "POST".to_string()),
            ("SCRIPT_NAME", format!("/svc/{}", class.name)),
            ("HTTP_X_TXN", id.to_string()),
            ("HTTP_X_INGRESS_TIME", (moment.wall.0 / 1000).to_string()),
            ("HTTP_X_ROUTER", gateway.to_string()),
            ("HTTP_X_WORKING_SET_KB", "24.5".to_string()),
            ("HTTP_X_SHED_ORDER", format!("{:.4}", self.rng.unit() * 0.999)),
        ];
        if let Some(key) = &request.key {
            params.push(("HTTP_X_TXN_KEY", key.clone()));
        }
        if self.site.sends_work_hints {
            params.push(("HTTP_X_CPU_HINT", format!("{:.2}", request.work.0 as f64 / 1000.0)));
        }
        if self.site.sends_timeout {
            params.push(("HTTP_X_TTL_MS", (timeout.left.0 / 1000).to_string()));
        }
        if self.site.marks_retries && timeout.is_retry {
            params.push(("HTTP_X_SECOND_TRY", "1".to_string()));
        }
        if self.site.sends_resource_keys && !class.keyed {
            params.push(("HTTP_X_ROW", request.resource.clone()));
        }
        params
    }

    /// Ends an attempt without an answer because its gateway stops waiting. Most gateways send an abort; the
    /// others send nothing, so the node still owes an answer.
    pub(super) fn abandon(&mut self, id: &str) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if self.rng.chance(0.8) {
            self.net.borrow_mut().write_all(attempt.side, &fastcgi::abort(attempt.number));
            self.rules.waive_answer(id);
        }
    }

    /// Removes a connection of a gateway that is gone, waives the answers to the attempts that were open on
    /// it, and schedules their retries.
    pub(super) fn drop_connection(&mut self, side: Side) {
        let Some(connection) = self.connections.remove(&side) else { return };
        for id in connection.open.into_values() {
            self.rules.waive_answer(&id);
            if let Some(attempt) = self.attempts.remove(&id) {
                self.schedule_retry(attempt.request);
            }
        }
    }

    /// Schedules a retry after a random delay, unless the request has no attempts left or its caller stops
    /// waiting before.
    fn schedule_retry(&mut self, request: Request) {
        let delay = MIN_RETRY_DELAY.plus(self.rng.exponential(MEAN_RETRY_DELAY));
        let at = self.now().plus(delay);
        if request.attempts_left > 0 && request.caller_deadline.is_none_or(|until| at < until) {
            self.schedule(at, Event::Attempt(request));
        }
    }

    /// Processes bytes that the node has sent on a connection of a gateway.
    pub(super) fn on_answer_bytes(&mut self, now: Timestamp, side: Side, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&side) else { return };
        let answers = match connection.reader.take(bytes) {
            Ok(answers) => answers,
            Err(error) => return self.rules.report(now, "unreadable", error.to_string()),
        };
        for answer in answers {
            self.on_answer(now, side, &answer);
        }
    }

    fn on_answer(&mut self, now: Timestamp, side: Side, answer: &Answer) {
        let connection = self.connections.get_mut(&side);
        let Some(id) = connection.and_then(|connection| connection.open.remove(&answer.id)) else {
            let observed = format!(
                "the node answered FastCGI request id {}, which is not open on its connection",
                answer.id
            );
            return self.rules.report(now, "duplicate", observed);
        };
        self.trace_event(|| format!("{id} answered {}", answer.status));
        self.rules.on_answer(now, &id, answer.status, &answer.body);
        let Some(OpenAttempt { request, .. }) = self.attempts.remove(&id) else { return };
        let served = answer.status == 200;
        let keyed = request.key.is_some();
        if served && keyed && self.rng.chance(0.2) {
            // Some keyed requests are repeated around the end of the window, from well within it to just past
            // it.
            let delay = self.site.window.0 - LATE_REPEAT_LEAD_US + self.rng.below(LATE_REPEAT_SPREAD_US);
            let late = Request { attempts_left: 1, caller_deadline: None, ..request.clone() };
            self.schedule(now.plus(Micros(delay)), Event::Attempt(late));
        }
        // A keyed request is sometimes repeated even after its result, as a gateway does when the result is
        // lost on the way to the client.
        if !served || keyed && self.rng.chance(0.3) {
            self.schedule_retry(request);
        }
    }
}

/// Rounds a time down to whole milliseconds.
fn whole_millis(time: Micros) -> Micros {
    Micros(time.0 / 1000 * 1000)
}
