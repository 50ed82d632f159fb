//! Calls to the platform, each on a new connection and with a deadline.
//!
//! The object service may be restored from an older copy of itself, which begins a new era. It
//! then gives out again the revisions that it has lost. The client adds the era of each response
//! to the revisions in it, so that they compare as in a service that loses nothing.
//!
//! On a new connection it is certain whether any byte of a call was written, and the
//! connection cannot have died unnoticed while idle.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use pomeloridge_base::id::{Era, Revision};
use serde_json::Value;

use crate::call_counts::{CallCounts, CallKind};
use crate::codec::ObjectCodec;
use crate::error::PlatformError;
use crate::fleet::{BackendServer, Vm};
use crate::json::{decode_list, decode_text, malformed};
use crate::object::{Changes, Event, Expect, Object};
use crate::order::OrderStatus;
use crate::wire::{ServerWire, StatusWire, VmWire, convert_list};

/// Shortest timeout passed to the kernel, which treats 0 as no timeout.
const MIN_KERNEL_TIMEOUT: Duration = Duration::from_millis(1);

/// Number of times that a list is begun again.
const MAX_LIST_RESTARTS: usize = 3;

/// Called after each call with its kind and duration.
pub type CallObserver = Rc<dyn Fn(CallKind, Duration)>;

/// Client of the platform; clones share the call counts and the era.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    clock: SharedClock,
    counts: Rc<CallCounts>,
    codec: ObjectCodec,
    observer: Option<CallObserver>,
    /// Highest era of the object service that is known; `None` before the first.
    era: Rc<Cell<Option<Era>>>,
    /// When the era was first seen, if the service may have lost changes before.
    lost_before: Rc<Cell<Option<Instant>>>,
    /// When the first era was seen.
    era_since: Rc<Cell<Option<Instant>>>,
}

