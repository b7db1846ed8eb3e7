//! How nodes get to know one another.
//!
//! Answers a mass start: each of n nodes finds all others in the store within the same few milliseconds. A greeting is
//! therefore answered with the own state only. Lists of nodes, which grow with the fleet, go to those that ask for them,
//! because they cannot rely on the store.

/// What one node says to another about the nodes of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// State of the sender.
    Report,
    /// State of the sender, which asks for the receiver's.
    Greeting,
    /// Asks for the nodes that the receiver knows.
    Discovery,
    /// Nodes that the sender knows.
    Nodes,
}

/// Answer to a message. `new` tells whether the sender was not known before, or runs as a new process.
pub fn answer(contact: Contact, new: bool) -> Option<Contact> {
    match contact {
        Contact::Report if new => Some(Contact::Report),
        Contact::Report | Contact::Nodes => None,
        Contact::Greeting => Some(Contact::Report),
        Contact::Discovery => Some(Contact::Nodes),
    }
}
