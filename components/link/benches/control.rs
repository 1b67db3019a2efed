//! Cost of a connection: `cargo bench -p link --bench control`.
//!
//! Prints the bytes per second of an idle connection and of one that carries heartbeats, then the
//! round-trip time and the throughput of small messages over loopback.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Peer, pair};
use dispatch::{Message, message::Heartbeat};
use link::{Traffic, tls::issue::Authority};
use site::unit::Revision;
use smol::{Timer, block_on};
use std::time::{Duration, Instant};

const MEASURED_TIME: Duration = Duration::from_secs(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ROUND_TRIPS: u64 = 10_000;
const MESSAGES: u64 = 300_000;

fn main() {
    block_on(async {
        let authority = Authority::create().expect("an authority");
        let (one, two) = pair(&authority).await;
        // Waits for the end of path MTU discovery.
        Timer::after(Duration::from_secs(2)).await;
        idle(&one).await;
        heartbeats(&one, &two).await;
        round_trips(&one, &two).await;
        rate(&one, &two).await;
    });
}

async fn idle(one: &Peer) {
    let before = one.node.traffic();
    Timer::after(MEASURED_TIME).await;
    print("idle", before, one.node.traffic());
}

async fn heartbeats(one: &Peer, two: &Peer) {
    let beat = Message::Heartbeat(Heartbeat {
        revision: Revision(1_000),
        epoch: 100,
        draining: false,
        adopted: vec![],
    });
    let (before, started) = (one.node.traffic(), Instant::now());
    while started.elapsed() < MEASURED_TIME {
        one.node.send(two.home, &beat).expect("it is connected");
        two.node.send(one.home, &beat).expect("it is connected");
        Timer::after(HEARTBEAT_INTERVAL).await;
        one.next().await;
        two.next().await;
    }
    print("heartbeats", before, one.node.traffic());
}

fn print(name: &str, before: Traffic, after: Traffic) {
    let rate = |before: u64, after: u64| (after - before) as f64 / MEASURED_TIME.as_secs_f64();
    println!(
        "{name}: {:.0} B/s out, {:.0} B/s in as UDP payload; {:.0} B/s of frames out",
        rate(before.datagram_bytes_out, after.datagram_bytes_out),
        rate(before.datagram_bytes_in, after.datagram_bytes_in),
        rate(before.bytes_out, after.bytes_out),
    );
}

async fn round_trips(one: &Peer, two: &Peer) {
    let mut times = Vec::new();
    for number in 0..ROUND_TRIPS {
        let started = Instant::now();
        one.send(two, number);
        two.message().await;
        two.send(one, number);
        one.message().await;
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
    println!("round trip: median {:?}, 99th {:?}, worst {:?}", at(0.5), at(0.99), at(1.0));
}

async fn rate(one: &Peer, two: &Peer) {
    let started = Instant::now();
    let sender = async {
        for number in 0..MESSAGES {
            one.send(two, number);
        }
    };
    let receiver = async {
        for number in 0..MESSAGES {
            assert_eq!(two.message().await.1, number);
        }
    };
    futures_lite::future::zip(sender, receiver).await;
    let rate = MESSAGES as f64 / started.elapsed().as_secs_f64();
    println!("{MESSAGES} small messages in order: {rate:.0}/s");
}
