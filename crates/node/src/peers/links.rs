//! Links to the other nodes: which node connects to which, which connections are accepted, and how messages
//! are handled.
//!
//! Of two nodes the one with the lower number connects to the other. Both send a hello first. A message
//! before the hello, or from a node that is no member, ends the connection and has no other effect. If there
//! are several connections with a node, the newest is used.

use super::connection::{Connection, Identified, Peer, first_message, frame};
use super::{CONNECTION_KEYS, MAX_INCOMING, MAX_OUTGOING, Peers};
use crate::counters::Counters;
use crate::io::link::{Change, Link};
use crate::io::{Listener, Ready, System};
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::consensus::Event;
use gaugestand_cluster::wire::{FrameError, Hello, Payload};
use gaugestand_cluster::{NodeId, Version};
use std::io;
use std::net::SocketAddr;

/// Maximum number of bytes that may wait to be sent to one node; further messages are dropped. The bound
/// leaves room for several contents and for a node that catches up with the log.
const MAX_QUEUED_BYTES: usize = 2 << 20;
/// Time from the end of a connection to the next attempt to connect. Up to half as much again is added at
/// random, so that nodes that lost their connections at the same time do not all reconnect at the same time.
const RECONNECT_DELAY: Micros = Micros::millis(100);
/// Shortest time between two log lines about rejected messages, as a client that is no node can send many.
const WARNING_INTERVAL: Micros = Micros::millis(10_000);

