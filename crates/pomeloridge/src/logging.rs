//! Log lines by `log` and `fern`, written by a thread of their own.
//!
//! Writing may block, and one thread carries every request; lines go over a
//! channel to a writer, which is flushed when the process ends.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, channel, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter};
use pomeloridge_base::settings::SettingValues;

/// Lines that may wait for the writer; beyond them lines are dropped, not waited for.
const WAITING_LINES: usize = 16 * 1024;

/// Time for which the end of the process waits for the last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Ends the writer when dropped, after its last line if that can be written.
pub(crate) struct Writer {
    lines: SyncSender<Option<String>>,
    stopping: Arc<AtomicBool>,
    ended: Receiver<()>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        // Wakes a writer that waits for a line; one with a full channel sees the flag.
        let _ = self.lines.try_send(None);
        // Where nobody reads the output, its last lines are lost.
        let _ = self.ended.recv_timeout(LAST_LINES);
    }
}

/// Writes lines until the process ends.
fn write_lines(mut out: Box<dyn Write>, waiting: &Receiver<Option<String>>, stopping: &AtomicBool) {
    loop {
        let line = if stopping.load(Ordering::SeqCst) {
            waiting.try_recv().ok()
        } else {
            waiting.recv().ok()
        };
        let Some(Some(line)) = line else { break };
        let _ = out.write_all(line.as_bytes());
    }
    let _ = out.flush();
}

/// Where and how many lines are written.
#[derive(Clone, Copy)]
pub(crate) struct Output {
    /// Where they go.
    pub(crate) to: fn() -> Box<dyn Write>,
    /// Lines of a second at most; what is beyond is counted.
    pub(crate) per_second: u64,
}

/// Starts logging in the form that the settings name.
pub(crate) fn start(settings: &SettingValues, output: Output) -> Result<Writer, String> {
    let (lines, waiting) = sync_channel::<Option<String>>(WAITING_LINES);
    let Output { to, per_second } = output;
    let stopping = Arc::new(AtomicBool::new(false));
    let (end, ended) = channel();
    let flag = Arc::clone(&stopping);
    std::thread::spawn(move || {
        write_lines(to(), &waiting, &flag);
        let _ = end.send(());
    });
    let json = settings.text("log", "format") == "json";
    let node = settings.text("node", "name").to_owned();
    let sink = lines.clone();
    let bound = Bound::new(per_second);
    fern::Dispatch::new()
        .level(level(settings.text("log", "level")))
        .chain(fern::Output::call(move |record| {
            let Some(dropped) = bound.take() else { return };
            let line = if json { json_line } else { text_line };
            if dropped > 0 {
                let text = format!("log dropped={dropped}");
                let missing = line(&node, Level::Warn, module_path!(), &text);
                if sink.try_send(Some(missing)).is_err() {
                    bound.drop_lines(dropped);
                }
            }
            // A full channel means that the writer can't keep up; the request path must
            // not wait for it.
            let text = record.args().to_string();
            let line = line(&node, record.level(), record.target(), &text);
            if sink.try_send(Some(line)).is_err() {
                bound.drop_lines(1);
            }
        }))
        .apply()
        .map_err(|error| error.to_string())?;
    Ok(Writer {
        lines,
        stopping,
        ended,
    })
}

/// Lets a bounded number of lines through in each second.
struct Bound {
    per_second: u64,
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl Bound {
    fn new(per_second: u64) -> Self {
        Self {
            per_second,
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Lets a line through, with the number of lines dropped in the second before;
    /// `None` drops it.
    fn take(&self) -> Option<u64> {
        let second = (unix_ms() / 1000) as u64;
        let mut dropped = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
            dropped = self.dropped.swap(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < self.per_second {
            return Some(dropped);
        }
        self.drop_lines(1 + dropped);
        None
    }

    /// Counts lines that were not written.
    fn drop_lines(&self, count: u64) {
        self.dropped.fetch_add(count, Ordering::Relaxed);
    }
}

fn level(word: &str) -> LevelFilter {
    match word {
        "error" => LevelFilter::Error,
        "warn" => LevelFilter::Warn,
        "debug" => LevelFilter::Debug,
        _ => LevelFilter::Info,
    }
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

fn text_line(node: &str, level: Level, target: &str, text: &str) -> String {
    format!("{} {level} {node} {target} {text}\n", unix_ms())
}

fn json_line(node: &str, level: Level, target: &str, text: &str) -> String {
    let line = serde_json::json!({
        "at": unix_ms() as u64,
        "level": level.as_str(),
        "node": node,
        "target": target,
        "message": text,
    });
    format!("{line}\n")
}
