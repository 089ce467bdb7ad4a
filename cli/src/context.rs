//! The context of a command: its arguments, the instances to query, and the output format.

use std::net::SocketAddr;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;
use quetzal_lib::transport::http_client;

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// HTML page for a browser.
    Html,
    /// JSON for programs.
    Json,
    /// Text for people.
    Text,
}

/// Answers with the addresses that they came from, and the addresses that did not answer.
pub type Answers<T> = (Vec<(SocketAddr, T)>, Vec<SocketAddr>);

/// Arguments that all commands share, and the remaining ones.
pub struct Context {
    /// Output format.
    pub format: Format,
    /// Status addresses of instances.
    pub instances: Vec<SocketAddr>,
    /// Remaining arguments, which the command reads itself.
    pub rest: pico_args::Arguments,
}

/// An error in the arguments, with the code `Usage`.
pub fn usage(text: impl Into<String>) -> error_stack::Report<fault::Fault> {
    fault::report(
        code::Code::Usage,
        format!("{}; see quetzal --help", text.into()),
    )
}

impl Context {
    /// Takes the shared options out of the arguments. The error is `Usage`.
    pub fn new(mut arguments: pico_args::Arguments) -> fault::Result<Self> {
        let format: Option<String> = arguments
            .opt_value_from_str(["-o", "--output"])
            .map_err(|error| usage(error.to_string()))?;
        let format = match format.as_deref() {
            None | Some("text") => Format::Text,
            Some("json") => Format::Json,
            Some("html") => Format::Html,
            Some(other) => {
                return Err(usage(format!(
                    "--output: found `{other}`, allowed: text, json, html"
                )));
            }
        };
        let list: Option<String> = arguments
            .opt_value_from_str(["-i", "--instances"])
            .map_err(|error| usage(error.to_string()))?;
        let list = list
            .or_else(|| std::env::var("QUETZAL_INSTANCES").ok())
            .unwrap_or_default();
        let instances = list
            .split(',')
            .filter(|text| !text.is_empty())
            .map(|text| {
                text.trim().parse().map_err(|_| {
                    usage(format!(
                        "--instances: found `{text}`, allowed: ADDRESS:PORT,..."
                    ))
                })
            })
            .collect::<fault::Result<Vec<SocketAddr>>>()?;
        Ok(Self {
            format,
            instances,
            rest: arguments,
        })
    }

    /// The next positional argument. `what` is its name in the error, which is `Usage`.
    pub fn next_argument(&mut self, what: &str) -> fault::Result<String> {
        self.rest
            .free_from_str()
            .map_err(|_| usage(format!("{what} is missing")))
    }

    /// Checks that no argument is left. The error is `Usage`.
    pub fn finish(&mut self) -> fault::Result<()> {
        let rest =
            std::mem::replace(&mut self.rest, pico_args::Arguments::from_vec(Vec::new())).finish();
        match rest.first() {
            None => Ok(()),
            Some(first) => Err(usage(format!(
                "unexpected argument `{}`",
                first.to_string_lossy()
            ))),
        }
    }

    /// Queries a page of every instance. Also returns the instances that do not answer. Errors are
    /// `Usage` if no instance is given, and `InstanceUnreachable` if none answers.
    pub fn query<T: for<'a> serde::Deserialize<'a>>(
        &self,
        path: &str,
    ) -> fault::Result<Answers<T>> {
        if self.instances.is_empty() {
            return Err(usage("--instances is missing"));
        }
        let mut answers = Vec::new();
        let mut unreachable = Vec::new();
        for address in &self.instances {
            match http_client::get_json(*address, path) {
                Ok(answer) => answers.push((*address, answer)),
                Err(_) => unreachable.push(*address),
            }
        }
        if answers.is_empty() {
            let names: Vec<String> = unreachable.iter().map(ToString::to_string).collect();
            let text = format!("no answer from {}", names.join(", "));
            return Err(fault::report(code::Code::InstanceUnreachable, text));
        }
        Ok((answers, unreachable))
    }
}
