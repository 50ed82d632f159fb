//! Tests of the planned server counts and stage changes.

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::Stage;
use pomeloridge_policy::scaling::{
    DataCentreTarget, DataCentreView, ScalingView, ServerCount, plan_server_counts,
};
use pomeloridge_policy::stage_assignment::{EngineView, StageLoad, plan_stage_changes};
use proptest::prelude::*;

fn ready(count: u32) -> ServerCount {
    ServerCount {
        ready: count,
        expected: count,
    }
}

fn view(centres: &[(u32, u32)], load: f64) -> ScalingView {
    let centres = centres.iter().enumerate();
    let centres = centres.map(|(index, (on_demand, preemptible))| DataCentreView {
        data_centre: Name::from(format!("dc-{index}")),
        on_demand: ready(*on_demand),
        preemptible: ready(*preemptible),
        sold_out: false,
        retry_due: false,
    });
    ScalingView {
        data_centres: centres.collect(),
        min: 1,
        max: 6,
        has_preemptible: true,
        load,
        load_known: true,
    }
}

/// Guards against a new holder of the duties that takes the load of the few nodes it has heard for
/// that of all, and releases the servers that carry it.
#[test]
fn no_server_is_released_before_the_load_is_known() {
    let mut view = view(&[(4, 0), (0, 4), (2, 2)], 1.0);
    view.load_known = false;
    let ordered = numbers(&plan_server_counts(&view));
    for ((on_demand, preemptible), before) in ordered.iter().zip(&view.data_centres) {
        assert!(*on_demand >= before.on_demand.ready, "{ordered:?}");
        assert!(*preemptible >= before.preemptible.ready, "{ordered:?}");
    }
    view.load_known = true;
    let ordered = numbers(&plan_server_counts(&view));
    assert!(ordered[0].0 < 4, "{ordered:?}");
    // What is missing is ordered at once.
    view.load_known = false;
    view.load = 20.0;
    let ordered = numbers(&plan_server_counts(&view));
    let total: u32 = ordered.iter().map(|(on_demand, _)| on_demand).sum();
    assert!(total > 6, "{ordered:?}");
}

fn numbers(targets: &[DataCentreTarget]) -> Vec<(u32, u32)> {
    targets
        .iter()
        .map(|t| (t.on_demand, t.preemptible))
        .collect()
}

/// A fleet of on-demand servers before its first request.
#[test]
fn preemptible_servers_replace_on_demand_servers() {
    let ordered = numbers(&plan_server_counts(&view(&[(3, 0), (3, 0), (3, 0)], 0.0)));
    assert_eq!(ordered, [(1, 5), (1, 5), (1, 5)]);
    let ordered = numbers(&plan_server_counts(&view(&[(1, 5), (1, 5), (1, 5)], 0.0)));
    assert_eq!(ordered, [(0, 5), (0, 5), (0, 5)]);
}

#[test]
fn under_load_on_demand_servers_stay_until_preemptible_ones_are_ready() {
    let ordered = plan_server_counts(&view(&[(3, 0), (3, 0), (3, 0)], 4.5));
    let on_demand: u32 = ordered.iter().map(|target| target.on_demand).sum();
    assert_eq!(on_demand, 9);
    assert!(ordered.iter().all(|target| target.preemptible == 3));
}

/// All preemptible servers of a data centre are reclaimed, and it is sold out for a while.
#[test]
fn other_data_centres_take_the_share_of_a_sold_out_one() {
    let mut view = view(&[(0, 5), (0, 5), (0, 0)], 3.5);
    view.max = 12;
    view.data_centres[2].sold_out = true;
    let ordered = numbers(&plan_server_counts(&view));
    assert_eq!(ordered[2].1, 0, "{ordered:?}");
    // Either of the others can carry the load alone.
    assert!(
        ordered[..2]
            .iter()
            .all(|(_, preemptible)| *preemptible >= 9),
        "{ordered:?}"
    );
    view.data_centres[2].sold_out = false;
    let ordered = numbers(&plan_server_counts(&view));
    assert!(
        ordered.iter().all(|(_, preemptible)| *preemptible >= 9),
        "{ordered:?}"
    );
}

