//! Why a job ended as it did.

use crate::{Line, Story};
use compact_str::CompactString;
use derive_more::Display;
use std::collections::BTreeMap;

/// Why a job ended as it did.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// No line about it.
    #[display("not in these logs")]
    Unknown,
    /// It was turned away before it was queued.
    #[display("turned away by {node}: {why}; it has not run")]
    TurnedAway {
        /// By which process.
        node: CompactString,
        /// Its words.
        why: CompactString,
    },
    /// It completed in time.
    #[display("completed in time")]
    InTime,
    /// It completed late.
    #[display("completed {late_by} late: {why}")]
    Late {
        /// By how much.
        late_by: CompactString,
        /// Why.
        why: Delay,
    },
    /// It could not start in time.
    #[display(
        "refused, it has not run: no room for {waited}; {waiting} other jobs waited, other entries \
         had room for {room} tasks"
    )]
    NoRoom {
        /// For how long.
        waited: CompactString,
        /// Jobs that waited at its home.
        waiting: u64,
        /// Room at other entries at the end.
        room: u64,
    },
    /// Too much waited when it came.
    #[display(
        "refused at once, it has not run: it would have waited {foreseen} for room, {limit} is the most"
    )]
    Overload {
        /// How long it would have waited.
        foreseen: CompactString,
        /// How long it might have.
        limit: CompactString,
    },
    /// Nothing could run it but executors that were to get no new work.
    #[display(
        "refused, it has not run: all executors that could run it are in data centres under cordon"
    )]
    Cordoned,
    /// It came too late.
    #[display(
        "refused, it has not run: its answer was of use for {give_up_in} more, and a task takes \
         {estimate}"
    )]
    TooLate {
        /// For how long its answer was of use when it arrived.
        give_up_in: CompactString,
        /// How long a task was to take.
        estimate: CompactString,
    },
    /// Its home had not run for a while and refused it.
    #[display("refused, it has not run: {node} did not run for a while")]
    HomePaused {
        /// The home.
        node: CompactString,
    },
    /// It began, and was given up.
    #[display("given up after it began: {why}")]
    GivenUp {
        /// Why.
        why: Delay,
    },
    /// A task failed as often as it may.
    #[display("failed: task {index} failed {failures} times")]
    Failed {
        /// Which.
        index: u64,
        /// How often.
        failures: u64,
    },
    /// Executors crashed or fell silent under one of its tasks.
    #[display(
        "failed: {executors} executors were lost under task {index}, which may be what crashes them"
    )]
    ExecutorsLost {
        /// Which.
        index: u64,
        /// How many.
        executors: usize,
    },
    /// Its caller left.
    #[display("its caller left before the answer")]
    CallerLeft,
    /// Its home ended before the answer.
    #[display(
        "its entry {node} ended before the answer and started again {gap_ms} ms after it took the job"
    )]
    HomeLost {
        /// The home.
        node: CompactString,
        /// From the job's arrival to the start of the next process.
        gap_ms: u64,
    },
    /// The home's log ends before the answer.
    #[display("the log of its entry {node} ends before the answer")]
    LogEnds {
        /// The home.
        node: CompactString,
    },
}

/// What held a job up.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Delay {
    /// A run ended otherwise than well, or had to be stopped.
    #[display("run {run} at executor {executor} {how}")]
    Run {
        /// Which.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// How.
        how: CompactString,
    },
    /// A run had not ended.
    #[display("run {run} at executor {executor} had not ended{silent}")]
    Unended {
        /// Which.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// Whether the executor answered at the end.
        silent: Silent,
    },
    /// A keeper lost its tasks.
    #[display("tasks were at an entry that was lost")]
    KeeperLost,
    /// A keeper handed a task back again and again.
    #[display("task {index} was handed back {times} times, since its keepers had no room for it")]
    HandedBack {
        /// Which.
        index: u64,
        /// How often.
        times: usize,
    },
    /// Too little of its time was left when it came.
    #[display(
        "it came {due_in} before it was late, and a task takes {estimate}: an earlier request for it \
         took the time"
    )]
    CameLate {
        /// What was left.
        due_in: CompactString,
        /// How long a task was to take.
        estimate: CompactString,
    },
    /// It waited for room.
    #[display("it waited {waited} for room")]
    Room {
        /// For how long.
        waited: CompactString,
    },
    /// Its home did not run for a while.
    #[display("{node} did not run for a while")]
    Paused {
        /// Which.
        node: CompactString,
    },
    /// Tasks waited at their keeper.
    #[display("run {run} waited {waited} at its keeper")]
    Queue {
        /// Which.
        run: CompactString,
        /// For how long.
        waited: CompactString,
    },
    /// Nothing went wrong: the tasks took longer than estimated.
    #[display("its tasks took longer than estimated")]
    LongTasks,
}

