//! Splitting of streams into whole events.

use pomeloridge_gateway::EventSplitter;
use yare::parameterized;

const STREAM: &[u8] = b"id: 1\ndata: a\n\npomeloridge-weight-versions: 2\nid: 2\ndata: b\n\n";

/// An event's number and bytes.
type Split = (Option<u64>, Vec<u8>);

fn split(pieces: &[&[u8]]) -> (Vec<Split>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        assert!(splitter.push(piece));
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.is_whole())
}

#[test]
fn events_are_the_same_however_they_are_cut() {
    let (whole, _) = split(&[STREAM]);
    assert_eq!(whole.len(), 2);
    assert_eq!((whole[0].0, whole[1].0), (Some(1), Some(2)));
    let joined: Vec<u8> = whole.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
    assert_eq!(joined, STREAM);
    for cut in 0..STREAM.len() {
        let (events, is_whole) = split(&[&STREAM[..cut], &STREAM[cut..]]);
        assert_eq!(events, whole, "cut at {cut}");
        assert!(is_whole);
    }
    let bytes: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(split(&bytes).0, whole);
}

#[test]
fn a_part_of_an_event_is_kept_back() {
    let (events, is_whole) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_whole);
}

#[parameterized(
    crlf = { b"id: 7\r\ndata: x\r\n\r\n", Some(7) },
    tight = { b"id:7\ndata: x\n\n", Some(7) },
    none = { b"data: x\n\n", None },
    word = { b"id: x\n\n", None },
    last = { b"id: 1\nid: 2\n\n", Some(2) },
)]
fn the_number_is_read(event: &[u8], id: Option<u64>) {
    let (events, _) = split(&[event]);
    assert_eq!(events[0].0, id);
}

#[test]
fn an_endless_event_is_given_up() {
    let mut splitter = EventSplitter::default();
    let mut pushed = true;
    for _ in 0..40 {
        pushed = splitter.push(&vec![b'x'; 64 * 1024]);
    }
    assert!(!pushed);
}
