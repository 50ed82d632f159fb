//! The decisions about roles and models.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_duties::demand::OfferedLoad;
use pomeloridge_duties::placement::{MoveHold, PlacementOptions, place};
use pomeloridge_duties::placement_baseline::PlacementPolicy;
use pomeloridge_duties::placement_view::{
    EngineView, ModelView, PlacementChoice, PlacementDecision, PlacementReason, Standing,
};
use pomeloridge_duties::plan::PoolPlan;
use pomeloridge_policy::server::Role;
use proptest::prelude::*;
use yare::parameterized;

use crate::support::config;

fn plan() -> PoolPlan {
    PoolPlan {
        pool: "chat".into(),
        floor: 1,
        ceiling: 64,
        held: false,
        rates: None,
    }
}

fn engine(id: usize, role: Role) -> EngineView {
    EngineView {
        id: format!("chat-{id:02}").into(),
        data_centre: ["a", "b", "c", "d"][id % 4].into(),
        role,
        standing: Standing::Serving,
        pinned: None,
        load: 1,
    }
}

fn mixed(count: usize) -> Vec<EngineView> {
    (0..count).map(|id| engine(id, Role::Mixed)).collect()
}

fn decide(engines: &[EngineView], mix: (f64, f64), loads: usize) -> Vec<PlacementDecision> {
    let plan = plan();
    let view = ModelView {
        plan: &plan,
        engines,
        mix: OfferedLoad {
            prefill: mix.0,
            decode: mix.1,
        },
        loads,
    };
    place(&view, &PlacementOptions::default())
}

fn only_move(decisions: &[PlacementDecision]) -> Option<(&Name, Role, Role)> {
    match decisions {
        [] => None,
        [
            PlacementDecision {
                choice: PlacementChoice::Move { engine, from, to },
                ..
            },
        ] => Some((engine, *from, *to)),
        _ => panic!("{decisions:?}"),
    }
}

#[parameterized(
    prompts = { (13.2, 3.0), Some(Role::Prefill) },
    output = { (3.0, 13.2), Some(Role::Decode) },
    relaxed = { (6.0, 3.0), None },
    balanced = { (13.2, 13.2), None },
)]
fn an_engine_moves_to_the_scarcer_work(mix: (f64, f64), to: Option<Role>) {
    let decisions = decide(&mixed(12), mix, 0);
    assert_eq!(
        only_move(&decisions).map(|(_, _, to)| to),
        to,
        "{decisions:?}"
    );
}

#[test]
fn the_least_loaded_engine_moves() {
    let mut engines = mixed(12);
    engines[7].load = 0;
    let decisions = decide(&engines, (13.2, 3.0), 0);
    assert_eq!(only_move(&decisions).unwrap().0, &engines[7].id);
}

#[test]
fn the_last_of_a_role_in_a_data_centre_stays() {
    assert!(decide(&mixed(4), (4.4, 1.0), 0).is_empty());
    let decisions = decide(&mixed(5), (5.5, 1.0), 0);
    let (engine, ..) = only_move(&decisions).unwrap();
    assert!(["chat-00", "chat-04"].contains(&engine.as_str()));
}

#[parameterized(
    ordered = { Standing::Ordered },
    lacking = { Standing::Lacking },
)]
fn one_change_of_a_model_at_a_time(standing: Standing) {
    let mut engines = mixed(12);
    engines[3].standing = standing;
    let decisions = decide(&engines, (13.2, 3.0), 0);
    let moves = |decision: &PlacementDecision| decision.reason == PlacementReason::Mix;
    assert!(!decisions.iter().any(moves), "{decisions:?}");
}

#[test]
fn pinned_and_drained_engines_do_not_move() {
    let mut engines = mixed(12);
    for engine in &mut engines {
        engine.pinned = Some(Role::Mixed);
    }
    assert!(decide(&engines, (13.2, 3.0), 0).is_empty());
    engines[5].pinned = Some(Role::Decode);
    let decisions = decide(&engines, (13.2, 3.0), 0);
    assert_eq!(
        only_move(&decisions),
        Some((&engines[5].id, Role::Mixed, Role::Decode))
    );
    assert_eq!(decisions[0].reason, PlacementReason::Pinned);
    engines[5].standing = Standing::Excepted;
    assert!(decide(&engines, (13.2, 3.0), 0).is_empty());
}

#[parameterized(none_under_way = { 0, 2 }, one = { 1, 1 }, full = { 2, 0 })]
fn loads_are_limited(under_way: usize, begun: usize) {
    let mut engines = mixed(12);
    for engine in &mut engines[..5] {
        engine.standing = Standing::Lacking;
    }
    let decisions = decide(&engines, (1.0, 1.0), under_way);
    let loads = |decision: &&PlacementDecision| decision.reason == PlacementReason::Lacking;
    assert_eq!(decisions.iter().filter(loads).count(), begun);
}

#[test]
fn a_move_must_be_wanted_for_the_hold_time() {
    let options = PlacementOptions::default();
    let model = Name::from("chat");
    let prefill = decide(&mixed(12), (13.2, 3.0), 0).remove(0);
    let decode = decide(&mixed(12), (3.0, 13.2), 0).remove(0);
    let begin = Instant::now();
    let at = |seconds| begin + Duration::from_secs(seconds);
    let mut hold = MoveHold::default();
    assert!(!hold.allows(&model, &prefill, at(0), &options));
    assert!(!hold.allows(&model, &prefill, at(9), &options));
    assert!(hold.allows(&model, &prefill, at(10), &options));
    assert!(
        !hold.allows(&model, &decode, at(11), &options),
        "another role"
    );
    hold.clear(&model);
    assert!(!hold.allows(&model, &decode, at(30), &options));
}

#[test]
fn the_threshold_rule_moves_back_and_forth() {
    let plan = plan();
    let engines = mixed(12);
    let mix = |prefill, decode| ModelView {
        plan: &plan,
        engines: &engines,
        mix: OfferedLoad { prefill, decode },
        loads: 0,
    };
    let options = PlacementOptions::default();
    let to = |view: ModelView| {
        let decisions = PlacementPolicy::Threshold.decide(&view, &options);
        only_move(&decisions).map(|(_, _, to)| to)
    };
    assert_eq!(to(mix(10.0, 2.0)), Some(Role::Prefill));
    assert_eq!(to(mix(2.0, 10.0)), Some(Role::Decode));
    assert_eq!(to(mix(2.0, 2.0)), None);
}

proptest! {
    #![proptest_config(config(256))]

    /// Moves under an unchanged mix come to an end, and leave each data centre its roles.
    #[test]
    fn moves_come_to_an_end(
        prefill in 0.0_f64..30.0,
        decode in 0.0_f64..30.0,
        roles in prop::collection::vec(0_usize..3, 1..16),
    ) {
        let all = [Role::Prefill, Role::Decode, Role::Mixed];
        let mut engines: Vec<_> = roles.iter().enumerate().map(|(id, role)| engine(id, all[*role])).collect();
        for _ in 0..100 {
            let decisions = decide(&engines, (prefill, decode), 0);
            let Some((id, from, to)) = only_move(&decisions) else {
                return Ok(());
            };
            let index = engines.iter().position(|engine| engine.id == *id).unwrap();
            engines[index].role = to;
            let left = engines.iter().filter(|engine| {
                engine.data_centre == engines[index].data_centre && engine.role == from
            });
            prop_assert!(left.count() >= 1);
        }
        prop_assert!(false, "100 moves and more");
    }
}
