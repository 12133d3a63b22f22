//! Runs one stand-in as a separate process, and prints its addresses as one line of JSON, from
//! which the test that started it reads them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bpaf::Bpaf;
use serde_json::json;
use testutils::backend_server::{BackendServer, Journal};
use testutils::memory_platform::MemoryPlatform;
use testutils::platform_server;
use tokio::net::{TcpListener, UdpSocket};

/// Runs a stand-in on loopback, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum StandIn {
    /// The platform's object API
    #[bpaf(command)]
    Platform,
    /// A backend server
    #[bpaf(command("backend-server"))]
    BackendServer {
        /// Name of the target
        #[bpaf(argument("NAME"))]
        name: String,
        /// Name of the service
        #[bpaf(argument("NAME"))]
        service: String,
        /// Address of the service in the packet forwarder
        #[bpaf(argument("ADDRESS"))]
        service_address: SocketAddr,
        /// Time that a request takes, in milliseconds
        #[bpaf(argument("MILLISECONDS"), fallback(1))]
        service_ms: u64,
    },
}

#[tokio::main]
async fn main() -> Result<()> {
    match stand_in().run() {
        StandIn::Platform => run_platform().await,
        StandIn::BackendServer { name, service, service_address, service_ms } => {
            let service_time = Duration::from_millis(service_ms);
            let server = BackendServer { name, service, service_address, service_time };
            run_backend_server(server).await
        }
    }
}

async fn run_platform() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", json!({ "platform": listener.local_addr()? }));
    platform_server::serve(Arc::new(MemoryPlatform::default()), listener).await;
    Ok(())
}

async fn run_backend_server(server: BackendServer) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addresses = json!({ "tunnel": socket.local_addr()?, "request": listener.local_addr()? });
    println!("{addresses}");
    let requests = server.clone().serve_requests(listener, Arc::new(Journal::default()));
    tokio::join!(requests, server.serve_flows(socket));
    Ok(())
}
