//! Steps of a random run: what callers, operators, machines and the platform may do.

use super::{
    executor::Mode,
    platform::Service,
    site::{FIRMS, Shape, Work, executor_id, id},
    world::{Life, World},
};
use ::site::{
    id::{EntryId, Home, SubmissionId},
    submission::{Answer, Kind},
    unit::{Revision, Span},
};
use dispatch::Event;

/// How a caller names its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name {
    /// By an identifier made with the token that the entry gives out.
    Token,
    /// By an identifier of this very VM's process.
    Home(usize),
    /// By a key of its own.
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
    /// A caller that believes a submission lost submits it again.
    Again {
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
    /// An executor says that it leaves.
    Leave {
        number: usize,
    },
    /// The platform lists an executor as leaving.
    List {
        number: usize,
    },
    Publish,
    Kill {
        vm: usize,
    },
    /// The VM is gone from the platform's list.
    Lose {
        vm: usize,
    },
    Boot {
        vm: usize,
    },
    Freeze {
        vm: usize,
    },
    Thaw {
        vm: usize,
    },
    Cut {
        a: usize,
        b: usize,
    },
    Heal {
        a: usize,
        b: usize,
    },
    /// A connection breaks and is back at once.
    Blip {
        a: usize,
        b: usize,
    },
    Drain {
        vm: usize,
    },
    Platform {
        service: Service,
    },
    /// Settings that reach some entries; older ones than those in force, too. The revision says
    /// which executor leaves.
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

/// A world under a random run.
pub struct Run {
    pub world: World,
    known: Vec<Known>,
    entries: usize,
}

impl Run {
    pub fn new(world: World, entries: usize) -> Run {
        Run { world, known: Vec::new(), entries }
    }

    fn up(&self, vm: usize) -> Option<Home> {
        let up = |home: &Home| self.world.process(*home).is_some_and(|p| p.life == Life::Up);
        self.world.at(vm % self.entries).filter(up)
    }

    /// The process on a VM in that state of life.
    fn in_life(&self, vm: usize, life: Life) -> Option<Home> {
        let processes = self.world.processes.iter().rev();
        let mut ours = processes.filter(|p| p.home.entry.0 == (vm % self.entries) as u64);
        ours.find(|p| p.life == life).map(|p| p.home)
    }

    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Submit { .. } => self.submit(step),
            Step::Again { which, vm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.resubmit(via, &known);
            }
            Step::Cancel { which, vm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.world.cancel(via, &known.work, known.id);
            }
            Step::Fetch { which, vm, firm } => {
                let Some((via, known)) = self.up(*vm).zip(self.pick(*which)) else { return };
                self.world.fetch(via, &known.work, known.id, *firm);
            }
            Step::Wait { ms } => self.world.run(Span::from_millis(*ms)),
            _ => self.disturb(step),
        }
        self.world.run(Span(300));
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
            Name::Token => self.world.process(via).map(|p| p.entry.token()),
            Name::Home(vm) => self.world.at(vm % self.entries).map(|home| {
                self.world.process(home).expect("the process is known").entry.own_token()
            }),
            Name::Key => self.world.process(via).map(|p| p.entry.own_token()),
        };
        let Some(token) = token else { return };
        let known = Known { work, id: id(token, number as u64), keyed: name == Name::Key };
        self.known.push(known.clone());
        self.resubmit(via, &known);
    }

    fn resubmit(&mut self, via: Home, known: &Known) {
        if !known.keyed {
            self.world.submit(via, &known.work, known.id);
            return;
        }
        let token = self.world.process(via).expect("the process is known").entry.own_token();
        let fresh = id(token, self.world.book.calls.len() as u64 + 1_000);
        self.world.submit_keyed(via, &known.work, fresh);
    }

    fn disturb(&mut self, step: &Step) {
        let world = &mut self.world;
        match *step {
            Step::Executor { number, mode } => {
                let executor = world.executors.get_mut(&executor_id(number));
                executor.into_iter().for_each(|executor| executor.mode = mode);
            }
            Step::Leave { number } => {
                let executor = world.executors.get_mut(&executor_id(number));
                executor.into_iter().for_each(|executor| executor.leaving = true);
            }
            Step::List { number } => world.platform.leaving.push(executor_id(number)),
            Step::Publish => world.publish(),
            Step::Cut { a, b } if a != b => world.cut(a % self.entries, b % self.entries),
            Step::Heal { a, b } if a != b => world.heal(a % self.entries, b % self.entries),
            Step::Blip { a, b } if a != b => {
                world.drop_connection(a % self.entries, b % self.entries);
                world.connect_all();
            }
            Step::Platform { service } => world.platform.service = service,
            Step::Settings { revision, vms } => {
                let leaving = vec![revision as usize % world.shape.executors];
                let shape = Shape { leaving, ..world.shape.clone() };
                let some: Vec<_> = (0..self.entries).filter(|vm| vms >> vm & 1 == 1).collect();
                world.configure(shape, Revision(revision), &some);
            }
            _ => self.disturb_entry(step),
        }
    }

    fn disturb_entry(&mut self, step: &Step) {
        match *step {
            Step::Kill { vm } => {
                let home = self.up(vm).or_else(|| self.in_life(vm, Life::Frozen));
                home.into_iter().for_each(|home| self.world.kill(home));
            }
            Step::Lose { vm } => {
                let vm = vm % self.entries;
                if self.world.at(vm).is_none() {
                    self.world.platform.gone.push(EntryId(vm as u64));
                }
            }
            // A VM that the list holds again has a new process.
            Step::Boot { vm } if self.up(vm).is_none() => {
                let vm = vm % self.entries;
                self.world.platform.gone.retain(|entry| *entry != EntryId(vm as u64));
                self.world.boot(vm);
            }
            Step::Freeze { vm } => {
                self.up(vm).into_iter().for_each(|home| self.world.freeze(home));
            }
            Step::Thaw { vm } => {
                let frozen = self.in_life(vm, Life::Frozen);
                frozen.into_iter().for_each(|home| self.world.thaw(home));
            }
            Step::Drain { vm } => {
                let home = self.up(vm);
                home.into_iter().for_each(|home| self.world.tell(home, Event::Drain));
            }
            _ => {}
        }
    }

    /// All faults end. Nothing stays open, and all capacity can be used again.
    pub fn settle(&mut self) {
        self.mend();
        self.world.run(Span::from_secs(45));
        for home in self.world.live() {
            let entry = &self.world.process(home).expect("the process is known").entry;
            assert_eq!(entry.open_submissions(), 0, "submissions stay open at {home}");
            assert_eq!(entry.overview().routed, 0, "requests stay open at {home}");
        }
        let unanswered = self.world.book.unanswered();
        assert!(unanswered.is_none(), "never answered: {unanswered:?}");
        self.check_capacity();
    }

    fn mend(&mut self) {
        let world = &mut self.world;
        for vm in 0..self.entries {
            (0..vm).for_each(|other| world.heal(vm, other));
        }
        let frozen: Vec<_> =
            world.processes.iter().filter(|p| p.life == Life::Frozen).map(|p| p.home).collect();
        frozen.into_iter().for_each(|home| world.thaw(home));
        // Of two processes of one VM the older is ended at last.
        world.run(Span::from_secs(2));
        let replaced = world.live().into_iter().filter(|home| world.book.gone.contains(home));
        replaced.collect::<Vec<_>>().into_iter().for_each(|home| world.kill(home));
        world.platform.service = Service::Up;
        world.platform.gone.clear();
        world.platform.leaving.clear();
        for executor in world.executors.values_mut() {
            (executor.mode, executor.leaving) = (Mode::Work, false);
        }
        // A stop that has begun ends within the longest deadline and the time of a handover.
        world.run(Span::from_secs(16));
        for vm in 0..self.entries {
            if world.at(vm).is_none() {
                world.boot(vm);
            }
        }
        world.replace_executors();
        world.publish();
        world.run(Span::from_secs(2));
        world.publish();
    }

    /// Each live entry gets a job through that needs all capacity at one time.
    fn check_capacity(&mut self) {
        let slots = self.world.shape.executors as u32 * self.world.shape.slots;
        for (number, home) in self.world.live().into_iter().enumerate() {
            let entry = &self.world.process(home).expect("the process is known").entry;
            if entry.is_draining() {
                continue;
            }
            let work = Work::job(&format!("{} {number}", FIRMS[0]), slots as u16 * 4);
            let work = work.within(Span::from_secs(30));
            let token = entry.own_token();
            let waiter = self.world.submit(home, &work, id(token, 5_000));
            self.world.run(Span::from_secs(32));
            let answer = self.world.book.answer_of(waiter);
            assert!(matches!(answer, Some(Answer::Complete(_))), "at {home}: {answer:?}");
        }
        let usable = self.world.usable();
        assert!(usable >= slots, "{usable} of {slots} slots are left");
    }
}
