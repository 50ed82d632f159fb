//! Guarantee: backend servers and the platform receive no conflicting orders, and none from
//! a process that has lost its lease.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::check::record::{History, Line, Violation};

const GUARANTEE: &str = "orders";

/// Finds conflicting orders and orders of a previous lease holder.
pub fn check(history: &History) -> Vec<Violation> {
    let mut by_source = BTreeMap::<&str, Vec<&Line>>::new();
    let kinds = ["order", "order_done", "crashed"];
    for line in history
        .lines
        .iter()
        .filter(|line| kinds.contains(&line.kind.as_str()))
    {
        by_source.entry(&line.source).or_default().push(line);
    }
    let mut found = Vec::new();
    for (source, lines) in by_source {
        let faults = [
            stale_fences(&lines),
            differing_contents(&lines),
            overlapping(source, &lines),
        ];
        let faults = faults.into_iter().flatten();
        found.extend(faults.map(|fault| Violation::new(GUARANTEE, format!("{source}: {fault}"))));
    }
    found
}

/// Counts the orders that took effect.
pub fn count(history: &History) -> usize {
    history.lines.iter().filter(|line| is_applied(line)).count()
}

/// Returns whether an order took effect at its receiver.
fn is_applied(line: &Line) -> bool {
    let status = line.fields["status"].as_u64();
    let engine = line.fields["applied"] == true;
    let platform = status == Some(200) && line.fields["answer"]["repeated"] != true;
    line.kind == "order" && (engine || platform)
}

/// Finds orders that took effect with a lower fence than an earlier one.
fn stale_fences(lines: &[&Line]) -> Vec<String> {
    let mut highest = 0;
    let mut found = Vec::new();
    for line in lines.iter().filter(|line| is_applied(line)) {
        let fence = line.number("fence");
        if fence < highest {
            let order = line.text("order_id");
            found.push(format!(
                "order {order} with fence {fence} took effect after {highest}"
            ));
        }
        highest = highest.max(fence);
    }
    found
}

/// Finds identifiers used for two different orders.
fn differing_contents(lines: &[&Line]) -> Vec<String> {
    let mut known = HashMap::<&str, Vec<&Value>>::new();
    let mut found = Vec::new();
    for line in lines.iter().filter(|line| line.kind == "order") {
        let names = [
            "action",
            "role",
            "model",
            "data_centre",
            "pool",
            "cheap",
            "server",
        ];
        let content: Vec<_> = names.iter().map(|name| &line.fields[*name]).collect();
        let order = line.text("order_id");
        if *known.entry(order).or_insert_with(|| content.clone()) != content {
            found.push(format!("order {order} arrived with two contents"));
        }
    }
    found
}

/// Finds orders that arrived while another one was open.
///
/// Only engines are checked: the platform executes its orders independently.
fn overlapping(source: &str, lines: &[&Line]) -> Vec<String> {
    let mut open: Option<&str> = None;
    let mut found = Vec::new();
    for line in lines.iter().filter(|_| source != "platform") {
        let order = line.text("order_id");
        match line.kind.as_str() {
            "order" => {
                if open.is_some_and(|open| open != order) {
                    let open = open.unwrap_or_default();
                    found.push(format!("order {order} arrived while {open} was open"));
                }
                if is_applied(line) {
                    open = Some(order);
                }
            }
            _ => open = None,
        }
    }
    found
}
