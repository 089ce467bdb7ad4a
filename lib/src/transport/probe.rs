//! Probes of the targets' health endpoints over HTTP.
//!
//! Status 200 means healthy and 429 means shedding load. With 503, the body says `draining` or
//! `cold`. Any other response, or none, is a failure.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::coordination::message;
use crate::state::key;

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 256;

/// Targets to probe, with the addresses of their health endpoints.
pub type Targets = Vec<(key::Target, SocketAddr)>;

/// Probes each target of the latest list once per interval until `target_lists` is closed.
pub fn run(
    target_lists: &Receiver<Targets>,
    interval: Duration,
    notify: impl Fn(key::Target, message::Probe),
) {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let mut targets = Targets::new();
    let mut next = Instant::now();
    loop {
        match target_lists.recv_deadline(next) {
            Ok(latest) => targets = latest,
            Err(RecvTimeoutError::Timeout) => {
                next = Instant::now() + interval;
                probe_all(&agent, &targets, &notify);
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Probes all targets concurrently, so that one that does not respond does not delay the others.
fn probe_all(
    agent: &ureq::Agent,
    targets: &Targets,
    notify: &impl Fn(key::Target, message::Probe),
) {
    let results: Vec<(key::Target, message::Probe)> = std::thread::scope(|scope| {
        let probes: Vec<_> = targets
            .iter()
            .map(|(target, address)| (*target, scope.spawn(move || probe(agent, *address))))
            .collect();
        probes
            .into_iter()
            .map(|(target, probe)| (target, probe.join().unwrap_or(message::Probe::Failed)))
            .collect()
    });
    for (target, probe) in results {
        notify(target, probe);
    }
}

fn probe(agent: &ureq::Agent, address: SocketAddr) -> message::Probe {
    let url = format!("http://{address}/health");
    match agent
        .get(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .call()
    {
        Ok(mut response) => match response.status().as_u16() {
            200 => message::Probe::Healthy,
            429 => message::Probe::Shedding,
            503 => {
                let body = response
                    .body_mut()
                    .with_config()
                    .limit(MAX_RESPONSE_BYTES)
                    .read_to_string();
                match body.as_deref().map(str::trim) {
                    Ok("draining") => message::Probe::Draining,
                    Ok("cold") => message::Probe::Cold,
                    _ => message::Probe::Failed,
                }
            }
            _ => message::Probe::Failed,
        },
        Err(_) => message::Probe::Failed,
    }
}
