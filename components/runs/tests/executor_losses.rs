//! What a job's answer says when executors are lost under its tasks: `failed` is for known crashes
//! and failures only.

mod common;

use common::{
    executors::{Process, Scene, named, renamed},
    fixture::{home, job, sign},
};
use runs::{
    Action, Entry, Event, Executor, Job, Message, Options,
    executor::{Ended, RunResult},
    job::{Answer, Key, Task},
    message::{self, End, Moved, Report, Room},
};
use site::{
    id::{EndpointId, WaiterId},
    unit::{Span, Time},
};

/// Longer than a lease.
const SILENCE: Span = Span::from_millis(1_200);

/// An executor that starts each incarnation under another name.
fn scene(executors: usize) -> Scene {
    Scene::new((0..executors).map(|index| renamed(&format!("i-{index}"))).collect())
}

/// Completes the run at the latest executor and returns the job's answers.
fn complete(scene: &mut Scene) -> Vec<Answer> {
    let latest = scene.latest();
    scene.executor(latest).end_all();
    scene.wait(Span::from_millis(300));
    scene.answers.clone()
}

/// The executors crashed while they were idle.
#[test]
fn starts_rejected_by_the_next_incarnations_are_no_crashes() {
    let mut scene = scene(3);
    let executors: Vec<_> = scene.executors.keys().copied().collect();
    // Of executors with the same room, that with the lowest id is used last.
    for id in &executors[1..] {
        scene.executor(*id).process = Process::Replaced;
    }
    scene.submit();
    scene.wait(Span::from_millis(50));
    assert_eq!(scene.starts.len(), 3);
    assert_eq!(complete(&mut scene), [Answer::Completed]);
}

/// The response to one start is there before those to others sent to the same executor.
#[test]
fn starts_of_several_tasks_rejected_by_the_next_incarnations_are_no_crashes() {
    let mut scene = scene(3);
    let executors: Vec<_> = scene.executors.keys().copied().collect();
    for id in &executors[1..] {
        scene.executor(*id).process = Process::Replaced;
    }
    scene.submit_tasks(3);
    scene.wait(Span::from_millis(50));
    assert_eq!(scene.executors[&executors[0]].running.len(), 3);
    assert_eq!(complete(&mut scene), [Answer::Completed]);
}

#[test]
fn expired_leases_of_living_executors_are_no_crashes() {
    let mut scene = scene(3);
    scene.submit();
    for _ in 0..2 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        let executor = scene.executor(latest);
        executor.process = Process::Silent;
        let run = executor.running.pop();
        executor.ended.push(Ended { number: 1, run, result: RunResult::Lapsed });
        scene.wait(SILENCE);
        scene.executor(latest).process = Process::Up;
    }
    assert_eq!(scene.starts.len(), 3);
    assert_eq!(complete(&mut scene), [Answer::Completed]);
}

/// The run may have ended with its lease before the crash.
#[test]
fn executors_replaced_after_their_leases_expired_did_not_crash_under_the_task() {
    let mut scene = scene(3);
    scene.submit();
    for _ in 0..2 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        scene.executor(latest).process = Process::Silent;
        scene.wait(SILENCE);
        scene.executor(latest).process = Process::Replaced;
        scene.wait(SILENCE);
    }
    assert_eq!(scene.starts.len(), 3);
    assert_eq!(complete(&mut scene), [Answer::Completed]);
}

#[test]
fn a_task_under_which_two_executors_were_replaced_fails() {
    let mut scene = scene(4);
    scene.submit();
    for _ in 0..3 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        scene.executor(latest).process = Process::Replaced;
        scene.wait(Span::from_millis(200));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

/// Tasks that still run on an executor end when it leaves.
#[test]
fn executors_that_left_as_planned_did_not_crash_under_the_task() {
    for same_name in [false, true] {
        let name = |index| format!("i-{index}");
        let executor = |index| if same_name { named(&name(index)) } else { renamed(&name(index)) };
        let mut scene = Scene::new((0..3).map(executor).collect());
        let mut registered: Vec<_> = (0..3).map(executor).collect();
        scene.submit();
        for _ in 0..2 {
            scene.wait(Span::from_millis(100));
            let latest = scene.latest();
            let left = registered.iter_mut().find(|executor| executor.id == latest);
            let left = left.expect("an executor of the test");
            left.leaving = true;
            scene.handle(Event::Executors(registered.clone()));
            match same_name {
                true => scene.restart(latest, &mut registered),
                false => scene.executor(latest).process = Process::Replaced,
            }
            scene.wait(Span::from_millis(200));
        }
        assert_eq!(scene.starts.len(), 3, "same name: {same_name}");
        assert_eq!(complete(&mut scene), [Answer::Completed], "same name: {same_name}");
    }
}

/// The task may be what makes them unresponsive, so that it must not be tried at all of them.
#[test]
fn a_task_whose_executors_fall_silent_is_given_up_after_four_and_has_not_failed() {
    let mut scene = scene(6);
    scene.submit();
    for _ in 0..6 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        scene.executor(latest).process = Process::Silent;
        scene.wait(SILENCE);
    }
    assert_eq!(scene.starts.len(), 4);
    assert_eq!(scene.answers, [Answer::GivenUp]);
}

