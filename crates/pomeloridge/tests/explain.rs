//! `pomeloridge explain` on the logs of several nodes, in both log formats.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG: &str = "\
1000 INFO a gateway::attempt request id=r1 choice=send server=i-1 prefill= attempt=1
  1.2 b 1300 INFO b gateway::attempt server id=i-1 choice=eject reason=silent
{\"at\":1200,\"level\":\"INFO\",\"message\":\"request id=r1 server=i-1 failure=lost\",\"node\":\"a\"}
not a line of the log
1250 INFO a gateway::front request id=r2 outcome=answered
1400 INFO a gateway::front request id=r1 outcome=refused code=server_lost
9000 INFO b gateway::attempt server id=i-1 choice=eject reason=silent
510 INFO a gateway::peers request print=f4 choice=bar by=b
500 INFO b gateway::server_end request print=f4 choice=bar ends=3 by=own
400 INFO b gateway::attempt request id=r4 print=f4 server=i-2 failure=lost again=false
2000 INFO a gateway::attempt request id=r3 print=f4 choice=refuse reason=\"servers ended under it\"
600 INFO b gateway::part_quarantine part id=d5 choice=bar by=own
610 INFO b gateway::part_quarantine part id=e5 choice=bar by=own
2100 INFO a gateway::attempt request id=r5 print=f6 choice=refuse left_ms=2 parts=a1,d5
";

fn explain(args: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pomeloridge"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOG.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn lines_are_in_time_order_and_include_the_servers() {
    let out = explain(&["r1"]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "1000 a request id=r1 choice=send server=i-1 prefill= attempt=1",
            "1200 a request id=r1 server=i-1 failure=lost",
            "1300 b server id=i-1 choice=eject reason=silent",
            "1400 a request id=r1 outcome=refused code=server_lost",
        ]
    );
}

#[test]
fn lines_are_printed_as_json() {
    let out = explain(&["r2", "--json"]);
    let line: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(line["at"], 1250);
    assert_eq!(line["message"], "request id=r2 outcome=answered");
}

/// Guards against missing the reason of a refusal that was logged for another attempt.
#[test]
fn lines_include_the_quarantine_of_the_request() {
    let out = explain(&["r3"]);
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "500 b request print=f4 choice=bar ends=3 by=own",
            "510 a request print=f4 choice=bar by=b",
            "2000 a request id=r3 print=f4 choice=refuse reason=\"servers ended under it\"",
        ]
    );
}

/// Guards against missing that a request was refused for a part of its prompt.
#[test]
fn lines_include_the_quarantine_of_the_prompt_parts() {
    let out = explain(&["r5"]);
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "600 b part id=d5 choice=bar by=own",
            "2100 a request id=r5 print=f6 choice=refuse left_ms=2 parts=a1,d5",
        ]
    );
}

#[test]
fn a_request_without_lines_is_an_error() {
    let out = explain(&["r9"]);
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr).unwrap().contains("r9"));
}
