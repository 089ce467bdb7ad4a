//! The platform's configuration service, which can only be read and watched.
//!
//! Paths: `/manifest` gives the manifest; with `?above=N&wait=S` it waits until there is a revision
//! above N or S seconds have passed. `/documents/NAME` gives a document. A thread watches while the
//! control thread wants it to, and waits longer after each failure.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam_channel::Receiver;

use crate::coordination::message;
use crate::protocol::{fault, manifest};
use crate::state::{code, random};

/// Longest wait for an answer beyond the time that a watch may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// First wait after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Longest wait after a failure.
const BACKOFF_MAX: Duration = Duration::from_secs(15);
/// Largest answer, above the platform's own limit of a megabyte for a value.
const MAX_ANSWER_BYTES: u64 = 2 << 20;

/// Reads the platform.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    agent: ureq::Agent,
    watch: Duration,
}

impl Client {
    /// A client of the service at an address, whose watches wait for at most `watch`.
    pub fn new(address: SocketAddr, watch: Duration) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(watch + ANSWER_TIMEOUT))
            .timeout_connect(Some(ANSWER_TIMEOUT))
            .build()
            .new_agent();
        Self {
            address,
            agent,
            watch,
        }
    }

    fn get(&self, path: &str) -> fault::Result<Option<String>> {
        let url = format!("http://{}{path}", self.address);
        let mut answer = self.agent.get(&url).call().map_err(|error| match error {
            ureq::Error::StatusCode(status) => fault::report(
                code::Code::PlatformAnswer,
                format!("{url}: status {status}"),
            ),
            error => fault::report(code::Code::PlatformUnreachable, format!("{url}: {error}")),
        })?;
        if answer.status() == 204 {
            return Ok(None);
        }
        answer
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_string()
            .map(Some)
            .map_err(|error| fault::report(code::Code::PlatformAnswer, format!("{url}: {error}")))
    }

    /// Waits for a sheet above a revision and reads all of it; none if there was none in time.
    pub fn next(&self, above: u64) -> fault::Result<Option<message::Bundle>> {
        let path = format!("/manifest?above={above}&wait={}", self.watch.as_secs());
        let Some(text) = self.get(&path)? else {
            return Ok(None);
        };
        let manifest = manifest::parse(&text)?;
        if manifest.revision <= above {
            return Ok(None);
        }
        let mut documents = Vec::with_capacity(manifest.documents.len());
        for named in &manifest.documents {
            let text = self
                .get(&format!("/documents/{}", named.name))?
                .unwrap_or_default();
            documents.push(message::Document {
                name: named.name.clone(),
                text,
            });
        }
        Ok(Some(message::Bundle {
            documents,
            manifest: text,
        }))
    }
}

/// What the watch found, for the control thread.
#[derive(Clone, Debug)]
pub enum Finding {
    /// A sheet to check.
    Sheet(message::Bundle),
    /// The platform answers again, or no longer.
    Reachable(bool),
}

/// Runs the watch until `wanted` is closed. `revision` gives the one in force and `tell` takes
/// findings.
pub fn run(
    client: &Client,
    wanted: &Receiver<bool>,
    mut random: random::Source,
    revision: impl Fn() -> u64,
    tell: impl Fn(Finding),
) {
    let mut watching = false;
    let mut backoff = BACKOFF_MIN;
    let mut reachable = true;
    // A revision that was not accepted is not asked for again.
    let mut refused = 0;
    loop {
        let change = if watching {
            wanted.try_recv().ok()
        } else {
            wanted.recv().ok()
        };
        match change {
            Some(wish) => watching = wish,
            None if !watching => return,
            None => {}
        }
        if !watching {
            continue;
        }
        let above = revision().max(refused);
        let outcome = client.next(above);
        if outcome.is_ok() != reachable {
            reachable = outcome.is_ok();
            tell(Finding::Reachable(reachable));
        }
        match outcome {
            Ok(Some(bundle)) => {
                backoff = BACKOFF_MIN;
                refused = manifest::parse(&bundle.manifest).map_or(0, |found| found.revision);
                tell(Finding::Sheet(bundle));
            }
            Ok(None) => backoff = BACKOFF_MIN,
            Err(_) => {
                std::thread::sleep(backoff.mul_f64(0.5 + random.unit() / 2.0));
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}
