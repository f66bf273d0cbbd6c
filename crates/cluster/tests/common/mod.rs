//! What fleets by seed have in common: what happens, in its order, and who hears whom.

use std::collections::BTreeMap;

/// What is to happen, by time in microseconds; at one moment in the order in which it was planned.
pub struct Course<H> {
    /// How many have been planned.
    pub planned: u64,
    events: BTreeMap<(u64, u64), H>,
}

impl<H> Course<H> {
    pub fn new() -> Self {
        Course { planned: 0, events: BTreeMap::new() }
    }

    pub fn at(&mut self, t: u64, happens: H) {
        self.planned += 1;
        self.events.insert((t, self.planned), happens);
    }

    /// What comes next, if it comes before `end`.
    pub fn next(&mut self, end: u64) -> Option<(u64, H)> {
        let next = self.events.first_entry().filter(|e| e.key().0 < end)?;
        let ((t, _), happens) = next.remove_entry();
        Some((t, happens))
    }

    #[allow(dead_code, reason = "not all that plan also take back")]
    pub fn keep(&mut self, keeps: impl Fn(&H) -> bool) {
        self.events.retain(|_, happens| keeps(happens));
    }
}

/// Until when each node is cut off: it hears nothing, or is not heard.
pub struct Cuts {
    deaf: Vec<u64>,
    mute: Vec<u64>,
}

impl Cuts {
    pub fn new(nodes: usize) -> Self {
        Cuts { deaf: vec![0; nodes], mute: vec![0; nodes] }
    }

    /// Cuts one off for up to four seconds, in one direction or in both.
    pub fn cut(&mut self, now: u64, rng: &mut fastrand::Rng) {
        let (who, until) = (rng.usize(..self.deaf.len()), now + rng.u64(..4_000_000));
        let way = rng.u8(..3);
        if way != 0 {
            self.deaf[who] = until;
        }
        if way != 1 {
            self.mute[who] = until;
        }
    }

    /// Whether what is said now is not heard.
    pub fn part(&self, now: u64, from: u8, to: u8) -> bool {
        now < self.mute[usize::from(from)] || now < self.deaf[usize::from(to)]
    }
}