/// The store lists an executor until its registration expires.
#[test]
fn an_executor_that_is_gone_gets_no_task_while_it_is_still_registered() {
    let mut scene = scene(1);
    scene.executor(EndpointId::of("i-0")).process = Process::Replaced;
    scene.submit();
    scene.wait(Span::from_millis(100));
    for _ in 0..5 {
        scene.handle(Event::Executors(vec![renamed("i-0")]));
        scene.submit();
        scene.wait(Span::from_millis(100));
    }
    assert_eq!(scene.starts.len(), 1, "{:?}", scene.starts);
}

/// Otherwise the task is sent there again at once, for as long as the executor is down.
#[test]
fn an_executor_that_refuses_connections_gets_no_task_until_it_responds() {
    let mut scene = scene(1);
    let id = EndpointId::of("i-0");
    scene.executor(id).process = Process::Down;
    scene.submit();
    scene.wait(Span::from_millis(500));
    assert_eq!(scene.starts.len(), 1);
    scene.executor(id).process = Process::Up;
    scene.wait(Span::from_secs(1));
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(complete(&mut scene), [Answer::Completed]);
}

/// The stop was carried out, but the list with the end of the run is lost with the incarnation.
#[test]
fn a_run_stopped_before_its_executor_restarted_is_not_taken_for_not_run() {
    let mut scene = Scene::new(vec![named("i-0")]);
    let id = EndpointId::of("i-0");
    scene.executor(id).process = Process::Silent;
    scene.submit();
    scene.executor(id).process = Process::Up;
    scene.wait_for_stop();
    scene.crash(id);
    scene.handle(Event::Executors(vec![Executor { leaving: true, ..named("i-0") }]));
    scene.wait(Span::from_secs(31));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.answers, [Answer::GivenUp]);
}

/// A home of one job whose task is at a keeper.
struct Submission {
    entry: Entry,
    now: Time,
    task: Task,
    answers: Vec<Answer>,
}

impl Submission {
    fn new(first_run: u32) -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let task = Task { job: Key { home: me, number: 1 }, index: 0 };
        let entry = Entry::new(me, Options::default(), now);
        let mut submission = Submission { entry, now, task, answers: Vec::new() };
        submission.connect("keeper-1");
        let job = Job { due: now + Span::from_secs(6), first_run, ..job(now) };
        submission.handle(Event::Submit { waiter: WaiterId(1), job });
        submission
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        self.answers.extend(out.into_iter().filter_map(|action| match action {
            Action::Answer { answer, .. } => Some(answer),
            _ => None,
        }));
    }

    /// A keeper is connected and has room.
    fn connect(&mut self, keeper: &str) {
        let peer = home(keeper);
        self.handle(Event::PeerUp { peer });
        let room = Room { cores: vec![8_000], ahead: 0, speeds: Vec::new() };
        let report = Report { sign: sign(self.now), room, capacity: 8, ..Report::default() };
        self.handle(Event::Message { from: peer, message: Message::Report(report) });
    }

    fn end(&mut self, keeper: &str, run: u32, end: End) {
        let executor = Some(EndpointId::of(&format!("i-{run}")));
        let ended = vec![message::Ended { task: self.task, run, executor, end }];
        self.handle(Event::Message { from: home(keeper), message: Message::Ended(ended) });
    }

    fn move_to(&mut self, keeper: &str, run: u32) {
        self.connect(keeper);
        let moved = vec![Moved { task: self.task, run }];
        self.handle(Event::Message { from: home(keeper), message: Message::Moved(moved) });
    }
}

#[test]
fn executors_lost_before_and_after_a_handover_are_no_crashes() {
    let mut submission = Submission::new(1);
    submission.end("keeper-1", 1, End::ExecutorLost);
    submission.move_to("keeper-2", 2);
    submission.end("keeper-2", 2, End::ExecutorLost);
    assert_eq!(submission.answers, []);
    submission.move_to("keeper-2", 3);
    submission.end("keeper-2", 3, End::Done);
    assert_eq!(submission.answers, [Answer::Completed]);
}

/// The caller's connection broke, and it submitted the job again at another entry.
#[test]
fn executors_lost_under_a_resubmitted_job_are_no_crashes() {
    for first_run in [1, 60] {
        let mut submission = Submission::new(first_run);
        submission.end("keeper-1", first_run, End::ExecutorLost);
        submission.end("keeper-1", first_run + 1, End::ExecutorLost);
        submission.end("keeper-1", first_run + 2, End::Done);
        assert_eq!(submission.answers, [Answer::Completed], "from run {first_run}");
    }
}
