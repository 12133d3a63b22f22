//! Grant ledger: the target capacity that an allocator has committed to the owners of one service.
//!
//! An owner accepts only the reply to its latest request to its latest allocator. After a request
//! it therefore holds either what it reported or what the reply offers, and the larger of the two
//! stays committed until the owner sends its next request or its grants must have expired.
//!
//! While the views of two instances differ, both may act as allocator of a service. So that they
//! never commit more than a target's capacity together, an owner that changes its allocator raises
//! the new allocator's limit in three phases: in its transfer period by the capacity that it
//! transfers in, on probation by the lesser of that and its portion of the target's capacity, and
//! once it is established by its portion.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::grant::{GrantRequest, Holding, NEW_WORK_LIFETIME};
use crate::ids::{Epoch, InstanceId, TargetId};
use crate::share::Fraction;

/// Largest message delay for which the limits hold.
pub const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(1);
/// Time without a request after which the grants of an owner have expired, whichever allocator it
/// has sent requests to since.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(6);
/// Time for which the capacity that an owner transfers in from another allocator counts in full. By
/// its end, the other allocator has classified the owner as unresponsive.
pub const TRANSFER_PERIOD: Duration = UNRESPONSIVE_AFTER.saturating_add(MAX_MESSAGE_DELAY);
/// Time for which an owner must have sent requests to one allocator only before it is established
/// there: by then, the commitments that another allocator made on its account have expired.
pub const ESTABLISHED_AFTER: Duration = TRANSFER_PERIOD.saturating_add(NEW_WORK_LIFETIME);
/// Time without a request after which the account of an owner is removed.
///
/// From [`UNRESPONSIVE_AFTER`] on, another allocator may count the owner either for its portion or
/// for the capacity that it transferred in, so this allocator commits neither.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(15);
/// Longest time without a request after which an established owner stays established. It is shorter
/// than [`ESTABLISHED_AFTER`], so that no other allocator can have established the owner meanwhile.
pub const ESTABLISHED_RETENTION: Duration = TRANSFER_PERIOD.saturating_add(Duration::from_secs(3));
/// Largest age of the reports, and shortest time for which their senders must have sent requests to
/// one allocator only, for all reports together to count as complete.
pub const COMPLETENESS_WINDOW: Duration = Duration::from_millis(750);

/// Sender of a grant request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Name of the instance.
    pub id: InstanceId,
    /// Number of the instance's run; increases with each restart.
    pub epoch: Epoch,
}

/// Slots or connections of one target that are committed to one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Commitment {
    /// Amount of the owner's grant in force, as the owner reported.
    pub held: u32,
    /// Amount that the reply to the latest request offered.
    pub offered: u32,
    /// Amount in use, as the owner reported.
    pub used: u32,
    /// Amount that the owner transferred in from other allocators, which raises the limit of this
    /// allocator.
    pub transferred_in: u32,
    /// Amount that the owner transferred out to another allocator and has not returned; the other
    /// allocator may have committed it.
    pub transferred_out: u32,
}

impl Commitment {
    /// Returns the largest amount that may be in use, now or before the grant expires.
    pub fn total(&self) -> u32 {
        self.held.max(self.offered).max(self.used).saturating_add(self.transferred_out)
    }
}

/// One owner's commitments and queue for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetUsage {
    /// Commitment of slots.
    pub slots: Commitment,
    /// Commitment of connections.
    pub connections: Commitment,
    /// Requests that are queued at the owner for the target.
    pub waiting: u32,
}

/// Kind of capacity that a [`TargetUsage`] counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Number of concurrent requests.
    Slots,
    /// Number of open connections.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastReply {
    nonce: u64,
    at: Instant,
}

/// Latest report of one owner, and its history with this allocator.
#[derive(Clone, Debug)]
pub struct OwnerAccount {
    epoch: Epoch,
    nonce: u64,
    first_nonce: u64,
    reported_at: Instant,
    first_reported_at: Instant,
    /// Time of the last reply that the owner acknowledged. The owner sent its latest request after
    /// this time.
    sent_after: Option<Instant>,
    last_reply: Option<LastReply>,
    steady_for: Duration,
    is_established: bool,
    usages: BTreeMap<TargetId, TargetUsage>,
}

impl OwnerAccount {
    /// Returns the owner's commitments and queue for a target; zero for a target that it did not
    /// report.
    pub fn usage_of(&self, target: &str) -> TargetUsage {
        self.usages.get(target).copied().unwrap_or_default()
    }

