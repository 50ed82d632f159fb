//! Tests of the comparison of streams with the expected tokens.

use std::time::Duration;

use pomeloridge_experiment::stream::TokenStream;
use pomeloridge_standin::token;
use yare::parameterized;

const PROMPT: &str = "explain the residuals";
const COUNT: usize = 20;

fn event(index: usize, text: &str, chat: bool) -> String {
    let choice = if chat {
        format!(r#"{{"index":0,"delta":{{"role":"assistant","content":"{text}"}}}}"#)
    } else {
        format!(r#"{{"index":0,"text":"{text}"}}"#)
    };
    format!("id: r-1-2:{index}\ndata: {{\"id\":\"r-1-2\",\"choices\":[{choice}]}}\n\n")
}

fn events(chat: bool) -> Vec<String> {
    let one = |index| event(index, &token(PROMPT, index), chat);
    let mut list: Vec<String> = (0..COUNT).map(one).collect();
    list.push("data: [DONE]\n\n".to_owned());
    list
}

fn read(text: &str, chunk: usize) -> (usize, bool, bool) {
    let mut stream = TokenStream::new(PROMPT, COUNT);
    for bytes in text.as_bytes().chunks(chunk) {
        stream.push(bytes, Duration::ZERO);
    }
    stream.finish();
    (stream.arrivals.len(), stream.complete, stream.correct)
}

#[parameterized(
    completion_at_once = { false, 100_000 },
    completion_in_chunks = { false, 7 },
    chat_in_chunks = { true, 7 },
)]
fn correct_streams(chat: bool, chunk: usize) {
    assert_eq!(read(&events(chat).concat(), chunk), (COUNT, true, true));
}

#[parameterized(
    no_end = { |list: &mut Vec<String>| { list.pop(); }, (COUNT, false, true) },
    token_missing = { |list: &mut Vec<String>| { list.remove(5); }, (COUNT - 1, true, false) },
    last_missing = { |list: &mut Vec<String>| { list.remove(COUNT - 1); }, (COUNT - 1, true, false) },
    token_twice = { |list: &mut Vec<String>| list.insert(5, list[5].clone()), (COUNT + 1, true, false) },
    first_wrong = { |list: &mut Vec<String>| list[0] = event(0, " w0", false), (COUNT, true, false) },
    last_wrong = { |list: &mut Vec<String>| list[COUNT - 1] = event(COUNT - 1, " w0", false), (COUNT, true, false) },
    no_text = { |list: &mut Vec<String>| list[3] = "id: r:3\ndata: {}\n\n".to_owned(), (COUNT, true, false) },
    error_at_the_end = { |list: &mut Vec<String>| {
        list[COUNT] = "event: error\ndata: {\"error\":{\"code\":\"server_lost\"}}\n\n".to_owned();
    }, (COUNT, false, true) },
)]
fn faulty_streams(change: fn(&mut Vec<String>), expected: (usize, bool, bool)) {
    let mut list = events(false);
    change(&mut list);
    assert_eq!(read(&list.concat(), 64), expected);
}
