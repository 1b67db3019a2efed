//! Steps of a random run: actions of callers and operators, and faults of VMs, executors, network
//! and platform.

use super::{
    executor::Mode,
    platform::Service,
    simulation::{ProcessState, Simulation},
    site::{FIRMS, Shape, Work, executor_id, id},
};
use ::site::{
    id::{EntryId, Home, SubmissionId},
    submission::{Answer, Kind},
    unit::{Revision, Span},
};
use dispatch::Event;

/// How the identifier of a request is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name {
    /// Made with the token that the entry gives out.
    Token,
    /// Made with the token of the process on this VM.
    Home(usize),
    /// Chosen by the entry, for a key of the caller.
    Key,
}

#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        vm: usize,
        name: Name,
        kind: Kind,
        repeatable: bool,
        tasks: u16,
        firm: usize,
    },
    /// A caller submits a submission again.
    Resubmit {
        which: usize,
        vm: usize,
    },
    Cancel {
        which: usize,
        vm: usize,
    },
    Fetch {
        which: usize,
        vm: usize,
        firm: usize,
    },
    Executor {
        number: usize,
        mode: Mode,
    },
    /// An executor reports that it is leaving.
    ReportLeaving {
        number: usize,
    },
    /// The platform lists an executor as leaving.
    ListLeaving {
        number: usize,
    },
    Publish,
    Kill {
        vm: usize,
    },
    /// The VM is removed from the platform's list.
    RemoveVm {
        vm: usize,
    },
    Boot {
        vm: usize,
    },
    Pause {
        vm: usize,
    },
    Resume {
        vm: usize,
    },
    Partition {
        a: usize,
        b: usize,
    },
    Heal {
        a: usize,
        b: usize,
    },
    /// A connection breaks and is established again at once.
    Reconnect {
        a: usize,
        b: usize,
    },
    Drain {
        vm: usize,
    },
    Platform {
        service: Service,
    },
    /// Settings that reach some of the entries, possibly older than those in force. The revision
    /// determines which executor is leaving.
    Settings {
        revision: u64,
        vms: usize,
    },
    Wait {
        ms: u64,
    },
}

/// A submission as its callers know it.
#[derive(Clone, Debug)]
struct Known {
    work: Work,
    id: SubmissionId,
    keyed: bool,
}

/// A simulation under a random run.
pub struct Run {
    pub sim: Simulation,
    known: Vec<Known>,
    entries: usize,
}

impl Run {
    pub fn new(sim: Simulation, entries: usize) -> Run {
        Run { sim, known: Vec::new(), entries }
    }

    fn up(&self, vm: usize) -> Option<Home> {
        let up = |home: &Home| self.sim.process(*home).is_some_and(|p| p.state == ProcessState::Up);
        self.sim.at(vm % self.entries).filter(up)
    }

