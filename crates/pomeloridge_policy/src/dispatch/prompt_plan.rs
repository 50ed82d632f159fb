//! Plans on which engines a prompt is prefilled and its output decoded.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use super::answer::AnswerNeeds;
use super::{DispatchRequest, Dispatcher, Plan, PromptShape, Stage, Target, TargetKey};
use crate::hash::splitmix64;

/// Minimum tokens of a shared prompt part that is assigned a home engine.
const MIN_HOME_TOKENS: u64 = 1000;
/// Factor on the time of a KV cache transfer between data centres.
const CROSS_DATA_CENTRE_TRANSFER_FACTOR: u32 = 2;
/// Reduction of the time to first token below which a separate prefill is not worth its
/// KV cache transfer.
const MIN_SPLIT_GAIN: Duration = Duration::from_millis(10);

/// The engines of one version that may run a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptEngines<'a> {
    pub(super) usable: &'a [TargetKey],
    /// Engine that all nodes choose first to prefill the prompt.
    pub(super) home: Option<TargetKey>,
    /// Engine that has most of the prompt cached, and the tokens that it has.
    pub(super) holder: Option<(TargetKey, u64)>,
}

/// A prompt that an engine prefills for another one.
#[derive(Clone, Copy, Debug)]
struct ReadPrompt {
    engine: TargetKey,
    tokens: u64,
    /// Time until it is prefilled.
    after: Duration,
}

impl Dispatcher {
    /// Groups engines by their software version, as an engine of another version may not be able
    /// to use their KV caches.
    pub(super) fn group_by_version(&self, keys: Vec<TargetKey>) -> BTreeMap<&Name, Vec<TargetKey>> {
        let mut groups: BTreeMap<&Name, Vec<TargetKey>> = BTreeMap::new();
        for key in keys {
            let version = &self.targets[key].info.version;
            groups.entry(version).or_default().push(key);
        }
        groups
    }

    /// Returns the engine that all nodes choose first to prefill a long shared part.
    ///
    /// Requests with the same part may arrive at many nodes before the nodes learn of each
    /// other's placements. Rendezvous hashing lets all of them choose the same engine;
    /// other engines later fetch the part from it.
    pub(super) fn home_engine(
        &self,
        prompt: &PromptShape,
        eligible: &[TargetKey],
    ) -> Option<TargetKey> {
        let part = prompt.shared_parts().last()?;
        if part.tokens < MIN_HOME_TOKENS {
            return None;
        }
        let prefill_engines = eligible.iter().copied();
        // The home of a part must be the same engine whichever nodes are its senders.
        let prefill_engines = prefill_engines.filter(|key| {
            let target = &self.targets[*key];
            target.info.stage == Stage::Prefill && !target.is_scarce()
        });
        prefill_engines.max_by_key(|key| {
            splitmix64(splitmix64(part.id) ^ u64::from(self.targets[*key].id_hash))
        })
    }

    /// Chooses the engine that decodes a prompt prefilled on `prefill_engine`, of the same version.
    ///
    /// Prefill may take seconds, in which the planned engine may have started to leave or
    /// become busier.
    pub fn choose_decode_engine(
        &self,
        request: &DispatchRequest<'_>,
        prefill_engine: TargetKey,
        now: Instant,
    ) -> Option<TargetKey> {
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let needs = &self.compared_needs(request);
        let request = DispatchRequest {
            version: Some(&self.targets.get(prefill_engine)?.info.version),
            ..*request
        };
        let choose = |last_resort| {
            let mut usable = self.sample_targets(self.eligible(&request, now, last_resort));
            let held = tokens + u64::from(needs.output_tokens.unwrap_or_default());
            usable.retain(|key| {
                let target = &self.targets[*key];
                target.info.stage != Stage::Prefill && self.has_room(target, held, now)
            });
            let read = ReadPrompt {
                engine: prefill_engine,
                tokens,
                after: Duration::ZERO,
            };
            Some(self.best_decode_engine(&usable, read, needs, now)?.server)
        };
        choose(false).or_else(|| choose(true))
    }

