//! The executor threads on which all async tasks of the process run.

use std::{future::Future, num::NonZeroUsize};
use trillium_smol::async_global_executor::{self, GlobalExecutorConfig};

/// Sets the number of executor threads. Has an effect only once in a process and before the first
/// task is spawned.
pub fn set_threads(threads: NonZeroUsize) {
    let count = threads.get();
    let config = GlobalExecutorConfig::default().with_min_threads(count).with_max_threads(count);
    async_global_executor::init_with_config(config);
}

/// Spawns a detached task.
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(task).detach();
}
