//! Tests of logging under load: it is rate-limited, counts dropped lines and never blocks.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_dev::launch::{Fleet, block_on};
use pomeloridge_fleet_standin::caller::{is_ready, request, send_request};
use serde_json::Value;

/// Timeout for a stopped gateway to exit.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Requests whose log lines exceed the capacity of a pipe.
const REQUESTS: usize = 1500;

/// A gateway whose standard output the test reads; killed on drop.
struct Gateway {
    child: Child,
    out: BufReader<ChildStdout>,
    first_line: String,
}

impl Gateway {
    /// Starts a second gateway of a deployment with additional settings.
    fn start(fleet: &Fleet, extra: &str) -> Self {
        let template = fleet.folder.join("front-0.ini");
        let settings = std::fs::read_to_string(template).unwrap();
        let settings = settings.replace("name = front-0", "name = front-9");
        let file = fleet.folder.join("front-9.ini");
        std::fs::write(&file, settings + extra).unwrap();
        let program = std::env::current_exe().unwrap();
        let program = program.ancestors().nth(2).unwrap().join("pomeloridge");
        let mut child = Command::new(program)
            .args(["gateway", "--settings", file.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut first_line = String::new();
        out.read_line(&mut first_line).unwrap();
        Self {
            child,
            out,
            first_line,
        }
    }

    fn address(&self, key: &str) -> SocketAddr {
        let line: Value = serde_json::from_str(&self.first_line).unwrap();
        let pairs = line["message"].as_str().unwrap().split(' ');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        let (_, address) = pairs.find(|(found, _)| *found == key).unwrap();
        address.parse().unwrap()
    }

    /// Sends `count` requests on one connection; each must be answered with 200.
    fn send_requests(&self, count: usize) {
        let (caller, ready) = (self.address("caller"), self.address("ready"));
        block_on(async {
            while !is_ready(ready).await {
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
            let mut connection = None;
            for number in 0..count {
                let message = request(Method::GET, "read", &format!("g{number}"));
                let (answer, used) = send_request(caller, connection.take(), &message).await?;
                assert_eq!(answer.status, 200);
                connection = used.reusable().then_some(used);
            }
            Ok::<(), String>(())
        })
        .unwrap();
    }

    fn stop(&mut self) {
        // SAFETY: the process is a child of this one and has not been waited for.
        unsafe { libc::kill(self.child.id().cast_signed(), libc::SIGTERM) };
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// Guards against blocking on a log collector that has stopped reading: requests and
/// shutdown must not wait for it.
#[test]
fn a_blocked_output_delays_neither_requests_nor_shutdown() {
    let fleet = Fleet::start("blocked-log", 1).unwrap();
    let mut gateway = Gateway::start(&fleet, "lines_per_s = 100000\n");
    gateway.send_requests(REQUESTS);
    gateway.stop();
    let end = Instant::now() + TIMEOUT;
    while gateway.child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "the process did not exit");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against log lines that are dropped without a report, and against a report that
/// is not JSON.
#[test]
fn dropped_lines_are_counted() {
    let fleet = Fleet::start("bounded-log", 1).unwrap();
    let mut gateway = Gateway::start(&fleet, "lines_per_s = 50\n");
    let started = Instant::now();
    gateway.send_requests(REQUESTS);
    let seconds = started.elapsed().as_secs() + 1;
    // The lines dropped in one second are reported in the next.
    std::thread::sleep(Duration::from_millis(1100));
    gateway.send_requests(10);
    gateway.stop();
    let (mut written, mut dropped) = (0, 0);
    for line in gateway.out.by_ref().lines() {
        let line: Value = serde_json::from_str(&line.unwrap()).expect("a line is JSON");
        let message = line["message"].as_str().unwrap();
        written += u64::from(message.contains("id=g"));
        let count = message.strip_prefix("log dropped=");
        dropped += count.map_or(0, |count| count.parse::<u64>().unwrap());
    }
    // Each request writes a line when it is sent and one when it is answered.
    let all = 2 * (REQUESTS as u64 + 10);
    assert!(
        written <= 50 * (seconds + 3),
        "{written} lines in {seconds} s"
    );
    assert!(
        written + dropped >= all,
        "{written} written, {dropped} dropped"
    );
}
