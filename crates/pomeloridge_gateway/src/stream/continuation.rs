//! Continues a stream whose run has moved to another engine.

use pomeloridge_base::meter::Counter;
use pomeloridge_policy::dispatch::{Plan, TargetKey};

use super::{Opened, Stream};
use crate::attempt::Attempts;
use crate::exchange::Failure;
use crate::hedge::Raced;
use crate::prefill::PrefilledPrompt;
use crate::relief::Handover;

impl Stream<'_> {
    /// Begins the next part of the stream: the planned attempt, or the rest of a run that moved.
    pub(super) async fn open_next<'b>(
        &self,
        plan: Plan,
        prompt: &mut Option<PrefilledPrompt>,
        handover: Option<&mut Handover>,
        attempts: &'b Attempts<'b>,
    ) -> Raced<Opened<'b>> {
        let Some(handover) = handover else {
            return self.open_first(plan, prompt.as_mut(), attempts).await;
        };
        let (plan, source) = (handover.plan, handover.source);
        let outcome = self.open(plan, Some(&mut handover.prompt), attempts).await;
        self.record_move(plan.server, &outcome);
        match outcome {
            Ok(opened) => {
                handover.mark_used();
                Raced {
                    server: plan.server,
                    outcome: Ok(opened),
                }
            }
            // The engine that stopped the run still has its KV cache.
            Err(failure) if failure.not_run() => {
                let plan = Plan {
                    server: source,
                    ..plan
                };
                let outcome = self.open(plan, Some(&mut handover.prompt), attempts).await;
                self.record_move(source, &outcome);
                Raced {
                    server: source,
                    outcome,
                }
            }
            Err(failure) => Raced {
                server: plan.server,
                outcome: Err(failure),
            },
        }
    }

    fn record_move(&self, server: TargetKey, outcome: &Result<Opened<'_>, Failure>) {
        let failure = outcome.as_ref().err();
        if failure.is_none() {
            self.state.meter.increment(Counter::Moved);
        }
        log::info!(
            "request id={} choice=continue_moved server={} outcome={}",
            self.accepted.inbound.label(),
            self.state.server_name(server),
            failure.map_or_else(|| "begun".to_owned(), Failure::to_string)
        );
    }
}
