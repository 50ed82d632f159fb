//! Server side of a link: the state of each open connection.
//!
//! The generated services must be `Send`, but the node's state belongs to its single
//! thread. The services hold only the key of their link and look up its state in a
//! thread-local arena.

use std::cell::RefCell;
use std::rc::Rc;

use pomeloridge_base::id::Name;
use slotmap::{SlotMap, new_key_type};
use tonic::Status;

use crate::mesh::Mesh;
use crate::proof::{Handshake, NONCE_BYTES, Side, random_nonce};

/// Maximum number of open links that are not authenticated yet.
const MAX_UNAUTHENTICATED_LINKS: usize = 256;

new_key_type! {
    /// Key of an open link.
    pub(crate) struct LinkKey;
}

thread_local! {
    static LINKS: RefCell<SlotMap<LinkKey, Rc<ServedLink>>> = RefCell::default();
}

/// Open connection from another node.
pub(crate) struct ServedLink {
    pub(crate) mesh: Mesh,
    handshake: RefCell<Option<Handshake>>,
    peer_name: RefCell<Option<Name>>,
}

impl ServedLink {
    /// Starts the handshake. Returns both names and nonces, from which the reply is made.
    pub(crate) fn begin_handshake(
        &self,
        caller: Name,
        caller_nonce: Vec<u8>,
    ) -> Result<Handshake, Status> {
        if caller_nonce.len() != NONCE_BYTES {
            return Err(Status::invalid_argument("the nonce has the wrong length"));
        }
        if self.handshake.borrow().is_some() {
            return Err(Status::failed_precondition("the link was greeted before"));
        }
        let handshake = Handshake {
            caller,
            called: self.mesh.name(),
            caller_nonce,
            called_nonce: random_nonce(),
        };
        *self.handshake.borrow_mut() = Some(handshake.clone());
        Ok(handshake)
    }

    /// Verifies the caller's proof; a link has a single attempt.
    pub(crate) fn verify_proof(&self, proof: &[u8]) -> Result<(), Status> {
        if self.peer().is_some() {
            return Err(Status::failed_precondition("the link was proved before"));
        }
        let opened = self.handshake.borrow().clone();
        let handshake = opened.ok_or_else(|| Status::failed_precondition("hello comes first"))?;
        // A fresh nonce that is never sent makes every later attempt fail.
        if let Some(handshake) = self.handshake.borrow_mut().as_mut() {
            handshake.called_nonce = random_nonce();
        }
        if !handshake.verify(self.mesh.secret(), Side::Caller, proof) {
            log::warn!(
                "link peer={} state=refused reason=unproved",
                handshake.caller
            );
            return Err(Status::unauthenticated("the proof is wrong"));
        }
        *self.peer_name.borrow_mut() = Some(handshake.caller);
        Ok(())
    }

    /// Returns the authenticated name of the caller.
    pub(crate) fn peer(&self) -> Option<Name> {
        self.peer_name.borrow().clone()
    }
}

/// Registration of an open link; dropping it removes the link.
pub(crate) struct LinkGuard(LinkKey);

impl LinkGuard {
    /// Registers an unauthenticated link. Returns `None` if there are too many.
    pub(crate) fn new(mesh: Mesh) -> Option<Self> {
        let unauthenticated = LINKS.with_borrow(|links| {
            let unauthenticated = links.values().filter(|link| link.peer().is_none());
            unauthenticated.count()
        });
        if unauthenticated >= MAX_UNAUTHENTICATED_LINKS {
            return None;
        }
        let link = ServedLink {
            mesh,
            handshake: RefCell::default(),
            peer_name: RefCell::default(),
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
        // Dropped after the borrow ends, because dropping a link may remove other links.
        drop(removed);
    }
}

/// Returns the state of an open link.
pub(crate) fn find(key: LinkKey) -> Result<Rc<ServedLink>, Status> {
    let link = LINKS.with_borrow(|links| links.get(key).cloned());
    link.ok_or_else(|| Status::unavailable("the link is closed"))
}

/// Returns the state of an open link and the authenticated name of its caller.
pub(crate) fn find_authenticated(key: LinkKey) -> Result<(Rc<ServedLink>, Name), Status> {
    let link = find(key)?;
    let name = link.peer().ok_or_else(unauthenticated)?;
    Ok((link, name))
}

/// Returns the status for calls on links that are not authenticated.
pub(crate) fn unauthenticated() -> Status {
    Status::unauthenticated("the link has not proved the fleet secret")
}
