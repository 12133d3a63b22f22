//! A running instance counts malformed input at each of its addresses and keeps running.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result};
use http::Method;
use testutils::deployment::{http_call, Deployment};

const ENTRY: &str = env!("CARGO_BIN_EXE_hollyhead-entry");
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HEADER_BYTES: usize = 1_000_000;

fn send_malformed(to: SocketAddr) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let packet = [0x45; 60];
    for len in 0..packet.len() {
        socket.send_to(&packet[..len], to)?;
    }
    socket.send_to(&[0xff; 9_100], to)?;
    Ok(())
}

fn response_to(gateway: SocketAddr, request: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    // The server may close the connection while the request is still being written.
    let written = stream.write_all(request);
    let mut response = [0; 1_024];
    let len = match (written, stream.read(&mut response)) {
        (_, Ok(len)) => len,
        (Err(_), Err(_)) => 0,
        (Ok(()), Err(err)) => return Err(err.into()),
    };
    Ok(String::from_utf8_lossy(&response[..len]).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_malformed_input_is_counted_and_survived() -> Result<()> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad_input");
    let mut deployment = Deployment::new(Path::new(ENTRY), &dir, 1).await?;
    deployment.add_instance("entry-1", "horn-east-a").await?;
    deployment.add_service("quaydesk", "10.0.0.1:7000".parse()?, &["horn-east-a"], 1).await?;
    deployment.wait_until_ready().await?;
    let process = &deployment.instances[0].process;
    let (gateway, admin) = (process.address("request")?, process.address("admin")?);

    send_malformed(process.address("flow")?)?;
    send_malformed(process.address("peer")?)?;
    let response = response_to(gateway, b"NONSENSE\r\n\r\n")?;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    let mut request = b"GET / HTTP/1.1\r\nhost: quaydesk\r\nx-long: ".to_vec();
    request.extend(std::iter::repeat_n(b'x', HEADER_BYTES));
    let response = response_to(gateway, &request)?;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");

    wait_for_metric(admin, "hollyhead_packets_total{outcome=\"malformed\"}").await?;
    wait_for_metric(admin, "hollyhead_refused_datagrams_total{outcome=\"malformed\"}").await
}

async fn wait_for_metric(admin: SocketAddr, name: &str) -> Result<()> {
    let url = format!("http://{admin}/metrics");
    let wait = async {
        loop {
            let (_, body) = http_call(Method::GET, &url, &[], Vec::new()).await?;
            if String::from_utf8_lossy(&body).contains(name) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READ_TIMEOUT, wait)
        .await
        .with_context(|| format!("metric {name} did not appear within {READ_TIMEOUT:?}"))?
}
