//! Random numbers from a seed: the same seed gives the same numbers on every machine.

use gaugestand_admission::time::Micros;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Random numbers: PCG XSL 128/64 (MCG), by O'Neill.
#[derive(Debug)]
pub struct SimRng(Pcg64Mcg);

impl SimRng {
    /// Numbers of this seed; `stream` sets apart the generators of one world.
    pub fn new(seed: u64, stream: u64) -> Self {
        SimRng(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream))
    }

    /// A number below `n`; 0 if that is 0. The bias is under `n` in 2^64.
    pub fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(n)) >> 64) as u64
    }

    /// A number from 0 to under 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with this chance.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A length of time with this mean, exponentially distributed.
    pub fn exponential(&mut self, mean: Micros) -> Micros {
        Micros((-(1.0 - self.unit()).ln() * mean.0 as f64) as u64)
    }
}
