//! Helpers to run the tool, and tests of what all commands have in common.

use std::path::PathBuf;
use std::process::Command;

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Runs the tool and returns what it prints, with its exit status.
pub fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_quetzal"))
        .args(arguments)
        .env_remove("QUETZAL_INSTANCES")
        .current_dir(root())
        .output()
        .expect("the tool runs");
    format!(
        "{}{}exit status {}\n",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap_or(-1)
    )
}

#[test]
fn help_lists_the_commands() {
    insta::assert_snapshot!(run(&["--help"]));
}

#[test]
fn every_command_has_help() {
    for command in [
        "check",
        "diff",
        "drain",
        "explain",
        "flows",
        "instances",
        "manifest",
        "report",
        "services",
        "status",
        "targets",
    ] {
        let text = run(&[command, "--help"]);
        assert!(text.contains("Usage: quetzal"), "{command}: {text}");
        assert!(text.ends_with("exit status 0\n"), "{command}: {text}");
    }
}

#[test]
fn wrong_arguments_are_named() {
    let cases = [
        vec!["chekc"],
        vec!["status"],
        vec!["status", "--output", "xml"],
        vec!["status", "--instances", "nowhere"],
        vec!["status", "--instances", "127.0.0.1:1", "--verbose"],
        vec!["report", "heat", "--instances", "127.0.0.1:1"],
    ];
    let text: String = cases
        .iter()
        .map(|case| format!("{case:?}\n{}\n", run(case)))
        .collect();
    insta::assert_snapshot!(text);
}
