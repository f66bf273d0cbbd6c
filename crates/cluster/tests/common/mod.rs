//! Helpers for the seeded simulations of clusters: a schedule of actions, and network partitions.

use std::collections::BTreeMap;

/// Scheduled actions, ordered by simulated time in microseconds. Actions for the same time are performed in
/// the order in which they were scheduled.
pub struct Schedule<A> {
    /// Number of actions that have been scheduled so far.
    pub scheduled: u64,
    actions: BTreeMap<(u64, u64), A>,
}

impl<A> Schedule<A> {
    pub fn new() -> Self {
        Schedule { scheduled: 0, actions: BTreeMap::new() }
    }

    pub fn at(&mut self, time: u64, action: A) {
        self.scheduled += 1;
        self.actions.insert((time, self.scheduled), action);
    }

    /// Removes and returns the next action and its time, if that is before `end`.
    pub fn next(&mut self, end: u64) -> Option<(u64, A)> {
        let next = self.actions.first_entry().filter(|entry| entry.key().0 < end)?;
        let ((time, _), action) = next.remove_entry();
        Some((time, action))
    }

    #[allow(dead_code, reason = "not all simulations cancel actions")]
    pub fn retain(&mut self, keeps: impl Fn(&A) -> bool) {
        self.actions.retain(|_, action| keeps(action));
    }
}

/// Network partitions: for each node, the simulated time in microseconds until which messages to it and
/// messages from it are lost.
pub struct Partitions {
    inbound_dropped_until: Vec<u64>,
    outbound_dropped_until: Vec<u64>,
}

impl Partitions {
    pub fn new(nodes: usize) -> Self {
        Partitions { inbound_dropped_until: vec![0; nodes], outbound_dropped_until: vec![0; nodes] }
    }

    /// Cuts a random node off from all others for up to four seconds, in one direction or in both.
    pub fn partition(&mut self, now: u64, rng: &mut fastrand::Rng) {
        let node = rng.usize(..self.inbound_dropped_until.len());
        let until = now + rng.u64(..4_000_000);
        let direction = rng.u8(..3);
        if direction != 0 {
            self.inbound_dropped_until[node] = until;
        }
        if direction != 1 {
            self.outbound_dropped_until[node] = until;
        }
    }

    /// Whether a message from `from` to `to` that is sent at `now` is lost.
    pub fn drops_message(&self, now: u64, from: u8, to: u8) -> bool {
        now < self.outbound_dropped_until[usize::from(from)]
            || now < self.inbound_dropped_until[usize::from(to)]
    }
}
