//! `quetzal check`: checks sheets and settings as the daemon does.

use std::path::Path;

use quetzal_lib::protocol::{cookie_settings, fault, settings, sheet};
use quetzal_lib::transport::files;

use crate::context;

pub const HELP: &str = "\
Checks sheets and settings as the daemon does.

Usage: quetzal check PATH...

A PATH is a settings file (.ini), a sheet document (.toml), or a directory of documents that are
read as one sheet. Every error names file, line, key, what was found, what is allowed, and its code.
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let mut paths = vec![context.next_argument("PATH")?];
    while let Ok(path) = context.next_argument("PATH") {
        paths.push(path);
    }
    context.finish()?;
    for path in &paths {
        check(Path::new(path))?;
        println!("{path}: ok");
    }
    Ok(())
}

fn check(path: &Path) -> fault::Result<()> {
    if path.extension().is_some_and(|extension| extension == "ini") {
        let (file, text) = (path.to_string_lossy(), files::read(path)?);
        return if cookie_settings::is_cookie_format(&text) {
            cookie_settings::parse(&file, &text).map(drop)
        } else {
            settings::parse(&file, &text).map(drop)
        };
    }
    sheet::accept(&files::read_sheet(path, 1)?, None).map(drop)
}
