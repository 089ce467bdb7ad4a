//! Simulated metadata store of the users: items with revisions, paged reads, watches, compaction
//! and failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quetzal_lib::protocol::fault;
use quetzal_lib::transport::http_server;
use serde_json::{Value, json};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of items on a page.
const PAGE_ITEMS: usize = 50;
/// Size of the values at which a page ends.
const PAGE_BYTES: usize = 1 << 20;

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Responds with 503.
    Busy,
    /// Serves requests.
    #[default]
    Up,
}

/// A copy of the items, from which the store can be restored.
#[derive(Clone, Debug)]
pub struct Copy {
    items: BTreeMap<String, Value>,
    min_watch_revision: u64,
    revision: u64,
}

#[derive(Default)]
struct State {
    calls: u64,
    /// Number of times that the store was restored.
    era: u64,
    min_watch_revision: u64,
    history: Vec<(u64, Value)>,
    items: BTreeMap<String, Value>,
    mode: Mode,
    revision: u64,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Starts a store. Errors are `SocketUnavailable`.
    pub fn start(address: SocketAddr) -> fault::Result<Self> {
        let store = Self::default();
        let handler = store.clone();
        http_server::serve(
            &[address],
            Arc::new(move |request| handler.respond(request)),
        )?;
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes an item whose value may be anything.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let text = STANDARD.encode(value);
        let item = json!({"key": key, "value": text, "rev": revision, "created": revision});
        state.items.insert(key.to_owned(), item.clone());
        state.history.push((revision, item));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let event = json!({"key": key, "rev": revision, "deleted": true});
        state.history.push((revision, event));
    }

    /// Changes how the store responds.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Compacts the history; watches from an earlier revision get 410.
    pub fn compact(&self) {
        let mut state = self.state();
        state.history.clear();
        state.min_watch_revision = state.revision + 1;
        state.revision += 1;
    }

    /// Keys of all items.
    pub fn keys(&self) -> Vec<String> {
        self.state().items.keys().cloned().collect()
    }

    /// Copies the items.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            items: state.items.clone(),
            min_watch_revision: state.min_watch_revision,
            revision: state.revision,
        }
    }

    /// Goes back to a copy. Later writes are lost, and their revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state();
        state.era += 1;
        state.items = copy.items.clone();
        state
            .history
            .retain(|(revision, _)| *revision <= copy.revision);
        state.min_watch_revision = copy.min_watch_revision;
        state.revision = copy.revision;
    }

    /// Revision of the next write.
    pub fn next_revision(&self) -> u64 {
        self.state().revision + 1
    }

    /// Number of requests so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn respond(&self, request: &http_server::Request) -> http_server::Response {
        let mut state = self.state();
        if request.waited.is_zero() {
            state.calls += 1;
        }
        let response = match request.path.as_str() {
            _ if state.mode == Mode::Busy => http_server::text(503, ""),
            "/quetzalspur/kv-range" => {
                http_server::json(&state.range(request.query_value("after")))
            }
            "/quetzalspur/kv-watch" => state.watch(request),
            _ => http_server::text(404, ""),
        };
        response.with_header("store-era", state.era.to_string())
    }
}

impl State {
    fn range(&self, after: Option<&str>) -> Value {
        let after = after.unwrap_or("").replace("%2F", "/").replace("%2D", "-");
        let later = self.items.iter().filter(|(key, _)| **key > after);
        let later: Vec<&Value> = later.map(|(_, item)| item).collect();
        let mut bytes = 0;
        let mut items = Vec::new();
        for item in later.iter().take(PAGE_ITEMS) {
            bytes += item["value"].as_str().map_or(0, str::len);
            items.push(item);
            if bytes >= PAGE_BYTES {
                break;
            }
        }
        let has_more = items.len() < later.len();
        json!({"items": items, "hasMore": has_more, "asOf": self.revision})
    }

    fn watch(&self, request: &http_server::Request) -> http_server::Response {
        let number = |name| request.query_value(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        if after < self.min_watch_revision || after > self.revision {
            return http_server::text(410, "");
        }
        let changes = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let events: Vec<&Value> = changes.map(|(_, event)| event).collect();
        if events.is_empty() && request.waited < wait {
            return http_server::Response::PollAfter(WATCH_POLL_INTERVAL);
        }
        http_server::json(&json!({"events": events, "asOf": self.revision}))
    }
}
