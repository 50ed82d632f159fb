//! The settings while the gateway runs: some change with their file.

use std::cell::RefCell;
use std::rc::Rc;

use pomeloridge_base::settings::{Checked, Setting};

/// Settings that change without a restart; the others belong to what is set up at the
/// start, or must be the same on all nodes at a time.
const LIVE: [(&str, &str); 8] = [
    ("peers", "pause_ms"),
    ("peers", "fan_out"),
    ("platform", "watch_ms"),
    ("repeats", "ratio"),
    ("repeats", "slack"),
    ("repeats", "window_s"),
    ("stop", "unready_ms"),
    ("usage", "late_s"),
];

/// Reads and checks the file again; an error is what is wrong with it.
pub type ReloadSettings = Box<dyn Fn() -> Result<Checked, String>>;

/// The settings in force, and where newer ones come from.
pub(crate) struct LiveSettings {
    current: RefCell<Rc<Checked>>,
    read: ReloadSettings,
    /// What was last found wrong or held back, so that it is logged once.
    noted: RefCell<String>,
}

impl LiveSettings {
    pub(crate) fn new(settings: Checked, read: ReloadSettings) -> Self {
        Self {
            current: RefCell::new(Rc::new(settings)),
            read,
            noted: RefCell::default(),
        }
    }

    /// The settings in force.
    pub(crate) fn current(&self) -> Rc<Checked> {
        Rc::clone(&self.current.borrow())
    }

    /// Reads the file and applies what has changed; `asked` logs also if nothing has.
    pub(crate) fn reload(&self, asked: bool) {
        let newer = match (self.read)() {
            Ok(newer) => newer,
            Err(fault) => {
                if self.is_news(&fault) || asked {
                    log::error!("reload outcome=kept reason=\"{fault}\"");
                }
                return;
            }
        };
        let update = self.current().update(&newer, is_live);
        let held = update.held.join(",");
        let applied = update.applied.join(",");
        if self.is_news(&held) || !applied.is_empty() || asked {
            log::info!("reload outcome=read applied=[{applied}] held_for_restart=[{held}]");
        }
        *self.current.borrow_mut() = Rc::new(update.settings);
    }

    fn is_news(&self, note: &str) -> bool {
        let before = self.noted.replace(note.to_owned());
        before != note
    }
}

fn is_live(setting: &Setting) -> bool {
    LIVE.contains(&(setting.section, setting.key))
}
