//! A compact set of bucket numbers, as messages between instances carry it.

use serde::{Deserialize, Serialize};

use crate::state::key;

/// One bit for each bucket of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bitmap {
    bytes: Vec<u8>,
}

impl Bitmap {
    /// An empty set for `len` buckets.
    pub fn new(len: usize) -> Self {
        Self {
            bytes: vec![0; len.div_ceil(8)],
        }
    }

    /// Adds or removes a bucket; a bucket beyond the length is ignored.
    pub fn set(&mut self, bucket: key::Bucket, value: bool) {
        let mask = 1 << (bucket.0 % 8);
        if let Some(byte) = self.bytes.get_mut(bucket.index() / 8) {
            if value {
                *byte |= mask;
            } else {
                *byte &= !mask;
            }
        }
    }

    /// Whether a bucket is in the set.
    pub fn get(&self, bucket: key::Bucket) -> bool {
        let byte = self.bytes.get(bucket.index() / 8).copied().unwrap_or(0);
        byte & (1 << (bucket.0 % 8)) != 0
    }

    /// Number of buckets in the set.
    pub fn count(&self) -> usize {
        self.bytes
            .iter()
            .map(|byte| byte.count_ones() as usize)
            .sum()
    }
}
