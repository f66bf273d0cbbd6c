//! Reports to the membership service: each is one datagram, which the service does not answer.
//!
//! The service lists this node while reports arrive, and passes the state in the latest report on to
//! gateways. A lost report is not repeated, as the next one follows within `REPORT_INTERVAL`.

use super::counters::Counters;
use super::io::{Datagram, System};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Time between two reports. The service drops a node 3 s after its last report. At four reports a second,
/// eleven in a row have to be lost for that, which guards against a network that loses a quarter of them.
const REPORT_INTERVAL: Micros = Micros::millis(250);

/// The last report that was sent: the state in it, and when it was sent.
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

/// Sends this node's reports to the membership service; does nothing if no service is configured.
#[derive(Debug)]
pub struct MembershipReports<S: System> {
    service: Option<Service<S::Datagram>>,
    system: S,
    node_name: String,
    last: Option<Report>,
}

impl<S: System> MembershipReports<S> {
    /// Creates the reporter for the service at `address`; none if no membership service is configured.
    ///
    /// # Errors
    /// The system cannot open a socket for the reports.
    pub fn new(system: &S, address: Option<SocketAddr>, node_name: &str) -> io::Result<Self> {
        let service = match address {
            Some(address) => Some(Service { address, socket: system.datagram(address)? }),
            None => None,
        };
        let system = system.clone();
        Ok(MembershipReports { service, system, node_name: node_name.to_string(), last: None })
    }

    /// Sends reports to `address` from now on, the first with the next [`MembershipReports::on_timer`]. If
    /// `address` is the present one, or no socket can be opened for it, nothing changes.
    ///
    /// # Errors
    /// The system cannot open a socket for the new address; reports still go to the earlier one.
    pub fn move_to(&mut self, address: Option<SocketAddr>) -> io::Result<()> {
        if self.service.as_ref().map(|service| service.address) != address {
            *self = MembershipReports::new(&self.system, address, &self.node_name)?;
        }
        Ok(())
    }

    /// Sends a report if one is due or `in_service` differs from the last report. Returns when to call again;
    /// none if no service is configured.
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
