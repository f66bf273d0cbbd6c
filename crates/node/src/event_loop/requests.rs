//! Turns the bytes read from gateways' connections into admitted attempts, and answers into queued bytes.
//!
//! Every request gets exactly one answer while its connection is open: the code that removes the request from
//! the connection's list of open requests also answers it. Invalid input fails its request with a 4xx status.
//! If the framing of records is lost, the node stops reading from the connection, and still answers the
//! requests that were admitted before.

use super::Node;
use super::attempt::Attempt;
use crate::connections::{ConnectionId, MAX_OPEN_REQUESTS, OpenRequest, RequestRef};
use crate::fastcgi::{self, Record, record_type};
use crate::io::System;
use crate::request::{AttemptParams, ParsedRequest, RequestError};
use crate::request_metrics::ReplyOutcome;
use crate::response::{Response, http_status};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{AdmitError, Arrival, EngineEvent};
use std::{io, mem};

/// The rest of a connection's input cannot be used: it cannot be split into records, or the connection has
/// sent more records without an open request than it may.
struct FramingLost;

impl<S: System> Node<S> {
    // ---- Input ---------------------------------------------------------------------------------------

    pub(super) fn on_connection_ready(&mut self, id: ConnectionId, readable: bool) {
        let mut buffer = mem::take(&mut self.read_buffer);
        self.read_connection(id, readable, &mut buffer);
        self.read_buffer = buffer;
    }

