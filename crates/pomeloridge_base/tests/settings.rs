//! Settings are checked as a whole, with place, problem and fix.

use pomeloridge_base::settings::{SETTINGS, parse};
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
fn defaults_fill_what_is_left_out() {
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
fn a_fault_names_line_and_fix(more: &str, expected: &str) {
    let problems = parse(&format!("{GOOD}{more}")).expect_err("bad settings");
    let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(texts, [expected]);
}

#[test]
fn all_faults_are_reported_at_once() {
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
        let own = problems
            .iter()
            .find(|problem| problem.key == setting.key && problem.section == setting.section);
        assert!(own.is_none(), "{own:?}");
    }
}
