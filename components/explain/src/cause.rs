//! Derives from log lines why a job ended as it did.

use crate::{History, Line};
use compact_str::CompactString;
use derive_more::Display;
use std::{collections::BTreeMap, fmt};

/// Why a job ended as it did.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// No line is about it.
    #[display("not in these logs")]
    Unknown,
    /// It was rejected before it was queued.
    #[display("turned away by {node}: {why}; it has not run")]
    TurnedAway {
        /// Name of the process that rejected it.
        node: CompactString,
        /// Error or message of the log line.
        why: CompactString,
    },
    /// It completed in time.
    #[display("completed in time")]
    InTime,
    /// It completed after its deadline.
    #[display("completed {late_by} late: {why}")]
    Late {
        /// Time from the deadline to the answer.
        late_by: CompactString,
        /// What delayed it.
        why: Delay,
    },
    /// It could not start in time.
    #[display(
        "refused, it has not run: no room for {waited}; {waiting} other jobs waited, other entries \
         had room for {room} tasks{around}"
    )]
    NoRoom {
        /// Time from its arrival to the answer.
        waited: CompactString,
        /// Jobs that waited at its home.
        waiting: u64,
        /// Tasks that other entries had room for when it was answered.
        room: u64,
        /// What took room at that time.
        around: Around,
    },
    /// Too much work was pending when it arrived.
    #[display(
        "refused at once, it has not run: it would have waited {foreseen} for room, and the limit was {limit}{around}"
    )]
    Overload {
        /// Its expected wait for room.
        foreseen: CompactString,
        /// The longest expected wait at which it would have been admitted.
        limit: CompactString,
        /// What took room at that time.
        around: Around,
    },
    /// It was beyond the usual number of jobs of its group, which flooded.
    #[display(
        "refused at once, it has not run: jobs of its group ({group}) arrived far more often than \
         usual, and it was beyond the usual number; it would have waited {foreseen} for room{around}"
    )]
    Flood {
        /// The group that flooded.
        group: CompactString,
        /// Its expected wait for room.
        foreseen: CompactString,
        /// What took room at that time.
        around: Around,
    },
    /// All executors that could run it were under cordon.
    #[display(
        "refused, it has not run: all executors that could run it are in data centres under cordon"
    )]
    Cordoned,
    /// It arrived too late to end while its answer was needed.
    #[display(
        "refused, it has not run: its answer was needed for {give_up_in} more, and a task takes \
         {estimate}"
    )]
    TooLate {
        /// How long its answer was still needed when it arrived.
        give_up_in: CompactString,
        /// The estimate for one of its tasks.
        estimate: CompactString,
    },
    /// Its home had not run for a while and rejected it.
    #[display("refused, it has not run: {node} did not run for a while")]
    HomePaused {
        /// Name of its home.
        node: CompactString,
    },
    /// It began, and was given up.
    #[display("given up after it began: {why}")]
    GivenUp {
        /// What delayed it.
        why: Delay,
    },
    /// A task failed too often.
    #[display("failed: task {index} failed {failures} times")]
    Failed {
        /// Position of the task in the job.
        index: u64,
        /// Number of failures.
        failures: u64,
    },
    /// Executors crashed while they ran one of its tasks.
    #[display(
        "failed: {executors} executors crashed under task {index}, which may be what crashes them"
    )]
    ExecutorsCrashed {
        /// Position of the task in the job.
        index: u64,
        /// Number of executors that crashed.
        executors: usize,
    },
    /// Executors crashed, or were lost otherwise, under one of its tasks.
    #[display(
        "given up after it began: {executors} executors crashed or were lost under task {index}"
    )]
    ExecutorsLost {
        /// Position of the task in the job.
        index: u64,
        /// Number of executors that crashed or were lost.
        executors: usize,
    },
    /// Its caller left before the answer.
    #[display("its caller left before the answer")]
    CallerLeft,
    /// Its home ended before the answer.
    #[display(
        "its entry {node} ended before the answer and started again {gap_ms} ms after it took the job"
    )]
    HomeLost {
        /// Name of its home.
        node: CompactString,
        /// Milliseconds from the job's arrival to the start of its home's next process.
        gap_ms: u64,
    },
    /// The home's log ends before the answer.
    #[display("the log of its entry {node} ends before the answer")]
    LogEnds {
        /// Name of its home.
        node: CompactString,
    },
}

