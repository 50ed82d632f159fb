//! The requests in flight, and what is measured of them.

use std::time::{Duration, Instant};

use super::{
    Dispatcher, InFlight, InFlightKey, PartPlacement, PromptShape, SampleKind, SpeedSample, Stage,
    TargetKey, Work,
};

/// Fewest pieces whose time shows the speed of an engine; fewer may arrive together.
const MIN_DECODE_PIECES: u64 = 2;

impl Dispatcher {
    /// Records that a request was sent to a server.
    pub fn begin(
        &mut self,
        key: TargetKey,
        prefill_tokens: u64,
        prompt: Option<&PromptShape>,
        now: Instant,
    ) -> InFlightKey {
        let sample = self.targets.get(key).and_then(|target| {
            let kind = match prompt {
                Some(prompt) => target.sample_kind(prefill_tokens, prompt.tokens, now),
                None => target.answer_sample_kind(now),
            };
            Some(SpeedSample {
                sent_at: now,
                kind: kind?,
            })
        });
        let output_tokens = self.targets.get(key).map_or(0, |target| {
            u64::from(self.model(&target.info.service).output_tokens)
        });
        let held_tokens = prompt.map_or(0, |prompt| prompt.tokens + output_tokens);
        if let Some(target) = self.targets.get_mut(key) {
            target.own_load.running += 1;
            target.own_load.prefill_tokens += prefill_tokens;
            target.own_load.held_tokens += held_tokens;
            if let Some(prompt) = prompt {
                let server = target.id_hash;
                // Peers already know of parts that the server holds.
                let new = prompt.shared_parts().iter().copied();
                let new = new.filter(|part| !target.prompt_cache.contains(*part));
                let placed = new.map(|part| (now, PartPlacement { server, part }));
                self.placements.extend(placed);
                target.prompt_cache.record(&prompt.parts);
            }
        }
        self.in_flight.insert(InFlight {
            target: key,
            prefill_tokens,
            held_tokens,
            sample,
        })
    }

    /// Records that the server has prefilled the request's prompt.
    pub fn record_prefill_done(&mut self, key: InFlightKey, now: Instant) {
        let Some(request) = self.in_flight.get_mut(key) else {
            return;
        };
        let (target, sample) = (request.target, request.sample.take());
        self.clear_prefill_tokens(key);
        if let Some(sample) = sample {
            self.record_sample(target, sample, now);
        }
    }

    fn record_sample(&mut self, key: TargetKey, sample: SpeedSample, now: Instant) {
        let elapsed = now.saturating_duration_since(sample.sent_at);
        let Some(service) = self.targets.get(key).map(|target| &target.info.service) else {
            return;
        };
        let (service, base_model) = (service.clone(), self.base_model);
        match sample.kind {
            SampleKind::Prefill(tokens) => {
                let predicted = base_model.prefill_time(Stage::Prefill, 0, tokens);
                self.record_speed(key, Work::Prefill, (elapsed, predicted), now);
                self.calibrate(&service, |calibration| {
                    calibration.record_prefill(elapsed, predicted);
                });
            }
            SampleKind::FirstToken(tokens) => {
                let delay = elapsed.saturating_sub(base_model.transfer_time(tokens));
                self.calibrate(&service, |calibration| {
                    calibration.record_first_token(delay);
                });
            }
            SampleKind::Answer => self.record_answer(key, elapsed, now),
        }
    }

    /// Records that an engine decoded `tokens` tokens of a request in `span`.
    pub fn record_decode(&mut self, key: TargetKey, tokens: u64, span: Duration, now: Instant) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let predicted = self
            .base_model
            .decode_time(target.running(now), tokens as u32);
        let service = target.info.service.clone();
        let expected = self
            .engine_model(target, now)
            .decode_time(target.running(now), tokens as u32);
        if tokens >= MIN_DECODE_PIECES * u64::from(self.base_model.piece_tokens) {
            self.record_speed(key, Work::Decode, (span, predicted), now);
        }
        self.calibrate(&service, |calibration| {
            calibration.record_decode(span, predicted);
            calibration.record_decode_error(span.as_secs_f64() / expected.as_secs_f64());
        });
    }

    /// Removes a request's prompt from the tokens queued for prefill on its server.
    pub(super) fn clear_prefill_tokens(&mut self, key: InFlightKey) {
        let Some(request) = self.in_flight.get_mut(key) else {
            return;
        };
        let tokens = std::mem::take(&mut request.prefill_tokens);
        if let Some(target) = self.targets.get_mut(request.target) {
            target.own_load.prefill_tokens = target.own_load.prefill_tokens.saturating_sub(tokens);
        }
    }
}
