//! Packets that must be refused, and arbitrary bytes.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_wire::prelude::*;
use rand::Rng;

fn keys() -> KeyRing {
    KeyRing {
        current: [7; 32],
        previous: None,
    }
}

fn packet(incarnation: u64, sequence: u64) -> Packet {
    Packet {
        sender: HostName::new("entry-1"),
        incarnation,
        sequence,
        utilisation: 0,
        messages: vec![WireMessage::Ping { nonce: 5 }],
    }
}

/// Guards against accepting a packet twice, from an old process, or meant for another host.
#[test]
fn replays_are_refused() {
    let (me, mut table) = (HostName::new("entry-2"), ReplayTable::default());
    let sealed = |i, s| seal(&keys(), &HostName::new("entry-2"), &packet(i, s)).unwrap();
    let mut admit = |bytes: &[u8]| open(&keys(), &me, &mut table, bytes);
    assert_eq!(admit(&sealed(3, 10)).unwrap(), packet(3, 10));
    assert!(matches!(
        admit(&sealed(3, 10)),
        Err(OpenError::Replayed { .. })
    ));
    assert!(admit(&sealed(3, 9)).is_ok(), "reordering within the window");
    assert!(admit(&sealed(3, 400)).is_ok());
    assert!(matches!(
        admit(&sealed(3, 11)),
        Err(OpenError::Replayed { .. })
    ));
    assert!(admit(&sealed(4, 1)).is_ok(), "restart");
    assert!(matches!(
        admit(&sealed(3, 401)),
        Err(OpenError::OldIncarnation { .. })
    ));
    let other = HostName::new("entry-3");
    let result = open(&keys(), &other, &mut ReplayTable::default(), &sealed(5, 1));
    assert!(matches!(result, Err(OpenError::HashMismatch)));
}

/// Guards against acceptance of changed, cut, oversized and unknown packets.
#[test]
fn damaged_packets_are_refused() {
    let me = HostName::new("entry-2");
    let bytes = seal(&keys(), &me, &packet(1, 1)).unwrap();
    let attempt = |bytes: &[u8]| open(&keys(), &me, &mut ReplayTable::default(), bytes);
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 1;
        assert!(attempt(&damaged).is_err(), "bit flipped in byte {index}");
        assert!(attempt(&bytes[..index]).is_err(), "cut at {index}");
    }
    let mut unknown = bytes.clone();
    unknown[0] = 9;
    assert!(matches!(
        attempt(&unknown),
        Err(OpenError::UnknownVersion { version: 9 })
    ));
    assert!(matches!(
        attempt(&[1; 1201]),
        Err(OpenError::Oversized { .. })
    ));
    let mut large = packet(1, 1);
    large.messages = vec![WireMessage::WhoIs(vec![NameId([1; 6]); 300])];
    assert!(matches!(
        seal(&keys(), &me, &large),
        Err(SealError::TooLarge { .. })
    ));
}

/// Guards against packet loss during a key change, and against acceptance of a dropped key.
#[test]
fn two_keys_are_accepted() {
    let me = HostName::new("entry-2");
    let bytes = seal(&keys(), &me, &packet(1, 1)).unwrap();
    let rotated = |previous| KeyRing {
        current: [8; 32],
        previous,
    };
    let attempt = |ring: &KeyRing| open(ring, &me, &mut ReplayTable::default(), &bytes);
    assert!(attempt(&rotated(Some([7; 32]))).is_ok());
    assert!(matches!(
        attempt(&rotated(None)),
        Err(OpenError::HashMismatch)
    ));
}

/// Guards against panics and acceptance on arbitrary bytes, with and without a valid hash.
///
/// Bolero enumerates the seeds, since its random mode draws new ones in every run.
#[test]
fn arbitrary_bytes_never_panic() {
    bolero::check!()
        .with_generator(0u16..20_000)
        .exhaustive()
        .for_each(|seed| {
            let mut rng = seeded_rng(u64::from(*seed));
            let mut bytes = vec![0; rng.random_range(0..1180)];
            rng.fill(&mut bytes[..]);
            // Small values keep lengths short, so that decoding gets beyond the sender's name.
            if rng.random() {
                bytes.iter_mut().for_each(|byte| *byte %= 16);
            }
            let me = HostName::new("entry-2");
            let mut table = ReplayTable::default();
            assert!(open(&keys(), &me, &mut table, &bytes).is_err());
            let mut signed = vec![1];
            signed.extend_from_slice(&bytes);
            let mut hasher = blake3::Hasher::new_keyed(&[7; 32]);
            hasher.update(&7u64.to_le_bytes());
            hasher.update(b"entry-2").update(&signed);
            signed.extend_from_slice(&hasher.finalize().as_bytes()[..16]);
            if let Ok(packet) = open(&keys(), &me, &mut table, &signed) {
                let again = open(&keys(), &me, &mut table, &signed);
                assert!(again.is_err(), "{packet:?}");
            }
        });
}

/// Guards against load that is hidden, wraps around or grows with each host that passes it on.
#[test]
fn tokens_are_rounded_up_once() {
    let me = HostName::new("entry-2");
    for (tokens, received) in [
        (0, 0),
        (1, 64),
        (64, 64),
        (4000, 4032),
        (u64::MAX, u64::MAX),
    ] {
        let record = |tokens| HostRecord {
            host: NameId::of("entry-1"),
            stamp: 1,
            age_ms: 0,
            catalog: 1,
            loads: vec![TargetDelta {
                target: 1,
                sequence: 1,
                requests: 1,
                tokens,
            }],
        };
        let mut expected = packet(1, 1);
        expected.messages = vec![WireMessage::Records(vec![record(received)])];
        for tokens in [tokens, received] {
            let mut sent = packet(1, 1);
            sent.messages = vec![WireMessage::Records(vec![record(tokens)])];
            let bytes = seal(&keys(), &me, &sent).unwrap();
            let opened = open(&keys(), &me, &mut ReplayTable::default(), &bytes);
            assert_eq!(opened.unwrap(), expected);
        }
    }
}