/// What delayed a job.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Delay {
    /// A run ended unsuccessfully, or had to be stopped.
    #[display("run {run} at executor {executor} {how}")]
    Run {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Description of what happened to the run.
        how: CompactString,
    },
    /// A run took far longer than its estimate.
    #[display(
        "run {run} at executor {executor} was a straggler: it had run for {after} of an estimated \
         {estimate}"
    )]
    Straggler {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// How long it had run when that was noticed.
        after: CompactString,
        /// The estimate for its task.
        estimate: CompactString,
    },
    /// A run completed after the deadline.
    #[display("run {run} at executor {executor} of kind {kind} ended {late_by} late")]
    LateRun {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Kind of the executor's machine.
        kind: CompactString,
        /// Time since the deadline, as computed from the estimate.
        late_by: CompactString,
    },
    /// An executor of its tasks was without a keeper, and another entry took it over.
    #[display(
        "run {run} was at executor {executor}, which {keeper} took over from a lost entry after \
         {unkept} without a keeper"
    )]
    Takeover {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Name of the entry that took it over.
        keeper: CompactString,
        /// Time for which it had no keeper.
        unkept: CompactString,
    },
    /// A run had not ended.
    #[display("run {run} at executor {executor} had not ended{silent}")]
    Unended {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Whether the executor was unresponsive at that time.
        silent: Silent,
    },
    /// A keeper of its tasks was lost.
    #[display("tasks were at an entry that was lost")]
    KeeperLost,
    /// Keepers handed a task back repeatedly.
    #[display("task {index} was handed back {times} times, since its keepers had no room for it")]
    HandedBack {
        /// Position of the task in the job.
        index: u64,
        /// How often it was handed back.
        times: usize,
    },
    /// Too little time was left when it arrived.
    #[display(
        "it came {due_in} before it was late, and a task takes {estimate}: an earlier request for it \
         took the time"
    )]
    CameLate {
        /// Time from its arrival to its deadline.
        due_in: CompactString,
        /// The estimate for one of its tasks.
        estimate: CompactString,
    },
    /// It waited for room.
    #[display("it waited {waited} for room")]
    Room {
        /// How long it waited before its first task was sent to a keeper.
        waited: CompactString,
    },
    /// Its home did not run for a while.
    #[display("{node} did not run for a while")]
    Paused {
        /// Name of its home.
        node: CompactString,
    },
    /// A task was queued at its keeper.
    #[display("run {run} waited {waited} at its keeper")]
    Queue {
        /// The run, as task name and run number.
        run: CompactString,
        /// How long it was queued.
        waited: CompactString,
    },
    /// Nothing went wrong: the tasks took longer than estimated.
    #[display("its tasks took longer than estimated")]
    LongTasks,
}

/// What took room away around the time of a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Around {
    /// Executors of lost entries that were not in use again yet.
    pub unkept: usize,
    /// Runs that were stopped as far too long in the second before.
    pub stragglers: usize,
}

impl Around {
    fn of(history: &History, at_ms: u64) -> Self {
        Self {
            unkept: history.unkept_at(at_ms),
            stragglers: history.stragglers_between(at_ms.saturating_sub(AROUND_MS), at_ms),
        }
    }
}

impl fmt::Display for Around {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unkept > 0 {
            let unkept = self.unkept;
            write!(f, "; {unkept} executors of lost entries were not taken over yet")?;
        }
        if self.stragglers > 0 {
            let stragglers = self.stragglers;
            write!(f, "; {stragglers} stragglers were stopped in the second before")?;
        }
        Ok(())
    }
}

/// Whether an executor was unresponsive.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Silent {
    /// It responded, or the logs do not say otherwise.
    #[display("")]
    No,
    /// It did not respond.
    #[display(" (the executor did not answer)")]
    Yes,
}

