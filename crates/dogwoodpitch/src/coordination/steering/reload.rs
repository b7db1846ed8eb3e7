//! Reads the settings again while the process runs.

use std::rc::Rc;

use crate::coordination::steering::{Settings, node::Node};

/// Ticks between two reads of the settings without a signal.
const READ_TICKS: u64 = 20;

/// Reads the settings after a signal, and now and then without one. Seeds and the stop timeout change at once. A change of
/// anything that sockets or the identity depend on stops the process gracefully, and the next one starts with it.
pub(super) fn tick(node: &Rc<Node>, count: u64) {
    let signalled = node.reload.take();
    if !signalled && !count.is_multiple_of(READ_TICKS) {
        return;
    }
    let settings = match (node.platform.reload)() {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(event = "settings.invalid", error; "settings cannot be used; the last ones stay");
            return;
        }
    };
    let present = node.live.borrow().clone();
    if settings == present {
        if signalled {
            log::info!(event = "settings.reloaded", changed = false; "settings read again");
        }
        return;
    }
    let restart = !is_live_change(&settings, &present);
    log::info!(event = "settings.reloaded", changed = true, restart; "settings read again");
    node.live.replace(settings);
    if restart {
        node.termination.request();
    }
}

fn is_live_change(settings: &Settings, present: &Settings) -> bool {
    let same = Settings {
        seeds: present.seeds.clone(),
        stop_timeout_s: present.stop_timeout_s,
        memory_mb: present.memory_mb,
        ..settings.clone()
    };
    same == *present
}
