//! The two users' deployments: addresses, sheets, settings and configurations of the stand-ins.
//!
//! A deployment uses addresses of the loopback network `127.B.0.0/16`, where B is its block. The
//! addresses of callers and services occur only inside the encapsulation.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::{caller, fabric, target};

/// Port of encapsulated packets.
const TUNNEL_PORT: u16 = 6_080;
/// Port of heartbeats and sheet transfer.
const CONTROL_PORT: u16 = 7_000;
/// Port of all control, health and status pages.
const PAGE_PORT: u16 = 8_000;
/// Number of callers' addresses: the most that the stack of the callers' stand-in holds.
const CALLER_ADDRESS_COUNT: u8 = 8;

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Load that callers put on it.
    pub load: caller::Load,
    /// Name.
    pub name: &'static str,
    /// Number of slots of each target.
    pub slots: usize,
    /// Share of the buckets that are always tracked.
    pub flexible_share: &'static str,
    /// Number of targets in the first sheet.
    pub targets: usize,
}

/// The deployment of one user.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Second octet of its addresses.
    pub block: u8,
    /// Number of instances.
    pub instances: usize,
    /// Name of the user.
    pub name: &'static str,
    /// Services.
    pub services: Vec<Service>,
    /// One-way delay between instances and targets, in microseconds.
    pub delay_micros: u64,
    /// Names of the zones.
    pub zones: Vec<&'static str>,
}

fn service_load(
    block: u8,
    number: u8,
    service: &str,
    rate: f64,
    weights: [u32; 4],
) -> caller::Load {
    let vip = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, block, 0, number)), 80);
    caller::Load {
        download_bytes: 60_000,
        feed_millis: 6_000,
        service: service.to_owned(),
        rate,
        weights,
        vip,
    }
}

/// The Guild's deployment.
pub fn guild() -> Deployment {
    let block = 41;
    Deployment {
        block,
        instances: 5,
        name: "guild",
        services: vec![
            Service {
                load: service_load(block, 1, "rounds-board", 40.0, [50, 25, 10, 15]),
                name: "rounds-board",
                slots: 3,
                flexible_share: "40%",
                targets: 14,
            },
            Service {
                load: service_load(block, 2, "proof-vault", 8.0, [30, 0, 70, 0]),
                name: "proof-vault",
                slots: 3,
                flexible_share: "40%",
                targets: 4,
            },
        ],
        delay_micros: 500,
        zones: vec!["mobile-bay", "delta-west", "piney-woods", "acadiana"],
    }
}

/// The Bureau's deployment.
pub fn bureau() -> Deployment {
    let block = 42;
    Deployment {
        block,
        instances: 4,
        name: "bureau",
        services: vec![
            Service {
                load: service_load(block, 1, "easel-desk", 30.0, [40, 30, 5, 25]),
                name: "easel-desk",
                slots: 2,
                flexible_share: "100%",
                targets: 14,
            },
            Service {
                load: service_load(block, 2, "sheet-vault", 6.0, [30, 0, 70, 0]),
                name: "sheet-vault",
                slots: 2,
                flexible_share: "100%",
                targets: 4,
            },
        ],
        delay_micros: 500,
        zones: vec!["salt-lake", "howrah", "behala"],
    }
}

/// Differences of a sheet from the first one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Adds a spare target to the first service.
    pub add_spare: bool,
    /// Drains the first target of the first service.
    pub drain_first: bool,
}

