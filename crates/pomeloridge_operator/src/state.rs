//! Interface of the operator port to its node, as closures supplied by the binary.

use std::pin::Pin;
use std::time::Duration;

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Revision;
use pomeloridge_base::operator_tokens::OperatorTokens;
use serde_json::Value;

/// A pending response of the object service.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, ErrorKind>>>>;

/// Looks up a value by name.
pub type LookupFn<T> = Box<dyn Fn(&str) -> T>;
/// Reads from the object service by key or prefix.
pub type ReadFn<T> = Box<dyn Fn(String) -> StoreFuture<T>>;
/// Returns the number of nodes on which an object's revision is in force, and that of all nodes.
pub type NodeCountFn = Box<dyn Fn(&str, Revision) -> (usize, usize)>;

/// An object in a listing.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Key in the object service.
    pub key: String,
    /// Revision of the object's last write.
    pub revision: Revision,
    /// Value as stored.
    pub value: Value,
}

/// Client of the object service.
///
/// Calls fail with `PlatformDown`; `put` also fails with `Conflict`, if the revision is not the
/// expected one, and with `ChangeUnknown`.
pub struct Store {
    /// Reads an object with its revision.
    pub get: ReadFn<Option<(Revision, Value)>>,
    /// Writes an object if it has the expected revision; 0 means that it must not exist.
    pub put: Box<dyn Fn(String, Value, Revision) -> StoreFuture<Revision>>,
    /// Reads all objects with a prefix.
    pub list: ReadFn<Vec<StoredObject>>,
}

/// State behind the operator port.
pub struct OperatorState {
    /// Operators with the hashes of their tokens.
    pub tokens: OperatorTokens,
    /// Whether a load balancer may send requests to the node; `Err` has the reason if not.
    pub ready: Box<dyn Fn() -> Result<(), String>>,
    /// Metrics in the Prometheus text format.
    pub metrics: Box<dyn Fn() -> String>,
    /// Nodes, backend servers, leases, revisions in force and exceptions, as an object.
    ///
    /// The command line prints its lists of objects as tables.
    pub status: Box<dyn Fn() -> Value>,
    /// Decisions for a request id, as an object with the list `decisions`.
    pub explain: LookupFn<Option<Value>>,
    /// Usage by window, as `{"windows":[{"window","state","accounts":{NAME:{"requests","prompt_tokens","output_tokens"}}}]}`.
    pub usage: Box<dyn Fn() -> StoreFuture<Value>>,
    /// Number of nodes on which an object's revision is in force, and of all nodes.
    pub in_force: NodeCountFn,
    /// Maximum time for which the response to a change waits until it is in force on all nodes.
    pub in_force_wait: Duration,
    /// Object service.
    pub store: Store,
    /// Clock for the timestamps of the history.
    pub clock: SharedClock,
}
