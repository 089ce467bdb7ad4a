//! The manifest: the revision of a sheet and the digest of each of its documents.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::coordination::message;
use crate::protocol::fault;
use crate::state::code;

/// A document that the manifest lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// SHA-256 of the text, in hexadecimal.
    pub digest: CompactString,
    /// Name, unique in the manifest.
    pub name: CompactString,
}

/// The manifest of one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Revision, from 1.
    pub revision: u64,
    /// Documents in the order in which they are read.
    #[serde(rename = "document")]
    pub documents: Vec<Document>,
}

/// Digest of a document's text.
pub fn digest(text: &str) -> CompactString {
    CompactString::from(hex::encode(sha2::Sha256::digest(text.as_bytes())))
}

/// Parses a manifest. The error is `ManifestSyntax`.
pub fn parse(text: &str) -> fault::Result<Manifest> {
    toml::from_str(text).map_err(|error| {
        fault::report(
            code::Code::ManifestSyntax,
            format!("manifest: {}", error.message()),
        )
    })
}

/// Writes the text of a manifest that lists the documents.
pub fn write(revision: u64, documents: &[message::Document]) -> String {
    let manifest = Manifest {
        revision,
        documents: documents
            .iter()
            .map(|document| Document {
                digest: digest(&document.text),
                name: document.name.clone(),
            })
            .collect(),
    };
    toml::to_string(&manifest).unwrap_or_default()
}
