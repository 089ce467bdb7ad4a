//! A stand-in for the platform's configuration service: documents that can be read and watched.
//!
//! `/publish?directory=D` takes the manifest and documents of a directory; `/fault?down=1`,
//! `/fault?stale=1` and `/fault?delay=MS` make it fail; `/calls` counts calls.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quetzal_lib::coordination::message;
use quetzal_lib::protocol::{fault, manifest};
use quetzal_lib::transport::{files, page};

/// How often a waiting watch looks again.
const WATCH_STEP: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    bundle: Option<message::Bundle>,
    calls: u64,
    delay: Duration,
    down: bool,
    former: Option<message::Bundle>,
    stale: bool,
}

impl State {
    /// What readers see: the former sheet while the service is stale.
    fn visible(&self) -> Option<&message::Bundle> {
        if self.stale {
            self.former.as_ref().or(self.bundle.as_ref())
        } else {
            self.bundle.as_ref()
        }
    }
}

/// Serves at an address on a thread of its own.
pub fn start(address: SocketAddr) -> fault::Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
    page::serve(
        &[address],
        Arc::new(move |request| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            answer(&mut state, request)
        }),
    )
}

fn answer(state: &mut State, request: &page::Request) -> page::Reply {
    match request.path.as_str() {
        "/publish" => publish(state, request),
        "/fault" => set_fault(state, request),
        "/calls" => page::text(200, state.calls.to_string()),
        _ => read(state, request),
    }
}

fn publish(state: &mut State, request: &page::Request) -> page::Reply {
    let directory = request.value("directory").unwrap_or("");
    let revision = request
        .value("revision")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    match files::read_sheet(Path::new(directory), revision) {
        Ok(bundle) => {
            state.former = state.bundle.replace(bundle);
            page::text(200, "published\n")
        }
        Err(report) => page::text(400, fault::texts(&report).join("\n")),
    }
}

fn set_fault(state: &mut State, request: &page::Request) -> page::Reply {
    if let Some(down) = request.value("down") {
        state.down = down == "1";
    }
    if let Some(stale) = request.value("stale") {
        state.stale = stale == "1";
    }
    if let Some(delay) = request.value("delay").and_then(|text| text.parse().ok()) {
        state.delay = Duration::from_millis(delay);
    }
    page::text(200, "set\n")
}

fn read(state: &mut State, request: &page::Request) -> page::Reply {
    if request.waited.is_zero() {
        state.calls += 1;
    }
    if state.down {
        return page::text(503, "down\n");
    }
    if request.waited < state.delay {
        return page::Reply::Later(state.delay - request.waited);
    }
    if let Some(name) = request.path.strip_prefix("/documents/") {
        let found = state.visible().and_then(|bundle| {
            bundle
                .documents
                .iter()
                .find(|document| document.name == name)
        });
        return match found {
            Some(document) => page::text(200, document.text.clone()),
            None => page::text(404, "no such document\n"),
        };
    }
    if request.path == "/manifest" {
        read_manifest(state, request)
    } else {
        page::text(404, "")
    }
}

fn read_manifest(state: &State, request: &page::Request) -> page::Reply {
    let above: u64 = request
        .value("above")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let wait: u64 = request
        .value("wait")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let newer = state.visible().filter(|bundle| {
        manifest::parse(&bundle.manifest).is_ok_and(|manifest| manifest.revision > above)
    });
    match newer {
        Some(bundle) => page::text(200, bundle.manifest.clone()),
        None if request.waited < Duration::from_secs(wait) => page::Reply::Later(WATCH_STEP),
        None => page::text(204, ""),
    }
}
