//! The link to the kernel: commands and notices as JSON lines, with a cursor over reconnects.

use super::counters::Counters;
use super::io::System;
use super::io::link::{Change, Link};
use super::request::{id_of, id_text};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::time::Micros;
use gaugestand_admission::{Gauges, RequestId};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest line; a result of 4 KiB takes under 6 KiB.
pub const MOST_LINE: usize = 64 * 1024;
/// Most commands kept for a link that is down.
const MOST_UNREAD: usize = 8192;

/// Something that the kernel said.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// It is up since so long ago, cold or warm.
    Booted {
        /// It starts slow.
        cold: bool,
        /// How long ago it started.
        age: Micros,
    },
    /// A run is over.
    Reap(RequestId, Fate),
    /// A run waits for a call with this body; the notice has this number.
    IoReq(RequestId, u64, Vec<u8>),
    /// The gauges, in the order of the settings.
    Info(u64, Vec<f64>),
    /// How the work of a deep check ended.
    Posted(u64, bool),
    /// A command was not carried out.
    Invalid(Command, Option<RequestId>),
    /// A remark with no meaning.
    Dmesg,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// With this result.
    Good(Rc<[u8]>),
    /// It failed.
    Bad,
    /// It was stopped.
    Cut,
    /// It never began.
    Gone,
}

/// Which command a notice speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a request.
    Sched,
    /// Go on without a call.
    NoIo,
    /// Any other.
    Other,
}

/// A line that is no notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadLine;

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    cursor: Option<u64>,
    #[serde(borrow)]
    handle: Option<Cow<'a, str>>,
    #[serde(borrow)]
    fate: Option<Cow<'a, str>>,
    lasted: Option<f64>,
    #[serde(borrow)]
    arg: Option<Cow<'a, str>>,
    #[serde(borrow)]
    ticket: Option<Cow<'a, str>>,
    figures: Option<Vec<f64>>,
}

impl Raw<'_> {
    fn id(&self) -> Result<RequestId, BadLine> {
        self.handle.as_ref().and_then(|h| id_of(h.as_bytes())).ok_or(BadLine)
    }

    fn bytes(&self) -> Result<Vec<u8>, BadLine> {
        STANDARD.decode(self.arg.as_deref().unwrap_or("")).or(Err(BadLine))
    }

    fn tag(&self) -> Result<u64, BadLine> {
        self.ticket.as_ref().and_then(|t| t.parse().ok()).ok_or(BadLine)
    }

    fn notice(&self) -> Result<Notice, BadLine> {
        let fate = self.fate.as_deref();
        Ok(match (&*self.event, fate) {
            ("BOOTED", Some(state @ ("new" | "old"))) => {
                let ms = self.lasted.filter(|ms| *ms >= 0.0).unwrap_or(0.0);
                Notice::Booted { cold: state == "new", age: Micros((ms * 1e3) as u64) }
            }
            ("REAP", Some("good")) => Notice::Reap(self.id()?, Fate::Good(self.bytes()?.into())),
            ("REAP", Some("bad")) => Notice::Reap(self.id()?, Fate::Bad),
            ("REAP", Some("cut")) => Notice::Reap(self.id()?, Fate::Cut),
            ("REAP", Some("gone")) => Notice::Reap(self.id()?, Fate::Gone),
            ("IOREQ", _) => Notice::IoReq(self.id()?, self.cursor.ok_or(BadLine)?, self.bytes()?),
            ("INFO", _) => Notice::Info(self.tag()?, self.figures.clone().ok_or(BadLine)?),
            ("POSTED", Some(end @ ("good" | "bad"))) => Notice::Posted(self.tag()?, end == "good"),
            ("EINVAL", Some("SCHED")) => Notice::Invalid(Command::Sched, self.id().ok()),
            ("EINVAL", Some("NOIO")) => Notice::Invalid(Command::NoIo, self.id().ok()),
            ("EINVAL", _) => Notice::Invalid(Command::Other, self.id().ok()),
            ("DMESG", _) => Notice::Dmesg,
            _ => return Err(BadLine),
        })
    }
}

/// What the front of a buffer holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// No whole line yet.
    Part,
    /// More than a line may hold, without its end: the framing is lost.
    TooLong,
    /// A line of that many bytes, its number if it has one, and what it says.
    Whole(usize, Option<u64>, Result<Notice, BadLine>),
}

/// Reads the line at the start of `buf`.
pub fn line(buf: &[u8]) -> Line {
    let Some(end) = buf.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
        return if buf.len() >= MOST_LINE { Line::TooLong } else { Line::Part };
    };
    match serde_json::from_slice::<Raw>(&buf[..end]) {
        Ok(raw) => Line::Whole(end + 1, raw.cursor, raw.notice()),
        Err(_) => Line::Whole(end + 1, None, Err(BadLine)),
    }
}

