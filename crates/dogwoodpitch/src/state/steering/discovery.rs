//! Discovery of nodes by one another.
//!
//! When n nodes start together, each finds all others in the store within the same few milliseconds. A request for a
//! report is therefore answered with the state of one node only. Lists of nodes, whose size grows with the fleet, are
//! sent only to nodes that request them because they cannot rely on the store.

/// Membership message from one node to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// State of the sender.
    Report,
    /// State of the sender, which requests a report in return.
    ReportRequest,
    /// Requests the nodes that the receiver knows.
    NodeListRequest,
    /// Nodes that the sender knows.
    NodeList,
}

/// Reply to a message, if it needs one. `new` says that the sender was unknown before or runs as a new process.
pub fn reply(message: Message, new: bool) -> Option<Message> {
    match message {
        Message::Report if new => Some(Message::Report),
        Message::Report | Message::NodeList => None,
        Message::ReportRequest => Some(Message::Report),
        Message::NodeListRequest => Some(Message::NodeList),
    }
}
