//! Data model and decision logic. This layer does no I/O, and callers pass in the current time.

pub mod admission;
pub mod budget;
pub mod config;
pub mod estimate;
pub mod expiry;
pub mod index;
pub mod label;
pub mod liveness;
pub mod load;
pub mod placement;
pub mod roster;
pub mod route;
pub mod selector;
pub mod service;
pub mod steering;
pub mod throttle;