    /// Returns the latest process on a VM in this state.
    fn process_in_state(&self, vm: usize, state: ProcessState) -> Option<Home> {
        let processes = self.sim.processes.iter().rev();
        let mut ours = processes.filter(|p| p.home.entry.0 == (vm % self.entries) as u64);
        ours.find(|p| p.state == state).map(|p| p.home)
    }

    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Submit { .. } => self.submit(step),
            Step::Resubmit { which, vm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.resubmit(via, &known);
            }
            Step::Cancel { which, vm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.sim.cancel(via, &known.work, known.id);
            }
            Step::Fetch { which, vm, firm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.sim.fetch(via, &known.work, known.id, *firm);
            }
            Step::Wait { ms } => self.sim.run(Span::from_millis(*ms)),
            _ => self.inject_fault(step),
        }
        self.sim.run(Span(300));
    }

    fn pick(&self, which: usize) -> Option<Known> {
        let count = self.known.len().max(1);
        self.known.get(which % count).cloned()
    }

    fn submit(&mut self, step: &Step) {
        let Step::Submit { vm, name, kind, repeatable, tasks, firm } = *step else { return };
        let Some(via) = self.up(vm) else { return };
        let number = self.known.len();
        let tasks = if kind == Kind::Single { 1 } else { tasks };
        let repeatable = repeatable && kind == Kind::Single;
        let deadline = Span::from_millis(500 + 450 * (number as u64 % 10));
        let work = Work { name: number.to_string(), firm, kind, repeatable, tasks, deadline };
        let token = match name {
            Name::Token => self.sim.process(via).map(|p| p.entry.token()),
            Name::Home(vm) => self.sim.at(vm % self.entries).map(|home| {
                self.sim.process(home).expect("the process is known").entry.own_token()
            }),
            Name::Key => self.sim.process(via).map(|p| p.entry.own_token()),
        };
        let Some(token) = token else { return };
        let known = Known { work, id: id(token, number as u64), keyed: name == Name::Key };
        self.known.push(known.clone());
        self.resubmit(via, &known);
    }

    fn resubmit(&mut self, via: Home, known: &Known) {
        if !known.keyed {
            self.sim.submit(via, &known.work, known.id);
            return;
        }
        let token = self.sim.process(via).expect("the process is known").entry.own_token();
        let fresh = id(token, self.sim.checker.calls.len() as u64 + 1_000);
        self.sim.submit_keyed(via, &known.work, fresh);
    }

    fn inject_fault(&mut self, step: &Step) {
        let sim = &mut self.sim;
        match *step {
            Step::Executor { number, mode } => {
                let executor = sim.executors.get_mut(&executor_id(number));
                executor.into_iter().for_each(|executor| executor.mode = mode);
            }
            Step::ReportLeaving { number } => {
                let executor = sim.executors.get_mut(&executor_id(number));
                executor.into_iter().for_each(|executor| executor.leaving = true);
            }
            Step::ListLeaving { number } => sim.platform.leaving.push(executor_id(number)),
            Step::Publish => sim.publish(),
            Step::Partition { a, b } if a != b => sim.partition(a % self.entries, b % self.entries),
            Step::Heal { a, b } if a != b => sim.heal(a % self.entries, b % self.entries),
            Step::Reconnect { a, b } if a != b => {
                sim.drop_connection(a % self.entries, b % self.entries);
                sim.connect_all();
            }
            Step::Platform { service } => sim.platform.service = service,
            Step::Settings { revision, vms } => {
                let leaving = vec![revision as usize % sim.shape.executors];
                let shape = Shape { leaving, ..sim.shape.clone() };
                let some: Vec<_> = (0..self.entries).filter(|vm| vms >> vm & 1 == 1).collect();
                sim.configure(shape, Revision(revision), &some);
            }
            _ => self.inject_entry_fault(step),
        }
    }

    fn inject_entry_fault(&mut self, step: &Step) {
        match *step {
            Step::Kill { vm } => {
                let home = self.up(vm).or_else(|| self.process_in_state(vm, ProcessState::Paused));
                home.into_iter().for_each(|home| self.sim.kill(home));
            }
            Step::RemoveVm { vm } => {
                let vm = vm % self.entries;
                if self.sim.at(vm).is_none() {
                    self.sim.platform.gone.push(EntryId(vm as u64));
                }
            }
            // A VM that is on the list again has a new process.
            Step::Boot { vm } if self.up(vm).is_none() => {
                let vm = vm % self.entries;
                self.sim.platform.gone.retain(|entry| *entry != EntryId(vm as u64));
                self.sim.boot(vm);
            }
            Step::Pause { vm } => {
                self.up(vm).into_iter().for_each(|home| self.sim.pause(home));
            }
            Step::Resume { vm } => {
                let paused = self.process_in_state(vm, ProcessState::Paused);
                paused.into_iter().for_each(|home| self.sim.resume(home));
            }
            Step::Drain { vm } => {
                let home = self.up(vm);
                home.into_iter().for_each(|home| self.sim.tell(home, Event::Drain));
            }
            _ => {}
        }
    }

    /// Ends all faults, then checks that nothing stays open and that all capacity can be used
    /// again.
    pub fn settle(&mut self) {
        self.end_faults();
        self.sim.run(Span::from_secs(45));
        for home in self.sim.live() {
            let entry = &self.sim.process(home).expect("the process is known").entry;
            assert_eq!(entry.open_submissions(), 0, "submissions stay open at {home}");
            assert_eq!(entry.overview().routed, 0, "requests stay open at {home}");
        }
        let unanswered = self.sim.checker.unanswered();
        assert!(unanswered.is_none(), "a request was never answered: {unanswered:?}");
        self.check_capacity();
    }

    fn end_faults(&mut self) {
        let sim = &mut self.sim;
        for vm in 0..self.entries {
            (0..vm).for_each(|other| sim.heal(vm, other));
        }
        let paused: Vec<_> = sim
            .processes
            .iter()
            .filter(|p| p.state == ProcessState::Paused)
            .map(|p| p.home)
            .collect();
        paused.into_iter().for_each(|home| sim.resume(home));
        // Of two processes on one VM the older one ends.
        sim.run(Span::from_secs(2));
        let replaced = sim.live().into_iter().filter(|home| sim.checker.gone.contains(home));
        replaced.collect::<Vec<_>>().into_iter().for_each(|home| sim.kill(home));
        sim.platform.service = Service::Up;
        sim.platform.gone.clear();
        sim.platform.leaving.clear();
        for executor in sim.executors.values_mut() {
            (executor.mode, executor.leaving) = (Mode::Work, false);
        }
        // A drain that has begun ends within the longest deadline plus the time limit of a
        // handover.
        sim.run(Span::from_secs(16));
        for vm in 0..self.entries {
            if sim.at(vm).is_none() {
                sim.boot(vm);
            }
        }
        sim.replace_executors();
        sim.publish();
        sim.run(Span::from_secs(2));
        sim.publish();
    }

    /// Checks at each live entry that a job that needs all capacity several times over completes.
    fn check_capacity(&mut self) {
        let slots = self.sim.shape.executors as u32 * self.sim.shape.slots;
        for (number, home) in self.sim.live().into_iter().enumerate() {
            let entry = &self.sim.process(home).expect("the process is known").entry;
            if entry.is_draining() {
                continue;
            }
            let work = Work::job(&format!("{} {number}", FIRMS[0]), slots as u16 * 4);
            let work = work.within(Span::from_secs(30));
            let token = entry.own_token();
            let waiter = self.sim.submit(home, &work, id(token, 5_000));
            self.sim.run(Span::from_secs(32));
            let answer = self.sim.checker.answer_of(waiter);
            assert!(matches!(answer, Some(Answer::Complete(_))), "at {home}: {answer:?}");
        }
        let usable = self.sim.usable();
        assert!(usable >= slots, "only {usable} of {slots} slots are usable");
    }
}
