//! Explains where a request would go now. The explanation reads the same predictions, loads and
//! bars as the choice does, and changes none of them, nor what the next choice draws.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;

use super::load::ReportedLoad;
use super::sample::{Draw, Selection};
use super::target::{Target, TargetKey};
use super::{DispatchRequest, Dispatcher, Plan};

/// Why a server takes no request now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Bar {
    /// It runs another software version than the request is bound to.
    #[display("version")]
    Version,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It asked this node to back off.
    #[display("backoff")]
    Backoff,
    /// Its limit lets this node send nothing now.
    #[display("limit")]
    Limit,
    /// It has already failed this request.
    #[display("tried")]
    Tried,
    /// It is ejected, and no probe is due.
    #[display("ejected")]
    Ejected,
    /// It is assumed to be changing its stage.
    #[display("stage_change")]
    StageChange,
    /// Its memory has no room for the request's tokens.
    #[display("memory")]
    Memory,
}

impl Bar {
    /// Returns whether the server is still considered if no other one takes the request.
    pub fn is_soft(self) -> bool {
        matches!(self, Self::Ejected | Self::StageChange)
    }
}

/// Returns why a server of the request's service takes the request not at all or only as a last
/// resort.
pub(super) fn bars(
    key: TargetKey,
    target: &Target,
    request: &DispatchRequest<'_>,
    now: Instant,
) -> impl Iterator<Item = Bar> {
    let mut versions = request.version.into_iter();
    let found = [
        (
            Bar::Version,
            versions.any(|version| target.info.version != *version),
        ),
        (Bar::Leaving, target.is_leaving()),
        (Bar::Backoff, target.backoff(now).is_some()),
        (Bar::Limit, !target.is_within_limit(now)),
        (Bar::Tried, request.tried.contains(&key)),
        (Bar::Ejected, !target.ejection.may_try(now)),
        (Bar::StageChange, target.is_changing_stage(now)),
    ];
    let found = found.into_iter().filter(|(_, applies)| *applies);
    found.map(|(bar, _)| bar)
}

/// How fast a server has been found to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedSpeed {
    /// Time that work takes there, relative to other servers of the service.
    pub factor: f64,
    /// Time since it was last measured.
    pub age: Duration,
}

/// A server of the request's service, as the choice sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Server.
    pub server: TargetKey,
    /// What bars it.
    pub bars: Vec<Bar>,
    /// Whether it is compared with others; of many servers, only a sample is.
    pub is_compared: bool,
    /// Predicted time to the first data if the server runs the whole request, or until it has
    /// prefilled the prompt.
    pub predicted: Duration,
    /// Leading tokens of the prompt that it has cached.
    pub cached_tokens: u64,
    /// Speed that was learnt of it, if any.
    pub speed: Option<LearnedSpeed>,
    /// Requests known to be on it.
    pub running: u32,
    /// Prompt tokens that it has yet to prefill.
    pub prefill_tokens: u64,
    /// Load in its latest response, however old.
    pub report: Option<ReportedLoad>,
}

/// Where a request would go, and what was compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The next choice; `None` if no server may take the request.
    pub plan: Option<Plan>,
    /// Whether only servers with soft bars are left.
    pub is_last_resort: bool,
    /// All servers of the service, those that are compared first, each group by predicted time.
    pub candidates: Vec<Candidate>,
}

/// Shows the numbers of the next choice as those of the latest until it is dropped.
struct NextDraw<'a> {
    draw: &'a Cell<Draw>,
    latest: Draw,
}

impl<'a> NextDraw<'a> {
    fn new(draw: &'a Cell<Draw>) -> Self {
        let latest = draw.get();
        draw.set(latest.next());
        Self { draw, latest }
    }
}

impl Drop for NextDraw<'_> {
    fn drop(&mut self) {
        self.draw.set(self.latest);
    }
}

impl Dispatcher {
    /// Explains what [`Dispatcher::choose`] would return now.
    pub fn explain(&self, request: &DispatchRequest<'_>, now: Instant) -> Explanation {
        let _next = NextDraw::new(&self.draw);
        let decided = self.decide(request, now);
        let selection = decided.map_or(Selection::LastResort, |(_, selection)| selection);
        let compared = self.compared(request, selection, now);
        let of_service = self.targets.iter();
        let of_service = of_service.filter(|(_, target)| target.info.service == *request.service);
        let mut holders = BTreeMap::new();
        let mut candidates: Vec<Candidate> = of_service
            .map(|(key, target)| {
                let prompt = request.prompt;
                Candidate {
                    server: key,
                    bars: bars(key, target, request, now)
                        .chain(self.memory_bar(target, request, now))
                        .collect(),
                    is_compared: compared.contains(&key),
                    predicted: self.predicted(key, request, &mut holders, now),
                    cached_tokens: prompt.map_or(0, |prompt| {
                        target.prompt_cache.leading_tokens(&prompt.parts)
                    }),
                    speed: self
                        .learned_pace(target, now)
                        .or_else(|| self.learned_speed(target, now)),
                    running: target.running(now),
                    prefill_tokens: target.prefill_tokens(now),
                    report: target.report,
                }
            })
            .collect();
        candidates.sort_by_key(|candidate| (!candidate.is_compared, candidate.predicted));
        Explanation {
            is_last_resort: decided.is_some() && selection == Selection::LastResort,
            plan: decided.map(|(plan, _)| plan),
            candidates,
        }
    }

    /// Returns the bar of an engine whose free memory is too small for a prompt and its output.
    fn memory_bar(
        &self,
        target: &Target,
        request: &DispatchRequest<'_>,
        now: Instant,
    ) -> Option<Bar> {
        let output_tokens = request.needs.output_tokens.unwrap_or_default();
        let tokens = request.prompt?.tokens + u64::from(output_tokens);
        (!self.has_room(target, tokens, now)).then_some(Bar::Memory)
    }

    /// Returns the servers that the choice compares.
    fn compared(
        &self,
        request: &DispatchRequest<'_>,
        selection: Selection,
        now: Instant,
    ) -> Vec<TargetKey> {
        let eligible = self.eligible(request, now, selection == Selection::LastResort);
        let Some(prompt) = request.prompt else {
            return self.select_plain(request.service, eligible, selection);
        };
        let groups = self.group_by_version(eligible).into_values();
        let compared = groups.flat_map(|engines| {
            let home = self.home_engine(prompt, &engines);
            let sample = self.select(engines, selection);
            let home = home.filter(|home| !sample.contains(home));
            sample.into_iter().chain(home)
        });
        compared.collect()
    }

    /// Returns the predicted time of a server; `holders` are the engines that have most of the prompt
    /// cached, by version.
    fn predicted(
        &self,
        key: TargetKey,
        request: &DispatchRequest<'_>,
        holders: &mut BTreeMap<Name, Option<(TargetKey, u64)>>,
        now: Instant,
    ) -> Duration {
        let target = &self.targets[key];
        let Some(prompt) = request.prompt else {
            return self.answer_time(target, now);
        };
        let version = &target.info.version;
        let holder = holders.entry(version.clone());
        let holder = *holder.or_insert_with(|| self.best_cache_holder(prompt, version, now));
        let keys = [key];
        let mut plans = self.prefill_plans(prompt, &request.needs, &keys, holder, None, now);
        plans.next().map_or(Duration::MAX, |plan| plan.ttft)
    }
}
