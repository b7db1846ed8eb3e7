//! Reads of a store that is silent for a while.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    coordination::{
        kv::{self, Reply},
        store::Error,
    },
    transport::{runtime, time},
};

const INTERVAL: Duration = Duration::from_millis(100);

/// Store that answers from its `answers_from`-th call on, and never before.
fn silent_store(answers_from: u32, calls: &Rc<Cell<u32>>) -> Reply<u32> {
    calls.set(calls.get() + 1);
    let call = calls.get();
    Box::pin(async move {
        if call < answers_from {
            time::sleep_until(Instant::now() + Duration::from_mins(10)).await;
        }
        Ok(call)
    })
}

/// kalo-workshop-grown trouble-3: all processes were killed while the store was silent. Each had one read pending, so for a
/// second after the store's return nobody had routes.
#[test]
fn a_read_is_tried_again_while_the_first_one_is_pending() {
    let calls = Rc::new(Cell::new(0));
    let deadline = Instant::now() + Duration::from_mins(1);
    let read = kv::read_hedged(|| silent_store(3, &calls), INTERVAL, deadline);
    assert_eq!(runtime::open().unwrap().block_on(read).unwrap(), 3);
}

/// A store that refuses at once must not be called in a tight loop.
#[test]
fn refused_reads_are_not_repeated_at_once() {
    let calls = Rc::new(Cell::new(0_u32));
    let refuse = || -> Reply<()> {
        calls.set(calls.get() + 1);
        Box::pin(async {
            Err(Error::Unavailable {
                text: "refused".to_owned(),
            })
        })
    };
    let read = kv::read_hedged(refuse, INTERVAL, Instant::now() + 5 * INTERVAL);
    assert!(runtime::open().unwrap().block_on(read).is_err());
    assert!(calls.get() <= 5, "{} calls", calls.get());
}
