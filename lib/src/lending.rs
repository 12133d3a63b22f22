//! What an allocator has promised to the owners of one service, and until when.
//!
//! An owner accepts only the answer to its latest question to its latest allocator. After a
//! question it therefore holds either what it reported or what the answer offers, and the larger
//! of the two is committed until the owner asks again or its grants must have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::grant::{GrantRequest, Holding, NEW_LIFETIME};
use crate::ids::{Epoch, InstanceId, TargetId};
use crate::share::Fraction;

/// Largest delay of a message that the bounds allow for.
pub const DELAY_ALLOWANCE: Duration = Duration::from_secs(1);
/// Silence after which the grants of an owner have expired, wherever it has asked since.
pub const SILENT_AFTER: Duration = Duration::from_secs(6);
/// Time for which an owner keeps unconditionally what it brings along from another allocator, which
/// has noticed its silence by then.
pub const FRESH_FOR: Duration = SILENT_AFTER.saturating_add(DELAY_ALLOWANCE);
/// Time that an owner has asked one allocator until that allocator may count on it for new grants: what
/// another allocator lent out on its account has expired.
pub const MATURE_AFTER: Duration = FRESH_FOR.saturating_add(NEW_LIFETIME);
/// Silence after which an owner is forgotten. From [`SILENT_AFTER`] on, another allocator may count
/// on it either for its part or for what it brought along, so neither is lent out.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(15);
/// Silence within which no other allocator can have come to count on an owner.
pub const RETURN_WITHIN: Duration = FRESH_FOR.saturating_add(Duration::from_secs(3));
/// Largest age of the reports, and least time that owners have asked one allocator, when all of
/// them together are taken as complete knowledge.
pub const COMPLETE_WINDOW: Duration = Duration::from_millis(750);

/// Who asks for grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asker {
    /// Instance.
    pub id: InstanceId,
    /// Run of the instance.
    pub epoch: Epoch,
}

/// A quantity of one target that is lent to one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Commitment {
    /// What the owner reported to hold.
    pub held: u32,
    /// What the last answer offered.
    pub offered: u32,
    /// What the owner reported to use.
    pub used: u32,
    /// What the owner added to what this allocator may lend out.
    pub brought: u32,
    /// What the owner took along to another allocator, which may have lent it out, and did not bring
    /// back.
    pub absent: u32,
}

impl Commitment {
    /// Returns how much may be in use, now or before the grant expires.
    pub fn total(&self) -> u32 {
        self.held.max(self.offered).max(self.used).saturating_add(self.absent)
    }
}

/// What one owner has of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Slots.
    pub slots: Commitment,
    /// Connections.
    pub connections: Commitment,
    /// Requests that wait for the target.
    pub waiting: u32,
}

/// Quantity of a [`Line`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Requests at once.
    Slots,
    /// Connections.
    Connections,
}

impl Line {
    fn get(&self, quantity: Quantity) -> &Commitment {
        match quantity {
            Quantity::Slots => &self.slots,
            Quantity::Connections => &self.connections,
        }
    }
}

/// The last answer to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answered {
    nonce: u64,
    at: Instant,
}

/// What an allocator knows of one owner.
#[derive(Clone, Debug)]
pub struct Account {
    epoch: Epoch,
    nonce: u64,
    first_nonce: u64,
    reported_at: Instant,
    first_at: Instant,
    asked_after: Option<Instant>,
    answered: Option<Answered>,
    steady_for: Duration,
    was_mature: bool,
    lines: BTreeMap<TargetId, Line>,
}

impl Account {
    /// Returns what the owner has of a target.
    pub fn line(&self, target: &str) -> Line {
        self.lines.get(target).copied().unwrap_or_default()
    }

    /// Returns for how long the owner may have asked no other allocator.
    fn steady_for(&self, now: Instant) -> Duration {
        let here = now.saturating_duration_since(self.first_at);
        here.min(self.steady_for + now.saturating_duration_since(self.reported_at))
    }

    /// Returns for how long the owner is known to have asked no other allocator.
    fn proved_for(&self) -> Duration {
        self.steady_for.min(self.reported_at.saturating_duration_since(self.first_at))
    }

