//! Starts gateways as the deploy file says, with settings made from its template.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::record::Record;

/// Returns a loopback address that no other case uses at the same time.
pub fn loopback(host: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 + (pid >> 8 & 63) as u8,
        (pid & 255) as u8,
        host,
    ))
}

/// Returns a free port of an address.
pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// Where things are.
#[derive(Clone)]
pub struct Places {
    /// The repository.
    pub root: PathBuf,
    /// The program that the deploy file's command builds.
    pub program: PathBuf,
    /// Temporary folder of this run.
    pub folder: PathBuf,
}

impl Gateway {
    pub fn start(
        number: u8,
        places: &Places,
        store: SocketAddr,
        duties: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let ip = loopback(10 + number);
        let name = format!("front-{number}");
        let (front, ready, peer) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let template = fs::read_to_string(places.root.join("deploy/settings.ini"))?;
        let values = [
            ("nodeName", name.clone()),
            ("zone", "zone-a".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("listenAddrs.front", front.to_string()),
            ("listenAddrs.ready", ready.to_string()),
            ("ip", ip.to_string()),
            ("internalPorts.0", peer.port().to_string()),
            ("platform.address", store.to_string()),
            ("cloudApi.address", duties.to_string()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "52".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.usageWindowS", "5".to_owned()),
            ("bounds.usageLateS", "10".to_owned()),
        ];
        // Sections are for values that these contracts do not have.
        let lines = template.lines().filter(|line| !line.contains("{{#"));
        let mut text = lines.collect::<Vec<_>>().join("\n") + "\n";
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let settings = places.folder.join(format!("{name}.ini"));
        fs::write(&settings, &text)?;
        let mut gateway = Self {
            log: places.folder.join(format!("{name}.log")),
            program: places.program.clone(),
            child: None,
            record: record.clone(),
            name,
            front,
            ready,
            settings,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts the process again after its end, as the platform does.
    pub fn restart(&mut self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("bootstrap = true", "bootstrap = false"),
        )?;
        self.spawn()
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        // SAFETY: the call is allowed between fork and exec; the process ends with this one.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .args([
                "--set",
                "platform.apply_ms=2000",
                "--set",
                "platform.drain_ms=2000",
            ])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("gateway {} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    fn pid(&self) -> libc::pid_t {
        self.child
            .as_ref()
            .map_or(0, |child| child.id() as libc::pid_t)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32, name: &str) {
        self.record
            .note(format!("gateway {} gets {name}", self.name));
        if self.pid() > 0 {
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { libc::kill(self.pid(), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL, "SIGKILL");
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the memory of the process that is in use, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_ready() {
                self.record.note(format!("gateway {} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::connect(self.ready)?;
            wire.write_request("GET", "/-/readiness", &[("host", "ready")], b"")?;
            Ok(wire.read_status()?.0)
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the end of a file, for a case that could not run.
pub fn tail(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(5)..].join("\n")
}
