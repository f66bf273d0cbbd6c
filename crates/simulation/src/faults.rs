//! Faults that are injected into a simulated world, and the plan of faults that is drawn from its seed.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;

/// A fault that is injected into a world. Traces print its variants by name, with their durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The link between the node and its kernel is reset, and the commands in flight on it are lost.
    KernelLink,
    /// A gateway resets one of its connections.
    Reset,
    /// The arrival rate is three times the site's rate for this duration.
    Burst(Micros),
    /// The cores of the kernel run at a quarter of their speed for this duration.
    Slow(Micros),
    /// The process of the node is killed; after this duration, it is started again with a new, cold kernel.
    Death(Micros),
    /// The process of the node is sent SIGTERM, drains, and is then started again.
    Drain,
    /// The downstream tier resets all its connections.
    Below,
    /// The wall clock is stepped by this many milliseconds, forward or (negative) back.
    Clock(i64),
}

/// Draws the plan of a world that lasts `length`: none to six faults, each with its time since the start of
/// the world, in the order of time.
pub fn draw_faults(seed: u64, length: Micros) -> Vec<(Micros, Fault)> {
    let mut rng = SimRng::new(seed, 2);
    let n = rng.below(7);
    let mut plan: Vec<(Micros, Fault)> = (0..n)
        .map(|_| {
            // Half of all faults fall into one quarter of the time, so that faults often overlap.
            let share = if rng.chance(0.5) { 0.4 + rng.unit() * 0.25 } else { rng.unit() };
            let at = Micros((length.0 as f64 * share) as u64);
            let duration = |rng: &mut SimRng, ms: u64| Micros::millis(500 + rng.below(ms));
            let fault = match rng.below(8) {
                0 => Fault::KernelLink,
                1 => Fault::Reset,
                2 => Fault::Burst(duration(&mut rng, 6_000)),
                3 => Fault::Slow(duration(&mut rng, 8_000)),
                4 => Fault::Death(duration(&mut rng, 3_000)),
                5 => Fault::Drain,
                6 => Fault::Below,
                _ => Fault::Clock(rng.below(20_000) as i64 - 10_000),
            };
            (at, fault)
        })
        .collect();
    plan.sort();
    plan
}
