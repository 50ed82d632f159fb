//! The history of the requests that a fake received, as JSON lines.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use bytes::Bytes;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::http::Response;
use serde_json::{Value, json};

/// JSON lines in the order of recording.
pub(crate) struct History {
    clock: SharedClock,
    count: Cell<u64>,
    text: RefCell<Vec<u8>>,
    file: RefCell<Option<File>>,
}

impl History {
    /// Creates an empty history; with a path, lines are also appended to that file,
    /// which survives a crash.
    pub(crate) fn new(clock: SharedClock, path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self {
            clock,
            count: Cell::new(0),
            text: RefCell::default(),
            file: RefCell::new(path.map(open).transpose()?),
        })
    }

    /// Records an event at the current time; `fields` is a JSON object.
    pub(crate) fn record(&self, what: &str, fields: Value) {
        self.record_at(self.clock.unix_ms(), what, fields);
    }

    /// Records an event at `at` (Unix ms); `fields` is a JSON object.
    pub(crate) fn record_at(&self, at: u64, what: &str, mut fields: Value) {
        self.count.set(self.count.get() + 1);
        fields["n"] = json!(self.count.get());
        fields["at"] = json!(at);
        fields["what"] = json!(what);
        let line = format!("{fields}\n");
        self.text.borrow_mut().extend_from_slice(line.as_bytes());
        if let Some(file) = self.file.borrow_mut().as_mut()
            && let Err(error) = file.write_all(line.as_bytes())
        {
            log::error!("failed to write the history file: {error}");
        }
    }

    /// Returns the response to `GET /history`.
    pub(crate) fn response(&self) -> Response {
        let text = Bytes::copy_from_slice(&self.text.borrow());
        Response::new(200, text).with_header("content-type", "application/x-ndjson")
    }
}