impl Client {
    /// Creates a client of the platform at `address` whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, clock: SharedClock) -> Self {
        Self::with_codec(address, timeout, clock, ObjectCodec::native())
    }

    /// Creates a client of a platform with another object service.
    pub fn with_codec(
        address: SocketAddr,
        timeout: Duration,
        clock: SharedClock,
        codec: ObjectCodec,
    ) -> Self {
        Self {
            codec,
            address,
            timeout,
            clock,
            counts: Rc::default(),
            observer: None,
            era: Rc::default(),
            lost_before: Rc::default(),
            era_since: Rc::default(),
        }
    }

    /// Returns the client with an observer of its calls.
    #[must_use]
    pub fn with_observer(self, observer: CallObserver) -> Self {
        Self {
            observer: Some(observer),
            ..self
        }
    }

    /// Returns the clock that lease decisions use.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Returns the longest duration of a call, not counting the wait of a watch.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns a client whose calls take at most `timeout`, if that is shorter.
    #[must_use]
    pub fn with_max_timeout(&self, timeout: Duration) -> Self {
        Self {
            timeout: self.timeout.min(timeout),
            ..self.clone()
        }
    }

    /// Returns the number of calls by kind.
    pub fn calls(&self) -> &CallCounts {
        &self.counts
    }

    /// Returns the highest era of the object service that is known.
    pub fn era(&self) -> Era {
        self.era.get().unwrap_or_default()
    }

    /// Returns the time before which the object service may have lost changes, `None` if it was
    /// never restored. The restore itself may have been earlier.
    pub fn lost_before(&self) -> Option<Instant> {
        self.lost_before.get()
    }

    /// Records an era of the object service that a response or another node has named.
    pub fn record_era(&self, era: Era) {
        let (era, known) = (era.min(Era::MAX), self.era.get());
        if known.is_some_and(|known| known >= era) {
            return;
        }
        self.era.set(Some(era));
        if known.is_none() {
            self.era_since.set(Some(self.clock.now()));
        }
        if known.is_some() || era.is_restored() {
            self.lost_before.set(Some(self.clock.now()));
        }
        if let Some(before) = known {
            log::warn!(
                "store era={era} before={before} choice=read_again reason=\"the service is back \
                 from an older copy\""
            );
        }
    }

    /// Records that the object service was restored before this client knew any era of it.
    pub(crate) fn record_restored(&self) {
        if self.lost_before.get().is_none() {
            let since = self.era_since.get().unwrap_or_else(|| self.clock.now());
            self.lost_before.set(Some(since));
            log::warn!(
                "store era={} choice=expect_losses reason=\"the service was restored before this \
                 process started\"",
                self.era()
            );
        }
    }

    /// Returns the era of a response. One that names none counts as of the known era.
    fn era_of(&self, response: &Response) -> Era {
        let named = (self.codec.era)(response);
        named.map_or_else(|| self.era(), |era| era.min(Era::MAX))
    }

    /// Reads an object; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let request = (self.codec.get)(check_key(key)?);
        let response = self.call(CallKind::Get, request).await;
        let decode = |response| {
            let object = (self.codec.object)(key, &response)?;
            Ok(in_era(object, self.era_of(&response)))
        };
        match response.and_then(decode) {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object if `expect` holds, and returns its new version.
    pub async fn put(
        &self,
        key: &str,
        value: &Value,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        self.put_if(key, value, expect, || true).await
    }

    /// Like [`Self::put`], but writes only if `allowed` returns true directly before.
    pub(crate) async fn put_if(
        &self,
        key: &str,
        value: &Value,
        expect: Expect,
        allowed: impl FnOnce() -> bool,
    ) -> Result<Revision, PlatformError> {
        let expect = self.expect_on_wire(expect)?;
        let request = (self.codec.put)(check_key(key)?, value, expect);
        let response = self
            .write(CallKind::Put, request, self.timeout, allowed)
            .await?;
        self.written_version(&response)
    }

    /// Returns the precondition as the service knows it. A version of an earlier era holds no
    /// more, but the service may have given out its number again.
    fn expect_on_wire(&self, expect: Expect) -> Result<Expect, PlatformError> {
        match expect {
            Expect::Version(version) if version.era() < self.era() => {
                Err(PlatformError::Conflict {
                    current: Revision::default(),
                })
            }
            Expect::Version(version) => Ok(Expect::Version(Revision(version.number()))),
            Expect::Any | Expect::Absent => Ok(expect),
        }
    }

    fn written_version(&self, response: &Response) -> Result<Revision, PlatformError> {
        let version = (self.codec.version)(response)?;
        Ok(Revision::in_era(self.era_of(response), version.0))
    }

    /// Deletes an object if `expect` holds, and returns the revision of the deletion.
    pub async fn delete(&self, key: &str, expect: Expect) -> Result<Revision, PlatformError> {
        let expect = self.expect_on_wire(expect)?;
        let request = (self.codec.delete)(check_key(key)?, expect);
        let response = self
            .write(CallKind::Delete, request, self.timeout, || true)
            .await?;
        self.written_version(&response)
    }

    /// Reads all objects under a prefix, with the revision at which they were read.
    ///
    /// Begins again if the service is restored between two pages; fails with
    /// [`PlatformError::Restored`] if that happens again and again.
    pub async fn list(&self, prefix: &str) -> Result<(Revision, Vec<Object>), PlatformError> {
        let prefix = check_key(prefix)?;
        let mut objects = Vec::new();
        let mut first = None;
        let mut next: Option<String> = None;
        let mut restarts = 0;
        loop {
            let request = (self.codec.list)(prefix, next.as_deref());
            let response = self.call(CallKind::List, request).await?;
            let page = (self.codec.page)(prefix, &response)?;
            let era = self.era_of(&response);
            let read_at = Revision::in_era(era, page.revision.0);
            // A watch from the first page's revision reports changes made during the listing.
            let revision = *first.get_or_insert(read_at);
            if revision.era() != era {
                if restarts == MAX_LIST_RESTARTS {
                    return Err(PlatformError::Restored);
                }
                restarts += 1;
                (objects, first, next) = (Vec::new(), None, None);
                continue;
            }
            objects.extend(page.objects.into_iter().map(|object| in_era(object, era)));
            if page.next.is_none() {
                return Ok((revision, objects));
            }
            if page.next == next {
                return Err(malformed(
                    "a page of the list ends where the one before did",
                ));
            }
            next = page.next;
        }
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// A revision of an earlier era is too old, even if the service has given out its number
    /// again.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let prefix = check_key(prefix)?;
        if after.era() < self.era() {
            return Err(PlatformError::TooOld);
        }
        let request = (self.codec.watch)(prefix, Revision(after.number()), wait);
        let deadline = Instant::now() + wait + self.timeout;
        let response = self.call_until(CallKind::Watch, request, deadline).await?;
        let era = self.era_of(&response);
        if era != after.era() {
            return Err(PlatformError::TooOld);
        }
        let changes = (self.codec.changes)(prefix, &response)?;
        let events = changes.events.into_iter().map(|event| Event {
            version: Revision::in_era(era, event.version.0),
            ..event
        });
        Ok(Changes {
            revision: Revision::in_era(era, changes.revision.0),
            events: events.collect(),
        })
    }

    /// Lists the VMs; the platform's list lags behind.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let response = self
            .call(CallKind::Vms, OutgoingRequest::get("/vms"))
            .await?;
        convert_list::<VmWire, _>(&response.body, "vms")
    }

    /// Lists the backend servers.
    pub async fn servers(&self) -> Result<Vec<BackendServer>, PlatformError> {
        let request = OutgoingRequest::get("/backends");
        let response = self.call(CallKind::Servers, request).await?;
        convert_list::<ServerWire, _>(&response.body, "servers")
    }

    /// Lists the orders that the platform has on record.
    pub async fn orders(&self) -> Result<Vec<OrderStatus>, PlatformError> {
        let request = OutgoingRequest::get("/orders");
        let response = self.call(CallKind::Orders, request).await?;
        let wires = decode_list(&response.body, "orders", decode_text::<StatusWire>)?;
        Ok(wires.into_iter().map(OrderStatus::from).collect())
    }

    async fn call(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
    ) -> Result<Response, PlatformError> {
        self.call_until(kind, request, Instant::now() + self.timeout)
            .await
    }

    async fn call_until(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response, PlatformError> {
        let mut options = ConnectOptions::default();
        options.timeout = options.timeout.min(self.timeout);
        // Boxed, as the future is large and callers hold several of them.
        Box::pin(self.exchange(kind, request, options, deadline, || true)).await
    }

    /// Sends a modifying request, if `allowed` returns true directly before the write.
    ///
    /// The call ends within `time`, including any bytes still queued in the kernel, so
    /// that nothing arrives after a partition has healed.
    pub(crate) async fn write(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        time: Duration,
        allowed: impl FnOnce() -> bool,
    ) -> Result<Response, PlatformError> {
        let deadline = Instant::now() + time;
        let options = write_options(time);
        Box::pin(self.exchange(kind, request, options, deadline, allowed)).await
    }

    async fn exchange(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        options: ConnectOptions,
        deadline: Instant,
        allowed: impl FnOnce() -> bool,
    ) -> Result<Response, PlatformError> {
        self.counts.increment(kind);
        let started = Instant::now();
        let response = send_request(self.address, &request, options, deadline, allowed).await;
        if let Some(observer) = &self.observer {
            observer(kind, started.elapsed());
        }
        let response = response?;
        if let Some(era) = (self.codec.era)(&response) {
            self.record_era(era);
        }
        (self.codec.check)(response)
    }
}

