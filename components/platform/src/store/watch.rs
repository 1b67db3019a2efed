//! Watches of changes in the store.

use super::{Key, KeyValue, Revision};
use crate::Error;
use smol::{Task, channel::Receiver};

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed.
    Delete(Key),
}

/// A batch of changes, in the order of their revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Revision of the last change. All changes up to it have been reported, so a watch from the
    /// next revision misses none.
    pub revision: Revision,
    /// The changes; not empty.
    pub changes: Vec<Change>,
}

/// An open watch. Dropping it ends the watch.
#[derive(Debug)]
pub struct Watch {
    receiver: Receiver<Result<Changes, Error>>,
    _reader: Task<()>,
}

impl Watch {
    /// Returns a watch whose changes arrive on `receiver`. `reader` is the task that sends them.
    pub fn new(receiver: Receiver<Result<Changes, Error>>, reader: Task<()>) -> Watch {
        Watch { receiver, _reader: reader }
    }

    /// Waits for the next changes. Cancel safe: none are lost when the future is dropped.
    ///
    /// # Errors
    ///
    /// The watch has ended. After [`Error::Unknown`], a lost connection, it may be opened again
    /// from the revision after the last one reported.
    pub async fn next(&self) -> Result<Changes, Error> {
        self.receiver.recv().await.unwrap_or(Err(Error::Unknown))
    }

    /// Returns the channel on which the changes arrive.
    pub fn receiver(&self) -> &Receiver<Result<Changes, Error>> {
        &self.receiver
    }
}
