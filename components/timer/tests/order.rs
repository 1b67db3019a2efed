//! Timers complete in order and never early, and can be reset and moved to another task.

use smol::{block_on, future, lock::Mutex};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use timer::{Deadline, after, next_tick};

const FAR_DELAY: Duration = Duration::from_secs(3_600);

#[test]
fn no_timer_completes_early() {
    for ms in [0, 1, 19, 20, 21, 55] {
        let span = Duration::from_millis(ms);
        let begun = Instant::now();
        block_on(after(span));
        assert!(begun.elapsed() >= span, "{ms} ms");
    }
}

#[test]
fn timers_complete_in_the_order_of_their_deadlines() {
    let order = Arc::new(Mutex::new(Vec::new()));
    let wait = |name, ms| {
        let order = order.clone();
        smol::spawn(async move {
            after(Duration::from_millis(ms)).await;
            order.lock().await.push(name);
        })
    };
    let waits = [wait("third", 160), wait("first", 0), wait("second", 80)];
    block_on(async {
        for wait in waits {
            wait.await;
        }
    });
    assert_eq!(*block_on(order.lock()), ["first", "second", "third"]);
}

#[test]
fn a_timer_reset_to_an_earlier_time_completes_then() {
    let mut far = Deadline::at(Instant::now() + FAR_DELAY);
    block_on(async {
        assert!(future::poll_once(&mut far).await.is_none());
        far.reset(Instant::now());
        (&mut far).await;
        // It can be reset after it has completed.
        let at = Instant::now() + Duration::from_millis(30);
        far.reset(at);
        far.await;
        assert!(Instant::now() >= at);
    });
}

#[test]
fn a_timer_reset_to_a_later_time_does_not_complete() {
    let mut near = next_tick();
    block_on(async {
        assert!(future::poll_once(&mut near).await.is_none());
        near.reset(Instant::now() + FAR_DELAY);
        // Several tick intervals.
        after(Duration::from_millis(60)).await;
        assert!(future::poll_once(&mut near).await.is_none());
    });
}

#[test]
fn a_timer_wakes_the_task_that_it_was_moved_to() {
    let mut moved = next_tick();
    block_on(async {
        assert!(future::poll_once(&mut moved).await.is_none());
    });
    block_on(smol::spawn(moved));
}
