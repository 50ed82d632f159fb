//! Callers that read slowly: what a gateway holds for them is bounded, and their runs end.
//!
//! The servers are part of the test and registered in the object service of the fleet's fake.

use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{generation, is_ready, request, send_request};
use pomeloridge_fleet_standin::operator::set_route;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MIB: usize = 1024 * 1024;
/// Settings that cut slow readers.
const CUT: &str = "[slow_readers]\nunread_s = 4\n";
/// Settings that cut them for memory only; the bound is a third of what the callers below would take.
const CUT_FOR_MEMORY: &str = "[slow_readers]\nunread_s = 60\nprocess_mb = 40\n";
const UNREAD: Duration = Duration::from_secs(4);
/// Time after which a write ends without the settings.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const PROCESS_MB: f64 = 40.0;
/// What else a gateway takes: the answer that is being read, its copies, and its own work.
const READING_MB: f64 = 24.0;
/// Largest answer that a gateway takes.
const ANSWER_BYTES: usize = 8 * MIB;
const ANSWER_MB: f64 = 8.0;
/// Callers that read nothing.
const CALLERS: u8 = 12;
/// Settings that cut them sooner.
const CUT_SOON: &str = "[slow_readers]\nunread_s = 1\n";
/// What a slow caller reads at a time, and how often: all of the answer in many times `unread_s`.
const SLOW_READ: (usize, Duration) = (64 * 1024, Duration::from_millis(100));
/// Size of a stream's event.
const EVENT_BYTES: usize = 64 * 1024;
/// Beginning of the attempts that get a short stream with a long head.
const SHORT: &str = "short";
const SHORT_STREAM: &str = "id: 1\ndata: x\n\n";
const HEAD_BYTES: usize = 8000;
/// Requests that one caller sends without reading the answers: more than the buffers take.
const PIPELINED: usize = 3000;
/// Receive buffer of callers that read nothing.
const CALLER_BUFFER: usize = 16 * 1024;

/// When the runs of a server ended, by attempt; `None` while they go on.
type Runs = Arc<Mutex<Vec<(String, Option<Instant>)>>>;

/// Starts a gateway whose only servers give answers of the largest size, and endless streams.
fn start(name: &str, settings: &str) -> (Fleet, Runs) {
    let none = ["--decode", "0", "--prefill", "0", "--plain", "0"];
    let fleet = Fleet::start_set(&format!("slow-{name}"), 1, &none, settings).unwrap();
    let runs = Runs::default();
    let servers = [
        ("assistant-0", "assistant", Some("decode")),
        ("filings-0", "filings", None),
        ("filings-1", "filings", None),
    ];
    for (name, service, stage) in servers {
        let address = serve(&runs);
        let mut entry = json!({
            "service": service, "address": address.to_string(), "zone": "dc-1",
            "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "sequence": 1, "born": 1,
        });
        if let Some(stage) = stage {
            entry["stage"] = json!(stage);
        }
        let body = json!({ "metadata": { "name": name }, "spec": entry });
        post_json(fleet.store, "/-/objects/servers", &body).unwrap();
    }
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    let mut number = 0;
    wait_until(|| {
        number += 1;
        is_served(&fleet, &format!("known{number}"))
    });
    (fleet, runs)
}

/// Returns whether a caller that reads gets a whole answer.
fn is_served(fleet: &Fleet, attempt: &str) -> bool {
    let message = request(Method::GET, "open", attempt);
    let answer = block_on(send_request(fleet.gateways[0].caller, None, &message));
    answer.is_ok_and(|(answer, _)| answer.status == 200 && answer.body.len() == ANSWER_BYTES)
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a server and returns its address.
fn serve(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::clone(runs);
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            let runs = Arc::clone(&runs);
            std::thread::spawn(move || answer(connection, &runs));
        }
    });
    address
}

