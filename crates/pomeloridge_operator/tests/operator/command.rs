//! Commands against a node: requests, output and exit codes.

use clap::{CommandFactory, Parser};
use pomeloridge_operator::cli::{CommandOutput, Exit, OperatorCommand, execute};
use serde_json::Value;
use yare::parameterized;

use crate::support::{ANNA, Node, with_node};

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: OperatorCommand,
}

fn parse(line: &str) -> OperatorCommand {
    let args = std::iter::once("pomeloridge").chain(line.split_whitespace());
    Cli::try_parse_from(args).expect("a command").command
}

async fn run(node: &Node, line: &str) -> CommandOutput {
    let line = format!("{line} --node {}", node.address);
    execute(&parse(&line), Some(ANNA.to_owned())).await
}

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).expect("a file");
    path
}

#[test]
fn the_command_line_is_consistent() {
    Cli::command().debug_assert();
}

#[parameterized(
    no_reason = { "exception add e1 drain engine-7" },
    no_expect = { "config apply fleet.json" },
    no_account = { "key issue" },
    bad_node = { "status --node vm-1" },
    no_host = { "route explain GET /v1/chat" },
    no_path = { "route explain GET --host a" },
    one_count = { "route explain GET /v1/chat --host a --tokens 100" },
)]
fn an_invalid_command_line_is_a_usage_error(line: &str) {
    let args = std::iter::once("pomeloridge").chain(line.split_whitespace());
    let error = Cli::try_parse_from(args).err().expect("a usage error");
    assert_eq!(error.exit_code(), i32::from(Exit::Usage.code()));
}

#[test]
fn common_commands_succeed() {
    let script = "
        config apply FILE --expect 0 --reason first => changed at revision 1
        config get => /v1/chat
        exception add e1 pin engine-7 --value decode --reason slow => changed
        exception list => slow
        exception remove e1 --reason fixed&done => changed
        account add tartu --weight 2 => in force on 3 of 3
        key issue tartu => shown only this once
        account list => tartu
        config history => fixed&done
        status => node: vm-1
        usage => window";
    with_node(async |node| {
        let fleet = file("day.json", r#"{"routes": [{"path": "/v1/chat"}]}"#);
        for step in script.trim().lines() {
            let (line, text) = step.split_once(" => ").expect("a step");
            let output = run(&node, &line.replace("FILE", &fleet)).await;
            assert_eq!(output.exit, Exit::Done, "{line}: {}", output.text);
            assert!(output.text.contains(text), "{line}: {}", output.text);
        }
        let accounts = run(&node, "account list --json").await.text;
        let accounts: Value = serde_json::from_str(&accounts).expect("JSON");
        let id = &accounts["accounts"][0]["keys"][0]["id"];
        let line = format!("key withdraw tartu {}", id.as_str().expect("an id"));
        assert_eq!(run(&node, &line).await.exit, Exit::Done);
    });
}

#[test]
fn a_saved_configuration_can_be_applied() {
    with_node(async |node| {
        let fleet = file("got.json", r#"{"models": {"m": {"floor": 2}}}"#);
        run(&node, &format!("config apply {fleet} --expect 0")).await;
        let before = node.object("config/fleet");
        let output = run(&node, &format!("config get --output {fleet} --json")).await;
        let value: Value = serde_json::from_str(&output.text).expect("JSON");
        let line = format!("config apply {fleet} --expect {}", value["revision"]);
        assert_eq!(run(&node, &line).await.exit, Exit::Done);
        assert_eq!(node.object("config/fleet"), before);
    });
}

#[parameterized(
    refused_config = { "{\"rutes\": []}", "0", Exit::Refused, "rutes: unknown field" },
    broken_file = { "{", "0", Exit::Usage, "EOF" },
    conflict = { "{}", "7", Exit::Conflict, "the object is at revision 0" },
)]
fn a_failed_apply_has_its_exit_code(text: &str, expect: &str, exit: Exit, message: &str) {
    with_node(async |node| {
        let fleet = file(&format!("apply-{}.json", exit.code()), text);
        let output = run(&node, &format!("config apply {fleet} --expect {expect}")).await;
        assert_eq!(output.exit, exit);
        assert!(output.text.contains(message), "{}", output.text);
        assert_eq!(node.object("config/fleet"), Value::Null);
    });
}

#[test]
fn an_unconfirmed_change_has_an_unknown_outcome() {
    with_node(async |node| {
        node.store.lose_responses.set(true);
        assert_eq!(run(&node, "account add tartu").await.exit, Exit::Done);
        node.store.down_after_write.set(true);
        assert_eq!(run(&node, "account add narva").await.exit, Exit::Unknown);
        assert_eq!(run(&node, "account add valga").await.exit, Exit::Refused);
    });
}

#[test]
fn without_node_or_token_nothing_is_sent() {
    with_node(async |node| {
        let output = execute(&parse("status"), Some(ANNA.to_owned())).await;
        assert_eq!(output.exit, Exit::Usage);
        let line = format!("status --node {}", node.address);
        assert_eq!(execute(&parse(&line), None).await.exit, Exit::Usage);
        let output = execute(&parse(&format!("{line} --token wrong-one")), None).await;
        assert_eq!(output.exit, Exit::Refused);
        assert!(!output.text.contains("wrong-one"));
        let command = parse(&format!("{line} --token {ANNA}"));
        assert!(!format!("{command:?}").contains(ANNA));
        assert_eq!(execute(&command, None).await.exit, Exit::Done);
    });
}

#[parameterized(
    read = { "status", Exit::Unreachable },
    change = { "account add tartu", Exit::Unknown },
)]
fn a_node_that_closes_without_a_response(line: &str, exit: Exit) {
    with_node(async |mut node| {
        let address = "127.0.0.1:0".parse().expect("an address");
        let listener = pomeloridge_base::net::listen(address).expect("listen");
        node.address = listener.local_addr().expect("an address");
        monoio::spawn(async move {
            use monoio::io::AsyncReadRent;
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(vec![0; 1024]).await;
        });
        assert_eq!(run(&node, line).await.exit, exit);
    });
}

#[parameterized(
    read = { "status" },
    change = { "account add tartu" },
)]
fn a_stopped_node_is_unreachable(line: &str) {
    with_node(async |mut node| {
        // The local port of an open connection has no listener, and no other test can bind it.
        let held = std::net::TcpStream::connect(node.address).expect("a connection");
        node.address = held.local_addr().expect("an address");
        assert_eq!(run(&node, line).await.exit, Exit::Unreachable);
    });
}
