//! Tests of role changes and model loads.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_duties::demand::OfferedLoad;
use pomeloridge_duties::placement::{PlacementOptions, RoleChangeDebounce, decide_placement};
use pomeloridge_duties::placement_baseline::PlacementPolicy;
use pomeloridge_duties::placement_view::{
    EngineStatus, EngineView, ModelView, PlacementAction, PlacementDecision, PlacementReason,
};
use pomeloridge_duties::pool_config::PoolConfig;
use pomeloridge_policy::server::Role;
use proptest::prelude::*;
use yare::parameterized;

use crate::support::config;

fn pool_config() -> PoolConfig {
    PoolConfig {
        name: "chat".into(),
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
        status: EngineStatus::Serving,
        pinned: None,
        load: 1,
    }
}

fn mixed(count: usize) -> Vec<EngineView> {
    (0..count).map(|id| engine(id, Role::Mixed)).collect()
}

fn decide(
    engines: &[EngineView],
    offered_load: (f64, f64),
    model_loads: usize,
) -> Vec<PlacementDecision> {
    let config = pool_config();
    let view = ModelView {
        config: &config,
        engines,
        offered_load: OfferedLoad {
            prefill: offered_load.0,
            decode: offered_load.1,
        },
        model_loads,
    };
    decide_placement(&view, &PlacementOptions::default())
}

fn only_role_change(decisions: &[PlacementDecision]) -> Option<(&Name, Role, Role)> {
    match decisions {
        [] => None,
        [
            PlacementDecision {
                action: PlacementAction::ChangeRole { engine, from, to },
                ..
            },
        ] => Some((engine, *from, *to)),
        _ => panic!("{decisions:?}"),
    }
}

#[parameterized(
    prefill_heavy = { (13.2, 3.0), Some(Role::Prefill) },
    decode_heavy = { (3.0, 13.2), Some(Role::Decode) },
    low_utilisation = { (6.0, 3.0), None },
    balanced = { (13.2, 13.2), None },
)]
fn an_engine_takes_the_role_with_the_higher_utilisation(
    offered_load: (f64, f64),
    to: Option<Role>,
) {
    let decisions = decide(&mixed(12), offered_load, 0);
    assert_eq!(
        only_role_change(&decisions).map(|(_, _, to)| to),
        to,
        "{decisions:?}"
    );
}

#[test]
fn the_least_loaded_engine_changes_its_role() {
    let mut engines = mixed(12);
    engines[7].load = 0;
    let decisions = decide(&engines, (13.2, 3.0), 0);
    assert_eq!(only_role_change(&decisions).unwrap().0, &engines[7].id);
}

#[test]
fn the_last_engine_of_a_role_in_a_data_centre_keeps_it() {
    assert!(decide(&mixed(4), (4.4, 1.0), 0).is_empty());
    let decisions = decide(&mixed(5), (5.5, 1.0), 0);
    let (engine, ..) = only_role_change(&decisions).unwrap();
    assert!(["chat-00", "chat-04"].contains(&engine.as_str()));
}

#[parameterized(
    order_pending = { EngineStatus::OrderPending },
    model_missing = { EngineStatus::ModelMissing },
)]
fn no_role_change_while_another_engine_changes(status: EngineStatus) {
    let mut engines = mixed(12);
    engines[3].status = status;
    let decisions = decide(&engines, (13.2, 3.0), 0);
    let moves = |decision: &PlacementDecision| decision.reason == PlacementReason::LoadShift;
    assert!(!decisions.iter().any(moves), "{decisions:?}");
}

#[test]
fn pinned_and_drained_engines_keep_their_role() {
    let mut engines = mixed(12);
    for engine in &mut engines {
        engine.pinned = Some(Role::Mixed);
    }
    assert!(decide(&engines, (13.2, 3.0), 0).is_empty());
    engines[5].pinned = Some(Role::Decode);
    let decisions = decide(&engines, (13.2, 3.0), 0);
    assert_eq!(
        only_role_change(&decisions),
        Some((&engines[5].id, Role::Mixed, Role::Decode))
    );
    assert_eq!(decisions[0].reason, PlacementReason::Pinned);
    engines[5].status = EngineStatus::Drained;
    assert!(decide(&engines, (13.2, 3.0), 0).is_empty());
}

#[parameterized(none_in_progress = { 0, 2 }, one = { 1, 1 }, full = { 2, 0 })]
fn concurrent_model_loads_are_limited(in_progress: usize, started: usize) {
    let mut engines = mixed(12);
    for engine in &mut engines[..5] {
        engine.status = EngineStatus::ModelMissing;
    }
    let decisions = decide(&engines, (1.0, 1.0), in_progress);
    let loads = |decision: &&PlacementDecision| decision.reason == PlacementReason::ModelMissing;
    assert_eq!(decisions.iter().filter(loads).count(), started);
}

#[test]
fn a_role_change_must_be_proposed_for_the_debounce_time() {
    let options = PlacementOptions::default();
    let model = Name::from("chat");
    let prefill = decide(&mixed(12), (13.2, 3.0), 0).remove(0);
    let decode = decide(&mixed(12), (3.0, 13.2), 0).remove(0);
    let begin = Instant::now();
    let at = |seconds| begin + Duration::from_secs(seconds);
    let mut debounce = RoleChangeDebounce::default();
    assert!(!debounce.allows(&model, &prefill, at(0), &options));
    assert!(!debounce.allows(&model, &prefill, at(9), &options));
    assert!(debounce.allows(&model, &prefill, at(10), &options));
    assert!(
        !debounce.allows(&model, &decode, at(11), &options),
        "a different role restarts the debounce time"
    );
    debounce.reset(&model);
    assert!(!debounce.allows(&model, &decode, at(30), &options));
}

#[test]
fn the_threshold_policy_follows_the_utilisation() {
    let config = pool_config();
    let engines = mixed(12);
    let view = |prefill, decode| ModelView {
        config: &config,
        engines: &engines,
        offered_load: OfferedLoad { prefill, decode },
        model_loads: 0,
    };
    let options = PlacementOptions::default();
    let to = |view: ModelView| {
        let decisions = PlacementPolicy::Threshold.decide(&view, &options);
        only_role_change(&decisions).map(|(_, _, to)| to)
    };
    assert_eq!(to(view(10.0, 2.0)), Some(Role::Prefill));
    assert_eq!(to(view(2.0, 10.0)), Some(Role::Decode));
    assert_eq!(to(view(2.0, 2.0)), None);
}

proptest! {
    #![proptest_config(config(256))]

    /// Under a constant offered load, role changes end, and no data centre loses a role.
    #[test]
    fn role_changes_converge(
        prefill in 0.0_f64..30.0,
        decode in 0.0_f64..30.0,
        roles in prop::collection::vec(0_usize..3, 1..16),
    ) {
        let all = [Role::Prefill, Role::Decode, Role::Mixed];
        let mut engines: Vec<_> = roles.iter().enumerate().map(|(id, role)| engine(id, all[*role])).collect();
        for _ in 0..100 {
            let decisions = decide(&engines, (prefill, decode), 0);
            let Some((id, from, to)) = only_role_change(&decisions) else {
                return Ok(());
            };
            let index = engines.iter().position(|engine| engine.id == *id).unwrap();
            engines[index].role = to;
            let left = engines.iter().filter(|engine| {
                engine.data_centre == engines[index].data_centre && engine.role == from
            });
            prop_assert!(left.count() >= 1);
        }
        prop_assert!(false, "100 role changes or more");
    }
}
