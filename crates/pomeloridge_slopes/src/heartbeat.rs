//! Measures heartbeat and usage-batch messages: encoded size, encoding time and decoding time.

use prost::Message;

use crate::fixture::{account, member, node, pool, server_id};
use crate::meter::nanoseconds;
use crate::row::{Row, Unit};
use crate::wire::{
    DemandMessage, DigestMessage, HeartbeatMessage, MemberMessage, ServiceMessage, ShareMessage,
    UsageBatchMessage, UsageLineMessage,
};

/// Numbers of members in a heartbeat.
const MEMBERS: [usize; 4] = [0, 32, 64, 128];
/// Numbers of other entries in a heartbeat.
const LINES: [usize; 4] = [0, 100, 1_000, 10_000];
/// Numbers of lines in a usage batch.
const BATCH_LINES: [usize; 4] = [1, 10, 100, 1_000];

type Fill = fn(&mut HeartbeatMessage, usize);

/// Returns the measurements of the messages.
pub fn rows() -> Vec<Row> {
    let kinds: [(&'static str, [&'static str; 3], &[usize], Fill); 5] = [
        (
            "member told",
            ["bytes, members", "encode, members", "decode, members"],
            &MEMBERS,
            |heartbeat, count| heartbeat.members = (0..count).map(member_message).collect(),
        ),
        (
            "digest",
            ["bytes, digests", "encode, digests", "decode, digests"],
            &LINES,
            |heartbeat, count| heartbeat.digests = (0..count).map(digest).collect(),
        ),
        (
            "service line",
            ["bytes, service", "encode, service", "decode, service"],
            &LINES,
            |heartbeat, count| heartbeat.service = (0..count).map(service).collect(),
        ),
        (
            "share",
            ["bytes, shares", "encode, shares", "decode, shares"],
            &LINES,
            |heartbeat, count| heartbeat.shares = (0..count).map(share).collect(),
        ),
        (
            "demand line",
            ["bytes, demand", "encode, demand", "decode, demand"],
            &LINES,
            |heartbeat, count| heartbeat.demand = (0..count).map(demand).collect(),
        ),
    ];
    let heartbeats = kinds.into_iter().flat_map(|(size, names, sizes, fill)| {
        let [length, encode, decode] = names;
        let make = move |count| {
            let mut heartbeat = HeartbeatMessage {
                sender: Some(member_message(0)),
                ..HeartbeatMessage::default()
            };
            fill(&mut heartbeat, count);
            heartbeat
        };
        message_rows("heartbeat", [length, encode, decode], size, sizes, make)
    });
    let names = [
        "bytes, usage batch",
        "encode, usage batch",
        "decode, usage batch",
    ];
    let batches = message_rows("usage", names, "line", &BATCH_LINES, batch);
    heartbeats.chain(batches).collect()
}

/// Returns the rows of one message: encoded size, encoding time and decoding time.
fn message_rows<M: Message + Default>(
    part: &'static str,
    names: [&'static str; 3],
    size: &'static str,
    sizes: &[usize],
    make: impl Fn(usize) -> M,
) -> Vec<Row> {
    let [length, encode, decode] = names;
    let row = |what, unit, measure: &dyn Fn(M) -> f64| {
        Row::measure(part, what, size, unit, sizes, |count| measure(make(count)))
    };
    vec![
        row(length, Unit::Bytes, &|message| message.encoded_len() as f64),
        row(encode, Unit::Nanoseconds, &|message| {
            nanoseconds(|| message.encode_to_vec())
        }),
        row(decode, Unit::Nanoseconds, &|message| {
            let encoded = bytes::Bytes::from(message.encode_to_vec());
            nanoseconds(|| M::decode(encoded.clone()).is_ok())
        }),
    ]
}

fn member_message(index: usize) -> MemberMessage {
    let member = member(index, 100_000);
    MemberMessage {
        name: member.name.to_string(),
        address: member.address.to_string(),
        data_centre: member.data_centre.to_string(),
        incarnation: member.incarnation.0,
        state: 0,
        counter: member.counter,
        platform: member.reaches_platform,
    }
}

fn digest(index: usize) -> DigestMessage {
    DigestMessage {
        key: format!("config/accounts/{index:02x}"),
        revision: 1_000_000,
    }
}

fn service(index: usize) -> ServiceMessage {
    ServiceMessage {
        account: account(index).to_string(),
        pool: pool(index).to_string(),
        amount: 1_234_567.5,
    }
}

fn share(index: usize) -> ShareMessage {
    ShareMessage {
        server: server_id(index).to_string(),
        requests: 3,
        prompt_tokens: 3_000,
        occupied: false,
    }
}

fn demand(index: usize) -> DemandMessage {
    DemandMessage {
        pool: pool(index).to_string(),
        requests: 24.5,
        prompt_tokens: 24_000.5,
        output_tokens: 8_000.5,
        queued: 3,
        refused: 0.5,
    }
}

fn batch(lines: usize) -> UsageBatchMessage {
    let line = |index: usize| UsageLineMessage {
        request_id: format!("r-{index:021x}-{index:016x}").into_bytes().into(),
        account: account(index).to_string(),
        prompt_tokens: 1_000,
        output_tokens: 330,
    };
    UsageBatchMessage {
        node: node(0).to_string(),
        incarnation: 1_790_000_000_000,
        number: 100_000,
        lines: (0..lines).map(line).collect(),
    }
}
