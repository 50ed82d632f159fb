//! Conversion between the generated messages and the types of this crate.

use std::time::Duration;

use bytes::Bytes;
use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::id::{Incarnation, Name, Revision};

use crate::error::WireFault;
use crate::generated::{
    ConfigMessage, DemandMessage, DigestMessage, GetUsageReply, HeartbeatMessage, MemberMessage,
    ServiceMessage, ShareMessage, StateMessage, SuspicionMessage,
    SuspicionState as SuspicionStateMessage, UsageBatchMessage, UsageLineMessage, UsageSpanMessage,
};
use crate::heartbeat::{
    DemandLine, Heartbeat, HeartbeatPayload, ServiceLine, ShareLine, Suspicion, SuspicionState,
};
use crate::member::{Member, MemberState};
use crate::usage::{UsageBatch, UsageLine, UsagePage, UsageSpan};

/// Converts every item of a list.
pub(crate) fn convert_all<A, B: From<A>>(items: Vec<A>) -> Vec<B> {
    items.into_iter().map(B::from).collect()
}

/// Converts every item of a list, or returns the first error.
pub(crate) fn try_convert_all<A, B: TryFrom<A, Error = WireFault>>(
    items: Vec<A>,
) -> Result<Vec<B>, WireFault> {
    items.into_iter().map(B::try_from).collect()
}

impl From<MemberState> for StateMessage {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Live => Self::Live,
            MemberState::Leaving => Self::Leaving,
            MemberState::Suspect => Self::Suspect,
            MemberState::Down => Self::Down,
        }
    }
}

impl TryFrom<StateMessage> for MemberState {
    type Error = WireFault;

    fn try_from(state: StateMessage) -> Result<Self, WireFault> {
        match state {
            StateMessage::Unspecified => Err(WireFault::State),
            StateMessage::Live => Ok(Self::Live),
            StateMessage::Leaving => Ok(Self::Leaving),
            StateMessage::Suspect => Ok(Self::Suspect),
            StateMessage::Down => Ok(Self::Down),
        }
    }
}

impl From<Member> for MemberMessage {
    fn from(member: Member) -> Self {
        Self {
            name: member.name.to_string(),
            address: member.address.to_string(),
            data_centre: member.data_centre.to_string(),
            incarnation: member.incarnation.into(),
            state: StateMessage::from(member.state).into(),
            counter: member.counter,
            platform: member.reaches_platform,
        }
    }
}

impl TryFrom<MemberMessage> for Member {
    type Error = WireFault;

    fn try_from(message: MemberMessage) -> Result<Self, WireFault> {
        Ok(Self {
            address: message.address.parse().map_err(|_| WireFault::Address)?,
            state: message.state().try_into()?,
            name: Name::from(message.name),
            data_centre: Name::from(message.data_centre),
            incarnation: Incarnation(message.incarnation),
            counter: message.counter,
            reaches_platform: message.platform,
        })
    }
}

impl From<(String, Revision)> for DigestMessage {
    fn from((key, revision): (String, Revision)) -> Self {
        Self {
            key,
            revision: revision.into(),
        }
    }
}

impl From<DigestMessage> for (String, Revision) {
    fn from(message: DigestMessage) -> Self {
        (message.key, Revision(message.revision))
    }
}

impl From<ServiceLine> for ServiceMessage {
    fn from(line: ServiceLine) -> Self {
        Self {
            account: line.account.to_string(),
            pool: line.pool.to_string(),
            amount: line.amount,
        }
    }
}

impl TryFrom<ServiceMessage> for ServiceLine {
    type Error = WireFault;

    fn try_from(message: ServiceMessage) -> Result<Self, WireFault> {
        if !message.amount.is_finite() || message.amount < 0.0 {
            return Err(WireFault::Figure);
        }
        Ok(Self {
            account: Name::from(message.account),
            pool: Name::from(message.pool),
            amount: message.amount,
        })
    }
}

impl From<ShareLine> for ShareMessage {
    fn from(line: ShareLine) -> Self {
        Self {
            server: line.server.to_string(),
            requests: line.requests,
            prompt_tokens: line.prompt_tokens,
            occupied: line.reserved_for_suspect,
        }
    }
}

impl From<ShareMessage> for ShareLine {
    fn from(message: ShareMessage) -> Self {
        Self {
            server: Name::from(message.server),
            requests: message.requests,
            prompt_tokens: message.prompt_tokens,
            reserved_for_suspect: message.occupied,
        }
    }
}

impl From<DemandLine> for DemandMessage {
    fn from(line: DemandLine) -> Self {
        Self {
            pool: line.pool.to_string(),
            requests: line.requests,
            prompt_tokens: line.prompt_tokens,
            output_tokens: line.output_tokens,
            queued: line.queued,
            refused: line.refused,
        }
    }
}

impl TryFrom<DemandMessage> for DemandLine {
    type Error = WireFault;

    fn try_from(message: DemandMessage) -> Result<Self, WireFault> {
        let rates = [
            message.requests,
            message.prompt_tokens,
            message.output_tokens,
            message.refused,
        ];
        if rates.iter().any(|rate| !rate.is_finite() || *rate < 0.0) {
            return Err(WireFault::Figure);
        }
        Ok(Self {
            pool: Name::from(message.pool),
            requests: message.requests,
            prompt_tokens: message.prompt_tokens,
            output_tokens: message.output_tokens,
            queued: message.queued,
            refused: message.refused,
        })
    }
}

