//! Wakes tasks that wait for a change of shared state.

use std::{cell::RefCell, future::poll_fn, task::Poll, task::Waker};

use slotmap::{DefaultKey, SlotMap};

/// Tasks that wait for a change.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    waiting: RefCell<SlotMap<DefaultKey, Waker>>,
}

/// Entry of one waiting task. It is removed with the future, so that finished requests leave nothing behind.
struct Entry<'a> {
    notify: &'a Notify,
    key: Option<DefaultKey>,
}

impl Notify {
    /// Wakes all waiting tasks.
    pub(crate) fn notify_waiters(&self) {
        let wakers: Vec<_> = self.waiting.borrow().values().cloned().collect();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until `ready` gives a value; it is called again after each notification.
    pub(crate) async fn wait<T>(&self, mut ready: impl FnMut() -> Option<T>) -> T {
        let mut entry = Entry {
            notify: self,
            key: None,
        };
        poll_fn(|cx| {
            if let Some(value) = ready() {
                return Poll::Ready(value);
            }
            entry.register(cx.waker());
            Poll::Pending
        })
        .await
    }
}

impl Entry<'_> {
    fn register(&mut self, waker: &Waker) {
        let mut waiting = self.notify.waiting.borrow_mut();
        match self.key.and_then(|key| waiting.get_mut(key)) {
            Some(known) => known.clone_from(waker),
            None => self.key = Some(waiting.insert(waker.clone())),
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.notify.waiting.borrow_mut().remove(key);
        }
    }
}
