//! Settings are checked as a whole; each problem names the place and the fix.

use std::time::Duration;

use pomeloridge_base::settings::{
    GATEWAY_SETTINGS, GivenSetting, SETTINGS, load_table, parse, parse_table,
};
use yare::parameterized;

const GOOD: &str = "\
[node]
name = vm-1
data_centre = tln-a
secret = 0123456789abcdef
[listen]
caller = 127.0.0.1:0
node = 127.0.0.1:0
operator = 127.0.0.1:0
[platform]
address = 127.0.0.1:7000
";

#[test]
fn missing_keys_have_defaults() {
    let settings = parse(GOOD).expect("good settings");
    assert_eq!(settings.name.as_str(), "vm-1");
    assert_eq!(settings.time("lease", "term_ms").as_millis(), 3000);
}

#[parameterized(
    unknown_key = { "[node]\ncolour = red\n", "line 12: [node] colour: unknown key; remove it or use one of: name, data_centre, secret" },
    wrong_section = { "[node]\nqueue = 5\n", "line 12: [node] queue: unknown key; move it to [admission]" },
    bad_number = { "[admission]\nqueue = many\n", "line 12: [admission] queue: `many` is not a whole number of at least 1; write for example `queue = 256`" },
    zero = { "[lease]\nterm_ms = 0\n", "line 12: [lease] term_ms: `0` is not a whole number of at least 1; write for example `term_ms = 3000`" },
    bad_choice = { "[log]\nformat = xml\n", "line 12: [log] format: `xml` is not one of: text, json; write for example `format = json`" },
    clash = { "[lease]\nterm_ms = 1500\n", "line 12: [lease] term_ms: 1500 is under 2 times [platform] timeout_ms (1000); raise it to 2000 or lower the other" },
    twice = { "[log]\nlevel = info\nlevel = warn\n", "line 13: [log] level: the key is set twice; remove one of the lines" },
)]
fn a_problem_names_line_and_fix(more: &str, expected: &str) {
    let problems = parse(&format!("{GOOD}{more}")).expect_err("bad settings");
    let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(texts, [expected]);
}

#[test]
fn all_problems_are_reported_at_once() {
    let problems = parse("[node]\nsecret = short\n[log]\nlevel = loud\n").expect_err("bad");
    let keys: Vec<_> = problems
        .iter()
        .map(|problem| problem.key.as_str())
        .collect();
    for key in [
        "name",
        "data_centre",
        "secret",
        "caller",
        "address",
        "level",
    ] {
        assert!(keys.contains(&key), "{key} is missing from {keys:?}");
    }
}

#[test]
fn a_secret_is_never_shown() {
    let settings = parse(GOOD).expect("good settings");
    assert!(!format!("{:?}", settings.secret).contains("0123456789abcdef"));
}

#[test]
fn every_example_is_valid() {
    for setting in SETTINGS {
        let key = format!(
            "[{}]\n{} = {}\n",
            setting.section, setting.key, setting.example
        );
        let problems = parse(&key).expect_err("other keys are missing");
        let problem = problems
            .iter()
            .find(|problem| problem.key == setting.key && problem.section == setting.section);
        assert!(problem.is_none(), "{problem:?}");
    }
}

const GATEWAY: &str = "\
[node]
name = front-1
data_centre = tln-a
[listen]
caller = 127.0.0.1:0
ready = 127.0.0.1:0
peer = 127.0.0.1:0
metrics = 127.0.0.1:0
[platform]
store = 127.0.0.1:7000
duties = 127.0.0.1:7001
";

/// Guards against cuts that nobody asked for, and against a limit of no time.
#[test]
fn cuts_of_slow_readers_are_off_unless_they_are_set() {
    let unread = |values: &str| {
        let settings = parse_table(&format!("{GATEWAY}{values}"), GATEWAY_SETTINGS);
        settings.map(|settings| settings.time("slow_readers", "unread_s"))
    };
    assert_eq!(unread(""), Ok(Duration::ZERO));
    let set = |value: &str| unread(&format!("[slow_readers]\nunread_s = {value}\n"));
    assert_eq!(set("2.5"), Ok(Duration::from_millis(2500)));
    for value in ["-1", "0.0001", "1e9", "NaN", ""] {
        assert!(set(value).is_err(), "{value}");
    }
}

