//! The pseudo-random generator that decisions use. Callers pass it in with a known seed, so that
//! runs are reproducible.

use rand::{Rng, SeedableRng};

/// A small and fast pseudo-random generator.
#[derive(Clone, Debug)]
pub struct Source(rand_pcg::Pcg64Mcg);

impl Source {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        Self(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// A uniform number below `bound`, zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        ((u128::from(self.0.next_u64()) * bound as u128) >> 64) as usize
    }

    /// A uniform number from 0 to 1, 1 excluded.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A random sample without replacement.
pub fn sample<T>(mut from: Vec<T>, count: usize, random: &mut Source) -> Vec<T> {
    let count = count.min(from.len());
    for index in 0..count {
        let other = index + random.below(from.len() - index);
        from.swap(index, other);
    }
    from.truncate(count);
    from
}