/// Time before a refusal in which stragglers are counted, in milliseconds: about as long as the
/// longest usual tasks, which they kept from starting.
const AROUND_MS: u64 = 1_000;

/// A shorter wait at a keeper, in milliseconds, explains no delay.
const MIN_RELEVANT_WAIT_MS: f64 = 20.0;

/// How long a keeper has a task that it hands back, in milliseconds: it holds it for 10 ms and
/// checks its queue at least every 20 ms.
const HAND_BACK_MS: f64 = 25.0;

impl Cause {
    pub(crate) fn of(history: &History) -> Self {
        let own = history.of_request();
        let last = |kind: &str| own.iter().rev().find(|line| line.kind == kind).copied();
        if let Some(line) = last("answer") {
            // Lines from before the request arrived belong to earlier requests for the job.
            let since = last("admit").map_or(0, |line| line.time_ms);
            let lines: Vec<_> =
                history.lines().into_iter().filter(|line| line.time_ms >= since).collect();
            return answered(history, &lines, line);
        }
        if last("left").is_some() {
            return Cause::CallerLeft;
        }
        if let Some(line) = last("admit") {
            return unanswered(history, line);
        }
        let turned_away = own.iter().find(|line| line.kind.contains("turned away"));
        match turned_away {
            Some(line) => {
                let error = line.text("error");
                let why = if error.is_empty() { line.kind.as_str() } else { error };
                Cause::TurnedAway { node: line.node.clone(), why: why.into() }
            }
            None => Cause::Unknown,
        }
    }
}

fn answered(history: &History, lines: &[&Line], line: &Line) -> Cause {
    match (line.text("answer"), line.text("why")) {
        ("completed", _) if line.text("late_by") == "0s" => Cause::InTime,
        ("completed", _) => {
            Cause::Late { late_by: line.text("late_by").into(), why: delay(history, lines, line) }
        }
        ("refused", "paused") => Cause::HomePaused { node: line.node.clone() },
        ("refused", "overload") => {
            let admit = first(lines, "admit");
            let text = |field| CompactString::from(admit.map_or("", |line| line.text(field)));
            let (foreseen, around) = (text("foreseen"), Around::of(history, line.time_ms));
            match text("floods").as_str() {
                "surplus" => Cause::Flood { group: text("group"), foreseen, around },
                _ => Cause::Overload { foreseen, limit: text("limit"), around },
            }
        }
        ("refused", "cordoned") => Cause::Cordoned,
        ("refused", _) if came_too_late(lines) => {
            let text = |field| first(lines, "admit").map_or("", |line| line.text(field)).into();
            Cause::TooLate { give_up_in: text("give_up_in"), estimate: text("estimate") }
        }
        // Keepers may have had it and handed it back; nothing was started until the answer.
        ("refused", _) => Cause::NoRoom {
            waited: line.text("after").into(),
            waiting: line.number("waiting"),
            room: line.number("room"),
            around: Around::of(history, line.time_ms),
        },
        ("failed", "executors-crashed") => {
            let (index, executors) = lost_executors(lines, &["executor-crashed"]);
            Cause::ExecutorsCrashed { index, executors }
        }
        ("given-up", "executors-lost") => {
            let (index, executors) = lost_executors(lines, &["executor-crashed", "executor-lost"]);
            Cause::ExecutorsLost { index, executors }
        }
        ("failed", _) => {
            let failed = lines.iter().rev().find(|line| line.text("end") == "failed");
            Cause::Failed {
                index: failed.map_or(0, |line| line.number("index")),
                failures: failed.map_or(0, |line| line.number("failures")),
            }
        }
        _ => Cause::GivenUp { why: delay(history, lines, line) },
    }
}

/// The task whose latest run ended in one of these ways, and how many of its runs did.
fn lost_executors(lines: &[&Line], ends: &[&str]) -> (u64, usize) {
    let is_lost = |line: &&&Line| ends.contains(&line.text("end"));
    let index = lines.iter().rev().find(is_lost).map_or(0, |line| line.number("index"));
    let of_task = |line: &&&Line| line.number("index") == index;
    (index, lines.iter().filter(is_lost).filter(of_task).count())
}

