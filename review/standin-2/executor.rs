//! A stand-in for an executor, as PROTOCOL.md describes it. It refuses what it has no room for.
//!
//! The spec of a task says how long it runs and how many cores it needs, in thousandths:
//! `{"ms":400,"cpu":27000}`.

use crate::{
    http::{self, Request, Response},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest lease (`hold_max_ms`), in milliseconds.
const HOLD_MAX_MS: u64 = 1_000;

/// Time that a stop takes, in milliseconds; `stop_ms` is 50.
const STOP_MS: u64 = 20;

/// Interval of the reports to the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What an executor is: its entry in the store, apart from its state.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// The kind and the rack.
    pub labels: [String; 2],
    /// In thousandths of a core.
    pub cpu: u64,
    /// Whether lists and reports say when the current life began.
    pub has_born: bool,
}

/// A run that an executor started.
#[derive(Clone, Debug)]
pub struct Started {
    pub task: String,
    pub run: u64,
    pub executor: String,
    /// Kind of the machine that it started on.
    pub kind: String,
    /// Time of the start, in milliseconds of the record.
    pub at: u64,
}

struct Running {
    ends_at: u64,
    how: &'static str,
    cpu: u64,
}

/// One life of the executor.
struct Life {
    profile: Profile,
    /// Start of the life in milliseconds of the record, and since 1970.
    began: u64,
    born: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Ends that are not acknowledged: number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest_token: u64,
    /// End of the lease, on the executor's clock.
    deadline: u64,
    /// The highest run of each task that ended or was stopped.
    past: BTreeMap<String, u64>,
    /// Whether a list of this life was given out.
    listed: bool,
}

struct Shared {
    record: Record,
    /// `None` while the executor is down.
    life: Mutex<Option<Life>>,
    started: Mutex<Vec<Started>>,
    sequence: Mutex<u64>,
}

/// The executor. Clones share its state.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
    store: Store,
    pub address: SocketAddr,
}

impl Executor {
    /// Starts an executor on a free loopback port, and reports it to the store.
    pub fn start(profile: Profile, store: &Store, record: &Record) -> io::Result<Executor> {
        let shared = Arc::new(Shared {
            record: record.clone(),
            life: Mutex::new(Some(Life::new(profile, record.now()))),
            started: Mutex::default(),
            sequence: Mutex::new(0),
        });
        let serving = shared.clone();
        let address = http::serve(move |request| serving.respond(&request))?;
        let executor = Executor { shared, store: store.clone(), address };
        executor.report();
        let reporting = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        Ok(executor)
    }

    /// Writes the executor's entry to the store, unless it is down.
    pub fn report(&self) {
        let life = self.shared.life.lock().unwrap();
        let Some(life) = life.as_ref() else { return };
        let mut sequence = self.shared.sequence.lock().unwrap();
        *sequence += 1;
        let Profile { id, service, zone, labels: [kind, rack], cpu, has_born } = &life.profile;
        let born = match has_born {
            true => format!(r#","born":{}"#, life.born),
            false => String::new(),
        };
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":65536,"gpu":0}},"labels":["{kind}","{rack}"],"clock_ms":{},"sequence":{sequence}{born}}}"#,
            self.address,
            life.clock(self.shared.record.now()),
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Waits until the executor has reported to the store; the next report is due after
    /// [`HEARTBEAT`].
    pub fn wait_for_report(&self) {
        let sequence = || *self.shared.sequence.lock().unwrap();
        let before = sequence();
        while sequence() == before {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Crashes the executor: what runs there is gone, and orders find nobody.
    pub fn crash(&self) {
        let life = self.shared.life.lock().unwrap().take();
        let runs: Vec<_> = life.iter().flat_map(|life| life.running.keys()).collect();
        self.shared.record.line(format!("executor crashes; there ran {runs:?}"));
    }

    /// Starts the executor again after a crash.
    pub fn restart(&self, profile: Profile) {
        let now = self.shared.record.now();
        let life = Life::new(profile, now);
        let Profile { id, labels, .. } = &life.profile;
        self.shared
            .record
            .line(format!("executor {id} starts again, born {}, labels {labels:?}", life.born));
        *self.shared.life.lock().unwrap() = Some(life);
    }

    /// The runs that were started here.
    pub fn started(&self) -> Vec<Started> {
        self.shared.started.lock().unwrap().clone()
    }

    /// Whether the current life has given out a list of its runs.
    pub fn is_listed(&self) -> bool {
        self.shared.life.lock().unwrap().as_ref().is_some_and(|life| life.listed)
    }
}

impl Life {
    fn new(profile: Profile, now: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            profile,
            began: now,
            born: born.as_millis() as u64,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_token: 0,
            deadline: 0,
            past: BTreeMap::new(),
            listed: false,
        }
    }

    /// The executor's clock, in milliseconds since its start.
    fn clock(&self, now: u64) -> u64 {
        now - self.began
    }

    /// Ends the runs whose time has come, and all of them if the lease is over.
    fn advance(&mut self, record: &Record) {
        let now = record.now();
        let is_over = self.clock(now) > self.deadline;
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| is_over || running.ends_at <= now)
            .map(|(run, running)| {
                (run.clone(), if running.ends_at <= now { running.how } else { "lapsed" })
            })
            .collect();
        for ((task, run), how) in due {
            self.running.remove(&(task.clone(), run));
            self.pass(&task, run);
            record.line(format!("  end    {task}#{run} on {}: {how}", self.profile.id));
            self.ended.push((self.next_end, task, run, how));
            self.next_end += 1;
        }
    }

    fn pass(&mut self, task: &str, run: u64) {
        let highest = self.past.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    fn extend(&mut self, now: u64, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock(now) + HOLD_MAX_MS));
    }

    fn refuse(&self, now: u64, reason: &str) -> Response {
        (409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock(now)))
    }

