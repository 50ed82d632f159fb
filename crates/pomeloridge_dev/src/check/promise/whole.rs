//! No request is cut by a planned change, every planned stop is graceful, and
//! a crash of an engine cuts no completion.

use std::collections::BTreeMap;

use crate::check::record::{Expect, Happening, History, Kind, Sent, Violation};

const PROMISE: &str = "nothing cut";
/// Backend servers that one request may crash.
const POISONED_SERVERS: usize = 2;
/// Mark of a prompt that crashes an engine; its caller gets no whole answer.
pub const POISON: &str = "poisonous";

/// Finds accepted requests that were cut, and stops that were not graceful.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found: Vec<_> = history
        .events
        .iter()
        .filter_map(|event| not_graceful(&event.what))
        .collect();
    found.extend(poisoned(history));
    let counted = |sent: &&Sent| match history.expect {
        Expect::Whole => true,
        Expect::Completions => sent.kind.is_completion(),
        Expect::Streams => !sent.texts.is_empty(),
        Expect::Any => false,
    };
    let cut = history
        .sent
        .iter()
        .filter(counted)
        .filter(|sent| is_cut(sent));
    found.extend(cut.map(|sent| {
        let seen = format!(
            "{} ({}) by {} at {} to {}: status {} {} {} after {} tokens, resumed {}, {}",
            sent.marker,
            sent.request_id,
            sent.node,
            sent.sent_at,
            sent.ended_at,
            sent.status,
            sent.code,
            sent.run,
            sent.texts.len(),
            sent.resumed,
            sent.fault
        );
        Violation::new(PROMISE, seen)
    }));
    found
}

/// Whether a request was accepted and has no whole answer.
fn is_cut(sent: &Sent) -> bool {
    let refused =
        sent.is_not_run() || (sent.kind == Kind::Filing && sent.code.starts_with("claim_"));
    sent.connected && !sent.left && !sent.is_answered() && !refused && !sent.prompt.contains(POISON)
}

fn not_graceful(what: &Happening) -> Option<Violation> {
    let Happening::Stopped { node, code } = what else {
        return None;
    };
    (*code != Some(0))
        .then(|| Violation::new(PROMISE, format!("{node} stopped with code {code:?}")))
}

/// Requests that crashed more servers than they may.
fn poisoned(history: &History) -> Vec<Violation> {
    let crashes = history
        .lines
        .iter()
        .filter(|line| line.what == "crashed" && line.text("why") == "poison");
    let mut lost = BTreeMap::<&str, usize>::new();
    for line in crashes {
        *lost.entry("poison").or_default() += usize::from(!line.source.is_empty());
    }
    let many = lost.into_values().filter(|count| *count > POISONED_SERVERS);
    many.map(|count| Violation::new("poison", format!("one request crashed {count} engines")))
        .collect()
}
