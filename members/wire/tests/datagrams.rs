//! Valid and invalid datagrams.

use nettleworks_members::{
    Action, Config, Incarnation, Membership, Message, MessageKind, Metadata, Name, ReportedState, Sender,
    Update,
};
use nettleworks_members_wire::{Codec, DecodeError, Frame, MAX_OVERHEAD_BYTES};
use proptest::prelude::*;
use std::net::{IpAddr, SocketAddr};

const KEY: &[u8] = b"a key of sixteen bytes";

fn codec() -> Codec {
    Codec::new(KEY).expect("a good key")
}

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9._-]{1,48}".prop_map(|text| Name::new(&text).expect("a name"))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    (any::<u64>(), any::<u32>()).prop_map(|(start, round)| Incarnation { start, round })
}

fn update() -> impl Strategy<Value = Update> {
    let text = || "[a-z]{0,24}";
    let metadata = (address(), text(), text(), text(), text(), any::<u16>());
    let metadata = metadata.prop_map(|(address, zone, region, version, role, capacity)| {
        ReportedState::Alive(Metadata { address, zone, region, version, role, capacity })
    });
    let state = prop_oneof![
        metadata,
        name().prop_map(|by| ReportedState::Suspect { by }),
        Just(ReportedState::Failed),
        Just(ReportedState::Left),
    ];
    (name(), incarnation(), state).prop_map(|(name, incarnation, state)| Update { name, incarnation, state })
}

fn kind() -> impl Strategy<Value = MessageKind> {
    prop_oneof![
        (any::<u32>(), name()).prop_map(|(number, to)| MessageKind::Ping { number, to }),
        (any::<u32>(), any::<u64>()).prop_map(|(number, digest)| MessageKind::Ack { number, digest }),
        (any::<u32>(), name(), address()).prop_map(|(number, target, at)| MessageKind::PingFor {
            number,
            target,
            at
        }),
        any::<u32>().prop_map(|number| MessageKind::Nack { number }),
        any::<u32>().prop_map(|number| MessageKind::Join { number }),
        Just(MessageKind::Gossip),
        (proptest::collection::vec(any::<u64>(), 0..40), any::<bool>())
            .prop_map(|(parts, answers)| MessageKind::Digests { parts, answers }),
        Just(MessageKind::Entries),
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    let sender = (name(), incarnation(), address());
    let sender = sender.prop_map(|(name, incarnation, address)| Sender { name, incarnation, address });
    let updates = proptest::collection::vec(update(), 0..6);
    (any::<u64>(), any::<u64>(), sender, kind(), updates).prop_map(
        |(session, counter, from, kind, updates)| Frame {
            session,
            counter,
            message: Message { from, kind, updates },
        },
    )
}

proptest! {
    /// A frame is decoded as it was encoded, and its size stays within the bound that the core computes.
    #[test]
    fn frames_round_trip_within_the_size_bound(frame in frame()) {
        let datagram = codec().encode(&frame).expect("written");
        prop_assert!(datagram.len() <= frame.message.max_size() + MAX_OVERHEAD_BYTES,
                     "{} bytes of at most {} and overhead", datagram.len(), frame.message.max_size());
        prop_assert_eq!(codec().decode(&datagram), Ok(frame));
    }

    /// A datagram with any bit changed, or any byte removed or appended, is rejected.
    #[test]
    fn altered_datagrams_are_rejected(frame in frame(), place in any::<prop::sample::Index>(), bit in 0u8..8) {
        let datagram = codec().encode(&frame).expect("written");
        let mut changed = datagram.clone();
        changed[place.index(datagram.len())] ^= 1 << bit;
        prop_assert!(codec().decode(&changed).is_err());
        prop_assert!(codec().decode(&datagram[..place.index(datagram.len())]).is_err());
        let longer = [&datagram[..], &[bit]].concat();
        prop_assert_eq!(codec().decode(&longer), Err(DecodeError::Mac));
        let other = Codec::new(b"another key of sixteen").expect("a good key");
        prop_assert_eq!(other.decode(&datagram), Err(DecodeError::Mac));
    }

    /// Random bytes are rejected without a panic.
    #[test]
    fn random_bytes_are_rejected(noise in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(codec().decode(&noise).is_err());
    }
}

proptest! {
    /// Any messages that the key could have signed: the list stays within its maximum, no message exceeds the
    /// packet size, and the timeouts within any span of time come to an end.
    #[test]
    fn arbitrary_messages_keep_a_member_within_its_bounds(frames in proptest::collection::vec(frame(), 1..40)) {
        let config = Config { max_members: 6, ..Config::default() };
        let metadata = Metadata::new("10.0.0.1:7000".parse().expect("an address"));
        let name = Name::new("me").expect("a name");
        let mut membership =
            Membership::new(config.clone(), name, metadata, vec![], 1, 0, 1_700_000_000_000).expect("good");
        let (mut now, mut out) = (0, Vec::new());
        for frame in frames {
            membership.handle_message(now, frame.message, &mut out);
            let mut timeouts = 0;
            let until = now + 400_000;
            while let Some(at) = membership.next_timeout().filter(|at| *at <= until) {
                now = at.max(now);
                membership.handle_timeout(now, &mut out);
                timeouts += 1;
                prop_assert!(timeouts < 1_000, "timeouts do not end at {}", now);
            }
            now = until;
        }
        prop_assert!(membership.view(now).members.len() <= config.max_members);
        for action in out {
            if let Action::Send { message, .. } = action {
                prop_assert!(message.max_size() <= config.max_message_bytes, "{} bytes", message.max_size());
            }
        }
    }
}

#[test]
fn decode_errors_distinguish_keys_versions_and_sizes() {
    assert!(Codec::new(b"too short").is_err());
    let from = Sender {
        name: Name::new("a").expect("a name"),
        incarnation: Incarnation::initial(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let message = Message { from, kind: MessageKind::Gossip, updates: Vec::new() };
    let mut datagram = codec().encode(&Frame { session: 1, counter: 2, message }).expect("written");
    datagram[0] = 2;
    assert_eq!(codec().decode(&datagram), Err(DecodeError::Version(2)));
    assert_eq!(codec().decode(&[1; 10]), Err(DecodeError::Size));
    assert_eq!(codec().decode(&[1; 10_000]), Err(DecodeError::Size));
    assert!(!format!("{:?}", codec()).contains("sixteen"), "Debug output must not contain the key");
}
