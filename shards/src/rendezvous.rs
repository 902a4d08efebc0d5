//! Which shard owns a key: rendezvous hashing (Thaler and Ravishankar, 1998). A shard that is added or removed moves no
//! key between two other shards. The hash has a seed, so that keys that all belong to one shard can't be made without
//! knowing it.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The owner, among these shards, of a key of a tenant and class; 0 if there are no shards.
pub fn owner(
    shards: impl Iterator<Item = usize>,
    seed: u64,
    tenant: Option<u32>,
    class: u32,
    key: &[u8],
) -> usize {
    let weight = |shard: usize| {
        let mut hasher = SipHasher13::new_with_keys(seed, shard as u64);
        hasher.write_u64(tenant.map_or(u64::MAX, u64::from));
        hasher.write_u32(class);
        hasher.write(key);
        hasher.finish()
    };
    shards.max_by_key(|&shard| (weight(shard), shard)).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn owners(shards: usize) -> Vec<usize> {
        (0..20_000_u32).map(|n| owner(0..shards, 7, Some(n % 3), n % 2, &n.to_be_bytes())).collect()
    }

    #[test]
    fn keys_are_spread_evenly_and_an_added_shard_takes_only_its_share() {
        for shards in 1..9 {
            let (before, after) = (owners(shards), owners(shards + 1));
            for shard in 0..shards {
                let owned = before.iter().filter(|&&owner| owner == shard).count();
                let even = before.len() / shards;
                assert!(owned.abs_diff(even) * 20 <= even, "{owned} of {even}");
            }
            let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
            let share = before.len() / (shards + 1);
            assert!(moved * 20 <= share * 21, "{moved} moved of {share}");
            assert!(
                before.iter().zip(&after).all(|(a, b)| a == b || *b == shards),
                "a key moved between two other shards"
            );
        }
    }

    #[test]
    fn a_tenant_and_a_class_are_part_of_a_key() {
        let owners =
            |tenant, class| (0..64_u8).map(|n| owner(0..4, 1, tenant, class, &[n])).collect::<Vec<_>>();
        assert_ne!(owners(None, 0), owners(Some(0), 0));
        assert_ne!(owners(None, 0), owners(None, 1));
        assert_eq!(owner(0..0, 1, None, 0, b"k"), 0);
    }
}
