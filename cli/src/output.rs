//! Text tables and JSON on standard output.

use std::io::IsTerminal;
use std::net::SocketAddr;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;

/// A text table with a heading.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows; `heading` has the names of its columns.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table; the heading is bold on a terminal.
    pub fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(String::len)
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let bold = std::io::stdout().is_terminal();
        for (index, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            let line = cells.join("  ");
            let line = line.trim_end();
            if bold && index == 0 {
                println!("\u{1b}[1m{line}\u{1b}[0m");
            } else {
                println!("{line}");
            }
        }
    }
}

/// Prints a value as JSON. The error is `Usage`.
pub fn json<T: serde::Serialize>(value: &T) -> fault::Result<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| fault::report(code::Code::Usage, error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints the instances that did not answer on standard error.
pub fn print_unreachable(addresses: &[SocketAddr]) {
    for address in addresses {
        eprintln!("quetzal: {}: {address}", code::Code::InstanceUnreachable);
    }
}