    /// Returns the plan with the decode engine on which an answer to a prompt that another engine
    /// prefills costs least: time until the KV cache is transferred and a slot is free, distance,
    /// and what the caller may miss.
    fn best_decode_engine(
        &self,
        decode_engines: &[TargetKey],
        read: ReadPrompt,
        needs: &AnswerNeeds,
        now: Instant,
    ) -> Option<Plan> {
        let plans = decode_engines.iter().map(|key| {
            let target = &self.targets[*key];
            let model = self.engine_model(target, now);
            let transfer = self.transfer_time(read.engine, *key, read.tokens);
            let ttft = read.after
                + model.queueing_delay(target, now)
                + transfer
                + self.distance_penalty(target);
            let times = model.answer_times(needs, target, ttft, now);
            let cost = model.cost(needs, &times) + model.piece_gap_increase(target.running(now));
            Plan {
                server: *key,
                prefill: Some(read.engine),
                fetch_from: None,
                prefill_tokens: 0,
                ttft,
                end: times.end,
                cost,
            }
        });
        let rotation =
            |plan: &Plan| self.targets[plan.server].id_hash as usize ^ self.draw.get().rotation;
        plans.min_by_key(|plan| (plan.cost, rotation(plan) % 64))
    }

    /// Returns the needs by which the engines of a service are compared: engines that are alike
    /// are compared by the time to the first token alone.
    fn compared_needs(&self, request: &DispatchRequest<'_>) -> AnswerNeeds {
        if self.is_uneven(request.service) {
            request.needs
        } else {
            AnswerNeeds::default()
        }
    }

    /// Returns whether an engine has room for the tokens of a request, as far as that is counted.
    pub(super) fn has_room(&self, target: &Target, tokens: u64, now: Instant) -> bool {
        !self.is_uneven(&target.info.service) || target.has_room(tokens, now)
    }

    /// Predicts the time to transfer the KV cache of this many tokens.
    pub(super) fn transfer_time(&self, from: TargetKey, to: TargetKey, tokens: u64) -> Duration {
        let centre = |key| self.targets.get(key).map(|target| &target.info.data_centre);
        let time = self.base_model.transfer_time(tokens);
        if centre(from) == centre(to) {
            time
        } else {
            time * CROSS_DATA_CENTRE_TRANSFER_FACTOR
        }
    }

    pub(super) fn plan_prompt(
        &self,
        request: &DispatchRequest<'_>,
        prompt: &PromptShape,
        engines: PromptEngines<'_>,
        now: Instant,
    ) -> Option<Plan> {
        let PromptEngines {
            usable,
            home,
            holder,
        } = engines;
        let needs = &self.compared_needs(request);
        let output_tokens = request.needs.output_tokens.unwrap_or_default();
        let tokens = prompt.tokens + u64::from(output_tokens);
        let of_stage = |stage: Stage| {
            let keys = usable.iter().copied();
            keys.filter(move |key| {
                let target = &self.targets[*key];
                target.info.stage == stage && self.has_room(target, tokens, now)
            })
        };
        let prefill_engines: Vec<TargetKey> = of_stage(Stage::Prefill).collect();
        let decode_engines: Vec<TargetKey> = of_stage(Stage::Decode)
            .chain(of_stage(Stage::Unified))
            .collect();
        let unsplit = self.prefill_plans(prompt, needs, &decode_engines, holder, None, now);
        let unsplit = unsplit.min_by_key(|plan| plan.cost);
        let prefill_plan = request.allow_separate_prefill.then(|| {
            let plans = self.prefill_plans(prompt, needs, &prefill_engines, holder, home, now);
            plans.min_by_key(|plan| plan.ttft)
        });
        let split = prefill_plan.flatten().and_then(|prefill| {
            let read = ReadPrompt {
                engine: prefill.server,
                tokens: prompt.tokens,
                after: prefill.ttft,
            };
            let decode = self.best_decode_engine(&decode_engines, read, needs, now)?;
            Some(Plan {
                fetch_from: prefill.fetch_from,
                prefill_tokens: prefill.prefill_tokens,
                ..decode
            })
        });
        let is_gain = |split: &Plan, unsplit: &Plan| {
            if self.is_uneven(request.service) {
                return split.cost + MIN_SPLIT_GAIN < unsplit.cost;
            }
            // The gap that a batch adds decides between engines that are alike, but not whether
            // the prompt is prefilled apart: an engine that does both has the same gap.
            let distance = self.distance_penalty(&self.targets[split.server]);
            split.ttft + MIN_SPLIT_GAIN < unsplit.ttft + distance
        };
        match (unsplit, split) {
            (Some(unsplit), Some(split)) if is_gain(&split, &unsplit) => Some(split),
            (Some(unsplit), _) => Some(unsplit),
            // Without a decode engine there is no split plan either.
            (None, split) => split,
        }
    }

