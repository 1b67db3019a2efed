//! Causes that are derived from given log lines.

use explain::{Cause, History};

const JOB: &str = "5c0e7a21d94b36f8";

fn history(lines: &[&str]) -> History {
    let mut history = History::new(JOB);
    lines.iter().for_each(|line| history.add(&line.replace("JOB", JOB)));
    history
}

fn cause(lines: &[&str]) -> String {
    history(lines).cause().to_string()
}

const ADMIT: &str =
    r#"{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","tasks":4,"waiting":0}"#;
const PLACE: &str = r#"{"time_ms":1001,"node":"entry-1","decision":"place","job":"JOB","tasks":4,"keeper":"a-b-c","room":5}"#;
const START: &str = r#"{"time_ms":1003,"node":"entry-2","decision":"start","run":"JOB.0.0.1#1","executor":"i-7","waited":"0s"}"#;

#[test]
fn an_unknown_job_has_no_cause() {
    let other = r#"{"time_ms":1,"node":"n","decision":"admit","job":"5c0e7a21d94b36f9"}"#;
    assert_eq!(history(&[other, "no log line", "{}", "{\"time_ms\":"]).cause(), Cause::Unknown);
}

#[test]
fn a_rejection_names_the_wait_and_the_room() {
    let answer = r#"{"time_ms":1400,"node":"entry-1","decision":"answer","job":"JOB","answer":"refused","why":"no-room-in-time","after":"400ms","waited":"400ms","late_by":"300ms","waiting":12,"room":0}"#;
    assert_eq!(
        cause(&[ADMIT, answer]),
        "refused, it has not run: no room for 400ms; 12 other jobs waited, other entries had room \
         for 0 tasks"
    );
}

#[test]
fn a_job_rejected_at_once_shows_its_expected_wait() {
    let admit = r#"{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","tasks":4,"waiting":2,"foreseen":"81200us","limit":"35ms"}"#;
    let answer = r#"{"time_ms":1000,"node":"entry-1","decision":"answer","job":"JOB","answer":"refused","why":"overload","after":"0s","waited":"0s","late_by":"0s","waiting":2,"room":0}"#;
    assert_eq!(
        cause(&[admit, answer]),
        "refused at once, it has not run: it would have waited 81200us for room, and the limit was 35ms"
    );
}

#[test]
fn a_hung_executor_is_named() {
    let stop = r#"{"time_ms":1350,"node":"entry-2","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"overdue"}"#;
    let answer = r#"{"time_ms":1500,"node":"entry-1","decision":"answer","job":"JOB","answer":"given-up","why":"out-of-time","after":"500ms","waited":"1ms","late_by":"200ms","waiting":0,"room":3}"#;
    assert_eq!(
        cause(&[answer, stop, START, PLACE, ADMIT]),
        format!(
            "given up after it began: run {JOB}.0.0.1#1 at executor i-7 ran on for several times its \
             estimate and was stopped"
        )
    );
}

/// Guards against a log reader that doesn't know the way of a forwarded task.
#[test]
fn a_task_that_was_forwarded_and_not_confirmed_is_named() {
    let forward = r#"{"time_ms":1002,"node":"entry-2","decision":"forward","run":"JOB.0.0.1#1","keeper":"a-b-d","room":2,"waited":"0s"}"#;
    let stop = r#"{"time_ms":1253,"node":"entry-3","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"unconfirmed"}"#;
    let answer = r#"{"time_ms":1500,"node":"entry-1","decision":"answer","job":"JOB","answer":"given-up","why":"out-of-time","after":"500ms","waited":"1ms","late_by":"200ms","waiting":0,"room":3}"#;
    let log = [ADMIT, PLACE, forward, START, stop, answer];
    assert_eq!(
        cause(&log),
        format!(
            "given up after it began: run {JOB}.0.0.1#1 at executor i-7 was stopped, since its home \
             did not confirm its new keeper in time"
        )
    );
    assert!(history(&log).lines().iter().any(|line| line.kind == "forward"));
}

