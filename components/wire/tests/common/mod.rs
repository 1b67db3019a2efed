//! Messages generated from a seed, for the tests and the fuzzing bench of this crate.

use bytes::Bytes;
use dispatch::{
    Message,
    action::Status,
    message::{
        CapacityRequest, Demand, Grant, Handover, Heartbeat, HomeTable, Lend, Record,
        ServiceGrants, Settings, Usage,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::{
        CrewId, DataCentreId, EndpointId, EntryId, FirmId, Home, Incarnation, ServiceId,
        SubmissionId, Token,
    },
    submission::{Answer, Failure, Kind, Outcome, Output, Reason, Submission, Task},
    unit::{Accelerators, Cores, Memory, Resources, Revision, Slots, Span},
};
use std::sync::Arc;
use uuid::Uuid;

/// Number of kinds of messages; `kind` is below this.
pub(crate) const KINDS: usize = 17;

/// Returns the number of a message's kind. A new kind needs a number here and a case in
/// [`message`].
pub(crate) fn kind(message: &Message) -> usize {
    match message {
        Message::Submit { .. } => 0,
        Message::Fetch { .. } => 1,
        Message::Cancel { .. } => 2,
        Message::Query { .. } => 3,
        Message::Progress { .. } => 4,
        Message::Answered { .. } => 5,
        Message::CapacityRequest(_) => 6,
        Message::Lend(_) => 7,
        Message::Return(_) => 8,
        Message::InUse(_) => 9,
        Message::Usage(_) => 10,
        Message::Heartbeat(_) => 11,
        Message::Handover(_) => 12,
        Message::HandoverStored { .. } => 13,
        Message::Moved { .. } => 14,
        Message::SettingsWanted { .. } => 15,
        Message::Settings { .. } => 16,
    }
}

/// Returns a message of the given kind that is generated from the seed.
pub(crate) fn message(kind: usize, seed: u64) -> Message {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let (request, id, firm) = (number(rng), submission_id(rng), FirmId(number(rng)));
    match kind {
        0 => Message::Submit { request, submission: Arc::new(submission(rng)) },
        1 => Message::Fetch { request, id, firm, deadline: span(rng) },
        2 => Message::Cancel { request, id, firm },
        3 => Message::Query { request, id, firm },
        4 => Message::Progress { request, status: maybe(rng, status) },
        5 => Message::Answered { request, answer: Arc::new(answer(rng)) },
        6 => Message::CapacityRequest(capacity_request(rng)),
        7 => Message::Lend(Lend { service: ServiceId(number(rng)), grants: several(rng, grant) }),
        8 => Message::Return(service_grants(rng)),
        9 => Message::InUse(service_grants(rng)),
        10 => Message::Usage(usage(rng)),
        11 => Message::Heartbeat(heartbeat(rng)),
        12 => Message::Handover(handover(rng)),
        13 => Message::HandoverStored { home: home(rng), part: rng.random() },
        14 => Message::Moved { home: home(rng), successor: home(rng) },
        15 => Message::SettingsWanted { have: Revision(number(rng)) },
        _ => Message::Settings(settings(rng)),
    }
}

type Random = ChaCha8Rng;

/// Returns a random number of random magnitude.
fn number(rng: &mut Random) -> u64 {
    let shift = rng.random_range(0..64);
    rng.random::<u64>() >> shift
}

fn several<T>(rng: &mut Random, make: fn(&mut Random) -> T) -> Vec<T> {
    let count = rng.random_range(0..6);
    (0..count).map(|_| make(rng)).collect()
}

fn maybe<T>(rng: &mut Random, make: fn(&mut Random) -> T) -> Option<T> {
    let some = rng.random();
    if some { Some(make(rng)) } else { None }
}

fn home(rng: &mut Random) -> Home {
    Home {
        data_centre: DataCentreId(number(rng)),
        entry: EntryId(number(rng)),
        incarnation: Incarnation(number(rng)),
    }
}

fn submission_id(rng: &mut Random) -> SubmissionId {
    let token = Token { home: home(rng), epoch: rng.random() };
    SubmissionId { token, unique: Uuid::from_u128(rng.random()) }
}

fn span(rng: &mut Random) -> Span {
    Span(number(rng))
}

fn resources(rng: &mut Random) -> Resources {
    Resources {
        slots: Slots(rng.random()),
        cores: Cores(rng.random_range(0..1_000_000)),
        memory: Memory(number(rng)),
        accelerators: Accelerators(rng.random()),
    }
}

fn bytes(rng: &mut Random) -> Bytes {
    let length = rng.random_range(0..200);
    (0..length).map(|_| rng.random::<u8>()).collect()
}

fn task(rng: &mut Random) -> Task {
    Task {
        body: bytes(rng),
        content_type: "application/json".into(),
        needs: resources(rng),
        run_time: span(rng),
    }
}

fn submission(rng: &mut Random) -> Submission {
    Submission {
        id: submission_id(rng),
        kind: if rng.random() { Kind::Job } else { Kind::Single },
        firm: FirmId(number(rng)),
        crew: CrewId(number(rng)),
        service: ServiceId(number(rng)),
        repeatable: rng.random(),
        deadline: span(rng),
        tasks: several(rng, task),
    }
}

fn output(rng: &mut Random) -> Output {
    Output { status: rng.random(), content_type: "text/plain; é".into(), body: bytes(rng) }
}

fn failure(rng: &mut Random) -> Failure {
    let outcomes = [Outcome::NotRun, Outcome::MayHaveRun, Outcome::RanAndFailed];
    let reasons = [Reason::Deadline, Reason::Overload, Reason::HomeGone, Reason::Endpoint];
    Failure {
        outcome: outcomes[rng.random_range(0..outcomes.len())],
        reason: reasons[rng.random_range(0..reasons.len())],
        retry_after: maybe(rng, span),
    }
}

fn answer(rng: &mut Random) -> Answer {
    let complete = rng.random();
    if complete { Answer::Complete(several(rng, output)) } else { Answer::Failed(failure(rng)) }
}

fn status(rng: &mut Random) -> Status {
    Status { tasks: rng.random(), done: rng.random(), finished: rng.random() }
}

fn demand(rng: &mut Random) -> Demand {
    Demand { firm: FirmId(number(rng)), jobs: rng.random() }
}

fn capacity_request(rng: &mut Random) -> CapacityRequest {
    CapacityRequest {
        service: ServiceId(number(rng)),
        tasks: rng.random(),
        held: rng.random(),
        needs: resources(rng),
        demand: several(rng, demand),
    }
}

fn grant(rng: &mut Random) -> Grant {
    Grant { endpoint: EndpointId(number(rng)), resources: resources(rng) }
}

fn service_grants(rng: &mut Random) -> ServiceGrants {
    ServiceGrants { service: ServiceId(number(rng)), grants: several(rng, grant) }
}

fn usage(rng: &mut Random) -> Usage {
    Usage {
        service: ServiceId(number(rng)),
        firm: FirmId(number(rng)),
        running: Slots(rng.random()),
    }
}

fn heartbeat(rng: &mut Random) -> Heartbeat {
    Heartbeat {
        revision: Revision(number(rng)),
        epoch: rng.random(),
        draining: rng.random(),
        adopted: several(rng, home),
    }
}

fn record(rng: &mut Random) -> Record {
    let kept = rng.random();
    Record {
        id: submission_id(rng),
        firm: FirmId(number(rng)),
        content: rng.random(),
        answer: if kept { Ok(Arc::new(answer(rng))) } else { Err(failure(rng)) },
    }
}

fn handover(rng: &mut Random) -> Handover {
    Handover {
        home: home(rng),
        part: rng.random(),
        last: rng.random(),
        tables: vec![HomeTable { home: home(rng), first_epoch: 7 }],
        records: several(rng, record),
    }
}

fn file(rng: &mut Random) -> (String, Vec<u8>) {
    (format!("{}-firm.json", number(rng)), bytes(rng).to_vec())
}

fn settings(rng: &mut Random) -> Settings {
    Settings {
        revision: Revision(number(rng)),
        base: Revision(number(rng)),
        part: rng.random(),
        last: rng.random(),
        files: several(rng, file),
        removed: several(rng, file).into_iter().map(|(name, _)| name).collect(),
    }
}
