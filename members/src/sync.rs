//! Making two lists equal: what was missed by news alone.

use crate::message::{Message, BUCKETS};
use crate::roster::Roster;

/// Which parts differ; `None`: what was sent is not such a list.
pub(crate) fn differing(own: &[u64; BUCKETS], other: &[u64]) -> Option<Vec<usize>> {
    (other.len() == BUCKETS).then(|| (0..BUCKETS).filter(|part| own[*part] != other[*part]).collect())
}

/// The messages that hold these parts' entries, of whom `to` hears nothing about itself that it does not know.
pub(crate) fn pages(roster: &Roster, parts: &[usize], page_bytes: usize) -> Vec<Vec<crate::Update>> {
    let mut pages = vec![Vec::new()];
    let mut left = page_bytes;
    for part in parts {
        for (name, entry) in roster.of_part(*part) {
            let update = entry.update(name);
            let size = update.size_most();
            if size > left {
                pages.push(Vec::new());
                left = page_bytes;
            }
            left = left.saturating_sub(size);
            if let Some(page) = pages.last_mut() {
                page.push(update);
            }
        }
    }
    pages.retain(|page| !page.is_empty());
    pages
}

/// Room for entries beside a message's head.
pub(crate) fn page_room(packet: usize, from: &crate::Sender, kind: &crate::Kind) -> usize {
    packet.saturating_sub(Message::head_most(from, kind))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn another_number_of_parts_is_no_list() {
        assert_eq!(differing(&[0; BUCKETS], &[0; BUCKETS - 1]), None);
        assert_eq!(differing(&[0; BUCKETS], &[0; BUCKETS]), Some(vec![]));
    }
}
