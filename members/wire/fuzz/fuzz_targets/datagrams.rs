//! Any bytes as a datagram: refused unless the key made them. And, as if it had, any message to a member that knows two
//! others: it must keep its bounds, and say nothing longer than a packet.
#![no_main]

use libfuzzer_sys::fuzz_target;
use nettleworks_members::{Card, Config, Members, Message, Name, Out};
use nettleworks_members_wire::Codec;

const WALL: u64 = 1_700_000_000_000;

fuzz_target!(|data: &[u8]| {
    let codec = Codec::new(b"a key of sixteen bytes").expect("a good key");
    assert!(codec.read(data).is_err());
    let config = Config { most: 8, ..Config::default() };
    let name = Name::new("me").expect("a name");
    let card = Card::at(([10, 0, 0, 1], 7_000).into());
    let mut members = Members::new(config.clone(), name, card, vec![], 1, 0, WALL).expect("good bounds");
    let (mut now, mut rest, mut out) = (0, data, Vec::new());
    while let Ok((message, left)) = postcard::take_from_bytes::<Message>(rest) {
        members.hear(now, message, &mut out);
        now = members.wakes_at().unwrap_or(now).max(now) + 1;
        members.wake(now, &mut out);
        if left.len() == rest.len() {
            break;
        }
        rest = left;
    }
    assert!(members.view(now).members.len() <= config.most);
    for out in out {
        if let Out::Send { message, .. } = out {
            assert!(message.size_most() <= config.packet);
        }
    }
});
