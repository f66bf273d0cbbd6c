//! Calls to the next tier: lines with bodies, on a few connections.
//!
//! Each connection, a lane, has one call at a time while there are lanes left, since a spoilt reply costs all
//! calls on its connection. Replies count only on the lane that has the call, and no lane has two calls of one
//! run: a second copy of the first reply would pass for the reply to the second.

use super::counters::Counters;
use super::io::link::{CONNECT, Change, Link};
use super::io::{Ready, System};
use super::request::{id_of, id_text};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest first line of a reply.
pub const MOST_LINE: usize = 128;
/// Longest body of a reply.
pub const MOST_BODY: usize = 64 * 1024;
/// A connection without a call for this long is closed. Guards against the other side's forgetting it: a call on
/// one that is forgotten, or that crosses its close, is lost and proves nothing; a new connection costs little.
const IDLE: Micros = Micros::millis(100);
/// A reply that has not come this long after the call's time counts as late.
const OVERTIME: Micros = Micros::millis(200);
/// A reply of which a part has come is spoilt if nothing more of it comes for this long.
const STALLED: Micros = Micros::millis(250);
/// Most connections, whatever the descriptors.
pub const MAX_CONNECTIONS: usize = 64;

/// The connections that a node with so many descriptors may have: half of them are the gateways'.
pub fn max_connections_within(sockets: usize) -> usize {
    (sockets / 8).saturating_sub(4).clamp(2, MAX_CONNECTIONS)
}

/// What a reply says.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It went well, with this body.
    Ok(Vec<u8>),
    /// Turned away, never ran.
    Busy,
    /// Failed, may have had its effect.
    Err,
    /// Ran out of time, may have had its effect.
    Late,
    /// No run waits for it, never ran.
    Void,
}

/// What the front of a buffer holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// No whole reply yet.
    Part,
    /// What cannot be a reply: the framing is lost.
    Bad,
    /// A reply of that many bytes.
    Whole(usize, RequestId, Word),
}

/// Reads the reply at the start of `buf`.
pub fn reply(buf: &[u8]) -> Reply {
    let Some(end) = buf.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
        return if buf.len() >= MOST_LINE { Reply::Bad } else { Reply::Part };
    };
    let Some(line) = buf[..end].strip_suffix(b"\r") else { return Reply::Bad };
    let mut parts = line.split(|b| *b == b' ');
    let Some(id) = parts.next().and_then(id_of) else { return Reply::Bad };
    let (word, len, more) = (parts.next().unwrap_or_default(), parts.next(), parts.next());
    let word = match (word, len, more) {
        (b"OK", Some(len), None) => return body(buf, end + 1, id, len),
        (b"BUSY", None, _) => Word::Busy,
        (b"ERR", None, _) => Word::Err,
        (b"LATE", None, _) => Word::Late,
        (b"VOID", None, _) => Word::Void,
        _ => return Reply::Bad,
    };
    Reply::Whole(end + 1, id, word)
}

fn body(buf: &[u8], from: usize, id: RequestId, len: &[u8]) -> Reply {
    let len = std::str::from_utf8(len).ok().and_then(|l| l.parse::<usize>().ok());
    let Some(len) = len.filter(|l| *l <= MOST_BODY) else { return Reply::Bad };
    let Some(rest) = buf.get(from + len..) else { return Reply::Part };
    match rest {
        [b'\r', b'\n', ..] => Reply::Whole(from + len + 2, id, Word::Ok(buf[from..from + len].to_vec())),
        [] | [b'\r'] => Reply::Part,
        _ => Reply::Bad,
    }
}

#[derive(Debug)]
struct Call {
    began: Micros,
    wait: Micros,
    body: Vec<u8>,
    /// Where it starts in the link's stream, once it is queued there.
    at: Option<u64>,
}

impl Call {
    /// When it has run out of time unheard.
    fn over(&self) -> Micros {
        self.began.plus(self.wait).plus(OVERTIME)
    }
}

