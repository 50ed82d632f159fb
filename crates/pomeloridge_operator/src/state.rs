//! What the operator port needs of the node, as closures given by the binary.

use std::pin::Pin;
use std::time::Duration;

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_base::secret::KeyHash;
use serde_json::Value;

/// An answer of the object service that is still to come.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, ErrorKind>>>>;

/// A reading of something by its name.
pub type LookupFn<T> = Box<dyn Fn(&str) -> T>;
/// A read call of the object service, by key or prefix.
pub type ReadFn<T> = Box<dyn Fn(String) -> StoreFuture<T>>;
/// Counts the nodes, of all nodes, that have an object's revision in force.
pub type NodeCountFn = Box<dyn Fn(&str, Revision) -> (usize, usize)>;

/// One object of a list.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Key in the object service.
    pub key: String,
    /// Revision of the object's last write.
    pub revision: Revision,
    /// JSON as it was read.
    pub value: Value,
}

/// The object service.
///
/// Calls fail with `PlatformDown`; `put` also with `Conflict`, if the revision
/// is not the expected one, and with `ChangeUnknown`.
pub struct Store {
    /// Reads an object with its revision.
    pub get: ReadFn<Option<(Revision, Value)>>,
    /// Writes an object that has the expected revision; 0 means that it must not exist.
    pub put: Box<dyn Fn(String, Value, Revision) -> StoreFuture<Revision>>,
    /// Reads every object under a prefix.
    pub list: ReadFn<Vec<StoredObject>>,
}

/// Everything that the operator port answers from.
pub struct OperatorState {
    /// Operators' names and the hashes of their tokens.
    pub tokens: Vec<(Name, KeyHash)>,
    /// Whether the balancer may send requests here, or why not.
    pub ready: Box<dyn Fn() -> Result<(), String>>,
    /// Metrics in the Prometheus text form.
    pub metrics: Box<dyn Fn() -> String>,
    /// Nodes, backend servers, leases, revisions in force and exceptions.
    ///
    /// An object; the command line shows its lists of objects as tables.
    pub status: Box<dyn Fn() -> Value>,
    /// The decisions for a request id; an object with the list `decisions`.
    pub explain: LookupFn<Option<Value>>,
    /// Usage as `{"windows":[{"window","state","accounts":{NAME:{"requests","prompt_tokens","output_tokens"}}}]}`.
    pub usage: Box<dyn Fn() -> StoreFuture<Value>>,
    /// On how many nodes, of how many, an object's revision is in force.
    pub in_force: NodeCountFn,
    /// Longest time that the answer to a change waits for all nodes.
    pub in_force_wait: Duration,
    /// The object service.
    pub store: Store,
    /// The time that goes into the history.
    pub clock: SharedClock,
}
