//! The second address: operators' callers, one line and one answer each.
//!
//! Its descriptors are its own, so that it answers while the clients' table is full. It decides nothing about
//! requests and knows none of them; the loop says what a call is answered.

use super::io::{Listener, Ready, Stream, System};
use super::response::Outbox;
use gaugestand_admission::time::Micros;
use std::io::{self, Read as _};
use std::net::SocketAddr;

/// Most callers at once.
pub const MOST_CALLERS: usize = 8;
/// Descriptors that it needs: those and the listener.
pub const SOCKETS: usize = MOST_CALLERS + 1;
/// Longest line, with its end.
const MOST_LINE: usize = 64;
/// What a call about the fleet starts with, and its longest line: a version's content goes in one.
const FLEET: &[u8] = b"FLEET ";
const MOST_FLEET_LINE: usize = gaugestand_cluster::wire::MAX_CONTENT_BYTES + MOST_LINE;
/// Most bytes read at a time of such a line.
const CHUNK: usize = 16 * 1024;
/// Most pieces of what comes after the line that are read and dropped.
const MOST_DROPPED: usize = 16;
/// A caller that has not said a line, or has not read its answer, by then is let go.
const PATIENCE: Micros = Micros::millis(5_000);

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ping,
    /// The figures.
    Info,
    /// Something about the fleet, in the words that follow.
    Fleet(String),
}

/// What a caller has said so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// No whole line yet.
    Part,
    /// This.
    Whole(Call),
    /// Nothing that can be answered, and why.
    Wrong(&'static str),
}

/// Reads what a caller has said; `over` if nothing more comes, `fleet` if there is one.
pub fn said(input: &[u8], over: bool, fleet: bool) -> Said {
    let most = most_line(input, fleet);
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return match (input.len() >= most, over) {
            (true, _) => Said::Wrong("the line is too long"),
            (false, true) => Said::Wrong("the line has no end"),
            (false, false) => Said::Part,
        };
    };
    if end >= most {
        return Said::Wrong("the line is too long");
    }
    if input.len() > end + 1 {
        return Said::Wrong("one line a connection");
    }
    match std::str::from_utf8(&input[..end]).map(|line| line.strip_suffix('\r').unwrap_or(line)) {
        Ok("PING") => Said::Whole(Call::Ping),
        Ok("INFO") => Said::Whole(Call::Info),
        Ok(line) if fleet && line.starts_with("FLEET ") => {
            Said::Whole(Call::Fleet(line["FLEET ".len()..].into()))
        }
        Ok(_) => Said::Wrong("no such call; there are PING and INFO"),
        Err(_) => Said::Wrong("the line is not text"),
    }
}

/// How long a line that starts like this may be.
fn most_line(input: &[u8], fleet: bool) -> usize {
    if fleet && input.starts_with(FLEET) { MOST_FLEET_LINE } else { MOST_LINE }
}

#[derive(Debug)]
struct Caller<T> {
    /// Tells it apart from others that had its place before.
    serial: u64,
    stream: T,
    since: Micros,
    input: Vec<u8>,
    output: Outbox,
    answered: bool,
}

/// The listener and its callers.
#[derive(Debug)]
pub struct Admin<S: System> {
    system: S,
    key: usize,
    first_key: usize,
    listener: Option<S::Listener>,
    at: Option<SocketAddr>,
    callers: Vec<Option<Caller<S::Stream>>>,
    /// Callers so far.
    serial: u64,
    /// There is a fleet to speak of.
    fleet: bool,
}

/// Another address, with its listener.
#[derive(Debug)]
pub struct Moved<S: System>(Option<SocketAddr>, Option<S::Listener>);