/// The end of a call.
#[derive(Debug, PartialEq)]
pub struct EndedCall {
    /// Whose call it was.
    pub id: RequestId,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The reply for the run, after a good end.
    pub reply: Option<Vec<u8>>,
    /// How long it took.
    pub latency: Micros,
}

/// One connection with the calls that are out on it.
#[derive(Debug)]
struct Lane<S: System> {
    link: Link<S>,
    calls: BTreeMap<RequestId, Call>,
    /// Told apart from another one in the same place.
    serial: u64,
    /// Last time that a call or a reply passed.
    used: Micros,
    /// When a part of a reply has last come, of which the rest is still to come.
    partial: Option<Micros>,
    /// Takes no more calls: its address is out of date, or a reply never came on it.
    retired: bool,
}

impl<S: System> Lane<S> {
    /// When it is to be looked at although nothing comes.
    fn due(&self) -> Option<Micros> {
        let late = self.calls.values().map(Call::over).min();
        let stalled = self.partial.map(|since| since.plus(STALLED));
        let idle = self.calls.is_empty().then(|| self.used.plus(IDLE));
        [late, stalled, idle, self.link.next_wakeup(true)].into_iter().flatten().min()
    }

    /// Queues the calls that are not on the link yet, if it is up.
    fn send(&mut self, now: Micros, counters: &mut Counters) {
        if !self.link.is_up() {
            return;
        }
        self.used = now;
        for (id, call) in self.calls.iter_mut().filter(|(_, c)| c.at.is_none()) {
            // What the wait for the link took is off the time of the call.
            let left = call.began.plus(call.wait).since(now).0 / 1000;
            let mut line =
                format!("CALL {} {} {}\r\n", id_text(*id), left.max(1), call.body.len()).into_bytes();
            line.extend(&call.body);
            line.extend(b"\r\n");
            call.at = Some(self.link.send(line));
            counters.calls_sent += 1;
        }
    }

    /// Takes the replies that were read, `more` if anything was just now; appends the calls that they end.
    fn take_replies(&mut self, now: Micros, more: bool, counters: &mut Counters, out: &mut Vec<EndedCall>) {
        loop {
            let (len, id, word) = match reply(self.link.input()) {
                Reply::Part => break,
                Reply::Bad => {
                    counters.lines_bad += 1;
                    // What was read makes no sense, and nothing after it can be trusted.
                    self.link.sever();
                    break;
                }
                Reply::Whole(len, id, word) => (len, id, word),
            };
            self.link.consume(len);
            self.partial = None;
            counters.replies_read += 1;
            let (outcome, reply) = match word {
                Word::Ok(body) => (CallOutcome::Succeeded, Some(body)),
                Word::Busy => (CallOutcome::Overloaded, None),
                Word::Err => (CallOutcome::Failed, None),
                Word::Late => (CallOutcome::TimedOut, None),
                // A run that is over is reaped by the kernel: this reply only says the same.
                Word::Void => continue,
            };
            match self.calls.remove(&id) {
                Some(call) => out.push(EndedCall { id, outcome, reply, latency: now.since(call.began) }),
                None => counters.replies_unasked += 1,
            }
            self.used = now;
        }
        // Counts from the last of it that came: a reply may come in pieces, and lasts no longer than its call.
        let began = self.partial.filter(|_| !more).unwrap_or(now);
        self.partial = Some(began).filter(|_| !self.link.input().is_empty());
    }

    /// Ends all calls as the link went down.
    fn fail_all(&mut self, now: Micros, change: Change, out: &mut Vec<EndedCall>) {
        let written = self.link.written();
        for (id, call) in std::mem::take(&mut self.calls) {
            let outcome = match call.at {
                // A broken link proves nothing of what was sent; what was not sent never ran.
                Some(at) if change == Change::Broken && at < written => CallOutcome::Broken,
                _ => CallOutcome::Unreachable,
            };
            out.push(EndedCall { id, outcome, reply: None, latency: now.since(call.began) });
        }
    }
}

