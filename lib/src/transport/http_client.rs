//! HTTP client for the pages of instances and stand-ins, and for the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::fault;
use crate::state::code;

/// Longest wait for a page.
const GET_TIMEOUT: Duration = Duration::from_secs(3);

/// A response with any status.
#[derive(Clone, Debug)]
pub struct Response {
    /// Body as text.
    pub body: String,
    /// Status code.
    pub status: u16,
    headers: ureq::http::HeaderMap,
}

impl Response {
    /// The value of a header; none if it is absent or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client of one server that reuses its connection.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    agent: ureq::Agent,
    limit: u64,
    unreachable: code::Code,
}

impl Client {
    /// A client whose calls end after `timeout` and accept at most `limit` bytes. Calls without a
    /// response fail with the code `unreachable`, and those with a larger one with `ResponseSize`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
        limit: u64,
        unreachable: code::Code,
    ) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .build()
            .new_agent();
        Self {
            address,
            agent,
            limit,
            unreachable,
        }
    }

    /// Gets a path. Errors have the client's code for an unreachable server, or `ResponseSize`.
    pub fn get(&self, path: &str) -> fault::Result<Response> {
        let url = format!("http://{}{path}", self.address);
        let failed = |error: ureq::Error| {
            let code = match error {
                ureq::Error::BodyExceedsLimit(_) => code::Code::ResponseSize,
                _ => self.unreachable,
            };
            fault::report(code, format!("{url}: {error}"))
        };
        let mut response = self.agent.get(&url).call().map_err(failed)?;
        let status = response.status().as_u16();
        let headers = std::mem::take(response.headers_mut());
        let body = response.body_mut().with_config().limit(self.limit);
        Ok(Response {
            body: body.read_to_string().map_err(failed)?,
            status,
            headers,
        })
    }
}

/// Gets a page as text. Errors are `InstanceUnreachable`.
pub fn get(address: SocketAddr, path: &str) -> fault::Result<String> {
    const MAX_PAGE_BYTES: u64 = 10 << 20;
    let unreachable = code::Code::InstanceUnreachable;
    let response = Client::new(address, GET_TIMEOUT, MAX_PAGE_BYTES, unreachable).get(path)?;
    if response.status < 400 {
        Ok(response.body)
    } else {
        let text = format!("http://{address}{path}: status {}", response.status);
        Err(fault::report(unreachable, text))
    }
}

/// Gets a page of JSON. Errors are `InstanceUnreachable`.
pub fn get_json<T: for<'a> serde::Deserialize<'a>>(
    address: SocketAddr,
    path: &str,
) -> fault::Result<T> {
    let text = get(address, path)?;
    serde_json::from_str(&text).map_err(|error| {
        fault::report(
            code::Code::InstanceUnreachable,
            format!("{address}{path}: {error}"),
        )
    })
}
