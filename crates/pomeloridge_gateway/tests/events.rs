//! Tests of splitting a byte stream into complete events.

use pomeloridge_gateway::EventSplitter;
use yare::parameterized;

const STREAM: &[u8] = b"id: 1\ndata: a\n\npomeloridge-weight-versions: 2\nid: 2\ndata: b\n\n";

/// Number and bytes of an event.
type SplitEvent = (Option<u64>, Vec<u8>);

fn split(chunks: &[&[u8]]) -> (Vec<SplitEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        assert!(splitter.push(chunk));
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.is_empty())
}

#[test]
fn chunk_boundaries_do_not_change_events() {
    let (expected, _) = split(&[STREAM]);
    assert_eq!(expected.len(), 2);
    assert_eq!((expected[0].0, expected[1].0), (Some(1), Some(2)));
    let joined: Vec<u8> = expected
        .iter()
        .flat_map(|(_, bytes)| bytes.clone())
        .collect();
    assert_eq!(joined, STREAM);
    for cut in 0..STREAM.len() {
        let (events, is_empty) = split(&[&STREAM[..cut], &STREAM[cut..]]);
        assert_eq!(events, expected, "cut at {cut}");
        assert!(is_empty);
    }
    let bytes: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(split(&bytes).0, expected);
}

#[test]
fn incomplete_event_is_not_returned() {
    let (events, is_empty) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_empty);
}

#[parameterized(
    crlf = { b"id: 7\r\ndata: x\r\n\r\n", Some(7) },
    no_space = { b"id:7\ndata: x\n\n", Some(7) },
    none = { b"data: x\n\n", None },
    not_a_number = { b"id: x\n\n", None },
    last = { b"id: 1\nid: 2\n\n", Some(2) },
)]
fn event_id_is_parsed(event: &[u8], id: Option<u64>) {
    let (events, _) = split(&[event]);
    assert_eq!(events[0].0, id);
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let mut pushed = true;
    for _ in 0..40 {
        pushed = splitter.push(&vec![b'x'; 64 * 1024]);
    }
    assert!(!pushed);
}