/// The store, with the calls that are out.
#[derive(Debug)]
pub struct Store<S: System> {
    to: Option<SocketAddr>,
    first_key: usize,
    system: S,
    lanes: Vec<Option<Lane<S>>>,
    serial: u64,
    /// The lanes, by serial, that have had a call of a try.
    snapshot: BTreeMap<RequestId, Vec<u64>>,
    /// Lanes with something to write or to settle this turn.
    touched: Vec<usize>,
    /// Calls that came to nothing before a lane had them.
    unplaced: Vec<EndedCall>,
    /// Nothing is due before.
    due: Micros,
}

impl<S: System> Store<S> {
    /// A store at this address, reached over at most so many connections; where there is none, nobody can be
    /// reached.
    pub fn new(to: Option<SocketAddr>, first_key: usize, most: usize, system: &S) -> Self {
        let lanes = (0..most).map(|_| None).collect();
        let (system, snapshot, due) = (system.clone(), BTreeMap::new(), Micros(0));
        Store { to, first_key, system, lanes, serial: 0, snapshot, touched: vec![], unplaced: vec![], due }
    }

    /// The tries whose calls are out.
    pub fn outstanding(&self) -> Vec<RequestId> {
        let lanes = self.lanes.iter().flatten().flat_map(|lane| lane.calls.keys());
        lanes.chain(self.unplaced.iter().map(|ended| &ended.id)).copied().collect()
    }

    /// From now on new calls go to this address; those that are out end on the connections that they have.
    pub fn move_to(&mut self, to: Option<SocketAddr>) {
        if self.to != to {
            self.to = to;
            self.lanes.iter_mut().flatten().for_each(|lane| lane.retired = true);
            self.due = Micros(0);
        }
    }

    /// Makes a call; one that is out for the same request is given up with it.
    pub fn call(&mut self, now: Micros, id: RequestId, wait: Micros, body: Vec<u8>, counters: &mut Counters) {
        self.drop_call(id, counters);
        let call = Call { began: now, wait, body, at: None };
        self.due = self.due.min(call.over()).min(now.plus(CONNECT));
        let place = self.place(now, id);
        let lane = place.and_then(|place| self.lanes.get_mut(place)?.as_mut().map(|lane| (place, lane)));
        let Some((place, lane)) = lane else {
            self.unplaced.push(EndedCall {
                id,
                outcome: CallOutcome::Unreachable,
                reply: None,
                latency: Micros(0),
            });
            self.due = now;
            return;
        };
        lane.calls.insert(id, call);
        lane.send(now, counters);
        self.snapshot.entry(id).or_default().push(lane.serial);
        self.touched.push(place);
    }

    /// The lane for a call: one that was free a moment ago, else a new one, else that with the fewest calls.
    fn place(&mut self, now: Micros, id: RequestId) -> Option<usize> {
        let to = self.to?;
        let had = self.snapshot.get(&id).map_or(&[][..], Vec::as_slice);
        let lanes = self.lanes.iter().enumerate().filter_map(|(place, l)| Some((place, l.as_ref()?)));
        let may = |l: &Lane<S>| !l.retired && l.partial.is_none() && !had.contains(&l.serial);
        let lanes: Vec<(usize, &Lane<S>)> = lanes.filter(|(_, l)| may(l)).collect();
        let free = lanes.iter().filter(|(_, l)| l.calls.is_empty() && l.link.is_up());
        let free = free.filter(|(_, l)| now.since(l.used) < IDLE).max_by_key(|(_, l)| l.used);
        if let Some((place, _)) = free {
            return Some(*place);
        }
        let Some(place) = self.lanes.iter().position(Option::is_none) else {
            return lanes.iter().min_by_key(|(_, l)| l.calls.len()).map(|(place, _)| *place);
        };
        let mut link = Link::new(to, self.first_key + place, &self.system);
        if link.connect(now).is_some() {
            return None;
        }
        self.serial += 1;
        let (calls, serial) = (BTreeMap::new(), self.serial);
        self.lanes[place] = Some(Lane { link, calls, serial, used: now, partial: None, retired: false });
        Some(place)
    }