    fn accept(&self, now: u64) -> Response {
        (200, format!(r#"{{"clock_ms":{}}}"#, self.clock(now)))
    }

    /// Checks the fencing token of an order.
    fn admits(&mut self, token: u64) -> bool {
        let is_current = token >= self.highest_token;
        self.highest_token = token.max(self.highest_token);
        is_current
    }

    fn list(&self, now: u64) -> String {
        let running = self.running.keys().map(|(task, run)| format!(r#"["{task}",{run},"",100]"#));
        let ended = self.ended.iter().take(500);
        let ended = ended
            .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#));
        let (running, ended): (Vec<_>, Vec<_>) = (running.collect(), ended.collect());
        let born = match self.profile.has_born {
            true => format!(r#","born":{}"#, self.born),
            false => String::new(),
        };
        format!(
            r#"{{"clock_ms":{},"running":[{}],"ended":[{}]{born}}}"#,
            self.clock(now),
            running.join(","),
            ended.join(","),
        )
    }
}

impl Shared {
    fn respond(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        {
            let life = self.life.lock().unwrap();
            let expected = request.header("X-Expected-Instance");
            if expected
                .is_some_and(|expected| life.as_ref().is_some_and(|l| l.profile.id != expected))
            {
                return Some((421, "{}".to_owned()));
            }
        }
        match request.path.as_str() {
            "/-/run-start" => self.start(&body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start(&self, body: &Json) -> Option<Response> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        life.advance(&self.record);
        let now = self.record.now();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        if !life.admits(body.get("fencing_token").number()) {
            return Some(life.refuse(now, "fence"));
        }
        if life.running.contains_key(&(task.clone(), run)) {
            return Some(life.accept(now));
        }
        let deadline = body.get("deadline_ms").number();
        if deadline < life.clock(now) {
            return Some(life.refuse(now, "late"));
        }
        life.extend(now, deadline);
        if life.past.get(&task).is_some_and(|highest| run <= *highest) {
            return Some(life.refuse(now, "old"));
        }
        let spec = Json::parse(body.get("spec").text())?;
        let (ms, cpu) = (spec.get("ms").number(), spec.get("cpu").number());
        let used: u64 = life.running.values().map(|running| running.cpu).sum();
        if used + cpu > life.profile.cpu {
            return Some(life.refuse(now, "room"));
        }
        let Profile { id, labels: [kind, _], .. } = &life.profile;
        self.record.line(format!("  start  {task}#{run} on {id} (kind {kind})"));
        self.started.lock().unwrap().push(Started {
            task: task.clone(),
            run,
            executor: id.clone(),
            kind: kind.clone(),
            at: now,
        });
        life.running.insert((task, run), Running { ends_at: now + ms, how: "done", cpu });
        Some(life.accept(now))
    }

    fn stop(&self, body: &Json) -> Option<Response> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        life.advance(&self.record);
        let now = self.record.now();
        if !life.admits(body.get("fencing_token").number()) {
            return Some(life.refuse(now, "fence"));
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        self.record.line(format!("  stop   {task}#{run} on {}", life.profile.id));
        life.pass(&task, run);
        if let Some(running) = life.running.get_mut(&(task, run)) {
            running.ends_at = running.ends_at.min(now + STOP_MS);
            running.how = "stopped";
        }
        Some(life.accept(now))
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let until = Instant::now() + wait;
        let mut is_first = true;
        loop {
            {
                let mut life = self.life.lock().unwrap();
                let life = life.as_mut()?;
                life.advance(&self.record);
                let now = self.record.now();
                if !life.admits(body.get("fencing_token").number()) {
                    return Some(life.refuse(now, "fence"));
                }
                if is_first && !body.get("deadline_ms").is_null() {
                    life.extend(now, body.get("deadline_ms").number());
                }
                is_first = false;
                let acknowledged = body.get("acked_upto").number();
                life.ended.retain(|(number, ..)| *number > acknowledged);
                if !life.ended.is_empty() || Instant::now() >= until {
                    if !life.listed && life.profile.has_born {
                        let (id, born) = (&life.profile.id, life.born);
                        self.record.line(format!("executor {id} lists its runs, born {born}"));
                    }
                    life.listed = true;
                    return Some((200, life.list(now)));
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }
}