/// Whether an executor answered.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Silent {
    /// It did, as far as the logs tell.
    #[display("")]
    No,
    /// It did not.
    #[display(" (the executor did not answer)")]
    Yes,
}

/// A wait at a keeper below this explains no delay.
const LONG_WAIT_MS: f64 = 20.0;

/// How long a keeper has a task that it hands back, in milliseconds: it holds it for 10 ms and looks
/// at what it holds every 20 ms at least.
const HAND_BACK_MS: f64 = 25.0;

impl Cause {
    pub(crate) fn of(story: &Story) -> Self {
        let own = story.of_request();
        let last = |what: &str| own.iter().rev().find(|line| line.what == what).copied();
        if let Some(line) = last("answer") {
            // What happened before the request came in belongs to earlier ones.
            let since = last("admit").map_or(0, |line| line.time_ms);
            let lines: Vec<_> =
                story.lines().into_iter().filter(|line| line.time_ms >= since).collect();
            return answered(story, &lines, line);
        }
        if last("left").is_some() {
            return Cause::CallerLeft;
        }
        if let Some(line) = last("admit") {
            return unanswered(story, line);
        }
        let turned_away = own.iter().find(|line| line.what.contains("turned away"));
        match turned_away {
            Some(line) => {
                let error = line.text("error");
                let why = if error.is_empty() { line.what.as_str() } else { error };
                Cause::TurnedAway { node: line.node.clone(), why: why.into() }
            }
            None => Cause::Unknown,
        }
    }
}

fn answered(story: &Story, lines: &[&Line], line: &Line) -> Cause {
    match (line.text("answer"), line.text("why")) {
        ("completed", _) if line.text("late_by") == "0s" => Cause::InTime,
        ("completed", _) => {
            Cause::Late { late_by: line.text("late_by").into(), why: delay(story, lines, line) }
        }
        ("refused", "paused") => Cause::HomePaused { node: line.node.clone() },
        ("refused", "overload") => {
            let text = |field| first(lines, "admit").map_or("", |line| line.text(field)).into();
            Cause::Overload { foreseen: text("foreseen"), limit: text("limit") }
        }
        ("refused", "cordoned") => Cause::Cordoned,
        ("refused", _) if came_too_late(lines) => {
            let text = |field| first(lines, "admit").map_or("", |line| line.text(field)).into();
            Cause::TooLate { give_up_in: text("give_up_in"), estimate: text("estimate") }
        }
        // Keepers may have had it and handed it back: nothing started until the answer.
        ("refused", _) => Cause::NoRoom {
            waited: line.text("after").into(),
            waiting: line.number("waiting"),
            room: line.number("room"),
        },
        ("failed", "executors-lost") => {
            let lost = |line: &&&Line| line.text("end") == "executor-lost";
            let index = lines.iter().rev().find(lost).map_or(0, |line| line.number("index"));
            let of_task = |line: &&&Line| line.number("index") == index;
            let executors = lines.iter().filter(lost).filter(of_task).count();
            Cause::ExecutorsLost { index, executors }
        }
        ("failed", _) => {
            let failed = lines.iter().rev().find(|line| line.text("end") == "failed");
            Cause::Failed {
                index: failed.map_or(0, |line| line.number("index")),
                failures: failed.map_or(0, |line| line.number("failures")),
            }
        }
        _ => Cause::GivenUp { why: delay(story, lines, line) },
    }
}

