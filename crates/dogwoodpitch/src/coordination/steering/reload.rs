//! Reloads the settings at run time.

use std::rc::Rc;

use crate::coordination::steering::{Settings, node::Node};

/// Ticks between reloads without a signal.
const RELOAD_TICKS: u64 = 20;

/// Reloads the settings after a signal and every [`RELOAD_TICKS`]. Seeds, the stop timeout and the overflow take effect immediately. A
/// change of anything that the sockets or the identity depend on stops the process gracefully; its successor starts with
/// the new settings.
pub(super) fn reload_if_due(node: &Rc<Node>, ticks: u64) {
    let signalled = node.reload.take();
    if !signalled && !ticks.is_multiple_of(RELOAD_TICKS) {
        return;
    }
    let settings = match (node.platform.reload)() {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(event = "settings.invalid", error; "invalid settings ignored; the current ones stay");
            return;
        }
    };
    let current = node.live_settings.borrow().clone();
    if settings == current {
        if signalled {
            log::info!(event = "settings.reloaded", changed = false; "settings reloaded");
        }
        return;
    }
    let restart = !is_live_change(&settings, &current);
    log::info!(event = "settings.reloaded", changed = true, restart; "settings reloaded");
    node.live_settings.replace(settings);
    if restart {
        node.termination.request();
    }
}

/// Whether the settings differ only in fields that can change without a restart.
fn is_live_change(settings: &Settings, current: &Settings) -> bool {
    let same = Settings {
        seeds: current.seeds.clone(),
        stop_timeout_s: current.stop_timeout_s,
        memory_mb: current.memory_mb,
        overflow: current.overflow,
        tolerated_data_centre_losses: current.tolerated_data_centre_losses,
        ..settings.clone()
    };
    same == *current
}
