//! The called end of a link: what is known of each open connection.
//!
//! The generated services must be `Send`, which the node's state on its one
//! thread is not. They hold the key of their link only, and look the state up
//! in the thread's arena.

use std::cell::RefCell;
use std::rc::Rc;

use pomeloridge_base::id::Name;
use slotmap::{SlotMap, new_key_type};
use tonic::Status;

use crate::mesh::Mesh;
use crate::proof::{Greeting, NONCE_BYTES, Side, nonce};

/// Links that have proved nothing which may be open at once.
const UNPROVED_LINKS: usize = 256;

new_key_type! {
    /// Key of an open link.
    pub(crate) struct LinkKey;
}

thread_local! {
    static LINKS: RefCell<SlotMap<LinkKey, Rc<ServedLink>>> = RefCell::default();
}

/// One open connection from another node.
pub(crate) struct ServedLink {
    pub(crate) mesh: Mesh,
    greeting: RefCell<Option<Greeting>>,
    proved: RefCell<Option<Name>>,
}

impl ServedLink {
    /// Answers the opening of a proof; returns the own nonce and proof.
    pub(crate) fn greet(&self, caller: Name, caller_nonce: Vec<u8>) -> Result<Greeting, Status> {
        if caller_nonce.len() != NONCE_BYTES {
            return Err(Status::invalid_argument("the nonce has the wrong length"));
        }
        if self.greeting.borrow().is_some() {
            return Err(Status::failed_precondition("the link was greeted before"));
        }
        let greeting = Greeting {
            caller,
            called: self.mesh.name(),
            caller_nonce,
            called_nonce: nonce(),
        };
        *self.greeting.borrow_mut() = Some(greeting.clone());
        Ok(greeting)
    }

    /// Checks the caller's proof; a link has one try.
    pub(crate) fn check(&self, proof: &[u8]) -> Result<(), Status> {
        if self.proved().is_some() {
            return Err(Status::failed_precondition("the link was proved before"));
        }
        let greeting = self.greeting.borrow().clone();
        let greeting = greeting.ok_or_else(|| Status::failed_precondition("hello comes first"))?;
        // A fresh nonce that is never told makes every later try fail.
        if let Some(greeting) = self.greeting.borrow_mut().as_mut() {
            greeting.called_nonce = nonce();
        }
        if !greeting.is_proved(self.mesh.secret(), Side::Caller, proof) {
            log::warn!(
                "link peer={} state=refused reason=unproved",
                greeting.caller
            );
            return Err(Status::unauthenticated("the proof is wrong"));
        }
        *self.proved.borrow_mut() = Some(greeting.caller);
        Ok(())
    }

    /// The name that the other end proved.
    pub(crate) fn proved(&self) -> Option<Name> {
        self.proved.borrow().clone()
    }
}

/// An open link; dropping it forgets the link.
pub(crate) struct LinkGuard(LinkKey);

impl LinkGuard {
    /// Registers a link that has proved nothing; `None` if there are too many.
    pub(crate) fn new(mesh: Mesh) -> Option<Self> {
        let unproved = LINKS.with_borrow(|links| {
            let unproved = links.values().filter(|link| link.proved().is_none());
            unproved.count()
        });
        if unproved >= UNPROVED_LINKS {
            return None;
        }
        let link = ServedLink {
            mesh,
            greeting: RefCell::default(),
            proved: RefCell::default(),
        };
        let key = LINKS.with_borrow_mut(|links| links.insert(Rc::new(link)));
        Some(Self(key))
    }

    pub(crate) fn key(&self) -> LinkKey {
        self.0
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let removed = LINKS.with_borrow_mut(|links| links.remove(self.0));
        // The link is dropped after the borrow, because it may end other links.
        drop(removed);
    }
}

/// The state of an open link.
pub(crate) fn find(key: LinkKey) -> Result<Rc<ServedLink>, Status> {
    let link = LINKS.with_borrow(|links| links.get(key).cloned());
    link.ok_or_else(|| Status::unavailable("the link is closed"))
}

/// The state of an open link and the name that its caller proved.
pub(crate) fn find_proved(key: LinkKey) -> Result<(Rc<ServedLink>, Name), Status> {
    let link = find(key)?;
    let name = link.proved().ok_or_else(unproved)?;
    Ok((link, name))
}

/// The refusal of calls on links that have not been proved.
pub(crate) fn unproved() -> Status {
    Status::unauthenticated("the link has not proved the fleet secret")
}
