//! The open connections of clients: which may still be owed an answer, and which gives way when sockets run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::connection::{Link, connection};
use super::shutdown::Phase;
use crate::driver::Driver;

/// The callers' connections.
pub(super) struct Callers {
    pub(super) driver: Rc<Driver>,
    pub(super) phases: watch::Receiver<Phase>,
    /// By the order of their coming.
    pub(super) links: RefCell<BTreeMap<u64, Rc<Link>>>,
    pub(super) next: Cell<u64>,
    /// After SIGTERM: when what still comes must be answered.
    pub(super) last: Cell<Option<Instant>>,
}

impl Callers {
    pub(super) fn accept(self: &Rc<Self>, stream: TcpStream) {
        if self.driver.pool().crowded() {
            self.make_room();
        }
        let link = Rc::new(Link::new(stream));
        let number = self.next.get();
        self.next.set(number + 1);
        self.links.borrow_mut().insert(number, Rc::clone(&link));
        // Counted from here on, or a burst of connections would not see itself.
        let permit = self.driver.pool().reserved_permit();
        let callers = Rc::clone(self);
        spawn_local(async move {
            connection(&callers, &link).await;
            callers.links.borrow_mut().remove(&number);
            drop((link, permit));
        });
    }

    /// Closes the connection that has stood idle for longest: a caller's, which costs it a new one at most,
    /// or else one to an upstream. One on which a request has begun to come goes last.
    pub(super) fn make_room(&self) {
        let links = self.links.borrow();
        let idle = links.values().filter(|link| !link.busy.get() && !link.evicted.get());
        if let Some(link) = idle.min_by_key(|link| (link.socket.head_since().is_some(), link.since.get())) {
            // Marked, so that the next in need finds another.
            link.evicted.set(true);
            link.close.notify_one();
        } else {
            self.driver.pool().make_room();
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.last.get().is_some()
    }

    /// Connections on which an answer may still be owed, and those of them in a request.
    fn owed(&self) -> (usize, usize) {
        let links = self.links.borrow();
        let used = links.values().filter(|link| link.used.get());
        (used.clone().count(), used.filter(|link| link.busy.get()).count())
    }

    pub(super) fn log_drain(&self, stopped: Instant) {
        let ((open, busy), since) = (self.owed(), stopped.elapsed());
        crate::log(format_args!(
            "{} ms into the drain: {open} callers, {busy} in a request",
            since.as_millis()
        ));
    }
}