/// A command that the kernel has perhaps not read.
#[derive(Debug)]
struct Unread {
    /// The gauge question asked after it: its answer shows that this was read.
    before: u64,
    id: RequestId,
    text: String,
}

/// Where a process stands with its kernel, for another one to go on with its runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KernelSnapshot {
    /// The kernel's address.
    pub to: SocketAddr,
    cursor: u64,
    unread: Vec<(RequestId, String)>,
    /// The runs that it tells of there.
    pub runs: Vec<RequestId>,
}

/// The kernel, as far as this node sees it.
#[derive(Debug)]
pub struct Kernel<S: System> {
    link: Link<S>,
    key: usize,
    system: S,
    /// Counts the links, so that what was asked on an earlier one can be asked again.
    links: u64,
    /// Number of the last notice read.
    cursor: u64,
    unread: VecDeque<Unread>,
    ticket: u64,
    gauges: Vec<String>,
    /// After a reconnect: the question whose answer shows that all repeated notices are in.
    barrier: Option<u64>,
    booted: bool,
}

impl<S: System> Kernel<S> {
    /// A kernel that is not linked yet.
    pub fn new(to: SocketAddr, key: usize, system: &S, gauges: &[String]) -> Self {
        let link = Link::new(to, key, system);
        let (cursor, unread, ticket) = (0, VecDeque::new(), 0);
        let (system, gauges) = (system.clone(), gauges.to_vec());
        let (links, barrier, booted) = (0, None, false);
        Kernel { link, key, system, links, cursor, unread, ticket, gauges, barrier, booted }
    }

    /// Where this process stands with it, with these runs.
    pub fn snapshot(&self, runs: Vec<RequestId>) -> KernelSnapshot {
        let unread = self.unread.iter().map(|u| (u.id, u.text.clone())).collect();
        KernelSnapshot { to: self.link.address(), cursor: self.cursor, unread, runs }
    }

    /// The kernel of another process, not linked yet: its notices go on after the last one that was read there, and
    /// commands that were perhaps not read are said again.
    pub fn restore(snapshot: &KernelSnapshot, key: usize, system: &S) -> Self {
        let mut kernel = Kernel::new(snapshot.to, key, system, &[]);
        kernel.cursor = snapshot.cursor;
        let unread = snapshot.unread.iter().cloned();
        kernel.unread = unread.map(|(id, text)| Unread { before: 1, id, text }).collect();
        kernel
    }

    /// Breaks the link off; the next [`Kernel::on_timer`] makes a new one.
    pub fn unlink(&mut self) {
        self.link = Link::new(self.link.address(), self.key, &self.system);
        (self.barrier, self.booted) = (None, false);
    }

    /// From now on the kernel is at this address; true if that is another one. The numbers of its notices go
    /// on, and commands that the old link may have swallowed are said again on the new one.
    pub fn move_to(&mut self, to: SocketAddr) -> bool {
        if self.link.address() == to {
            return false;
        }
        self.link = Link::new(to, self.key, &self.system);
        (self.barrier, self.booted) = (None, false);
        true
    }

    /// The number of the present link, or of the last one.
    pub fn link_number(&self) -> u64 {
        self.links
    }

    /// Whether it has said on the present link that it is up.
    pub fn is_booted(&self) -> bool {
        self.link.is_up() && self.booted
    }

    /// Whether commands are read now.
    pub fn is_linked(&self) -> bool {
        self.link.is_up() && self.booted && self.barrier.is_none()
    }

