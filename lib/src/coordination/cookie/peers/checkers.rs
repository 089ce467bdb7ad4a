//! Which instances check a target that is in doubt.

use std::net::SocketAddr;

use super::{MEMBER_TIMEOUT, Peer, Peers};
use crate::coordination::cookie::checks;
use crate::coordination::hash;
use crate::state::time;

/// Age of the last news of an instance at which others are asked to check before it.
const RECENTLY_HEARD: time::Duration = time::Duration::from_secs(5);

impl Peers {
    /// The checkers of a target in `zone`: one of the own zone and one of another zone, the target's
    /// if it is not the own one; two of the own zone if there is no other. `ranks` tell how many of
    /// the first in rank of the own and of the other zone to pass over.
    pub fn checkers(
        &self,
        now: time::Instant,
        cookie: u32,
        zone: Option<&str>,
        ranks: [usize; 2],
    ) -> Vec<SocketAddr> {
        let score = |address| hash::score(u64::from(cookie), hash::address_rank(address));
        // Nearly all askers rank alike by what gossip says, so that they share the checkers.
        let is_old = |peer: &Peer| now.since(peer.reported_at) >= RECENTLY_HEARD;
        let rank = |peer: &Peer| (is_old(peer), score(peer.address), peer.address);
        let known = self.known.iter().map(|(_, peer)| peer);
        let current =
            known.filter(|peer| !peer.is_leaving() && now.since(peer.reported_at) < MEMBER_TIMEOUT);
        let (own_zone, others): (Vec<&Peer>, Vec<&Peer>) =
            current.partition(|peer| peer.zone == self.own_zone);
        let mut own_zone: Vec<_> = own_zone.into_iter().map(rank).collect();
        own_zone.push((false, score(self.own_address), self.own_address));
        own_zone.sort();
        let of_zone: Vec<&Peer> = others
            .iter()
            .copied()
            .filter(|peer| Some(peer.zone.as_str()) == zone)
            .collect();
        let others = if of_zone.is_empty() { others } else { of_zone };
        let mut others: Vec<_> = others.into_iter().map(rank).collect();
        others.sort();
        let pick = |ranked: &[(bool, u64, SocketAddr)], index: usize| {
            let chosen = ranked.get(index % ranked.len().max(1));
            chosen.map(|(.., address)| *address)
        };
        let [own_rank, other_rank] = ranks;
        let second = match self.quorum() {
            checks::Quorum::One => None,
            checks::Quorum::Two => pick(&own_zone, own_rank + 1),
            checks::Quorum::TwoZones => pick(&others, other_rank),
        };
        let mut checkers: Vec<SocketAddr> = pick(&own_zone, own_rank)
            .into_iter()
            .chain(second)
            .collect();
        checkers.dedup();
        checkers
    }

    /// The checkers that must agree. An instance that was heard of within the retention counts, so
    /// that a zone that is cut off leaves fewer verdicts, not weaker ones.
    pub fn quorum(&self) -> checks::Quorum {
        if self
            .known
            .iter()
            .any(|(_, peer)| peer.zone != self.own_zone)
        {
            checks::Quorum::TwoZones
        } else if self.known.is_empty() {
            checks::Quorum::One
        } else {
            checks::Quorum::Two
        }
    }
}
