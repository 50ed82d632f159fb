//! The version of the configuration that is in force: of all that are read, from the
//! object service or a peer, late or again, the highest that was ever seen.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use pomeloridge_base::http::Response;
use pomeloridge_platform::{Object, ObjectWire};

use crate::config::ServingConfig;

/// A configuration with the object it was read from.
#[derive(Debug)]
struct InForce {
    config: Rc<ServingConfig>,
    object: Object,
    /// As peers read it, once one has.
    written: OnceCell<Bytes>,
}

/// What came of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// It is in force from now on, in place of this version.
    Newer(Option<u64>),
    /// A version at least as high is in force.
    Known,
}

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ConfigRegister(Option<InForce>);

impl ConfigRegister {
    /// Takes a configuration that was read.
    pub fn adopt(&mut self, config: ServingConfig, object: Object) -> Adopted {
        let known = self.0.as_ref().map(|in_force| in_force.config.version);
        if known.is_some_and(|known| known >= config.version) {
            return Adopted::Known;
        }
        self.0 = Some(InForce {
            config: Rc::new(config),
            object,
            written: OnceCell::new(),
        });
        Adopted::Newer(known)
    }

    /// The configuration in force, if one was read.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        let in_force = self.0.as_ref()?;
        Some(Rc::clone(&in_force.config))
    }

    /// The configuration as peers read it.
    pub(crate) fn written(&self) -> Option<Bytes> {
        let in_force = self.0.as_ref()?;
        let written = in_force.written.get_or_init(|| {
            let wire = ObjectWire::from(in_force.object.clone());
            Response::json(200, &wire).body
        });
        Some(written.clone())
    }
}