impl<S: System> Peers<S> {
    /// Whether a poller key belongs to a connection with another node.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + CONNECTION_KEYS).contains(&key)
    }

    // ---- Members -----------------------------------------------------------------------------------------

    /// Updates the peers from the committed membership. A node that has not joined yet keeps the founding
    /// members that it was configured with.
    pub(super) fn update_peers(&mut self, now: Timestamp) {
        let membership = self.consensus.membership().clone();
        for member in membership.members().iter().filter(|member| member.id != self.codec.node_id) {
            // A configured address takes precedence: each node may reach the founding members at addresses of
            // its own.
            let configured = self.configured.get(usize::from(member.id)).map(|(_, address)| *address);
            let peer = self.peers.entry(member.id).or_insert_with(|| Peer::new(String::new()));
            peer.name.clone_from(&member.name);
            peer.address = Some(configured.unwrap_or(member.address));
        }
        let removed = self.peers.keys().copied().filter(|id| membership.was_removed(*id));
        let removed: Vec<NodeId> = removed.collect();
        for id in removed {
            self.disconnect_removed(now, id);
            self.peers.remove(&id);
        }
    }

    fn disconnect_removed(&mut self, now: Timestamp, id: NodeId) {
        for index in 0..CONNECTION_KEYS {
            let Some(connection) = self.connections[index].as_mut() else { continue };
            if connection.belongs_to(id) {
                // The output that waits tells the node of its removal; if that output is lost, the node is
                // told when it connects again.
                let _ = connection.link.flush(now);
                self.disconnect(now, index);
            }
        }
    }

    /// Checks whether messages of a node are accepted: the node must be a member. The error for a node that
    /// was removed contains the incarnation, to which the notice of the removal is addressed.
    fn check_member(&self, from: NodeId, incarnation: u64) -> Result<(), FrameError> {
        let membership = self.consensus.membership();
        if membership.was_removed(from) {
            return Err(FrameError::RemovedSender { node: from, incarnation });
        }
        // A node that has not joined yet does not know all members, so it accepts every node that was not
        // removed.
        let has_joined = membership.get(self.codec.node_id).is_some();
        if has_joined && membership.get(from).is_none() {
            return Err(FrameError::UnknownSender(u32::from(from)));
        }
        Ok(())
    }

    // ---- Connecting --------------------------------------------------------------------------------------

    /// The nodes that this node has to connect to: those with a higher number, a known address and no
    /// connection that this node has made.
    fn unconnected(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        let is_connecting =
            |id: NodeId| self.connections.iter().flatten().any(|connection| connection.target == Some(id));
        let higher = self.peers.range(self.codec.node_id..).map(|(id, peer)| (*id, peer));
        // After its removal this node makes no connections.
        let is_member = self.removed_by.is_none();
        higher.filter(move |(id, peer)| is_member && peer.address.is_some() && !is_connecting(*id))
    }

    /// Connects to the nodes whose delay since the last connection has passed, as far as slots are free.
    pub(super) fn connect_due(&mut self, now: Timestamp) {
        let due = self.unconnected().filter(|(_, peer)| now >= peer.reconnect_at);
        let due: Vec<(NodeId, SocketAddr)> = due.filter_map(|(id, peer)| Some((id, peer.address?))).collect();
        for (id, address) in due {
            let Some(index) = (0..MAX_OUTGOING).find(|index| self.connections[*index].is_none()) else {
                break;
            };
            let link = Link::new(address, self.first_key + index, &self.system);
            let connection = self.connections[index].insert(Connection::new(link, now, Some(id)));
            if connection.link.connect(now).is_some() {
                self.disconnect(now, index);
            }
        }
    }

    /// Accepts the connections that wait at the listener for other nodes, as far as there are slots for them.
    pub fn accept(&mut self, now: Timestamp) {
        self.has_work = true;
        for _ in 0..MAX_INCOMING {
            let Some(index) = self.index_for_incoming() else { return };
            self.connections[index] = None;
            let key = self.first_key + index;
            match self.listener.accept(key) {
                Ok(stream) => {
                    let link = Link::accepted(stream, self.own_address, key, &self.system);
                    self.connections[index] = Some(Connection::new(link, now, None));
                    self.send_hello(index);
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => return,
            }
        }
    }

    /// The slot for a new accepted connection: a free one, or else that of the oldest connection whose node
    /// is not identified; none if all are identified.
    fn index_for_incoming(&self) -> Option<usize> {
        let incoming = MAX_OUTGOING..CONNECTION_KEYS;
        let free = incoming.clone().find(|index| self.connections[*index].is_none());
        free.or_else(|| {
            let connections = incoming.filter_map(|index| Some((index, self.connections[index].as_ref()?)));
            let unidentified = connections.filter(|(_, connection)| connection.identified.is_none());
            unidentified.min_by_key(|(_, connection)| connection.opened_at).map(|(index, _)| index)
        })
    }

    fn send_hello(&mut self, index: usize) {
        let hello = self.codec.hello(env!("CARGO_PKG_VERSION"));
        if let Some(connection) = self.connections[index].as_mut().filter(|connection| !connection.hello_sent)
        {
            connection.hello_sent = true;
            connection.link.send(frame(&hello));
        }
    }

    /// Closes connections on which the other node has not identified itself in time, or that could not be
    /// established in time.
    pub(super) fn close_timed_out(&mut self, now: Timestamp) {
        for index in 0..CONNECTION_KEYS {
            let Some(connection) = self.connections[index].as_mut() else { continue };
            let is_late = connection.identification_deadline().is_some_and(|deadline| now >= deadline);
            if is_late || connection.link.on_timer(now).is_some() {
                self.disconnect(now, index);
            }
        }
    }

    pub(super) fn identification_deadlines(&self) -> impl Iterator<Item = Timestamp> {
        self.connections.iter().flatten().filter_map(Connection::identification_deadline)
    }

    pub(super) fn reconnect_times(&self) -> impl Iterator<Item = Timestamp> {
        self.unconnected().map(|(_, peer)| peer.reconnect_at)
    }

    /// Drops a connection. The loss of a connection does not show that the other node has failed: that node
    /// may be running and may reach other nodes.
    fn disconnect(&mut self, now: Timestamp, index: usize) {
        let Some(connection) = self.connections[index].take() else { return };
        let jitter = Micros(self.rng.u64(..RECONNECT_DELAY.0 / 2));
        if let Some(peer) = connection.target.and_then(|target| self.peers.get_mut(&target)) {
            peer.reconnect_at = now.plus(RECONNECT_DELAY).plus(jitter);
        }
        let Some(Identified { node, .. }) = connection.identified else { return };
        let peer = self.peers.get_mut(&node).filter(|peer| peer.connection == Some(index));
        let Some(peer) = peer else { return };
        peer.connection = None;
        tracing::warn!(
            fellow = peer.name,
            "cluster: lost the connection with a peer, which may still run; a new one will be made"
        );
        self.step(now, Event::LinkDown(node));
    }

    // ---- Messages ----------------------------------------------------------------------------------------

    /// Handles a readiness event of a connection with another node.
    pub fn on_ready(&mut self, now: Timestamp, event: Ready, counters: &mut Counters) {
        let index = event.key.checked_sub(self.first_key).filter(|index| *index < CONNECTION_KEYS);
        let Some(index) = index else { return };
        self.has_work = true;
        let Some(connection) = self.connections[index].as_mut() else { return };
        match connection.link.ready(now, event.readable, event.writable) {
            Some(Change::Up) => {
                connection.opened_at = now;
                self.send_hello(index);
            }
            Some(Change::Broken | Change::Unreachable) => return self.disconnect(now, index),
            None => {}
        }
        self.read_messages(now, index, counters);
    }

    fn read_messages(&mut self, now: Timestamp, index: usize, counters: &mut Counters) {
        while let Some(connection) = self.connections[index].as_mut() {
            let received = match first_message(connection.link.input()) {
                Ok(None) => return,
                Ok(Some((length, message))) => {
                    self.codec.decode(message).map(|(from, payload)| (length, from, payload))
                }
                Err(error) => Err(error),
            };
            let handled = received.and_then(|(length, from, payload)| {
                self.on_message(now, index, from, payload).map(|()| length)
            });
            match handled {
                Ok(length) => {
                    counters.peer_messages += 1;
                    if let Some(connection) = self.connections[index].as_mut() {
                        connection.link.consume(length);
                    }
                }
                Err(error) => {
                    counters.peer_messages_invalid += 1;
                    return self.reject(now, index, &error);
                }
            }
        }
    }

    /// Ends a connection because of a message that is not accepted. A sender that was removed from the
    /// cluster is first told so.
    fn reject(&mut self, now: Timestamp, index: usize, error: &FrameError) {
        if let FrameError::RemovedSender { incarnation, .. } = error
            && let Some(connection) = self.connections[index].as_mut()
        {
            let removed = Payload::Removed(self.consensus.last_committed());
            connection.link.send(frame(&self.codec.encode(removed, *incarnation)));
            let _ = connection.link.flush(now);
        }
        if self.last_warning.is_none_or(|last| now.since(last) >= WARNING_INTERVAL) {
            self.last_warning = Some(now);
            tracing::warn!(
                problem = %error,
                "cluster: rejected a received message; closing the connection that it came on"
            );
        }
        self.disconnect(now, index);
    }

    fn on_message(
        &mut self,
        now: Timestamp,
        index: usize,
        from: NodeId,
        payload: Payload,
    ) -> Result<(), FrameError> {
        if let Payload::Hello(hello) = &payload {
            self.check_member(from, hello.incarnation)?;
        }
        let Some(connection) = self.connections[index].as_mut() else { return Ok(()) };
        match (connection.identified, payload) {
            (_, Payload::Removed(version)) => {
                self.on_removed(version);
                Err(FrameError::Stale)
            }
            (None, Payload::Hello(hello)) => self.on_hello(now, index, from, &hello),
            (Some(Identified { node, .. }), payload)
                if node == from && !matches!(payload, Payload::Hello(_)) =>
            {
                self.step(now, Event::Received { from, payload });
                Ok(())
            }
            _ => Err(FrameError::Stale),
        }
    }

    fn on_removed(&mut self, version: Version) {
        if self.removed_by.replace(version).is_none() {
            tracing::error!(
                version,
                "cluster: this node was removed and is out of service; stop it, or let it join again"
            );
        }
    }

    fn on_hello(
        &mut self,
        now: Timestamp,
        index: usize,
        from: NodeId,
        hello: &Hello,
    ) -> Result<(), FrameError> {
        let Some(connection) = self.connections[index].as_mut() else { return Ok(()) };
        // On a connection that this node made, only the node that it connected to is accepted.
        if connection.target.is_some_and(|target| target != from) {
            return Err(FrameError::UnknownSender(u32::from(from)));
        }
        connection.identified = Some(Identified { node: from, incarnation: hello.incarnation });
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(format!("node {from}")));
        // The newest connection is used, as an older one may be half-open.
        let replaced = peer.connection.replace(index);
        // The log field is named `fellow` and not `peer`, as operators search the log by it.
        tracing::info!(fellow = peer.name, "cluster: connected with a peer");
        if let Some(replaced) = replaced.filter(|replaced| *replaced != index) {
            self.connections[replaced] = None;
        }
        self.step(now, Event::LinkUp(from));
        Ok(())
    }

    /// Queues a message to a node. Drops it if no connection with the node is identified, or if more than
    /// [`MAX_QUEUED_BYTES`] wait on the connection.
    pub(super) fn send(&mut self, to: NodeId, payload: Payload, counters: &mut Counters) {
        let Some(index) = self.peers.get(&to).and_then(|peer| peer.connection) else { return };
        let Some(connection) = self.connections[index].as_mut() else { return };
        let Some(Identified { incarnation, .. }) = connection.identified else { return };
        if connection.link.unwritten_bytes() > MAX_QUEUED_BYTES {
            counters.peer_messages_dropped += 1;
            return;
        }
        connection.link.send(frame(&self.codec.encode(payload, incarnation)));
    }

    pub(super) fn flush_connections(&mut self, now: Timestamp) {
        for index in 0..CONNECTION_KEYS {
            let Some(connection) = self.connections[index].as_mut() else { continue };
            if connection.link.flush(now).is_some() {
                self.disconnect(now, index);
            }
        }
    }
}
