//! Active health check of a target over HTTP, made only when the target is suspected or down.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which a target's host must accept the connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which a target must respond once the connection is accepted.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Length of the start of a response up to the end of the status code, such as `HTTP/1.1 200`.
const STATUS_PREFIX_BYTES: usize = 12;

/// Outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The target responded with status 200.
    Healthy,
    /// The target responded with another status, since it is unhealthy or shutting down.
    Unwilling,
    /// The target accepted the connection and did not respond within [`RESPONSE_TIMEOUT`].
    Busy,
    /// The target's host refused the connection, since no process listens at the address.
    Refused,
    /// The connection was not established within [`CONNECT_TIMEOUT`], or failed otherwise.
    Silent,
    /// The connection was accepted, and reset or closed without a valid response.
    Aborted,
}

/// Requests `path` from a target and classifies the response.
pub async fn check(address: SocketAddr, path: &str) -> CheckOutcome {
    let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => return CheckOutcome::Refused,
        Ok(Err(_)) | Err(_) => return CheckOutcome::Silent,
    };
    match timeout(RESPONSE_TIMEOUT, request_status(&mut stream, address, path)).await {
        Ok(Some(200)) => CheckOutcome::Healthy,
        Ok(Some(_)) => CheckOutcome::Unwilling,
        Ok(None) => CheckOutcome::Aborted,
        Err(_) => CheckOutcome::Busy,
    }
}

/// Returns the status code of the response, or `None` when the connection failed or the response is
/// not HTTP.
async fn request_status(stream: &mut TcpStream, address: SocketAddr, path: &str) -> Option<u16> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut line = [0; STATUS_PREFIX_BYTES];
    stream.read_exact(&mut line).await.ok()?;
    std::str::from_utf8(line.get(9..12)?).ok()?.parse().ok()
}
