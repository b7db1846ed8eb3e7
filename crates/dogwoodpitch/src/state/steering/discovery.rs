//! How nodes get to know one another.
//!
//! Answers a mass start: each of n nodes finds all others in the store within the same few milliseconds. A greeting is
//! therefore answered with the own state only. Lists of nodes, which grow with the fleet, go to those that ask for them,
//! because they cannot rely on the store.

/// What one node says to another about the nodes of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// State of the sender.
    Report,
    /// State of the sender, which asks for the receiver's.
    ReportRequest,
    /// Asks for the nodes that the receiver knows.
    NodeListRequest,
    /// Nodes that the sender knows.
    NodeList,
}

/// Answer to a message. `new` tells whether the sender was not known before, or runs as a new process.
pub fn reply(message: Message, new: bool) -> Option<Message> {
    match message {
        Message::Report if new => Some(Message::Report),
        Message::Report | Message::NodeList => None,
        Message::ReportRequest => Some(Message::Report),
        Message::NodeListRequest => Some(Message::NodeList),
    }
}
