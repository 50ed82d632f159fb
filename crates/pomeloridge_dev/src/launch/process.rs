//! Child processes.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::Value;

/// Timeout for a process to print its first line.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc`, fixed on Linux for user space.
const TICKS_PER_S: f64 = 100.0;
/// Pause between two checks whether a process has ended.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Child process that is killed when dropped.
pub struct Process {
    /// Name of the process and of its log file.
    pub name: String,
    child: Child,
    /// Whether the end of the process has been noted, from when its id may be that of another.
    ended: bool,
    /// First line on standard output, as JSON.
    pub first_line: Value,
}

impl Process {
    /// Starts a program of this workspace and waits for its first line.
    pub fn start(name: &str, program: &str, args: &[String], logs: &Path) -> Result<Self, String> {
        let path = find_binary(program)?;
        let log = logs.join(format!("{name}.log"));
        // A restarted process appends to the log of its predecessor.
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let out_file = logs.join(format!("{name}.out"));
        let out_file = OpenOptions::new().create(true).append(true).open(out_file);
        let mut out_file = out_file.map_err(|error| error.to_string())?;
        let out = child.stdout.take().ok_or("no standard output")?;
        let (line, first) = channel();
        std::thread::spawn(move || {
            let mut lines = BufReader::new(out).lines();
            if let Some(Ok(text)) = lines.next() {
                let _ = line.send(text);
            }
            // Drains the pipe so that the child never blocks on it.
            for line in lines.map_while(Result::ok) {
                let _ = writeln!(out_file, "{line}");
            }
        });
        let mut process = Self {
            name: name.to_owned(),
            child,
            ended: false,
            first_line: Value::Null,
        };
        let text = first.recv_timeout(START_TIMEOUT).map_err(|_| {
            format!(
                "{name} printed no first line; see {name}.log in {}",
                logs.display()
            )
        })?;
        process.first_line =
            serde_json::from_str(&text).map_err(|error| format!("{name}: {error}"))?;
        Ok(process)
    }

    /// Returns the address printed under `key` in the first line.
    pub fn address(&self, key: &str) -> Result<std::net::SocketAddr, String> {
        let text = self.first_line[key].as_str().unwrap_or_default();
        text.parse()
            .map_err(|_| format!("{} printed no address `{key}`", self.name))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the CPU time used so far, in seconds.
    pub fn cpu_time(&self) -> Result<f64, String> {
        let text = self.read_proc("stat")?;
        // The name in parentheses may contain spaces; fields are counted after it.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split(' ').collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
        };
        let (user, system) = (ticks(12), ticks(13));
        Ok((user.unwrap_or_default() + system.unwrap_or_default()) / TICKS_PER_S)
    }

    /// Returns the resident memory, in MB.
    pub fn memory(&self) -> Result<f64, String> {
        let status = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        Ok(kilobytes.unwrap_or_default() / 1024.0)
    }

    fn read_proc(&self, file: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{file}", self.id());
        std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    }

    /// Sends a signal, unless the process is known to have ended. Returns whether it was sent.
    pub fn signal(&self, signal: i32) -> bool {
        if self.ended {
            return false;
        }
        let id = i32::try_from(self.child.id()).expect("a process id fits");
        // SAFETY: the child has not been waited for, so the id is its own.
        unsafe { libc::kill(id, signal) == 0 }
    }

    /// Requests a graceful stop by SIGTERM.
    pub fn stop(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Requests a graceful stop, and kills the process after `grace_time` as the platform does.
    /// Returns how it ended, or `None` if it had to be killed.
    pub fn stop_within(&mut self, grace_time: Duration) -> Option<ExitStatus> {
        self.stop();
        let status = self.wait(grace_time);
        if status.is_none() {
            self.kill();
        }
        status
    }

    /// Suspends the process by SIGSTOP until [`Self::resume`].
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process by SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.ended |= self.child.wait().is_ok();
    }

    /// Waits for the process to end; `None` if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            if Instant::now() >= end {
                return None;
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.try_wait().is_none()
    }

    /// Returns how the process has ended, if it has.
    fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        self.ended |= status.is_some();
        status
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Builds the workspace's binaries in this program's profile.
pub fn build_binaries() -> Result<(), String> {
    let mut args = vec!["build", "--quiet", "--workspace", "--bins"];
    if !cfg!(debug_assertions) {
        args.push("--release");
    }
    let status = Command::new("cargo").args(&args).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cargo {}: {status}", args.join(" "))),
        Err(error) => Err(format!("cargo: {error}")),
    }
}

/// Returns the path of a program built next to this one.
fn find_binary(program: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let folders = own.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    paths
        .find(|path| path.is_file())
        .ok_or_else(|| format!("{program} is not built; run `cargo build --workspace --bins`"))
}
