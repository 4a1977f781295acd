//! Tests of sealing and opening packets; each names the failure that it guards against.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_wire::prelude::*;
use rand::Rng;

/// Returns a key ring without a second key.
fn keys() -> KeyRing {
    KeyRing {
        current: [7; 32],
        previous: None,
    }
}

/// Returns a packet of the host `entry-1` with one ping.
fn packet(incarnation: u64, sequence: u64) -> Packet {
    Packet {
        sender: HostName::new("entry-1"),
        incarnation,
        sequence,
        utilisation: 0,
        messages: vec![WireMessage::Ping { nonce: 5 }],
    }
}

/// Guards against accepting a packet twice, from an earlier process of its sender, or sealed for
/// another host.
#[test]
fn replays_are_refused() {
    let (recipient, mut table) = (HostName::new("entry-2"), ReplayTable::default());
    let sealed = |inc, seq| seal(&keys(), &HostName::new("entry-2"), &packet(inc, seq)).unwrap();
    let mut open_sealed = |bytes: &[u8]| open(&keys(), &recipient, &mut table, bytes);
    assert_eq!(open_sealed(&sealed(3, 10)).unwrap(), packet(3, 10));
    assert!(matches!(
        open_sealed(&sealed(3, 10)),
        Err(OpenError::Replayed { .. })
    ));
    assert!(
        open_sealed(&sealed(3, 9)).is_ok(),
        "a reordered packet within the window must be accepted"
    );
    assert!(open_sealed(&sealed(3, 400)).is_ok());
    assert!(matches!(
        open_sealed(&sealed(3, 11)),
        Err(OpenError::Replayed { .. })
    ));
    assert!(
        open_sealed(&sealed(4, 1)).is_ok(),
        "a packet of a higher incarnation must be accepted"
    );
    assert!(matches!(
        open_sealed(&sealed(3, 401)),
        Err(OpenError::OldIncarnation { .. })
    ));
    let other = HostName::new("entry-3");
    let result = open(&keys(), &other, &mut ReplayTable::default(), &sealed(5, 1));
    assert!(matches!(result, Err(OpenError::HashMismatch)));
}

/// Guards against accepting changed, cut and oversized packets, and packets of another version.
#[test]
fn damaged_packets_are_refused() {
    let recipient = HostName::new("entry-2");
    let bytes = seal(&keys(), &recipient, &packet(1, 1)).unwrap();
    let open_once = |bytes: &[u8]| open(&keys(), &recipient, &mut ReplayTable::default(), bytes);
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 1;
        assert!(
            open_once(&damaged).is_err(),
            "a packet with a flipped bit in byte {index} was accepted"
        );
        assert!(
            open_once(&bytes[..index]).is_err(),
            "a packet cut to {index} bytes was accepted"
        );
    }
    let mut unknown = bytes.clone();
    unknown[0] = 9;
    assert!(matches!(
        open_once(&unknown),
        Err(OpenError::UnknownVersion { version: 9 })
    ));
    assert!(matches!(
        open_once(&[1; 1201]),
        Err(OpenError::Oversized { .. })
    ));
    let mut large = packet(1, 1);
    large.messages = vec![WireMessage::WhoIs(vec![NameId([1; 6]); 300])];
    assert!(matches!(
        seal(&keys(), &recipient, &large),
        Err(SealError::TooLarge { .. })
    ));
}

/// Guards against packet loss during a key change, and against accepting a key that was removed.
#[test]
fn two_keys_are_accepted() {
    let recipient = HostName::new("entry-2");
    let bytes = seal(&keys(), &recipient, &packet(1, 1)).unwrap();
    let rotated = |previous| KeyRing {
        current: [8; 32],
        previous,
    };
    let open_with = |ring: &KeyRing| open(ring, &recipient, &mut ReplayTable::default(), &bytes);
    assert!(open_with(&rotated(Some([7; 32]))).is_ok());
    assert!(matches!(
        open_with(&rotated(None)),
        Err(OpenError::HashMismatch)
    ));
}

/// Guards against panics on arbitrary bytes, with and without a valid hash, against accepting them
/// without one, and against accepting a packet twice.
///
/// The seeds are enumerated, since Bolero's random mode would draw new ones in every run.
#[test]
fn arbitrary_bytes_never_panic() {
    bolero::check!()
        .with_generator(0u16..20_000)
        .exhaustive()
        .for_each(|seed| {
            let mut rng = seeded_rng(u64::from(*seed));
            let mut bytes = vec![0; rng.random_range(0..1180)];
            rng.fill(&mut bytes[..]);
            // Small byte values make decoded lengths short, so that decoding gets beyond the name of
            // the sender.
            if rng.random() {
                bytes.iter_mut().for_each(|byte| *byte %= 16);
            }
            let recipient = HostName::new("entry-2");
            let mut table = ReplayTable::default();
            assert!(open(&keys(), &recipient, &mut table, &bytes).is_err());
            let mut sealed = vec![1];
            sealed.extend_from_slice(&bytes);
            let mut hasher = blake3::Hasher::new_keyed(&[7; 32]);
            hasher.update(&7u64.to_le_bytes());
            hasher.update(b"entry-2").update(&sealed);
            sealed.extend_from_slice(&hasher.finalize().as_bytes()[..16]);
            if let Ok(packet) = open(&keys(), &recipient, &mut table, &sealed) {
                let again = open(&keys(), &recipient, &mut table, &sealed);
                assert!(again.is_err(), "the packet was accepted twice: {packet:?}");
            }
        });
}

/// Guards against an encoding of token counts that hides load, wraps around, or adds to the load
/// each time that a host passes it on.
#[test]
fn tokens_are_rounded_up_once() {
    let recipient = HostName::new("entry-2");
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
            let bytes = seal(&keys(), &recipient, &sent).unwrap();
            let opened = open(&keys(), &recipient, &mut ReplayTable::default(), &bytes);
            assert_eq!(opened.unwrap(), expected);
        }
    }
}
