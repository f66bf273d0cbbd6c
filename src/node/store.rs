//! Calls to the next tier: lines with bodies, many calls on one connection.

use super::counters::Counters;
use super::link::{Change, Link};
use super::request::{id_of, id_text};
use gaugestand::RequestId;
use gaugestand::facade::{CallEnd, Micros};
use polling::Poller;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest first line of a reply.
pub const MOST_LINE: usize = 128;
/// Longest body of a reply.
pub const MOST_BODY: usize = 64 * 1024;
/// The connection is closed after this long without a call, sooner than the other side would: a call that
/// crosses its close would prove nothing.
const IDLE: Micros = Micros::millis(8_000);
/// A reply that has not come this long after the call's time counts as late.
const OVERTIME: Micros = Micros::millis(200);

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

/// The store, with the calls that are out.
#[derive(Debug)]
pub struct Store {
    link: Option<Link>,
    calls: BTreeMap<RequestId, Call>,
    used: Micros,
}

impl Store {
    /// A store at this address; where there is none, calls run out of time.
    pub fn new(to: Option<SocketAddr>, key: usize, poller: &Rc<Poller>) -> Self {
        Store { link: to.map(|to| Link::new(to, key, poller)), calls: BTreeMap::new(), used: Micros(0) }
    }

    /// Makes a call; one that is out for the same request is given up with it.
    pub fn call(&mut self, now: Micros, id: RequestId, wait: Micros, body: Vec<u8>, counters: &mut Counters) {
        self.calls.insert(id, Call { began: now, wait, body, at: None });
        self.send(now, counters);
    }

    /// Queues the calls that are not on the link yet, if it is up.
    fn send(&mut self, now: Micros, counters: &mut Counters) {
        let Some(link) = self.link.as_mut().filter(|l| l.is_up()) else { return };
        self.used = now;
        for (id, call) in self.calls.iter_mut().filter(|(_, c)| c.at.is_none()) {
            // What the wait for the link took is off the time of the call.
            let left = call.began.plus(call.wait).since(now).0 / 1000;
            let mut line =
                format!("CALL {} {} {}\r\n", id_text(*id), left.max(1), call.body.len()).into_bytes();
            line.extend(&call.body);
            line.extend(b"\r\n");
            call.at = Some(link.send(line));
            counters.calls_sent += 1;
        }
    }

    /// Gives up a call; nothing is heard of it any more.
    pub fn drop_call(&mut self, id: RequestId, counters: &mut Counters) {
        let Some(call) = self.calls.remove(&id) else { return };
        if let (Some(_), Some(link)) = (call.at, &mut self.link) {
            link.send(format!("DROP {}\r\n", id_text(id)).into_bytes());
            counters.calls_dropped += 1;
        }
    }

    /// The poller has something for this link.
    pub fn ready(
        &mut self,
        now: Micros,
        readable: bool,
        writable: bool,
        counters: &mut Counters,
    ) -> Option<Change> {
        let change = self.link.as_mut()?.ready(now, readable, writable);
        if change == Some(Change::Up) {
            counters.store_links += 1;
            self.send(now, counters);
        }
        change
    }

    /// The next reply to a call that is out: whose, what it says, how long it took.
    pub fn next(&mut self, now: Micros, counters: &mut Counters) -> Option<(RequestId, Word, Micros)> {
        loop {
            let link = self.link.as_mut()?;
            let (len, id, word) = match reply(link.input()) {
                Reply::Part => return None,
                Reply::Bad => {
                    counters.lines_bad += 1;
                    // What was read makes no sense, and nothing after it can be trusted.
                    link.sever();
                    return None;
                }
                Reply::Whole(len, id, word) => (len, id, word),
            };
            link.consume(len);
            counters.replies_read += 1;
            self.used = now;
            // A run that is over is reaped by the kernel: this reply only says the same.
            if word == Word::Void {
                continue;
            }
            if let Some(call) = self.calls.remove(&id) {
                return Some((id, word, now.since(call.began)));
            }
        }
    }

    /// What a change of the link means for the calls that are out.
    pub fn changed(&mut self, now: Micros, change: Change) -> Vec<(RequestId, CallEnd, Micros)> {
        if change == Change::Up {
            return Vec::new();
        }
        let written = self.link.as_ref().map_or(0, Link::written);
        let calls = std::mem::take(&mut self.calls);
        let end = |call: &Call| match call.at {
            // A broken link proves nothing of what was sent; what was not sent never ran.
            Some(at) if change == Change::Broken && at < written => CallEnd::Broken,
            _ => CallEnd::Unreachable,
        };
        calls.into_iter().map(|(id, call)| (id, end(&call), now.since(call.began))).collect()
    }

    /// Connects if there are calls, closes when idle; ends calls that ran out of time unheard.
    pub fn tick(
        &mut self,
        now: Micros,
        counters: &mut Counters,
    ) -> (Option<Change>, Vec<(RequestId, Micros)>) {
        let over = |c: &Call| now >= c.began.plus(c.wait).plus(OVERTIME);
        let late: Vec<_> =
            self.calls.iter().filter(|(_, c)| over(c)).map(|(id, c)| (*id, now.since(c.began))).collect();
        for (id, _) in &late {
            self.drop_call(*id, counters);
        }
        let Some(link) = &mut self.link else { return (None, late) };
        let mut change = link.tick(now);
        if change.is_none() && !self.calls.is_empty() {
            change = link.connect(now);
        } else if self.calls.is_empty() && link.is_up() && now.since(self.used) >= IDLE {
            link.close(now);
        }
        (change, late)
    }

    /// When to call [`Store::tick`] again.
    pub fn wake(&self) -> Option<Micros> {
        let late = self.calls.values().map(|c| c.began.plus(c.wait).plus(OVERTIME)).min();
        let link = self.link.as_ref();
        let idle = link.filter(|l| l.is_up() && self.calls.is_empty()).map(|_| self.used.plus(IDLE));
        [late, link.and_then(|l| l.wake(!self.calls.is_empty())), idle].into_iter().flatten().min()
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Micros) -> Option<Change> {
        self.link.as_mut()?.flush(now)
    }
}
