//! The record of a run: one line for each thing that was sent, answered, run or done, with the
//! milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record; exits with 2 if that fails.
pub fn open() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let Ok(file) = File::create(&path) else {
        eprintln!("cannot write {path}");
        std::process::exit(2);
    };
    let _ = FILE.set(Mutex::new(file));
    let _ = START.set(Instant::now());
}

/// Returns the milliseconds since the start.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Writes a line.
pub fn line(text: &str) {
    let text = format!("{:>6} ms  {text}\n", now_ms());
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// Writes a line and prints it.
pub fn say(text: &str) {
    println!("{text}");
    line(text);
}
