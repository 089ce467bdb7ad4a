//! What every command gets: its arguments, the instances to ask, and the form of output.

use std::net::SocketAddr;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;
use quetzal_lib::transport::http_client;

/// Form of output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One page for a browser.
    Html,
    /// JSON for programs.
    Json,
    /// Text for people.
    Text,
}

/// Answers with the addresses that gave them, and the addresses that gave none.
pub type Answers<T> = (Vec<(SocketAddr, T)>, Vec<SocketAddr>);

/// Arguments that all commands share, and the rest.
pub struct Context {
    /// Form of output.
    pub format: Format,
    /// Status addresses of instances.
    pub instances: Vec<SocketAddr>,
    /// What the command itself reads.
    pub rest: pico_args::Arguments,
}

/// An error of wrong arguments.
pub fn usage(text: impl Into<String>) -> error_stack::Report<fault::Fault> {
    fault::report(
        code::Code::Usage,
        format!("{}; see quetzal --help", text.into()),
    )
}

impl Context {
    /// Takes the shared options out of the arguments.
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

    /// The next argument without a name.
    pub fn next_argument(&mut self, what: &str) -> fault::Result<String> {
        self.rest
            .free_from_str()
            .map_err(|_| usage(format!("{what} is missing")))
    }

    /// Ends reading of arguments; anything left is an error.
    pub fn finish(&mut self) -> fault::Result<()> {
        let rest =
            std::mem::replace(&mut self.rest, pico_args::Arguments::from_vec(Vec::new())).finish();
        match rest.first() {
            None => Ok(()),
            Some(first) => Err(usage(format!("unexpected `{}`", first.to_string_lossy()))),
        }
    }

    /// Asks every instance for a page; those that cannot be reached are named beside the answers.
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
