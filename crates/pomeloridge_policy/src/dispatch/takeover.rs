//! The engines that may continue a run whose KV cache is moved to them.

use std::time::Instant;

use pomeloridge_base::id::Name;

use super::sample::Selection;
use super::{DispatchRequest, Dispatcher, Stage, TargetKey};
use crate::relief::ReliefEngine;

impl Dispatcher {
    /// Returns whether runs of a service may move to other engines: its servers differ.
    pub fn relieves(&self, service: &Name) -> bool {
        self.is_uneven(service)
    }

    /// Returns the engines that may continue a run of `tokens` tokens on `source`, each with the
    /// time that the rest takes there: engines of its version and data centre that have a free
    /// slot and memory.
    pub fn relief_engines(
        &self,
        source: TargetKey,
        request: &DispatchRequest<'_>,
        tokens: u64,
        now: Instant,
    ) -> Vec<ReliefEngine<TargetKey>> {
        let Some(origin) = self.targets.get(source).map(|target| &target.info) else {
            return Vec::new();
        };
        let request = DispatchRequest {
            version: Some(&origin.version),
            ..*request
        };
        let mut engines = self.eligible(&request, now, false);
        engines.retain(|key| {
            let target = &self.targets[*key];
            *key != source
                && target.info.stage != Stage::Prefill
                && target.info.data_centre == origin.data_centre
                && target.running(now) < target.info.slots
                && self.has_room(target, tokens, now)
        });
        let engines = self.select(engines, Selection::Sample).into_iter();
        let event_tokens = request.needs.event_tokens;
        let engines = engines.map(|key| {
            let target = &self.targets[key];
            let model = self.engine_model(target, now);
            let tokens_per_event = event_tokens.unwrap_or(model.piece_tokens);
            let queued = model.interleaved_prefill_time(
                target
                    .prefill_tokens(now)
                    .min(model.event_chunk_tokens(tokens_per_event)),
            );
            ReliefEngine {
                engine: key,
                transfer: self.transfer_time(source, key, tokens),
                gap: model.decode_time(target.running(now) + 1, tokens_per_event) + queued,
            }
        });
        engines.collect()
    }
}
