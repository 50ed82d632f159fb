//! Node settings.
