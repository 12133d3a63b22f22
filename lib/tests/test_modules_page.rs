//! The page that leads through the modules names each of them once.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::path::Path;

fn modules() -> BTreeSet<String> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = std::fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    let names = files.map(|path| path.file_stem().unwrap().to_string_lossy().into_owned());
    // Generated code and the crate itself are no modules to read.
    names.filter(|name| name != "lib" && name != "peer_capnp").collect()
}

#[test]
fn modules_page_names_each_module_once() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/MODULES.md");
    let page = std::fs::read_to_string(page).unwrap();
    let rows = page.lines().filter(|line| line.starts_with("| ") && line.contains('`'));
    let cells = rows.flat_map(|row| row.split('|').skip(2));
    let names: Vec<_> =
        cells.flat_map(|cell| cell.split('`').skip(1).step_by(2).map(str::to_owned)).collect();
    let named: BTreeSet<_> = names.iter().filter(|name| *name != "platform/").cloned().collect();
    assert_eq!(named, modules());
    assert_eq!(names.len(), named.len() + 1, "a module stands twice");
}
