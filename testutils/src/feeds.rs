//! Long-lived connections of one caller, called feeds, each of which exchanges a small message at a
//! fixed interval. Tests use them to count connections that an operation breaks or stalls.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use smoltcp::iface::SocketHandle;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::fabric::Fabric;

const MESSAGE: &[u8] = b"one message of a feed";

/// Numbers of feeds by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCounts {
    /// Feeds that were opened, whatever their state is now.
    pub opened: usize,
    /// Feeds whose connection closed or was reset.
    pub broken: usize,
    /// Open feeds that have waited for the answer to a message longer than the limit.
    pub stalled: usize,
}

struct Feed {
    connection: SocketHandle,
    is_broken: bool,
    /// Time at which the unanswered message was sent; `None` while no answer is due.
    sent_at: Option<Instant>,
    next_message_at: Instant,
    /// Number of bytes that the answer still lacks.
    pending_bytes: usize,
    longest_wait: Duration,
}

/// Feeds of one caller.
pub struct Feeds {
    caller: Caller,
    feeds: Vec<Feed>,
    interval: Duration,
}

impl Feeds {
    /// Opens `count` feeds to a service, one after the other. Each feed sends a message `interval`
    /// after the answer to the one before. `service` is the name of the service and its address.
    ///
    /// # Errors
    ///
    /// Returns an error if a feed has not received the banner of its target, which contains the
    /// name of the service, within `timeout`.
    pub async fn open(
        fabric: Arc<Fabric>,
        ip: IpAddr,
        (service, address): (&str, SocketAddr),
        count: usize,
        interval: Duration,
        timeout: Duration,
    ) -> Result<Self> {
        let mut caller = Caller::new(fabric, ip);
        let mut feeds = Vec::new();
        for _ in 0..count {
            let connection = caller.connect(address);
            caller.exchange(connection, &[], service.len() + 1, timeout).await?;
            feeds.push(Feed {
                connection,
                is_broken: false,
                sent_at: None,
                next_message_at: Instant::now(),
                pending_bytes: 0,
                longest_wait: Duration::ZERO,
            });
        }
        Ok(Self { caller, feeds, interval })
    }

    /// Sends the messages that are due and reads answers, then lets the caller make one step.
    ///
    /// # Errors
    ///
    /// Returns an error if a packet cannot be sent or received.
    pub async fn step(&mut self) -> Result<()> {
        let now = Instant::now();
        for feed in self.feeds.iter_mut().filter(|feed| !feed.is_broken) {
            step_feed(&mut self.caller, feed, now, self.interval);
        }
        self.caller.step().await
    }

    /// Counts the feeds by state. A feed that has waited longer than `limit` for an answer is
    /// stalled.
    pub fn counts(&self, limit: Duration) -> FeedCounts {
        let now = Instant::now();
        let is_stalled = |feed: &&Feed| {
            !feed.is_broken && feed.sent_at.is_some_and(|sent_at| now > sent_at + limit)
        };
        FeedCounts {
            opened: self.feeds.len(),
            broken: self.feeds.iter().filter(|feed| feed.is_broken).count(),
            stalled: self.feeds.iter().filter(is_stalled).count(),
        }
    }

    /// Returns the longest time between a message and its answer, over all feeds. Messages without
    /// an answer do not count.
    pub fn longest_wait(&self) -> Duration {
        self.feeds.iter().map(|feed| feed.longest_wait).max().unwrap_or_default()
    }
}

fn step_feed(caller: &mut Caller, feed: &mut Feed, now: Instant, interval: Duration) {
    let socket = caller.socket(feed.connection);
    if !socket.is_open() {
        feed.is_broken = true;
        return;
    }
    while socket.can_recv() {
        let received = socket.recv(|data| (data.len(), data.len())).unwrap_or_default();
        feed.pending_bytes = feed.pending_bytes.saturating_sub(received);
    }
    if let (Some(sent_at), 0) = (feed.sent_at, feed.pending_bytes) {
        feed.longest_wait = feed.longest_wait.max(now.saturating_duration_since(sent_at));
        feed.sent_at = None;
        feed.next_message_at = now + interval;
    }
    if feed.sent_at.is_none() && now >= feed.next_message_at && socket.can_send() {
        feed.pending_bytes = socket.send_slice(MESSAGE).unwrap_or_default();
        feed.sent_at = Some(now);
    }
}
