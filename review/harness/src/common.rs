//! Processes, HTTP messages, a proxy and the record, shared by the cases.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

/// Outcome of a case: whether the rule was broken. An error means that it could not run.
pub type Verdict = Result<bool, String>;

/// IP address of the platform stand-in and its servers.
pub const PLATFORM_IP: &str = "127.0.0.2";
/// Key of the client account in the stand-in's configuration.
pub const KEY: &str = "key-of-anna";
const HOST: &str = "fleet.example";

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn clock() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line with the time to the record.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:8.3}  {}", clock(), text.as_ref());
    RECORD.lock().unwrap().push(line);
}

/// Adds a line without a time to the record.
pub fn plain(text: impl AsRef<str>) {
    RECORD.lock().unwrap().push(text.as_ref().to_owned());
}

/// Writes the record.
pub fn write_record(path: &std::path::Path) {
    let text = RECORD.lock().unwrap().join("\n");
    let _ = std::fs::write(path, text + "\n");
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Folder with the project's programs.
fn programs() -> PathBuf {
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| "target".into(), PathBuf::from);
    target.join("release")
}

/// A temporary folder of this run.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pomeloridge-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Starts a program of the project; returns its first line on standard output.
pub fn start(name: &str, program: &str, args: &[&str]) -> Result<String, String> {
    let log = folder().join(format!("{name}.log"));
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let path = programs().join(program);
    let mut child = Command::new(&path)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::from(log.try_clone().map_err(|error| error.to_string())?))
        .spawn()
        .map_err(|error| format!("{}: {error}", path.display()))?;
    let out = child.stdout.take().unwrap();
    CHILDREN.lock().unwrap().push((name.to_owned(), child));
    let (first, line) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut lines = BufReader::new(out).lines();
        if let Some(Ok(text)) = lines.next() {
            let _ = first.send(text);
        }
        let mut log = log;
        for text in lines.map_while(Result::ok) {
            let _ = writeln!(log, "{text}");
        }
    });
    let line = line.recv_timeout(Duration::from_secs(10));
    line.map_err(|_| format!("{name} printed no first line"))
}

/// Kills a process of the case with SIGKILL, by its id.
pub fn kill(name: &str) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(index) = children.iter().rposition(|(known, _)| known == name) {
        let (_, mut child) = children.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Stops a process of the case with SIGTERM, and waits until it has ended.
pub fn terminate(name: &str) -> Result<(), String> {
    let mut children = CHILDREN.lock().unwrap();
    let index = children.iter().rposition(|(known, _)| known == name);
    let (_, mut child) = children.remove(index.ok_or("no such process")?);
    drop(children);
    let order = format!("kill -TERM {}", child.id());
    let sent = Command::new("sh").args(["-c", &order]).status();
    let end = clock() + 12.0;
    while clock() < end {
        if matches!(child.try_wait(), Ok(Some(_))) {
            return sent.map(|_| ()).map_err(|error| error.to_string());
        }
        sleep(0.02);
    }
    let _ = child.kill();
    let _ = child.wait();
    Err(format!("{name} did not end after SIGTERM"))
}

/// Ends all processes of the case and removes its folder.
pub fn end_all() {
    for (_, mut child) in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder());
    } else {
        println!("kept {}", folder().display());
    }
}

/// The project's stand-in of the platform.
pub struct Platform {
    pub store: SocketAddr,
    pub duties: SocketAddr,
}

impl Platform {
    pub fn start(args: &[&str]) -> Result<Self, String> {
        let args: Vec<&str> = ["--ip", PLATFORM_IP].iter().chain(args).copied().collect();
        let line = start("platform", "pomeloridge_fleet_standin", &args)?;
        let line: Value = serde_json::from_str(&line).map_err(|error| error.to_string())?;
        let address = |key: &str| {
            let text = line[key].as_str().unwrap_or_default();
            text.parse().map_err(|_| format!("the stand-in printed no {key}"))
        };
        Ok(Self { store: address("store")?, duties: address("duties")? })
    }

    /// Calls the stand-in's own interface for tests.
    pub fn post(&self, path: &str, body: &Value) -> Result<(), String> {
        let message = message("POST", path, &[], body.to_string().as_bytes());
        let answer = exchange(self.duties, &message, Duration::from_secs(5))?;
        (answer.status == 200).then_some(()).ok_or(format!("{path}: status {}", answer.status))
    }

    pub fn get(&self, path: &str) -> Result<Value, String> {
        let answer = exchange(self.duties, &message("GET", path, &[], b""), Duration::from_secs(5))?;
        serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
    }

