//! Heartbeats that a controller sends: periodic ones, announcements of changes, and confirmations.

use std::net::SocketAddr;

use super::{
    Audience, CONFIRMATION_FANOUT, Controller, HEARTBEAT_INTERVAL, ITEM_BYTES, MAX_ANNOUNCED_ITEMS,
    MAX_HOLDS, Origin, Output,
};
use crate::coordination::cookie::{heartbeat, news};
use crate::state::{catalog, random, time};

impl Controller {
    /// Introduces this instance to another one that has just started. To one without registry data
    /// it offers its own, unless others fetch it already.
    pub(super) fn reply(&mut self, now: time::Instant, to: SocketAddr, wants_data: bool) {
        let offers = wants_data
            && self.registry.is_complete()
            && self
                .offers
                .take(now, self.registry.item_count() * ITEM_BYTES);
        let heartbeat = heartbeat::Heartbeat {
            offers,
            ..self.heartbeat(now, Audience::Notified)
        };
        self.outputs
            .push(Output::Heartbeat(vec![to], Box::new(heartbeat)));
    }

    /// Sends the changes after a position to some instances. Only one that has them from the
    /// platform sends them to other zones too.
    pub(super) fn announce(&mut self, now: time::Instant, since: catalog::Position, from: Origin) {
        let to_all_zones = from == Origin::Platform;
        let receivers = self
            .peers
            .announce_receivers(to_all_zones, &mut self.random);
        let mut to = receivers.own_zone;
        to.extend(receivers.others);
        if !to.is_empty() {
            self.send_changes(now, since, to);
        }
    }

    /// Passes on that the registry data is current, at most four times in the time of a watch. Periodic
    /// heartbeats alone need more than a second to reach all instances of a large fleet, and an
    /// instance whose data is not confirmed in time calls the platform.
    pub(super) fn announce_confirmation(&mut self, now: time::Instant, from: Origin) {
        let confirmed_at = self.registry.confirmed_at.unwrap_or_default();
        if confirmed_at.since(self.announced_at) < self.timing.watch / 4 {
            return;
        }
        self.announced_at = confirmed_at;
        let to_all_zones = from == Origin::Platform;
        let receivers = self
            .peers
            .announce_receivers(to_all_zones, &mut self.random);
        let mut own_zone = receivers.own_zone;
        own_zone.truncate(CONFIRMATION_FANOUT);
        if self.peers.are_all_neighbors() {
            own_zone.clear();
        }
        let mut to = own_zone;
        to.extend(receivers.others);
        if !to.is_empty() {
            let heartbeat = self.confirmation(now);
            self.outputs
                .push(Output::Heartbeat(to, Box::new(heartbeat)));
        }
    }

    /// Tells a peer that the registry data is current if its own was confirmed much earlier. In a
    /// large fleet that has just started, few instances know a given one.
    pub(super) fn confirm_late(&mut self, now: time::Instant, to: SocketAddr, news: &news::News) {
        let confirmed_at = self.registry.confirmed_at.unwrap_or_default();
        let is_late = |at: time::Instant| confirmed_at.since(at) >= self.timing.watch / 2;
        if !news.leaving && news.current_at.is_some_and(is_late) {
            let heartbeat = self.confirmation(now);
            self.outputs
                .push(Output::Heartbeat(vec![to], Box::new(heartbeat)));
        }
    }

    /// Sends the changes after a position, or only tells that there are changes if they are many.
    pub(super) fn send_changes(
        &mut self,
        now: time::Instant,
        since: catalog::Position,
        to: Vec<SocketAddr>,
    ) {
        let delta = self.registry.delta_since(now, since);
        let items = delta.item_count();
        let small = !delta.full && (1..=MAX_ANNOUNCED_ITEMS).contains(&items);
        let heartbeat = heartbeat::Heartbeat {
            delta: small.then_some(delta),
            ..self.heartbeat(now, Audience::Notified)
        };
        self.outputs
            .push(Output::Heartbeat(to, Box::new(heartbeat)));
    }

    /// Asks some instances for registry data.
    pub(super) fn request_data(&mut self, now: time::Instant) {
        let to = self.peers.request_receivers(&mut self.random);
        let heartbeat = self.heartbeat(now, Audience::Notified);
        self.outputs
            .push(Output::Heartbeat(to, Box::new(heartbeat)));
    }