/// Answers one request; a stream ends only with its connection.
fn answer(mut connection: TcpStream, runs: &Runs) {
    let Some((head, mut read)) = read_head(&mut connection) else {
        return;
    };
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value).to_owned()
    };
    let attempt = header("pomeloridge-attempt-id");
    let length = header("content-length").parse().unwrap_or(0);
    let common = format!(
        "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: {attempt}\r\n\
         pomeloridge-server-seal: seal\r\n"
    );
    let number = {
        let mut runs = runs.lock().unwrap();
        let is_first = !runs.iter().any(|(known, _)| *known == attempt);
        runs.push((attempt, None));
        // The body of the first sending of a long request is not read.
        if is_first && length > MIB {
            drop(runs);
            std::thread::sleep(TIMEOUT);
            return;
        }
        runs.len() - 1
    };
    let mut chunk = vec![0; EVENT_BYTES];
    while read < length {
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => read += count,
        }
    }
    if attempt_of(runs, number).starts_with(SHORT) {
        let head = format!(
            "{common}content-length: {}\r\ncontent-type: text/event-stream; a={}\r\n\r\n",
            SHORT_STREAM.len(),
            "y".repeat(HEAD_BYTES)
        );
        // A gateway that leaves is seen by the test.
        let sent = connection.write_all(head.as_bytes());
        let _ = sent.and_then(|()| connection.write_all(SHORT_STREAM.as_bytes()));
    } else if head.starts_with("POST /ask") {
        let head = format!("{common}content-type: text/event-stream\r\n\r\n");
        let mut sent = connection.write_all(head.as_bytes());
        let data = "x".repeat(EVENT_BYTES);
        for id in 1.. {
            let event = format!("id: {id}\ndata: {data}\n\n");
            sent = sent.and_then(|()| connection.write_all(event.as_bytes()));
            if sent.is_err() {
                break;
            }
        }
    } else {
        let head = format!("{common}content-length: {ANSWER_BYTES}\r\n\r\n");
        let body = vec![b'x'; ANSWER_BYTES];
        let sent = connection.write_all(head.as_bytes());
        // A gateway that leaves fails the caller's request, which the test sees.
        let _ = sent.and_then(|()| connection.write_all(&body));
    }
    runs.lock().unwrap()[number].1 = Some(Instant::now());
}

fn attempt_of(runs: &Runs, number: usize) -> String {
    runs.lock().unwrap()[number].0.clone()
}

/// Reads a request's head; returns it with the number of bytes of the body that came with it, or
/// `None` if the connection ends before.
fn read_head(connection: &mut TcpStream) -> Option<(String, usize)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            return Some((head, bytes.len() - end - 4));
        }
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Sends a request and waits until its answer begins, without reading it.
fn begin(fleet: &Fleet, message: &OutgoingRequest) -> TcpStream {
    let mut connection = connect(fleet);
    connection.write_all(&encode(message)).unwrap();
    let mut begun = [0; 12];
    wait_until(|| connection.peek(&mut begun).unwrap() == begun.len());
    assert_eq!(&begun, b"HTTP/1.1 200");
    connection
}

/// Opens a connection with a small receive buffer.
fn connect(fleet: &Fleet) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(CALLER_BUFFER).unwrap();
    socket.connect(&fleet.gateways[0].caller.into()).unwrap();
    let connection = TcpStream::from(socket);
    connection.set_read_timeout(Some(TIMEOUT)).unwrap();
    connection
}

fn encode(message: &OutgoingRequest) -> Vec<u8> {
    let mut text = format!("{} {} HTTP/1.1\r\n", message.method, message.target);
    for (name, value) in &message.headers {
        write!(text, "{name}: {}\r\n", value.to_str().unwrap()).unwrap();
    }
    write!(text, "content-length: {}\r\n\r\n", message.body.len()).unwrap();
    [text.as_bytes(), &message.body].concat()
}

/// Reads a whole answer in parts, with `wait` before each of them.
fn read_whole(caller: &mut TcpStream, wait: impl Fn()) {
    let mut answer = Vec::new();
    let mut chunk = vec![0; SLOW_READ.0];
    let mut length = None;
    while length.is_none_or(|length| answer.len() < length) {
        wait();
        let count = caller.read(&mut chunk).unwrap();
        assert!(count > 0, "the answer ends after {} bytes", answer.len());
        answer.extend_from_slice(&chunk[..count]);
        let end = answer.windows(4).position(|window| window == b"\r\n\r\n");
        length = length.or(end.map(|end| end + 4 + ANSWER_BYTES));
    }
    assert_eq!(Some(answer.len()), length);
}

