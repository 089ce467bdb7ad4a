//! Small `Copy` keys of instances, services, targets, zones, buckets, entries and held packets.
//!
//! A key is an index into the arena or table that holds the item. Keys of the sheet's items are
//! assigned in the order of the accepted sheet, so they identify an item only together with a
//! revision. An instance that forwards by cookie assigns keys to the services, targets and zones of
//! its registry, the configuration and the registered targets as it knows them; these keys are
//! valid only in its process. Messages between instances carry stable identifiers (`Id`) wherever
//! the revisions of the instances can differ.

use serde::{Deserialize, Serialize};

/// Defines an arena key that wraps a small integer.
macro_rules! define_key {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub struct $name(pub $repr);

        impl $name {
            /// The index of the item in its arena or table.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl From<usize> for $name {
            fn from(index: usize) -> Self {
                debug_assert!(index <= <$repr>::MAX as usize);
                Self(index as $repr)
            }
        }

        impl From<$name> for usize {
            fn from(key: $name) -> usize {
                key.index()
            }
        }
    };
}

define_key!(
    /// An instance, by the number that the settings give it.
    Instance,
    u16
);
define_key!(
    /// A service of the accepted sheet or of the registry.
    Service,
    u16
);
define_key!(
    /// A target of the accepted sheet or of the registry.
    Target,
    u32
);
define_key!(
    /// An instance discovered through its heartbeats.
    Peer,
    u16
);
define_key!(
    /// An availability zone of the accepted sheet or of the registry.
    Zone,
    u16
);
define_key!(
    /// A region of the registry, which holds availability zones.
    Region,
    u16
);
define_key!(
    /// A bucket, one of the equal parts of a service's hash space.
    Bucket,
    u32
);
define_key!(
    /// An entry of a flow table.
    Entry,
    u32
);
define_key!(
    /// A packet held until a decision on its flow can be made.
    Held,
    u32
);

/// The stable 64-bit identifier of a named item, equal on every instance and for every revision.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Id(pub u64);
