//! Timers complete in order, never early, and only while they are waited for.

use smol::{block_on, future, lock::Mutex};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use timer::{Deadline, after, tick};

const FAR: Duration = Duration::from_secs(3_600);

#[test]
fn none_completes_early() {
    for ms in [0, 1, 19, 20, 21, 55] {
        let span = Duration::from_millis(ms);
        let begun = Instant::now();
        block_on(after(span));
        assert!(begun.elapsed() >= span, "{ms} ms");
    }
}

#[test]
fn the_earlier_one_completes_first() {
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
fn one_that_is_moved_completes_by_its_new_moment() {
    let mut far = Deadline::at(Instant::now() + FAR);
    block_on(async {
        assert!(future::poll_once(&mut far).await.is_none());
        far.set(Instant::now());
        (&mut far).await;
        // It may be used again.
        let at = Instant::now() + Duration::from_millis(30);
        far.set(at);
        far.await;
        assert!(Instant::now() >= at);
    });
}

#[test]
fn one_that_is_moved_away_does_not_complete() {
    let mut near = tick();
    block_on(async {
        assert!(future::poll_once(&mut near).await.is_none());
        near.set(Instant::now() + FAR);
        // Several ticks.
        after(Duration::from_millis(60)).await;
        assert!(future::poll_once(&mut near).await.is_none());
    });
}

#[test]
fn a_task_that_takes_a_timer_over_is_woken() {
    let mut moved = tick();
    block_on(async {
        assert!(future::poll_once(&mut moved).await.is_none());
    });
    block_on(smol::spawn(moved));
}
