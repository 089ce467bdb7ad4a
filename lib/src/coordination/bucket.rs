//! Buckets of a service and their stages: direct, announced as tracked, placing, untracking, and
//! direct again.
//!
//! The home of a bucket is its default target. The fallback is the target of packets that have no
//! flow entry: the home or, while the bucket settles, a former home. Any instance forwards packets
//! of a direct bucket to the home; the owner of a tracked bucket keeps an entry for each flow.
//!
//! Every instance keeps the home, fallback and settling time of every bucket, so that any instance
//! can become its owner. Only the owner moves a bucket between stages. The owner announces that a
//! bucket is tracked and waits until every live peer has applied the announcement before it places
//! a flow away from the fallback.

use crate::coordination::{hash, rank};
use crate::state::{bitmap, key, time, view};

/// Time within which a first packet that was forwarded directly may be retransmitted. Until it has
/// passed, first packets still go to the fallback.
pub const FIRST_PACKET_GRACE: time::Duration = time::Duration::from_millis(1_100);
/// Time for which a TCP bucket must have been tracked before its owner refuses a new flow. Earlier,
/// a SYN without an entry may belong to a flow that was placed before.
pub const REFUSAL_DELAY: time::Duration = time::Duration::from_secs(4);

/// Stage of a bucket at its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No more flows are placed away from the fallback; the owner waits for a census that finds
    /// none there.
    Untracking {
        /// Generation of the view that stops placements.
        generation: u64,
    },
    /// Any instance forwards to the home.
    Direct,
    /// Announced as tracked; not all peers have applied the announcement.
    Announcing {
        /// Version of the details that announce it.
        version: u32,
    },
    /// The owner places new flows from the given time on.
    Placing {
        /// Start of placements.
        place_at: time::Instant,
    },
}

/// One bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Whether the larger side of a network partition may have placed flows that are not known
    /// here.
    pub may_be_stale: bool,
    /// Instances that must hold replicas, one bit each.
    pub required_replicas: u32,
    /// Target of packets whose flow has no entry.
    pub fallback: key::Target,
    /// The bucket is always tracked while the flexible share is above this value.
    pub tracking_threshold_per_mille: u16,
    /// Instances known to hold the bucket's entries, one bit each.
    pub holders: u32,
    /// Default target.
    pub home: key::Target,
    /// Until then, entries of flows that are still open may be missing here.
    pub incomplete_until: time::Instant,
    /// Owner in the current view.
    pub owner: Option<key::Instance>,
    /// Until then, flows without an entry may belong to a former home.
    pub settle_until: Option<time::Instant>,
    /// Stage; valid only while this instance is the owner.
    pub stage: Stage,
    /// Time since which this instance has seen all packets of the bucket.
    pub tracked_since: time::Instant,
}

/// The buckets of one service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Buckets by number.
    pub buckets: Vec<Bucket>,
    /// Stable identifier of the service.
    pub service: key::Id,
}

/// Inputs that decide the stages of a service's buckets.
pub struct Context<'a> {
    /// Whether all live peers have applied a version of the details.
    pub acknowledged: &'a dyn Fn(u32) -> bool,
    /// Generation of the view that all shards used at the last census.
    pub census_generation: u64,
    /// Number of a bucket's entries with a target other than the fallback, by the last census.
    pub deviating: &'a dyn Fn(key::Bucket) -> u32,
    /// Share of the buckets that are always tracked, in per mille.
    pub flexible_share: u16,
    /// Whether a target takes its full share of new flows.
    pub is_fit: &'a dyn Fn(key::Target) -> bool,
    /// Whether a target has failed.
    pub is_failed: &'a dyn Fn(key::Target) -> bool,
    /// Generation of the next view.
    pub next_generation: u64,
    /// Version of the next details.
    pub next_version: u32,
    /// Current time.
    pub now: time::Instant,
    /// Idle timeout of the service.
    pub idle_timeout: time::Duration,
    /// This instance.
    pub self_key: key::Instance,
}

/// Instances that can own buckets, as this instance sees them.
pub struct Candidates<'a> {
    /// Instances alive, one bit each.
    pub alive: u32,
    /// Candidates that own buckets now.
    pub current: &'a [rank::Candidate],
    /// Candidates that will own buckets once all joins and leaves are complete.
    pub prospective: &'a [rank::Candidate],
    /// This instance.
    pub self_key: key::Instance,
}

/// Effects of advancing the stages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The set of direct buckets changed and must be announced.
    pub announce: bool,
    /// A new view must be published.
    pub publish: bool,
}

/// The flexible share, in per mille, above which a bucket is always tracked. Thresholds are spread
/// evenly over the buckets.
fn tracking_threshold_per_mille(service: key::Id, bucket: usize) -> u16 {
    (hash::score(!service.0, bucket as u64) % 1_000) as u16
}