    /// Gives up a call; nothing is heard of it any more.
    pub fn drop_call(&mut self, id: RequestId, counters: &mut Counters) {
        let has = |l: &Option<Lane<S>>| l.as_ref().is_some_and(|l| l.calls.contains_key(&id));
        let Some(place) = self.lanes.iter().position(has) else { return };
        let Some(lane) = &mut self.lanes[place] else { return };
        if lane.calls.remove(&id).is_some_and(|call| call.at.is_some()) {
            lane.link.send(format!("DROP {}\r\n", id_text(id)).into_bytes());
            counters.calls_dropped += 1;
            self.touched.push(place);
        }
        self.due = Micros(0);
    }

    /// Nothing more comes for this try.
    pub fn forget(&mut self, id: RequestId) {
        self.snapshot.remove(&id);
    }

    /// Whether this is the poller key of a lane.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + self.lanes.len()).contains(&key)
    }

    /// The poller has something for the lane with this key; returns the calls that ended.
    pub fn ready(&mut self, now: Micros, event: Ready, counters: &mut Counters) -> Vec<EndedCall> {
        let mut out = Vec::new();
        let place = event.key.wrapping_sub(self.first_key);
        let Some(Some(lane)) = self.lanes.get_mut(place) else { return out };
        match lane.link.ready(now, event.readable, event.writable) {
            Some(Change::Up) => {
                counters.store_links += 1;
                lane.send(now, counters);
            }
            Some(change) => {
                lane.fail_all(now, change, &mut out);
                self.lanes[place] = None;
                return out;
            }
            None => lane.take_replies(now, event.readable, counters, &mut out),
        }
        if let Some(due) = lane.due() {
            self.due = self.due.min(due);
        }
        self.touched.push(place);
        out
    }

    /// Ends what is overdue and closes lanes of no more use; returns the calls that ended.
    pub fn on_timer(&mut self, now: Micros, counters: &mut Counters) -> Vec<EndedCall> {
        let mut out = std::mem::take(&mut self.unplaced);
        if now < self.due {
            return out;
        }
        let mut late = Vec::new();
        for (place, slot) in self.lanes.iter_mut().enumerate() {
            let Some(lane) = slot else { continue };
            if let Some(change) = lane.link.on_timer(now) {
                lane.fail_all(now, change, &mut out);
            }
            if lane.partial.is_some_and(|since| now.since(since) >= STALLED) {
                counters.lines_bad += 1;
                (lane.partial, lane.retired) = (None, true);
                lane.link.sever();
                self.touched.push(place);
            }
            let over = lane.calls.iter().filter(|(_, c)| now >= c.over());
            for (id, call) in over {
                // One that the dial took all the time of was never sent: it never ran.
                let outcome =
                    if call.at.is_some() { CallOutcome::TimedOut } else { CallOutcome::Unreachable };
                late.push(EndedCall { id: *id, outcome, reply: None, latency: now.since(call.began) });
                // Guards against a connection that has gone quiet: not even the end of the time was told.
                lane.retired = true;
            }
            let idle = lane.calls.is_empty() && (lane.retired || now.since(lane.used) >= IDLE);
            if lane.link.is_down() || idle {
                *slot = None;
            }
        }
        late.iter().for_each(|call| self.drop_call(call.id, counters));
        out.extend(late);
        let due = self.lanes.iter().flatten().filter_map(Lane::due).min();
        self.due = due.unwrap_or(Micros(u64::MAX));
        out
    }

    /// When to call [`Store::on_timer`] again.
    pub fn next_wakeup(&self) -> Option<Micros> {
        Some(self.due).filter(|due| due.0 < u64::MAX)
    }

    /// Writes what can be written; returns the calls that ended as their link broke.
    pub fn flush(&mut self, now: Micros) -> Vec<EndedCall> {
        let mut out = Vec::new();
        for place in std::mem::take(&mut self.touched) {
            let Some(Some(lane)) = self.lanes.get_mut(place) else { continue };
            if let Some(change) = lane.link.flush(now) {
                lane.fail_all(now, change, &mut out);
                self.lanes[place] = None;
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
