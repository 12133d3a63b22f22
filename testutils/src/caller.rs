//! Stand-in for a caller, which reaches services through the fabric with its own TCP stack.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::time::Instant;

use crate::fabric::Fabric;
use crate::stack::Stack;

/// Longest wait for a packet before the stack is polled again.
const MAX_POLL_DELAY: Duration = Duration::from_millis(5);
const FIRST_PORT: u16 = 40_000;

/// A caller with one IP address. Its connections make progress only during calls of
/// [`Caller::exchange`] and [`Caller::step`].
pub struct Caller {
    fabric: Arc<Fabric>,
    stack: Stack,
    next_port: u16,
}

impl Caller {
    /// Creates a caller with the address `ip`.
    pub fn new(fabric: Arc<Fabric>, ip: IpAddr) -> Self {
        Self { fabric, stack: Stack::new(ip, Instant::now()), next_port: FIRST_PORT }
    }

    /// Begins to open a connection to a service, and returns before it is established.
    pub fn connect(&mut self, service: SocketAddr) -> SocketHandle {
        let port = self.next_port;
        self.next_port += 1;
        self.stack.connect(service, port)
    }

    /// Sends `data` on a connection and returns the first bytes that arrive, at least `expected`
    /// many.
    ///
    /// # Errors
    ///
    /// Returns an error with the number of sent and received bytes if the connection closes or
    /// `timeout` passes, and an error if a packet cannot be sent or received.
    pub async fn exchange(
        &mut self,
        handle: SocketHandle,
        data: &[u8],
        expected: usize,
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        let until = Instant::now() + timeout;
        let (mut sent, mut received) = (0, Vec::with_capacity(expected));
        while received.len() < expected {
            if Instant::now() >= until {
                bail!(
                    "timed out after {timeout:?}: sent {sent} bytes, received {} of {expected}",
                    received.len()
                );
            }
            let socket = self.stack.tcp(handle);
            if !socket.is_open() {
                bail!(
                    "connection closed: sent {sent} bytes, received {} of {expected}",
                    received.len()
                );
            }
            if socket.can_send() && sent < data.len() {
                sent += socket
                    .send_slice(&data[sent..])
                    .context("sending on a connection of the caller")?;
            }
            while socket.can_recv() {
                let part = socket
                    .recv(|data| (data.len(), data.to_vec()))
                    .context("receiving on a connection of the caller")?;
                received.extend_from_slice(&part);
            }
            self.step().await?;
        }
        Ok(received)
    }

    /// Returns the TCP socket of a connection.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.stack.tcp(handle)
    }

    /// Begins to close a connection. Later calls of [`Caller::step`] complete the close.
    pub fn close(&mut self, handle: SocketHandle) {
        self.stack.tcp(handle).close();
    }

    /// Sends the packets that are due, and receives at most one packet, for which it waits a few
    /// milliseconds at most.
    ///
    /// # Errors
    ///
    /// Returns an error if a packet cannot be sent or received.
    pub async fn step(&mut self) -> Result<()> {
        self.stack.poll(Instant::now());
        for packet in self.stack.drain() {
            self.fabric.spray(&packet).await?;
        }
        let wait =
            self.stack.poll_delay(Instant::now()).unwrap_or(MAX_POLL_DELAY).min(MAX_POLL_DELAY);
        if let Ok(packet) = tokio::time::timeout(wait, self.fabric.receive()).await {
            self.stack.push(packet?);
        }
        Ok(())
    }
}