fn memory(fleet: &Fleet) -> f64 {
    fleet.gateways[0].process.memory().unwrap()
}

/// Makes callers that read nothing ask one after the other; returns the most memory, in MB, that
/// the gateway took for them, and their connections.
fn ask_without_reading(fleet: &Fleet) -> (f64, Vec<TcpStream>) {
    let before = memory(fleet);
    let mut most = 0_f64;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let message = request(Method::GET, "open", &format!("slow{number}"));
        callers.push(begin(fleet, &message));
        most = most.max(memory(fleet) - before);
    }
    (most, callers)
}

/// Returns the log lines of cuts.
fn cuts(fleet: &Fleet) -> Vec<String> {
    let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
    let lines = log
        .lines()
        .filter(|line| line.contains("choice=cut_reader"));
    lines.map(ToOwned::to_owned).collect()
}

// Guards against answers that fill the memory since their callers read nothing. Without the
// settings, nothing bounds them.
#[test]
fn callers_that_read_nothing_hold_a_bounded_part_of_the_memory() {
    let (fleet, _) = start("unbounded", "");
    let (unbounded, callers) = ask_without_reading(&fleet);
    drop(callers);
    let (fleet, _) = start("bounded", CUT_FOR_MEMORY);
    let (bounded, callers) = ask_without_reading(&fleet);
    println!("memory_mb unbounded={unbounded} bounded={bounded}");
    assert!(
        unbounded > f64::from(CALLERS - 2) * ANSWER_MB,
        "{unbounded}"
    );
    assert!(bounded < PROCESS_MB + READING_MB, "{bounded}");
    // The log is written after the cuts.
    wait_until(|| cuts(&fleet).len() >= 7);
    let cuts = cuts(&fleet);
    let is_of_memory = |line: &String| line.contains("reader=caller reason=memory");
    assert!(cuts.iter().all(is_of_memory), "{cuts:?}");
    // One that reads is served beside them.
    assert!(is_served(&fleet, "quick"));
    drop(callers);
}

// Guards against cutting a caller that reads on in time.
#[test]
fn a_caller_that_reads_again_after_two_seconds_gets_its_whole_answer() {
    let (fleet, _) = start("again", CUT);
    let mut caller = begin(&fleet, &request(Method::GET, "open", "again"));
    std::thread::sleep(UNREAD / 2);
    read_whole(&mut caller, || {});
    assert_eq!(cuts(&fleet), Vec::<String>::new());
}

// Guards against an engine that writes for a caller who does not read, and against a second run
// for that caller.
#[test]
fn the_run_of_a_caller_that_reads_nothing_ends() {
    let (fleet, runs) = start("run", CUT);
    let begun = Instant::now();
    let mut caller = begin(&fleet, &generation("ask", "unread", 200));
    let own = |runs: &Runs| -> Vec<Option<Instant>> {
        let runs = runs.lock().unwrap();
        let own = runs.iter().filter(|(attempt, _)| attempt == "unread");
        own.map(|(_, end)| *end).collect()
    };
    wait_until(|| own(&runs).iter().all(Option::is_some));
    let took = begun.elapsed();
    assert!(took >= UNREAD && took < WRITE_TIMEOUT, "{took:?}");
    // The server sees the end before the gateway has logged the cut.
    wait_until(|| !cuts(&fleet).is_empty());
    let cuts = cuts(&fleet);
    assert_eq!(cuts.len(), 1, "{cuts:?}");
    assert!(
        cuts[0].contains("id=unread") && cuts[0].contains("reason=unread"),
        "{cuts:?}"
    );
    // The caller sees that its stream was cut.
    let mut rest = Vec::new();
    let ended = caller.read_to_end(&mut rest).map_err(|error| error.kind());
    assert_eq!(ended, Err(ErrorKind::ConnectionReset));
    assert!(is_served(&fleet, "after"));
    assert_eq!(own(&runs).len(), 1);
}

