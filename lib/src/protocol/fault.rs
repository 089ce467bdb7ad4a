//! The type of errors that an operator can cause, with their result codes.

use std::fmt;

use crate::state::code;

/// An error with a numbered result code. Texts with details are attached to its report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault(pub code::Code);

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.0, self.0.meaning())
    }
}

impl std::error::Error for Fault {}

/// A result whose error carries a numbered code.
pub type Result<T> = std::result::Result<T, error_stack::Report<Fault>>;

/// A report with a code and a text for the operator.
pub fn report(code: code::Code, text: impl Into<String>) -> error_stack::Report<Fault> {
    error_stack::Report::new(Fault(code)).attach(text.into())
}

/// The texts attached to a report, the outermost last.
pub fn texts(report: &error_stack::Report<Fault>) -> Vec<String> {
    report
        .frames()
        .filter_map(|frame| frame.downcast_ref::<String>().cloned())
        .collect::<Vec<String>>()
        .into_iter()
        .rev()
        .collect()
}

/// The code of a report.
pub fn code(report: &error_stack::Report<Fault>) -> code::Code {
    report.current_context().0
}
