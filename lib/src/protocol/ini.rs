//! A reader for INI files with known sections and keys.
//!
//! Each section is deserialized into a struct with `serde`. The reader keeps the line of each key,
//! so that an error can name the file, the line, the key, the value found and the allowed values.

use std::collections::BTreeMap;

use ini_core::{Item, Parser};
use serde::Deserialize;
use serde::de::value::MapDeserializer;

use crate::protocol::fault;
use crate::state::code;

/// The name of a key and a description of its allowed values.
pub type Key = (&'static str, &'static str);

/// Sections and their keys. A section without keys accepts any key.
pub type Schema = &'static [(&'static str, &'static [Key])];

/// Start of a placeholder in a template of settings. A placeholder that is left is one that the
/// deployment does not know, so its line sets nothing.
const UNFILLED_PLACEHOLDER: &str = "{{";

/// Allowed values of keys that take an address and a port.
pub const ADDRESS: &str = "ADDRESS:PORT";
/// Allowed values of keys that take a number.
pub const COUNT: &str = "a whole number";
/// Allowed values of keys that take a port.
pub const PORT: &str = "a port from 1 to 65535";
/// Allowed values of keys that take a secret.
pub const SECRET: &str = "32 hexadecimal digits";
/// Allowed values of keys that take a number of bytes.
pub const SIZE: &str = "a size such as 64KiB";
/// Allowed values of keys that take a time span.
pub const TIME: &str = "a time such as 250ms or 5m";

/// The description of a key's allowed values.
fn allowed(schema: Schema, section: &str, key: &str) -> &'static str {
    schema
        .iter()
        .filter(|(name, _)| *name == section)
        .flat_map(|(_, keys)| *keys)
        .find(|(name, _)| *name == key)
        .map_or("", |(_, allowed)| *allowed)
}

/// A value and its line.
#[derive(Clone, Debug)]
pub struct Value {
    /// Line in the file, from one.
    pub line: usize,
    /// Text after the equals sign.
    pub text: String,
}

/// Values of one section by key.
pub type Section = BTreeMap<String, Value>;

/// The values of a scanned file.
pub struct Reader<'a> {
    file: &'a str,
    schema: Schema,
    sections: BTreeMap<String, Section>,
}

impl<'a> Reader<'a> {
    /// Scans the text of a file. `file` is its name in errors, which are `SettingsSyntax`,
    /// `SettingsUnknownKey` and `SettingsValue`.
    pub fn scan(file: &'a str, text: &str, schema: Schema) -> fault::Result<Self> {
        let mut reader = Self {
            file,
            schema,
            sections: BTreeMap::new(),
        };
        scan(&mut reader, text)?;
        Ok(reader)
    }

    /// A report with the name of the file, a line (zero for none) and a code.
    pub fn error(
        &self,
        code: code::Code,
        line: usize,
        text: impl std::fmt::Display,
    ) -> error_stack::Report<fault::Fault> {
        let place = if line == 0 {
            String::new()
        } else {
            format!("{line}:")
        };
        fault::report(code, format!("{}:{place} {code}: {text}", self.file))
    }

    /// The values of a section.
    pub fn section(&self, name: &str) -> Section {
        self.sections.get(name).cloned().unwrap_or_default()
    }

    /// Deserializes a section. Errors are `SettingsValue` and `SettingsMissingKey`.
    pub fn read<T: for<'b> Deserialize<'b>>(&self, name: &str) -> fault::Result<T> {
        let section = self.section(name);
        let pairs = section
            .iter()
            .map(|(key, value)| (key.as_str(), value.text.as_str()));
        let map = MapDeserializer::<_, serde::de::value::Error>::new(pairs);
        serde_path_to_error::deserialize(map).map_err(|error| {
            let key = error.path().to_string();
            let text = error.inner().to_string();
            match section.get(&key) {
                Some(value) => self.error(
                    code::Code::SettingsValue,
                    value.line,
                    format!(
                        "{name}.{key}: found \"{}\", allowed: {}",
                        value.text,
                        allowed(self.schema, name, &key)
                    ),
                ),
                None => self.error(
                    code::Code::SettingsMissingKey,
                    0,
                    format!("[{name}]: {text}"),
                ),
            }
        })
    }

    /// A required value. The error is `SettingsMissingKey`.
    pub fn value(&self, section: &str, key: &str) -> fault::Result<Value> {
        self.section(section).get(key).cloned().ok_or_else(|| {
            self.error(
                code::Code::SettingsMissingKey,
                0,
                format!("[{section}]: missing `{key}`"),
            )
        })
    }
}

fn scan(reader: &mut Reader<'_>, text: &str) -> fault::Result<()> {
    let mut section = String::new();
    let names: Vec<&str> = reader.schema.iter().map(|(name, _)| *name).collect();
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        if line.contains(UNFILLED_PLACEHOLDER) {
            continue;
        }
        // Each line is parsed on its own, so that the line number of each item is known.
        for item in Parser::new(line).auto_trim(true) {
            match item {
                Item::Section(name) => {
                    check_name(reader, line_number, "section", name, &names)?;
                    section = name.to_owned();
                }
                Item::Property(key, value) => {
                    add_value(reader, line_number, &section, key, value.unwrap_or(""))?;
                }
                Item::Error(found) => {
                    let text =
                        format!("found `{found}`, allowed: [section], key = value, ; comment");
                    return Err(reader.error(code::Code::SettingsSyntax, line_number, text));
                }
                _ => {}
            }
        }
    }
    Ok(())
}

fn add_value(
    reader: &mut Reader<'_>,
    line: usize,
    section: &str,
    key: &str,
    value: &str,
) -> fault::Result<()> {
    let known = reader
        .schema
        .iter()
        .find(|(name, _)| *name == section)
        .map(|(_, keys)| *keys);
    match known {
        None => {
            let text = format!("`{key}` precedes the first section");
            return Err(reader.error(code::Code::SettingsSyntax, line, text));
        }
        Some([]) => {}
        Some(keys) => {
            let names: Vec<&str> = keys.iter().map(|(name, _)| *name).collect();
            check_name(reader, line, "key", key, &names)?;
        }
    }
    let value = Value {
        line,
        text: value.to_owned(),
    };
    let former = reader
        .sections
        .entry(section.to_owned())
        .or_default()
        .insert(key.to_owned(), value);
    match former {
        Some(former) => {
            let text = format!(
                "{section}.{key}: found again, first at line {}",
                former.line
            );
            Err(reader.error(code::Code::SettingsValue, line, text))
        }
        None => Ok(()),
    }
}

fn check_name(
    reader: &Reader<'_>,
    line: usize,
    what: &str,
    found: &str,
    allowed: &[&str],
) -> fault::Result<()> {
    if allowed.contains(&found) {
        return Ok(());
    }
    let nearest = allowed
        .iter()
        .min_by_key(|name| strsim::levenshtein(name, found))
        .filter(|name| strsim::levenshtein(name, found) <= 3);
    let hint = nearest.map_or(String::new(), |name| format!(" (did you mean `{name}`?)"));
    let text = format!(
        "found {what} `{found}`{hint}, allowed: {}",
        allowed.join(", ")
    );
    Err(reader.error(code::Code::SettingsUnknownKey, line, text))
}