impl Table {
    /// Creates the table of a service that was not known before. All buckets start as direct and as
    /// possibly stale, so their owners track them at first.
    pub fn new(service: key::Id, homes: &[key::Target], now: time::Instant) -> Self {
        let bucket = |(index, home): (usize, &key::Target)| Bucket {
            may_be_stale: true,
            required_replicas: 0,
            fallback: *home,
            tracking_threshold_per_mille: tracking_threshold_per_mille(service, index),
            holders: 0,
            home: *home,
            incomplete_until: time::Instant(0),
            owner: None,
            settle_until: None,
            stage: Stage::Direct,
            tracked_since: now,
        };
        Self {
            buckets: homes.iter().enumerate().map(bucket).collect(),
            service,
        }
    }

    /// Applies the homes of a new revision. A former home stays the fallback until all its flows
    /// are known.
    pub fn update_homes(
        &mut self,
        homes: &[key::Target],
        now: time::Instant,
        idle: time::Duration,
        next_version: u32,
    ) {
        if homes.len() != self.buckets.len() {
            *self = Self::new(self.service, homes, now);
            return;
        }
        for (bucket, home) in self.buckets.iter_mut().zip(homes) {
            if bucket.home == *home {
                continue;
            }
            bucket.home = *home;
            if bucket.settle_until.is_none() {
                bucket.settle_until = Some(now + idle);
            }
            match bucket.stage {
                Stage::Direct => {
                    bucket.stage = Stage::Announcing {
                        version: next_version,
                    }
                }
                Stage::Untracking { .. } => bucket.stage = Stage::Placing { place_at: now },
                Stage::Announcing { .. } | Stage::Placing { .. } => {}
            }
        }
    }

    /// Applies a new ranking of the instances. `was_direct` tells whether the former owner had
    /// declared a bucket direct; losing such an owner loses no entry.
    pub fn update_owners(
        &mut self,
        candidates: &Candidates<'_>,
        now: time::Instant,
        idle: time::Duration,
        was_direct: impl Fn(key::Instance, key::Bucket) -> bool,
    ) {
        let self_key = candidates.self_key;
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let number = key::Bucket::from(index);
            let current = rank::assign(self.service, number, candidates.current);
            let prospective = rank::assign(self.service, number, candidates.prospective);
            let lost = bucket.holders != 0 && bucket.holders & candidates.alive == 0;
            if lost && !bucket.owner.is_some_and(|owner| was_direct(owner, number)) {
                bucket.incomplete_until = bucket.incomplete_until.max(now + idle);
            }
            if lost {
                bucket.holders = 0;
            }
            let became_owner = current.owner == Some(self_key) && bucket.owner != Some(self_key);
            bucket.owner = current.owner;
            bucket.required_replicas = required_replicas(self_key, current, prospective);
            if became_owner {
                bucket.stage = Stage::Placing {
                    place_at: now + FIRST_PACKET_GRACE,
                };
                bucket.tracked_since = now;
            }
        }
    }

    /// Marks all buckets but the direct ones as possibly stale, since this instance may be on the
    /// smaller side of a network partition: flows that the other side places in tracked buckets are
    /// not known here.
    pub fn note_minority(
        &mut self,
        self_key: key::Instance,
        was_direct: impl Fn(key::Instance, key::Bucket) -> bool,
    ) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let direct = bucket.owner.is_some_and(|owner| {
                if owner == self_key {
                    bucket.stage == Stage::Direct
                } else {
                    was_direct(owner, key::Bucket::from(index))
                }
            });
            bucket.may_be_stale |= !direct;
        }
    }

    /// Marks all buckets as up to date, since this instance is no longer on the smaller side of a
    /// partition.
    pub fn end_minority(&mut self) {
        for bucket in &mut self.buckets {
            bucket.may_be_stale = false;
        }
    }

    /// Marks buckets whose entries were lost as incomplete until `until`, when their flows are
    /// over.
    pub fn note_incomplete(&mut self, buckets: &bitmap::Bitmap, until: time::Instant) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            if buckets.get(key::Bucket::from(index)) {
                bucket.incomplete_until = bucket.incomplete_until.max(until);
            }
        }
    }

    /// Ends the settling of all buckets: each home becomes its bucket's fallback.
    pub fn end_settling(&mut self) {
        for bucket in &mut self.buckets {
            bucket.fallback = bucket.home;
            bucket.settle_until = None;
        }
    }

    /// Makes buckets settle until `until`, with a former home as fallback.
    pub fn start_settling(
        &mut self,
        buckets: &bitmap::Bitmap,
        fallback: key::Target,
        until: time::Instant,
    ) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            if buckets.get(key::Bucket::from(index)) {
                bucket.fallback = fallback;
                bucket.settle_until = Some(until);
            }
        }
    }

    /// Removes an instance that has lost its entries from the holders. A bucket without any holder
    /// left is incomplete for one idle timeout.
    pub fn remove_holder(
        &mut self,
        instance: key::Instance,
        now: time::Instant,
        idle: time::Duration,
    ) {
        for bucket in &mut self.buckets {
            let remaining = bucket.holders & !view::instance_bit(instance);
            if bucket.holders != 0 && remaining == 0 {
                bucket.incomplete_until = bucket.incomplete_until.max(now + idle);
            }
            bucket.holders = remaining;
        }
    }

    /// Records the owner and deputy of each bucket as its holders. Called once the fleet is
    /// settled, when they hold all entries.
    pub fn note_settled(&mut self, current: &[rank::Candidate]) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let assignment = rank::assign(self.service, key::Bucket::from(index), current);
            bucket.holders = assignment
                .owner
                .into_iter()
                .chain(assignment.deputy)
                .fold(0, |mask, instance| mask | view::instance_bit(instance));
        }
    }

    /// Moves each bucket to its next stage if the conditions for it are met.
    pub fn advance(&mut self, context: &Context<'_>) -> Progress {
        let mut progress = Progress::default();
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let number = key::Bucket::from(index);
            if end_settling_if_due(bucket, context.now) {
                progress.publish = true;
            }
            if bucket.owner != Some(context.self_key) {
                continue;
            }
            let must_track = bucket.may_be_stale
                || bucket.settle_until.is_some()
                || bucket.tracking_threshold_per_mille < context.flexible_share
                || !(context.is_fit)(bucket.home);
            let stage = next_stage(bucket, number, must_track, context);
            if stage == bucket.stage {
                continue;
            }
            let was_direct = bucket.stage == Stage::Direct;
            progress.publish = true;
            progress.announce |= was_direct || stage == Stage::Direct;
            if was_direct {
                bucket.tracked_since = context.now;
            }
            if let (Stage::Announcing { .. }, Stage::Placing { place_at }) = (bucket.stage, stage)
                && bucket.settle_until.is_some()
            {
                bucket.settle_until = Some(place_at + context.idle_timeout);
            }
            bucket.stage = stage;
        }
        progress
    }

    /// Buckets that this instance owns and declares direct.
    pub fn direct_buckets(&self, self_key: key::Instance) -> bitmap::Bitmap {
        let mut direct = bitmap::Bitmap::new(self.buckets.len());
        for (index, bucket) in self.buckets.iter().enumerate() {
            if bucket.owner == Some(self_key) && bucket.stage == Stage::Direct {
                direct.set(key::Bucket::from(index), true);
            }
        }
        direct
    }
}