#[test]
fn an_unresponsive_executor_is_distinguished_from_a_slow_one() {
    let silent = r#"{"time_ms":1600,"node":"entry-2","decision":"keep","executor":"i-7","change":"silent","token":3,"runs":1}"#;
    let ended = r#"{"time_ms":1800,"node":"entry-2","decision":"run-ended","run":"JOB.0.0.1#1","executor":"i-7","how":"lease-over","after":"790ms"}"#;
    let answer = r#"{"time_ms":2100,"node":"entry-1","decision":"answer","job":"JOB","answer":"completed","why":"all-done","after":"1100ms","waited":"1ms","late_by":"300ms","waiting":0,"room":3}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, START, silent, ended, answer]),
        format!(
            "completed 300ms late: run {JOB}.0.0.1#1 at executor i-7 was lost: the executor was \
             silent until its lease was over (the executor did not answer)"
        )
    );
}

#[test]
fn a_failed_run_is_recognised_by_its_listed_end() {
    let ended = r#"{"time_ms":1100,"node":"entry-2","decision":"run-ended","run":"JOB.0.0.1#1","executor":"i-7","how":{"listed":"failed"},"after":"90ms"}"#;
    let task = r#"{"time_ms":1101,"node":"entry-1","decision":"task-ended","job":"JOB","index":1,"run":1,"end":"failed","failures":2,"again":false}"#;
    let answer = r#"{"time_ms":1101,"node":"entry-1","decision":"answer","job":"JOB","answer":"failed","why":"failures","after":"101ms","waited":"1ms","late_by":"0s","waiting":0,"room":3}"#;
    assert_eq!(cause(&[ADMIT, START, ended, task, answer]), "failed: task 1 failed 2 times");
}

fn ended_with_executor(time: u64, run: u64, end: &str, again: bool) -> String {
    format!(
        r#"{{"time_ms":{time},"node":"entry-1","decision":"task-ended","job":"JOB","index":1,"run":{run},"end":"{end}","failures":0,"again":{again}}}"#
    )
}

#[test]
fn a_task_that_crashes_its_executors_is_reported() {
    let answer = r#"{"time_ms":1900,"node":"entry-1","decision":"answer","job":"JOB","answer":"failed","why":"executors-crashed","after":"900ms","waited":"1ms","late_by":"0s","waiting":0,"room":3}"#;
    let first = ended_with_executor(1_400, 1, "executor-crashed", true);
    let second = ended_with_executor(1_900, 2, "executor-crashed", false);
    assert_eq!(
        cause(&[ADMIT, START, &first, &second, answer]),
        "failed: 2 executors crashed under task 1, which may be what crashes them"
    );
}

#[test]
fn a_task_that_lost_many_executors_is_reported() {
    let answer = r#"{"time_ms":5900,"node":"entry-1","decision":"answer","job":"JOB","answer":"given-up","why":"executors-lost","after":"4900ms","waited":"1ms","late_by":"0s","waiting":0,"room":3}"#;
    let ended = |time, run, again| ended_with_executor(time, run, "executor-lost", again);
    let lines = [
        ended_with_executor(1_400, 1, "executor-crashed", true),
        ended(2_900, 2, true),
        ended(4_400, 3, true),
        ended(5_900, 4, false),
    ];
    assert_eq!(
        cause(&[ADMIT, START, &lines[0], &lines[1], &lines[2], &lines[3], answer]),
        "given up after it began: 4 executors crashed or were lost under task 1"
    );
}

#[test]
fn a_lost_entry_is_named_by_its_next_start() {
    let start = r#"  1.9 entry-1 {"timestamp":"1970-01-01T00:00:01.900000Z","level":"INFO","fields":{"message":"starting","name":"entry-1"},"target":"adapter::process"}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, start]),
        "its entry entry-1 ended before the answer and started again 900 ms after it took the job"
    );
    assert_eq!(cause(&[ADMIT, PLACE]), "the log of its entry entry-1 ends before the answer");
}

