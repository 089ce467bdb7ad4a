//! HTTP server for small pages; one closure handles all its requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xitca_web::App;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::handler::state::StateOwn;
use xitca_web::handler::uri::UriOwn;
use xitca_web::http::{HeaderValue, StatusCode, WebResponse, header};

use crate::protocol::fault;
use crate::state::code;

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Total of the `Response::PollAfter` delays of this request so far.
    pub waited: Duration,
}

impl Request {
    /// The value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Response of a handler.
#[derive(Clone, Debug)]
pub enum Response {
    /// Call the handler again after this time.
    PollAfter(Duration),
    /// Send a page.
    Page {
        /// Body.
        body: String,
        /// Media type.
        content_type: &'static str,
        /// Further headers, with names in lower case.
        headers: Vec<(&'static str, String)>,
        /// Status code.
        status: u16,
    },
}

impl Response {
    /// Adds a header to a page. The name is in lower case.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        if let Self::Page { headers, .. } = &mut self {
            headers.push((name, value));
        }
        self
    }
}

/// A page of plain text.
pub fn text(status: u16, body: impl Into<String>) -> Response {
    Response::Page {
        body: body.into(),
        content_type: "text/plain; charset=utf-8",
        headers: Vec::new(),
        status,
    }
}

/// A page of JSON.
pub fn json<T: serde::Serialize>(value: &T) -> Response {
    match serde_json::to_string_pretty(value) {
        Ok(body) => Response::Page {
            body,
            content_type: "application/json",
            headers: Vec::new(),
            status: 200,
        },
        Err(error) => text(500, error.to_string()),
    }
}

/// Handles the requests of a server.
pub type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

async fn respond(StateOwn(handler): StateOwn<Handler>, UriOwn(uri): UriOwn) -> WebResponse {
    let mut request = Request {
        path: uri.path().to_owned(),
        query: uri.query().unwrap_or("").to_owned(),
        waited: Duration::ZERO,
    };
    loop {
        match handler(&request) {
            Response::PollAfter(wait) => {
                tokio::time::sleep(wait).await;
                request.waited += wait;
            }
            Response::Page {
                body,
                content_type,
                headers,
                status,
            } => {
                let mut response = WebResponse::new(ResponseBody::from(body));
                *response.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                response
                    .headers_mut()
                    .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
                for (name, value) in headers {
                    if let Ok(value) = HeaderValue::from_str(&value) {
                        response.headers_mut().insert(name, value);
                    }
                }
                return response;
            }
        }
    }
}

/// Serves pages at the addresses on a dedicated thread. Errors are `SocketUnavailable`.
pub fn serve(addresses: &[SocketAddr], handler: Handler) -> fault::Result<()> {
    let unavailable = |error: String| fault::report(code::Code::SocketUnavailable, error);
    let listeners = addresses
        .iter()
        .map(|address| {
            std::net::TcpListener::bind(address)
                .map_err(|error| unavailable(format!("{address}: {error}")))
        })
        .collect::<fault::Result<Vec<std::net::TcpListener>>>()?;
    std::thread::Builder::new()
        .name("pages".to_owned())
        .spawn(move || run(listeners, handler))
        .map(drop)
        .map_err(|error| unavailable(error.to_string()))
}

fn run(listeners: Vec<std::net::TcpListener>, handler: Handler) -> std::io::Result<()> {
    let mut server = App::new()
        .with_state(handler)
        .at("/", handler_service(respond))
        .at("/{*rest}", handler_service(respond))
        .serve()
        .disable_signal()
        .server_threads(1)
        .worker_threads(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    server.run().wait()
}
