//! Following of the reader by the other instances: heartbeats, and hints to instances that the
//! reader's heartbeats do not reach because it does not know them yet.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::cookie_instance::CookieInstance;
use crate::directory::Directory;
use crate::directory_message::{DirectoryMessage, PartStatus};
use crate::directory_replication::DirectoryReplication;
use crate::directory_state::DirectoryState;
use crate::ids::InstanceId;
use crate::reader_election::{outranks, KnownReader, HEARTBEAT_INTERVAL, HINT_FAN_OUT};
use crate::store_version;

impl CookieInstance {
    /// Handles the heartbeat of a reader.
    pub(crate) fn on_heartbeat(
        &self,
        now: Instant,
        sender: &InstanceId,
        from: SocketAddr,
        parts: &[PartStatus],
    ) {
        let reader =
            KnownReader { id: sender.clone(), peer: from, parts: parts.to_vec(), heard_at: now };
        let Some(is_best) = self.follow(now, reader) else { return };
        // One of the instances that know a better reader is enough to tell this one of it.
        let count = self.view().members().len() as u64;
        if !is_best && self.random.below(count) < HINT_FAN_OUT {
            self.send_reader_hint(sender, from, now);
        }
    }

    /// Follows a reader that sent a heartbeat, or that another instance named. Returns whether it is
    /// the best known one, or `None` if it has not learnt of the latest restore of the store.
    fn follow(&self, now: Instant, reader: KnownReader) -> Option<bool> {
        let is_outranked = outranks(&reader.id, &self.id);
        let (id, peer) = (reader.id.clone(), reader.peer);
        let (pull, is_best) = {
            let mut state = self.directory_state.lock();
            let DirectoryState { directory, replication, election, .. } = &mut *state;
            if is_of_older_era(directory, &reader.parts) {
                return None;
            }
            election.note_heartbeat(is_outranked, reader.heard_at);
            let pull = replication.on_heartbeat(directory, &reader.parts, now);
            election.note_reader(reader);
            let is_best = election.known_reader(now).is_some_and(|known| known.id == id)
                && (is_outranked || !election.is_reading());
            (pull, is_best)
        };
        if let Some(pull) = pull {
            self.send_pull(peer, pull);
        }
        Some(is_best)
    }

    /// Follows a reader that another instance named, and makes itself known to that reader, whose
    /// heartbeats do not arrive here.
    pub(crate) fn on_reader_hint(&self, now: Instant, reader: KnownReader) {
        let peer = reader.peer;
        if reader.id == self.id || !reader.is_current(now) {
            return;
        }
        if self.follow(now, reader).is_some() {
            let outgoing = self.gossip.lock().introduce(now, peer);
            self.send_gossip(outgoing);
        }
    }

    /// Asks a random contact for the reader, as long as no heartbeat has arrived. The answer to the
    /// first pull may have been lost, and an instance that has listed the store pulls no more.
    pub(crate) fn ask_for_reader(&self, now: Instant) {
        if !self.directory_state.lock().election.should_ask(now) {
            return;
        }
        let question = DirectoryMessage::Pull { complete: Vec::new() };
        if let Some(contact) = self.random_contact() {
            self.send_to(contact, question);
        }
    }

    /// Names the best reader that this instance knows, which may be itself, to another instance.
    pub(crate) fn send_reader_hint(&self, to: &InstanceId, address: SocketAddr, now: Instant) {
        let Some(reader) = self.best_reader(now).filter(|reader| reader.id != *to) else { return };
        let age = now.saturating_duration_since(reader.heard_at);
        let KnownReader { id, peer, parts, .. } = reader;
        self.send_to(address, DirectoryMessage::ReaderHint { reader: id, peer, parts, age });
    }

    fn best_reader(&self, now: Instant) -> Option<KnownReader> {
        let state = self.directory_state.lock();
        let known = state.election.known_reader(now);
        if !state.election.is_reading() {
            return known.cloned();
        }
        let better = known.filter(|known| outranks(&known.id, &self.id));
        let own = || KnownReader {
            id: self.id.clone(),
            peer: self.peer,
            parts: DirectoryReplication::statuses(&state.directory, now),
            heard_at: now,
        };
        Some(better.cloned().unwrap_or_else(own))
    }

    /// Sends a heartbeat to all other instances if this one is a reader and the heartbeat is due.
    pub(crate) fn send_heartbeat(&self, now: Instant) {
        let message = {
            let mut state = self.directory_state.lock();
            let is_due = state.heartbeat_sent_at.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL);
            if !state.election.is_reading() || !is_due {
                return;
            }
            state.heartbeat_sent_at = Some(now);
            DirectoryReplication::heartbeat(&state.directory, now)
        };
        self.broadcast(message);
    }
}

/// Returns whether a reader has not yet learnt of the latest restore of the store. Its heartbeats
/// count for nothing then, so that an instance that can reach the store becomes a reader too.
fn is_of_older_era(directory: &Directory, parts: &[PartStatus]) -> bool {
    let era = parts.iter().map(|status| store_version::era(status.complete)).max();
    directory.era().is_some_and(|own| era.is_some_and(|era| era < own))
}
