//! Reads sheets from directories, where operators keep them under version control.

use std::path::Path;

use crate::coordination::message;
use crate::protocol::{fault, manifest};
use crate::state::code;

/// Name of the file that holds the manifest, if there is one.
const MANIFEST_FILE: &str = "manifest";

fn unreadable(path: &Path, error: &std::io::Error) -> error_stack::Report<fault::Fault> {
    fault::report(
        code::Code::FileUnreadable,
        format!("{}: {error}", path.display()),
    )
}

/// Reads a file. Errors are `FileUnreadable`.
pub fn read(path: &Path) -> fault::Result<String> {
    std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))
}

/// Reads the TOML documents of a directory in the order of their names, or the one document at the
/// path. Errors are `FileUnreadable`.
pub fn read_documents(path: &Path) -> fault::Result<Vec<message::Document>> {
    let mut paths = Vec::new();
    if path.is_dir() {
        for entry in std::fs::read_dir(path).map_err(|error| unreadable(path, &error))? {
            paths.push(entry.map_err(|error| unreadable(path, &error))?.path());
        }
        paths.retain(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        });
        paths.sort();
    } else {
        paths.push(path.to_owned());
    }
    paths
        .iter()
        .map(|path| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            Ok(message::Document {
                name: name.as_ref().into(),
                text: read(path)?,
            })
        })
        .collect()
}

/// Reads a sheet. Its revision is that of the manifest file beside the documents, or `revision` if
/// there is no manifest file. Errors are `FileUnreadable`.
pub fn read_sheet(path: &Path, revision: u64) -> fault::Result<message::Bundle> {
    let documents = read_documents(path)?;
    let manifest_path = path.join(MANIFEST_FILE);
    let manifest = if manifest_path.is_file() {
        read(&manifest_path)?
    } else {
        manifest::write(revision, &documents)
    };
    Ok(message::Bundle {
        documents,
        manifest,
    })
}
