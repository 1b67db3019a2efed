//! Measures single requests, one at a time, on several paths in turn, so that other load on the
//! machine affects all paths equally.

use crate::{
    caller::{Caller, post},
    child::Process,
    world::{self, World},
};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Number of counted requests per warm-up request. The warm-up requests precede the counted ones.
const WARM_UP_DIVISOR: usize = 10;

/// The header with the submission identifier.
const SUBMISSION_ID_HEADER: &str = "Primrosestep-Id";

/// A measured path: the target of requests and their identifiers.
struct Path {
    name: &'static str,
    caller: Caller,
    /// The home token of the requests' submission identifiers; `None` if they carry none.
    token: Option<String>,
    is_entry: bool,
    times: Vec<Duration>,
}

/// Measures `requests` requests on each path and prints a row for each path.
pub(crate) async fn measure(requests: usize) {
    let one = World::start(1, 1).await;
    let two = World::start(2, 1).await;
    let executor = one.executors.address();
    let hop = Process::spawn(&["--role", "hop", "--target", &executor.to_string()]);
    let token = token(&two).await;
    let home = two.entry_index(&token);
    let other = (home + 1) % two.entries.len();
    let token = Some(token);
    let mut paths = [
        Path::new("direct", Caller::connect(executor).await),
        Path::new("hop, own transport", Caller::connect(hop.addresses[0]).await),
        Path::new("hop, library client", Caller::connect(hop.addresses[1]).await),
        Path { is_entry: true, ..Path::new("one entry", one.caller(0).await) },
        Path::with_token("two entries, at its home", two.caller(home).await, token.clone()),
        Path::with_token("two entries, forwarded", two.caller(other).await, token),
    ];
    for round in 0..requests + requests / WARM_UP_DIVISOR {
        for path in &mut paths {
            let time = path.run().await;
            if round >= requests / WARM_UP_DIVISOR {
                path.times.push(time);
            }
        }
    }
    print(&mut paths);
}

impl Path {
    fn new(name: &'static str, caller: Caller) -> Path {
        Path { name, caller, token: None, is_entry: false, times: Vec::new() }
    }

    fn with_token(name: &'static str, caller: Caller, token: Option<String>) -> Path {
        Path { token, is_entry: true, ..Path::new(name, caller) }
    }

    async fn run(&mut self) -> Duration {
        let id = self.token.as_ref().map(|token| format!("{token}.{}", Uuid::new_v4()));
        let request = match &id {
            Some(id) => {
                world::request(&[(SUBMISSION_ID_HEADER, id), ("Primrosestep-First", "true")])
            }
            None if self.is_entry => world::request(&[]),
            None => post("/templating", &[], &world::body()),
        };
        let start = Instant::now();
        let response = self.caller.exchange(&request).await;
        let time = start.elapsed();
        let problem = String::from_utf8_lossy(&response.body);
        assert_eq!(response.status, 200, "{}: {problem}", self.name);
        time
    }

    /// Returns the given percentile of the response times, in microseconds.
    fn percentile(&self, percent: usize) -> f64 {
        let index = (self.times.len() * percent / 100).min(self.times.len() - 1);
        self.times[index].as_secs_f64() * 1e6
    }
}

/// Returns the token that an entry reports, which is that of the lead entry.
async fn token(world: &World) -> String {
    let response = world.caller(0).await.exchange(&world::request(&[])).await;
    response.header("primrosestep-home").expect("every response holds the token").to_owned()
}

fn print(paths: &mut [Path; 6]) {
    paths.iter_mut().for_each(|path| path.times.sort());
    let [direct, hop, ..] = &*paths;
    let added = |path: &Path, percent| path.percentile(percent) - direct.percentile(percent);
    println!("path                       p50 us  added  of hop   p99 us  added  of hop");
    for path in &*paths {
        print!("{:25}", path.name);
        for percent in [50, 99] {
            let more = added(path, percent);
            let ratio = more / added(hop, percent);
            print!(" {:8.0} {more:6.0} {ratio:6.2}x", path.percentile(percent));
        }
        println!();
    }
}
