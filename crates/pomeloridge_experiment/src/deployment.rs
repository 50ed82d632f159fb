//! The plans of the two deployments.

use crate::plan::{
    AccountPlan, Capacity, Follow, Kind, KindPlan, Plan, Reclaim, Shape, Targets, Wave,
};

/// Time over which requests arrive, in real seconds.
const DURATION_S: f64 = 40.0;
/// One swing of the mix, in unscaled seconds.
const MIX_PERIOD_S: f64 = 120.0;
/// One swing of the load, in unscaled seconds.
const LOAD_PERIOD_S: f64 = 300.0;
/// Part of the run after which a data centre is lost.
const RECLAIM_PART: f64 = 0.6;
/// Each account's share of the arrivals; the first two accounts are large.
const DEMANDS: [f64; 8] = [0.34, 0.22, 0.14, 0.08, 0.07, 0.06, 0.05, 0.04];
/// Weight of a large account's fair share.
const LARGE_WEIGHT: f64 = 4.0;
/// Number of large accounts.
const LARGE: usize = 2;
/// Sessions of each account; together their prefixes fill several caches.
const SESSIONS: u32 = 24;
/// Targets of streamed answers.
const TARGETS: Targets = Targets {
    first_ms: 940.0,
    gap_ms: 43.0,
    step_ms: 5.0,
};
/// Time until a plain service's answer must be whole, in ms.
const DEADLINE_MS: f64 = 10_000.0;
/// Time after which a caller gives an answer up, in real seconds.
const PATIENCE_S: f64 = 75.0;

/// A deployment that can be planned for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Deployment {
    /// The Ühistu's: 12 engines and 4 services in 4 data centres.
    #[display("annex_b")]
    AnnexB,
    /// Altiplano's: 9 engines and 3 services in 3 data centres.
    #[display("altiplano")]
    Altiplano,
}

/// Sizes of a deployment, and how its mix swings.
struct Sizes {
    model: &'static str,
    service: &'static str,
    engines: u32,
    centres: u32,
    lost: &'static str,
    shape: Shape,
}

impl Deployment {
    fn sizes(self) -> Sizes {
        match self {
            Self::AnnexB => Sizes {
                model: "assistant",
                service: "/filings",
                engines: 12,
                centres: 4,
                lost: "tartu-a",
                shape: Shape::Square,
            },
            Self::Altiplano => Sizes {
                model: "recall",
                service: "/visits",
                engines: 9,
                centres: 3,
                lost: "gt-central-b",
                shape: Shape::Sine,
            },
        }
    }
}

/// The plan of a deployment whose mixed engines read `prefill` prompt tokens and
/// make `decode` output tokens a second, unscaled.
///
/// The account names are those of the launched deployments: `account-1` and on.
pub fn plan(deployment: Deployment, seed: u64, scale: f64, prefill: f64, decode: f64) -> Plan {
    let sizes = deployment.sizes();
    Plan {
        deployment: deployment.to_string(),
        seed,
        scale,
        duration_s: DURATION_S,
        model: sizes.model.to_owned(),
        service: sizes.service.to_owned(),
        accounts: accounts(),
        kinds: kinds(),
        capacity: Capacity {
            engines: sizes.engines,
            prefill,
            decode,
        },
        load: Wave {
            shape: Shape::Sine,
            low: 0.9,
            high: 1.1,
            period_s: LOAD_PERIOD_S / scale,
        },
        mix: Wave {
            shape: sizes.shape,
            low: 0.1,
            high: 0.9,
            period_s: MIX_PERIOD_S / scale,
        },
        sessions: SESSIONS,
        targets: TARGETS,
        patience_s: PATIENCE_S,
        reclaim: Some(Reclaim {
            at_s: DURATION_S * RECLAIM_PART,
            data_centre: sizes.lost.to_owned(),
            left: 1.0 - 1.0 / f64::from(sizes.centres),
        }),
    }
}

fn accounts() -> Vec<AccountPlan> {
    let account = |(index, demand): (usize, &f64)| AccountPlan {
        name: format!("account-{}", index + 1),
        weight: if index < LARGE { LARGE_WEIGHT } else { 1.0 },
        demand: *demand,
    };
    DEMANDS.iter().enumerate().map(account).collect()
}

fn kinds() -> Vec<KindPlan> {
    let model = |kind, share, follow, (prompt, shared, output)| KindPlan {
        kind,
        weight: 1.0,
        share,
        follow,
        prompt,
        shared,
        output,
        deadline_ms: DEADLINE_MS,
    };
    let service = |kind, weight, share| KindPlan {
        kind,
        weight,
        share,
        follow: Follow::Steady,
        prompt: 0,
        shared: 0,
        output: 0,
        deadline_ms: DEADLINE_MS,
    };
    vec![
        model(Kind::ShortPrompt, 0.6, Follow::Output, (150, 0, 400)),
        model(Kind::LongPrompt, 0.6, Follow::Prompt, (2000, 1024, 60)),
        model(Kind::Chat, 0.15, Follow::Steady, (1200, 1024, 150)),
        service(Kind::Submission, 4.0, 0.05),
        service(Kind::Lookup, 2.0, 0.03),
    ]
}
