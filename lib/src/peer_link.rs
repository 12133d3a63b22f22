//! Authenticated messages between this instance and its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::envelope::{EnvelopeError, Origin, PeerKey, Sealer};
use crate::ids::{Epoch, InstanceId};
use crate::message::{Frame, Message};
use crate::network::Network;
use crate::paced_sender::PacedSender;
use crate::view::View;

/// Parameters of a [`PeerLink`].
pub struct PeerLinkSetup {
    /// Name of this instance.
    pub id: InstanceId,
    /// Epoch of this run of the instance.
    pub epoch: Epoch,
    /// Keys with their numbers. The first key seals; all of them open.
    pub keys: Vec<(u8, PeerKey)>,
    /// Network that carries the datagrams.
    pub network: Arc<dyn Network>,
    /// Speed of the instance's link, in megabits per second.
    pub link_mbps: f64,
    /// Counter of the bytes sent.
    pub sent_bytes: Counter,
}

/// Seals, sends and opens messages between instances.
pub struct PeerLink {
    id: InstanceId,
    sealer: Sealer,
    network: Arc<dyn Network>,
    paced: Mutex<PacedSender>,
    sent_bytes: Counter,
}

impl PeerLink {
    /// Creates a link that paces bulk messages at a share of the link's speed.
    pub fn new(setup: PeerLinkSetup) -> Self {
        Self {
            sealer: Sealer::new(setup.id.clone(), setup.epoch, setup.keys),
            id: setup.id,
            network: setup.network,
            paced: Mutex::new(PacedSender::new(setup.link_mbps)),
            sent_bytes: setup.sent_bytes,
        }
    }

    /// Opens a sealed message, and returns its origin and contents.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the message is refused.
    pub fn open<'a>(&self, buf: &'a [u8]) -> Result<(Origin, &'a [u8]), EnvelopeError> {
        self.sealer.open(buf)
    }

    /// Raises the epoch of this run.
    pub fn raise_epoch(&self, epoch: Epoch) {
        self.sealer.raise_epoch(epoch);
    }

    /// Changes the speed of the link, in megabits per second.
    pub fn set_link_mbps(&self, link_mbps: f64) {
        self.paced.lock().set_link_mbps(link_mbps);
    }

    /// Sends a message to each address at once, without pacing.
    pub fn send(&self, to: impl IntoIterator<Item = SocketAddr>, message: Message) {
        let Some(buf) = self.seal(message) else { return };
        for to in to {
            self.send_bytes(to, &buf);
        }
    }

    /// Sends a message to all other instances in the view, without pacing.
    pub fn broadcast(&self, view: &View, message: Message) {
        let others = view.members().iter().filter(|member| member.id != self.id);
        self.send(others.map(|member| member.peer), message);
    }

    /// Queues a message of a bulk transfer, and sends it when pacing allows. The message is dropped
    /// if the queue is full.
    pub fn send_paced(
        &self,
        to: impl IntoIterator<Item = SocketAddr>,
        message: Message,
        now: Instant,
    ) {
        let Some(buf) = self.seal(message) else { return };
        let buf: Arc<[u8]> = buf.into();
        for to in to {
            if !self.paced.lock().push(to, Arc::clone(&buf)) {
                log::warn!(to:% = to; "send queue full; message dropped");
            }
        }
        self.send_queued(now);
    }

    /// Sends the queued messages that pacing allows to be sent now.
    pub fn send_queued(&self, now: Instant) {
        let due = self.paced.lock().take_due(now);
        for (to, buf) in due {
            self.send_bytes(to, &buf);
        }
    }

    fn send_bytes(&self, to: SocketAddr, buf: &[u8]) {
        self.network.send(to, buf);
        self.sent_bytes.inc_by(buf.len() as u64);
    }

    fn seal(&self, message: Message) -> Option<Vec<u8>> {
        match Frame::Control(message).encode() {
            Ok(body) => Some(self.sealer.seal(&body)),
            Err(err) => {
                log::error!("failed to encode message to peers: {err}");
                None
            }
        }
    }
}