impl From<Suspicion> for SuspicionMessage {
    fn from(suspicion: Suspicion) -> Self {
        let state = match suspicion.state {
            SuspicionState::Suspect => SuspicionStateMessage::Suspect,
            SuspicionState::Quarantined => SuspicionStateMessage::Quarantined,
            SuspicionState::Cleared => SuspicionStateMessage::Cleared,
        };
        Self {
            fingerprint: Bytes::copy_from_slice(&suspicion.fingerprint),
            age_ms: suspicion.age.as_millis() as u64,
            engine: suspicion.engine.to_string(),
            state: state.into(),
        }
    }
}

impl TryFrom<SuspicionMessage> for Suspicion {
    type Error = WireFault;

    fn try_from(message: SuspicionMessage) -> Result<Self, WireFault> {
        let state = match message.state() {
            SuspicionStateMessage::Unspecified => return Err(WireFault::State),
            SuspicionStateMessage::Suspect => SuspicionState::Suspect,
            SuspicionStateMessage::Quarantined => SuspicionState::Quarantined,
            SuspicionStateMessage::Cleared => SuspicionState::Cleared,
        };
        let fingerprint = message.fingerprint.as_ref().try_into();
        Ok(Self {
            fingerprint: fingerprint.map_err(|_| WireFault::Fingerprint)?,
            age: Duration::from_millis(message.age_ms),
            engine: Name::from(message.engine),
            state,
        })
    }
}

impl From<Heartbeat> for HeartbeatMessage {
    fn from(heartbeat: Heartbeat) -> Self {
        let payload = heartbeat.payload;
        Self {
            sender: Some(heartbeat.sender.into()),
            digests: convert_all(payload.digests),
            service: convert_all(payload.service),
            shares: convert_all(payload.shares),
            suspicions: convert_all(payload.suspicions),
            demand: convert_all(payload.demand),
            members: convert_all(heartbeat.members),
        }
    }
}

impl TryFrom<HeartbeatMessage> for Heartbeat {
    type Error = WireFault;

    fn try_from(message: HeartbeatMessage) -> Result<Self, WireFault> {
        let sender = message.sender.ok_or(WireFault::Member)?;
        Ok(Self {
            payload: HeartbeatPayload {
                reaches_platform: sender.platform,
                digests: convert_all(message.digests),
                service: try_convert_all(message.service)?,
                shares: convert_all(message.shares),
                suspicions: try_convert_all(message.suspicions)?,
                demand: try_convert_all(message.demand)?,
            },
            sender: sender.try_into()?,
            members: try_convert_all(message.members)?,
        })
    }
}

impl From<ConfigObject> for ConfigMessage {
    fn from(object: ConfigObject) -> Self {
        Self {
            key: object.key,
            revision: object.revision.into(),
            json: Bytes::from(object.value.to_string()),
        }
    }
}

impl TryFrom<ConfigMessage> for ConfigObject {
    type Error = WireFault;

    fn try_from(message: ConfigMessage) -> Result<Self, WireFault> {
        Ok(Self {
            value: serde_json::from_slice(&message.json).map_err(|_| WireFault::Json)?,
            key: message.key,
            revision: Revision(message.revision),
        })
    }
}

impl From<UsageLine> for UsageLineMessage {
    fn from(line: UsageLine) -> Self {
        Self {
            request_id: line.request_id,
            account: line.account.to_string(),
            prompt_tokens: line.prompt_tokens,
            output_tokens: line.output_tokens,
        }
    }
}

impl From<UsageLineMessage> for UsageLine {
    fn from(message: UsageLineMessage) -> Self {
        Self {
            request_id: message.request_id,
            account: Name::from(message.account),
            prompt_tokens: message.prompt_tokens,
            output_tokens: message.output_tokens,
        }
    }
}

impl From<UsageBatch> for UsageBatchMessage {
    fn from(batch: UsageBatch) -> Self {
        Self {
            node: batch.node.to_string(),
            incarnation: batch.incarnation.into(),
            number: batch.number,
            lines: convert_all(batch.lines),
        }
    }
}

impl From<UsageBatchMessage> for UsageBatch {
    fn from(message: UsageBatchMessage) -> Self {
        Self {
            node: Name::from(message.node),
            incarnation: Incarnation(message.incarnation),
            number: message.number,
            lines: convert_all(message.lines),
        }
    }
}

impl From<UsagePage> for GetUsageReply {
    fn from(page: UsagePage) -> Self {
        Self {
            batches: convert_all(page.batches),
            more: page.has_more,
        }
    }
}

impl From<GetUsageReply> for UsagePage {
    fn from(reply: GetUsageReply) -> Self {
        Self {
            batches: convert_all(reply.batches),
            has_more: reply.more,
        }
    }
}

impl From<UsageSpan> for UsageSpanMessage {
    fn from(span: UsageSpan) -> Self {
        Self {
            node: span.node.to_string(),
            incarnation: span.incarnation.into(),
            first: span.first,
            last: span.last,
        }
    }
}

impl From<UsageSpanMessage> for UsageSpan {
    fn from(message: UsageSpanMessage) -> Self {
        Self {
            node: Name::from(message.node),
            incarnation: Incarnation(message.incarnation),
            first: message.first,
            last: message.last,
        }
    }
}
