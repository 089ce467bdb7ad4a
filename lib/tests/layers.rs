//! Imports go one way: transport, protocol, coordination, state.

use std::path::Path;

const LAYERS: [&str; 4] = ["state", "coordination", "protocol", "transport"];

#[test]
fn layers_import_only_downward() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for (level, layer) in LAYERS.iter().enumerate() {
        for entry in std::fs::read_dir(root.join(layer)).expect("layer directory") {
            let path = entry.expect("directory entry").path();
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
        for entry in std::fs::read_dir(root.join(layer)).expect("layer directory") {
            let path = entry.expect("directory entry").path();
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
