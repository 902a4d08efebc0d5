//! What a store may hold, and for how long.
/// How long the end of a call is remembered, in microseconds from that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// An answer, or the marker that is left of it.
    pub answered: u64,
    /// A failure of a call that may have run.
    pub unsure: u64,
}

impl Default for Retention {
    /// A minute, and a day for what nobody knows: longer than any client comes again by itself.
    fn default() -> Self {
        Retention { answered: 60_000_000, unsure: 86_400_000_000 }
    }
}

/// What a store may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Keys in all.
    pub entries: usize,
    /// Keys of one tenant; requests without one are a tenant of their own.
    pub entries_per_tenant: usize,
    /// Bytes of all answers that are kept.
    pub answer_bytes: usize,
    /// Requests that may wait for one running call, the first included.
    pub waiters: usize,
    /// Bytes of a key; a longer one is turned away.
    pub key_bytes: usize,
    /// Retention by class; one beyond the list has the default.
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
