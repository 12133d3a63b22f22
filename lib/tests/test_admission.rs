//! Admission queues and the retry budget of the request gateway.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::admission::{
    Admission, Arrival, NextRequest, RefusalReason, BULK_SHARE_DIVISOR, MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
};
use hollyhead::random::SeededRandom;
use hollyhead::record::Precedence;
use hollyhead::retry::{RetryBudget, MAX_RETRY_BURST, REQUESTS_PER_RETRY};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

const SERVICE: &str = "quaydesk";
const SECOND: Duration = Duration::from_secs(1);

fn arrival(now: Instant, precedence: Precedence, caller: &str, timeout: Duration) -> Arrival {
    let (service, caller) = (SERVICE.into(), caller.into());
    Arrival { service, precedence, caller, deadline: now + timeout }
}

struct Fixture {
    admission: Admission,
    random: SeededRandom,
    now: Instant,
}

impl Fixture {
    fn new(capacity: usize) -> Self {
        let (admission, random) = (Admission::new(capacity), SeededRandom::new(1));
        Self { admission, random, now: Instant::now() }
    }

    fn enqueue(
        &mut self,
        precedence: Precedence,
        caller: &str,
        timeout: Duration,
    ) -> Result<u64, RefusalReason> {
        let arrival = arrival(self.now, precedence, caller, timeout);
        let queued = self.admission.enqueue(self.now, arrival, 1, &self.random);
        queued.map(|queued| queued.ticket).map_err(|refusal| refusal.reason)
    }

    fn next(&mut self) -> Option<NextRequest> {
        self.admission.next(self.now, SERVICE, 1, &self.random)
    }

    fn note_service_time(&mut self, time: Duration) {
        (0..50).for_each(|_| self.admission.note_answered(&SERVICE.into(), time));
    }
}

#[test]
fn enqueue_cannot_finish_in_time_is_refused_at_once() {
    let mut fixture = Fixture::new(100);
    fixture.note_service_time(SECOND);
    for _ in 0..4 {
        fixture.enqueue(Precedence::Interactive, "a", SECOND * 10).unwrap();
    }
    let refused = fixture.enqueue(Precedence::Interactive, "a", SECOND * 3);
    assert_eq!(refused, Err(RefusalReason::TooLate));
    assert!(fixture.enqueue(Precedence::Interactive, "a", SECOND * 10).is_ok());
}

#[test]
fn enqueue_higher_precedence_waits_for_its_own_only() {
    let mut fixture = Fixture::new(100);
    fixture.note_service_time(SECOND);
    for _ in 0..8 {
        fixture.enqueue(Precedence::Interactive, "a", SECOND * 20).unwrap();
    }
    assert!(fixture.enqueue(Precedence::Live, "b", SECOND * 3).is_ok());
}

#[test]
fn next_too_late_to_start_is_refused() {
    let mut fixture = Fixture::new(100);
    fixture.note_service_time(SECOND);
    let late = fixture.enqueue(Precedence::Interactive, "a", SECOND * 3).unwrap();
    let good = fixture.enqueue(Precedence::Interactive, "a", SECOND * 30).unwrap();
    fixture.now += SECOND * 3;
    assert!(matches!(fixture.next(), Some(NextRequest::Refuse(ticket, _)) if ticket == late));
    assert_eq!(fixture.next(), Some(NextRequest::Start(good)));
}

#[test]
fn enqueue_full_sheds_lower_precedence_first() {
    let mut fixture = Fixture::new(5);
    for _ in 0..5 {
        fixture.enqueue(Precedence::Bulk, "a", SECOND).unwrap();
    }
    for _ in 0..4 {
        fixture.enqueue(Precedence::Live, "b", SECOND).unwrap();
    }
    let refused = fixture.enqueue(Precedence::Live, "b", SECOND);
    assert_eq!(refused, Err(RefusalReason::Full));
    let mut started = 0;
    while fixture.next().is_some() {
        started += 1;
    }
    assert_eq!(started, 5);
}

#[test]
fn enqueue_full_sheds_caller_with_most() {
    let mut fixture = Fixture::new(10);
    for _ in 0..10 {
        fixture.enqueue(Precedence::Interactive, "storm", SECOND).unwrap();
    }
    assert_eq!(fixture.enqueue(Precedence::Interactive, "storm", SECOND), Err(RefusalReason::Full));
    assert!(fixture.enqueue(Precedence::Interactive, "quiet", SECOND).is_ok());
    assert_eq!(fixture.admission.waiting_count(SERVICE), 10);
}

