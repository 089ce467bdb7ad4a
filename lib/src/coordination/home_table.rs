//! Home tables: the home, or default target, of each bucket of a service.
//!
//! Each bucket ranks the targets by rendezvous hashing, and each target takes at most a quota of
//! buckets in proportion to its weight. Buckets are assigned by deferred acceptance (Gale and
//! Shapley). The result does not depend on the order of the targets, deviates from the exact shares
//! by less than one bucket, and moves few buckets when a target joins or leaves.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::coordination::hash;
use crate::state::key;

/// Number of buckets of a service whose sheet does not set it; enough for about 30 targets.
pub const DEFAULT_BUCKETS: u32 = 512;
/// Smallest number of buckets of a service.
pub const MIN_BUCKETS: u32 = 16;
/// Largest number of buckets of a service.
pub const MAX_BUCKETS: u32 = 65_536;

/// A target that takes part in a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Stable identifier.
    pub name: key::Id,
    /// Local key.
    pub target: key::Target,
    /// Relative capacity, above zero.
    pub weight: u32,
}

/// The home of each bucket; empty if no member has a weight above zero.
pub fn homes(service: key::Id, buckets: usize, members: &[Member]) -> Vec<key::Target> {
    let members: Vec<Member> = members
        .iter()
        .copied()
        .filter(|member| member.weight > 0)
        .collect();
    if members.is_empty() {
        return Vec::new();
    }
    let quotas = quotas(buckets, &members);
    let preferences: Vec<Vec<u32>> = (0..buckets)
        .map(|bucket| preference(service, bucket, &members))
        .collect();
    let mut accepted: Vec<BinaryHeap<Reverse<(u64, u32)>>> =
        members.iter().map(|_| BinaryHeap::new()).collect();
    let mut next_choice = vec![0usize; buckets];
    let mut waiting: Vec<u32> = (0..buckets as u32).rev().collect();
    while let Some(bucket) = waiting.pop() {
        let choice = preferences[bucket as usize][next_choice[bucket as usize]] as usize;
        next_choice[bucket as usize] += 1;
        let heap = &mut accepted[choice];
        heap.push(Reverse((
            bucket_score(service, bucket, &members[choice]),
            bucket,
        )));
        if heap.len() > quotas[choice]
            && let Some(Reverse((_, rejected))) = heap.pop()
        {
            waiting.push(rejected);
        }
    }
    let mut homes = vec![members[0].target; buckets];
    for (member, heap) in members.iter().zip(&accepted) {
        for Reverse((_, bucket)) in heap {
            homes[*bucket as usize] = member.target;
        }
    }
    homes
}

/// Largest number of buckets of each member; the sum is the number of buckets.
fn quotas(buckets: usize, members: &[Member]) -> Vec<usize> {
    let total: u64 = members.iter().map(|member| u64::from(member.weight)).sum();
    let share = |member: &Member| buckets as u64 * u64::from(member.weight);
    let mut quotas: Vec<usize> = members
        .iter()
        .map(|member| (share(member) / total) as usize)
        .collect();
    let mut by_remainder: Vec<usize> = (0..members.len()).collect();
    by_remainder.sort_by_key(|index| {
        let member = &members[*index];
        (Reverse(share(member) % total), member.name)
    });
    let missing = buckets - quotas.iter().sum::<usize>();
    for index in by_remainder.into_iter().take(missing) {
        quotas[index] += 1;
    }
    quotas
}

/// Indexes of the members, by descending score for the bucket.
fn preference(service: key::Id, bucket: usize, members: &[Member]) -> Vec<u32> {
    let mut order: Vec<(u64, u32)> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (bucket_score(service, bucket as u32, member), index as u32))
        .collect();
    order.sort_by_key(|(score, index)| (Reverse(*score), members[*index as usize].name));
    order.into_iter().map(|(_, index)| index).collect()
}

fn bucket_score(service: key::Id, bucket: u32, member: &Member) -> u64 {
    hash::score(hash::score(service.0, u64::from(bucket)), member.name.0)
}
