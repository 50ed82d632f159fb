//! Tests of the verdicts.

use std::time::Duration;

use pomeloridge_base::error::RunStatus;
use pomeloridge_experiment::plan::Kind;
use pomeloridge_experiment::record::Record;
use pomeloridge_experiment::verdict::{ServiceRuns, Verdict, gaps, span_tokens, verdict};
use yare::parameterized;

use crate::support::{good, paced, short_plan};

type Change = fn(&mut Record);

fn refuse(record: &mut Record, run: RunStatus) {
    record.status = 503;
    record.run_status = Some(run);
    "overloaded".clone_into(&mut record.code);
}

// With a time scale of ten the targets are 94 ms and 4.3 ms.
#[parameterized(
    no_fault = { |_| (), Verdict::Good },
    first_token_in_time = { |r| r.tokens = paced(20, 94_000, 3_000), Verdict::Good },
    first_token_late = { |r| r.tokens = paced(20, 94_001, 3_000), Verdict::Late },
    gaps_late = { |r| r.tokens = paced(60, 10_000, 5_000), Verdict::Late },
    one_gap_of_many_late = { |r| {
        r.tokens = paced(400, 10_000, 3_000);
        r.tokens[399] += Duration::from_secs(1);
    }, Verdict::Good },
    no_tokens = { |r| r.tokens.clear(), Verdict::Late },
    refused = { |r| refuse(r, RunStatus::NotRun), Verdict::Refused },
    refused_but_ran = { |r| refuse(r, RunStatus::Ran), Verdict::Failed },
    server_lost = { |r| {
        r.status = 502;
        r.run_status = Some(RunStatus::Unknown);
    }, Verdict::Failed },
    ended_by_an_error = { |r| {
        r.complete = false;
        r.code = "server_lost".to_owned();
    }, Verdict::Failed },
    cut_off = { |r| {
        r.complete = false;
        r.code = "cut".to_owned();
    }, Verdict::Lost },
    timed_out = { |r| {
        r.complete = false;
        r.code = "gave_up".to_owned();
    }, Verdict::Lost },
    ended_early = { |r| r.complete = false, Verdict::Lost },
    wrong = { |r| r.correct = false, Verdict::Wrong },
    wrong_and_cut_off = { |r| {
        r.correct = false;
        r.complete = false;
    }, Verdict::Wrong },
    no_node = { |r| {
        r.complete = false;
        r.status = 0;
        r.code = "no_node".to_owned();
    }, Verdict::Failed },
)]
fn streams(change: Change, expected: Verdict) {
    let mut record = good(Kind::LongPrompt, 0, 1, 100);
    change(&mut record);
    assert_eq!(verdict(&short_plan(), &record, 0), expected);
}

#[parameterized(
    submission = { Kind::Submission, |_| (), 1, Verdict::Good },
    submission_unseen = { Kind::Submission, |_| (), 0, Verdict::Good },
    submission_doubled = { Kind::Submission, |_| (), 2, Verdict::Doubled },
    doubled_though_refused = { Kind::Submission, |r| refuse(r, RunStatus::NotRun), 2, Verdict::Doubled },
    submission_in_time = { Kind::Submission, |r| r.end = r.start + Duration::from_secs(1), 1, Verdict::Good },
    submission_late = { Kind::Submission, |r| r.end = r.start + Duration::from_millis(1_001), 1, Verdict::Late },
    submission_not_stored = { Kind::Submission, |r| r.status = 200, 1, Verdict::Failed },
    lookup = { Kind::Lookup, |_| (), 0, Verdict::Good },
    lookup_of_nothing = { Kind::Lookup, |r| r.status = 404, 0, Verdict::Good },
    lookup_without_route = { Kind::Lookup, |r| {
        r.status = 404;
        r.run_status = Some(RunStatus::NotRun);
    }, 0, Verdict::Failed },
    lookup_may_run_twice = { Kind::Lookup, |_| (), 2, Verdict::Good },
)]
fn services(kind: Kind, change: Change, runs: u32, expected: Verdict) {
    let mut record = good(kind, 0, 1, 100);
    change(&mut record);
    assert_eq!(verdict(&short_plan(), &record, runs), expected);
}

#[test]
fn gaps_are_averaged_over_engine_steps() {
    let plan = short_plan();
    assert_eq!(span_tokens(&plan), 10);
    // Two tokens in each step of 5 ms are 2.5 ms per token; 2 ms after one step is
    // subtracted from each span.
    let step = |index: u64| Duration::from_millis(index / 2 * 5);
    let tokens: Vec<Duration> = (0..40).map(step).collect();
    let gaps = gaps(&plan, &tokens);
    assert_eq!(gaps.len(), 30);
    assert!(
        gaps.iter().all(|gap| *gap == Duration::from_millis(2)),
        "{gaps:?}"
    );
}

#[test]
fn submissions_are_counted_from_histories() {
    let mut runs = ServiceRuns::default();
    let line = |what, method, key| {
        format!(r#"{{"n":1,"at":5,"what":"{what}","method":"{method}","idempotency_key":{key}}}"#)
    };
    let history = [
        line("run", "POST", "\"a\""),
        line("refused", "POST", "\"a\""),
        line("run", "GET", "\"a\""),
        line("run", "POST", "null"),
        "not JSON".to_owned(),
        r#"{"n":2,"at":6,"what":"control","control":{}}"#.to_owned(),
    ];
    runs.add_history(&history.join("\n"));
    runs.add_history(&line("run", "POST", "\"b\""));
    runs.add_history(&line("run", "POST", "\"b\""));
    assert_eq!(
        (runs.count("a"), runs.count("b"), runs.count("c")),
        (1, 2, 0)
    );
}
