//! Tells peers of long prompts as they are sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::dispatch::{PromptSource, SentPrompt, TargetKey};
use prost::Message;
use rand::seq::SliceRandom;

use super::wire::PeerMessage;
use super::{base_message, data_centre_source, send_to};
use crate::state::State;

/// A prompt that a node has sent to an engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct SentPromptWire {
    /// Hash of the engine's name.
    #[prost(fixed32, tag = "1")]
    server: u32,
    /// Prompt tokens to prefill.
    #[prost(uint64, tag = "2")]
    tokens: u64,
    /// Predicted time until they are prefilled, in milliseconds.
    #[prost(uint64, tag = "3")]
    read_ms: u64,
}

impl From<SentPrompt> for SentPromptWire {
    fn from(sent: SentPrompt) -> Self {
        Self {
            server: sent.server,
            tokens: sent.tokens,
            read_ms: sent.read_in.as_millis() as u64,
        }
    }
}

impl From<SentPromptWire> for SentPrompt {
    fn from(wire: SentPromptWire) -> Self {
        Self {
            server: wire.server,
            tokens: wire.tokens,
            read_in: Duration::from_millis(wire.read_ms),
        }
    }
}

/// Tells peers of a prompt that was just sent, if its engine reads it for longer than a round of
/// heartbeats.
pub(crate) fn announce_prompt(state: &Rc<State>, server: TargetKey, prefill_tokens: u64) {
    let (settings, now) = (state.settings(), state.now());
    let round = settings.time("peers", "pause_ms");
    let sent = state
        .dispatcher
        .borrow()
        .long_prompt(server, prefill_tokens, round, now);
    let Some(sent) = sent else {
        return;
    };
    let mut addresses: Vec<SocketAddr> = state.peers.borrow().addresses();
    // As many as there are heartbeats of a large fleet.
    let per_second = settings.number("peers", "fan_out") as f64 / round.as_secs_f64();
    let mut budget = state.prompt_messages.borrow_mut();
    let count = budget.take(addresses.len(), per_second, now);
    drop(budget);
    if count < addresses.len() {
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(count);
    }
    if addresses.is_empty() {
        return;
    }
    state
        .meter
        .add(Counter::PromptsTold, addresses.len() as u64);
    log::debug!(
        "prompt server={} tokens={} read_ms={} choice=tell peers={count}",
        state.server_name(server),
        sent.tokens,
        sent.read_in.as_millis()
    );
    let message = PeerMessage {
        sent_prompt: Some(sent.into()),
        ..base_message(state)
    };
    send_to(state, message, addresses);
}

/// Records a prompt that a peer has sent, if the message tells of one.
pub(super) fn handle(state: &State, message: &PeerMessage, name: &Name) {
    let Some(wire) = message.sent_prompt else {
        return;
    };
    state.meter.increment(Counter::PromptsHeard);
    let fan_out = state.settings().number("peers", "fan_out") as usize;
    let is_local = message.data_centre_hash == state.data_centre_hash;
    let source = if is_local || !state.peers.borrow().is_large_fleet(fan_out) {
        PromptSource::Peer(name.clone())
    } else {
        PromptSource::DataCentre(data_centre_source(message.data_centre_hash))
    };
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.record_peer_prompt(source, wire.into(), state.now());
}
