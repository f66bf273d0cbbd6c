//! Pseudo-random numbers of the simulation: the same seed gives the same numbers on every machine.

use gaugestand_admission::time::Micros;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Generator of pseudo-random numbers: PCG XSL 128/64 (MCG), by O'Neill.
#[derive(Debug)]
pub struct SimRng(Pcg64Mcg);

impl SimRng {
    /// Creates a generator from the seed of a world. `stream` distinguishes the generators of one world,
    /// which would otherwise return the same numbers.
    pub fn new(seed: u64, stream: u64) -> Self {
        SimRng(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream))
    }

    /// Returns a uniformly distributed number from 0 to `n - 1`, or 0 if `n` is 0. The bias is under `n` in
    /// 2^64.
    pub fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(n)) >> 64) as u64
    }

    /// Returns a uniformly distributed number that is at least 0 and less than 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with probability `p`, which is from 0 to 1.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// Returns an exponentially distributed duration with this mean.
    pub fn exponential(&mut self, mean: Micros) -> Micros {
        Micros((-(1.0 - self.unit()).ln() * mean.0 as f64) as u64)
    }
}