fn in_era(object: Object, era: Era) -> Object {
    Object {
        version: Revision::in_era(era, object.version.0),
        ..object
    }
}

/// Sends a modifying request on a new connection, if `allowed` returns true directly before
/// the write. The call ends within `time`, including any bytes still queued in the kernel.
pub async fn call_on_new_connection(
    address: SocketAddr,
    request: &OutgoingRequest,
    time: Duration,
    allowed: impl FnOnce() -> bool,
) -> Result<Response, PlatformError> {
    let deadline = Instant::now() + time;
    send_request(address, request, write_options(time), deadline, allowed).await
}

async fn send_request(
    address: SocketAddr,
    request: &OutgoingRequest,
    options: ConnectOptions,
    deadline: Instant,
    allowed: impl FnOnce() -> bool,
) -> Result<Response, PlatformError> {
    let opened = Connection::open(address, options).await;
    let mut connection = opened.map_err(PlatformError::Unreachable)?;
    let sent = connection.send_if(request, deadline, allowed).await;
    if !connection.written() {
        return Err(PlatformError::Lapsed);
    }
    sent.map_err(PlatformError::Unconfirmed)?;
    let response = connection.read_response(deadline).await;
    response.map_err(PlatformError::Unconfirmed)
}

/// Returns connection options for a write that must end within `time`, including any bytes
/// still queued in the kernel.
///
/// The kernel's timeout runs from the last acknowledged byte, which is at most the connect
/// timeout after the start. Together they stay below `time`.
pub fn write_options(time: Duration) -> ConnectOptions {
    let connect = ConnectOptions::default().timeout.min(time / 4);
    ConnectOptions {
        timeout: connect,
        user_timeout: Some((time / 2).max(MIN_KERNEL_TIMEOUT)),
        linger_zero: true,
        ..ConnectOptions::default()
    }
}

/// Rejects keys that would be altered in transit or would change the request line.
fn check_key(key: &str) -> Result<&str, PlatformError> {
    let is_safe = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@".contains(&byte);
    if key.bytes().all(is_safe) {
        Ok(key)
    } else {
        Err(PlatformError::BadKey(key.to_owned()))
    }
}