/// What delayed a job that got its answer in the line `answer`.
fn delay(history: &History, lines: &[&Line], answer: &Line) -> Delay {
    if answer.text("why") == "paused" {
        return Delay::Paused { node: answer.node.clone() };
    }
    let went_wrong = lines.iter().find(|line| {
        line.time_ms <= answer.time_ms
            && matches!(line.kind.as_str(), "run-ended" | "stop-run" | "start-refused")
            && line.text("why") != "cancelled"
    });
    let unended = lines.iter().find(|line| line.text("why") == "cancelled");
    if let Some(delay) = takeover(history, lines, went_wrong.copied(), answer) {
        return delay;
    }
    if let Some(line) = went_wrong {
        return Delay::Run {
            run: line.text("run").into(),
            executor: line.text("executor").into(),
            how: describe(history, line),
        };
    }
    if let Some(delay) = straggler(lines, answer) {
        return delay;
    }
    if let Some(line) = unended {
        return unended_run(history, line);
    }
    if let Some(delay) = came_late(lines).or_else(|| handed_back(lines, answer)) {
        return delay;
    }
    let waits = lines
        .iter()
        .filter(|line| line.kind == "start")
        .map(|line| (millis(line.text("waited")), line));
    let longest = waits.max_by(|a, b| a.0.total_cmp(&b.0));
    let waited = millis(answer.text("waited"));
    match longest {
        Some((ms, line)) if ms >= MIN_RELEVANT_WAIT_MS && ms >= waited => {
            Delay::Queue { run: line.text("run").into(), waited: line.text("waited").into() }
        }
        _ if waited >= MIN_RELEVANT_WAIT_MS => Delay::Room { waited: answer.text("waited").into() },
        None => Delay::KeeperLost,
        _ if lines.iter().any(|line| line.kind == "task-ended") => Delay::KeeperLost,
        _ => late_run(lines).unwrap_or(Delay::LongTasks),
    }
}

/// The delay of a job that arrived with less time left than one of its tasks takes.
fn came_late(lines: &[&Line]) -> Option<Delay> {
    let admit = first(lines, "admit")?;
    let (due_in, estimate) = (admit.text("due_in"), admit.text("estimate"));
    let is_late = !due_in.is_empty() && millis(due_in) < millis(estimate);
    is_late.then(|| Delay::CameLate { due_in: due_in.into(), estimate: estimate.into() })
}

/// The task that was handed back most often, if that took most of the time until the answer.
fn handed_back(lines: &[&Line], answer: &Line) -> Option<Delay> {
    let mut times: BTreeMap<u64, usize> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.text("end") == "not-run") {
        *times.entry(line.number("index")).or_default() += 1;
    }
    let (index, times) = times.into_iter().max_by_key(|(_, times)| *times)?;
    let took_most = times as f64 * HAND_BACK_MS * 2.0 > millis(answer.text("after"));
    took_most.then_some(Delay::HandedBack { index, times })
}

/// The run whose executor was taken over from a lost entry before the answer: the one that went
/// wrong, or the first one if none did.
fn takeover(
    history: &History,
    lines: &[&Line],
    went_wrong: Option<&Line>,
    answer: &Line,
) -> Option<Delay> {
    let is_suspect =
        |start: &&&Line| went_wrong.is_none_or(|wrong| wrong.text("run") == start.text("run"));
    let mut starts = lines.iter().filter(|line| line.kind == "start").filter(is_suspect);
    starts.find_map(|start| {
        let executor = start.text("executor");
        let keep = history.takeover_of(executor, start.time_ms, answer.time_ms)?;
        let lost_at_ms = keep.time_ms as f64 - millis(keep.text("unkept"));
        let is_cause = went_wrong.is_none_or(|wrong| wrong.time_ms as f64 >= lost_at_ms);
        is_cause.then(|| Delay::Takeover {
            run: start.text("run").into(),
            executor: executor.into(),
            keeper: keep.node.clone(),
            unkept: keep.text("unkept").into(),
        })
    })
}

