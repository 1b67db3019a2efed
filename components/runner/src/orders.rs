//! The interface to executors.

use async_trait::async_trait;
use runs::{
    Executor,
    action::{Poll, Start},
    executor::{Listing, Response, StartResponse},
    job::Run,
};

/// Sends orders to executors. Each call ends within a time limit of its own.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Starts a run.
    async fn start(&self, executor: &Executor, start: &Start) -> StartResponse;

    /// Stops a run.
    async fn stop(&self, executor: &Executor, run: &Run, token: u64) -> Response<()>;

    /// Polls an executor for its listing and renews its lease.
    async fn poll(&self, executor: &Executor, poll: &Poll) -> Response<Listing>;
}