// Guards against cutting a caller that reads slowly, but steadily.
#[test]
fn a_caller_that_reads_slowly_gets_its_whole_answer() {
    let (fleet, _) = start("steady", CUT_SOON);
    let mut caller = begin(&fleet, &request(Method::GET, "open", "steady"));
    read_whole(&mut caller, || std::thread::sleep(SLOW_READ.1));
    assert_eq!(cuts(&fleet), Vec::<String>::new());
}

// Guards against a request whose server does not read its body, and against a second run of one
// that must not run twice.
#[test]
fn a_body_that_its_server_does_not_read_is_sent_to_another_one() {
    let (fleet, runs) = start("body", CUT_SOON);
    let config = get_json(fleet.store, "/-/objects/config/main").unwrap();
    let mut config = config["spec"].clone();
    config["limits"]["maxBodyBytes"] = json!(ANSWER_BYTES);
    let config = set_route(&config, "lodge", "priority", &json!(2));
    post_json(fleet.duties, "/-/config", &config).unwrap();
    let send = |route: &str, attempt: &str| {
        let message = request(Method::POST, route, attempt).body(vec![b'x'; 7 * MIB]);
        let sent = send_request(fleet.gateways[0].caller, None, &message);
        block_on(sent).map(|(answer, _)| answer.status.as_u16())
    };
    let mut number = 0;
    let mut first = String::new();
    wait_until(|| {
        number += 1;
        first = format!("first{number}");
        send("read", &first) == Ok(200)
    });
    let count = |attempt: &str| {
        let runs = runs.lock().unwrap();
        runs.iter().filter(|(known, _)| known == attempt).count()
    };
    assert_eq!(count(&first), 2);
    // Earlier tries may have been cut as well, before the configuration was in force.
    let of_first = || {
        let mut all = cuts(&fleet);
        all.retain(|line| line.contains(&format!("id={first} ")));
        all
    };
    wait_until(|| !of_first().is_empty());
    let all = of_first();
    assert_eq!(all.len(), 1, "{all:?}");
    assert!(all[0].contains("reader=server reason=unread"), "{all:?}");
    let status = send("lodge", "lodged");
    assert!(matches!(status, Ok(502 | 504)), "{status:?}");
    assert_eq!(count("lodged"), 1);
}

// Guards against cutting callers since the gateway itself stood still.
#[test]
fn a_pause_of_the_gateway_cuts_no_caller() {
    let (fleet, _) = start("pause", CUT);
    let mut caller = begin(&fleet, &request(Method::GET, "open", "paused"));
    fleet.gateways[0].process.pause();
    std::thread::sleep(UNREAD * 2);
    fleet.gateways[0].process.resume();
    std::thread::sleep(UNREAD / 2);
    read_whole(&mut caller, || {});
    assert_eq!(cuts(&fleet), Vec::<String>::new());
}

// Guards against streams whose head or end is written without any bound: a caller sends many
// requests on one connection and reads none of the answers, which consist of little else.
#[test]
fn a_caller_that_reads_no_head_is_cut() {
    let (fleet, _) = start("head", CUT);
    let mut caller = connect(&fleet);
    let unread = caller.try_clone().unwrap();
    std::thread::spawn(move || {
        for number in 0..PIPELINED {
            let message = generation("ask", &format!("{SHORT}{number}"), 200);
            // Fails once the gateway has cut the connection.
            if caller.write_all(&encode(&message)).is_err() {
                return;
            }
        }
    });
    let end = Instant::now() + 3 * TIMEOUT;
    while cuts(&fleet).is_empty() {
        assert!(Instant::now() < end, "no caller was cut");
        std::thread::sleep(POLL_INTERVAL);
    }
    let cuts = cuts(&fleet);
    assert!(cuts[0].contains("reader=caller reason=unread"), "{cuts:?}");
    assert!(cuts[0].contains(&format!("id={SHORT}")), "{cuts:?}");
    drop(unread);
}
