//! End-to-end tests of the packet forwarder and the request gateway, with separate processes on
//! loopback.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use http::Method;
use serde_json::Value;
use testutils::caller::Caller;
use testutils::deployment::{http_call, Deployment};

const ENTRY: &str = env!("CARGO_BIN_EXE_hollyhead-entry");
const TRANSFER_BYTES: usize = 1_000_000;
const REQUESTS: usize = 200;
const TIMEOUT: Duration = Duration::from_secs(60);

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

async fn deployment(test: &str) -> Result<Deployment> {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let mut deployment = Deployment::new(Path::new(ENTRY), &dir, 1).await?;
    for name in ["entry-1", "entry-2", "entry-3"] {
        deployment.add_instance(name, "horn-east-a").await?;
    }
    for (name, last) in [("quaydesk", 1), ("rosterbook", 2)] {
        deployment.add_service(name, address(last), &["horn-east-a"], 3).await?;
    }
    deployment.wait_until_ready().await?;
    Ok(deployment)
}

fn pattern(seed: u8) -> Vec<u8> {
    (0..TRANSFER_BYTES).map(|index| (index / 251 + index * 7) as u8 ^ seed).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn packet_forwarder_sprayed_transfer_arrives_complete() -> Result<()> {
    let deployment = deployment("packet_forwarder").await?;
    let mut caller = Caller::new(deployment.fabric.clone(), [192, 0, 2, 1].into());
    for (index, service) in deployment.services.iter().enumerate() {
        let data = pattern(index as u8);
        let banner = format!("{}\n", service.name);
        let connection = caller.connect(service.address);
        let expected = banner.len() + data.len();
        let response = caller.exchange(connection, &data, expected, TIMEOUT).await?;
        assert_eq!(&response[..banner.len()], banner.as_bytes());
        assert!(
            response[banner.len()..] == data,
            "bytes echoed by {} differ from the bytes sent",
            service.name
        );
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_gateway_each_caller_gets_own_response() -> Result<()> {
    let deployment = deployment("request_gateway").await?;
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let instance = &deployment.instances[number % deployment.instances.len()];
        let service = &deployment.services[number / 3 % 2].name;
        let url = format!("http://{}/orders", instance.process.address("request")?);
        calls.push(call(url, service.clone(), format!("request-{number}")));
    }
    let mut ids = HashSet::new();
    for result in futures::future::join_all(calls).await {
        let (service, id, response) = result?;
        assert_eq!(response["service"], service.as_str());
        assert_eq!(response["id"], id.as_str());
        assert_eq!(response["body"], format!("body of {id}"));
        ids.insert(id);
    }
    assert_eq!(ids.len(), REQUESTS);
    Ok(())
}

async fn call(url: String, service: String, id: String) -> Result<(String, String, Value)> {
    let headers = [("host", service.as_str()), ("x-request-id", id.as_str())];
    let body = format!("body of {id}").into_bytes();
    let (status, body) = http_call(Method::POST, &url, &headers, body).await?;
    anyhow::ensure!(status == 200, "status {status}: {}", String::from_utf8_lossy(&body));
    let response = serde_json::from_slice(&body)?;
    Ok((service, id, response))
}