    /// Sends the periodic heartbeats.
    pub(super) fn send_heartbeats(&mut self, now: time::Instant) {
        self.heartbeat_due = now + HEARTBEAT_INTERVAL;
        let mut receivers = self.peers.receivers(now, &mut self.random);
        let suspects = self.summary(now).suspects();
        if !suspects.is_empty() {
            self.add_question_receivers(now, &suspects, &mut receivers);
        }
        for (audience, to) in [
            (Audience::Neighbors, receivers.own_zone),
            (Audience::OtherZones, receivers.others),
        ] {
            if !to.is_empty() {
                let heartbeat = heartbeat::Heartbeat {
                    offers: true,
                    suspects: suspects.clone(),
                    ..self.heartbeat(now, audience)
                };
                self.outputs
                    .push(Output::Heartbeat(to, Box::new(heartbeat)));
            }
        }
    }

    /// A heartbeat with what its audience gets regularly.
    pub(super) fn heartbeat(
        &mut self,
        now: time::Instant,
        audience: Audience,
    ) -> heartbeat::Heartbeat {
        let reports_loads = match audience {
            Audience::Neighbors => true,
            Audience::OtherZones => self.peers.is_small_zone(),
            Audience::Notified => false,
        };
        let mut zones = vec![self.own_zone(now)];
        if audience != Audience::OtherZones {
            zones.extend(self.peers.zones(now));
        }
        let holds = self.registry.holds(now);
        let holds = random::sample(holds, MAX_HOLDS, &mut self.random);
        let evacuations = self.registry.evacuations.announced(now);
        let evacuations = random::sample(evacuations, MAX_HOLDS, &mut self.random);
        let zone = &self.config.zone;
        let peers = self.peers.advertised(now, zone, &zones, &mut self.random);
        self.sequence += 1;
        heartbeat::Heartbeat {
            age_ms: self.registry.age(now).map(time::millis),
            checks: Vec::new(),
            checks_wanted: Vec::new(),
            candidates: self.duty.candidates.advertised(now),
            contact_ms: self.contact_ms(now),
            delta: None,
            evacuations,
            form: heartbeat::Form,
            holds,
            incarnation: self.config.incarnation,
            instances: u16::try_from(self.peers.instance_count()).unwrap_or(u16::MAX),
            leaving: self.leaving,
            loads: reports_loads.then(|| self.summary(now).loads()),
            name: self.config.name.clone(),
            offers: false,
            peers,
            position: self.registry.position(),
            progress: Vec::new(),
            sequence: self.sequence,
            suspects: Vec::new(),
            zones,
        }
    }

    /// A heartbeat that tells only how current the registry data is. Its zone has an age at which
    /// receivers do not take the missing means for news.
    pub(super) fn confirmation(&mut self, now: time::Instant) -> heartbeat::Heartbeat {
        self.sequence += 1;
        heartbeat::Heartbeat {
            age_ms: self.registry.age(now).map(time::millis),
            contact_ms: self.contact_ms(now),
            incarnation: self.config.incarnation,
            instances: u16::try_from(self.peers.instance_count()).unwrap_or(u16::MAX),
            leaving: self.leaving,
            name: self.config.name.clone(),
            position: self.registry.position(),
            sequence: self.sequence,
            zones: vec![heartbeat::Zone {
                name: self.config.zone.clone(),
                silent_ms: u32::MAX,
                ..heartbeat::Zone::default()
            }],
            ..heartbeat::Heartbeat::default()
        }
    }

    /// Time since the platform last answered this instance, if it watches.
    pub(super) fn contact_ms(&self, now: time::Instant) -> Option<u32> {
        let answered_at = self.platform_answered_at.filter(|_| self.watching);
        answered_at.map(|answered_at| time::millis(now.since(answered_at)))
    }

    /// The own zone, with mean loads of its targets.
    pub(super) fn own_zone(&self, now: time::Instant) -> heartbeat::Zone {
        let label = |service| self.snapshot_builder.service_label(service);
        heartbeat::Zone {
            means: self.summary(now).means(label),
            name: self.config.zone.clone(),
            silent_ms: 0,
        }
    }
}