    fn read_connection(&mut self, id: ConnectionId, readable: bool, buffer: &mut [u8]) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get(id).filter(|connection| !connection.is_closing()) else {
            return self.connections.drop_input(id, buffer);
        };
        let read = if connection.is_reset() {
            Err(io::ErrorKind::ConnectionReset.into())
        } else if readable {
            connection.read(now, self.read_limit, buffer)
        } else {
            Ok(0)
        };
        match read {
            Ok(0) => self.connections.touch(id),
            Ok(length) => {
                self.memory_budget.note_read(length);
                self.process_input(id, &buffer[..length]);
                self.enforce_memory_budget();
            }
            Err(_) => self.close_connection(id),
        }
        self.fail_unreadable_requests(id);
    }

    /// Fails the incomplete requests of a connection that is no longer read, so that their gateway gets an
    /// answer.
    fn fail_unreadable_requests(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id).filter(|connection| connection.has_stopped_reading())
        else {
            return;
        };
        for request in connection.incomplete_requests() {
            self.fail_incomplete(request, RequestError::Incomplete);
        }
    }

    fn process_input(&mut self, id: ConnectionId, input: &[u8]) {
        let (consumed, framing) = self.process_records(id, input);
        self.connections.touch(id);
        let now = self.clock.now();
        let Some(connection) = self.connections.get(id) else { return };
        if framing.is_ok() {
            return connection.keep_partial_record(now, &input[consumed..], consumed > 0);
        }
        // The input that follows cannot be interpreted. Requests that were admitted before are still
        // answered.
        self.counters.framing_lost += 1;
        if connection.stop_reading().is_err() {
            self.close_connection(id);
        }
    }

    /// Processes the complete records at the start of `input`. Returns how many bytes they took, and whether
    /// the input after them can still be split into records.
    fn process_records(&mut self, id: ConnectionId, input: &[u8]) -> (usize, Result<(), FramingLost>) {
        let mut consumed = 0;
        loop {
            let record = match fastcgi::parse_record(&input[consumed..]) {
                Ok(Some(record)) => record,
                Ok(None) => return (consumed, Ok(())),
                Err(_) => return (consumed, Err(FramingLost)),
            };
            consumed += record.total_bytes;
            if self.process_record(id, record).is_err() {
                return (consumed, Err(FramingLost));
            }
            if self.connections.get(id).is_none_or(|connection| connection.has_stopped_reading()) {
                return (consumed, Ok(()));
            }
        }
    }

    fn process_record(&mut self, id: ConnectionId, record: Record<'_>) -> Result<(), FramingLost> {
        let now = self.clock.now();
        let Record { record_type, id: fcgi_id, content, .. } = record;
        let Some(connection) = self.connections.get(id) else { return Err(FramingLost) };
        match (record_type, connection.open_request(fcgi_id)) {
            (record_type::BEGIN_REQUEST, Some(_)) => return Err(FramingLost),
            (record_type::BEGIN_REQUEST, None) => connection.begin(now, fcgi_id, content),
            (
                record_type::PARAMS | record_type::STDIN,
                Some((request, OpenRequest::Incoming(incoming, ..))),
            ) => {
                let complete = incoming.take(record_type == record_type::STDIN, content);
                match incoming.error() {
                    Some(error) => self.fail_incomplete(request, error),
                    None if complete => self.on_request_complete(request),
                    None => {}
                }
            }
            (record_type::ABORT_REQUEST, Some((request, _))) => self.abort(request),
            (record_type::GET_VALUES, _) if fcgi_id == 0 => {
                let known =
                    [("FCGI_MAX_REQS", MAX_OPEN_REQUESTS.to_string()), ("FCGI_MPXS_CONNS", "1".to_string())];
                connection.queue(fastcgi::values_result(content, &known));
            }
            (unknown, _) if fcgi_id == 0 => connection.queue(fastcgi::unknown_type(unknown)),
            // The record belongs to a request that has ended or was never begun. FastCGI requires such
            // records to be ignored; the node ignores a limited number of them per connection.
            _ => {
                if !connection.note_stray(content.len()) {
                    return Err(FramingLost);
                }
            }
        }
        Ok(())
    }

    // ---- Requests ------------------------------------------------------------------------------------

    fn on_request_complete(&mut self, request: RequestRef) {
        let Some(OpenRequest::Incoming(incoming, keeps_connection, _)) =
            self.connections.take_request(request)
        else {
            return;
        };
        let parsed = incoming.finish(|name| self.class_slots.find(name), &self.keyed_classes);
        if let (Ok(_), Some(connection)) = (&parsed, self.connections.get(request.connection)) {
            connection.note_requested();
        }
        match parsed {
            Ok((ParsedRequest::HealthCheck(deep), _)) => {
                self.on_health_check(request, keeps_connection, deep)
            }
            Ok((ParsedRequest::Attempt(params), body)) => {
                self.admit(request, keeps_connection, *params, body)
            }
            Err(error) => self.fail_request(request, keeps_connection, error),
        }
    }

    fn admit(&mut self, request: RequestRef, keeps_connection: bool, params: AttemptParams, body: Vec<u8>) {
        if let Some(rejection) = self.reject_by_version(&params).or_else(|| self.reject_by_memory()) {
            self.counters.answers_rejected += 1;
            self.request_metrics.record_reply(self.class_slots.name(params.class), ReplyOutcome::Overload);
            return self.respond(request, keeps_connection, &rejection);
        }
        let arrival = Arrival {
            id: params.id,
            class: params.class,
            idempotency_key: params.repeat_key,
            body: &body,
            age: self.clock.age(params.ingress),
            ingress: params.ingress,
            work_hint: params.work_hint,
            queued_kb: params.queued_kb,
            shed_order: params.shed_order,
            caller: params.caller,
            caller_timeout: params.caller_timeout,
            is_retry: params.is_retry,
            resource_key: params.resource_key,
        };
        let lacks_timeout = self.config.gateways_send_timeout && params.caller_timeout.is_none();
        let mut commands = Vec::new();
        if let Err(error) = self.engine.admit(self.clock.moment(), arrival, &mut commands) {
            self.request_metrics.record_reply(self.class_slots.name(params.class), ReplyOutcome::Error);
            let error = match error {
                // The engine, the kernel and the store identify attempts by id alone, so a second attempt
                // with the same id cannot be served.
                AdmitError::DuplicateId => RequestError::Malformed("X-Txn"),
                AdmitError::KeyConflict => RequestError::KeyConflict,
            };
            return self.fail_request(request, keeps_connection, error);
        }
        self.request_metrics.record_admitted();
        self.counters.requests_read += 1;
        self.counters.caller_timeouts_missing += u64::from(lacks_timeout);
        if let Some(connection) = self.connections.get(request.connection) {
            let open = OpenRequest::Admitted(params.id, keeps_connection);
            connection.put_back(request, open);
        }
        let attempt = Attempt {
            id: params.id,
            request,
            class: params.class,
            body,
            call_body: Vec::new(),
            call_notice: 0,
            open: true,
        };
        self.attempts.insert(params.id, attempt);
        if let Some(peers) = &mut self.peers {
            peers.attempt_started(self.clock.now(), params.id, params.caller);
        }
        self.execute_commands(commands);
    }

    /// Fails a request of which not all records have been read.
    pub(super) fn fail_incomplete(&mut self, request: RequestRef, error: RequestError) {
        if let Some(open) = self.connections.take_request(request) {
            self.fail_request(request, open.keeps_connection(), error);
        }
    }

    fn fail_request(&mut self, request: RequestRef, keeps_connection: bool, error: RequestError) {
        self.counters.requests_bad += 1;
        let capacity = self.engine.capacity();
        self.respond(request, keeps_connection, &Response::plain(error.status(), capacity));
        // A request that is too long ends its connection, so that the rest of the request need not be read.
        let ends_connection = error == RequestError::TooLong;
        self.connections.note_bad_request(self.clock.now(), request.connection, ends_connection);
    }

    /// Handles an abort: the gateway no longer waits for the answer. The request is still answered, which
    /// ends it, so that the gateway can use its FastCGI request id again. A request that was answered before
    /// is no longer open, and nothing more is sent.
    fn abort(&mut self, request: RequestRef) {
        let Some(open) = self.connections.take_request(request) else { return };
        self.counters.aborts_read += 1;
        self.respond(request, open.keeps_connection(), &Response::plain(http_status::ABORTED, None));
        if let OpenRequest::Admitted(id, _) = open {
            self.on_caller_gone(id);
        }
    }

    /// Handles the closing of the connections of these attempts: no caller waits for the answers any longer.
    pub(super) fn on_callers_gone(&mut self, ids: Vec<RequestId>) {
        for id in ids {
            self.on_caller_gone(id);
        }
    }

    fn on_caller_gone(&mut self, id: RequestId) {
        self.record_end(id, ReplyOutcome::Error);
        self.notify_engine(EngineEvent::CallerGone(id));
    }

    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        let gone = self.connections.close(id);
        self.on_callers_gone(gone);
    }

    // ---- Answers -------------------------------------------------------------------------------------

    /// Queues the only answer to a request, which must already be removed from its connection's list of open
    /// requests.
    pub(super) fn respond(&mut self, request: RequestRef, keeps_connection: bool, response: &Response<'_>) {
        let Some(connection) = self.connections.get(request.connection) else {
            self.counters.answers_unsent += 1;
            return;
        };
        connection.respond(request.fcgi_id(), keeps_connection, response);
        self.memory_budget.note_growth(response.body.len());
        self.connections.touch(request.connection);
    }

    // ---- Accounting ----------------------------------------------------------------------------------

    /// Records the end of an admitted request in the metrics. Every end, for whatever reason, is recorded
    /// here; only the first end of a request counts.
    pub(super) fn record_end(&mut self, id: RequestId, outcome: ReplyOutcome) {
        if let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.open) {
            attempt.open = false;
            self.request_metrics.record_end(self.class_slots.name(attempt.class), outcome);
        }
    }

    /// Number of requests that were admitted and have not ended.
    pub fn open_attempts(&self) -> usize {
        self.attempts.values().filter(|attempt| attempt.open).count()
    }
}
