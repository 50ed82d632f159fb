//! Logging by `log` and `fern`, with a writer thread.
//!
//! Writing may block, which would delay all requests on the node's one thread. Lines are sent
//! over a channel to the writer thread, which flushes its output when the process ends.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, channel, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter};
use pomeloridge_base::settings::SettingValues;

/// Maximum number of lines queued for the writer; further lines are dropped.
const MAX_QUEUED_LINES: usize = 16 * 1024;

/// Maximum time for writing the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle of the writer thread; waits on drop until the queued lines are written.
pub(crate) struct Writer {
    lines: SyncSender<Option<String>>,
    stopping: Arc<AtomicBool>,
    ended: Receiver<()>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        // Wakes a writer that waits for a line; if the channel is full, it checks the flag.
        let _ = self.lines.try_send(None);
        // The last lines are lost if nobody reads the output.
        let _ = self.ended.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Writes queued lines until the handle is dropped and the queue is empty.
fn write_lines(mut out: Box<dyn Write>, queue: &Receiver<Option<String>>, stopping: &AtomicBool) {
    loop {
        let line = if stopping.load(Ordering::SeqCst) {
            queue.try_recv().ok()
        } else {
            queue.recv().ok()
        };
        let Some(Some(line)) = line else { break };
        let _ = out.write_all(line.as_bytes());
    }
    let _ = out.flush();
}

/// Destination and maximum rate of log lines.
#[derive(Clone, Copy)]
pub(crate) struct Output {
    /// Opens the destination.
    pub(crate) open: fn() -> Box<dyn Write>,
    /// Maximum number of lines per second; further lines are dropped and counted.
    pub(crate) max_per_second: u64,
}

/// Starts logging with the format and level of the settings.
pub(crate) fn start(settings: &SettingValues, output: Output) -> Result<Writer, String> {
    let (lines, queue) = sync_channel::<Option<String>>(MAX_QUEUED_LINES);
    let Output {
        open,
        max_per_second,
    } = output;
    let stopping = Arc::new(AtomicBool::new(false));
    let (end, ended) = channel();
    let writer_stopping = Arc::clone(&stopping);
    std::thread::spawn(move || {
        write_lines(open(), &queue, &writer_stopping);
        let _ = end.send(());
    });
    let json = settings.text("log", "format") == "json";
    let node = settings.text("node", "name").to_owned();
    let sink = lines.clone();
    let rate_limit = RateLimit::new(max_per_second);
    fern::Dispatch::new()
        .level(parse_level(settings.text("log", "level")))
        .chain(fern::Output::call(move |record| {
            let Some(dropped) = rate_limit.admit() else {
                return;
            };
            let line = if json { json_line } else { text_line };
            if dropped > 0 {
                let text = format!("log dropped={dropped}");
                let notice = line(&node, Level::Warn, module_path!(), &text);
                if sink.try_send(Some(notice)).is_err() {
                    rate_limit.record_dropped(dropped);
                }
            }
            // A full channel means that the writer is too slow; requests must not wait for it.
            let text = record.args().to_string();
            let line = line(&node, record.level(), record.target(), &text);
            if sink.try_send(Some(line)).is_err() {
                rate_limit.record_dropped(1);
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

/// Limits the number of lines in each second.
struct RateLimit {
    max_per_second: u64,
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl RateLimit {
    fn new(max_per_second: u64) -> Self {
        Self {
            max_per_second,
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Admits a line and returns the number of lines dropped before the current second, if it is
    /// the first line of the second; returns `None` if the line is to be dropped.
    fn admit(&self) -> Option<u64> {
        let second = (unix_ms() / 1000) as u64;
        let mut dropped = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
            dropped = self.dropped.swap(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < self.max_per_second {
            return Some(dropped);
        }
        self.record_dropped(1 + dropped);
        None
    }

    /// Counts dropped lines.
    fn record_dropped(&self, count: u64) {
        self.dropped.fetch_add(count, Ordering::Relaxed);
    }
}

fn parse_level(name: &str) -> LevelFilter {
    match name {
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
