//! Reports to the membership service: one datagram each, with no answer.

use super::counters::Counters;
use super::io::{Datagram, System};
use gaugestand_admission::time::Micros;
use std::io;
use std::net::SocketAddr;

/// Time between two reports; the entry lapses after 3 s. Guards against a network that loses a quarter of them:
/// with four reports a second, eleven in a row have to be lost.
const EVERY: Micros = Micros::millis(250);

/// The reporter.
#[derive(Debug)]
pub struct Members<S: System> {
    to: Option<(SocketAddr, S::Datagram)>,
    system: S,
    name: String,
    last: Option<(bool, Micros)>,
}

impl<S: System> Members<S> {
    /// A reporter to this address, where there is one.
    pub fn new(system: &S, to: Option<SocketAddr>, name: &str) -> io::Result<Self> {
        let open = |to: SocketAddr| Ok::<_, io::Error>((to, system.datagram(to)?));
        let (system, name) = (system.clone(), name.to_string());
        Ok(Members { to: to.map(open).transpose()?, system, name, last: None })
    }

    /// From now on the service is at this address, and hears from this node at once; if that cannot be, nothing
    /// has changed.
    pub fn move_to(&mut self, to: Option<SocketAddr>) -> io::Result<()> {
        if self.to.as_ref().map(|(to, _)| *to) != to {
            *self = Members::new(&self.system, to, &self.name)?;
        }
        Ok(())
    }

    /// Reports if it is time to, or if the state changed; returns when to call again.
    pub fn on_timer(&mut self, now: Micros, up: bool, counters: &mut Counters) -> Option<Micros> {
        let (_, socket) = self.to.as_ref()?;
        let due = self.last.map_or(now, |(_, t)| t.plus(EVERY));
        if now < due && self.last.is_none_or(|(was, _)| was == up) {
            return Some(due);
        }
        let line = format!("HB {} {}", self.name, if up { "UP" } else { "OUT" });
        // The service may be down; the next report comes soon either way.
        if socket.send(line.as_bytes()).is_ok() {
            counters.reports_sent += 1;
        }
        self.last = Some((up, now));
        Some(now.plus(EVERY))
    }
}
