//! INI files with checked sections and keys.
//!
//! Every section is read into a struct through `serde`; the line of each key is kept so that an
//! error names file, line, key, what was found and what is allowed.

use std::collections::BTreeMap;

use ini_core::{Item, Parser};
use serde::Deserialize;
use serde::de::value::MapDeserializer;

use crate::protocol::fault;
use crate::state::code;

/// A key and what it allows.
pub type Key = (&'static str, &'static str);

/// Sections and their keys; a section without keys takes any.
pub type Schema = &'static [(&'static str, &'static [Key])];

/// An address and a port.
pub const ADDRESS: &str = "ADDRESS:PORT";
/// A number.
pub const COUNT: &str = "a whole number";
/// A port.
pub const PORT: &str = "a port from 1 to 65535";
/// A secret.
pub const SECRET: &str = "32 hexadecimal digits";
/// A number of bytes.
pub const SIZE: &str = "a size such as 64KiB";
/// A time span.
pub const TIME: &str = "a time such as 250ms or 5m";

/// What a key allows.
fn allowed(schema: Schema, section: &str, key: &str) -> &'static str {
    schema
        .iter()
        .filter(|(name, _)| *name == section)
        .flat_map(|(_, keys)| *keys)
        .find(|(name, _)| *name == key)
        .map_or("", |(_, allowed)| *allowed)
}

/// One value and its line.
#[derive(Clone, Debug)]
pub struct Value {
    /// Line in the file, from one.
    pub line: usize,
    /// Text after the equals sign.
    pub text: String,
}

/// Values of one section by key.
pub type Section = BTreeMap<String, Value>;

/// A file that was scanned.
pub struct Reader<'a> {
    file: &'a str,
    schema: Schema,
    sections: BTreeMap<String, Section>,
}

impl<'a> Reader<'a> {
    /// Scans a file; `file` names it in errors.
    pub fn scan(file: &'a str, text: &str, schema: Schema) -> fault::Result<Self> {
        let mut reader = Self {
            file,
            schema,
            sections: BTreeMap::new(),
        };
        scan(&mut reader, text)?;
        Ok(reader)
    }

    /// A report that names the file, a line (zero for none) and the code.
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

    /// Reads a section into its struct.
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

    /// A value that must be there.
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
        // Item by item, so that each keeps the number of its line.
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
            let text = format!("`{key}` stands before any section");
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
