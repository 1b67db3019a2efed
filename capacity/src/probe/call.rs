//! Measures the processor time of an HTTP call to an endpoint.

use super::{Sink, min_of_runs};
use crate::{Error, Point, Probe, Quantity, fake::responder::Responder, measure::process_time};
use endpoint::{
    Call, Reply, Transport,
    http::{Client, Options},
};
use site::{
    id::{AttemptId, Incarnation, SubmissionId, TaskId},
    service::Place,
    unit::{Memory, Resources, Span},
};
use smol::block_on;
use std::{net::SocketAddr, sync::Arc};

/// Numbers of concurrent calls.
const CONCURRENT_CALLS: [usize; 3] = [1, 16, 64];

/// Total calls of one measurement.
const MEASURED_CALLS: usize = 12_800;

/// Calls before the measurement.
const WARM_UP_CALLS: usize = 640;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    CONCURRENT_CALLS.into_iter().try_for_each(|parallel| sink(min_of_runs(|| point(parallel))?))
}

fn point(parallel: usize) -> Result<Point, Error> {
    let responder = Responder::spawn()?;
    let client = Arc::new(Client::new(Incarnation(1), Options::default()));
    make_calls(&client, responder.address(), parallel, WARM_UP_CALLS);
    let before = process_time() - responder.cpu_time();
    let found = make_calls(&client, responder.address(), parallel, MEASURED_CALLS);
    let spent = process_time() - responder.cpu_time() - before;
    let expected = (MEASURED_CALLS / parallel * parallel) as u64;
    if found != expected {
        return Err(Error::Unexpected { probe: Probe::Call, expected, found });
    }
    Ok(Point::new(Probe::Call, parallel, [(Quantity::CpuNs, spent as f64 / expected as f64)]))
}

/// Makes `count` calls, `parallel` at a time, and returns how many succeeded.
fn make_calls(client: &Arc<Client>, address: SocketAddr, parallel: usize, count: usize) -> u64 {
    let lane = |client: Arc<Client>| async move {
        let mut done = 0;
        for _ in 0..count / parallel {
            let report = client.call(call(address, parallel)).await;
            done += u64::from(matches!(report.reply, Reply::Done(_)));
        }
        done
    };
    let lanes: Vec<_> = (0..parallel).map(|_| smol::spawn(lane(client.clone()))).collect();
    block_on(async {
        let mut done = 0;
        for lane in lanes {
            done += lane.await;
        }
        done
    })
}

fn call(address: SocketAddr, parallel: usize) -> Call {
    Call {
        attempt: AttemptId(1),
        task: TaskId { submission: SubmissionId::default(), index: 0 },
        address,
        place: Place::Executors,
        service: "check".into(),
        content_type: "application/json".into(),
        body: "{}".into(),
        needs: Resources::SLOT,
        time_limit: Span::from_secs(30),
        body_limit: Memory(1 << 20),
        connections: parallel as u32,
    }
}