impl Deployment {
    /// Changes the block of addresses, so that several deployments can run at the same time.
    pub fn move_to(&mut self, block: u8) {
        self.block = block;
        for (service, number) in self.services.iter_mut().zip(1..) {
            service.load.vip = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, block, 0, number)), 80);
        }
    }

    fn address(&self, third: u8, fourth: usize, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.block, third, fourth as u8)),
            port,
        )
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.address(0, 1, PAGE_PORT)
    }

    /// Control page of the fabric.
    pub fn fabric_admin(&self) -> SocketAddr {
        self.address(0, 2, PAGE_PORT)
    }

    /// Control page of the callers.
    pub fn caller_admin(&self) -> SocketAddr {
        self.address(0, 3, PAGE_PORT)
    }

    /// Control page of the targets.
    pub fn target_admin(&self) -> SocketAddr {
        self.address(0, 4, PAGE_PORT)
    }

    /// Status page of an instance.
    pub fn status(&self, instance: usize) -> SocketAddr {
        self.address(1, instance + 1, PAGE_PORT)
    }

    /// Zone of an instance.
    pub fn zone_of(&self, instance: usize) -> usize {
        instance % self.zones.len()
    }

    /// All targets that a sheet may contain, with the indexes of their services: each service's
    /// targets, and a spare one of the first service.
    fn all_targets(&self) -> Vec<(usize, String)> {
        let mut targets = Vec::new();
        for (index, service) in self.services.iter().enumerate() {
            for number in 1..=service.targets {
                targets.push((index, format!("{}-{number}", service.name)));
            }
        }
        targets.push((0, format!("{}-spare", self.services[0].name)));
        targets
    }

    /// Configuration of the targets' stand-in.
    pub fn targets(&self) -> target::Config {
        let targets = self
            .all_targets()
            .into_iter()
            .enumerate()
            .map(|(index, (service, name))| target::Target {
                address: self.address(3, index + 1, TUNNEL_PORT),
                health: self.address(3, index + 1, PAGE_PORT),
                name,
                service: self.services[service].name.to_owned(),
                slots: self.services[service].slots,
                vip: self.services[service].load.vip,
            })
            .collect();
        target::Config {
            admin: self.target_admin(),
            callers: self.address(0, 3, TUNNEL_PORT),
            targets,
        }
    }

    /// Configuration of the callers' stand-in.
    pub fn callers(&self, seed: u64) -> caller::Config {
        let addresses = (1..=CALLER_ADDRESS_COUNT)
            .map(|number| IpAddr::V4(Ipv4Addr::new(10, self.block, 1, number)))
            .collect();
        caller::Config {
            addresses,
            admin: self.caller_admin(),
            fabric: self.address(0, 2, TUNNEL_PORT),
            listen: self.address(0, 3, TUNNEL_PORT),
            loads: self
                .services
                .iter()
                .map(|service| service.load.clone())
                .collect(),
            seed,
        }
    }

    /// Configuration of the fabric's stand-in.
    pub fn fabric(&self, seed: u64) -> fabric::Config {
        let mut faces = Vec::new();
        for instance in 0..self.instances {
            for (port, tcp) in [(TUNNEL_PORT, false), (CONTROL_PORT, true)] {
                faces.push(fabric::Face {
                    face: self.address(2, instance + 1, port),
                    real: self.address(1, instance + 1, port),
                    tcp,
                    zone: self.zone_of(instance),
                });
            }
        }
        for (index, _) in self.all_targets().iter().enumerate() {
            faces.push(fabric::Face {
                face: self.address(4, index + 1, TUNNEL_PORT),
                real: self.address(3, index + 1, TUNNEL_PORT),
                tcp: false,
                zone: index % self.zones.len(),
            });
        }
        let instances = (0..self.instances)
            .map(|instance| fabric::Instance {
                address: self.address(1, instance + 1, TUNNEL_PORT),
                zone: self.zone_of(instance),
            })
            .collect();
        fabric::Config {
            admin: self.fabric_admin(),
            delay_micros: self.delay_micros,
            faces,
            ingress: self.address(0, 2, TUNNEL_PORT),
            instances,
            per_flow: false,
            seed,
            zones: self.zones.len(),
        }
    }

    /// Names and texts of the sheet's documents: one for the zones and one for each service.
    pub fn sheet(&self, change: Change) -> Vec<(String, String)> {
        let mut zones = String::new();
        for zone in &self.zones {
            let _ = writeln!(zones, "[[zone]]\nname = \"{zone}\"\n");
        }
        let mut documents = vec![("zones.toml".to_owned(), zones)];
        let all = self.all_targets();
        for (number, service) in self.services.iter().enumerate() {
            let mut text = format!(
                "[[service]]\nname = \"{}\"\naddress = \"{}\"\nport = {}\nprotocol = \"tcp\"\n\
                 idle_timeout = \"60s\"\nflexible_share = \"{}\"\n\n",
                service.name,
                service.load.vip.ip(),
                service.load.vip.port(),
                service.flexible_share,
            );
            for (index, (_, name)) in all.iter().enumerate().filter(|(_, (of, _))| *of == number) {
                if !name.ends_with("spare") || change.add_spare {
                    let is_draining = change.drain_first && index == 0;
                    self.write_target(&mut text, index, name, service, is_draining);
                }
            }
            documents.push((format!("{}.toml", service.name), text));
        }
        documents
    }

    fn write_target(
        &self,
        text: &mut String,
        index: usize,
        name: &str,
        service: &Service,
        is_draining: bool,
    ) {
        let state = if is_draining {
            "state = \"draining\"\ndrain_deadline = \"10m\"\n"
        } else {
            ""
        };
        let _ = writeln!(
            text,
            "[[target]]\nname = \"{name}\"\nservice = \"{}\"\nzone = \"{}\"\naddress = \"{}\"\n\
             health = \"{}\"\nslots = {}\nconnections = 2000\n{state}",
            service.name,
            self.zones[index % self.zones.len()],
            self.address(4, index + 1, TUNNEL_PORT),
            self.address(3, index + 1, PAGE_PORT),
            service.slots,
        );
    }

    /// Settings of an instance.
    pub fn settings(&self, instance: usize) -> String {
        let mut text = format!(
            "[instance]\nnumber = {instance}\nzone = {}\naddress = {}\ntraffic_port = {TUNNEL_PORT}\n\
             control_port = {CONTROL_PORT}\nstatus = {}\nstop_delay = 1s\n\n\
             [fabric]\nreturn_address = {}\n\n[platform]\naddress = {}\nwatch = 5s\n\n\
             [keys]\nflow = 000102030405060708090a0b0c0d0e0f\n\
             current = 1:101112131415161718191a1b1c1d1e1f\n\n[peers]\n",
            self.zones[self.zone_of(instance)],
            self.address(1, instance + 1, 0).ip(),
            self.status(instance),
            self.address(0, 3, TUNNEL_PORT),
            self.platform(),
        );
        for peer in (0..self.instances).filter(|peer| *peer != instance) {
            let _ = writeln!(text, "{peer} = {}", self.address(2, peer + 1, CONTROL_PORT));
        }
        text
    }
}
