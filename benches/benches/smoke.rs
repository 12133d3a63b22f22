//! Measures the packets and requests per second through one or several instances and without any.
//!
//! Prints each rate and its ratio to the rate without an instance in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::metrics::OutcomeLabel;
use hollyhead::packet::{self, Control};
use testutils::deployment::http_call;
use testutils::local_deployment::LocalDeployment;
use tokio::net::UdpSocket;

const SERVICE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)), 7000);
const PACKETS: usize = 100_000;
/// Number of packets in flight.
const WINDOW_PACKETS: usize = 64;
const PAYLOAD_BYTES: usize = 512;
const REQUESTS: usize = 2_000;
const CONCURRENT_REQUESTS: usize = 8;
/// Time without an arriving packet after which the packets in flight count as lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() -> Result<()> {
    let direct = packets_per_second(None).await?;
    let through = packets_per_second(Some(1)).await?;
    let relayed = packets_per_second(Some(3)).await?;
    println!("packets: direct {direct:.0}/s");
    println!("packets: one instance {through:.0}/s, ratio {:.2}", through / direct);
    println!("packets: three instances {relayed:.0}/s, ratio {:.2}", relayed / direct);
    let (direct, through) = requests_per_second().await?;
    println!("requests: direct {direct:.0}/s");
    println!("requests: one instance {through:.0}/s, ratio {:.2}", through / direct);
    Ok(())
}

/// Returns the rate at which packets of one UDP flow reach a sink, through `instances` instances or
/// directly.
async fn packets_per_second(instances: Option<usize>) -> Result<f64> {
    let sink = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let key = FlowKey {
        protocol: Protocol::Udp,
        caller: SocketAddr::from(([192, 0, 2, 1], 40_000)),
        service: SERVICE,
    };
    let buf = packet::build(&key, Control::default(), &[0; PAYLOAD_BYTES])?;
    let mut deployment = LocalDeployment::new(1).await?;
    let mut addresses = vec![sink.local_addr()?];
    if let Some(count) = instances {
        start_instances(&mut deployment, count, &sink).await?;
        addresses = deployment.entries.iter().map(|(_, entry)| entry.addresses().flow).collect();
    }
    let rate = measure_packet_rate(&addresses, &buf, &sink).await?;
    print_relay_share(&deployment);
    Ok(rate)
}

async fn start_instances(
    deployment: &mut LocalDeployment,
    count: usize,
    sink: &UdpSocket,
) -> Result<()> {
    deployment.add_data_centre("local-a", "local");
    let mut service = testutils::records::service("feeds", SERVICE);
    service["addresses"][0]["protocol"] = "udp".into();
    deployment.platform.force_put("service", "feeds", service);
    let tunnel = sink.local_addr()?;
    let target = testutils::records::target("feeds-1", "feeds", "local-a", tunnel, tunnel);
    deployment.platform.force_put("target", "feeds-1", target);
    for number in 0..count {
        deployment.add_instance(&format!("entry-{number}"), "local-a").await?;
    }
    // Waits until the view, the configuration and the first grants have settled.
    tokio::time::sleep(Duration::from_secs(4)).await;
    Ok(())
}

/// Sends packets with a fixed window, so that full socket buffers do not cause losses, and returns
/// the packets per second.
///
/// # Errors
///
/// Returns an error if a packet is lost.
async fn measure_packet_rate(
    addresses: &[SocketAddr],
    buf: &[u8],
    sink: &UdpSocket,
) -> Result<f64> {
    let sender = UdpSocket::bind("127.0.0.1:0").await?;
    let mut received = vec![0; buf.len()];
    let start = Instant::now();
    let (mut sent, mut arrived) = (0, 0);
    while arrived < PACKETS {
        while sent < PACKETS && sent - arrived < WINDOW_PACKETS {
            sender.send_to(buf, addresses[sent % addresses.len()]).await?;
            sent += 1;
        }
        match tokio::time::timeout(RECEIVE_TIMEOUT, sink.recv_from(&mut received)).await {
            Ok(result) => drop(result.context("receiving at the sink")?),
            Err(_) => anyhow::bail!(
                "{} of {sent} packets lost: none arrived within {RECEIVE_TIMEOUT:?}",
                sent - arrived
            ),
        }
        arrived += 1;
    }
    Ok(PACKETS as f64 / start.elapsed().as_secs_f64())
}

fn print_relay_share(deployment: &LocalDeployment) {
    let sum = |outcome: &'static str| -> u64 {
        let counts = deployment.entries.iter().map(|(_, entry)| {
            entry.kernel().metrics.packets.get_or_create(&OutcomeLabel { outcome }).get()
        });
        counts.sum()
    };
    let (relayed, delivered) = (sum("relayed"), sum("delivered"));
    if delivered > 0 {
        println!("relay share: {:.2} relays a packet", relayed as f64 / delivered as f64);
    }
}

async fn requests_per_second() -> Result<(f64, f64)> {
    let mut deployment = LocalDeployment::new(1).await?;
    deployment.add_data_centre("local-a", "local");
    deployment.add_service("orders", SERVICE, 8).await?;
    deployment.add_instance("entry-1", "local-a").await?;
    deployment.wait_until_ready().await?;
    let plan = deployment.entries[0].1.kernel().plan();
    let direct: Vec<_> = plan.config.targets().map(|target| target.address).collect();
    let direct = measure_request_rate(&direct).await?;
    let through = measure_request_rate(&[deployment.entries[0].1.addresses().request]).await?;
    Ok((direct, through))
}

async fn measure_request_rate(addresses: &[SocketAddr]) -> Result<f64> {
    let start = Instant::now();
    let workers = (0..CONCURRENT_REQUESTS).map(|worker| {
        let address = addresses[worker % addresses.len()];
        async move {
            for _ in 0..REQUESTS / CONCURRENT_REQUESTS {
                let url = format!("http://{address}/today");
                let headers = [("host", "orders")];
                let (status, _) = http_call(http::Method::GET, &url, &headers, Vec::new()).await?;
                anyhow::ensure!(status == 200, "request to {url} answered with status {status}");
            }
            Ok(())
        }
    });
    futures::future::try_join_all(workers).await?;
    Ok(REQUESTS as f64 / start.elapsed().as_secs_f64())
}
