//! Requests to the pages of instances and stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::fault;
use crate::state::code;

/// Gets a page as text. Errors are `InstanceUnreachable`.
pub fn get(address: SocketAddr, path: &str) -> fault::Result<String> {
    const TIMEOUT: Duration = Duration::from_secs(3);
    let url = format!("http://{address}{path}");
    let unreachable = |error: ureq::Error| {
        fault::report(code::Code::InstanceUnreachable, format!("{url}: {error}"))
    };
    ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent()
        .get(&url)
        .call()
        .map_err(unreachable)?
        .body_mut()
        .read_to_string()
        .map_err(unreachable)
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