#[test]
fn next_callers_take_turns() {
    let mut fixture = Fixture::new(100);
    for _ in 0..20 {
        fixture.enqueue(Precedence::Interactive, "storm", SECOND).unwrap();
    }
    let quiet = fixture.enqueue(Precedence::Interactive, "quiet", SECOND).unwrap();
    let starts: Vec<_> = (0..2).filter_map(|_| fixture.next()).collect();
    assert!(starts.contains(&NextRequest::Start(quiet)));
}

#[test]
fn next_bulk_gets_one_of_five() {
    let mut fixture = Fixture::new(200);
    let bulk: Vec<_> =
        (0..20).map(|_| fixture.enqueue(Precedence::Bulk, "a", SECOND).unwrap()).collect();
    for _ in 0..100 {
        fixture.enqueue(Precedence::Live, "b", SECOND).unwrap();
    }
    let starts: Vec<_> = (0..50).filter_map(|_| fixture.next()).collect();
    let started =
        bulk.iter().filter(|ticket| starts.contains(&NextRequest::Start(**ticket))).count();
    assert_eq!(started, 50 / BULK_SHARE_DIVISOR);
}

#[test]
fn refusal_retry_after_follows_drain_rate() {
    let mut fixture = Fixture::new(1_000);
    let empty = fixture.admission.refusal(SERVICE, RefusalReason::Full, 1, &fixture.random);
    assert!(empty.retry_after < MIN_RETRY_AFTER * 2);
    fixture.note_service_time(SECOND);
    for _ in 0..9 {
        fixture.enqueue(Precedence::Live, "b", SECOND * 100).unwrap();
    }
    for _ in 0..20 {
        let refusal = fixture.admission.refusal(SERVICE, RefusalReason::Full, 1, &fixture.random);
        assert!((SECOND * 9..SECOND * 21).contains(&refusal.retry_after), "{refusal:?}");
    }
    let many = fixture.admission.refusal(SERVICE, RefusalReason::Full, 0, &fixture.random);
    assert!(many.retry_after >= MAX_RETRY_AFTER && many.retry_after < MAX_RETRY_AFTER * 2);
}

#[test]
fn withdraw_budget_follows_requests() {
    let budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(saved, MAX_RETRY_BURST as usize);
    (0..REQUESTS_PER_RETRY).for_each(|_| budget.deposit());
    assert!(budget.withdraw());
    assert!(!budget.withdraw());
}

#[derive(Clone, Debug)]
enum Step {
    Enqueue(u8, u8, u64),
    Next,
    Withdraw(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3_u8, 0..4_u8, 1..4_000_u64).prop_map(|(p, c, ms)| Step::Enqueue(p, c, ms)),
        3 => Just(Step::Next),
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => (1..500_u64).prop_map(Step::Wait),
    ]
}

/// Checks with random steps that each ticket ends exactly once: started, refused, shed or
/// withdrawn, and that the queue never exceeds its capacity.
#[test]
fn enqueue_random_steps_each_request_ends_once() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 1..120), |steps| {
        let mut fixture = Fixture::new(16);
        fixture.note_service_time(Duration::from_millis(100));
        let mut waiting = std::collections::BTreeSet::new();
        for step in steps {
            match step {
                Step::Enqueue(precedence, caller, millis) => {
                    let all = [Precedence::Live, Precedence::Interactive, Precedence::Bulk];
                    let precedence = all[usize::from(precedence)];
                    let timeout = Duration::from_millis(millis);
                    let arrival = arrival(fixture.now, precedence, &caller.to_string(), timeout);
                    let outcome =
                        fixture.admission.enqueue(fixture.now, arrival, 2, &fixture.random);
                    if let Ok(queued) = outcome {
                        prop_assert!(waiting.insert(queued.ticket));
                        let shed = queued.shed.map(|(ticket, _)| ticket);
                        prop_assert!(shed.is_none_or(|ticket| waiting.remove(&ticket)));
                    }
                }
                Step::Next => match fixture.next() {
                    Some(NextRequest::Start(ticket) | NextRequest::Refuse(ticket, _)) => {
                        prop_assert!(waiting.remove(&ticket));
                    }
                    None => prop_assert!(waiting.is_empty()),
                },
                Step::Withdraw(index) => {
                    let ticket = waiting.iter().nth(index % 16).copied().unwrap_or(0);
                    prop_assert_eq!(fixture.admission.withdraw(ticket), waiting.remove(&ticket));
                }
                Step::Wait(millis) => fixture.now += Duration::from_millis(millis),
            }
            prop_assert_eq!(fixture.admission.waiting_count(SERVICE), waiting.len());
            prop_assert!(waiting.len() <= 16);
        }
        Ok(())
    });
    result.unwrap();
}
