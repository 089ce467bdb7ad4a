//! Tests of the commands that read files.

use std::path::Path;

use crate::commands;

#[test]
fn the_examples_are_accepted() {
    let text = commands::run(&[
        "check",
        "examples/guild/sheet",
        "examples/guild/instance-0.ini",
        "examples/bureau/sheet",
        "examples/bureau/instance-0.ini",
        "examples/cookie/instance-0.ini",
    ]);
    insta::assert_snapshot!(text);
}

/// Writes a file to the directory for test files and runs `quetzal check` on it. Returns what the
/// tool prints, without the path of that directory.
fn check_text(name: &str, text: &str) -> String {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a file for the test");
    let printed = commands::run(&["check", &path.to_string_lossy()]);
    printed.replace(&format!("{}/", directory.display()), "")
}

/// Log lines of two instances on a flow whose target stops answering and on another flow. The first
/// line has a prefix before its JSON, and the last line is not a log line.
const LOG: &str = r#"
  4.0100 one {"msg":"flow","level":"INFO","ts":"2026-04-17T19:57:30.9Z","zone":"here","instance":"one","flow":"d1b8","caller":"100.65.0.11:1032","route":"198.18.0.1:443","outcome":"forwarded","cause":"placed","target":"b5a9","age_ms":12,"as_of":23}
{"msg":"flow","level":"INFO","ts":"2026-04-17T19:57:30.95Z","zone":"here","instance":"one","flow":"aaaa","caller":"100.65.0.12:1040","route":"198.18.0.1:443","outcome":"forwarded","cause":"placed","target":"77aa","age_ms":12,"as_of":23}
{"msg":"target evidence","level":"INFO","ts":"2026-04-17T19:57:31.5Z","zone":"there","instance":"two","target":"b5a9","usable":false}
{"msg":"target evidence","level":"INFO","ts":"2026-04-17T19:57:31.6Z","zone":"there","instance":"two","target":"77aa","usable":false}
{"msg":"flow","level":"INFO","ts":"2026-04-17T19:57:31.90027832Z","zone":"there","instance":"two","flow":"d1b8","caller":"100.65.0.11:1032","route":"198.18.0.1:443","outcome":"reset","cause":"target answers nothing","target":"b5a9","age_ms":1,"as_of":23}
{"msg":"target","level":"INFO","ts":"2026-04-17T19:57:33.2Z","zone":"there","instance":"two","target":"b5a9","standing":"Removed","revision":28,"age_ms":1}
{"msg":"started","level":"INFO","ts":"2026-04-17T19:59:00Z","zone":"there","instance":"two"}
built in 0.1 s
"#;

#[test]
fn a_flow_is_explained_from_the_logs_of_all_instances() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("instances.log");
    std::fs::write(&path, LOG).expect("a file for the test");
    let file = path.to_string_lossy();
    let by_caller = commands::run(&["explain", "100.65.0.11:1032", &file]);
    assert_eq!(by_caller, commands::run(&["explain", "d1b8", &file]));
    let unknown = commands::run(&["explain", "100.65.0.11:9", &file]);
    let nowhere = commands::run(&["explain", "d1b8", "missing.log"]);
    insta::assert_snapshot!(format!("{by_caller}{unknown}{nowhere}"));
}

#[test]
fn a_wrong_settings_file_names_file_line_key_and_code() {
    let good = std::fs::read_to_string(commands::root().join("examples/guild/instance-0.ini"))
        .expect("the example");
    let cases = [
        ("unknown.ini", good.replace("stop_delay =", "stop_dealy =")),
        ("format.ini", format!("{good}\n[fabric]\nformat = ipx\n")),
        ("section.ini", good.replace("[limits]", "[limit]")),
        (
            "value.ini",
            good.replace("stop_delay = 2s", "stop_delay = 2"),
        ),
        ("number.ini", good.replace("number = 0", "number = 44")),
        ("missing.ini", good.replace("zone = mobile-bay", "")),
        ("key.ini", good.replace("current = 1:10", "current = 1:zz")),
        ("syntax.ini", good.replace("[log]", "[log")),
        (
            "peer.ini",
            good.replace("1 = 10.41.1.2:7000", "1 = somewhere"),
        ),
    ];
    let text: String = cases
        .iter()
        .map(|(name, text)| format!("{}\n", check_text(name, text)))
        .collect();
    insta::assert_snapshot!(text);
}

#[test]
fn a_wrong_sheet_names_every_fault() {
    let good =
        std::fs::read_to_string(commands::root().join("examples/guild/sheet/proof-vault.toml"))
            .expect("the example");
    let zones = std::fs::read_to_string(commands::root().join("examples/guild/sheet/zones.toml"))
        .expect("the example");
    let good = format!("{zones}\n{good}");
    let cases = [
        (
            "zone.toml",
            good.replace("zone = \"delta-west\"", "zone = \"delta-east\""),
        ),
        (
            "twice.toml",
            good.replace("\"proof-vault-2\"", "\"proof-vault-1\""),
        ),
        (
            "buckets.toml",
            good.replace("buckets = 512", "buckets = 500"),
        ),
        ("slots.toml", good.replace("slots = 3", "slots = 0")),
        ("share.toml", good.replace("\"40%\"", "\"140%\"")),
        ("key.toml", good.replace("slots = 3", "slot = 3")),
        ("address.toml", good.replace(":6080", "")),
    ];
    let text: String = cases
        .iter()
        .map(|(name, text)| format!("{}\n", check_text(name, text)))
        .collect();
    insta::assert_snapshot!(text);
}

#[test]
fn a_drain_is_explained_by_the_sheet() {
    insta::assert_snapshot!(commands::run(&[
        "drain",
        "examples/guild/sheet",
        "rounds-board/rounds-board-3"
    ]));
    insta::assert_snapshot!(commands::run(&[
        "drain",
        "examples/guild/sheet",
        "rounds-board/nine"
    ]));
}

#[test]
fn a_diff_shows_what_moves() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("changed");
    std::fs::create_dir_all(&directory).expect("a directory for the test");
    for name in ["zones.toml", "rounds-board.toml", "proof-vault.toml"] {
        let text =
            std::fs::read_to_string(commands::root().join("examples/guild/sheet").join(name))
                .expect("the example");
        let text = text.replace(
            "name = \"rounds-board-2\"",
            "name = \"rounds-board-2\"\nstate = \"draining\"",
        );
        std::fs::write(directory.join(name), text).expect("a file for the test");
    }
    let changed = directory.to_string_lossy();
    insta::assert_snapshot!(commands::run(&["diff", "examples/guild/sheet", &changed]));
    insta::assert_snapshot!(commands::run(&[
        "diff",
        "examples/guild/sheet",
        "examples/guild/sheet",
        "--output",
        "json"
    ]));
}

#[test]
fn a_manifest_carries_digests() {
    let text = commands::run(&["manifest", "examples/bureau/sheet", "--revision", "4"]);
    assert!(text.starts_with("revision = 4\n"), "{text}");
    assert_eq!(text.matches("digest = ").count(), 3, "{text}");
}
