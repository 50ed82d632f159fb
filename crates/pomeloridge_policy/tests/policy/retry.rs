//! Retries of failed requests.

use std::time::Instant;

use pomeloridge_policy::retry::{Attempt, Progress, RetryBudget, RetryVerdict};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms};

fn attempt(now: Instant) -> Attempt {
    Attempt {
        idempotent: true,
        progress: Progress::Written,
        attempts: 2,
        deadline: now + ms(1_000),
    }
}

#[parameterized(
    idempotent_unsent = { true, Progress::Unsent, 1, 1_000, RetryVerdict::Retry },
    idempotent_refused = { true, Progress::Refused, 1, 1_000, RetryVerdict::Retry },
    idempotent_written = { true, Progress::Written, 1, 1_000, RetryVerdict::Retry },
    not_idempotent_unsent = { false, Progress::Unsent, 1, 1_000, RetryVerdict::Retry },
    not_idempotent_refused = { false, Progress::Refused, 1, 1_000, RetryVerdict::Retry },
    not_idempotent_written = { false, Progress::Written, 1, 1_000, RetryVerdict::NotIdempotent },
    third_attempt = { true, Progress::Written, 3, 1_000, RetryVerdict::Retry },
    fourth_attempt = { true, Progress::Unsent, 4, 1_000, RetryVerdict::AttemptsSpent },
    deadline_passed = { true, Progress::Unsent, 1, 0, RetryVerdict::DeadlinePassed },
)]
fn retries_depend_on_idempotence_progress_attempts_and_deadline(
    idempotent: bool,
    progress: Progress,
    attempts: u32,
    left: u64,
    verdict: RetryVerdict,
) {
    let now = Instant::now();
    let failed = Attempt {
        idempotent,
        progress,
        attempts,
        deadline: now + ms(left),
    };
    assert_eq!(RetryBudget::new(10, now).may_retry(failed, now), verdict);
}

#[test]
fn the_first_retry_of_a_request_is_not_charged() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10, now);
    let first = Attempt {
        attempts: 1,
        ..attempt(now)
    };
    for _ in 0..100 {
        assert_eq!(budget.may_retry(first, now), RetryVerdict::Retry);
    }
    assert_eq!(budget.remaining(), 3);
}

#[test]
fn a_node_without_successes_may_send_a_few_retries() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10, now);
    let mut retry = |at: Instant| budget.may_retry(attempt(at), at);
    for _ in 0..3 {
        assert_eq!(retry(now), RetryVerdict::Retry);
    }
    assert_eq!(retry(now), RetryVerdict::BudgetSpent);
    assert_eq!(retry(now + ms(1_000)), RetryVerdict::Retry);
    assert_eq!(retry(now + ms(1_000)), RetryVerdict::BudgetSpent);
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Retries stay within the percentage of successes, plus the minimum.
    #[test]
    fn retries_are_bounded_by_successes(answers in proptest::collection::vec(any::<bool>(), 0..2_000)) {
        let now = Instant::now();
        let mut budget = RetryBudget::new(10, now);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for success in answers {
            if success {
                budget.record_success();
                successes += 1;
            } else if budget.may_retry(attempt(now), now) == RetryVerdict::Retry {
                retries += 1;
            }
            prop_assert!(retries <= 3 + successes / 10 + 1);
        }
    }
}
