//! Weighted fair queueing of tasks: firms share capacity by weight, and the crews of a firm share
//! the firm's capacity by weight. The jobs of a crew are served by size and age, so that small ones
//! overtake large ones and no job starves; a job's tasks are served in order.
//!
//! The firm and crew with the fewest running tasks relative to weight are served first. Ties are
//! broken by start-time fair queueing (Goyal, Vin and Cheng, 1996). Nothing reads a clock.

mod key;
mod level;
mod member;
mod queue;
mod virtual_time;

pub use key::{JobKey, Key};
pub use queue::Queue;
