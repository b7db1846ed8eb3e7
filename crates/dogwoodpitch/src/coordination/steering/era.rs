//! Tells when the store has come back from an older copy of its data.

use crate::{
    coordination::{kv::Answer, steering::node::Node},
    state::steering::era::Era,
};

/// Returns the value of an answer of the store, and the era in which it holds.
pub(super) fn record_answer<T>(node: &Node, call: &'static str, answer: Answer<T>) -> (T, Option<Era>) {
    let era = match answer.era {
        Ok(era) => era,
        Err(reason) => {
            metrics::counter!("dogwoodpitch_store_era_unknown_total").increment(1);
            if node.is_first_rejection(&reason) {
                log::warn!(event = "store.era_unknown", call, reason; "answer of the store does not tell its era");
            }
            return (answer.value, node.era.get());
        }
    };
    match node.era.get() {
        None => log::info!(event = "store.era", call, era = era.0; "first era of the store that is known"),
        Some(known) if era > known => {
            metrics::counter!("dogwoodpitch_store_restores_total").increment(1);
            log::warn!(
                event = "store.restored", call, era = era.0, before = known.0;
                "the store has come back from an older copy of its data"
            );
        }
        Some(known) if era < known => log::warn!(
            event = "store.outdated_answer", call, era = era.0, known = known.0;
            "answer of an earlier era of the store"
        ),
        Some(_) => {}
    }
    if node.era.get().is_none_or(|known| known < era) {
        node.era.set(Some(era));
        #[expect(clippy::cast_precision_loss, reason = "a store has far fewer than 2^52 eras")]
        metrics::gauge!("dogwoodpitch_store_era").set(era.0 as f64);
    }
    (answer.value, Some(era))
}
