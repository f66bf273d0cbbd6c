//! Faults that happen to a simulated world, and the plan of them that a seed gives.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The link to the kernel breaks, and the last commands on it are lost.
    KernelLink,
    /// A gateway resets one of its connections.
    Reset,
    /// Traffic is three times the usual for so long.
    Burst(Micros),
    /// The cores are four times slower for so long.
    Slow(Micros),
    /// The process and its kernel die, and come back cold after so long.
    Death(Micros),
    /// The process is told to leave, and is replaced.
    Drain,
    /// The tier below lets go of all its connections.
    Below,
    /// The wall clock is set by so many milliseconds.
    Clock(i64),
}

/// The faults of a world, each with the time from the beginning of the world, in this order.
pub fn draw_faults(seed: u64, length: Micros) -> Vec<(Micros, Fault)> {
    let mut rng = SimRng::new(seed, 2);
    let n = rng.below(7);
    let mut plan: Vec<(Micros, Fault)> = (0..n)
        .map(|_| {
            // Together on purpose: half of all faults come within a quarter of the time.
            let share = if rng.chance(0.5) { 0.4 + rng.unit() * 0.25 } else { rng.unit() };
            let at = Micros((length.0 as f64 * share) as u64);
            let long = |rng: &mut SimRng, ms: u64| Micros::millis(500 + rng.below(ms));
            let fault = match rng.below(8) {
                0 => Fault::KernelLink,
                1 => Fault::Reset,
                2 => Fault::Burst(long(&mut rng, 6_000)),
                3 => Fault::Slow(long(&mut rng, 8_000)),
                4 => Fault::Death(long(&mut rng, 3_000)),
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
