//! Runs one case of the review: `review_harness N`. With `TROUBLE=0` it leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod case4;
mod case5;
mod common;

use std::path::PathBuf;
use std::time::Duration;

fn main() {
    let number = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").is_err() || std::env::var("TROUBLE").is_ok_and(|value| value != "0");
    let record = PathBuf::from(format!("review/{number}/record.txt"));
    common::clock();
    let case: fn(bool) -> common::Verdict = match number.as_str() {
        "1" => case1::run,
        "2" => case2::run,
        "3" => case3::run,
        "4" => case4::run,
        "5" => case5::run,
        _ => {
            eprintln!("no such case: {number:?}");
            std::process::exit(2);
        }
    };
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(110));
        common::note("the case did not end in time");
        common::write_record(&watched);
        common::end_all();
        std::process::exit(2);
    });
    common::plain(format!("case {number}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let verdict = std::panic::catch_unwind(|| case(trouble));
    let code = match verdict {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(error)) => {
            common::note(format!("could not run: {error}"));
            2
        }
        Err(_) => {
            common::note("could not run: the check itself failed");
            2
        }
    };
    let result = ["HELD", "BROKEN", "NOT RUN"][code as usize];
    common::plain(format!("result: {result} (exit {code})"));
    common::write_record(&record);
    common::end_all();
    println!("case {number}: {result}");
    std::process::exit(code);
}
