//! Health checks by gateways. A shallow check reports whether the node is in service. A deep check also has
//! the kernel do some work, and reports whether that succeeded.

use super::Node;
use crate::connections::{OpenRequest, RequestRef};
use crate::io::System;
use crate::response::{Response, http_status};

impl<S: System> Node<S> {
    /// Whether this node reports itself as in service, to gateways' health checks and to the membership
    /// service.
    pub(super) fn is_in_service(&self) -> bool {
        self.engine.is_healthy() && self.knows_active_version()
    }

    /// Handles a health check that has been read completely. A deep check on a node that is in service waits
    /// for the kernel; every other check is answered at once.
    pub(super) fn on_health_check(&mut self, request: RequestRef, keeps_connection: bool, deep: bool) {
        self.counters.checks_read += 1;
        let in_service = self.is_in_service();
        if !(in_service && deep) {
            return self.answer_health_check(request, keeps_connection, in_service);
        }
        if let Some(connection) = self.connections.get(request.connection) {
            connection.put_back(request, OpenRequest::HealthCheck(keeps_connection));
        }
        self.start_deep_check(request);
    }

    pub(super) fn start_deep_check(&mut self, request: RequestRef) {
        if let Some(passed) = self.health_checks.add(self.clock.now(), request) {
            self.end_deep_check(request, passed);
        }
    }

    pub(super) fn end_deep_checks(&mut self, requests: Vec<RequestRef>, passed: bool) {
        for request in requests {
            self.end_deep_check(request, passed);
        }
    }

    fn end_deep_check(&mut self, request: RequestRef, passed: bool) {
        if let Some(open) = self.connections.take_request(request) {
            self.answer_health_check(request, open.keeps_connection(), passed);
        }
    }

    pub(super) fn answer_health_check(&mut self, request: RequestRef, keeps_connection: bool, passed: bool) {
        let (count, status) = if passed {
            (&mut self.counters.checks_passed, http_status::OK)
        } else {
            (&mut self.counters.checks_failed, http_status::SERVICE_UNAVAILABLE)
        };
        *count += 1;
        let capacity = self.engine.capacity();
        self.respond(request, keeps_connection, &Response::plain(status, capacity));
    }
}
