//! Limits on what a store holds, and for how long.

/// How long the end of a call is remembered, in microseconds from that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// For an answer, or the marker that remains when the answer was dropped to make room.
    pub answered: u64,
    /// For a failure of a call that may have run.
    pub unsure: u64,
}

impl Default for Retention {
    /// A minute for answers, and a day for keys whose outcome is unknown: longer than any client retries by itself.
    fn default() -> Self {
        Retention { answered: 60_000_000, unsure: 86_400_000_000 }
    }
}

/// Limits on what a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of keys in total.
    pub entries: usize,
    /// Maximum number of keys of one tenant. Requests without a tenant count as a tenant of their own.
    pub entries_per_tenant: usize,
    /// Maximum size of all kept answers together, in bytes.
    pub answer_bytes: usize,
    /// Maximum number of requests that wait for one running call, including the first.
    pub waiters: usize,
    /// Maximum size of a key in bytes; a request with a longer one is rejected.
    pub key_bytes: usize,
    /// Retention by class; a class beyond the end of the list has the default.
    pub retention: Vec<Retention>,
}

impl Default for Bounds {
    /// 16,384 keys, a quarter of them for one tenant, 4 MiB of answers, 64 waiters, keys of up to 255 bytes.
    fn default() -> Self {
        Bounds {
            entries: 16_384,
            entries_per_tenant: 4_096,
            answer_bytes: 4 << 20,
            waiters: 64,
            key_bytes: 255,
            retention: Vec::new(),
        }
    }
}

impl Bounds {
    /// The retention of a class.
    pub fn retention(&self, class: u32) -> Retention {
        self.retention.get(class as usize).copied().unwrap_or_default()
    }
}
