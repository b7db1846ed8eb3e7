//! Data model and decisions. No I/O happens in this layer, and time is always passed in.

pub mod budget;
pub mod config;
pub mod index;
pub mod label;
pub mod load;
pub mod roster;
pub mod selector;
pub mod service;
