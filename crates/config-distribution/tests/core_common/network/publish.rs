//! Simulated origin: publishes one document at a time and writes it to a simulated disk.

use config_distribution::origin::{Accepted, Publication, PublishError};

use super::{Event, Network, ORIGIN};
use crate::core_common::{body, ms};

impl Network {
    /// Starts to write the first publication in the queue, unless a write is in progress. A withdrawal without a
    /// document is dropped from the queue.
    pub(super) fn publish_next(&mut self) {
        while let Some((scope, withdraw)) = self.publish_queue.first().cloned() {
            let request = format!("request {}", self.published).into();
            let body = (!withdraw).then(|| body(self.published));
            let publication = Publication { scope, body, request, if_version: None };
            match self.origin.publish(publication, |_, _| Vec::new()) {
                Ok(Accepted::Write(record)) => {
                    let sync = ms(2) + self.random_duration(ms(30));
                    self.push(ORIGIN, self.now + sync, Event::DiskWriteDone(record.index));
                    return;
                }
                // There is no document to withdraw.
                Err(PublishError::Faults(_)) => {}
                Err(PublishError::Busy) => return,
                other => panic!("publish: expected a write, a fault or Busy, got {other:?}"),
            }
            self.publish_queue.remove(0);
        }
    }

    /// Completes a write, or fails it if the disk is full, and continues with the queue.
    pub(super) fn disk_write_done(&mut self, index: u64) {
        if std::mem::take(&mut self.disk_full) {
            let before = self.origin.state().clone();
            self.origin.not_written(index);
            assert_eq!(*self.origin.state(), before);
            // The publisher repeats the publication.
            return self.publish_next();
        }
        let record = self.origin.pending()[0].clone();
        let before = self.origin.state().index();
        self.records.push(record.clone());
        self.origin.written(index);
        self.publish_queue.remove(0);
        self.published += 1;
        assert_eq!(self.origin.state().index(), before + 1);
        let mut model = self.models[&before].clone();
        if record.document.is_withdrawn() {
            model.remove(&record.document.scope);
        } else {
            model.insert(record.document.scope.clone(), (index, record.document.body));
        }
        self.models.insert(index, model);
        self.nodes[ORIGIN].state = self.origin.state().clone();
        self.update_applied(ORIGIN, true);
        self.publish_next();
    }
}
