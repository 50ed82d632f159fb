//! The command line against a node: what is sent, shown and returned.

use clap::{CommandFactory, Parser};
use pomeloridge_operator::cli::{CommandOutput, Exit, OperatorCommand, execute};
use serde_json::Value;
use yare::parameterized;

use crate::support::{ANNA, Node, with_node};

#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    command: OperatorCommand,
}

fn parse(line: &str) -> OperatorCommand {
    let words = std::iter::once("pomeloridge").chain(line.split_whitespace());
    Line::try_parse_from(words).expect("a command").command
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
    Line::command().debug_assert();
}

#[parameterized(
    no_reason = { "exception add e1 drain engine-7" },
    no_expect = { "config apply fleet.json" },
    no_account = { "key issue" },
    bad_node = { "status --node vm-1" },
)]
fn a_wrong_line_is_a_usage_fault(line: &str) {
    let words = std::iter::once("pomeloridge").chain(line.split_whitespace());
    let error = Line::try_parse_from(words).err().expect("a fault");
    assert_eq!(error.exit_code(), i32::from(Exit::Usage.code()));
}

#[test]
fn an_operators_day() {
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
            let shown = run(&node, &line.replace("FILE", &fleet)).await;
            assert_eq!(shown.exit, Exit::Done, "{line}: {}", shown.text);
            assert!(shown.text.contains(text), "{line}: {}", shown.text);
        }
        let accounts = run(&node, "account list --json").await.text;
        let accounts: Value = serde_json::from_str(&accounts).expect("JSON");
        let id = &accounts["accounts"][0]["keys"][0]["id"];
        let line = format!("key withdraw tartu {}", id.as_str().expect("an id"));
        assert_eq!(run(&node, &line).await.exit, Exit::Done);
    });
}

#[test]
fn a_configuration_that_was_got_can_be_applied() {
    with_node(async |node| {
        let fleet = file("got.json", r#"{"models": {"m": {"floor": 2}}}"#);
        run(&node, &format!("config apply {fleet} --expect 0")).await;
        let before = node.object("config/fleet");
        let shown = run(&node, &format!("config get --output {fleet} --json")).await;
        let value: Value = serde_json::from_str(&shown.text).expect("JSON");
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
fn apply_ends_with_the_code_of_its_fault(text: &str, expect: &str, exit: Exit, shows: &str) {
    with_node(async |node| {
        let fleet = file(&format!("apply-{}.json", exit.code()), text);
        let shown = run(&node, &format!("config apply {fleet} --expect {expect}")).await;
        assert_eq!(shown.exit, exit);
        assert!(shown.text.contains(shows), "{}", shown.text);
        assert_eq!(node.object("config/fleet"), Value::Null);
    });
}

#[test]
fn a_lost_answer_is_an_unknown_outcome() {
    with_node(async |node| {
        node.fake.lose_answers.set(true);
        assert_eq!(run(&node, "account add tartu").await.exit, Exit::Done);
        node.fake.down_after.set(true);
        assert_eq!(run(&node, "account add narva").await.exit, Exit::Unknown);
        assert_eq!(run(&node, "account add valga").await.exit, Exit::Refused);
    });
}

#[test]
fn without_node_or_token_nothing_is_sent() {
    with_node(async |node| {
        let shown = execute(&parse("status"), Some(ANNA.to_owned())).await;
        assert_eq!(shown.exit, Exit::Usage);
        let line = format!("status --node {}", node.address);
        assert_eq!(execute(&parse(&line), None).await.exit, Exit::Usage);
        let shown = execute(&parse(&format!("{line} --token wrong-one")), None).await;
        assert_eq!(shown.exit, Exit::Refused);
        assert!(!shown.text.contains("wrong-one"));
        let command = parse(&format!("{line} --token {ANNA}"));
        assert!(!format!("{command:?}").contains(ANNA));
        assert_eq!(execute(&command, None).await.exit, Exit::Done);
    });
}

#[parameterized(
    read = { "status", Exit::Unreachable },
    change = { "account add tartu", Exit::Unknown },
)]
fn a_node_that_closes_without_an_answer(line: &str, exit: Exit) {
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
fn a_node_that_is_gone_is_unreachable(line: &str) {
    with_node(async |mut node| {
        // Nobody listens on a connection's own port, and no other test can take it.
        let held = std::net::TcpStream::connect(node.address).expect("a connection");
        node.address = held.local_addr().expect("an address");
        assert_eq!(run(&node, line).await.exit, Exit::Unreachable);
    });
}
