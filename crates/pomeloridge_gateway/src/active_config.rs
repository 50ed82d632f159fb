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
    encoded: OnceCell<Bytes>,
}

/// What came of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force from now on, in place of this version.
    Adopted(Option<u64>),
    /// A version at least as high is in force.
    NotNewer,
}

/// The configuration in force.
#[derive(Debug, Default)]
pub struct ActiveConfig(Option<InForce>);

impl ActiveConfig {
    /// Takes a configuration that was read.
    pub fn adopt(&mut self, config: ServingConfig, object: Object) -> AdoptOutcome {
        let known = self.0.as_ref().map(|in_force| in_force.config.version);
        if known.is_some_and(|known| known >= config.version) {
            return AdoptOutcome::NotNewer;
        }
        self.0 = Some(InForce {
            config: Rc::new(config),
            object,
            encoded: OnceCell::new(),
        });
        AdoptOutcome::Adopted(known)
    }

    /// The configuration in force, if one was read.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        let in_force = self.0.as_ref()?;
        Some(Rc::clone(&in_force.config))
    }

    /// The configuration as peers read it.
    pub(crate) fn encoded(&self) -> Option<Bytes> {
        let in_force = self.0.as_ref()?;
        let encoded = in_force.encoded.get_or_init(|| {
            let wire = ObjectWire::from(in_force.object.clone());
            Response::json(200, &wire).body
        });
        Some(encoded.clone())
    }
}
