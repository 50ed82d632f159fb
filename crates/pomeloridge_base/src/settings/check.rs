//! Checks all settings at once, so that every problem is reported.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;

use super::reader::{Value, Values, read};
use super::table::{SETTINGS, Setting, SettingKind};
use crate::http::MAX_HELD_BYTES;
use crate::id::Name;
use crate::operator_tokens::OperatorTokens;
use crate::secret::KeyHash;

/// Bytes in a mebibyte.
const MEBIBYTE: usize = 1024 * 1024;
/// Minimum length of the fleet secret.
const MIN_SECRET_BYTES: usize = 16;

/// A problem in the settings: where it is, what is wrong and how to fix it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: [{section}] {key}: {fault}; {fix}")]
pub struct Problem {
    /// Section of the INI file.
    pub section: String,
    /// Key in the section.
    pub key: String,
    /// Line number, from 1; 0 if the key is missing.
    pub line: usize,
    /// What is wrong.
    pub fault: String,
    /// How to fix it.
    pub fix: String,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Secret by which nodes authenticate each other.
    pub secret: Secret,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
    pub node: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Operators with the hashes of their tokens.
    pub tokens: OperatorTokens,
    /// Addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    values: SettingValues,
}

/// Values of all settings of a table, each valid for its kind.
#[derive(Clone, Debug)]
pub struct SettingValues(Vec<(&'static Setting, String)>);

/// Range of durations in seconds: from the clocks' resolution of 1 ms to a day.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.001..=86_400.0;

/// Result of reloading the settings.
#[derive(Clone, Debug)]
pub struct Update {
    /// Settings to be used from now on.
    pub settings: SettingValues,
    /// Names of the settings that were changed.
    pub applied: Vec<String>,
    /// Names of the settings whose new values take effect only after a restart.
    pub needs_restart: Vec<String>,
}

/// A secret; its `Debug` output is redacted.
#[derive(Clone)]
pub struct Secret(pub Vec<u8>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl SettingValues {
    /// Returns the value of a duration.
    ///
    /// Like the methods below, panics if the key is not in the table or is of another kind.
    pub fn time(&self, section: &str, key: &str) -> Duration {
        match self.find(section, key).0.kind {
            SettingKind::Seconds | SettingKind::SecondsOrOff => {
                Duration::from_secs_f64(self.amount(section, key))
            }
            _ => Duration::from_millis(self.number(section, key)),
        }
    }

    /// Returns the value of a whole number.
    pub fn number(&self, section: &str, key: &str) -> u64 {
        self.parsed(section, key)
    }

    /// Returns the value of a number that may have a fraction.
    pub fn amount(&self, section: &str, key: &str) -> f64 {
        self.parsed(section, key)
    }

    /// Returns the value of an address.
    pub fn address(&self, section: &str, key: &str) -> SocketAddr {
        self.parsed(section, key)
    }

    /// Returns the value of a list of operators' tokens.
    pub fn tokens(&self, section: &str, key: &str) -> OperatorTokens {
        let tokens = split_list(self.text(section, key)).filter_map(parse_token);
        tokens.collect::<Vec<_>>().into()
    }

    /// Returns the value of any setting as text.
    pub fn text(&self, section: &str, key: &str) -> &str {
        &self.find(section, key).1
    }

    fn find(&self, section: &str, key: &str) -> &(&'static Setting, String) {
        let mut settings = self.0.iter();
        let entry = settings.find(|(setting, _)| setting.section == section && setting.key == key);
        entry.expect("the setting is in the table")
    }

    /// Returns these settings with the values of a newer file for which `may_change` returns true,
    /// that is, which can change without a restart.
    pub fn update(&self, newer: &Self, may_change: impl Fn(&Setting) -> bool) -> Update {
        let mut update = Update {
            settings: self.clone(),
            applied: Vec::new(),
            needs_restart: Vec::new(),
        };
        for (setting, value) in &mut update.settings.0 {
            let new = newer.text(setting.section, setting.key);
            if new == value {
                continue;
            }
            let name = format!("{}.{}", setting.section, setting.key);
            if may_change(setting) {
                new.clone_into(value);
                update.applied.push(name);
            } else {
                update.needs_restart.push(name);
            }
        }
        update
    }

    fn parsed<T: std::str::FromStr>(&self, section: &str, key: &str) -> T {
        let parsed = self.text(section, key).parse().ok();
        parsed.expect("checked when the settings were loaded")
    }
}

impl std::ops::Deref for Settings {
    type Target = SettingValues;

    fn deref(&self) -> &SettingValues {
        &self.values
    }
}

/// Reads and checks a node's settings file.
pub fn load(path: &Path) -> Result<Settings, Vec<Problem>> {
    parse(&read_file(path)?)
}

/// Reads a settings file and checks it against a table, together with further settings. A setting
/// that is given twice is a problem.
pub fn load_table(
    path: &Path,
    further: &[GivenSetting],
    table: &'static [Setting],
) -> Result<SettingValues, Vec<Problem>> {
    let mut text = read_file(path)?;
    for given in further {
        text.push_str(&given.to_string());
    }
    parse_table(&text, table)
}

/// A setting that is given outside the settings file, as `section.key=value`.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("\n[{section}]\n{key} = {value}\n")]
pub struct GivenSetting {
    section: String,
    key: String,
    value: String,
}

impl FromStr for GivenSetting {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, value) = text.split_once('=').ok_or("no `=`")?;
        let (section, key) = name.split_once('.').ok_or("no section before a `.`")?;
        if text.contains(['\n', '\r', '[', ']']) {
            return Err("a line break or a bracket");
        }
        Ok(Self {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}

fn read_file(path: &Path) -> Result<String, Vec<Problem>> {
    std::fs::read_to_string(path).map_err(|error| {
        vec![Problem {
            section: String::new(),
            key: path.display().to_string(),
            line: 0,
            fault: format!("the file cannot be read: {error}"),
            fix: "give the path of a readable INI file".to_owned(),
        }]
    })
}

/// Checks a node's settings and returns all problems.
pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
    let (values, given) = check(text, SETTINGS)?;
    let problems = conflicts(&values.0, &given);
    if problems.is_empty() {
        Ok(to_settings(values))
    } else {
        Err(problems)
    }
}

/// Checks settings against a table and returns all problems.
pub fn parse_table(text: &str, table: &'static [Setting]) -> Result<SettingValues, Vec<Problem>> {
    let (values, given) = check(text, table)?;
    match reader_memory_problem(&values, &given) {
        Some(problem) => Err(vec![problem]),
        None => Ok(values),
    }
}

/// Returns a problem if slow readers would be cut for messages that are only being read.
fn reader_memory_problem(values: &SettingValues, given: &Values) -> Option<Problem> {
    let of = |(setting, _): &&(&'static Setting, String)| {
        setting.section == "slow_readers" && setting.key == "process_mb"
    };
    let (setting, text) = values.0.iter().find(of)?;
    let reading_mb = MAX_HELD_BYTES / MEBIBYTE;
    let is_over = text.parse::<usize>().is_ok_and(|value| value > reading_mb);
    let place = (setting.section.to_owned(), setting.key.to_owned());
    (!is_over).then(|| Problem {
        section: place.0.clone(),
        key: place.1.clone(),
        line: given.values.get(&place).map_or(0, |value| value.line),
        fault: format!("`{text}` is not over the {reading_mb} that messages being read may hold"),
        fix: format!("raise it, for example to {}", setting.example),
    })
}

fn check(text: &str, table: &'static [Setting]) -> Result<(SettingValues, Values), Vec<Problem>> {
    let given = read(text).map_err(|(line, fault)| {
        vec![Problem {
            section: String::new(),
            key: String::new(),
            line,
            fault,
            fix: "write `[section]` or `key = value`".to_owned(),
        }]
    })?;
    let mut problems = unknown_keys(&given, table);
    let mut values = Vec::new();
    for setting in table {
        match value_of(setting, &given) {
            Ok(value) => values.push((setting, value)),
            Err(problem) => problems.push(problem),
        }
    }
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() {
        Ok((SettingValues(values), given))
    } else {
        Err(problems)
    }
}

fn unknown_keys(given: &Values, table: &[Setting]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for ((section, key), value) in &given.values {
        let known = table
            .iter()
            .any(|setting| setting.section == section && setting.key == key);
        if !known {
            problems.push(Problem {
                section: section.clone(),
                key: key.clone(),
                line: value.line,
                fault: "unknown key".to_owned(),
                fix: suggest_fix(section, key, table),
            });
        }
    }
    for (section, key, line) in &given.repeated {
        problems.push(Problem {
            section: section.clone(),
            key: key.clone(),
            line: *line,
            fault: "the key is set twice".to_owned(),
            fix: "remove one of the lines".to_owned(),
        });
    }
    problems
}

/// Returns the section that has the key, or else the keys of the section.
fn suggest_fix(section: &str, key: &str, table: &[Setting]) -> String {
    if let Some(setting) = table.iter().find(|setting| setting.key == key) {
        return format!("move it to [{}]", setting.section);
    }
    let keys: Vec<_> = table
        .iter()
        .filter(|setting| setting.section == section)
        .map(|setting| setting.key)
        .collect();
    if keys.is_empty() {
        "remove it: there is no such section".to_owned()
    } else {
        format!("remove it or use one of: {}", keys.join(", "))
    }
}

fn value_of(setting: &'static Setting, given: &Values) -> Result<String, Problem> {
    let place = (setting.section.to_owned(), setting.key.to_owned());
    let Some(value) = given.values.get(&place) else {
        return match setting.default {
            Some(default) => Ok(default.to_owned()),
            None => Err(problem(setting, 0, "the key is missing".to_owned())),
        };
    };
    match check_value(setting.kind, &value.text) {
        None => Ok(value.text.clone()),
        Some(fault) => Err(problem(setting, value.line, fault)),
    }
}

fn problem(setting: &Setting, line: usize, fault: String) -> Problem {
    Problem {
        section: setting.section.to_owned(),
        key: setting.key.to_owned(),
        line,
        fault,
        fix: format!("write for example `{} = {}`", setting.key, setting.example),
    }
}

/// Returns what is wrong with a value, if anything.
fn check_value(kind: SettingKind, text: &str) -> Option<String> {
    match kind {
        SettingKind::Text => text.is_empty().then(|| "the value is empty".to_owned()),
        SettingKind::Address => match text.parse::<SocketAddr>() {
            Ok(_) => None,
            Err(_) => Some(format!("`{text}` is not IP:PORT")),
        },
        SettingKind::Addresses => {
            let invalid = split_list(text).find(|part| part.parse::<SocketAddr>().is_err());
            invalid.map(|part| format!("`{part}` is not IP:PORT"))
        }
        SettingKind::Millis | SettingKind::Count | SettingKind::Bytes => {
            match text.parse::<u64>() {
                Ok(1..) => None,
                _ => Some(format!("`{text}` is not a whole number of at least 1")),
            }
        }
        SettingKind::Seconds => match text.parse::<f64>() {
            Ok(seconds) if SECONDS_RANGE.contains(&seconds) => None,
            _ => Some(format!(
                "`{text}` is not a number of seconds from {} to {}",
                SECONDS_RANGE.start(),
                SECONDS_RANGE.end()
            )),
        },
        SettingKind::SecondsOrOff => match text.parse::<f64>() {
            Ok(seconds) if seconds == 0.0 || SECONDS_RANGE.contains(&seconds) => None,
            _ => Some(format!(
                "`{text}` is neither 0 nor a number of seconds from {} to {}",
                SECONDS_RANGE.start(),
                SECONDS_RANGE.end()
            )),
        },
        SettingKind::Amount => match text.parse::<f64>() {
            Ok(amount) if amount >= 0.0 && amount.is_finite() => None,
            _ => Some(format!("`{text}` is not a number of at least 0")),
        },
        SettingKind::Share => match text.parse::<f64>() {
            Ok(share) if (0.0..=1.0).contains(&share) => None,
            _ => Some(format!("`{text}` is not a number from 0 to 1")),
        },
        SettingKind::Choice(words) => {
            let known = words.contains(&text);
            (!known).then(|| format!("`{text}` is not one of: {}", words.join(", ")))
        }
        SettingKind::Secret => {
            let short = text.len() < MIN_SECRET_BYTES;
            short.then(|| format!("the secret has fewer than {MIN_SECRET_BYTES} bytes"))
        }
        SettingKind::Tokens => {
            let invalid = split_list(text).any(|part| parse_token(part).is_none());
            invalid.then(|| "a token is not NAME:SHA256".to_owned())
        }
    }
}

/// Returns the problems of settings that contradict each other.
fn conflicts(values: &[(&'static Setting, String)], given: &Values) -> Vec<Problem> {
    let number = |section: &str, key: &str| {
        let found = values
            .iter()
            .find(|(setting, _)| setting.section == section && setting.key == key);
        found.and_then(|(setting, text)| Some((*setting, text.parse::<u64>().ok()?)))
    };
    let line = |setting: &Setting| {
        let place = (setting.section.to_owned(), setting.key.to_owned());
        given
            .values
            .get(&place)
            .map_or(0, |value: &Value| value.line)
    };
    let mut problems = Vec::new();
    let mut require_ratio = |low: (&str, &str), high: (&str, &str), times: u64| {
        let (Some((low, low_value)), Some((high, high_value))) =
            (number(low.0, low.1), number(high.0, high.1))
        else {
            return;
        };
        if low_value.saturating_mul(times) > high_value {
            problems.push(Problem {
                section: high.section.to_owned(),
                key: high.key.to_owned(),
                line: line(high),
                fault: format!(
                    "{high_value} is under {times} times [{}] {} ({low_value})",
                    low.section, low.key
                ),
                fix: format!(
                    "raise it to {} or lower the other",
                    low_value.saturating_mul(times)
                ),
            });
        }
    };
    require_ratio(
        ("node_link", "heartbeat_ms"),
        ("node_link", "suspect_ms"),
        3,
    );
    require_ratio(("platform", "timeout_ms"), ("lease", "term_ms"), 2);
    require_ratio(("node_link", "suspect_ms"), ("node_link", "cut_off_ms"), 1);
    require_ratio(("admission", "account_queue"), ("admission", "queue"), 1);
    problems.sort_by_key(|problem| problem.line);
    problems
}

fn to_settings(values: SettingValues) -> Settings {
    let text = |section: &str, key: &str| values.text(section, key).to_owned();
    let address = |section: &str, key: &str| values.address(section, key);
    Settings {
        name: Name::from(text("node", "name")),
        data_centre: Name::from(text("node", "data_centre")),
        secret: Secret(text("node", "secret").into_bytes()),
        caller: address("listen", "caller"),
        node: address("listen", "node"),
        operator: address("listen", "operator"),
        platform: address("platform", "address"),
        tokens: values.tokens("operator", "tokens"),
        seeds: split_list(&text("node_link", "seeds"))
            .filter_map(|part| part.parse().ok())
            .collect(),
        values,
    }
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

fn parse_token(part: &str) -> Option<(Name, KeyHash)> {
    let (name, hash) = part.split_once(':')?;
    Some((Name::from(name), KeyHash::from_hex(hash)?))
}
