//! What an allocator has promised to the owners of one service, and until when.
//!
//! An owner accepts only the answer to its latest question to its latest allocator. After a
//! question it therefore holds either what it reported or what the answer offers, and the larger
//! of the two is committed until the owner asks again or its grants must have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::grant::{GrantRequest, Holding, NEW_WORK_LIFETIME};
use crate::ids::{Epoch, InstanceId, TargetId};
use crate::share::Fraction;

/// Largest delay of a message that the bounds allow for.
pub const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(1);
/// Silence after which the grants of an owner have expired, wherever it has asked since.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(6);
/// Time for which an owner keeps unconditionally what it brings along from another allocator, which
/// has noticed its silence by then.
pub const TRANSFER_PERIOD: Duration = UNRESPONSIVE_AFTER.saturating_add(MAX_MESSAGE_DELAY);
/// Time that an owner has asked one allocator until that allocator may count on it for new grants:
/// what another allocator committed on its account has expired.
pub const ESTABLISHED_AFTER: Duration = TRANSFER_PERIOD.saturating_add(NEW_WORK_LIFETIME);
/// Silence after which an owner is forgotten. From [`UNRESPONSIVE_AFTER`] on, another allocator may count
/// on it either for its part or for what it brought along, so neither is committed.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(15);
/// Silence within which no other allocator can have come to count on an owner.
pub const ESTABLISHED_RETENTION: Duration = TRANSFER_PERIOD.saturating_add(Duration::from_secs(3));
/// Largest age of the reports, and least time that owners have asked one allocator, when all of
/// them together are taken as complete knowledge.
pub const COMPLETENESS_WINDOW: Duration = Duration::from_millis(750);

/// Who asks for grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Instance.
    pub id: InstanceId,
    /// Run of the instance.
    pub epoch: Epoch,
}

/// A quantity of one target that is committed to one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Commitment {
    /// What the owner reported to hold.
    pub held: u32,
    /// What the last answer offered.
    pub offered: u32,
    /// What the owner reported to use.
    pub used: u32,
    /// What the owner added to what this allocator may allocate.
    pub transferred_in: u32,
    /// What the owner took along to another allocator, which may have committed it, and did not
    /// bring back.
    pub transferred_out: u32,
}

impl Commitment {
    /// Returns how much may be in use, now or before the grant expires.
    pub fn total(&self) -> u32 {
        self.held.max(self.offered).max(self.used).saturating_add(self.transferred_out)
    }
}

/// What one owner has of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetUsage {
    /// Slots.
    pub slots: Commitment,
    /// Connections.
    pub connections: Commitment,
    /// Requests that wait for the target.
    pub waiting: u32,
}

/// Quantity of a [`TargetUsage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Requests at once.
    Slots,
    /// Connections.
    Connections,
}

impl TargetUsage {
    fn get(&self, quantity: Quantity) -> &Commitment {
        match quantity {
            Quantity::Slots => &self.slots,
            Quantity::Connections => &self.connections,
        }
    }
}

/// The last answer to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastReply {
    nonce: u64,
    at: Instant,
}

/// What an allocator knows of one owner.
#[derive(Clone, Debug)]
pub struct OwnerAccount {
    epoch: Epoch,
    nonce: u64,
    first_nonce: u64,
    reported_at: Instant,
    first_reported_at: Instant,
    sent_after: Option<Instant>,
    last_reply: Option<LastReply>,
    steady_for: Duration,
    is_established: bool,
    usages: BTreeMap<TargetId, TargetUsage>,
}

impl OwnerAccount {
    /// Returns what the owner has of a target.
    pub fn usage_of(&self, target: &str) -> TargetUsage {
        self.usages.get(target).copied().unwrap_or_default()
    }

    /// Returns for how long the owner may have asked no other allocator.
    fn steady_for(&self, now: Instant) -> Duration {
        let here = now.saturating_duration_since(self.first_reported_at);
        here.min(self.steady_for + now.saturating_duration_since(self.reported_at))
    }

    /// Returns for how long the owner is known to have asked no other allocator.
    fn confirmed_steady_for(&self) -> Duration {
        self.steady_for.min(self.reported_at.saturating_duration_since(self.first_reported_at))
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        now >= self.reported_at + UNRESPONSIVE_AFTER
    }

    fn is_complete(&self, now: Instant) -> bool {
        let is_recent = self.sent_after.is_some_and(|at| now < at + COMPLETENESS_WINDOW);
        is_recent && self.steady_for >= COMPLETENESS_WINDOW
    }

