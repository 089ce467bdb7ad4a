//! Rendezvous ranking of instances for a bucket.
//!
//! The first in rank is the owner. The deputy is the next one in another availability zone, so that
//! losing a zone loses no entry; with a single zone it is the second in rank.

use crate::coordination::hash;
use crate::state::key;

/// One candidate for a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The instance, whose number is equal everywhere.
    pub instance: key::Instance,
    /// Its availability zone, as a hash of the zone's name.
    pub zone: key::Id,
}

/// Owner and deputy of a bucket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Keeps replicas for the owner, none when there is only one candidate.
    pub deputy: Option<key::Instance>,
    /// Decides for the bucket, none when there is no candidate.
    pub owner: Option<key::Instance>,
}

/// Ranks the candidates for a bucket of a service.
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
