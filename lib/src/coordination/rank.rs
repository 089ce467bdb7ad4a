//! Owner and deputy of a bucket, by rendezvous hashing over the instances.
//!
//! The instance with the highest score is the owner. The deputy has the highest score in the other
//! availability zones, so that losing a zone loses no entry; with a single zone it has the second
//! highest score.

use crate::coordination::hash;
use crate::state::key;

/// An instance that can own a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The instance; all instances use the same number for it.
    pub instance: key::Instance,
    /// Its availability zone, as a hash of the zone's name.
    pub zone: key::Id,
}

/// Owner and deputy of a bucket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Keeps replicas of the owner's entries; none if there are fewer than two candidates.
    pub deputy: Option<key::Instance>,
    /// Decides on the flows of the bucket; none if there is no candidate.
    pub owner: Option<key::Instance>,
}

/// Assigns a bucket of a service to the candidates.
pub fn assign(service: key::Id, bucket: key::Bucket, candidates: &[Candidate]) -> Assignment {
    let seed = hash::score(service.0, u64::from(bucket.0));
    let score = |candidate: &Candidate| hash::score(seed, u64::from(candidate.instance.0));
    let Some(owner) = candidates.iter().max_by_key(|candidate| score(candidate)) else {
        return Assignment::default();
    };
    let deputy = candidates
        .iter()
        .filter(|candidate| candidate.instance != owner.instance)
        .max_by_key(|candidate| (candidate.zone != owner.zone, score(candidate)));
    Assignment {
        deputy: deputy.map(|candidate| candidate.instance),
        owner: Some(owner.instance),
    }
}
