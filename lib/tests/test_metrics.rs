//! The rendered metrics match the documented ones, and have the expected values after a start.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use hollyhead::cookie_instance::CookieInstance;
use hollyhead::memory_network::MemoryNetwork;
use hollyhead::random::SeededRandom;
use std::sync::Arc;
use testutils::cookie_fleet::instance_setup;
use tokio::time::Instant;

fn instance() -> CookieInstance {
    let network = MemoryNetwork::new(Arc::new(SeededRandom::new(7)));
    CookieInstance::new(instance_setup(0, 100.0, |address| network.port(address)), Instant::now())
}

fn rendered_names(text: &str) -> BTreeSet<String> {
    let help = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    help.filter_map(|line| Some(line.split_once(' ')?.0.to_owned())).collect()
}

fn documented_names() -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned())).collect()
}

#[tokio::test(start_paused = true)]
async fn render_names_what_the_page_lists() {
    assert_eq!(rendered_names(&instance().render_metrics(Instant::now())), documented_names());
}

#[tokio::test(start_paused = true)]
async fn render_of_a_fresh_instance_tells_that_nothing_is_known() {
    let text = instance().render_metrics(Instant::now() + Duration::from_secs(1));
    assert!(text.contains("hollyhead_directory_age_milliseconds{part=\"routing\"} -1"), "{text}");
    assert!(text.contains("hollyhead_members 1"), "{text}");
}