impl<S: System> Admin<S> {
    /// Listens at the address, if there is one; callers are watched under [`MOST_CALLERS`] keys from `first_key` on.
    pub fn listen(
        system: &S,
        at: Option<SocketAddr>,
        key: usize,
        first_key: usize,
        fleet: bool,
    ) -> io::Result<Self> {
        let listener = at.map(|at| system.listen(at, key)).transpose()?;
        let callers = (0..MOST_CALLERS).map(|_| None).collect();
        Ok(Admin { system: system.clone(), key, first_key, listener, at, callers, serial: 0, fleet })
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address())
    }

    /// What [`Admin::move_to`] takes: a listener at another address, or nothing if it is the same. It can fail.
    pub fn prepare(&self, at: Option<SocketAddr>) -> io::Result<Option<Moved<S>>> {
        let listener = |at| self.system.listen(at, self.key);
        Ok(if at == self.at { None } else { Some(Moved(at, at.map(listener).transpose()?)) })
    }

    /// Listens there from now on; callers that are there stay.
    pub fn move_to(&mut self, moved: Option<Moved<S>>) {
        if let Some(Moved(at, listener)) = moved {
            (self.at, self.listener) = (at, listener);
        }
    }

    /// Whether a key is that of a caller.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + MOST_CALLERS).contains(&key)
    }

    /// Takes the callers that wait; one that there is no place for gets that of the one that is quiet for longest.
    pub fn accept(&mut self, now: Micros) {
        let Some(listener) = &self.listener else { return };
        // As many as there are places: what else waits comes with the next turn.
        for _ in 0..MOST_CALLERS {
            let free = self.callers.iter().position(Option::is_none);
            let quiet = || {
                let since = |c: &Option<Caller<S::Stream>>| c.as_ref().map(|c| (c.answered, c.since));
                (0..MOST_CALLERS).min_by_key(|i| self.callers.get(*i).and_then(since))
            };
            let Some(place) = free.or_else(quiet) else { return };
            // The place is free before the newcomer comes: two are never watched under one key.
            let old = self.callers.get_mut(place).and_then(Option::take);
            match listener.accept(self.first_key + place) {
                Ok(stream) => {
                    let (input, output) = (Vec::new(), Outbox::default());
                    self.serial += 1;
                    let serial = self.serial;
                    let caller = Caller { serial, stream, since: now, input, output, answered: false };
                    self.callers[place] = Some(caller);
                }
                Err(_) => {
                    self.callers[place] = old;
                    return;
                }
            }
        }
    }

    /// Reads what a caller says; returns its place and what that is once it can be answered.
    pub fn ready(&mut self, event: Ready) -> Option<(usize, Said)> {
        let place = event.key.checked_sub(self.first_key)?;
        let slot = self.callers.get_mut(place)?;
        let caller = slot.as_mut()?;
        let mut chunk = [0; CHUNK];
        // Without a fleet no more is read than the longest line and what shows that it is over.
        let most = if self.fleet { CHUNK } else { MOST_LINE + 1 };
        let over = match caller.stream.read(&mut chunk[..most]) {
            Ok(0) => true,
            Ok(n) if !caller.answered => {
                let most =
                    most_line(if caller.input.is_empty() { &chunk[..n] } else { &caller.input }, self.fleet);
                caller.input.extend(&chunk[..n.min(most + 1 - caller.input.len().min(most))]);
                false
            }
            Ok(_) => false,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => false,
            Err(_) => {
                *slot = None;
                return None;
            }
        };
        if caller.answered {
            self.write(place);
            return None;
        }
        match said(&caller.input, over, self.fleet) {
            Said::Part => None,
            // It has gone without a word.
            Said::Wrong(_) if over && caller.input.is_empty() => {
                *slot = None;
                None
            }
            whole => Some((place, whole)),
        }
    }

    /// The caller that has this place now, for an answer that comes later.
    pub fn caller(&self, place: usize) -> Option<u64> {
        self.callers.get(place)?.as_ref().map(|c| c.serial)
    }

    /// Answers the caller of this number, if it is still there.
    pub fn answer_later(&mut self, caller: u64, text: String) {
        let at = |c: &Option<Caller<S::Stream>>| c.as_ref().is_some_and(|c| c.serial == caller);
        if let Some(place) = self.callers.iter().position(at) {
            self.answer(place, text);
        }
    }

    /// Answers a caller; its connection ends once the answer is written.
    pub fn answer(&mut self, place: usize, text: String) {
        if let Some(caller) = self.callers.get_mut(place).and_then(Option::as_mut) {
            caller.answered = true;
            caller.output.push(text);
            self.write(place);
        }
    }

    fn write(&mut self, place: usize) {
        let Some(slot) = self.callers.get_mut(place) else { return };
        let Some(caller) = slot else { return };
        let written = caller.output.write(&mut caller.stream);
        // Guards against an answer that is lost as the end of a connection with unread bytes is a reset.
        let mut rest = [0; 512];
        (0..MOST_DROPPED).any(|_| !matches!(caller.stream.read(&mut rest), Ok(n) if n > 0));
        let watched = written.and_then(|_| caller.stream.watch(false, true));
        if caller.output.is_empty() || watched.is_err() {
            *slot = None;
        }
    }

    /// Lets go of callers that are quiet for too long.
    pub fn tick(&mut self, now: Micros) {
        for slot in &mut self.callers {
            *slot = slot.take().filter(|c| now.since(c.since) < PATIENCE);
        }
    }

    /// The callers that are there have come now: the clock has been set.
    pub fn restart(&mut self, now: Micros) {
        self.callers.iter_mut().flatten().for_each(|c| c.since = now);
    }

    /// When to call [`Admin::tick`] again.
    pub fn wake(&self) -> Option<Micros> {
        self.callers.iter().flatten().map(|c| c.since.plus(PATIENCE)).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_a_call_or_is_wrong_wherever_it_is_cut() {
        let long = [b'P'; MOST_LINE];
        let cases: [(&[u8], bool, Said); 10] = [
            (b"PING\n", false, Said::Whole(Call::Ping)),
            (b"INFO\r\n", true, Said::Whole(Call::Info)),
            (b"", false, Said::Part),
            (b"PIN", false, Said::Part),
            (b"PIN", true, Said::Wrong("the line has no end")),
            (b"ping\n", false, Said::Wrong("no such call; there are PING and INFO")),
            (b"\n", false, Said::Wrong("no such call; there are PING and INFO")),
            (b"\xff\xfe\n", false, Said::Wrong("the line is not text")),
            (b"PING\nPING\n", false, Said::Wrong("one line a connection")),
            (&long, false, Said::Wrong("the line is too long")),
        ];
        for (input, over, expected) in cases {
            assert_eq!(said(input, over, false), expected, "{input:?}");
        }
        let propose = [b"FLEET PROPOSE - - ".to_vec(), vec![b'x'; 4096], b"\n".to_vec()].concat();
        assert_eq!(said(&propose, false, false), Said::Wrong("the line is too long"));
        assert_eq!(said(&propose[..99], false, true), Said::Part);
        assert!(
            matches!(said(&propose, false, true), Said::Whole(Call::Fleet(words)) if words.len() == 4108)
        );
        let endless = vec![b'F'; 99];
        assert_eq!(said(&endless, false, true), Said::Wrong("the line is too long"));
    }
}
