//! Reports to the membership service: one datagram each, without an answer.
//!
//! The service lists this node as long as its reports come, and passes the state in the last one on to gateways. A report that is lost
//! is not repeated: the next one comes soon.

use super::counters::Counters;
use super::io::{Datagram, System};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Time between two reports; the service drops the node 3 s after the last one. Guards against a network that loses a quarter
/// of them: with four reports a second, eleven in a row have to be lost.
const REPORT_INTERVAL: Micros = Micros::millis(250);

/// A report that was sent.
#[derive(Clone, Copy, Debug)]
struct Report {
    in_service: bool,
    at: Timestamp,
}

#[derive(Debug)]
struct Service<D> {
    address: SocketAddr,
    socket: D,
}

/// The reporter.
#[derive(Debug)]
pub struct MembershipReports<S: System> {
    service: Option<Service<S::Datagram>>,
    system: S,
    node_name: String,
    last: Option<Report>,
}

impl<S: System> MembershipReports<S> {
    /// A reporter to the service at this address, if there is one.
    ///
    /// # Errors
    /// The system has no socket for the reports.
    pub fn new(system: &S, address: Option<SocketAddr>, node_name: &str) -> io::Result<Self> {
        let service = match address {
            Some(address) => Some(Service { address, socket: system.datagram(address)? }),
            None => None,
        };
        let system = system.clone();
        Ok(MembershipReports { service, system, node_name: node_name.to_string(), last: None })
    }

    /// From now on the service is at this address, and hears from this node at once; if no socket can be opened, nothing has
    /// changed.
    ///
    /// # Errors
    /// The system has no socket for the new address; reports go on to the earlier one.
    pub fn move_to(&mut self, address: Option<SocketAddr>) -> io::Result<()> {
        if self.service.as_ref().map(|service| service.address) != address {
            *self = MembershipReports::new(&self.system, address, &self.node_name)?;
        }
        Ok(())
    }

    /// Reports if it is time to, or if the state has changed; returns when to call again.
    pub fn on_timer(
        &mut self,
        now: Timestamp,
        in_service: bool,
        counters: &mut Counters,
    ) -> Option<Timestamp> {
        let service = self.service.as_ref()?;
        if let Some(last) = self.last {
            let due = last.at.plus(REPORT_INTERVAL);
            if now < due && last.in_service == in_service {
                return Some(due);
            }
        }
        let report = format!("HB {} {}", self.node_name, if in_service { "UP" } else { "OUT" });
        if service.socket.send(report.as_bytes()).is_ok() {
            counters.reports_sent += 1;
        }
        self.last = Some(Report { in_service, at: now });
        Some(now.plus(REPORT_INTERVAL))
    }
}