/// Guards against gateways that do not start because a value given by the platform is not a
/// whole number.
#[test]
fn values_of_the_platform_may_have_fractions() {
    let values = "[repeats]\nratio = 1.25\nslack = 33.1578947368421\nwindow_s = 7.5\n\
                   [usage]\nwindow_s = 2.5\nlate_s = 10\n";
    let settings = parse_table(&format!("{GATEWAY}{values}"), GATEWAY_SETTINGS).unwrap();
    assert!((settings.amount("repeats", "slack") - 33.157_894).abs() < 0.001);
    assert!((settings.amount("repeats", "ratio") - 1.25).abs() < 0.001);
    assert_eq!(
        settings.time("repeats", "window_s"),
        Duration::from_millis(7500)
    );
    assert_eq!(
        settings.time("usage", "window_s"),
        Duration::from_millis(2500)
    );
}

#[parameterized(
    negative = { "[repeats]\nslack = -1\n", "line 13: [repeats] slack: `-1` is not a number of at least 0; write for example `slack = 50`" },
    endless = { "[repeats]\nslack = inf\n", "line 13: [repeats] slack: `inf` is not a number of at least 0; write for example `slack = 50`" },
    zero = { "[usage]\nwindow_s = 0\n", "line 13: [usage] window_s: `0` is not a number of seconds from 0.001 to 86400; write for example `window_s = 5`" },
    share_above_one = { "[hedge]\nshare = 1.5\n", "line 13: [hedge] share: `1.5` is not a number from 0 to 1; write for example `share = 0.05`" },
    share_of_no_number = { "[hedge]\nshare = nan\n", "line 13: [hedge] share: `nan` is not a number from 0 to 1; write for example `share = 0.05`" },
    none_at_once = { "[hedge]\nmost = 0\n", "line 13: [hedge] most: `0` is not a whole number of at least 1; write for example `most = 100`" },
    huge = { "[usage]\nlate_s = 1e300\n", "line 13: [usage] late_s: `1e300` is not a number of seconds from 0.001 to 86400; write for example `late_s = 10`" },
)]
fn a_value_out_of_range_names_line_and_fix(more: &str, expected: &str) {
    let problems = parse_table(&format!("{GATEWAY}{more}"), GATEWAY_SETTINGS).unwrap_err();
    let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(texts, [expected]);
}

/// Guards against a setting on the command line that is lost, or that silently loses to the file.
#[test]
fn a_setting_may_be_given_outside_the_file() {
    let file = std::env::temp_dir().join(format!("pomeloridge-given-{}.ini", std::process::id()));
    let required = GATEWAY_SETTINGS
        .iter()
        .filter(|setting| setting.default.is_none());
    let lines = required.map(|row| format!("[{}]\n{} = {}\n", row.section, row.key, row.example));
    let text = lines.collect::<Vec<_>>().concat();
    std::fs::write(&file, &text).unwrap();
    let given: GivenSetting = "platform.apply_ms=1500".parse().unwrap();
    let settings = load_table(&file, std::slice::from_ref(&given), GATEWAY_SETTINGS);
    let apply = settings.unwrap().time("platform", "apply_ms");
    assert_eq!(apply, std::time::Duration::from_millis(1500));
    std::fs::write(&file, format!("{text}[platform]\napply_ms = 3000\n")).unwrap();
    assert!(load_table(&file, &[given], GATEWAY_SETTINGS).is_err());
    std::fs::remove_file(file).unwrap();
    for malformed in [
        "apply_ms=1",
        "platform.apply_ms",
        "platform.apply_ms=1\n[log]",
    ] {
        assert!(malformed.parse::<GivenSetting>().is_err(), "{malformed}");
    }
}

#[test]
fn memory_for_slow_readers_is_over_what_messages_being_read_may_hold() {
    let problems = |mebibytes: u32| {
        let text = format!("{GATEWAY}[slow_readers]\nprocess_mb = {mebibytes}\n");
        let settings = parse_table(&text, GATEWAY_SETTINGS);
        settings.err().map(|problems| format!("{problems:?}"))
    };
    assert_eq!(problems(33), None);
    let problem = problems(32).unwrap();
    assert!(problem.contains("is not over the 32"), "{problem}");
}
