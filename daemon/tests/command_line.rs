//! Tests of the daemon's command line.

use std::process::Command;

fn run(arguments: &[&str]) -> (String, i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_quetzald"))
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
        .output()
        .expect("the daemon runs");
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    (text, output.status.code().unwrap_or(-1))
}

#[test]
fn settings_are_checked() {
    let (text, status) = run(&["--check", "--settings", "examples/bureau/instance-0.ini"]);
    assert_eq!(
        (text.as_str(), status),
        ("examples/bureau/instance-0.ini: ok\n", 0)
    );
    let (text, status) = run(&["--check", "--settings", "README.md"]);
    assert!(
        text.contains("QZ200") && text.contains("README.md:"),
        "{text}"
    );
    assert_eq!(status, 3);
    let (text, status) = run(&["--settings", "no/such/file.ini"]);
    assert!(text.contains("QZ101"), "{text}");
    assert_eq!(status, 2);
}

#[test]
fn wrong_arguments_are_named() {
    for arguments in [
        &["--set", "x"][..],
        &[],
        &["--settings", "README.md", "extra"],
    ] {
        let (text, status) = run(arguments);
        assert!(text.contains("QZ100"), "{text}");
        assert_eq!(status, 2);
    }
    assert_eq!(run(&["--version"]).1, 0);
    assert!(run(&["--help"]).0.contains("Usage: quetzald"));
}