    /// Changes fields of routes, as a new version of the config. Its model servers then are a
    /// streaming service without stages: the stand-in doesn't answer reports and orders as on the
    /// pages, and is asked for none so.
    pub fn change_routes(&self, changes: &[(&str, &str, Value)]) -> Result<(), String> {
        let mut config = self.get("/-/config")?;
        config["version"] = Value::from(config["version"].as_u64().unwrap_or(0) + 1);
        for service in config["services"].as_array_mut().into_iter().flatten() {
            if let Some(service) = service.as_object_mut() {
                service.remove("engine");
            }
        }
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            for (name, field, value) in changes {
                if route["name"] == *name {
                    route[*field] = value.clone();
                }
            }
        }
        self.post("/-/config", &config)
    }
}

/// Addresses of a gateway.
#[derive(Clone, Copy)]
pub struct Gateway {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts a gateway as the deploy file says, with the deploy file's template filled in as for a
/// small installation.
pub fn start_gateway(index: u8, store: SocketAddr, duties: SocketAddr) -> Result<Gateway, String> {
    start_gateway_in("dc-1", index, store, duties)
}

/// The same in another zone.
pub fn start_gateway_in(
    zone: &str,
    index: u8,
    store: SocketAddr,
    duties: SocketAddr,
) -> Result<Gateway, String> {
    let name = format!("front-{index}");
    let ip = format!("127.0.1.{}", index + 1);
    let template = std::fs::read_to_string("deploy/settings.ini").map_err(|error| error.to_string())?;
    let file = folder().join(format!("{name}.ini"));
    let mut ports = PORTS.lock().unwrap();
    let ports = ports.entry(index).or_insert_with(|| free_ports(&ip));
    let [caller, ready, peer, metrics] = *ports;
    let values = [
        ("{{nodeName}}", name.clone()),
        ("{{zone}}", zone.to_owned()),
        ("{{bootstrap}}", "true".to_owned()),
        ("{{listenAddrs.front}}", caller.to_string()),
        ("{{listenAddrs.ready}}", ready.to_string()),
        ("{{ip}}:{{internalPorts.0}}", peer.to_string()),
        ("{{ip}}:9464", metrics.to_string()),
        ("{{platform.address}}", store.to_string()),
        ("{{cloudApi.address}}", duties.to_string()),
        ("{{bounds.leaseMs}}", "3000".to_owned()),
        ("{{bounds.graceS}}", "8".to_owned()),
        ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
        ("{{bounds.budgetSlack}}", "54".to_owned()),
        ("{{bounds.budgetWindowS}}", "10".to_owned()),
        ("{{bounds.usageWindowS}}", "5".to_owned()),
        ("{{bounds.usageLateS}}", "10".to_owned()),
    ];
    let text = values.iter().fold(template, |text, (from, to)| text.replace(from, to));
    if text.contains("{{") {
        return Err(format!("the template has a field that is not known here:\n{text}"));
    }
    std::fs::write(&file, text).map_err(|error| error.to_string())?;
    let file = file.to_string_lossy().into_owned();
    start(&name, "pomeloridge", &["gateway", "--settings", &file])?;
    Ok(Gateway { caller, ready })
}

/// Addresses of each gateway; one that starts again has those that it had.
static PORTS: Mutex<std::collections::BTreeMap<u8, [SocketAddr; 4]>> =
    Mutex::new(std::collections::BTreeMap::new());

fn free_ports(ip: &str) -> [SocketAddr; 4] {
    let held = [(); 4].map(|()| TcpListener::bind((ip, 0)).unwrap());
    held.map(|listener| listener.local_addr().unwrap())
}

/// Waits until a gateway says that it is ready.
pub fn wait_ready(gateway: Gateway, seconds: f64) -> Result<(), String> {
    let end = clock() + seconds;
    while clock() < end {
        let question = message("GET", "/-/readiness", &[], b"");
        if exchange(gateway.ready, &question, Duration::from_secs(1)).is_ok_and(|a| a.status == 200) {
            return Ok(());
        }
        sleep(0.05);
    }
    Err("a gateway did not become ready".to_owned())
}

/// An answer that was read to its end.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub complete: bool,
}

/// Encodes a message.
pub fn message(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    [text.as_bytes(), b"\r\n", body].concat()
}

/// Encodes a client's request.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, more: &[(&str, &str)]) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("Pomeloridge-Attempt-Id", attempt),
        ("Pomeloridge-Deadline-Ms", &deadline),
        ("Pomeloridge-Key", KEY),
    ];
    headers.extend(more);
    message(method, path, &headers, b"")
}

/// Headers of a request to a model.
pub fn prompt(attempt: &str) -> Vec<(String, String)> {
    let own: u64 = attempt.bytes().fold(7, |hash, byte| hash.wrapping_mul(1_000_003) ^ u64::from(byte));
    vec![
        ("Pomeloridge-Model".into(), "m".into()),
        ("Pomeloridge-Token-Counts".into(), "600,8".into()),
        ("Pomeloridge-Prompt-Prefix".into(), format!("{:x}:100,{own:x}:500", own ^ 0xa1)),
    ]
}