    fn is_silent(&self, now: Instant) -> bool {
        now >= self.reported_at + SILENT_AFTER
    }

    fn is_complete(&self, now: Instant) -> bool {
        let is_recent = self.asked_after.is_some_and(|at| now < at + COMPLETE_WINDOW);
        is_recent && self.steady_for >= COMPLETE_WINDOW
    }

    /// Counts the owner for its part once no other allocator can count on it: it then stands for
    /// nothing that it brought along, and nothing is missing that it took along.
    fn mature(&mut self) {
        let is_proved = self.proved_for() >= MATURE_AFTER;
        self.was_mature |= is_proved;
        for line in self.lines.values_mut() {
            for commitment in [&mut line.slots, &mut line.connections] {
                commitment.brought *= u32::from(!self.was_mature);
                commitment.absent *= u32::from(!is_proved);
            }
        }
    }
}

/// How many instances there may be, for an allocator that knows only some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Population {
    /// Instances of the data centre that may be running.
    pub expected: usize,
    /// Instances of the data centre that the allocator hears.
    pub live: usize,
    /// Owners of the service among those.
    pub owners: usize,
}

/// What an allocator has promised to the owners of one service.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<InstanceId, Account>,
}

impl Ledger {
    /// Takes the report of an owner; returns `false` for one that is older than a known one.
    pub fn report(&mut self, asker: &Asker, req: &GrantRequest, now: Instant) -> bool {
        self.expire(now);
        let known = self.accounts.remove(&asker.id);
        if let Some(known) = known {
            if (known.epoch, known.nonce) >= (asker.epoch, req.nonce) {
                self.accounts.insert(asker.id.clone(), known);
                return false;
            }
            let account = updated(Some(&known), asker, req, now);
            self.accounts.insert(asker.id.clone(), account);
        } else {
            self.accounts.insert(asker.id.clone(), updated(None, asker, req, now));
        }
        true
    }

    fn expire(&mut self, now: Instant) {
        self.accounts.retain(|_, account| now < account.reported_at + FORGOTTEN_AFTER);
    }

    /// Returns the accounts of the owners that have asked lately, ordered by owner.
    pub fn accounts(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Account)> {
        self.accounts.iter().filter(move |(_, account)| !account.is_silent(now))
    }

    /// Notes that a question of an owner is answered.
    pub fn note_answer(&mut self, owner: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(owner) {
            account.answered = Some(Answered { nonce: account.nonce, at: now });
        }
    }

    /// Notes what an answer offers to an owner.
    pub fn offer(&mut self, owner: &str, target: &TargetId, slots: u32, connections: u32) {
        if let Some(account) = self.accounts.get_mut(owner) {
            let line = account.lines.entry(target.clone()).or_default();
            line.slots.offered = slots;
            line.connections.offered = connections;
        }
    }

    /// Returns how much of a target may be lent out in all, when it bears `capacity`.
    ///
    /// A mature owner stands for its part of `capacity`, one that has just come for what it brought
    /// along, and in between for the lesser of both.
    pub fn limit(
        &self,
        target: &str,
        quantity: Quantity,
        capacity: u32,
        population: Population,
        now: Instant,
    ) -> u32 {
        if self.is_complete(population, now) {
            return capacity;
        }
        let mut counts = Counts::default();
        for account in self.accounts.values() {
            counts.add(account, account.line(target).get(quantity), now);
        }
        let part = |reporters| population.fraction(reporters).of(capacity);
        counts.limit(part).min(capacity)
    }

    /// Tells whether all instances that may hold a grant have reported to this allocator, and have
    /// asked no other for a while.
    fn is_complete(&self, population: Population, now: Instant) -> bool {
        let complete = self.accounts.values().filter(|account| account.is_complete(now)).count();
        complete >= population.expected
    }

    /// Tells whether the configuration of every instance that may hold a grant has a target.
    pub fn is_known_to_all(&self, target: &str, population: Population, now: Instant) -> bool {
        self.is_complete(population, now)
            && self.accounts.values().all(|account| account.lines.contains_key(target))
    }

