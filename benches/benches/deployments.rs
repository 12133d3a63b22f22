//! Runs the two deployments at their current size with real sockets: open feeds during a
//! shift change, and all traffic while a data centre goes out of service and returns.
//!
//! Each prints a table; a period of steady state in the same run is the baseline. The argument
//! `abay` or `archive` selects one deployment.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use testutils::feeds::Feeds;
use testutils::local_deployment::LocalDeployment;
use testutils::request_load::{RequestLoad, RequestTemplate};
use tokio::time::Instant;

const FEED_COUNT: usize = 150;
const FEED_INTERVAL: Duration = Duration::from_millis(200);
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an answer after which a feed counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const SEARCH_WORKERS: usize = 16;
const DOWNLOAD_WORKERS: usize = 4;
const DOWNLOAD_BYTES: usize = 200_000;
const STEADY_TIME: Duration = Duration::from_secs(4);
const OUT_OF_SERVICE_TIME: Duration = Duration::from_secs(12);
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Names that describe a deployment.
struct DeploymentSpec {
    region: &'static str,
    data_centres: [&'static str; 3],
    live_service: &'static str,
    bulk_service: &'static str,
}

const ABAY: DeploymentSpec = DeploymentSpec {
    region: "horn-east",
    data_centres: ["horn-east-a", "horn-east-b", "horn-east-c"],
    live_service: "quaydesk",
    bulk_service: "rosterbook",
};

const ARCHIVE: DeploymentSpec = DeploymentSpec {
    region: "gnr",
    data_centres: ["gnr-sec10", "gnr-infocity", "gnr-gift"],
    live_service: "mailroom",
    bulk_service: "bundler",
};

#[tokio::main]
async fn main() -> Result<()> {
    let selected = std::env::args().nth(1).unwrap_or_default();
    if selected != "archive" {
        shift_change().await?;
    }
    if selected != "abay" {
        departure().await?;
    }
    Ok(())
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

async fn start(spec: &DeploymentSpec) -> Result<LocalDeployment> {
    let mut deployment = LocalDeployment::new(1).await?;
    for data_centre in spec.data_centres {
        deployment.add_data_centre(data_centre, spec.region);
    }
    deployment.add_service(spec.live_service, address(1), 5).await?;
    deployment.add_service(spec.bulk_service, address(2), 2).await?;
    for number in 0..8 {
        let data_centre = spec.data_centres[number % 3];
        deployment.add_instance(&format!("entry-{number}"), data_centre).await?;
    }
    deployment.wait_until_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(deployment)
}

fn gateways(deployment: &LocalDeployment) -> Vec<SocketAddr> {
    deployment.entries.iter().map(|(_, entry)| entry.addresses().request).collect()
}

async fn open_feeds(deployment: &LocalDeployment, spec: &DeploymentSpec) -> Result<Feeds> {
    let ip = [192, 0, 2, 1].into();
    let service = (spec.live_service, address(1));
    Feeds::open(deployment.fabric.clone(), ip, service, FEED_COUNT, FEED_INTERVAL, OPEN_TIMEOUT)
        .await
}

async fn run_feeds(feeds: &mut Feeds, until: Instant) -> Result<()> {
    while Instant::now() < until {
        feeds.step().await?;
    }
    Ok(())
}

/// Replaces all eight instances one after another while feeds are open.
async fn shift_change() -> Result<()> {
    let mut deployment = start(&ABAY).await?;
    let mut feeds = open_feeds(&deployment, &ABAY).await?;
    run_feeds(&mut feeds, Instant::now() + STEADY_TIME).await?;
    println!("shift change: steady, longest wait {:?}", feeds.longest_wait());
    for number in 8..16 {
        let name = format!("entry-{number}");
        let replacement = deployment.replace_instance(0, &name);
        tokio::pin!(replacement);
        loop {
            tokio::select! {
                result = &mut replacement => break result?,
                result = feeds.step() => result?,
            }
        }
    }
    run_feeds(&mut feeds, Instant::now() + STEADY_TIME).await?;
    println!(
        "shift change: 8 instances replaced, {:?}, longest wait {:?}",
        feeds.counts(STALL_TIMEOUT),
        feeds.longest_wait()
    );
    Ok(())
}

/// Takes one of three data centres out of service and returns it, under feeds, searches and
/// downloads.
async fn departure() -> Result<()> {
    let deployment = start(&ARCHIVE).await?;
    let mut feeds = open_feeds(&deployment, &ARCHIVE).await?;
    let affected = open_flows_in(&deployment, ARCHIVE.data_centres[1]);
    let search = RequestTemplate {
        service: ARCHIVE.live_service.into(),
        body_bytes: 100,
        pause: Duration::from_millis(20),
    };
    let download = RequestTemplate {
        service: ARCHIVE.bulk_service.into(),
        body_bytes: DOWNLOAD_BYTES,
        pause: Duration::from_millis(20),
    };
    let searches = RequestLoad::start(gateways(&deployment), &search, SEARCH_WORKERS);
    let downloads = RequestLoad::start(gateways(&deployment), &download, DOWNLOAD_WORKERS);
    println!("departure: {affected} of {FEED_COUNT} feeds end in {}", ARCHIVE.data_centres[1]);
    for (phase, state, time) in [
        ("steady", "in", STEADY_TIME),
        ("out", "out", OUT_OF_SERVICE_TIME),
        ("back", "in", RECOVERY_TIME),
    ] {
        deployment.set_data_centre(ARCHIVE.data_centres[1], ARCHIVE.region, state);
        let until = Instant::now() + time;
        while Instant::now() < until {
            run_feeds(&mut feeds, Instant::now() + REPORT_INTERVAL).await?;
            let latencies = searches.take_latencies();
            println!(
                "departure: {phase:<6} feeds {:?} searches {:?} p99 {:?} downloads {:?}",
                feeds.counts(STALL_TIMEOUT),
                searches.take_counts(),
                latencies.get(latencies.len() * 99 / 100),
                downloads.take_counts(),
            );
        }
    }
    searches.stop().await;
    downloads.stop().await;
    Ok(())
}

/// Returns the number of open flows to the targets of a data centre.
fn open_flows_in(deployment: &LocalDeployment, data_centre: &str) -> u32 {
    let targets = deployment.targets.iter().filter(|target| target.name.contains(data_centre));
    let open = |name: &str| -> u32 {
        let handles =
            deployment.entries.iter().filter_map(|(_, entry)| entry.kernel().target(name));
        handles.map(|handle| handle.open_flows()).sum()
    };
    targets.map(|target| open(&target.name)).sum()
}
