//! An executor, as PROTOCOL.md tells it. How long a task works stands in its spec, in words:
//! `work=900` milliseconds on `cpu=27000` thousandths of a core. It enforces its capacity.

use crate::{
    http::{self, Answer, Request},
    json::{Json, quote},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const CAPACITY_CPU: u64 = 64_000;
const MOST_ENDS: usize = 500;

struct Running {
    started: Instant,
    work: Duration,
    cpu: u64,
}

#[derive(Default)]
struct State {
    token: u64,
    deadline: u64,
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    latest_end: u64,
    /// The highest run of each task that has been stopped or has ended here.
    over: BTreeMap<String, u64>,
}

struct Shared {
    name: String,
    began: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

pub struct Setup<'s> {
    pub name: &'s str,
    pub service: &'s str,
    pub zone: &'s str,
    pub rack: &'s str,
}

/// Starts an executor that registers itself in the store.
pub fn start(setup: &Setup, at: SocketAddr, store: &Store, record: &Record) -> io::Result<()> {
    let shared = Arc::new(Shared {
        name: setup.name.to_owned(),
        began: Instant::now(),
        record: record.clone(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let serving = shared.clone();
    let address = http::serve(at, move |request| serving.respond(&request))?;
    let ticking = shared.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            ticking.tick();
        }
    });
    let (store, key) = (store.clone(), format!("servers/{}", setup.name));
    let (service, zone, rack) =
        (setup.service.to_owned(), setup.zone.to_owned(), setup.rack.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":\
                 {CAPACITY_CPU},\"mem_mb\":262144,\"gpu\":0}},\"labels\":[\"a\",{}],\"clock_ms\":\
                 {},\"sequence\":{sequence}}}",
                quote(&service),
                quote(&zone),
                quote(&rack),
                shared.clock()
            );
            store.put(&key, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    Ok(())
}

impl Shared {
    fn clock(&self) -> u64 {
        480_000 + self.began.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let lapsed = self.clock() > state.deadline;
        let over: Vec<_> = state
            .running
            .iter()
            .filter_map(|(run, running)| match running.started.elapsed() >= running.work {
                true => Some((run.clone(), "done")),
                false => lapsed.then(|| (run.clone(), "lapsed")),
            })
            .collect();
        for (run, how) in over {
            self.end(&mut state, run, how);
        }
    }

    fn end(&self, state: &mut State, (task, run): (String, u64), how: &'static str) {
        state.running.remove(&(task.clone(), run));
        state.latest_end += 1;
        let highest = state.over.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.record.note(format!("end    {} {task} run {run} {how}", self.name));
        let number = state.latest_end;
        state.ended.push((number, task, run, how));
        self.changed.notify_all();
    }

    fn respond(&self, request: &Request) -> Answer {
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if request.header("X-Expected-Instance").is_some_and(|name| name != self.name) {
            return Some((421, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".to_owned())) };
        let token = body.int("fencing_token").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/-/run-start" => self.run_start(&mut state, &body),
            "/-/run-stop" => {
                let run = (body.text("task")?.to_owned(), body.int("run")?);
                match state.running.contains_key(&run) {
                    true => self.end(&mut state, run, "stopped"),
                    false => {
                        let highest = state.over.entry(run.0).or_default();
                        *highest = run.1.max(*highest);
                    }
                }
                Some((200, format!("{{\"clock_ms\":{}}}", self.clock())))
            }
            "/-/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        Some((409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock())))
    }

    fn extend(&self, state: &mut State, deadline: u64) {
        state.deadline = state.deadline.max(deadline.min(self.clock() + HOLD_MAX_MS));
    }

    fn run_start(&self, state: &mut State, body: &Json) -> Answer {
        let (task, run) = (body.text("task")?.to_owned(), body.int("run")?);
        let (spec, deadline) = (body.text("spec")?, body.int("deadline_ms")?);
        if state.running.contains_key(&(task.clone(), run)) {
            self.extend(state, deadline);
            return Some((200, format!("{{\"clock_ms\":{}}}", self.clock())));
        }
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, deadline);
        if state.over.get(&task).is_some_and(|highest| run <= *highest) {
            return self.refuse("old");
        }
        let word = |name: &str| {
            spec.split(' ').filter_map(|word| word.split_once('=')).find(|(n, _)| *n == name)
        };
        let number = |name: &str| word(name).and_then(|(_, value)| value.parse::<u64>().ok());
        let cpu = number("cpu").unwrap_or(0);
        let used: u64 = state.running.values().map(|running| running.cpu).sum();
        if used + cpu > CAPACITY_CPU {
            return self.refuse("room");
        }
        let work = Duration::from_millis(number("work").unwrap_or(0));
        self.record.note(format!("start  {} {task} run {run}", self.name));
        state.running.insert((task, run), Running { started: Instant::now(), work, cpu });
        Some((200, format!("{{\"clock_ms\":{}}}", self.clock())))
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        let acked = body.int("acked_upto").unwrap_or(0);
        state.ended.retain(|end| end.0 > acked);
        if let Some(deadline) = body.int("deadline_ms") {
            self.extend(&mut state, deadline);
        }
        let wait = body.int("wait_ms").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .keys()
            .map(|(task, run)| format!("[{},{run},\"\",100,0]", quote(task)))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MOST_ENDS)
            .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        Some((
            200,
            format!(
                "{{\"clock_ms\":{},\"running\":[{}],\"ended\":[{}]}}",
                self.clock(),
                running.join(","),
                ended.join(",")
            ),
        ))
    }
}
