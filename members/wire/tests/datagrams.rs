//! Datagrams that are good, and those that are not.

use nettleworks_members::{
    Card, Claim, Config, Incarnation, Kind, Members, Message, Name, Out, Sender, Update,
};
use nettleworks_members_wire::{Codec, Frame, Refused, OVERHEAD_MOST};
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
    let card = (address(), text(), text(), text(), text(), any::<u16>());
    let card = card.prop_map(|(address, zone, region, version, role, capacity)| {
        Claim::Alive(Card { address, zone, region, version, role, capacity })
    });
    let claim = prop_oneof![
        card,
        name().prop_map(|by| Claim::Suspect { by }),
        Just(Claim::Failed),
        Just(Claim::Left),
    ];
    (name(), incarnation(), claim).prop_map(|(name, incarnation, claim)| Update { name, incarnation, claim })
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        (any::<u32>(), name()).prop_map(|(number, to)| Kind::Ping { number, to }),
        (any::<u32>(), any::<u64>()).prop_map(|(number, digest)| Kind::Ack { number, digest }),
        (any::<u32>(), name(), address()).prop_map(|(number, target, at)| Kind::PingFor {
            number,
            target,
            at
        }),
        any::<u32>().prop_map(|number| Kind::Nack { number }),
        any::<u32>().prop_map(|number| Kind::Join { number }),
        Just(Kind::Gossip),
        (proptest::collection::vec(any::<u64>(), 0..40), any::<bool>())
            .prop_map(|(parts, answers)| Kind::Digests { parts, answers }),
        Just(Kind::Entries),
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
    /// What is written is read as it was, and no longer than the core reckoned.
    #[test]
    fn all_come_through_whole_and_within_their_bound(frame in frame()) {
        let datagram = codec().write(&frame).expect("written");
        prop_assert!(datagram.len() <= frame.message.size_most() + OVERHEAD_MOST,
                     "{} beside {}", datagram.len(), frame.message.size_most());
        prop_assert_eq!(codec().read(&datagram), Ok(frame));
    }

    /// Any bit that is changed, any byte that is cut off or added: not heard.
    #[test]
    fn nothing_that_was_changed_is_heard(frame in frame(), place in any::<prop::sample::Index>(), bit in 0u8..8) {
        let datagram = codec().write(&frame).expect("written");
        let mut changed = datagram.clone();
        changed[place.index(datagram.len())] ^= 1 << bit;
        prop_assert!(codec().read(&changed).is_err());
        prop_assert!(codec().read(&datagram[..place.index(datagram.len())]).is_err());
        let longer = [&datagram[..], &[bit]].concat();
        prop_assert_eq!(codec().read(&longer), Err(Refused::Mac));
        let other = Codec::new(b"another key of sixteen").expect("a good key");
        prop_assert_eq!(other.read(&datagram), Err(Refused::Mac));
    }

    /// Whatever comes, it is refused and nothing else happens.
    #[test]
    fn noise_is_refused(noise in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(codec().read(&noise).is_err());
    }
}

proptest! {
    /// Any messages that the key could have made: the list keeps its bound, nothing longer than a packet is said, and time
    /// that passes always brings an end of what is to be done in it.
    #[test]
    fn any_messages_leave_a_member_within_its_bounds(frames in proptest::collection::vec(frame(), 1..40)) {
        let config = Config { most: 6, ..Config::default() };
        let card = Card::at("10.0.0.1:7000".parse().expect("an address"));
        let name = Name::new("me").expect("a name");
        let mut members = Members::new(config.clone(), name, card, vec![], 1, 0, 1_700_000_000_000).expect("good");
        let (mut now, mut out) = (0, Vec::new());
        for frame in frames {
            members.hear(now, frame.message, &mut out);
            let mut wakes = 0;
            let until = now + 400_000;
            while let Some(at) = members.wakes_at().filter(|at| *at <= until) {
                now = at.max(now);
                members.wake(now, &mut out);
                wakes += 1;
                prop_assert!(wakes < 1_000, "it wants to be woken for good at {}", now);
            }
            now = until;
        }
        prop_assert!(members.view(now).members.len() <= config.most);
        for out in out {
            if let Out::Send { message, .. } = out {
                prop_assert!(message.size_most() <= config.packet, "{} bytes", message.size_most());
            }
        }
    }
}

#[test]
fn keys_versions_and_sizes_are_told_apart() {
    assert!(Codec::new(b"too short").is_err());
    let from = Sender {
        name: Name::new("a").expect("a name"),
        incarnation: Incarnation::starting(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let message = Message { from, kind: Kind::Gossip, updates: Vec::new() };
    let mut datagram = codec().write(&Frame { session: 1, counter: 2, message }).expect("written");
    datagram[0] = 2;
    assert_eq!(codec().read(&datagram), Err(Refused::Version(2)));
    assert_eq!(codec().read(&[1; 10]), Err(Refused::Size));
    assert_eq!(codec().read(&[1; 10_000]), Err(Refused::Size));
    assert!(!format!("{:?}", codec()).contains("sixteen"), "no log holds a key");
}