    /// Returns the longest time for which the owner may have sent requests to this allocator only,
    /// assuming that it has sent none to another one since its latest report.
    fn steady_for(&self, now: Instant) -> Duration {
        let here = now.saturating_duration_since(self.first_reported_at);
        here.min(self.steady_for + now.saturating_duration_since(self.reported_at))
    }

    /// Returns the time up to the latest report for which the owner is known to have sent requests
    /// to this allocator only.
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

    /// Establishes the owner once no other allocator can count it.
    ///
    /// From then on its portion replaces the capacity that it transferred in. The capacity that it
    /// transferred out is no longer committed, since the commitments that another allocator made on
    /// its account have expired.
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

/// Numbers of instances, from which an allocator that receives reports from only some of them
/// derives its fraction of the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Instances of the data centre that may be running, including those that the allocator
    /// receives nothing from.
    pub expected: usize,
    /// Instances of the data centre that may be owners, according to the allocator's view.
    pub live: usize,
    /// Owners of the service among the `live` instances.
    pub owners: usize,
}

/// Commitments of an allocator to the owners of one service.
#[derive(Debug, Default)]
pub struct GrantLedger {
    accounts: BTreeMap<InstanceId, OwnerAccount>,
}

impl GrantLedger {
    /// Records the report in an owner's request. Returns `false` without recording it if the
    /// request is no newer than the latest one on record.
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

    /// Returns the accounts of the owners that sent a request within [`UNRESPONSIVE_AFTER`],
    /// ordered by owner.
    pub fn accounts(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &OwnerAccount)> {
        self.accounts.iter().filter(move |(_, account)| !account.is_unresponsive(now))
    }

    /// Records that the latest request of an owner was replied to.
    pub fn record_reply(&mut self, owner: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(owner) {
            account.last_reply = Some(LastReply { nonce: account.nonce, at: now });
        }
    }

    /// Records the slots and connections of a target that a reply offers to an owner.
    pub fn record_offer(&mut self, owner: &str, target: &TargetId, slots: u32, connections: u32) {
        if let Some(account) = self.accounts.get_mut(owner) {
            let usage = account.usages.entry(target.clone()).or_default();
            usage.slots.offered = slots;
            usage.connections.offered = connections;
        }
    }

    /// Returns the largest amount of a target that this allocator may commit to all owners
    /// together, where `capacity` is the capacity of the target.
    ///
    /// With complete reports this is `capacity`. Otherwise each owner contributes by its phase: in
    /// its transfer period the capacity that it transferred in, once it is established its portion
    /// of `capacity`, and on probation the lesser of the two.
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

    /// Returns whether all instances that may hold a grant have recently reported to this
    /// allocator, and have sent no request to another one for at least [`COMPLETENESS_WINDOW`].
    fn is_complete(&self, cluster_size: ClusterSize, now: Instant) -> bool {
        let complete = self.accounts.values().filter(|account| account.is_complete(now)).count();
        complete >= cluster_size.expected
    }

    /// Returns whether the configuration of every instance that may hold a grant contains a target.
    ///
    /// An owner's request has a holding for each target of its configuration, and each holding has
    /// an entry in the usages of the owner's account. Complete reports ensure that no other
    /// instance may hold a grant.
    pub fn is_known_to_all(&self, target: &str, cluster_size: ClusterSize, now: Instant) -> bool {
        self.is_complete(cluster_size, now)
            && self.accounts.values().all(|account| account.usages.contains_key(target))
    }

    /// Returns the amount of a target that is committed to owners other than `owner`, plus the
    /// amount that `owner` transferred out to other allocators.
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

/// Number of owners by phase, and the amounts that they add to or take from the limit of one
/// target.
#[derive(Debug, Default)]
struct OwnerTotals {
    /// Amount that owners in their transfer period transferred in.
    incoming: u32,
    established: usize,
    probationary: usize,
    probationary_transferred_in: u32,
    /// Commitment to each established owner that is unresponsive.
    unresponsive: Vec<u32>,
    /// Amount committed to all other unresponsive owners beyond the amount that they transferred
    /// in.
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

    /// Returns the smallest amount that may be committed, over all ways in which the unresponsive
    /// owners may count here or at another allocator.
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

/// Returns the amount that an owner has transferred in. The owner's first request to this allocator
/// adds all that the owner holds. Its first request after one to another allocator adds what it
/// holds beyond its commitment at this allocator.
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
