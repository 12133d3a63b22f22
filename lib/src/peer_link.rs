//! Sealed messages between this instance and the others.

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

/// What a link is created from.
pub struct PeerLinkSetup {
    /// Name of this instance.
    pub id: InstanceId,
    /// Number of the run.
    pub epoch: Epoch,
    /// Keys; the first one seals.
    pub keys: Vec<(u8, PeerKey)>,
    /// Sends datagrams.
    pub network: Arc<dyn Network>,
    /// Speed of the instance's link, in megabits a second.
    pub link_mbps: f64,
    /// Counts the bytes that are sent.
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
    /// Creates a link.
    pub fn new(setup: PeerLinkSetup) -> Self {
        Self {
            sealer: Sealer::new(setup.id.clone(), setup.epoch, setup.keys),
            id: setup.id,
            network: setup.network,
            paced: Mutex::new(PacedSender::new(setup.link_mbps)),
            sent_bytes: setup.sent_bytes,
        }
    }

    /// Opens a message.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    pub fn open<'a>(&self, buf: &'a [u8]) -> Result<(Origin, &'a [u8]), EnvelopeError> {
        self.sealer.open(buf)
    }

    /// Takes a larger run number.
    pub fn raise_epoch(&self, epoch: Epoch) {
        self.sealer.raise_epoch(epoch);
    }

    /// Takes another speed of the link, in megabits a second.
    pub fn set_link_mbps(&self, link_mbps: f64) {
        self.paced.lock().set_link_mbps(link_mbps);
    }

    /// Sends a message to some addresses.
    pub fn send(&self, to: impl IntoIterator<Item = SocketAddr>, message: Message) {
        let Some(buf) = self.seal(message) else { return };
        for to in to {
            self.send_bytes(to, &buf);
        }
    }

    /// Sends a message to all other live instances.
    pub fn broadcast(&self, view: &View, message: Message) {
        let others = view.members().iter().filter(|member| member.id != self.id);
        self.send(others.map(|member| member.peer), message);
    }

    /// Sends a message that is one of many when the link has room for it.
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
                log::warn!(to:% = to; "too much waits for the link; a message is left out");
            }
        }
        self.send_queued(now);
    }

    /// Sends the messages whose turn it is.
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
                log::error!("message not sent: {err}");
                None
            }
        }
    }
}
