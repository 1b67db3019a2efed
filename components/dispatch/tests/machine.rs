//! Random runs of the decision logic with faults, checked against the invariants in
//! `common/check.rs`.
//!
//! The reference is the checker's record of what callers and processes were told, and the
//! executors' start records; each run ends with all faults repaired. Seeds are fixed.

mod common;

use common::{Mode, Name, Run, Service, Shape, Simulation, Step};
use proptest::{
    prelude::*,
    test_runner::{Config, FileFailurePersistence, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use site::submission::Kind;

const ENTRIES: usize = 3;
const EXECUTORS: usize = 3;

/// Bits of the kinds of faults that occur in a run.
const NONE: u8 = 0;
const EXECUTOR_FAULTS: u8 = 1;
const NETWORK: u8 = 2;
const PROCESSES: u8 = 4;
const STOPS: u8 = 8;
const PLATFORM: u8 = 16;
const SETTINGS: u8 = 32;
const ALL: u8 = 63;

/// The steps of a run. The checker's record serves as the model, so there is no other state.
struct Steps<const FAULTS: u8>;

fn vm() -> impl Strategy<Value = usize> {
    0..ENTRIES
}

fn submit() -> impl Strategy<Value = Step> {
    let name = prop_oneof![
        3 => Just(Name::Token),
        3 => vm().prop_map(Name::Home),
        1 => Just(Name::Key),
    ];
    let kind = prop_oneof![Just(Kind::Job), Just(Kind::Single)];
    (vm(), name, kind, any::<bool>(), 1u16..12, 0..2usize).prop_map(
        |(vm, name, kind, repeatable, tasks, firm)| Step::Submit {
            vm,
            name,
            kind,
            repeatable,
            tasks,
            firm,
        },
    )
}

fn work() -> BoxedStrategy<Step> {
    let which = 0..8usize;
    prop_oneof![
        5 => submit(),
        3 => (which.clone(), vm()).prop_map(|(which, vm)| Step::Resubmit { which, vm }),
        1 => (which.clone(), vm()).prop_map(|(which, vm)| Step::Cancel { which, vm }),
        1 => (which, vm(), 0..2usize).prop_map(|(which, vm, firm)| Step::Fetch { which, vm, firm }),
        4 => (1..80u64).prop_map(|ms| Step::Wait { ms }),
        2 => (80..2_500u64).prop_map(|ms| Step::Wait { ms }),
    ]
    .boxed()
}

fn executors() -> BoxedStrategy<Step> {
    let mode = prop_oneof![
        3 => Just(Mode::Work),
        1 => Just(Mode::Fail),
        1 => Just(Mode::Down),
        1 => Just(Mode::Refuse),
        1 => Just(Mode::LoseAnswer),
        1 => Just(Mode::LoseRequest),
        1 => Just(Mode::NoResponse),
        1 => Just(Mode::SilentConnection),
    ];
    let number = 0..EXECUTORS;
    prop_oneof![
        6 => (number.clone(), mode).prop_map(|(number, mode)| Step::Executor { number, mode }),
        1 => number.clone().prop_map(|number| Step::ReportLeaving { number }),
        1 => number.prop_map(|number| Step::ListLeaving { number }),
        1 => Just(Step::Publish),
    ]
    .boxed()
}

fn network() -> BoxedStrategy<Step> {
    prop_oneof![
        2 => (vm(), vm()).prop_map(|(a, b)| Step::Partition { a, b }),
        2 => (vm(), vm()).prop_map(|(a, b)| Step::Heal { a, b }),
        2 => (vm(), vm()).prop_map(|(a, b)| Step::Reconnect { a, b }),
    ]
    .boxed()
}

fn processes() -> BoxedStrategy<Step> {
    prop_oneof![
        2 => vm().prop_map(|vm| Step::Kill { vm }),
        1 => vm().prop_map(|vm| Step::RemoveVm { vm }),
        3 => vm().prop_map(|vm| Step::Boot { vm }),
        2 => vm().prop_map(|vm| Step::Pause { vm }),
        3 => vm().prop_map(|vm| Step::Resume { vm }),
        1 => Just(Step::Publish),
    ]
    .boxed()
}

fn stops() -> BoxedStrategy<Step> {
    prop_oneof![
        2 => vm().prop_map(|vm| Step::Drain { vm }),
        2 => vm().prop_map(|vm| Step::Boot { vm }),
    ]
    .boxed()
}

fn platform() -> BoxedStrategy<Step> {
    let service =
        prop_oneof![Just(Service::Up), Just(Service::Unavailable), Just(Service::AnswerLost)];
    let keyed = submit().prop_map(|step| match step {
        Step::Submit { vm, kind, repeatable, tasks, firm, .. } => {
            Step::Submit { vm, name: Name::Key, kind, repeatable, tasks, firm }
        }
        other => other,
    });
    prop_oneof![
        2 => service.prop_map(|service| Step::Platform { service }),
        4 => keyed,
        1 => Just(Step::Publish),
    ]
    .boxed()
}

fn settings() -> BoxedStrategy<Step> {
    (2..12u64, 0..8usize).prop_map(|(revision, vms)| Step::Settings { revision, vms }).boxed()
}

impl<const FAULTS: u8> ReferenceStateMachine for Steps<FAULTS> {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let faults = [
            (EXECUTOR_FAULTS, executors()),
            (NETWORK, network()),
            (PROCESSES, processes()),
            (STOPS, stops()),
            (PLATFORM, platform()),
            (SETTINGS, settings()),
        ];
        let chosen = faults.into_iter().filter(|(fault, _)| FAULTS & fault != 0);
        let mut weighted: Vec<_> = chosen.map(|(_, steps)| (2, steps)).collect();
        weighted.push((4 + 2 * weighted.len() as u32, work()));
        proptest::strategy::Union::new_weighted(weighted).boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Entries<const FAULTS: u8>;

impl<const FAULTS: u8> StateMachineTest for Entries<FAULTS> {
    type SystemUnderTest = Run;
    type Reference = Steps<FAULTS>;

    fn init_test(_: &()) -> Run {
        let shape = Shape { executors: EXECUTORS, ..Shape::default() };
        Run::new(Simulation::new(shape, ENTRIES, 2), ENTRIES)
    }

    fn apply(mut run: Run, _: &(), step: Step) -> Run {
        run.apply(&step);
        run
    }

    fn teardown(mut run: Run, _: ()) {
        run.settle();
    }
}

fn config(seed: u64) -> Config {
    Config {
        cases: std::env::var("MACHINE_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(60),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(1))]

    #[test]
    fn without_faults(sequential 1..40 => Entries<NONE>);

    #[test]
    fn with_faults_of_executors(sequential 1..40 => Entries<EXECUTOR_FAULTS>);

    #[test]
    fn with_faults_of_the_network(sequential 1..40 => Entries<NETWORK>);

    #[test]
    fn with_faults_of_processes(sequential 1..40 => Entries<PROCESSES>);

    #[test]
    fn with_planned_stops(sequential 1..40 => Entries<STOPS>);

    #[test]
    fn with_faults_of_the_platform(sequential 1..40 => Entries<PLATFORM>);

    #[test]
    fn with_changes_of_settings(sequential 1..40 => Entries<SETTINGS>);

    #[test]
    fn with_all_faults_together(sequential 1..60 => Entries<ALL>);
}
