//! The decision log of a scenario, and what follows each kind of attempt end.

mod common;

use bytes::Bytes;
use common::{
    Mode, Shape, Simulation, Work,
    executor::output,
    executor_id, firm, id,
    site::{FIRMS, SERVICE, executor_name},
};
use dispatch::{
    Action, Entry, Event,
    entry::Options,
    event::{Refusal, Reply, Report},
};
use site::{
    id::{AttemptId, EntryId, Home, RackId, ServiceId, WaiterId},
    submission::Answer,
    unit::{Revision, Span, Time},
};
use std::fmt::Write;

/// Replaces identifiers by names.
fn readable(text: String) -> String {
    let mut names: Vec<(String, String)> = (0..4)
        .map(|number| (executor_id(number).to_string(), executor_name(number)))
        .chain((0..FIRMS.len()).map(|number| (firm(number).to_string(), FIRMS[number].into())))
        .collect();
    names.push((ServiceId::of(SERVICE).to_string(), SERVICE.into()));
    names.into_iter().fold(text, |text, (id, name)| text.replace(&id, &name))
}

#[test]
fn the_decision_log_contains_every_decision_of_a_job_with_failures() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    sim.log.clear();
    sim.executors.get_mut(&executor_id(0)).unwrap().mode = Mode::Down;
    let work = Work::job("a", 3);
    let id = id(sim.entry(0).own_token(), 1);
    let via = sim.at(1).unwrap();
    sim.submit(via, &work, id);
    sim.run(Span::from_millis(80));
    sim.executors.get_mut(&executor_id(1)).unwrap().leaving = true;
    sim.run(Span::from_millis(400));
    sim.cancel(via, &work, id);
    sim.run(Span::from_millis(50));
    let mut lines = String::new();
    for (time, home, decision) in &sim.log {
        let json = serde_json::to_string(decision).unwrap();
        writeln!(lines, "{time} entry {}: {json}", home.entry).unwrap();
    }
    let task = serde_json::to_string(&id).unwrap();
    insta::assert_snapshot!(readable(lines).replace(&task, "\"a\""));
}

fn entry() -> Entry {
    let shape = Shape::default();
    let home = Home {
        data_centre: site::id::DataCentreId::of(&common::site::data_centre(0)),
        entry: EntryId(1),
        ..Home::default()
    };
    Entry::new(Options {
        home,
        rack: RackId(1),
        seed: 1,
        site: shape.build(),
        revision: Revision(1),
        membership: membership::Options::default(),
        answer_bytes: 1 << 20,
        slots_per_lead: 100,
    })
}

/// Returns what follows when the only attempt at a task ends with `reply`.
fn effect_of(work: &Work, reply: Reply) -> String {
    let entry = entry();
    let mut out = Vec::new();
    let submission = work.submission(id(entry.own_token(), 1));
    entry.handle(Time(0), Event::Submit { waiter: WaiterId(1), submission }, &mut out);
    let attempt = out.iter().find_map(|action| match action {
        Action::Start(start) => Some(start.attempt),
        _ => None,
    });
    let attempt = attempt.unwrap_or(AttemptId(0));
    out.clear();
    let elapsed = Span::from_millis(50);
    let report = Report { attempt, reply, leaving: false, elapsed };
    entry.handle(Time(50_000), Event::Report(report), &mut out);
    let effect = out.iter().find_map(|action| match action {
        Action::Start(_) => Some("starts again".into()),
        Action::Answer { answer, .. } => Some(match &**answer {
            Answer::Complete(_) => "answers".into(),
            Answer::Failed(failure) => format!("{:?}, {:?}", failure.outcome, failure.reason),
        }),
        _ => None,
    });
    effect.unwrap_or_else(|| "waits".into())
}

#[test]
fn only_tasks_that_did_not_run_or_are_repeatable_are_retried() {
    let body = Bytes::from_static(b"a");
    let replies = [
        Reply::Done(output(200, &body)),
        Reply::Failed(output(500, &body)),
        Reply::Refused(Refusal::Busy),
        Reply::Refused(Refusal::Leaving),
        Reply::Refused(Refusal::Other),
        Reply::NotSent,
        Reply::Lost,
        Reply::Silent,
        Reply::TimedOut,
    ];
    let works = [
        ("job", Work::job("a", 1)),
        ("repeatable single", Work::single("a", true)),
        ("single", Work::single("a", false)),
    ];
    let mut table = String::new();
    for reply in replies {
        let name = format!("{reply:?}");
        let name = name.split_once(" {").map_or(&*name, |(name, _)| name).replace("(Output", "");
        for (kind, work) in &works {
            writeln!(table, "{name:18} {kind:18} {}", effect_of(work, reply.clone())).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
