//! Steering of opaque flows: flows that a client and a backend server keep between themselves, and whose packets the
//! system only carries.
//!
//! A [`balancer`] places the first packet of a flow and remembers the agent. An [`agent`] knows the flows of the backend
//! server beside it, and finds the owner of any other packet by a pointer or by a search among its siblings, the agents of
//! the same service. All nodes know one another ([`member`]) and the routes ([`route`]).

pub mod admission;
pub mod agent;
pub mod backend;
pub mod balancer;
pub mod discovery;
pub mod member;
pub mod placement;
pub mod pointer;
pub mod probe;
pub mod rank;
pub mod report;
pub mod route;
pub mod search;
pub mod segment;
pub mod table;