    /// Returns how much of a target is lent to owners other than `owner`, or was taken along by it.
    pub fn lent_to_others(
        &self,
        owner: &str,
        target: &str,
        quantity: Quantity,
        now: Instant,
    ) -> u32 {
        let lent = |(id, account): (&InstanceId, &Account)| {
            let line = account.line(target);
            let commitment = line.get(quantity);
            if id == owner {
                commitment.absent
            } else {
                commitment.total()
            }
        };
        self.accounts(now).map(lent).sum()
    }
}

/// What the owners of one target stand for.
#[derive(Debug, Default)]
struct Counts {
    fresh: u32,
    mature: usize,
    young: usize,
    young_brought: u32,
    silent: Vec<u32>,
    overdrawn: u32,
}

impl Counts {
    fn add(&mut self, account: &Account, commitment: &Commitment, now: Instant) {
        let (brought, total) = (commitment.brought, commitment.total());
        match account.is_silent(now) {
            true if account.was_mature => self.silent.push(total),
            true => self.overdrawn += total.saturating_sub(brought),
            false if account.was_mature => self.mature += 1,
            false if account.steady_for(now) < FRESH_FOR => self.fresh += brought,
            false => {
                self.young += 1;
                self.young_brought += brought;
            }
        }
    }

    /// Returns the least of what may be lent out, over all ways in which another allocator may count
    /// on the silent owners.
    fn limit(mut self, part: impl Fn(usize) -> u32) -> u32 {
        self.silent.sort_unstable_by(|a, b| b.cmp(a));
        let settled = |counted: usize| {
            let mature = self.mature + counted;
            let brought = part(mature).saturating_add(self.young_brought);
            let lent: u32 = self.silent[..counted].iter().sum();
            part(mature + self.young).min(brought).saturating_sub(lent)
        };
        let least = (0..=self.silent.len()).map(settled).min().unwrap_or(0);
        least.saturating_add(self.fresh).saturating_sub(self.overdrawn)
    }
}

impl Population {
    fn fraction(&self, reporters: usize) -> Fraction {
        let part = self.live * reporters.min(self.owners);
        Fraction { part: part as u64, whole: (self.expected.max(self.live) * self.owners) as u64 }
    }
}

fn updated(known: Option<&Account>, asker: &Asker, req: &GrantRequest, now: Instant) -> Account {
    let is_kept = |known: &&Account| known.was_mature || !known.is_silent(now);
    let same_run = known.filter(|known| known.epoch == asker.epoch).filter(is_kept);
    let continued = same_run.filter(|known| known.first_nonce == req.first_nonce);
    let lines = req.holdings.iter().map(|holding| {
        let before = same_run.map(|known| known.line(&holding.target)).unwrap_or_default();
        (holding.target.clone(), line(holding, &before, continued.is_some()))
    });
    let answered = continued.and_then(|known| known.answered);
    let acknowledged = answered.filter(|answered| Some(answered.nonce) == req.answered_nonce);
    let asked_before = continued.and_then(|known| known.asked_after);
    let mut account = Account {
        epoch: asker.epoch,
        nonce: req.nonce,
        first_nonce: req.first_nonce,
        reported_at: now,
        first_at: continued.map_or(now, |known| known.first_at),
        asked_after: acknowledged.map(|answered| answered.at).or(asked_before),
        answered,
        steady_for: req.steady_for,
        was_mature: same_run
            .is_some_and(|known| known.was_mature && now < known.reported_at + RETURN_WITHIN),
        lines: lines.collect(),
    };
    account.mature();
    account
}

/// Returns what an owner adds to what this allocator may lend out: at first what it holds, later only
/// what it holds beyond what it had here.
fn brought(held: u32, before: &Commitment, is_continued: bool) -> u32 {
    if is_continued {
        return before.brought;
    }
    before.brought + held.saturating_sub(before.total())
}

fn line(holding: &Holding, before: &Line, is_continued: bool) -> Line {
    let commitment = |held, used, before: &Commitment| Commitment {
        held,
        offered: 0,
        used,
        brought: brought(held, before, is_continued),
        absent: if is_continued { before.absent } else { before.total().saturating_sub(held) },
    };
    Line {
        slots: commitment(holding.slots, holding.running, &before.slots),
        connections: commitment(holding.connections, holding.open, &before.connections),
        waiting: holding.waiting,
    }
}