#[test]
fn a_caller_that_left_is_reported() {
    let left = r#"{"time_ms":1300,"node":"entry-1","decision":"left","job":"JOB","placed":4}"#;
    assert_eq!(cause(&[ADMIT, PLACE, START, left]), "its caller left before the answer");
}

#[test]
fn a_rejected_request_is_found_by_its_path() {
    let line = r#"{"timestamp":"2026-12-02T20:39:42.481561Z","level":"INFO","fields":{"message":"a request was turned away: no such queue","path":"/jobs/JOB","version":3}}"#;
    assert_eq!(
        cause(&[line]),
        "turned away by : a request was turned away: no such queue; it has not run"
    );
}

#[test]
fn a_wait_at_a_keeper_is_reported() {
    let start = START.replace("\"waited\":\"0s\"", "\"waited\":\"150ms\"");
    let answer = r#"{"time_ms":1500,"node":"entry-1","decision":"answer","job":"JOB","answer":"completed","why":"all-done","after":"500ms","waited":"30ms","late_by":"100ms","waiting":0,"room":3}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, &start, answer]),
        format!("completed 100ms late: run {JOB}.0.0.1#1 waited 150ms at its keeper")
    );
}

#[test]
fn lines_are_ordered_by_time() {
    let history = history(&[START, ADMIT, PLACE]);
    let times: Vec<_> = history.lines().iter().map(|line| line.time_ms).collect();
    assert_eq!(times, [1_000, 1_001, 1_003]);
}

#[test]
fn a_job_that_arrived_too_late_is_reported() {
    let admit = r#"{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","tasks":4,"estimate":"200ms","give_up_in":"30ms","waiting":0}"#;
    let answer = r#"{"time_ms":1000,"node":"entry-1","decision":"answer","job":"JOB","answer":"refused","why":"no-room-in-time","after":"0s","waited":"0s","late_by":"0s","waiting":0,"room":9}"#;
    assert_eq!(
        cause(&[admit, answer]),
        "refused, it has not run: its answer was needed for 30ms more, and a task takes 200ms"
    );
}

#[test]
fn a_stop_after_the_answer_is_not_the_cause() {
    let silent = r#"{"time_ms":1200,"node":"entry-2","decision":"keep","executor":"i-7","change":"silent","token":3,"runs":1}"#;
    let answer = r#"{"time_ms":1500,"node":"entry-1","decision":"answer","job":"JOB","answer":"given-up","why":"out-of-time","after":"500ms","waited":"1ms","late_by":"200ms","waiting":0,"room":3}"#;
    let stop = r#"{"time_ms":1501,"node":"entry-2","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"cancelled"}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, START, silent, answer, stop]),
        format!(
            "given up after it began: run {JOB}.0.0.1#1 at executor i-7 had not ended (the executor \
             did not answer)"
        )
    );
}

const FIRST: &str = r#"{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","request":"a1","tasks":4,"waiting":0}"#;
const SECOND: &str = r#"{"time_ms":2500,"node":"entry-2","decision":"admit","job":"JOB","request":"a2","tasks":4,"waiting":0}"#;

fn found(id: &str, lines: &[&str]) -> String {
    History::find(id, &lines.join("\n").replace("JOB", JOB)).cause().to_string()
}

#[test]
fn a_request_is_distinguished_from_the_next_one_for_the_same_job() {
    let stop = r#"{"time_ms":1350,"node":"entry-2","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"overdue"}"#;
    let given_up = r#"{"time_ms":1500,"node":"entry-1","decision":"answer","job":"JOB","request":"a1","answer":"given-up","why":"out-of-time","after":"500ms","waited":"1ms","late_by":"200ms","waiting":0,"room":3}"#;
    let refused = r#"{"time_ms":2900,"node":"entry-2","decision":"answer","job":"JOB","request":"a2","answer":"refused","why":"no-room-in-time","after":"400ms","waited":"400ms","late_by":"300ms","waiting":12,"room":0}"#;
    let log = [FIRST, stop, given_up, SECOND, refused];
    assert!(found("a1", &log).starts_with("given up after it began: run"));
    assert!(found("a2", &log).starts_with("refused, it has not run"));
    assert_eq!(found(JOB, &log), found("a2", &log));
    assert_eq!(found("a3", &log), Cause::Unknown.to_string());
}

