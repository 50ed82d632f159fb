//! The active configuration: the highest version that was ever read, from the object service
//! or a peer. Versions may be read late, repeatedly and in any order.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use pomeloridge_base::http::Response;
use pomeloridge_platform::{Object, ObjectWire};

use crate::config::ServingConfig;

/// A configuration with the object that it was decoded from.
#[derive(Debug)]
struct ActiveVersion {
    config: Rc<ServingConfig>,
    object: Object,
    /// The object encoded for peers, after the first peer has read it.
    encoded: OnceCell<Bytes>,
}

/// The outcome of adopting a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is now active, in place of this version.
    Adopted(Option<u64>),
    /// The active version is the same or newer.
    NotNewer,
}

/// Holds the active configuration.
#[derive(Debug, Default)]
pub struct ActiveConfig(Option<ActiveVersion>);

impl ActiveConfig {
    /// Activates a configuration if its version is newer than the active one.
    pub fn adopt(&mut self, config: ServingConfig, object: Object) -> AdoptOutcome {
        let known = self.0.as_ref().map(|active| active.config.version);
        if known.is_some_and(|known| known >= config.version) {
            return AdoptOutcome::NotNewer;
        }
        self.0 = Some(ActiveVersion {
            config: Rc::new(config),
            object,
            encoded: OnceCell::new(),
        });
        AdoptOutcome::Adopted(known)
    }

    /// Returns the active configuration, or `None` until one has been read.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        let active = self.0.as_ref()?;
        Some(Rc::clone(&active.config))
    }

    /// Returns the object of the active configuration, encoded for peers.
    pub(crate) fn encoded(&self) -> Option<Bytes> {
        let active = self.0.as_ref()?;
        let encoded = active.encoded.get_or_init(|| {
            let wire = ObjectWire::from(active.object.clone());
            Response::json(200, &wire).body
        });
        Some(encoded.clone())
    }
}
