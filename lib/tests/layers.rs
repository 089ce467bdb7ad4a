//! Module structure: each layer imports only from lower ones (from the top: transport, protocol,
//! coordination, state), modules have no import cycles, and decisions use no clock, thread or
//! socket.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const LAYERS: [&str; 4] = ["state", "coordination", "protocol", "transport"];

/// All source files in a directory and its subdirectories.
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

/// The modules that a source file imports from its own layer.
fn imports(text: &str, layer: &str) -> Vec<String> {
    let prefix = format!("use crate::{layer}::");
    let mut found = Vec::new();
    for import in text.split(&prefix).skip(1) {
        let Some((path, _)) = import.split_once(';') else {
            continue;
        };
        let (parent, names) = match path.split_once('{') {
            Some((parent, names)) => (parent, names.trim_end_matches('}')),
            None => path.rsplit_once("::").map_or(("", path), |(parent, name)| {
                (&path[..parent.len() + 2], name)
            }),
        };
        let names = names.split(',').map(str::trim);
        let names = names.filter(|name| !name.is_empty());
        let module = |name: &str| name.split(" as ").next().unwrap_or(name).to_owned();
        found.extend(names.map(|name| format!("{parent}{}", module(name))));
    }
    found
}

#[test]
fn decisions_and_state_import_each_other_without_circles() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for layer in ["state", "coordination", "protocol"] {
        let directory = root.join(layer);
        let mut graph: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for path in sources(&directory) {
            let text = std::fs::read_to_string(&path).expect("source file");
            let name = path.strip_prefix(&directory).expect("a file of the layer");
            let name = name.with_extension("").to_string_lossy().replace('/', "::");
            graph.insert(name, imports(&text, layer));
        }
        // Repeatedly removes a module that imports none of the remaining ones. Only modules in an
        // import cycle, and those that import them, remain.
        while let Some(leaf) = graph
            .iter()
            .find(|(_, imports)| !imports.iter().any(|name| graph.contains_key(name)))
            .map(|(name, _)| name.clone())
        {
            graph.remove(&leaf);
        }
        assert!(graph.is_empty(), "import cycles among {:?}", graph.keys());
    }
}
