//! Runner of the command-line tool's tests.

mod commands;
mod files;
mod pages;
