//! Notification of tasks that wait for a change of shared state.

use std::{cell::RefCell, future::poll_fn, task::Poll, task::Waker};

use slotmap::{DefaultKey, SlotMap};

/// Set of tasks that wait for a change.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    wakers: RefCell<SlotMap<DefaultKey, Waker>>,
}

/// Entry of one waiting task, removed when its future is dropped, so that cancelled waits leave no entries.
struct Waiter<'a> {
    notify: &'a Notify,
    key: Option<DefaultKey>,
}

impl Notify {
    /// Wakes all waiting tasks.
    pub(crate) fn notify_waiters(&self) {
        let wakers: Vec<_> = self.wakers.borrow().values().cloned().collect();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until `ready` returns a value. It is called at first and after each notification.
    pub(crate) async fn wait<T>(&self, mut ready: impl FnMut() -> Option<T>) -> T {
        let mut waiter = Waiter {
            notify: self,
            key: None,
        };
        poll_fn(|cx| {
            if let Some(value) = ready() {
                return Poll::Ready(value);
            }
            waiter.register(cx.waker());
            Poll::Pending
        })
        .await
    }
}

impl Waiter<'_> {
    fn register(&mut self, waker: &Waker) {
        let mut wakers = self.notify.wakers.borrow_mut();
        match self.key.and_then(|key| wakers.get_mut(key)) {
            Some(known) => known.clone_from(waker),
            None => self.key = Some(wakers.insert(waker.clone())),
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.notify.wakers.borrow_mut().remove(key);
        }
    }
}