    /// Counts the owner for its part once no other allocator can count on it: it then stands for
    /// nothing that it brought along, and nothing is missing that it took along.
    fn update_phase(&mut self) {
        let is_confirmed = self.confirmed_steady_for() >= ESTABLISHED_AFTER;
        self.is_established |= is_confirmed;
        for usage in self.usages.values_mut() {
            for commitment in [&mut usage.slots, &mut usage.connections] {
                commitment.transferred_in *= u32::from(!self.is_established);
                commitment.transferred_out *= u32::from(!is_confirmed);
            }
        }
    }
}

/// How many instances there may be, for an allocator that knows only some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Instances of the data centre that may be running.
    pub expected: usize,
    /// Instances of the data centre from which the allocator receives reports.
    pub live: usize,
    /// Owners of the service among those.
    pub owners: usize,
}

/// What an allocator has promised to the owners of one service.
#[derive(Debug, Default)]
pub struct GrantLedger {
    accounts: BTreeMap<InstanceId, OwnerAccount>,
}

impl GrantLedger {
    /// Takes the report of an owner; returns `false` for one that is older than a known one.
    pub fn record_request(
        &mut self,
        requester: &Requester,
        req: &GrantRequest,
        now: Instant,
    ) -> bool {
        self.remove_expired(now);
        let known = self.accounts.remove(&requester.id);
        if let Some(known) = known {
            if (known.epoch, known.nonce) >= (requester.epoch, req.nonce) {
                self.accounts.insert(requester.id.clone(), known);
                return false;
            }
            let account = updated_account(Some(&known), requester, req, now);
            self.accounts.insert(requester.id.clone(), account);
        } else {
            self.accounts.insert(requester.id.clone(), updated_account(None, requester, req, now));
        }
        true
    }

    fn remove_expired(&mut self, now: Instant) {
        self.accounts.retain(|_, account| now < account.reported_at + ACCOUNT_RETENTION);
    }

    /// Returns the accounts of the owners that have asked lately, ordered by owner.
    pub fn accounts(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &OwnerAccount)> {
        self.accounts.iter().filter(move |(_, account)| !account.is_unresponsive(now))
    }

    /// Notes that a question of an owner is answered.
    pub fn record_reply(&mut self, owner: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(owner) {
            account.last_reply = Some(LastReply { nonce: account.nonce, at: now });
        }
    }

    /// Notes what an answer offers to an owner.
    pub fn offer(&mut self, owner: &str, target: &TargetId, slots: u32, connections: u32) {
        if let Some(account) = self.accounts.get_mut(owner) {
            let usage = account.usages.entry(target.clone()).or_default();
            usage.slots.offered = slots;
            usage.connections.offered = connections;
        }
    }

    /// Returns how much of a target may be committed in all, when its capacity is `capacity`.
    ///
    /// A mature owner stands for its part of `capacity`, one that has just come for what it brought
    /// along, and in between for the lesser of both.
    pub fn limit(
        &self,
        target: &str,
        quantity: Quantity,
        capacity: u32,
        cluster_size: ClusterSize,
        now: Instant,
    ) -> u32 {
        if self.is_complete(cluster_size, now) {
            return capacity;
        }
        let mut totals = OwnerTotals::default();
        for account in self.accounts.values() {
            totals.add(account, account.usage_of(target).get(quantity), now);
        }
        let portion = |reporters| cluster_size.fraction(reporters).of(capacity);
        totals.limit(portion).min(capacity)
    }

    /// Tells whether all instances that may hold a grant have reported to this allocator, and have
    /// asked no other for a while.
    fn is_complete(&self, cluster_size: ClusterSize, now: Instant) -> bool {
        let complete = self.accounts.values().filter(|account| account.is_complete(now)).count();
        complete >= cluster_size.expected
    }

    /// Tells whether the configuration of every instance that may hold a grant has a target.
    pub fn is_known_to_all(&self, target: &str, cluster_size: ClusterSize, now: Instant) -> bool {
        self.is_complete(cluster_size, now)
            && self.accounts.values().all(|account| account.usages.contains_key(target))
    }

    /// Returns how much of a target is committed to owners other than `owner`, or was taken along
    /// by it.
    pub fn committed_to_others(
        &self,
        owner: &str,
        target: &str,
        quantity: Quantity,
        now: Instant,
    ) -> u32 {
        let committed = |(id, account): (&InstanceId, &OwnerAccount)| {
            let usage = account.usage_of(target);
            let commitment = usage.get(quantity);
            if id == owner {
                commitment.transferred_out
            } else {
                commitment.total()
            }
        };
        self.accounts(now).map(committed).sum()
    }
}

