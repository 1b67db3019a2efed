//! Measures key claims, which are committed to documents in the platform's store.

use super::{Sink, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{load::home, store::MemoryStore},
    measure::timed,
};
use compact_str::format_compact;
use platform::claim::{Batch, Claim, Now, RateLimiter, Shard, Timestamp};
use site::{
    id::{FirmId, SubmissionId, Token},
    unit::Time,
};
use smol::block_on;
use uuid::Uuid;

/// Numbers of claims that the document already holds.
const DOCUMENT_CLAIMS: [usize; 3] = [100, 700, 2_000];

/// Claims of one measurement, each committed separately.
const MEASURED_CLAIMS: usize = 20;

const FIRM: FirmId = FirmId(1);

const NOW: Now = Now { time: Time(0), calendar: Timestamp(1_800_000_000) };

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    DOCUMENT_CLAIMS.into_iter().try_for_each(|size| sink(min_of_runs(|| point(size))?))
}

fn point(size: usize) -> Result<Point, Error> {
    let (store, budget) = (MemoryStore::default(), RateLimiter::new(1, 1_000));
    let mut claims = claims();
    let commit = |claims: Vec<Claim>| -> Result<(), Error> {
        for batch in Batch::split(claims) {
            block_on(batch.commit(&store, &budget, NOW))?;
        }
        Ok(())
    };
    commit(claims.by_ref().take(size).collect())?;
    let bytes = store.bytes() as f64 / size as f64;
    let before = store.calls();
    let single: Vec<Claim> = claims.take(MEASURED_CLAIMS).collect();
    let (result, time) = timed(|| single.into_iter().try_for_each(|claim| commit(vec![claim])));
    result?;
    let values = [
        (Quantity::CpuNs, time / MEASURED_CLAIMS as f64),
        (Quantity::Calls, (store.calls() - before) as f64 / MEASURED_CLAIMS as f64),
        (Quantity::HeapBytes, bytes),
        (Quantity::DocumentBytes, bytes * size as f64),
    ];
    Ok(Point::new(Probe::Claim, size, values))
}

/// Returns claims whose keys all belong to the same document.
fn claims() -> impl Iterator<Item = Claim> {
    let key = |number: u64| format_compact!("order-{number:012}");
    let shard = Shard::of(FIRM, &key(0));
    let same_shard = (0..).filter(move |number| Shard::of(FIRM, &key(*number)) == shard);
    same_shard.map(move |number| Claim {
        firm: FIRM,
        key: key(number),
        id: SubmissionId {
            token: Token { home: home(0, 0), epoch: 100 },
            unique: Uuid::from_u64_pair(number, number),
        },
        replaces: None,
        expires: Timestamp(NOW.calendar.0 + 86_400),
    })
}
