//! Any bytes as a datagram must be rejected, as they were not made with the key. Decoded as messages, as if
//! they had been, they go to a member that must stay within its bounds and send no message longer than a
//! packet.
#![no_main]

use libfuzzer_sys::fuzz_target;
use nettleworks_members::{Action, Config, Membership, Message, Metadata, Name};
use nettleworks_members_wire::Codec;

/// Wall clock at the start in milliseconds, on some day of 2023.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

fuzz_target!(|data: &[u8]| {
    let codec = Codec::new(b"a key of sixteen bytes").expect("a good key");
    assert!(codec.decode(data).is_err());
    let config = Config { max_members: 8, ..Config::default() };
    let name = Name::new("me").expect("a name");
    let metadata = Metadata::new(([10, 0, 0, 1], 7_000).into());
    let mut membership = Membership::new(config.clone(), name, metadata, vec![], 1, 0, WALL_CLOCK_START_MS)
        .expect("a valid configuration");
    let (mut now, mut rest, mut out) = (0, data, Vec::new());
    while let Ok((message, left)) = postcard::take_from_bytes::<Message>(rest) {
        membership.handle_message(now, message, &mut out);
        now = membership.next_timeout().unwrap_or(now).max(now) + 1;
        membership.handle_timeout(now, &mut out);
        if left.len() == rest.len() {
            break;
        }
        rest = left;
    }
    assert!(membership.view(now).members.len() <= config.max_members);
    for action in out {
        if let Action::Send { message, .. } = action {
            assert!(message.max_size() <= config.max_message_bytes);
        }
    }
});