/// Sends a message on a new channel and reads the answer.
pub fn exchange(address: SocketAddr, message: &[u8], time: Duration) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&address, time.min(Duration::from_secs(1)));
    let mut stream = stream.map_err(|error| format!("not connected: {error}"))?;
    exchange_on(&mut stream, message, time, |_, _| {})
}

/// Sends a message on a channel and reads the answer; `seen` gets the body so far.
pub fn exchange_on(
    stream: &mut TcpStream,
    message: &[u8],
    time: Duration,
    mut seen: impl FnMut(u16, &[u8]),
) -> Result<Answer, String> {
    let end = Instant::now() + time;
    let text = |error: std::io::Error| error.to_string();
    stream.write_all(message).map_err(text)?;
    let mut bytes = Vec::new();
    let mut answer = Answer::default();
    let mut head_end = None;
    loop {
        if head_end.is_none()
            && let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n")
        {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            let mut lines = head.lines();
            let status = lines.next().unwrap_or_default().split(' ').nth(1);
            answer.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
            let headers = lines.filter_map(|line| line.split_once(':'));
            answer.headers = headers
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            head_end = Some(at + 4);
        }
        if let Some(start) = head_end {
            let raw = &bytes[start..];
            let (body, complete) = body_of(&answer.headers, raw);
            answer.body = body;
            seen(answer.status, &answer.body);
            if complete {
                answer.complete = true;
                return Ok(answer);
            }
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("no whole answer within {} ms", time.as_millis()));
        }
        stream.set_read_timeout(Some(left)).map_err(text)?;
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(error) if head_end.is_none() => return Err(text(error)),
            Err(_) => break,
        }
    }
    if head_end.is_none() {
        return Err("the channel was closed without an answer".to_owned());
    }
    Ok(answer)
}

/// Returns the body so far, and whether it is whole.
fn body_of(headers: &HashMap<String, String>, raw: &[u8]) -> (Vec<u8>, bool) {
    if let Some(length) = headers.get("content-length").and_then(|length| length.parse().ok()) {
        return (raw[..raw.len().min(length)].to_vec(), raw.len() >= length);
    }
    if !headers.contains_key("transfer-encoding") {
        return (raw.to_vec(), false);
    }
    let (mut body, mut rest) = (Vec::new(), raw);
    while let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..at]).ok().and_then(|size| usize::from_str_radix(size, 16).ok());
        let Some(size) = size else { break };
        if size == 0 {
            return (body, true);
        }
        if rest.len() < at + 2 + size + 2 {
            break;
        }
        body.extend_from_slice(&rest[at + 2..at + 2 + size]);
        rest = &rest[at + 4 + size..];
    }
    (body, false)
}

/// Reads a request's head and body; returns the head, `None` if the channel ends before.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|length| length.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return Some(head);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns a header of a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// A proxy that can cut its channels off: nothing passes and nothing is said, until it is healed;
/// channels of that time then end.
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    /// When the client last asked for changes of the config.
    watched: Arc<Mutex<Option<f64>>>,
}

impl Proxy {
    /// Starts a proxy; `change` may change what the upstream sends.
    pub fn start(upstream: SocketAddr, change: fn(&mut Vec<u8>)) -> Self {
        let listener = TcpListener::bind("127.0.0.4:0").unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&cut);
        let watched = Arc::new(Mutex::new(None));
        let seen = Arc::clone(&watched);
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let (flag, seen) = (Arc::clone(&flag), Arc::clone(&seen));
                std::thread::spawn(move || {
                    if wait_while(&flag) {
                        return;
                    }
                    let Ok(server) = TcpStream::connect(upstream) else { return };
                    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else { return };
                    let flag2 = Arc::clone(&flag);
                    std::thread::spawn(move || {
                        pump(client2, server2, &flag2, |bytes| {
                            let asks = b"/config?watch=";
                            if bytes.windows(asks.len()).any(|window| window == asks) {
                                *seen.lock().unwrap() = Some(clock());
                            }
                        });
                    });
                    pump(server, client, &flag, change);
                });
            }
        });
        Self { address, cut, watched }
    }

    /// Seconds since the client last asked for changes of the config.
    pub fn watch_age(&self) -> Option<f64> {
        self.watched.lock().unwrap().map(|at| clock() - at)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

/// Waits while the flag is set; returns whether it was.
fn wait_while(flag: &AtomicBool) -> bool {
    let was_set = flag.load(Ordering::SeqCst);
    while flag.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
    was_set
}

fn pump(mut from: TcpStream, mut to: TcpStream, flag: &AtomicBool, change: impl Fn(&mut Vec<u8>)) {
    let mut chunk = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if wait_while(flag) {
            break;
        }
        let mut bytes = chunk[..count].to_vec();
        change(&mut bytes);
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    wait_while(flag);
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
