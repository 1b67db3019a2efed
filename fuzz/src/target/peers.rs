//! Target for messages of other entries, which the state machine of an entry handles.

mod deployment;
mod generate;
mod simulation;
mod step;

use super::Target;
use crate::{Outcome, Random, shrink};
use compact_str::CompactString;
use simulation::Simulation;
use step::Step;

/// Largest growth of the heap for one case, in bytes.
const HEAP_BOUND: usize = 24 << 20;

/// Events of an entry. A case is a list of `Step`s.
#[derive(Debug, Default)]
pub struct Peers {
    deployment: deployment::Deployment,
}

impl Target for Peers {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn heap_bound(&self) -> usize {
        HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        postcard::to_stdvec(&generate::steps(&self.deployment, rng)).expect("steps can be written")
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let Ok(steps) = postcard::from_bytes::<Vec<Step>>(case) else {
            return Ok("no case".into());
        };
        Simulation::new(&self.deployment).run(steps).map(CompactString::from)
    }

    fn show(&self, case: &[u8]) -> String {
        format!("{:#?}", postcard::from_bytes::<Vec<Step>>(case))
    }

    fn smaller(&self, case: &[u8]) -> Vec<Vec<u8>> {
        let Ok(steps) = postcard::from_bytes::<Vec<Step>>(case) else { return Vec::new() };
        let write = |steps: Vec<Step>| postcard::to_stdvec(&steps).ok();
        shrink::without_parts(&steps).into_iter().filter_map(write).collect()
    }
}