/// What the owners of one target stand for.
#[derive(Debug, Default)]
struct OwnerTotals {
    incoming: u32,
    established: usize,
    probationary: usize,
    probationary_transferred_in: u32,
    unresponsive: Vec<u32>,
    unresponsive_excess: u32,
}

impl OwnerTotals {
    fn add(&mut self, account: &OwnerAccount, commitment: &Commitment, now: Instant) {
        let (transferred_in, total) = (commitment.transferred_in, commitment.total());
        match account.is_unresponsive(now) {
            true if account.is_established => self.unresponsive.push(total),
            true => self.unresponsive_excess += total.saturating_sub(transferred_in),
            false if account.is_established => self.established += 1,
            false if account.steady_for(now) < TRANSFER_PERIOD => self.incoming += transferred_in,
            false => {
                self.probationary += 1;
                self.probationary_transferred_in += transferred_in;
            }
        }
    }

    /// Returns the least of what may be committed, over all ways in which another allocator may
    /// count on the unresponsive owners.
    fn limit(mut self, portion: impl Fn(usize) -> u32) -> u32 {
        self.unresponsive.sort_unstable_by(|a, b| b.cmp(a));
        let limit_with = |counted_here: usize| {
            let established = self.established + counted_here;
            let by_transfer = portion(established).saturating_add(self.probationary_transferred_in);
            let committed: u32 = self.unresponsive[..counted_here].iter().sum();
            portion(established + self.probationary).min(by_transfer).saturating_sub(committed)
        };
        let least = (0..=self.unresponsive.len()).map(limit_with).min().unwrap_or(0);
        least.saturating_add(self.incoming).saturating_sub(self.unresponsive_excess)
    }
}

impl ClusterSize {
    fn fraction(&self, reporters: usize) -> Fraction {
        let numerator = self.live * reporters.min(self.owners);
        Fraction {
            numerator: numerator as u64,
            denominator: (self.expected.max(self.live) * self.owners) as u64,
        }
    }
}

fn updated_account(
    known: Option<&OwnerAccount>,
    requester: &Requester,
    req: &GrantRequest,
    now: Instant,
) -> OwnerAccount {
    let is_kept = |known: &&OwnerAccount| known.is_established || !known.is_unresponsive(now);
    let same_run = known.filter(|known| known.epoch == requester.epoch).filter(is_kept);
    let continued = same_run.filter(|known| known.first_nonce == req.first_nonce);
    let usages = req.holdings.iter().map(|holding| {
        let before = same_run.map(|known| known.usage_of(&holding.target)).unwrap_or_default();
        (holding.target.clone(), reported_usage(holding, &before, continued.is_some()))
    });
    let last_reply = continued.and_then(|known| known.last_reply);
    let acknowledged = last_reply.filter(|reply| Some(reply.nonce) == req.answered_nonce);
    let previous_sent_after = continued.and_then(|known| known.sent_after);
    let mut account = OwnerAccount {
        epoch: requester.epoch,
        nonce: req.nonce,
        first_nonce: req.first_nonce,
        reported_at: now,
        first_reported_at: continued.map_or(now, |known| known.first_reported_at),
        sent_after: acknowledged.map(|reply| reply.at).or(previous_sent_after),
        last_reply,
        steady_for: req.steady_for,
        is_established: same_run.is_some_and(|known| {
            known.is_established && now < known.reported_at + ESTABLISHED_RETENTION
        }),
        usages: usages.collect(),
    };
    account.update_phase();
    account
}

/// Returns what an owner adds to what this allocator may allocate: at first what it holds, later
/// only what it holds beyond what it had here.
fn transferred_in(held: u32, before: &Commitment, is_continued: bool) -> u32 {
    if is_continued {
        return before.transferred_in;
    }
    before.transferred_in + held.saturating_sub(before.total())
}

fn reported_usage(holding: &Holding, before: &TargetUsage, is_continued: bool) -> TargetUsage {
    let commitment = |held, used, before: &Commitment| Commitment {
        held,
        offered: 0,
        used,
        transferred_in: transferred_in(held, before, is_continued),
        transferred_out: if is_continued {
            before.transferred_out
        } else {
            before.total().saturating_sub(held)
        },
    };
    TargetUsage {
        slots: commitment(holding.slots, holding.running, &before.slots),
        connections: commitment(holding.connections, holding.open, &before.connections),
        waiting: holding.waiting,
    }
}
