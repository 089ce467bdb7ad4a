//! Decoders accept or reject any bytes without a panic, and return what was encoded.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quetzal_lib::coordination::{cookie, message, sheet as acceptance};
use quetzal_lib::protocol::{ip, manifest, settings, sheet, wire};
use quetzal_lib::state::{count, flow, key};

fn keyring(number: u8, secret: u64) -> wire::Keyring {
    wire::Keyring {
        keys: vec![wire::Key {
            number,
            secret: (secret, !secret),
        }],
    }
}

fn placement(flow: u64) -> message::Placement {
    message::Placement {
        age: 3,
        confirmed: true,
        flow: flow::Key {
            high: flow,
            low: !flow,
        },
        phase: flow::Phase::Open,
        target: key::Id(flow.wrapping_mul(7)),
    }
}

// Guards against heartbeats of a build with other fields that are decoded into wrong values while
// both builds run.
#[test]
fn heartbeats_of_another_form_are_refused() {
    let keyring = keyring(1, 5);
    let sender = key::Instance(0);
    // The form before this one begins with an optional age.
    let former = (Some(5u32), 23u64, [0u8; 32], [0u8; 32]);
    let bytes = wire::encode(&keyring, wire::Kind::Heartbeat, sender, &former);
    assert!(wire::decode::<cookie::heartbeat::Heartbeat>(&keyring, &bytes).is_err());
    let current = cookie::heartbeat::Heartbeat::default();
    let bytes = wire::encode(&keyring, wire::Kind::Heartbeat, sender, &current);
    let decoded = wire::decode::<cookie::heartbeat::Heartbeat>(&keyring, &bytes);
    assert!(decoded.is_ok());
    assert!(wire::decode::<(Option<u32>, u64)>(&keyring, &bytes).is_err());
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..Config::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let keyring = keyring(1, 5);
        let _ = ip::parse(&bytes);
        let _ = wire::kind(&bytes);
        let _ = wire::decode_relay(&keyring, &bytes);
        prop_assert!(wire::decode::<message::Heartbeat>(&keyring, &bytes).is_err());
        prop_assert!(wire::decode::<message::Traffic>(&keyring, &bytes).is_err());
    }

    #[test]
    fn damaged_packets_are_parsed_or_refused(
        mut bytes in prop::collection::vec(any::<u8>(), 20..120),
        version in prop_oneof![Just(0x45u8), Just(0x46), Just(0x4f), Just(0x60)],
        protocol in prop_oneof![Just(6u8), Just(17), Just(1), Just(44)],
    ) {
        bytes[0] = version;
        bytes[6] = protocol;
        bytes[9] = protocol;
        let length = bytes.len() as u16;
        bytes[2..4].copy_from_slice(&length.to_be_bytes());
        if let Ok(header) = ip::parse(&bytes) {
            let _ = ip::refusal(&bytes, &header);
        }
    }

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,200}") {
        let documents = [message::Document { name: "any.toml".into(), text: text.clone() }];
        let _ = sheet::draft(1, &documents);
        let _ = manifest::parse(&text);
        let _ = settings::parse("any.ini", &text);
    }

    #[test]
    fn frames_round_trip_and_damage_is_detected(
        flows in prop::collection::vec(any::<u64>(), 1..30),
        sender in 0u16..32,
        flip in any::<prop::sample::Index>(),
    ) {
        let keyring = keyring(9, 77);
        let message = message::Traffic::Replicate(flows.iter().map(|id| placement(*id)).collect());
        let sender = key::Instance(sender);
        let mut frame = wire::encode(&keyring, wire::Kind::Traffic, sender, &message);
        let decoded = wire::decode::<message::Traffic>(&keyring, &frame);
        prop_assert_eq!(decoded, Ok((sender, message)));
        let index = flip.index(frame.len());
        frame[index] ^= 0x10;
        prop_assert!(wire::decode::<message::Traffic>(&keyring, &frame).is_err());
    }

    #[test]
    fn relays_round_trip(packet in prop::collection::vec(any::<u8>(), 0..200), hops in 0u8..3) {
        let keyring = keyring(2, 3);
        let mut frame = Vec::new();
        let relay = message::Relay { hops, revision: 400 };
        wire::encode_relay(&keyring, key::Instance(4), relay, &packet, &mut frame);
        let head = frame.len();
        prop_assert!(head <= wire::MAX_RELAY_HEADER_BYTES);
        frame.extend_from_slice(&packet);
        prop_assert_eq!(wire::decode_relay(&keyring, &frame), Ok((key::Instance(4), relay, head)));
    }
}

#[test]
fn keys_rotate_without_a_gap() {
    let old = keyring(1, 10);
    let new = keyring(2, 20);
    let both = |first: &wire::Keyring, second: &wire::Keyring| wire::Keyring {
        keys: first.keys.iter().chain(&second.keys).copied().collect(),
    };
    let sender = key::Instance(0);
    let message = message::Traffic::Acknowledge(vec![1]);
    let by_old = wire::encode(&both(&old, &new), wire::Kind::Traffic, sender, &message);
    let by_new = wire::encode(&both(&new, &old), wire::Kind::Traffic, sender, &message);
    for keyring in [both(&old, &new), both(&new, &old)] {
        assert!(wire::decode::<message::Traffic>(&keyring, &by_old).is_ok());
        assert!(wire::decode::<message::Traffic>(&keyring, &by_new).is_ok());
    }
    assert_eq!(
        wire::decode::<message::Traffic>(&new, &by_old),
        Err(count::Counter::DropAuthentication)
    );
}

#[test]
fn a_document_of_a_megabyte_is_read_and_a_larger_one_refused() {
    let head = "[[zone]]\nname = \"a\"\n# ";
    let text = |size: usize| format!("{head}{}", "x".repeat(size - head.len()));
    let read = |size| {
        let document = message::Document {
            name: "large.toml".into(),
            text: text(size),
        };
        sheet::draft(1, &[document])
    };
    assert!(read(acceptance::MAX_DOCUMENT_BYTES).is_ok());
    assert!(read(acceptance::MAX_DOCUMENT_BYTES + 1).is_err());
}
