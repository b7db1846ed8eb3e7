//! Steering of opaque flows. The client and the backend server hold the state of such a flow; the system only forwards
//! its packets.
//!
//! A [`balancer`] places the first packet of a flow and caches the chosen agent. An [`agent`] tracks the flows of its
//! local backend server. It finds the owner of any other flow by a [`mod@pointer`] or by a [`search`] among its peers, the
//! other agents of the same service. All nodes know one another ([`member`]) and the routes ([`route`]), and tell one another
//! since when those are known to be the newest ([`freshness`]).

pub mod admission;
pub mod agent;
pub mod announcement;
pub mod audience;
pub mod backend;
pub mod balancer;
pub mod coverage;
pub mod discovery;
pub mod era;
pub mod evacuation;
pub mod evidence;
pub mod freshness;
pub mod member;
pub mod overflow;
pub mod placement;
pub mod pointer;
pub mod probe;
pub mod rank;
pub mod report;
pub mod route;
pub mod search;
pub mod segment;
pub mod table;
pub mod view;
pub mod warm_up;