    /// Runs a request.
    pub fn run(&mut self, id: RequestId, class: &str, body: &[u8]) {
        let arg = STANDARD.encode(body);
        let entry = serde_json::Value::from(class);
        self.command(
            id,
            format!(r#"{{"event":"SCHED","handle":"{}","entry":{entry},"arg":"{arg}"}}"#, id_text(id)),
        );
    }

    /// Stops a run.
    pub fn preempt(&mut self, id: RequestId) {
        self.command(id, format!(r#"{{"event":"PREEMPT","handle":"{}"}}"#, id_text(id)));
    }

    /// Hands a run the reply to its call.
    pub fn complete_call(&mut self, id: RequestId, reply: &[u8]) {
        let arg = STANDARD.encode(reply);
        self.command(id, format!(r#"{{"event":"IODONE","handle":"{}","arg":"{arg}"}}"#, id_text(id)));
    }

    /// Has a run go on without the call that the notice of this number asked for. Said twice it does no more than once:
    /// the kernel tells calls of one run apart by that number.
    pub fn skip_call(&mut self, id: RequestId, notice: u64) {
        let id_text = id_text(id);
        self.command(id, format!(r#"{{"event":"NOIO","handle":"{id_text}","cursor":{notice}}}"#));
    }

    /// Sends a command now, and keeps it until it is known to be read.
    fn command(&mut self, id: RequestId, text: String) {
        if self.is_linked() {
            self.send(&text);
        }
        // Past this many the oldest are surely no use any more: their requests were due long ago.
        if self.unread.len() >= MOST_UNREAD {
            self.unread.pop_front();
        }
        self.unread.push_back(Unread { before: self.ticket + 1, id, text });
    }

    fn send(&mut self, text: &str) {
        let mut line = Vec::with_capacity(text.len() + 1);
        line.extend(text.as_bytes());
        line.push(b'\n');
        self.link.send(line);
    }

    /// Asks for the gauges.
    pub fn request_gauges(&mut self) {
        self.ticket += 1;
        self.send(&format!(r#"{{"event":"SYSINFO","ticket":"{}"}}"#, self.ticket));
    }

    /// Asks for the work of a deep check; returns its ticket.
    pub fn request_deep_check(&mut self) -> u64 {
        self.ticket += 1;
        self.send(&format!(r#"{{"event":"POST","ticket":"{}"}}"#, self.ticket));
        self.ticket
    }

    /// The poller has something for this link.
    pub fn ready(
        &mut self,
        now: Micros,
        readable: bool,
        writable: bool,
        counters: &mut Counters,
    ) -> Option<Change> {
        let change = self.link.ready(now, readable, writable);
        if change == Some(Change::Up) {
            counters.kernel_links += 1;
            self.links += 1;
            (self.barrier, self.booted) = (None, false);
            self.send(&format!(r#"{{"event":"OPEN","cursor":{}}}"#, self.cursor));
        }
        change
    }

    /// The next notice that was read and is new; repeated ones are passed over.
    pub fn next(&mut self, counters: &mut Counters) -> Option<Notice> {
        loop {
            let (len, cursor, notice) = match line(self.link.input()) {
                Line::Part => return None,
                Line::TooLong => {
                    counters.lines_bad += 1;
                    self.link.sever();
                    return None;
                }
                Line::Whole(len, cursor, notice) => (len, cursor, notice),
            };
            self.link.consume(len);
            counters.notices_read += 1;
            if let Some(n) = cursor {
                // Guards against applying a notice twice that comes again after a reconnect.
                if n <= self.cursor {
                    counters.notices_repeated += 1;
                    continue;
                }
                self.cursor = n;
            }
            let Ok(notice) = notice else {
                counters.lines_bad += 1;
                continue;
            };
            self.note(&notice, counters);
            return Some(notice);
        }
    }

    /// Learns from a notice which commands were read.
    fn note(&mut self, notice: &Notice, counters: &mut Counters) {
        match notice {
            Notice::Booted { .. } => {
                self.booted = true;
                // What was sent on the link before may be unread. All notices come again before the answer
                // to this, and what they show to be done is not said again.
                self.request_gauges();
                self.barrier = Some(self.ticket);
            }
            Notice::Reap(id, _) | Notice::IoReq(id, ..) => self.unread.retain(|u| u.id != *id),
            Notice::Info(ticket, _) if self.barrier == Some(*ticket) => {
                self.barrier = None;
                let again: Vec<String> = self.unread.iter().map(|u| u.text.clone()).collect();
                again.iter().for_each(|text| self.send(text));
                self.unread.iter_mut().for_each(|u| u.before = self.ticket + 1);
            }
            Notice::Info(ticket, _) if self.barrier.is_none() => {
                while self.unread.front().is_some_and(|u| u.before <= *ticket) {
                    self.unread.pop_front();
                }
            }
            Notice::Invalid(..) => counters.commands_rejected += 1,
            _ => {}
        }
    }

    /// From now on it names its gauges so.
    pub fn set_gauges(&mut self, gauges: &[String]) {
        self.gauges = gauges.to_vec();
    }

    /// Gauges by name.
    pub fn gauges(&self, figures: &[f64]) -> Gauges {
        let get = |name: &str| {
            let at = self.gauges.iter().position(|g| g == name)?;
            figures.get(at).copied().filter(|x| x.is_finite())
        };
        Gauges {
            cpu_busy: get("cpu_busy"),
            runnable: get("runnable"),
            mem_used: get("mem_used"),
            sockets: get("sockets"),
        }
    }

    /// Keeps the link up.
    pub fn on_timer(&mut self, now: Micros) -> Option<Change> {
        self.link.on_timer(now).or_else(|| self.link.connect(now))
    }

    /// When to call [`Kernel::on_timer`] again.
    pub fn next_wakeup(&self) -> Option<Micros> {
        self.link.next_wakeup(true)
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Micros) -> Option<Change> {
        let change = self.link.flush(now);
        if change.is_some() {
            (self.barrier, self.booted) = (None, false);
        }
        change
    }
}
