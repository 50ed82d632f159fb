//! The encoded heartbeat and the encoded usage batch: bytes, and time either way.

use prost::Message;

use crate::fixture::{account, member, node, pool, server_id};
use crate::meter::nanoseconds;
use crate::row::{Row, Unit};
use crate::wire::{
    DemandMessage, DigestMessage, HeartbeatMessage, MemberMessage, ServiceMessage, ShareMessage,
    UsageBatchMessage, UsageLineMessage,
};

/// Numbers of members told.
const MEMBERS: [usize; 4] = [0, 32, 64, 128];
/// Numbers of other lines.
const LINES: [usize; 4] = [0, 100, 1_000, 10_000];
/// Lines of one usage batch.
const BATCH: [usize; 4] = [1, 10, 100, 1_000];

type Fill = fn(&mut HeartbeatMessage, usize);

/// Measures the messages.
pub fn rows() -> Vec<Row> {
    let kinds: [(&'static str, [&'static str; 3], &[usize], Fill); 5] = [
        (
            "member told",
            ["bytes, members", "encode, members", "decode, members"],
            &MEMBERS,
            |beat, count| beat.members = (0..count).map(told).collect(),
        ),
        (
            "digest",
            ["bytes, digests", "encode, digests", "decode, digests"],
            &LINES,
            |beat, count| beat.digests = (0..count).map(digest).collect(),
        ),
        (
            "service line",
            ["bytes, service", "encode, service", "decode, service"],
            &LINES,
            |beat, count| beat.service = (0..count).map(service).collect(),
        ),
        (
            "share",
            ["bytes, shares", "encode, shares", "decode, shares"],
            &LINES,
            |beat, count| beat.shares = (0..count).map(share).collect(),
        ),
        (
            "demand line",
            ["bytes, demand", "encode, demand", "decode, demand"],
            &LINES,
            |beat, count| beat.demand = (0..count).map(demand).collect(),
        ),
    ];
    let beats = kinds.into_iter().flat_map(|(size, names, sizes, fill)| {
        let [length, encode, decode] = names;
        let beat = move |count| {
            let mut beat = HeartbeatMessage {
                sender: Some(told(0)),
                ..HeartbeatMessage::default()
            };
            fill(&mut beat, count);
            beat
        };
        triple("heartbeat", [length, encode, decode], size, sizes, beat)
    });
    let names = [
        "bytes, usage batch",
        "encode, usage batch",
        "decode, usage batch",
    ];
    let batches = triple("usage", names, "line", &BATCH, batch);
    beats.chain(batches).collect()
}

/// Bytes, encoding time and decoding time of one message.
fn triple<M: Message + Default>(
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

fn told(index: usize) -> MemberMessage {
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