/// A data centre is sold out at a time of little load. What was kept there for bursts is kept in
/// the others: they must carry the next burst and the next reclaim without it.
#[test]
fn headroom_moves_to_the_data_centres_that_have_servers() {
    let mut view = view(&[(0, 9), (0, 9), (0, 0)], 3.0);
    view.max = 12;
    view.data_centres[2].sold_out = true;
    let ordered = numbers(&plan_server_counts(&view));
    assert_eq!(ordered, [(0, 12), (0, 12), (1, 0)]);
}

/// Every few seconds an order is tried again where servers were sold out. The others must not
/// release theirs before it is met.
#[test]
fn a_repeated_order_releases_no_servers_elsewhere() {
    let mut view = view(&[(0, 12), (0, 12), (1, 0)], 3.0);
    view.max = 12;
    view.data_centres[2].sold_out = true;
    view.data_centres[2].retry_due = true;
    let ordered = numbers(&plan_server_counts(&view));
    assert_eq!((ordered[0], ordered[1]), ((0, 12), (0, 12)));
    assert!(ordered[2].1 >= 9, "{ordered:?}");
}

/// Orders were not met anywhere. What there is must not be released when they are tried again.
#[test]
fn sold_out_everywhere_releases_nothing() {
    for ready in [2, 5, 8, 10, 12] {
        let mut view = view(&[(0, ready), (0, ready), (0, ready)], 1.0);
        view.max = 12;
        for centre in &mut view.data_centres {
            (centre.sold_out, centre.retry_due) = (true, true);
        }
        for (_, preemptible) in numbers(&plan_server_counts(&view)) {
            assert!(preemptible >= ready.max(9), "{ready}: {preemptible}");
        }
    }
}

/// An order for one more server was not met. The data centre has its share all the same, and the others
/// keep theirs.
#[test]
fn a_sold_out_data_centre_that_has_its_share_changes_nothing_elsewhere() {
    let mut view = view(&[(0, 9), (0, 9), (0, 11)], 3.0);
    view.max = 12;
    view.data_centres[2].sold_out = true;
    let ordered = numbers(&plan_server_counts(&view));
    assert_eq!(ordered, [(0, 9), (0, 9), (0, 11)]);
}

/// All preemptible servers of a data centre are reclaimed, and no others are available.
#[test]
fn after_a_reclaim_missing_capacity_is_ordered_on_demand() {
    let mut view = view(&[(0, 5), (0, 5), (0, 0)], 10.0);
    let ordered = numbers(&plan_server_counts(&view));
    let on_demand: u32 = ordered.iter().map(|(on_demand, _)| on_demand).sum();
    assert!(on_demand >= 3, "{ordered:?}");
    // Servers that are still starting are not ordered again.
    view.data_centres[2].on_demand.expected = 4;
    let ordered = numbers(&plan_server_counts(&view));
    assert_eq!(ordered[0].0 + ordered[1].0, 0, "{ordered:?}");
}

#[test]
fn a_service_without_preemptible_servers_keeps_its_servers() {
    let view = ScalingView {
        has_preemptible: false,
        ..view(&[(3, 0), (2, 0)], 0.0)
    };
    assert_eq!(numbers(&plan_server_counts(&view)), [(3, 0), (2, 0)]);
}

proptest! {
    #[test]
    fn server_counts_stay_within_the_bounds_of_a_data_centre(
        centres in proptest::collection::vec((0_u32..7, 0_u32..7), 1..5),
        load in 0.0_f64..40.0,
    ) {
        let view = view(&centres, load);
        for target in plan_server_counts(&view) {
            prop_assert!(target.on_demand + target.preemptible >= view.min);
            let max_existing = centres.iter().map(|(on_demand, _)| *on_demand).max().unwrap_or(0);
            prop_assert!(target.on_demand + target.preemptible <= view.max.max(max_existing));
        }
    }
}