#[test]
fn a_rejected_request_is_found_by_its_id() {
    let line = r#"{"timestamp":"2026-12-02T20:39:42.481561Z","level":"INFO","fields":{"message":"a request was turned away: the process stops too soon","path":"JOB","request":"a1"}}"#;
    let answer = r#"{"time_ms":2900,"node":"entry-2","decision":"answer","job":"JOB","request":"a2","answer":"completed","why":"all-done","after":"40ms","waited":"0s","late_by":"0s","waiting":0,"room":0}"#;
    let log = [line, SECOND, answer];
    assert_eq!(
        found("a1", &log),
        "turned away by : a request was turned away: the process stops too soon; it has not run"
    );
    assert_eq!(found("a2", &log), "completed in time");
}

#[test]
fn a_task_that_found_no_room_is_reported() {
    let back = r#"{"time_ms":1030,"node":"entry-1","decision":"task-ended","job":"JOB","index":2,"run":1,"end":"not-run","failures":0,"again":true}"#;
    let answer = r#"{"time_ms":1800,"node":"entry-1","decision":"answer","job":"JOB","answer":"given-up","why":"lost-too-late","after":"140ms","waited":"30ms","late_by":"400ms","waiting":5,"room":0}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, START, back, back, back, answer]),
        "given up after it began: task 2 was handed back 3 times, since its keepers had no room for it"
    );
    // It does not explain a longer delay.
    let later = answer.replace("\"after\":\"140ms\"", "\"after\":\"1400ms\"");
    assert_eq!(
        cause(&[ADMIT, PLACE, START, back, back, back, &later]),
        "given up after it began: it waited 30ms for room"
    );
}

#[test]
fn a_job_whose_earlier_request_took_the_time_is_reported() {
    let admit = r#"{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","request":"a2","tasks":2,"estimate":"147ms","due_in":"5193us","give_up_in":"1204993us","waiting":0}"#;
    let answer = r#"{"time_ms":1162,"node":"entry-1","decision":"answer","job":"JOB","request":"a2","answer":"completed","why":"all-done","after":"162ms","waited":"0s","late_by":"157ms","waiting":0,"room":74}"#;
    assert_eq!(
        cause(&[admit, PLACE, START, answer]),
        "completed 157ms late: it came 5193us before it was late, and a task takes 147ms: an earlier \
         request for it took the time"
    );
}

const OVERLOAD: &str = r#"{"time_ms":1000,"node":"entry-1","decision":"answer","job":"JOB","answer":"refused","why":"overload","after":"0s","waited":"0s","late_by":"0s","waiting":2,"room":0,"route":"/a/"}"#;
const LATE: &str = r#"{"time_ms":2100,"node":"entry-1","decision":"answer","job":"JOB","answer":"completed","why":"all-done","after":"1100ms","waited":"1ms","late_by":"300ms","waiting":0,"room":3}"#;
const TAKEOVER: &str = r#"{"time_ms":1900,"node":"entry-3","decision":"keep","executor":"i-7","change":"ready","token":4,"runs":1,"unkept":"910ms"}"#;
const STRAGGLING: &str = r#"{"time_ms":1400,"node":"entry-2","decision":"straggling","run":"JOB.0.0.1#1","executor":"i-7","after":"397ms","estimate":"200ms"}"#;

fn admit(floods: &str) -> String {
    format!(
        r#"{{"time_ms":1000,"node":"entry-1","decision":"admit","job":"JOB","tasks":4,"waiting":2,"foreseen":"81200us","limit":"10ms","group":"short-wide"{floods}}}"#
    )
}

