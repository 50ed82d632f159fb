//! The calls to the platform, each on a fresh connection and under a deadline.
//!
//! A fresh connection makes it certain whether a byte of a call was written,
//! and can't have gone silent while it was idle.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use pomeloridge_base::id::Revision;
use serde_json::Value;

use crate::call_counts::{CallCounts, CallKind};
use crate::codec::{ObjectCodec, decode};
use crate::error::PlatformError;
use crate::fleet::{BackendServer, Vm};
use crate::object::{Changes, Expect, Object};
use crate::order::OrderStatus;
use crate::wire::{OrdersWire, ServersWire, VmsWire, convert_list};

/// Shortest timeout that is given to the kernel, which takes 0 for none.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);

/// Told of each call's kind and time.
pub type CallObserver = Rc<dyn Fn(CallKind, Duration)>;

/// The platform, as one node calls it; a clone shares the counts.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    clock: SharedClock,
    counts: Rc<CallCounts>,
    codec: ObjectCodec,
    observer: Option<CallObserver>,
}

impl Client {
    /// A client of the platform at `address`, whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, clock: SharedClock) -> Self {
        Self::with_codec(address, timeout, clock, ObjectCodec::native())
    }

    /// A client of a platform whose objects have another form.
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
        }
    }

    /// The same client, which tells of its calls.
    #[must_use]
    pub fn with_observer(self, observer: CallObserver) -> Self {
        Self {
            observer: Some(observer),
            ..self
        }
    }

    /// The clock that decisions about leases are made by.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Longest time that a call takes, but for the wait of a watch.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// The same client with calls that take at most `timeout`, if that is shorter.
    #[must_use]
    pub fn with_max_timeout(&self, timeout: Duration) -> Self {
        Self {
            timeout: self.timeout.min(timeout),
            ..self.clone()
        }
    }

    /// Number of calls by kind.
    pub fn calls(&self) -> &CallCounts {
        &self.counts
    }

    /// Reads an object; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let request = (self.codec.get)(checked(key)?);
        let response = self.call(CallKind::Get, request).await;
        match response.and_then(|response| (self.codec.object)(key, &response)) {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object if it is as expected; gives its new version.
    pub async fn put(
        &self,
        key: &str,
        value: &Value,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        self.put_if(key, value, expect, || true).await
    }

    /// As [`Self::put`], if `allowed` holds directly before the write.
    pub(crate) async fn put_if(
        &self,
        key: &str,
        value: &Value,
        expect: Expect,
        allowed: impl FnOnce() -> bool,
    ) -> Result<Revision, PlatformError> {
        let request = (self.codec.put)(checked(key)?, value, expect);
        let response = self
            .write(CallKind::Put, request, self.timeout, allowed)
            .await?;
        (self.codec.version)(&response)
    }

    /// Deletes an object if it is as expected; gives the revision of the deletion.
    pub async fn delete(&self, key: &str, expect: Expect) -> Result<Revision, PlatformError> {
        let request = (self.codec.delete)(checked(key)?, expect);
        let response = self
            .write(CallKind::Delete, request, self.timeout, || true)
            .await?;
        (self.codec.version)(&response)
    }

    /// Reads every object under a prefix, with the revision at which they were read.
    pub async fn list(&self, prefix: &str) -> Result<(Revision, Vec<Object>), PlatformError> {
        let prefix = checked(prefix)?;
        let mut objects = Vec::new();
        let mut first = None;
        let mut next: Option<String> = None;
        loop {
            let request = (self.codec.list)(prefix, next.as_deref());
            let response = self.call(CallKind::List, request).await?;
            let page = (self.codec.page)(prefix, &response)?;
            objects.extend(page.objects);
            // A watch from the first page's revision sees what changed meanwhile.
            let revision = *first.get_or_insert(page.revision);
            next = page.next;
            if next.is_none() {
                return Ok((revision, objects));
            }
        }
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let prefix = checked(prefix)?;
        let request = (self.codec.watch)(prefix, after, wait);
        let deadline = Instant::now() + wait + self.timeout;
        let response = self.call_by(CallKind::Watch, request, deadline).await?;
        (self.codec.changes)(prefix, &response)
    }

    /// Lists the VMs; the list lags.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let response = self
            .call(CallKind::Vms, OutgoingRequest::get("/vms"))
            .await?;
        Ok(convert_list(decode::<VmsWire>(&response)?.vms))
    }

    /// Lists the backend servers.
    pub async fn servers(&self) -> Result<Vec<BackendServer>, PlatformError> {
        let request = OutgoingRequest::get("/backends");
        let response = self.call(CallKind::Servers, request).await?;
        Ok(convert_list(decode::<ServersWire>(&response)?.servers))
    }

    /// Lists the orders that the platform keeps.
    pub async fn orders(&self) -> Result<Vec<OrderStatus>, PlatformError> {
        let request = OutgoingRequest::get("/orders");
        let response = self.call(CallKind::Orders, request).await?;
        let wires = decode::<OrdersWire>(&response)?.orders;
        Ok(wires.into_iter().map(OrderStatus::from).collect())
    }

    async fn call(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
    ) -> Result<Response, PlatformError> {
        self.call_by(kind, request, Instant::now() + self.timeout)
            .await
    }

    async fn call_by(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response, PlatformError> {
        let mut options = ConnectOptions::default();
        options.timeout = options.timeout.min(self.timeout);
        // A call's future is large, and callers hold several of them.
        Box::pin(self.exchange(kind, request, options, deadline, || true)).await
    }

    /// Sends a request that changes something, if `allowed` holds directly before the write.
    ///
    /// The call ends within `time`, and so does whatever the kernel still holds
    /// of it: nothing arrives after a partition has healed.
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
        self.counts.add(kind);
        let started = Instant::now();
        let answer = call_with(self.address, &request, options, deadline, allowed).await;
        if let Some(observer) = &self.observer {
            observer(kind, started.elapsed());
        }
        (self.codec.check)(answer?)
    }
}

/// Sends what changes something on a fresh connection, if `allowed` holds directly before
/// the write; it ends within `time`, also in the kernel.
pub async fn call_on_new_connection(
    address: SocketAddr,
    request: &OutgoingRequest,
    time: Duration,
    allowed: impl FnOnce() -> bool,
) -> Result<Response, PlatformError> {
    let deadline = Instant::now() + time;
    call_with(address, request, write_options(time), deadline, allowed).await
}

async fn call_with(
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
    let answer = connection.read_response(deadline).await;
    answer.map_err(PlatformError::Unconfirmed)
}

/// Connection options of a write that must have ended, also in the kernel, within `time`.
///
/// The kernel counts its time from the last acknowledged byte, which is at most
/// the connect timeout after the start; both together stay below `time`.
pub fn write_options(time: Duration) -> ConnectOptions {
    let connect = ConnectOptions::default().timeout.min(time / 4);
    ConnectOptions {
        timeout: connect,
        user_timeout: Some((time / 2).max(SHORTEST_TIMEOUT)),
        linger_zero: true,
        ..ConnectOptions::default()
    }
}

/// Refuses keys that would not arrive as they are, or would change the request line.
fn checked(key: &str) -> Result<&str, PlatformError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@".contains(&byte);
    if key.bytes().all(plain) {
        Ok(key)
    } else {
        Err(PlatformError::BadKey(key.to_owned()))
    }
}
