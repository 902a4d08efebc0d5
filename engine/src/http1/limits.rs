//! Size limits of messages.

/// Maximum size of the body of a request or response.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the head of a message. Every connection may buffer this much, so all connections together must fit
/// into the smallest memory that a proxy may have.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