/// Guards against callers of a flooding group being told of a general overload.
#[test]
fn a_refusal_in_a_flood_names_the_group() {
    let flooded = admit(r#","floods":"surplus""#);
    assert!(
        cause(&[&flooded, OVERLOAD]).contains("jobs of its group (short-wide) arrived far more")
    );
    for other in [r#","floods":"usual""#, r#","floods":{"by":3}"#, ""] {
        let cause = cause(&[&admit(other), OVERLOAD]);
        assert!(cause.ends_with("and the limit was 10ms"), "{cause}");
    }
}

/// Guards against a refusal that seems due to the callers alone while room was lost.
#[test]
fn a_refusal_names_room_lost_to_takeovers_and_stragglers() {
    let during = TAKEOVER.replace("1900", "1500");
    let before = TAKEOVER.replace("1900", "900").replace("i-7", "i-8");
    let stop = r#"{"time_ms":700,"node":"entry-2","decision":"stop-run","run":"aa.0.0.1#1","executor":"i-9","why":"straggling"}"#;
    let cancelled = stop.replace("straggling", "cancelled");
    let cause = cause(&[&admit(""), OVERLOAD, &during, &before, stop, &cancelled]);
    assert!(
        cause.ends_with(
            "the limit was 10ms; 1 executors of lost entries were not taken over yet; 1 stragglers \
             were stopped in the second before"
        ),
        "{cause}"
    );
}

/// Guards against a job that was late through a straggler being told that its tasks were long.
#[test]
fn a_job_that_is_late_through_a_straggler_names_it() {
    let run = format!("run {JOB}.0.0.1#1 at executor i-7");
    assert_eq!(
        cause(&[ADMIT, PLACE, START, STRAGGLING, LATE]),
        format!(
            "completed 300ms late: {run} was a straggler: it had run for 397ms of an estimated 200ms"
        )
    );
    let stop = r#"{"time_ms":1410,"node":"entry-2","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"straggling"}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, START, STRAGGLING, stop, LATE]),
        format!(
            "completed 300ms late: {run} was a straggler and was stopped early, since its executor's \
             health was in doubt"
        )
    );
}

/// Guards against a job that is late through the loss of a keeper being told of a straggler.
#[test]
fn a_job_that_is_late_through_a_takeover_names_it() {
    let stop = r#"{"time_ms":1901,"node":"entry-3","decision":"stop-run","run":"JOB.0.0.1#1","executor":"i-7","why":"home-lost"}"#;
    let expected = format!(
        "completed 300ms late: run {JOB}.0.0.1#1 was at executor i-7, which entry-3 took over from a \
         lost entry after 910ms without a keeper"
    );
    assert_eq!(cause(&[ADMIT, PLACE, START, TAKEOVER, LATE]), expected);
    assert_eq!(cause(&[ADMIT, PLACE, START, TAKEOVER, stop, LATE]), expected);
    // The run had failed before the keeper was lost.
    let failed = r#"{"time_ms":1100,"node":"entry-2","decision":"run-ended","run":"JOB.0.0.1#1","executor":"i-7","how":{"listed":"failed"},"after":"90ms"}"#;
    let later = TAKEOVER.replace("910ms", "410ms");
    assert!(cause(&[ADMIT, PLACE, START, failed, &later, LATE]).ends_with("i-7 failed"));
}

#[test]
fn a_late_run_names_the_kind_of_its_executor() {
    let late = r#"{"time_ms":2099,"node":"entry-2","decision":"late-run","run":"JOB.0.0.1#1","executor":"i-7","kind":"slow","late_by":"299ms"}"#;
    assert_eq!(
        cause(&[ADMIT, PLACE, START, late, LATE]),
        format!(
            "completed 300ms late: run {JOB}.0.0.1#1 at executor i-7 of kind slow ended 299ms late"
        )
    );
}
