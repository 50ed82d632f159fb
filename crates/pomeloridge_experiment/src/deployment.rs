//! Experiment plans of the two deployments.

use crate::plan::{
    AccountPlan, Capacity, Kind, KindPlan, MixTrend, Plan, Reclaim, Shape, Targets, Wave,
};

/// Time over which requests arrive, in real seconds.
const DURATION_S: f64 = 40.0;
/// Period of the mix, in unscaled seconds.
const MIX_PERIOD_S: f64 = 120.0;
/// Period of the load, in unscaled seconds.
const LOAD_PERIOD_S: f64 = 300.0;
/// Fraction of the run after which a data centre is lost.
const RECLAIM_FRACTION: f64 = 0.6;
/// Each account's share of the arrivals; the first two accounts are large.
const DEMANDS: [f64; 8] = [0.34, 0.22, 0.14, 0.08, 0.07, 0.06, 0.05, 0.04];
/// Fair-share weight of a large account.
const LARGE_WEIGHT: f64 = 4.0;
/// Number of large accounts, the first of the list.
const LARGE_ACCOUNTS: usize = 2;
/// Sessions per account; their prefixes together exceed several KV caches.
const SESSIONS: u32 = 24;
/// Latency targets of streamed answers.
const TARGETS: Targets = Targets {
    first_ms: 940.0,
    gap_ms: 43.0,
    step_ms: 5.0,
};
/// Deadline for a complete answer of a plain service, in unscaled ms.
const DEADLINE_MS: f64 = 10_000.0;
/// Timeout of a caller, in real seconds.
const TIMEOUT_S: f64 = 75.0;

/// A deployment that has an experiment plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Deployment {
    /// The Ühistu's deployment: 12 engines and 4 services in 4 data centres.
    #[display("annex_b")]
    AnnexB,
    /// Altiplano's deployment: 9 engines and 3 services in 3 data centres.
    #[display("altiplano")]
    Altiplano,
}

/// Parameters in which the deployments differ.
struct Parameters {
    model: &'static str,
    service: &'static str,
    engines: u32,
    data_centres: u32,
    lost_data_centre: &'static str,
    shape: Shape,
}

impl Deployment {
    fn parameters(self) -> Parameters {
        match self {
            Self::AnnexB => Parameters {
                model: "assistant",
                service: "/filings",
                engines: 12,
                data_centres: 4,
                lost_data_centre: "tartu-a",
                shape: Shape::Square,
            },
            Self::Altiplano => Parameters {
                model: "recall",
                service: "/visits",
                engines: 9,
                data_centres: 3,
                lost_data_centre: "gt-central-b",
                shape: Shape::Sine,
            },
        }
    }
}

/// Returns the plan of a deployment whose mixed engines process `prefill` prompt
/// tokens and generate `decode` output tokens per unscaled second.
///
/// The accounts are named as in the launched deployments: `account-1`, `account-2`, …
pub fn plan(deployment: Deployment, seed: u64, scale: f64, prefill: f64, decode: f64) -> Plan {
    let parameters = deployment.parameters();
    Plan {
        deployment: deployment.to_string(),
        seed,
        scale,
        duration_s: DURATION_S,
        model: parameters.model.to_owned(),
        service: parameters.service.to_owned(),
        accounts: accounts(),
        kinds: kinds(),
        capacity: Capacity {
            engines: parameters.engines,
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
            shape: parameters.shape,
            low: 0.1,
            high: 0.9,
            period_s: MIX_PERIOD_S / scale,
        },
        sessions: SESSIONS,
        targets: TARGETS,
        timeout_s: TIMEOUT_S,
        reclaim: Some(Reclaim {
            at_s: DURATION_S * RECLAIM_FRACTION,
            data_centre: parameters.lost_data_centre.to_owned(),
            left: 1.0 - 1.0 / f64::from(parameters.data_centres),
        }),
    }
}

fn accounts() -> Vec<AccountPlan> {
    let account = |(index, demand): (usize, &f64)| AccountPlan {
        name: format!("account-{}", index + 1),
        weight: if index < LARGE_ACCOUNTS {
            LARGE_WEIGHT
        } else {
            1.0
        },
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
        follow: MixTrend::Steady,
        prompt: 0,
        shared: 0,
        output: 0,
        deadline_ms: DEADLINE_MS,
    };
    vec![
        model(Kind::ShortPrompt, 0.6, MixTrend::Output, (150, 0, 400)),
        model(Kind::LongPrompt, 0.6, MixTrend::Prompt, (2000, 1024, 60)),
        model(Kind::Chat, 0.15, MixTrend::Steady, (1200, 1024, 150)),
        service(Kind::Submission, 4.0, 0.05),
        service(Kind::Lookup, 2.0, 0.03),
    ]
}
