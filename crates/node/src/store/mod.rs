//! Outbound calls to the next tier, the store: a pool of connections and the outstanding calls on them.
//!
//! Each connection carries one call at a time as long as further connections can be made, since an invalid
//! reply fails all calls on its connection. A reply counts only on the connection that carries the call, and
//! no connection ever carries two calls of one run: a duplicate of the reply to the first call would be taken
//! for the reply to the second one.
//!
//! Guarantees that every call ends once, with [`EndedCall`], or is given up by [`Store::drop_call`]. A call
//! ends as `Unreachable` only if it certainly never ran. The pool never retries a call: that is a decision of
//! the engine.

mod connection;
mod protocol;

use super::counters::Counters;
use super::io::link::{CONNECT_TIMEOUT, Change, Link};
use super::io::{Ready, System};
use connection::{Call, StoreConnection};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;

pub use protocol::{MAX_BODY_BYTES, MAX_LINE_BYTES, Reply, ReplyStatus, parse_reply};

/// Time after the last activity at which a connection without calls is closed. It guards against connections
/// that the other side has dropped: a call on such a connection, or one that is sent while the other side
/// closes the connection, is lost, and whether it ran is unknown. A new connection costs little.
const IDLE_TIMEOUT: Micros = Micros::millis(100);
/// Time from the timeout of a call until a missing reply counts as late. The store itself reports that a call
/// has timed out, and this grace leaves it time to do so.
const REPLY_GRACE: Micros = Micros::millis(200);
/// Time after which a partly read reply counts as invalid if no more of it has arrived.
const PARTIAL_REPLY_TIMEOUT: Micros = Micros::millis(250);
/// Maximum number of connections to the store, however many descriptors the node may have.
pub const MAX_CONNECTIONS: usize = 64;

/// Maximum number of connections to the store of a node that may have `descriptors` descriptors. Most
/// descriptors are for the connections of gateways.
pub fn max_connections_within(descriptors: usize) -> usize {
    (descriptors / 8).saturating_sub(4).clamp(2, MAX_CONNECTIONS)
}

/// An outbound call that has ended.
#[derive(Debug, PartialEq)]
pub struct EndedCall {
    /// Request whose run made the call.
    pub id: RequestId,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Body of the reply, to be passed to the run; `None` unless the call succeeded.
    pub reply: Option<Vec<u8>>,
    /// Time from the start of the call to its end.
    pub latency: Micros,
}

/// The pool of connections to the store.
#[derive(Debug)]
pub struct Store<S: System> {
    /// Address of the store; `None` if there is no store, and every call ends as unreachable.
    address: Option<SocketAddr>,
    first_key: usize,
    system: S,
    slots: Vec<Option<StoreConnection<S>>>,
    /// Serial number of the newest connection; connections count up from 1.
    last_serial: u64,
    /// Serial numbers of the connections that carried calls of an attempt, by attempt.
    used_connections: BTreeMap<RequestId, Vec<u64>>,
    /// Slots of the connections to be flushed at the end of this iteration.
    touched: Vec<usize>,
    /// Calls that ended at once because no connection could carry them, and that are not reported yet.
    unplaced: Vec<EndedCall>,
    /// Time before which [`Store::on_timer`] has no timeout to check.
    next_check: Timestamp,
}

impl<S: System> Store<S> {
    /// Creates an empty pool of at most `max_connections` connections to the store at `address`. The
    /// connections are watched under the poller keys from `first_key` on, one for each.
    pub fn new(address: Option<SocketAddr>, first_key: usize, max_connections: usize, system: &S) -> Self {
        Store {
            address,
            first_key,
            system: system.clone(),
            slots: (0..max_connections).map(|_| None).collect(),
            last_serial: 0,
            used_connections: BTreeMap::new(),
            touched: Vec::new(),
            unplaced: Vec::new(),
            next_check: Timestamp(0),
        }
    }

    /// Attempts whose calls have not been reported as ended.
    pub fn outstanding(&self) -> Vec<RequestId> {
        let sent = self.slots.iter().flatten().flat_map(|connection| connection.calls.keys());
        sent.chain(self.unplaced.iter().map(|ended| &ended.id)).copied().collect()
    }

    /// Replaces the address of the store, to which new calls go. Outstanding calls end on the connections
    /// that carry them.
    pub fn move_to(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.address = address;
            self.slots.iter_mut().flatten().for_each(|connection| connection.retired = true);
            self.next_check = Timestamp(0);
        }
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    /// Starts a call for a request, and gives up an outstanding call of the same request.
    pub fn call(
        &mut self,
        now: Timestamp,
        id: RequestId,
        timeout: Micros,
        body: Vec<u8>,
        counters: &mut Counters,
    ) {
        self.drop_call(id, counters);
        let call = Call::new(now, timeout, body);
        self.next_check = self.next_check.min(call.expires_at()).min(now.plus(CONNECT_TIMEOUT));
        let slot = self.choose_connection(now, id);
        let chosen = slot.and_then(|slot| Some((slot, self.slots.get_mut(slot)?.as_mut()?)));
        let Some((slot, connection)) = chosen else {
            let outcome = CallOutcome::Unreachable;
            self.unplaced.push(EndedCall { id, outcome, reply: None, latency: Micros(0) });
            self.next_check = now;
            return;
        };
        connection.calls.insert(id, call);
        connection.send(now, counters);
        self.used_connections.entry(id).or_default().push(connection.serial);
        self.touched.push(slot);
    }

