//! Reasons for which the backend server gets no new work, and the notices that ask callers to move their open flows.

use std::{fmt, rc::Rc, time::Duration};

use rand::seq::SliceRandom;

use crate::{
    agent::{Agent, flow},
    protocol::request::{self, Notice},
    state::service::Id,
    transport::quic,
};

/// Time over which the notices of one service are spread, so that the callers do not all reconnect at once.
const NOTICE_SPREAD: Duration = Duration::from_secs(1);

/// Why an agent takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The agent is stopping.
    Stop,
    /// The backend server is draining.
    Backend,
    /// The backend server does not answer.
    Unreachable,
    /// The configuration does not select this agent for the service.
    NotSelected,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stop => "agent is stopping",
            Self::Backend => "backend server is draining",
            Self::Unreachable => "backend server is unreachable",
            Self::NotSelected => "agent is not selected",
        })
    }
}

/// Asks the callers of a service to move their flows, in random order and spread over [`NOTICE_SPREAD`].
pub(super) async fn notify_callers(agent: Rc<Agent>, service: Id, reason: Reason) {
    let mut flows = agent.flows.take_unnotified(service);
    if flows.is_empty() {
        return;
    }
    log::info!(
        event = "drain.move", service:% = service, flows = flows.len(), reason:% = reason,
        revision = agent.replica.snapshot().revision; "asking callers to move"
    );
    flows.shuffle(&mut rand::rng());
    let interval = NOTICE_SPREAD / u32::try_from(flows.len()).unwrap_or(u32::MAX);
    for flow in flows {
        monoio::spawn(notify_caller(flow, reason));
        monoio::time::sleep(interval).await;
    }
}

async fn notify_caller(flow: Rc<flow::Flow>, reason: Reason) {
    if let Err(error) = send_notice(&flow, reason).await {
        log::debug!(event = "drain.notice_failed", flow = flow.id, error:% = error; "cannot send a notice to move");
    }
}

async fn send_notice(flow: &flow::Flow, reason: Reason) -> Result<(), quic::Error> {
    let existing = flow.notices.take();
    let mut sender = match existing {
        Some(sender) => sender,
        None => flow.connection.open_uni().await?,
    };
    let notice = Notice::Move {
        reason: reason.to_string(),
    };
    sender.write(&request::encode(&notice)).await?;
    flow.notices.set(Some(sender));
    Ok(())
}
