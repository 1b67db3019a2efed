//! Minimal runs of the state machine that once failed.

mod common;

use common::{Mode, Name, Run, Shape, Simulation, Step};
use site::submission::Kind;

fn run(steps: &[Step]) {
    let shape = Shape { executors: 3, ..Shape::default() };
    let mut run = Run::new(Simulation::new(shape, 3, 2), 3);
    steps.iter().for_each(|step| run.apply(step));
    run.settle();
}

fn submit(vm: usize, name: Name, repeatable: bool, tasks: u16) -> Step {
    let kind = if repeatable { Kind::Single } else { Kind::Job };
    Step::Submit { vm, name, kind, repeatable, tasks, firm: 0 }
}

#[test]
fn no_trial_goes_to_an_executor_that_the_settings_mark_as_leaving() {
    run(&[
        submit(1, Name::Token, false, 1),
        submit(1, Name::Token, false, 6),
        Step::Executor { number: 1, mode: Mode::Down },
        Step::Wait { ms: 49 },
        submit(0, Name::Home(1), true, 1),
        Step::Settings { revision: 10, vms: 2 },
    ]);
}

#[test]
fn a_draining_home_does_not_report_not_run_for_what_its_successor_runs() {
    run(&[
        Step::Drain { vm: 0 },
        submit(0, Name::Key, true, 1),
        Step::Resubmit { which: 0, vm: 1 },
        Step::Resubmit { which: 0, vm: 0 },
        Step::Resubmit { which: 0, vm: 0 },
    ]);
}
