//! Measures submissions that an entry forwards to their home.

use super::{Sink, encode, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{self, CHECK, Folder},
        load::{entry, home, output, submission},
        peers,
    },
    measure::{min_time, timed},
};
use dispatch::{Action, Event, Message};
use site::{
    id::{FirmId, ServiceId, Token, WaiterId},
    submission::Answer,
    unit::Time,
};
use std::sync::Arc;
use wire::{Frame, frame::PREFIX_BYTES};

const TASKS: [usize; 4] = [1, 25, 125, 780];

/// Submissions of one measurement.
const MEASURED_SUBMISSIONS: usize = 5_000;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    TASKS.into_iter().try_for_each(|tasks| sink(min_of_runs(|| point(tasks))?))
}

fn point(tasks: usize) -> Result<Point, Error> {
    let site = Folder { executors: 50, ..Folder::default() }.site()?;
    let entry = entry(home(0, 0), site, u32::MAX);
    let token = Token { home: home(0, 1), epoch: 0 };
    let mut out = Vec::new();
    peers::connect(&entry, Time(1), &[token.home], &mut out);
    let (firm, service) = (FirmId::of(&folder::firm(0)), ServiceId::of(CHECK));
    let submissions =
        (0..MEASURED_SUBMISSIONS as u64).map(|n| submission(token, n, tasks, firm, service));
    let submissions: Vec<_> = submissions.collect();
    let answer = Arc::new(Answer::Complete(vec![output(); tasks]));
    let mut requests = Vec::new();
    let mut sample = None;
    let ((), time) = timed(|| {
        for (number, submission) in submissions.into_iter().enumerate() {
            out.clear();
            let waiter = WaiterId(number as u64);
            entry.handle(Time(2), Event::Submit { waiter, submission }, &mut out);
            let sent = out.drain(..).find_map(|action| match action {
                Action::Send { message: message @ Message::Submit { .. }, .. } => Some(message),
                _ => None,
            });
            if let Some(Message::Submit { request, .. }) = &sent {
                requests.push(*request);
            }
            sample = sent;
        }
        for request in &requests {
            out.clear();
            let message = Message::Answered { request: *request, answer: answer.clone() };
            entry.handle(Time(3), Event::Message { from: token.home, message }, &mut out);
        }
    });
    let (expected, found) = (MEASURED_SUBMISSIONS as u64, requests.len() as u64);
    let Some(submit) = sample.filter(|_| found == expected) else {
        return Err(Error::Unexpected { probe: Probe::Forward, expected, found });
    };
    let answered = Message::Answered { request: 1, answer };
    let bytes = (encode(&submit)?.len() + encode(&answered)?.len()) as f64;
    let codec = min_time(20, || [&submit, &answered].map(round_trip));
    let values = [
        (Quantity::CpuNs, time / MEASURED_SUBMISSIONS as f64),
        (Quantity::WireBytes, bytes),
        (Quantity::CodecNs, codec),
    ];
    Ok(Point::new(Probe::Forward, tasks, values))
}

/// Encodes and decodes a message.
fn round_trip(message: &Message) -> Result<Frame, Error> {
    Ok(Frame::decode(&encode(message)?[PREFIX_BYTES..])?)
}
