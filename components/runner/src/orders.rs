//! The edge towards executors.

use async_trait::async_trait;
use runs::{
    Executor,
    action::{Look, Start},
    executor::{Answered, Lists, Started},
    job::Run,
};

/// Gives orders to executors. Each call ends within a time limit of its own.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Starts a run.
    async fn start(&self, executor: &Executor, start: &Start) -> Started;

    /// Stops a run.
    async fn stop(&self, executor: &Executor, run: &Run, token: u64) -> Answered<()>;

    /// Asks for the executor's lists and renews its lease.
    async fn look(&self, executor: &Executor, look: &Look) -> Answered<Lists>;
}
