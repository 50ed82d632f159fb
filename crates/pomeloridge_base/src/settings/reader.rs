//! Reads keys and their line numbers from an INI text, so that problems can name the line.

use std::collections::HashMap;

use ini::Ini;

/// Value of a key, with its line number.
#[derive(Clone, Debug)]
pub(super) struct Value {
    pub(super) text: String,
    pub(super) line: usize,
}

/// Values of an INI file by section and key, and the lines of repeated keys.
pub(super) struct Values {
    pub(super) values: HashMap<(String, String), Value>,
    pub(super) repeated: Vec<(String, String, usize)>,
}

/// Parses an INI text; an error contains the line number and what is wrong there.
pub(super) fn read(text: &str) -> Result<Values, (usize, String)> {
    let ini = Ini::load_from_str(text).map_err(|error| (error.line + 1, error.msg.to_string()))?;
    let lines = key_lines(text);
    let mut values = HashMap::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default().to_owned();
        for (key, value) in properties {
            let place = (section.clone(), key.to_owned());
            let line = lines.get(&place).and_then(|lines| lines.first());
            let value = Value {
                text: value.to_owned(),
                line: line.copied().unwrap_or_default(),
            };
            values.insert(place, value);
        }
    }
    let mut repeated = Vec::new();
    for ((section, key), lines) in lines {
        for line in lines.into_iter().skip(1) {
            repeated.push((section.clone(), key.clone(), line));
        }
    }
    Ok(Values { values, repeated })
}

/// Returns the line numbers of each key, which the library does not keep.
fn key_lines(text: &str) -> HashMap<(String, String), Vec<usize>> {
    let mut section = String::new();
    let mut lines: HashMap<_, Vec<usize>> = HashMap::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            name.trim().clone_into(&mut section);
        } else if let Some((key, _)) = line.split_once('=')
            && !line.starts_with(['#', ';'])
        {
            let place = (section.clone(), key.trim().to_owned());
            lines.entry(place).or_default().push(index + 1);
        }
    }
    lines
}
