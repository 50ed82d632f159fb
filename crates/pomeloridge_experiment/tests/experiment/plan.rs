//! Tests of plans, arrivals, prompts and the balancer.

use pomeloridge_experiment::arrivals::{Arrival, arrivals, prompt};
use pomeloridge_experiment::balancer::Balancer;
use pomeloridge_experiment::deployment::{Deployment, plan};
use pomeloridge_experiment::plan::{Kind, Plan, Shape, Wave};
use std::time::{Duration, Instant};
use yare::parameterized;

#[parameterized(
    annex_b = { Deployment::AnnexB },
    altiplano = { Deployment::Altiplano },
)]
fn the_seed_determines_the_arrivals(deployment: Deployment) {
    let make = |seed| plan(deployment, seed, 10.0, 4000.0, 400.0);
    assert_eq!(arrivals(&make(1)), arrivals(&make(1)));
    assert_ne!(arrivals(&make(1)), arrivals(&make(2)));
}

#[parameterized(
    annex_b = { Deployment::AnnexB, 12.0 },
    altiplano = { Deployment::Altiplano, 9.0 },
)]
fn the_offered_work_is_near_the_capacity(deployment: Deployment, engines: f64) {
    let plan = plan(deployment, 1, 10.0, 4000.0, 400.0);
    for second in 0..40 {
        let at = f64::from(second);
        let work = |cost: fn(&Plan, usize) -> f64| -> f64 {
            let shares = plan.kind_shares(at).into_iter().enumerate();
            shares
                .map(|(index, share)| share * cost(&plan, index))
                .sum()
        };
        let prefill = work(|plan, index| f64::from(plan.kinds[index].prompt) / 4000.0);
        let decode = work(|plan, index| f64::from(plan.kinds[index].output) / 400.0);
        let load = plan.rate(at) * prefill.max(decode) / (engines * 10.0);
        assert!((0.9 - 1e-9..=1.1 + 1e-9).contains(&load), "{load}");
    }
}

#[test]
fn a_plan_round_trips_through_json() {
    let made = plan(Deployment::Altiplano, 3, 4.0, 4000.0, 400.0);
    let text = serde_json::to_string(&made).unwrap();
    assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), made);
}

#[parameterized(
    square_first_half = { Shape::Square, 4.9, 0.9 },
    square_second_half = { Shape::Square, 5.1, 0.1 },
    square_next = { Shape::Square, 10.1, 0.9 },
    sine_start = { Shape::Sine, 0.0, 0.5 },
    sine_top = { Shape::Sine, 2.5, 0.9 },
    sine_bottom = { Shape::Sine, 7.5, 0.1 },
)]
fn waves(shape: Shape, seconds: f64, expected: f64) {
    let wave = Wave {
        shape,
        low: 0.1,
        high: 0.9,
        period_s: 10.0,
    };
    assert!((wave.at(seconds) - expected).abs() < 1e-9);
}

#[test]
fn prompts_share_only_their_sessions_prefix() {
    let plan = plan(Deployment::AnnexB, 1, 10.0, 4000.0, 400.0);
    let list = arrivals(&plan);
    let long: Vec<_> = list.iter().filter(|a| a.kind == Kind::LongPrompt).collect();
    let first = long[0];
    let same = |a: &&&Arrival| (a.account, a.session) == (first.account, first.session);
    let other = long[1..].iter().find(same).unwrap();
    let (one, two) = (prompt(&plan, first), prompt(&plan, other));
    assert_eq!((one.len(), two.len()), (8000, 8000));
    assert_eq!(one[..4096], two[..4096]);
    assert_ne!(one[4096..4352], two[4096..4352]);
    let other_account = long.iter().find(|a| a.account != first.account).unwrap();
    assert_ne!(one[..256], prompt(&plan, other_account)[..256]);
}

#[test]
fn a_node_that_refused_is_excluded_for_a_second() {
    let nodes = ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().unwrap());
    let mut balancer = Balancer::new(&nodes);
    let now = Instant::now();
    assert_eq!(balancer.pick(now), Some(nodes[0]));
    balancer.exclude(nodes[1], now);
    assert_eq!(balancer.pick(now), Some(nodes[0]));
    balancer.exclude(nodes[0], now);
    assert_eq!(balancer.pick(now), None);
    assert!(balancer.pick(now + Duration::from_secs(1)).is_some());
}
