//! Anti-entropy: makes two lists equal where gossip was lost.

use crate::message::{Message, BUCKETS};
use crate::roster::Roster;

/// Buckets whose digests differ; `None` if the received number of buckets is wrong.
pub(crate) fn differing_buckets(local: &[u64; BUCKETS], remote: &[u64]) -> Option<Vec<usize>> {
    (remote.len() == BUCKETS)
        .then(|| (0..BUCKETS).filter(|bucket| local[*bucket] != remote[*bucket]).collect())
}

/// Updates of all entries of these buckets, divided into pages of at most `page_capacity` bytes.
pub(crate) fn pages(roster: &Roster, buckets: &[usize], page_capacity: usize) -> Vec<Vec<crate::Update>> {
    let mut pages = vec![Vec::new()];
    let mut bytes_left = page_capacity;
    for bucket in buckets {
        for (name, entry) in roster.bucket_entries(*bucket) {
            let update = entry.to_update(name);
            let size = update.max_size();
            if size > bytes_left {
                pages.push(Vec::new());
                bytes_left = page_capacity;
            }
            bytes_left = bytes_left.saturating_sub(size);
            if let Some(page) = pages.last_mut() {
                page.push(update);
            }
        }
    }
    pages.retain(|page| !page.is_empty());
    pages
}

/// Bytes available for updates in a message, after its header.
pub(crate) fn page_capacity(
    max_message_bytes: usize,
    from: &crate::Sender,
    kind: &crate::MessageKind,
) -> usize {
    max_message_bytes.saturating_sub(Message::max_header_size(from, kind))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn digests_with_another_number_of_buckets_are_rejected() {
        assert_eq!(differing_buckets(&[0; BUCKETS], &[0; BUCKETS - 1]), None);
        assert_eq!(differing_buckets(&[0; BUCKETS], &[0; BUCKETS]), Some(vec![]));
    }
}
