//! Long prompts, which nodes tell one another as they send them.
//!
//! Nodes tell their loads in rounds, and those of other data centres hear sums, later still. An
//! engine that takes longer to read a prompt than a round lasts looks free to all of them
//! meanwhile, and gets several such prompts while others stand idle. So a node tells its peers of
//! such a prompt at once. It counts until its sender expects it to have been read, or until the
//! next load of the sender, which includes it. The loads of other data centres are sums of an
//! unknown age: there, the larger one of the sum and of the prompts told counts.
//!
//! A prompt of which a peer was not told, or late, costs accuracy only. The number of messages is
//! bounded for each prompt and over time, whatever the number of nodes.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use super::load::{MAX_PEER_TOKENS, PEER_LOAD_TTL};
use super::{Dispatcher, Target, TargetKey};

/// Maximum number of peers that are told of a prompt.
const MAX_RECIPIENTS: u32 = 80;
/// Maximum number of messages saved up for prompts that are sent together.
const MAX_SAVED_MESSAGES: u32 = 4 * MAX_RECIPIENTS;
/// Maximum number of prompts that are kept for an engine.
const MAX_PROMPTS: usize = 256;

/// A long prompt that a node has sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// Hash of the engine's identity, the same on every node.
    pub server: u32,
    /// Prompt tokens to prefill.
    pub tokens: u64,
    /// Time until they are prefilled, as the sender predicts.
    pub read_in: Duration,
}

/// Whose loads include a prompt that a peer has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromptSource {
    /// Those of the peer itself.
    Peer(Name),
    /// The sums of its data centre, under the name by which they are set.
    DataCentre(Name),
}

/// A prompt that a peer has sent to the server.
#[derive(Clone, Debug)]
struct PeerPrompt {
    source: PromptSource,
    tokens: u64,
    read_at: Instant,
}

/// The long prompts that peers have sent to one server.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerPrompts(Vec<PeerPrompt>);

impl PeerPrompts {
    fn record(&mut self, prompt: PeerPrompt, now: Instant) {
        self.0.retain(|known| known.read_at > now);
        if self.0.len() < MAX_PROMPTS {
            self.0.push(prompt);
        }
    }

    /// Removes the prompts that are included in a load that a peer has just sent.
    pub(super) fn remove_included(&mut self, peer: &Name) {
        self.0
            .retain(|known| !matches!(&known.source, PromptSource::Peer(name) if name == peer));
    }

    /// Returns the tokens that are not included in the loads of peers. `load_of` is the known load
    /// of a source.
    fn tokens_beside(&self, load_of: impl Fn(&Name) -> u64, now: Instant) -> u64 {
        let unread = || self.0.iter().filter(|prompt| prompt.read_at > now);
        let mut tokens: u64 = unread()
            .filter(|prompt| matches!(prompt.source, PromptSource::Peer(_)))
            .map(|prompt| prompt.tokens)
            .sum();
        let mut sums: Vec<(&Name, u64)> = Vec::new();
        for prompt in unread() {
            let PromptSource::DataCentre(name) = &prompt.source else {
                continue;
            };
            match sums.iter_mut().find(|(known, _)| *known == name) {
                Some((_, sum)) => *sum += prompt.tokens,
                None => sums.push((name, prompt.tokens)),
            }
        }
        for (name, sum) in sums {
            tokens += sum.saturating_sub(load_of(name));
        }
        tokens
    }
}

impl Target {
    /// Returns the prompt tokens that peers have sent and that their loads don't include.
    pub(super) fn told_tokens(&self, now: Instant) -> u64 {
        let load_of = |name: &Name| {
            let load = self.peer_loads.sum_of(|peer| peer == name, now);
            load.prefill_tokens
        };
        self.peer_prompts.tokens_beside(load_of, now)
    }
}

impl Dispatcher {
    /// Returns a prompt that was just sent to an engine, if reading it takes longer than `round`
    /// and the servers of its service differ.
    pub fn long_prompt(
        &self,
        key: TargetKey,
        prefill_tokens: u64,
        round: Duration,
        now: Instant,
    ) -> Option<SentPrompt> {
        let target = self.targets.get(key)?;
        if !self.is_uneven(&target.info.service) {
            return None;
        }
        let model = self.engine_model(target, now);
        let read_in = |tokens| model.prefill_time(target.info.stage, target.running(now), tokens);
        (read_in(prefill_tokens) > round).then(|| SentPrompt {
            server: target.id_hash,
            tokens: prefill_tokens,
            read_in: read_in(target.prefill_tokens(now)),
        })
    }

    /// Records a prompt that a peer has just sent.
    pub fn record_peer_prompt(&mut self, source: PromptSource, sent: SentPrompt, now: Instant) {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| target.id_hash == sent.server);
        let Some((key, _)) = found.filter(|(_, target)| self.is_uneven(&target.info.service))
        else {
            return;
        };
        if let Some(target) = self.targets.get_mut(key) {
            let prompt = PeerPrompt {
                source,
                tokens: sent.tokens.min(MAX_PEER_TOKENS),
                read_at: now + sent.read_in.min(PEER_LOAD_TTL),
            };
            target.peer_prompts.record(prompt, now);
        }
    }
}

/// Bounds the messages that tell peers of prompts.
#[derive(Clone, Copy, Debug)]
pub struct PromptMessageBudget {
    saved: f64,
    counted_at: Instant,
}

impl PromptMessageBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            saved: f64::from(MAX_SAVED_MESSAGES),
            counted_at: now,
        }
    }

    /// Takes the messages for one prompt to at most `wanted` peers, and returns their number.
    /// `per_second` messages are added each second.
    pub fn take(&mut self, wanted: usize, per_second: f64, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.counted_at);
        self.counted_at = now;
        let saved = self.saved + elapsed.as_secs_f64() * per_second;
        self.saved = saved.min(f64::from(MAX_SAVED_MESSAGES));
        let count = wanted.min(MAX_RECIPIENTS as usize).min(self.saved as usize);
        self.saved -= count as f64;
        count
    }
}