/// Instances that must hold replicas of this instance's entries of a bucket. The owner replicates
/// to the deputy and to the next owner and deputy; any other instance replicates to the owner.
fn required_replicas(
    self_key: key::Instance,
    now: rank::Assignment,
    next: rank::Assignment,
) -> u32 {
    let wanted = if now.owner == Some(self_key) {
        [now.deputy, next.owner, next.deputy]
    } else {
        [now.owner, None, None]
    };
    let mask = wanted
        .into_iter()
        .flatten()
        .fold(0, |mask, key| mask | view::instance_bit(key));
    mask & !view::instance_bit(self_key)
}

/// Ends the settling of a bucket if its time is over; returns whether it did.
fn end_settling_if_due(bucket: &mut Bucket, now: time::Instant) -> bool {
    if bucket.settle_until.is_some_and(|until| until <= now) {
        bucket.settle_until = None;
        bucket.fallback = bucket.home;
        return true;
    }
    false
}

fn next_stage(
    bucket: &Bucket,
    number: key::Bucket,
    must_track: bool,
    context: &Context<'_>,
) -> Stage {
    let now = context.now;
    match bucket.stage {
        Stage::Direct if must_track => Stage::Announcing {
            version: context.next_version,
        },
        Stage::Announcing { version } if (context.acknowledged)(version) => {
            let grace = if (context.is_failed)(bucket.fallback) {
                time::Duration::ZERO
            } else {
                FIRST_PACKET_GRACE
            };
            Stage::Placing {
                place_at: now + grace,
            }
        }
        Stage::Placing { place_at } if !must_track && place_at <= now => Stage::Untracking {
            generation: context.next_generation,
        },
        Stage::Untracking { .. } if must_track => Stage::Placing { place_at: now },
        Stage::Untracking { generation }
            if context.census_generation >= generation && (context.deviating)(number) == 0 =>
        {
            Stage::Direct
        }
        stage => stage,
    }
}
