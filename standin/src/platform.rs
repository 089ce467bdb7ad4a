//! Simulated configuration service of the platform, with documents that can be read and watched.
//!
//! `/publish?directory=D` publishes the manifest and the documents of a directory. `/fault?down=1`
//! makes reads fail, `/fault?stale=1` makes them return the previous sheet, and `/fault?delay=MS`
//! delays them. `/calls` returns the number of read requests.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quetzal_lib::coordination::message;
use quetzal_lib::protocol::{fault, manifest};
use quetzal_lib::transport::{files, http_server};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    bundle: Option<message::Bundle>,
    calls: u64,
    delay: Duration,
    down: bool,
    previous: Option<message::Bundle>,
    stale: bool,
}

impl State {
    /// Returns the sheet that readers get: the previous one while the service is stale.
    fn visible(&self) -> Option<&message::Bundle> {
        if self.stale {
            self.previous.as_ref().or(self.bundle.as_ref())
        } else {
            self.bundle.as_ref()
        }
    }
}

/// Starts the service on a separate thread.
pub fn start(address: SocketAddr) -> fault::Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
    http_server::serve(
        &[address],
        Arc::new(move |request| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            respond(&mut state, request)
        }),
    )
}

fn respond(state: &mut State, request: &http_server::Request) -> http_server::Response {
    match request.path.as_str() {
        "/publish" => publish(state, request),
        "/fault" => set_fault(state, request),
        "/calls" => http_server::text(200, state.calls.to_string()),
        _ => read(state, request),
    }
}

fn publish(state: &mut State, request: &http_server::Request) -> http_server::Response {
    let directory = request.query_value("directory").unwrap_or("");
    let revision = request
        .query_value("revision")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    match files::read_sheet(Path::new(directory), revision) {
        Ok(bundle) => {
            state.previous = state.bundle.replace(bundle);
            http_server::text(200, "published\n")
        }
        Err(report) => http_server::text(400, fault::texts(&report).join("\n")),
    }
}

fn set_fault(state: &mut State, request: &http_server::Request) -> http_server::Response {
    if let Some(down) = request.query_value("down") {
        state.down = down == "1";
    }
    if let Some(stale) = request.query_value("stale") {
        state.stale = stale == "1";
    }
    if let Some(delay) = request
        .query_value("delay")
        .and_then(|text| text.parse().ok())
    {
        state.delay = Duration::from_millis(delay);
    }
    http_server::text(200, "set\n")
}

fn read(state: &mut State, request: &http_server::Request) -> http_server::Response {
    if request.waited.is_zero() {
        state.calls += 1;
    }
    if state.down {
        return http_server::text(503, "down\n");
    }
    if request.waited < state.delay {
        return http_server::Response::PollAfter(state.delay - request.waited);
    }
    if let Some(name) = request.path.strip_prefix("/documents/") {
        let found = state.visible().and_then(|bundle| {
            bundle
                .documents
                .iter()
                .find(|document| document.name == name)
        });
        return match found {
            Some(document) => http_server::text(200, document.text.clone()),
            None => http_server::text(404, "no such document\n"),
        };
    }
    if request.path == "/manifest" {
        read_manifest(state, request)
    } else {
        http_server::text(404, "")
    }
}

fn read_manifest(state: &State, request: &http_server::Request) -> http_server::Response {
    let above: u64 = request
        .query_value("above")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let wait: u64 = request
        .query_value("wait")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let newer = state.visible().filter(|bundle| {
        manifest::parse(&bundle.manifest).is_ok_and(|manifest| manifest.revision > above)
    });
    match newer {
        Some(bundle) => http_server::text(200, bundle.manifest.clone()),
        None if request.waited < Duration::from_secs(wait) => {
            http_server::Response::PollAfter(WATCH_POLL_INTERVAL)
        }
        None => http_server::text(204, ""),
    }
}
