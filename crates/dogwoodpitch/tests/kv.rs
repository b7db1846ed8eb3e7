//! Hedged reads of a store that does not reply for a while.

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

/// Store that replies to its `replies_from`-th call and later ones, and leaves earlier ones pending.
fn silent_store(replies_from: u32, calls: &Rc<Cell<u32>>) -> Reply<u32> {
    calls.set(calls.get() + 1);
    let call = calls.get();
    Box::pin(async move {
        if call < replies_from {
            time::sleep_until(Instant::now() + Duration::from_mins(10)).await;
        }
        Ok(call)
    })
}

/// Guards against nodes without routes after an outage of the store: with one pending read each, all processes that started
/// during the outage stayed without routes for a second after it (found on day trouble-3 of site kalo-workshop-grown).
#[test]
fn a_read_is_tried_again_while_the_first_one_is_pending() {
    let calls = Rc::new(Cell::new(0));
    let deadline = Instant::now() + Duration::from_mins(1);
    let read = kv::read_hedged(|| silent_store(3, &calls), INTERVAL, deadline);
    assert_eq!(runtime::open().unwrap().block_on(read).unwrap(), 3);
}

/// Guards against calling a store that refuses immediately in a tight loop.
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
