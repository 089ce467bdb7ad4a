//! The tests of the command-line tool as one test binary.

mod commands;
mod files;
mod pages;
