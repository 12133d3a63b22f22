//! Long-lived connections stay open while instance processes are replaced and killed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use smoltcp::iface::SocketHandle;
use testutils::caller::Caller;
use testutils::deployment::Deployment;
use testutils::fabric::Fabric;

const ENTRY: &str = env!("CARGO_BIN_EXE_hollyhead-entry");
const DATA_CENTRE: &str = "horn-east-a";
const SERVICE: &str = "quaydesk";
const FEEDS: usize = 20;
const MESSAGE: &[u8] = b"assignment of a crane to a shift";
const TIMEOUT: Duration = Duration::from_secs(20);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

async fn deployment(test: &str) -> Result<Deployment> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let mut deployment = Deployment::new(Path::new(ENTRY), &dir, 1).await?;
    for number in 1..=3 {
        deployment.add_instance(&format!("entry-{number}"), DATA_CENTRE).await?;
    }
    deployment.add_service(SERVICE, address(), &[DATA_CENTRE], 3).await?;
    deployment.wait_until_ready().await?;
    Ok(deployment)
}

/// Long-lived connections of one caller to echo targets.
struct Feeds {
    caller: Caller,
    connections: Vec<SocketHandle>,
}

impl Feeds {
    async fn open(fabric: Arc<Fabric>) -> Result<Self> {
        let mut caller = Caller::new(fabric, [192, 0, 2, 1].into());
        let mut connections = Vec::new();
        for _ in 0..FEEDS {
            let connection = caller.connect(address());
            caller.exchange(connection, &[], SERVICE.len() + 1, TIMEOUT).await?;
            connections.push(connection);
        }
        Ok(Self { caller, connections })
    }

    async fn exchange(&mut self) -> Result<()> {
        for (number, connection) in self.connections.iter().enumerate() {
            let answer = self.caller.exchange(*connection, MESSAGE, MESSAGE.len(), TIMEOUT).await;
            let answer = answer.with_context(|| format!("feed {number}"))?;
            anyhow::ensure!(
                answer == MESSAGE,
                "feed {number} did not receive the message that it sent"
            );
        }
        Ok(())
    }

    /// Exchanges messages until `stop` is set, and once more after that.
    async fn run(mut self, stop: Arc<AtomicBool>) -> Result<()> {
        while !stop.load(Ordering::SeqCst) {
            self.exchange().await?;
        }
        self.exchange().await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replace_every_instance_after_table_change_keeps_feeds() -> Result<()> {
    let mut deployment = deployment("replacement").await?;
    let stop = Arc::new(AtomicBool::new(false));
    let feeds = Feeds::open(deployment.fabric.clone()).await?;
    let feeds = tokio::spawn(feeds.run(stop.clone()));
    deployment.add_targets(SERVICE, DATA_CENTRE, 3).await?;
    deployment.wait_until_ready().await?;
    for number in 4..=6 {
        deployment.replace_instance(0, &format!("entry-{number}")).await?;
    }
    stop.store(true, Ordering::SeqCst);
    feeds.await?
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_one_instance_keeps_feeds() -> Result<()> {
    let mut deployment = deployment("kill").await?;
    let mut feeds = Feeds::open(deployment.fabric.clone()).await?;
    feeds.exchange().await?;
    deployment.kill_instance(0).await?;
    feeds.exchange().await
}
