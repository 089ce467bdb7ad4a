//! The platform's configuration service, which can only be read and watched.
//!
//! Paths: `/manifest` gives the manifest; with `?above=N&wait=S` it waits until there is a revision
//! above N or S seconds have passed. `/documents/NAME` gives a document.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::message;
use crate::protocol::{fault, manifest};
use crate::state::code;
use crate::transport::{http, watch};

/// Longest wait for an answer beyond the time that a watch may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Waits between calls: a sheet is read whole, so nothing has to gather.
pub const PACE: watch::Pace = watch::Pace {
    backoff_max: Duration::from_secs(15),
    gather: Duration::ZERO,
};
/// Largest answer, above the platform's own limit of a megabyte for a value.
const MAX_ANSWER_BYTES: u64 = 2 << 20;

/// Reads the platform.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
    // A revision that was not accepted is not asked for again.
    seen: u64,
    watch: Duration,
}

impl Client {
    /// A client of the service at an address, whose watches wait for at most `watch`.
    pub fn new(address: SocketAddr, watch: Duration) -> Self {
        let timeout = watch + ANSWER_TIMEOUT;
        let unreachable = code::Code::PlatformUnreachable;
        Self {
            http: http::Client::new(address, timeout, MAX_ANSWER_BYTES, unreachable),
            seen: 0,
            watch,
        }
    }

    fn get(&self, path: &str) -> fault::Result<Option<String>> {
        let reply = self.http.get(path)?;
        match reply.status {
            200 => Ok(Some(reply.body)),
            204 => Ok(None),
            status => {
                let text = format!("{path}: status {status}");
                Err(fault::report(code::Code::PlatformAnswer, text))
            }
        }
    }

    /// Waits for a sheet above a revision and reads all of it; none if there was none in time.
    pub fn next(&mut self, revision: u64) -> fault::Result<watch::Answer<message::Bundle>> {
        let above = revision.max(self.seen);
        let found = self.bundle(above)?;
        if let Some(bundle) = &found {
            self.seen = manifest::parse(&bundle.manifest)?.revision;
        }
        Ok(watch::Answer {
            changed: found.is_some(),
            found,
        })
    }

    fn bundle(&self, above: u64) -> fault::Result<Option<message::Bundle>> {
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
