//! Settings in force while the gateway runs; some can be reloaded from their file.

use std::cell::RefCell;
use std::rc::Rc;

use pomeloridge_base::settings::{Setting, SettingValues};

/// Settings that can change without a restart. The others configure what is set up at the
/// start, or must be the same on all nodes at any time.
const RELOADABLE: [(&str, &str); 12] = [
    ("hedge", "most"),
    ("hedge", "share"),
    ("operator", "tokens"),
    ("peers", "pause_ms"),
    ("peers", "fan_out"),
    ("platform", "watch_ms"),
    ("repeats", "ratio"),
    ("repeats", "slack"),
    ("repeats", "window_s"),
    ("stop", "grace_s"),
    ("stop", "unready_ms"),
    ("usage", "late_s"),
];

/// Reads and validates the settings file again; an error describes what is wrong with it.
pub type ReloadSettings = Box<dyn Fn() -> Result<SettingValues, String>>;

/// The settings in force, with the function that reloads them.
pub(crate) struct LiveSettings {
    current: RefCell<Rc<SettingValues>>,
    reload: ReloadSettings,
    /// Last logged fault or held-back settings, so that each is logged only once.
    last_reported: RefCell<String>,
}

impl LiveSettings {
    pub(crate) fn new(settings: SettingValues, reload: ReloadSettings) -> Self {
        Self {
            current: RefCell::new(Rc::new(settings)),
            reload,
            last_reported: RefCell::default(),
        }
    }

    /// Returns the settings in force.
    pub(crate) fn current(&self) -> Rc<SettingValues> {
        Rc::clone(&self.current.borrow())
    }

    /// Reloads the settings and applies the changes. The result is logged if it is new, or always
    /// if the reload was `requested`.
    pub(crate) fn reload(&self, requested: bool) {
        let newer = match (self.reload)() {
            Ok(newer) => newer,
            Err(fault) => {
                if self.is_new(&fault) || requested {
                    log::error!("reload outcome=kept reason=\"{fault}\"");
                }
                return;
            }
        };
        let update = self.current().update(&newer, is_reloadable);
        let held = update.needs_restart.join(",");
        let applied = update.applied.join(",");
        if self.is_new(&held) || !applied.is_empty() || requested {
            log::info!("reload outcome=read applied=[{applied}] held_for_restart=[{held}]");
        }
        *self.current.borrow_mut() = Rc::new(update.settings);
    }

    fn is_new(&self, message: &str) -> bool {
        let previous = self.last_reported.replace(message.to_owned());
        previous != message
    }
}

fn is_reloadable(setting: &Setting) -> bool {
    RELOADABLE.contains(&(setting.section, setting.key))
}