/// The first run that took far longer than its estimate.
fn straggler(lines: &[&Line], answer: &Line) -> Option<Delay> {
    let line = first(lines, "straggling").filter(|line| line.time_ms <= answer.time_ms)?;
    let text = |field| line.text(field).into();
    let (run, executor) = (text("run"), text("executor"));
    Some(Delay::Straggler { run, executor, after: text("after"), estimate: text("estimate") })
}

/// The run that completed latest, at a site whose executors differ in speed.
fn late_run(lines: &[&Line]) -> Option<Delay> {
    let runs = lines.iter().filter(|line| line.kind == "late-run");
    let line = runs.max_by_key(|line| line.time_ms)?;
    let text = |field| line.text(field).into();
    let kind = if line.text("kind").is_empty() { "unknown".into() } else { text("kind") };
    Some(Delay::LateRun {
        run: text("run"),
        executor: text("executor"),
        kind,
        late_by: text("late_by"),
    })
}

/// A run that was stopped only because its job was answered.
fn unended_run(history: &History, line: &Line) -> Delay {
    let executor = line.text("executor");
    Delay::Unended {
        run: line.text("run").into(),
        executor: executor.into(),
        silent: if is_silent(history, executor, line.time_ms) { Silent::Yes } else { Silent::No },
    }
}

fn is_silent(history: &History, executor: &str, at_ms: u64) -> bool {
    history.keep_before(executor, at_ms).is_some_and(|keep| keep.text("change") == "silent")
}

fn first<'a>(lines: &[&'a Line], kind: &str) -> Option<&'a Line> {
    lines.iter().find(|line| line.kind == kind).copied()
}

/// Whether a job could not have ended in time even if it had started when it arrived.
fn came_too_late(lines: &[&Line]) -> bool {
    first(lines, "admit")
        .is_some_and(|line| millis(line.text("give_up_in")) < millis(line.text("estimate")))
}

/// Describes what went wrong with a run, according to a line.
fn describe(history: &History, line: &Line) -> CompactString {
    let executor = line.text("executor");
    let how = match line.kind.as_str() {
        "stop-run" => match line.text("why") {
            "overdue" => "ran on for several times its estimate and was stopped",
            "straggling" => {
                "was a straggler and was stopped early, since its executor's health was in doubt"
            }
            "start-lost" => "was started without an answer, is not listed, and was stopped",
            "home-lost" => "was stopped, since its home was not heard of",
            "unconfirmed" => "was stopped, since its home did not confirm its new keeper in time",
            _ => "was stopped, since its keeper did not know it",
        },
        "start-refused" => {
            return format!("was refused: {}", line.text("why")).into();
        }
        _ => match line.fields.get("how").and_then(|how| how.as_str()) {
            Some("unsent") => "was never sent to its executor",
            Some("rejected") => "was rejected by the next incarnation of its executor",
            Some("refused") => "was refused by its executor",
            Some("missing") => "is no longer listed by its executor",
            Some("lease-over") => "was lost: the executor was silent until its lease was over",
            Some("executor-gone") => "was lost with its executor",
            Some("fenced") => "went over to another keeper",
            _ => match line.fields.get("how").and_then(|how| how.get("listed")) {
                Some(how) if how == "failed" => "failed",
                Some(how) if how == "lapsed" => "ended with its executor's lease",
                _ => "was stopped",
            },
        },
    };
    match is_silent(history, executor, line.time_ms) {
        true => format!("{how} (the executor did not answer)").into(),
        false => how.into(),
    }
}

/// Why an admitted job has no answer.
fn unanswered(history: &History, admitted: &Line) -> Cause {
    let node = admitted.node.clone();
    match history.next_process_line("starting", &node, admitted.time_ms) {
        Some(line) => Cause::HomeLost { node, gap_ms: line.time_ms - admitted.time_ms },
        None => Cause::LogEnds { node },
    }
}

/// Milliseconds of a span such as `15ms`, `2s` or `1234us`.
pub(crate) fn millis(span: &str) -> f64 {
    let digits = span.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: f64 = digits.parse().unwrap_or(0.0);
    match &span[digits.len()..] {
        "us" => number / 1_000.0,
        "s" => number * 1_000.0,
        _ => number,
    }
}
