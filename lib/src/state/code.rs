//! Numbered result codes, shared by the daemon, the command-line tool and the documents.
//!
//! The meaning of a number never changes. `docs/result-codes.md` holds the same table; a test
//! compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A result with its number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[repr(u16)]
pub enum Code {
    /// The operation succeeded.
    Ok = 0,
    /// Command-line arguments are wrong.
    Usage = 100,
    /// A file cannot be read.
    FileUnreadable = 101,
    /// A settings file is not valid INI.
    SettingsSyntax = 200,
    /// A settings key or section is unknown.
    SettingsUnknownKey = 201,
    /// A settings value is not allowed.
    SettingsValue = 202,
    /// A required settings key is missing.
    SettingsMissingKey = 203,
    /// A sheet document is not valid TOML or has an unknown key.
    SheetSyntax = 300,
    /// A value of the sheet is not allowed.
    SheetValue = 301,
    /// The sheet names an item that it does not define.
    SheetReference = 302,
    /// The sheet defines an item twice.
    SheetDuplicate = 303,
    /// A document does not match the digest of the manifest.
    SheetDigest = 304,
    /// The revision is not above the one in force.
    SheetRevision = 305,
    /// A document or the sheet is larger than allowed.
    SheetSize = 306,
    /// The manifest cannot be read.
    ManifestSyntax = 307,
    /// The platform cannot be reached.
    PlatformUnreachable = 400,
    /// The platform answered with an error.
    PlatformAnswer = 401,
    /// An instance cannot be reached.
    InstanceUnreachable = 402,
    /// The platform no longer has the history that a watch asks for.
    PlatformHistory = 403,
    /// A response is larger than accepted.
    ResponseSize = 404,
    /// A frame fails its authentication.
    FrameAuthentication = 500,
    /// A frame cannot be decoded.
    FrameEncoding = 501,
    /// A socket cannot be opened.
    SocketUnavailable = 600,
    /// The instance has no accepted sheet.
    NotReady = 700,
    /// No such service, target, instance or flow.
    NotFound = 701,
}

impl Code {
    /// All codes in numeric order.
    pub const ALL: [Self; 25] = [
        Self::Ok,
        Self::Usage,
        Self::FileUnreadable,
        Self::SettingsSyntax,
        Self::SettingsUnknownKey,
        Self::SettingsValue,
        Self::SettingsMissingKey,
        Self::SheetSyntax,
        Self::SheetValue,
        Self::SheetReference,
        Self::SheetDuplicate,
        Self::SheetDigest,
        Self::SheetRevision,
        Self::SheetSize,
        Self::ManifestSyntax,
        Self::PlatformUnreachable,
        Self::PlatformAnswer,
        Self::InstanceUnreachable,
        Self::PlatformHistory,
        Self::ResponseSize,
        Self::FrameAuthentication,
        Self::FrameEncoding,
        Self::SocketUnavailable,
        Self::NotReady,
        Self::NotFound,
    ];

    /// The number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Short description of the code.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "the operation succeeded",
            Self::Usage => "command-line arguments are wrong",
            Self::FileUnreadable => "a file cannot be read",
            Self::SettingsSyntax => "a settings file is not valid INI",
            Self::SettingsUnknownKey => "a settings key or section is unknown",
            Self::SettingsValue => "a settings value is not allowed",
            Self::SettingsMissingKey => "a required settings key is missing",
            Self::SheetSyntax => "a sheet document is not valid TOML or has an unknown key",
            Self::SheetValue => "a value of the sheet is not allowed",
            Self::SheetReference => "the sheet names an item that it does not define",
            Self::SheetDuplicate => "the sheet defines an item twice",
            Self::SheetDigest => "a document does not match the digest of the manifest",
            Self::SheetRevision => "the revision is not above the one in force",
            Self::SheetSize => "a document or the sheet is larger than allowed",
            Self::ManifestSyntax => "the manifest cannot be read",
            Self::PlatformUnreachable => "the platform cannot be reached",
            Self::PlatformAnswer => "the platform answered with an error",
            Self::InstanceUnreachable => "an instance cannot be reached",
            Self::PlatformHistory => "the platform no longer has the history that a watch asks for",
            Self::ResponseSize => "a response is larger than accepted",
            Self::FrameAuthentication => "a frame fails its authentication",
            Self::FrameEncoding => "a frame cannot be decoded",
            Self::SocketUnavailable => "a socket cannot be opened",
            Self::NotReady => "the instance has no accepted sheet",
            Self::NotFound => "no such service, target, instance or flow",
        }
    }

    /// Exit status of a process that ends with this code.
    pub fn exit_status(self) -> u8 {
        match self.number() {
            0 => 0,
            100..=199 => 2,
            200..=299 => 3,
            300..=399 => 4,
            400..=499 => 5,
            _ => 1,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "QZ{:03}", self.number())
    }
}