fn engines(stages: &[Stage]) -> Vec<EngineView> {
    let engines = stages.iter().enumerate();
    let engines = engines.map(|(index, stage)| EngineView {
        id: Name::from(format!("e-{index}")),
        data_centre: Name::from(format!("dc-{}", index % 3)),
        stage: *stage,
        running: index as u32,
        changing: false,
        ejected: false,
    });
    engines.collect()
}

const D: Stage = Stage::Decode;
const P: Stage = Stage::Prefill;

/// Preemptible engines start, all in the same stage, before the first request.
#[test]
fn new_engines_are_divided_over_stages_and_data_centres() {
    let changes = plan_stage_changes(&engines(&[D; 12]), StageLoad::default());
    assert_eq!(changes.len(), 5);
    assert!(changes.iter().all(|change| change.stage == P));
    let centre = |id: &Name| id.as_str()[2..].parse::<u32>().unwrap() % 3;
    for data_centre in 0..3 {
        let in_centre = changes
            .iter()
            .filter(|change| centre(&change.id) == data_centre);
        assert!(in_centre.count() >= 1);
    }
}

#[test]
fn changes_in_progress_are_counted() {
    let mut engines = engines(&[P, P, P, P, P, D, D, D, D, D, D, D]);
    for engine in &mut engines[..5] {
        engine.changing = true;
    }
    assert!(plan_stage_changes(&engines, StageLoad::default()).is_empty());
}

/// The mix shifts to long prompts for longer than a stage change takes.
#[test]
fn a_lasting_shift_of_load_changes_one_engine_at_a_time() {
    let load = StageLoad {
        prefill: 6.0,
        decode: 2.0,
    };
    let mut engines = engines(&[P, P, P, D, D, D, D, D, D]);
    let ordered = plan_stage_changes(&engines, load);
    assert_eq!(ordered.len(), 1);
    assert_eq!((ordered[0].id.as_str(), ordered[0].stage), ("e-3", P));
    engines[3].changing = true;
    assert!(plan_stage_changes(&engines, load).is_empty());
}

/// Engines crash while the mix shifts to long prompts. A crashed engine is the least busy one, and
/// stays in the list for seconds.
#[test]
fn engines_that_crash_while_the_mix_shifts_are_not_picked() {
    let load = StageLoad {
        prefill: 6.0,
        decode: 2.0,
    };
    let mut engines = engines(&[P, P, P, D, D, D, D, D, D]);
    for index in [3, 4] {
        engines[index].ejected = true;
        engines[index].running = 0;
    }
    let ordered = plan_stage_changes(&engines, load);
    assert_eq!(ordered.len(), 1);
    assert_eq!((ordered[0].id.as_str(), ordered[0].stage), ("e-5", P));
    for engine in &mut engines[3..] {
        engine.ejected = true;
    }
    assert!(plan_stage_changes(&engines, load).is_empty());
}

/// Most decode engines crash at once, and are soon back. If they didn't count, a prefill engine
/// would be changed in their place, and then back again.
#[test]
fn crashed_engines_count_in_their_stage() {
    let load = StageLoad {
        prefill: 3.0,
        decode: 9.0,
    };
    let mut engines = engines(&[P, P, P, D, D, D, D, D, D, D, D, D]);
    for engine in &mut engines[3..9] {
        engine.ejected = true;
    }
    assert!(plan_stage_changes(&engines, load).is_empty());
}

#[test]
fn a_small_imbalance_changes_nothing() {
    let load = StageLoad {
        prefill: 4.0,
        decode: 5.0,
    };
    assert!(plan_stage_changes(&engines(&[P, P, P, D, D, D, D, D, D]), load).is_empty());
}

#[test]
fn each_stage_keeps_at_least_one_engine() {
    let load = StageLoad {
        prefill: 50.0,
        decode: 0.0,
    };
    assert!(plan_stage_changes(&engines(&[P, D]), load).is_empty());
    assert!(plan_stage_changes(&engines(&[D]), load).is_empty());
    assert!(plan_stage_changes(&engines(&[Stage::Unified; 4]), load).is_empty());
}
