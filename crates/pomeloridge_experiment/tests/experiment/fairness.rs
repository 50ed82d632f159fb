//! Tests of the max-min fair shares and of the accounts' work.

use pomeloridge_experiment::fairness::{Claim, account_work, fair_shares};
use pomeloridge_experiment::plan::Kind;
use pomeloridge_experiment::verdict::Verdict;
use yare::parameterized;

use crate::support::{good, short_plan};

#[parameterized(
    equal = { &[(1.0, 9.0), (1.0, 9.0)], 10.0, &[5.0, 5.0] },
    weighted = { &[(4.0, 9.0), (1.0, 9.0)], 10.0, &[8.0, 2.0] },
    small_demand_leaves_the_rest = { &[(1.0, 2.0), (1.0, 9.0)], 10.0, &[2.0, 8.0] },
    the_rest_goes_by_weight = { &[(1.0, 1.0), (2.0, 9.0), (1.0, 9.0)], 10.0, &[1.0, 6.0, 3.0] },
    satisfied_one_after_another = { &[(1.0, 1.0), (1.0, 4.0), (1.0, 9.0)], 12.0, &[1.0, 4.0, 7.0] },
    enough_for_all = { &[(1.0, 2.0), (9.0, 3.0)], 10.0, &[2.0, 3.0] },
    no_demand = { &[(1.0, 0.0), (1.0, 9.0)], 4.0, &[0.0, 4.0] },
    no_weight = { &[(0.0, 9.0), (1.0, 9.0)], 4.0, &[0.0, 4.0] },
    no_total = { &[(1.0, 9.0)], 0.0, &[0.0] },
    no_claims = { &[], 5.0, &[] },
)]
fn shares(claims: &[(f64, f64)], total: f64, expected: &[f64]) {
    let claim = |&(weight, demand): &(f64, f64)| Claim { weight, demand };
    let claims: Vec<Claim> = claims.iter().map(claim).collect();
    let shares = fair_shares(&claims, total);
    assert_eq!(shares.len(), expected.len());
    let pairs = shares.iter().zip(expected);
    assert!(
        pairs.clone().all(|(a, b)| (a - b).abs() < 1e-9),
        "{shares:?}"
    );
}

#[test]
fn an_account_that_gets_less_than_its_share_falls_below_one() {
    let plan = short_plan();
    // Accounts 2 and 3 have equal weights; the second is served half as much as the first.
    let list: Vec<_> = (0..4)
        .map(|index| good(Kind::ShortPrompt, 2 + index % 2, index as u64, 100))
        .collect();
    let verdicts = [
        Verdict::Good,
        Verdict::Good,
        Verdict::Good,
        Verdict::Refused,
    ];
    let works = account_work(&plan, &list, &verdicts);
    assert!((works[2].served_ratio() - 4.0 / 3.0).abs() < 1e-9);
    assert!((works[3].served_ratio() - 2.0 / 3.0).abs() < 1e-9);
    // An account without demand misses nothing.
    assert!((works[0].served_ratio() - 1.0).abs() < 1e-9);
}

#[test]
fn demand_counts_only_in_its_own_window() {
    let plan = short_plan();
    // Windows are three seconds long at this scale.
    let list = [
        good(Kind::ShortPrompt, 2, 0, 100),
        good(Kind::ShortPrompt, 3, 1, 4_000),
        good(Kind::ShortPrompt, 3, 2, 4_100),
    ];
    let verdicts = [Verdict::Good, Verdict::Late, Verdict::Lost];
    let works = account_work(&plan, &list, &verdicts);
    assert!((works[2].served_ratio() - 1.0).abs() < 1e-9);
    assert!((works[3].served_ratio() - 1.0).abs() < 1e-9);
    assert!(works[3].good.abs() < 1e-9);
}