    /// Selects the slot of the connection for a call: the free connection that was active last, otherwise a
    /// new connection, otherwise the connection with the fewest calls. `None` if there is no address,
    /// connecting failed or no connection may carry the call.
    fn choose_connection(&mut self, now: Timestamp, id: RequestId) -> Option<usize> {
        let address = self.address?;
        let used = self.used_connections.get(&id).map_or(&[][..], Vec::as_slice);
        let may_take = |connection: &StoreConnection<S>| {
            !connection.retired && connection.partial_since.is_none() && !used.contains(&connection.serial)
        };
        let connections =
            self.slots.iter().enumerate().filter_map(|(slot, connection)| Some((slot, connection.as_ref()?)));
        let candidates: Vec<(usize, &StoreConnection<S>)> =
            connections.filter(|(_, connection)| may_take(connection)).collect();
        let is_free = |connection: &StoreConnection<S>| {
            connection.calls.is_empty()
                && connection.link.is_up()
                && now.since(connection.last_active) < IDLE_TIMEOUT
        };
        let free = candidates.iter().filter(|(_, connection)| is_free(connection));
        if let Some((slot, _)) = free.max_by_key(|(_, connection)| connection.last_active) {
            return Some(*slot);
        }
        let Some(empty) = self.slots.iter().position(Option::is_none) else {
            let least_used = candidates.iter().min_by_key(|(_, connection)| connection.calls.len());
            return least_used.map(|(slot, _)| *slot);
        };
        let mut link = Link::new(address, self.first_key + empty, &self.system);
        if link.connect(now).is_some() {
            return None;
        }
        self.last_serial += 1;
        self.slots[empty] = Some(StoreConnection::new(now, link, self.last_serial));
        Some(empty)
    }

    /// Gives up the outstanding call of a request, if there is one; its end is not reported.
    pub fn drop_call(&mut self, id: RequestId, counters: &mut Counters) {
        let has_call = |connection: &StoreConnection<S>| connection.calls.contains_key(&id);
        let Some(slot) = self.slots.iter().position(|slot| slot.as_ref().is_some_and(has_call)) else {
            return;
        };
        let Some(connection) = &mut self.slots[slot] else { return };
        if connection.calls.remove(&id).is_some_and(|call| call.was_sent()) {
            connection.link.send(protocol::drop_call(id));
            counters.calls_dropped += 1;
            self.touched.push(slot);
        }
        self.next_check = Timestamp(0);
    }

    /// Forgets which connections carried calls of an attempt; the attempt makes no further calls.
    pub fn forget(&mut self, id: RequestId) {
        self.used_connections.remove(&id);
    }

    // ---- Events --------------------------------------------------------------------------------------

    /// Whether `key` is the poller key of a connection to the store.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + self.slots.len()).contains(&key)
    }

    /// Handles an event of the poller for a connection of the pool; returns the calls that ended.
    pub fn ready(&mut self, now: Timestamp, event: Ready, counters: &mut Counters) -> Vec<EndedCall> {
        let mut ended = Vec::new();
        let slot = event.key.wrapping_sub(self.first_key);
        let Some(Some(connection)) = self.slots.get_mut(slot) else { return ended };
        match connection.link.ready(now, event.readable, event.writable) {
            Some(Change::Up) => {
                counters.store_links += 1;
                connection.send(now, counters);
            }
            Some(change) => {
                connection.fail_all(now, change, &mut ended);
                self.slots[slot] = None;
                return ended;
            }
            None => connection.take_replies(now, event.readable, counters, &mut ended),
        }
        if let Some(wakeup) = connection.next_wakeup() {
            self.next_check = self.next_check.min(wakeup);
        }
        self.touched.push(slot);
        ended
    }

    /// Ends calls and partial replies that have timed out, and closes idle and retired connections. Returns
    /// the calls that ended.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) -> Vec<EndedCall> {
        let mut ended = mem::take(&mut self.unplaced);
        if now < self.next_check {
            return ended;
        }
        let mut expired = Vec::new();
        for (slot, place) in self.slots.iter_mut().enumerate() {
            let Some(connection) = place else { continue };
            if let Some(change) = connection.link.on_timer(now) {
                connection.fail_all(now, change, &mut ended);
            }
            if connection.partial_since.is_some_and(|since| now.since(since) >= PARTIAL_REPLY_TIMEOUT) {
                counters.lines_bad += 1;
                connection.partial_since = None;
                connection.retired = true;
                connection.link.sever();
                self.touched.push(slot);
            }
            connection.collect_expired(now, &mut expired);
            if connection.link.is_down() || connection.is_idle(now) {
                *place = None;
            }
        }
        for call in &expired {
            self.drop_call(call.id, counters);
        }
        ended.extend(expired);
        let next = self.slots.iter().flatten().filter_map(StoreConnection::next_wakeup).min();
        self.next_check = next.unwrap_or(Timestamp(u64::MAX));
        ended
    }

    /// When to call [`Store::on_timer`] again.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        Some(self.next_check).filter(|next| next.0 < u64::MAX)
    }

    /// Writes queued bytes; returns the calls that ended because their link broke.
    pub fn flush(&mut self, now: Timestamp) -> Vec<EndedCall> {
        let mut ended = Vec::new();
        for slot in mem::take(&mut self.touched) {
            let Some(Some(connection)) = self.slots.get_mut(slot) else { continue };
            if let Some(change) = connection.link.flush(now) {
                connection.fail_all(now, change, &mut ended);
                self.slots[slot] = None;
            }
        }
        ended
    }
}

#[cfg(test)]
mod tests;