/// What held a job up that was answered by `answer`.
fn delay(story: &Story, lines: &[&Line], answer: &Line) -> Delay {
    if answer.text("why") == "paused" {
        return Delay::Paused { node: answer.node.clone() };
    }
    let went_wrong = lines.iter().find(|line| {
        line.time_ms <= answer.time_ms
            && matches!(line.what.as_str(), "run-ended" | "stop-run" | "start-refused")
            && line.text("why") != "cancelled"
    });
    let unended = lines.iter().find(|line| line.text("why") == "cancelled");
    if let (None, Some(line)) = (went_wrong, unended) {
        return unended_run(story, line);
    }
    if let Some(line) = went_wrong {
        return Delay::Run {
            run: line.text("run").into(),
            executor: line.text("executor").into(),
            how: describe(story, line),
        };
    }
    if let Some(delay) = came_late(lines).or_else(|| handed_back(lines, answer)) {
        return delay;
    }
    let waits = lines
        .iter()
        .filter(|line| line.what == "start")
        .map(|line| (millis(line.text("waited")), line));
    let longest = waits.max_by(|a, b| a.0.total_cmp(&b.0));
    let waited = millis(answer.text("waited"));
    match longest {
        Some((ms, line)) if ms >= LONG_WAIT_MS && ms >= waited => {
            Delay::Queue { run: line.text("run").into(), waited: line.text("waited").into() }
        }
        _ if waited >= LONG_WAIT_MS => Delay::Room { waited: answer.text("waited").into() },
        None => Delay::KeeperLost,
        _ if lines.iter().any(|line| line.what == "task-ended") => Delay::KeeperLost,
        _ => Delay::LongTasks,
    }
}

/// The delay of a job that came with less time left than one of its tasks takes.
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

/// A run that was stopped only because its job had its answer.
fn unended_run(story: &Story, line: &Line) -> Delay {
    let executor = line.text("executor");
    Delay::Unended {
        run: line.text("run").into(),
        executor: executor.into(),
        silent: if is_silent(story, executor, line.time_ms) { Silent::Yes } else { Silent::No },
    }
}

fn is_silent(story: &Story, executor: &str, at_ms: u64) -> bool {
    story.keep_before(executor, at_ms).is_some_and(|keep| keep.text("change") == "silent")
}

fn first<'a>(lines: &[&'a Line], what: &str) -> Option<&'a Line> {
    lines.iter().find(|line| line.what == what).copied()
}

/// Whether a job could not have ended in time even if it had started when it arrived.
fn came_too_late(lines: &[&Line]) -> bool {
    first(lines, "admit")
        .is_some_and(|line| millis(line.text("give_up_in")) < millis(line.text("estimate")))
}

/// What a line says went wrong with a run.
fn describe(story: &Story, line: &Line) -> CompactString {
    let executor = line.text("executor");
    let how = match line.what.as_str() {
        "stop-run" => match line.text("why") {
            "overdue" => "ran on for several times its estimate and was stopped",
            "start-lost" => "was started without an answer, is not listed, and was stopped",
            "home-lost" => "was stopped, since its home was not heard of",
            _ => "was stopped, since its keeper did not know it",
        },
        "start-refused" => {
            return format!("was refused: {}", line.text("why")).into();
        }
        _ => match line.fields.get("how").and_then(|how| how.as_str()) {
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
    match is_silent(story, executor, line.time_ms) {
        true => format!("{how} (the executor did not answer)").into(),
        false => how.into(),
    }
}

/// Why a job that was admitted has no answer.
fn unanswered(story: &Story, admitted: &Line) -> Cause {
    let node = admitted.node.clone();
    match story.next_around("starting", &node, admitted.time_ms) {
        Some(line) => Cause::HomeLost { node, gap_ms: line.time_ms - admitted.time_ms },
        None => Cause::LogEnds { node },
    }
}

/// Milliseconds of a span like `15ms`, `2s` or `1234us`.
fn millis(span: &str) -> f64 {
    let digits = span.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: f64 = digits.parse().unwrap_or(0.0);
    match &span[digits.len()..] {
        "us" => number / 1_000.0,
        "s" => number * 1_000.0,
        _ => number,
    }
}
