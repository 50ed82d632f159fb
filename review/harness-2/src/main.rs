//! The cases of the review that are scripts. `review/N/run.sh` starts this program with the
//! case's number, the repository, the folder for the record, and a temporary folder.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod gateway;
mod http;
mod platform;
mod record;
mod server;

mod memory;
mod stop;
mod takeup;
mod usage;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use gateway::{Gateway, Places, loopback};
use platform::{Duties, Store};
use record::Record;

/// What every case needs.
pub struct Setup {
    pub record: Record,
    pub places: Places,
    pub store: Arc<Store>,
    pub duties: Duties,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() {
    let mut args = std::env::args().skip(1);
    let mut next = || args.next().unwrap_or_default();
    let (case, root, folder, temporary) = (next(), next(), next(), next());
    let program = std::env::var("GATEWAY_PROGRAM").unwrap_or_default();
    let places = Places {
        root: PathBuf::from(root),
        program: PathBuf::from(program),
        folder: PathBuf::from(temporary),
    };
    let record =
        Record::create(&PathBuf::from(folder).join("record.txt")).unwrap_or_else(|error| {
            eprintln!("the record can't be written: {error}");
            exit(2)
        });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note(format!(
        "case {case}, disruption: {}",
        if trouble { "yes" } else { "no" }
    ));
    let setup = Store::start(loopback(1), &record).and_then(|store| {
        Ok(Setup {
            duties: Duties::start(loopback(1), &record)?,
            record: record.clone(),
            places,
            store,
            trouble,
        })
    });
    let verdict = match setup {
        Ok(setup) => {
            let run = match case.as_str() {
                "memory" => memory::run,
                "stop" => stop::run,
                "takeup" => takeup::run,
                "usage" => usage::run,
                _ => {
                    eprintln!("no such case: {case}");
                    exit(2)
                }
            };
            run(&setup).unwrap_or_else(|error| Verdict::CannotRun(error.to_string()))
        }
        Err(error) => Verdict::CannotRun(error.to_string()),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "HELD".to_owned()),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CannotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.note(&text);
    println!("{text}");
    exit(code)
}

impl Setup {
    /// Starts a gateway and waits until it is ready.
    pub fn gateway(&self, number: u8) -> Result<Gateway, String> {
        let (store, duties) = (self.store.address, self.duties.address);
        let started = Gateway::start(number, &self.places, store, duties, &self.record);
        let gateway = started.map_err(|error| error.to_string())?;
        if !gateway.wait_until_ready(std::time::Duration::from_secs(15)) {
            let log = self.places.folder.join(format!("{}.log", gateway.name));
            return Err(format!("the gateway is not ready: {}", gateway::tail(&log)));
        }
        Ok(gateway)
    }
}

/// Returns a configuration of a small deployment.
pub fn config(routes: serde_json::Value, services: serde_json::Value) -> serde_json::Value {
    serde_json::json!({
        "version": 3, "routes": routes, "services": services,
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "hule930", "apiKeys": ["3fexd9dnn2ctnfzs989a"], "priority": 1 }],
    })
}
