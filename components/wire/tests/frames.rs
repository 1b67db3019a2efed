//! Frames: round trips, chunked input, limits and malformed bytes.

mod common;

use common::{KINDS, kind, message};
use dispatch::Message;
use proptest::{collection::vec, prelude::*};
use wire::{Decoder, Error, Frame, Hello, Limit, MAX_FRAME_BYTES, VERSION, frame};

fn encoded(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame::append(message, Limit::default(), &mut bytes).expect("it fits");
    bytes
}

fn decoded(bytes: &[u8]) -> Result<Vec<Message>, Error> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    let messages = drain(&mut decoder)?;
    decoder.finish()?;
    Ok(messages)
}

fn drain(decoder: &mut Decoder) -> Result<Vec<Message>, Error> {
    let mut messages = Vec::new();
    while let Some(frame) = decoder.take()? {
        messages.push(frame.message);
    }
    Ok(messages)
}

#[test]
fn every_kind_has_a_number() {
    for number in 0..KINDS {
        assert_eq!(kind(&message(number, 1)), number);
    }
}

#[test]
fn the_encoding_of_a_frame_is_fixed() {
    let bytes = encoded(&Message::SettingsWanted { have: site::unit::Revision(5) });
    assert_eq!(bytes, [3, 0, 0, 0, VERSION, 15, 5]);
}

#[test]
fn another_version_is_refused() {
    let mut bytes = encoded(&message(11, 1));
    bytes[frame::PREFIX_BYTES] = VERSION + 1;
    assert_eq!(decoded(&bytes), Err(Error::Version { got: VERSION + 1 }));
}

#[test]
fn an_empty_frame_is_truncated() {
    assert_eq!(decoded(&[0; 4]), Err(Error::Truncated));
}

#[test]
fn bytes_after_the_message_are_refused() {
    let mut bytes = encoded(&message(15, 1));
    bytes.extend([0, 0]);
    let length = (bytes.len() - frame::PREFIX_BYTES) as u32;
    bytes[..frame::PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
    assert_eq!(decoded(&bytes), Err(Error::Trailing { extra: 2 }));
}

#[test]
fn an_unknown_kind_is_malformed() {
    assert_eq!(decoded(&[2, 0, 0, 0, VERSION, 120]), Err(Error::Malformed));
}

#[test]
fn a_claimed_length_above_the_limit_is_refused_at_once() {
    let mut decoder = Decoder::new(Limit::new(100).expect("in bounds"));
    decoder.feed(&101u32.to_le_bytes());
    let refusal = Error::TooLarge { length: 101, limit: 100 };
    assert_eq!(drain(&mut decoder), Err(refusal));
    decoder.feed(&encoded(&message(15, 1)));
    assert_eq!(drain(&mut decoder), Err(refusal), "an error is final");
    assert_eq!(decoder.finish(), Err(refusal));
}

#[test]
fn a_claimed_count_allocates_no_memory() {
    let mut body = vec![VERSION, 5, 0, 0];
    body.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(body);
    assert_eq!(decoded(&bytes), Err(Error::Truncated));
}

#[test]
fn a_message_above_the_limit_is_not_encoded() {
    let limit = Limit::new(2).expect("in bounds");
    let mut bytes = vec![7];
    let refusal = frame::append(&message(15, 1), limit, &mut bytes);
    assert!(matches!(refusal, Err(Error::TooLarge { limit: 2, .. })));
    assert_eq!(bytes, [7]);
}

#[test]
fn limits_are_bounded() {
    assert!(Limit::new(0).is_err());
    assert!(Limit::new(MAX_FRAME_BYTES).is_ok());
    assert!(Limit::new(MAX_FRAME_BYTES + 1).is_err());
}

#[test]
fn a_hello_round_trips() {
    let hello = Hello {
        home: "1-2-3".parse().expect("a home"),
        addresses: vec!["127.0.0.1:80".parse().expect("an address")],
    };
    let mut bytes = Vec::new();
    Frame::new(hello.clone()).encode(Limit::default(), &mut bytes).expect("it fits");
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    assert_eq!(decoder.take::<Hello>(), Ok(Some(Frame::new(hello))));
}

proptest! {
    #[test]
    fn every_message_round_trips(kind in 0..KINDS, seed in any::<u64>()) {
        let message = message(kind, seed);
        prop_assert_eq!(decoded(&encoded(&message)), Ok(vec![message]));
    }

    #[test]
    fn frames_arrive_in_order_in_chunks_of_any_size(
        seeds in vec((0..KINDS, any::<u64>()), 1..10),
        piece in 1..300usize,
    ) {
        let messages: Vec<_> = seeds.iter().map(|(kind, seed)| message(*kind, *seed)).collect();
        let bytes: Vec<_> = messages.iter().flat_map(encoded).collect();
        let mut decoder = Decoder::default();
        let mut arrived = Vec::new();
        for chunk in bytes.chunks(piece) {
            decoder.feed(chunk);
            arrived.extend(drain(&mut decoder).expect("the frames are valid"));
        }
        prop_assert_eq!(arrived, messages);
        prop_assert_eq!(decoder.finish(), Ok(()));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = decoded(&bytes);
        let _ = Frame::<Message>::decode(&bytes);
        let _ = Frame::<Hello>::decode(&bytes);
    }

    #[test]
    fn truncated_frames_are_truncated(
        kind in 0..KINDS,
        seed in any::<u64>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encoded(&message(kind, seed));
        let kept = cut.index(bytes.len());
        let expected = if kept == 0 { Ok(vec![]) } else { Err(Error::Truncated) };
        prop_assert_eq!(decoded(&bytes[..kept]), expected);
        if kept > frame::PREFIX_BYTES {
            prop_assert_eq!(
                Frame::<Message>::decode(&bytes[frame::PREFIX_BYTES..kept]),
                Err(Error::Truncated)
            );
        }
    }

    #[test]
    fn mutated_frames_never_panic(
        kind in 0..KINDS,
        seed in any::<u64>(),
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    ) {
        let mut bytes = encoded(&message(kind, seed));
        for (place, value) in changes {
            let place = place.index(bytes.len());
            bytes[place] = value;
        }
        if let Ok(messages) = decoded(&bytes) {
            let again: Vec<_> = messages.iter().flat_map(encoded).collect();
            prop_assert_eq!(decoded(&again), Ok(messages));
        }
    }
}
