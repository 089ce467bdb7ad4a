//! Imports go one way: transport, protocol, coordination, state.

use std::path::{Path, PathBuf};

const LAYERS: [&str; 4] = ["state", "coordination", "protocol", "transport"];

/// Source files below a directory.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).expect("layer directory") {
        let path = entry.expect("directory entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else {
            found.push(path);
        }
    }
    found
}

#[test]
fn layers_import_only_downward() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for (level, layer) in LAYERS.iter().enumerate() {
        for path in sources(&root.join(layer)) {
            let text = std::fs::read_to_string(&path).expect("source file");
            for upper in &LAYERS[level + 1..] {
                let import = format!("crate::{upper}");
                assert!(
                    !text.contains(&import),
                    "{} imports {upper}",
                    path.display()
                );
            }
        }
    }
}

#[test]
fn decisions_use_no_clock_thread_or_socket() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for layer in ["state", "coordination"] {
        for path in sources(&root.join(layer)) {
            let text = std::fs::read_to_string(&path).expect("source file");
            for word in [
                "Instant::now",
                "SystemTime",
                "std::thread",
                "UdpSocket",
                "TcpStream",
            ] {
                assert!(!text.contains(word), "{} uses {word}", path.display());
            }
        }
    }
}