    /// Returns a plan to prefill the prompt on each of `keys`, and to decode its output there if
    /// the engine does that.
    pub(super) fn prefill_plans(
        &self,
        prompt: &PromptShape,
        needs: &AnswerNeeds,
        keys: &[TargetKey],
        holder: Option<(TargetKey, u64)>,
        home: Option<TargetKey>,
        now: Instant,
    ) -> impl Iterator<Item = Plan> {
        let shared = prompt
            .shared_parts()
            .iter()
            .map(|part| part.tokens)
            .sum::<u64>();
        let uncached = shared.saturating_sub(holder.map_or(0, |(_, held)| held));
        keys.iter().map(move |key| {
            let target = &self.targets[*key];
            let cached = target.prompt_cache.leading_tokens(&prompt.parts);
            let lacking = |held: u64| held.saturating_sub(cached);
            let fetch = holder.filter(|(holder, held)| holder != key && lacking(*held) > 0);
            let fetched = fetch.map_or(0, |(_, held)| lacking(held));
            let prefill_tokens = prompt.tokens.saturating_sub(cached + fetched).max(1);
            // Parts that no engine is known to hold may already have been placed on the home
            // engine by another node.
            let expected = if home == Some(*key) {
                prefill_tokens.saturating_sub(uncached)
            } else {
                prefill_tokens
            };
            let ahead = target.prefill_tokens(now);
            let model = self.engine_model(target, now);
            let ttft = model.ttft(target, ahead + expected, now);
            let fetch_time = fetch.map_or(Duration::ZERO, |(from, _)| {
                self.transfer_time(from, *key, fetched)
            });
            let ttft = ttft + fetch_time + self.distance_penalty(target);
            let times = model.answer_times(needs, target, ttft, now);
            let harm = model.harm(needs, target, expected, now);
            Plan {
                server: *key,
                prefill: None,
                fetch_from: fetch.map(|(holder, _)| holder),
                prefill_tokens,
                ttft,
                end: times.end,
                cost: model.cost(needs, &times) + harm,
            }
        })
    }

    /// Returns the engine of a version that has most of the prompt's leading parts cached, and
    /// their tokens. Among equals the nearest and then the least loaded engine is chosen.
    pub(super) fn best_cache_holder(
        &self,
        prompt: &PromptShape,
        version: &Name,
        now: Instant,
    ) -> Option<(TargetKey, u64)> {
        let held = self.targets.iter();
        let held = held.filter(|(_, target)| target.info.version == *version);
        let held = held.map(|(key, target)| {
            let tokens = target.prompt_cache.leading_tokens(&prompt.parts);
            let distance = Reverse(self.distance_penalty(target));
            (key, tokens, distance, Reverse(target.prefill_tokens(now)))
        });
        let best = held.max_by_key(|(_, tokens, distance, prefill_tokens)| {
            (*tokens, *distance, *prefill_tokens)
        });
        best.map(|(key, tokens, ..)| (key, tokens))
    }
}
