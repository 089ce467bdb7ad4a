//! Client of the platform's configuration service, which can only be read and watched.
//!
//! `/manifest` returns the manifest. With `?above=N&wait=S` it waits for a revision above N, for at
//! most S seconds. `/documents/NAME` returns a document.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::message;
use crate::protocol::{fault, manifest};
use crate::state::code;
use crate::transport::{http_client, watch};

/// Longest wait for a response, in addition to the time that a watch may wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delays between calls. Changes need not be coalesced, because a sheet is read as a whole.
pub const WATCH_DELAYS: watch::Delays = watch::Delays {
    backoff_max: Duration::from_secs(15),
    coalesce: Duration::ZERO,
};
/// Largest response; larger than the platform's own limit of one megabyte for a value.
const MAX_RESPONSE_BYTES: u64 = 2 << 20;

/// A client that watches for sheets.
#[derive(Clone, Debug)]
pub struct Client {
    http: http_client::Client,
    // Highest revision that was read, so that a sheet that was not accepted is not read again.
    last_seen_revision: u64,
    watch_timeout: Duration,
}

impl Client {
    /// A client of the service at `address`, whose watches wait for at most `watch_timeout`.
    pub fn new(address: SocketAddr, watch_timeout: Duration) -> Self {
        let timeout = watch_timeout + RESPONSE_TIMEOUT;
        let unreachable = code::Code::PlatformUnreachable;
        Self {
            http: http_client::Client::new(address, timeout, MAX_RESPONSE_BYTES, unreachable),
            last_seen_revision: 0,
            watch_timeout,
        }
    }

    fn get(&self, path: &str) -> fault::Result<Option<String>> {
        let response = self.http.get(path)?;
        match response.status {
            200 => Ok(Some(response.body)),
            204 => Ok(None),
            status => {
                let text = format!("{path}: status {status}");
                Err(fault::report(code::Code::PlatformAnswer, text))
            }
        }
    }

    /// Waits for a sheet above a revision and reads it. The update is `None` after a timeout.
    pub fn poll(&mut self, revision: u64) -> fault::Result<watch::Response<message::Bundle>> {
        let above = revision.max(self.last_seen_revision);
        let update = self.fetch_bundle(above)?;
        if let Some(bundle) = &update {
            self.last_seen_revision = manifest::parse(&bundle.manifest)?.revision;
        }
        Ok(watch::Response {
            changed: update.is_some(),
            update,
        })
    }

    fn fetch_bundle(&self, above: u64) -> fault::Result<Option<message::Bundle>> {
        let path = format!(
            "/manifest?above={above}&wait={}",
            self.watch_timeout.as_secs()
        );
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
