//! `quetzal manifest`: prints the manifest to publish with a sheet's documents.

use std::path::Path;

use quetzal_lib::protocol::{fault, manifest, sheet};
use quetzal_lib::transport::files;

use crate::context;

pub const HELP: &str = "\
Checks a sheet and prints its manifest.

Usage: quetzal manifest DIR --revision NUMBER
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let revision: u64 = context
        .rest
        .value_from_str("--revision")
        .map_err(|error| context::usage(error.to_string()))?;
    let path = context.next_argument("DIR")?;
    context.finish()?;
    let documents = files::read_documents(Path::new(&path))?;
    let text = manifest::write(revision, &documents);
    let bundle = quetzal_lib::coordination::message::Bundle {
        documents,
        manifest: text,
    };
    sheet::accept(&bundle, None)?;
    print!("{}", bundle.manifest);
    Ok(())
}
