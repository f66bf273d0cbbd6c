//! Outbound calls to the next tier, the store: a pool of connections and the calls that are out on them.
//!
//! Each connection has one call at a time while there are connections left, since an invalid reply costs all calls on its
//! connection. A reply counts only on the connection that has the call, and no connection has two calls of one run: a second
//! copy of the first reply would pass for the reply to the second call.
//!
//! Guarantees that every call ends once, with [`EndedCall`], or is given up by [`Store::drop_call`]; a call is `Unreachable` only
//! if it surely never ran. It repeats nothing: that is the engine's to decide.

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

/// A connection without a call for this long is closed. Guards against the other side's forgetting it: a call on one that is
/// forgotten, or that crosses its close, is lost and proves nothing; a new connection costs little.
const IDLE_TIMEOUT: Micros = Micros::millis(100);
/// A reply that has not come this long after the call's time counts as late. The store reports the end of the time itself, and
/// this leaves it time to.
const REPLY_GRACE: Micros = Micros::millis(200);
/// A reply of which a part has come is invalid if nothing more of it comes for this long.
const PARTIAL_REPLY_TIMEOUT: Micros = Micros::millis(250);
/// Most connections, whatever the descriptors.
pub const MAX_CONNECTIONS: usize = 64;

/// The connections that a node with so many descriptors may have: most of them are the gateways'.
pub fn max_connections_within(descriptors: usize) -> usize {
    (descriptors / 8).saturating_sub(4).clamp(2, MAX_CONNECTIONS)
}

/// The end of a call.
#[derive(Debug, PartialEq)]
pub struct EndedCall {
    /// Whose call it was.
    pub id: RequestId,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The reply for the run, after a success.
    pub reply: Option<Vec<u8>>,
    /// How long it took.
    pub latency: Micros,
}

/// The pool of connections to the store.
#[derive(Debug)]
pub struct Store<S: System> {
    /// Where there is none, no call can be made.
    address: Option<SocketAddr>,
    first_key: usize,
    system: S,
    slots: Vec<Option<StoreConnection<S>>>,
    /// Connections so far.
    last_serial: u64,
    /// The connections, by serial number, that have had a call of an attempt.
    used_connections: BTreeMap<RequestId, Vec<u64>>,
    /// Slots with something to write or to settle in this iteration.
    touched: Vec<usize>,
    /// Calls that no connection could be found for.
    unplaced: Vec<EndedCall>,
    /// Nothing needs attention before.
    next_check: Timestamp,
}

impl<S: System> Store<S> {
    /// A store at this address, reached over at most so many connections, watched under as many keys from `first_key` on.
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

    /// The attempts whose calls are out.
    pub fn outstanding(&self) -> Vec<RequestId> {
        let sent = self.slots.iter().flatten().flat_map(|connection| connection.calls.keys());
        sent.chain(self.unplaced.iter().map(|ended| &ended.id)).copied().collect()
    }

    /// From now on new calls go to this address; those that are out end on the connections that they have.
    pub fn move_to(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.address = address;
            self.slots.iter_mut().flatten().for_each(|connection| connection.retired = true);
            self.next_check = Timestamp(0);
        }
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    /// Makes a call; one that is out for the same request is given up with it.
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

    /// The connection for a call: one that was free a moment ago, else a new one, else the one with the fewest calls.
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

    /// Gives up a call; nothing is heard of it any more.
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

    /// Nothing more comes for this attempt.
    pub fn forget(&mut self, id: RequestId) {
        self.used_connections.remove(&id);
    }

    // ---- Events --------------------------------------------------------------------------------------

    /// Whether this is the poller key of a connection to the store.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + self.slots.len()).contains(&key)
    }

    /// The poller has something for the connection with this key; returns the calls that ended.
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

    /// Ends what is overdue and closes connections of no more use; returns the calls that ended.
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

    /// Writes what can be written; returns the calls that ended as their link broke.
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
