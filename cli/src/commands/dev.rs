//! `hollyhead dev`: runs a small deployment in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::collections::HashMap;
use hollyhead::entry::Entry;
use hollyhead::metrics::OutcomeLabel;
use testutils::caller::Caller;
use testutils::deployment::http_call;
use testutils::fabric::Fabric;
use testutils::local_deployment::LocalDeployment;
use tokio::time::Instant;

const DATA_CENTRE: &str = "local-a";
const SERVICES: [(&str, SocketAddr); 2] = [("feeds", service(1)), ("orders", service(2))];
const TARGETS_PER_SERVICE: usize = 3;
const FLOWS: usize = 6;
const MESSAGE_BYTES: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(50);
const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

const fn service(last: u8) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, last)), 7000)
}

/// Run a small deployment in one process, with stand-ins and a little traffic
///
/// Example: hollyhead dev --instances 3
#[derive(Clone, Debug, Bpaf)]
pub struct Dev {
    /// Number of entry instances, 1 to 16
    #[bpaf(argument("COUNT"), fallback(3), guard(is_count, "must be from 1 to 16"))]
    instances: usize,
    /// Stop after this many seconds; without it, run until interrupted
    #[bpaf(argument("SECONDS"), optional)]
    seconds: Option<u64>,
}

fn is_count(count: &usize) -> bool {
    (1..=16).contains(count)
}

impl Dev {
    /// Runs the deployment.
    pub fn run(&self) -> Result<ExitCode> {
        let runtime = tokio::runtime::Runtime::new().context("cannot start threads")?;
        runtime.block_on(self.serve())?;
        Ok(ExitCode::SUCCESS)
    }

    async fn serve(&self) -> Result<()> {
        let deployment = self.start().await?;
        print_addresses(&deployment);
        let until = self.seconds.map(|seconds| Instant::now() + Duration::from_secs(seconds));
        let gateways = deployment.entries.iter().map(|(_, entry)| entry.addresses().request);
        let flows = tokio::spawn(drive_flows(Arc::clone(&deployment.fabric)));
        let requests = tokio::spawn(drive_requests(gateways.collect()));
        let result = tokio::select! {
            result = flows => result.context("traffic stopped")?,
            result = requests => result.context("traffic stopped")?,
            () = show_table(&deployment, until) => Ok(()),
            result = tokio::signal::ctrl_c() => result.context("cannot wait for the interrupt"),
        };
        result
    }

    async fn start(&self) -> Result<LocalDeployment> {
        let mut deployment = LocalDeployment::new(1).await?;
        deployment.add_data_centre(DATA_CENTRE, "local");
        for (name, address) in SERVICES {
            deployment.add_service(name, address, TARGETS_PER_SERVICE).await?;
        }
        for number in 1..=self.instances {
            deployment.add_instance(&format!("entry-{number}"), DATA_CENTRE).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }
}

fn print_addresses(deployment: &LocalDeployment) {
    println!("platform   http://{}", deployment.platform_address);
    for (name, entry) in &deployment.entries {
        let addresses = entry.addresses();
        println!(
            "{name:<10} requests http://{}  admin http://{}  packets udp {}",
            addresses.request, addresses.admin, addresses.flow
        );
    }
    if let Some((_, entry)) = deployment.entries.first() {
        let (gateway, admin) = (entry.addresses().request, entry.addresses().admin);
        println!("\ntry:  curl -H 'Host: orders' http://{gateway}/today");
        println!("      curl http://{admin}/status\n");
    }
}

async fn drive_flows(fabric: Arc<Fabric>) -> Result<()> {
    let mut caller = Caller::new(fabric, [192, 0, 2, 1].into());
    let mut connections = Vec::new();
    for number in 0..FLOWS {
        let (name, address) = SERVICES[number % SERVICES.len()];
        let connection = caller.connect(address);
        caller.exchange(connection, &[], name.len() + 1, EXCHANGE_TIMEOUT).await?;
        connections.push(connection);
    }
    let message = vec![7; MESSAGE_BYTES];
    loop {
        for connection in &connections {
            caller.exchange(*connection, &message, message.len(), EXCHANGE_TIMEOUT).await?;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn drive_requests(gateways: Vec<SocketAddr>) -> Result<()> {
    for number in 0_usize.. {
        let gateway = gateways[number % gateways.len()];
        let (name, _) = SERVICES[number % SERVICES.len()];
        let url = format!("http://{gateway}/{number}");
        http_call(http::Method::GET, &url, &[("host", name)], Vec::new()).await?;
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

async fn show_table(deployment: &LocalDeployment, until: Option<Instant>) {
    loop {
        tokio::time::sleep(TABLE_INTERVAL).await;
        println!("{}", table(deployment));
        if until.is_some_and(|until| Instant::now() >= until) {
            return;
        }
    }
}

fn table(deployment: &LocalDeployment) -> String {
    let mut lines = vec![format!(
        "{:<10} {:>7} {:>7} {:>10} {:>9} {:>9}",
        "instance", "members", "flows", "delivered", "relayed", "requests"
    )];
    lines.extend(deployment.entries.iter().map(|(name, entry)| instance_line(name, entry)));
    lines.push(format!("{:<24} {:>7} {:>9}", "target", "flows", "requests"));
    let flows = flows_by_target(deployment);
    lines.extend(deployment.targets.iter().map(|target| {
        let flows = flows.get(target.name.as_str()).copied().unwrap_or_default();
        format!("{:<24} {flows:>7} {:>9}", target.name, target.journal.executions().len())
    }));
    lines.push(String::new());
    lines.join("\n")
}

fn instance_line(name: &str, entry: &Entry) -> String {
    let kernel = entry.kernel();
    let packets = |outcome| kernel.metrics.packets.get_or_create(&OutcomeLabel { outcome }).get();
    let requests = kernel.metrics.requests.get_or_create(&OutcomeLabel { outcome: "answered" });
    format!(
        "{name:<10} {:>7} {:>7} {:>10} {:>9} {:>9}",
        kernel.plan().view.members().len(),
        kernel.steering.bindings().len(),
        packets("delivered"),
        packets("relayed"),
        requests.get(),
    )
}

fn flows_by_target(deployment: &LocalDeployment) -> HashMap<&str, u32> {
    let mut flows = HashMap::default();
    for (_, entry) in &deployment.entries {
        for target in &deployment.targets {
            let open = entry.kernel().target(&target.name).map_or(0, |handle| handle.open_flows());
            *flows.entry(target.name.as_str()).or_default() += open;
        }
    }
    flows
}
