//! Divides the memory limit of the process between its purposes. No I/O.

const MEGABYTE: usize = 1_000_000;
/// The program itself, its first engine and what it learns of hosts.
const PROGRAM_BYTES: usize = 7 * MEGABYTE;
/// Each further engine: its thread, what it learns, and what its allocator keeps.
const ENGINE_BYTES: usize = 2 * MEGABYTE;
/// The part of the limit, as a divisor, that is kept free beside that: allocator overhead grows with what is allocated.
const RESERVE_DIVISOR: usize = 10;
/// What a connection to a client may hold without a lease: read buffers of the request that is open and of the next one,
/// a head that comes in pieces, small bodies, the task.
pub const CLIENT_CONNECTION_BYTES: usize = 24 << 10;
/// The same for a connection to a host: its read buffer, the copy of the request's head, the task.
pub const HOST_CONNECTION_BYTES: usize = 20 << 10;
/// What a host takes: its text in a list, the parsed list, the host in the engine and in the decision module.
const HOST_BYTES: usize = 1_400;
/// Length of a long entry of a list.
const LIST_ENTRY_BYTES: usize = 200;
/// Maximum length of a list; a longer one belongs to no fleet that one proxy serves.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Shares of what is left for connections and messages, in percent.
const CLIENT_CONNECTIONS_PERCENT: usize = 42;
const HOST_CONNECTIONS_PERCENT: usize = 20;
const REQUESTS_PERCENT: usize = 14;
const RESPONSES_PERCENT: usize = 14;
const HOSTS_PERCENT: usize = 10;

/// How the memory of the process is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The limit of the process in bytes.
    pub limit: usize,
    /// Maximum number of connections to clients.
    pub client_connections: usize,
    /// Maximum number of connections to hosts.
    pub host_connections: usize,
    /// Bytes of large requests.
    pub requests: usize,
    /// Bytes of large responses.
    pub responses: usize,
    /// Maximum number of hosts.
    pub hosts: usize,
    /// Maximum length of a list of hosts in bytes.
    pub list: usize,
}

impl MemoryPlan {
    /// The least limit for which there is a plan, in megabytes.
    pub const LEAST_MEGABYTES: f64 = 16.0;

    /// The plan for a limit in megabytes and one engine; `None` if it is too small.
    pub fn for_megabytes(megabytes: f64) -> Option<MemoryPlan> {
        if !megabytes.is_finite() || megabytes < MemoryPlan::LEAST_MEGABYTES {
            return None;
        }
        // A cast saturates.
        let limit = (megabytes * MEGABYTE as f64) as usize;
        Some(MemoryPlan::divide(limit, limit - PROGRAM_BYTES - limit / RESERVE_DIVISOR))
    }

    /// The plan for this number of engines, which share the limit. At least half of what one engine may use is left.
    pub fn for_engines(&self, engines: usize) -> MemoryPlan {
        let available = self.limit - PROGRAM_BYTES - self.limit / RESERVE_DIVISOR;
        let engine_bytes = engines.saturating_sub(1).saturating_mul(ENGINE_BYTES);
        MemoryPlan::divide(self.limit, available.saturating_sub(engine_bytes).max(available / 2))
    }

    fn divide(limit: usize, available: usize) -> MemoryPlan {
        let share = |percent: usize| available / 100 * percent;
        let hosts = share(HOSTS_PERCENT) / HOST_BYTES;
        MemoryPlan {
            limit,
            client_connections: share(CLIENT_CONNECTIONS_PERCENT) / CLIENT_CONNECTION_BYTES,
            host_connections: share(HOST_CONNECTIONS_PERCENT) / HOST_CONNECTION_BYTES,
            requests: share(REQUESTS_PERCENT),
            responses: share(RESPONSES_PERCENT),
            hosts,
            list: (hosts * LIST_ENTRY_BYTES).min(MAX_LIST_BYTES),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whatever the limit is, all that may be held at once fits into it.
    #[test]
    fn the_sum_of_all_purposes_is_within_the_limit() {
        for megabytes in [16.0, 17.5, 32.0, 64.0, 192.0, 2_048.0, 1e6] {
            let plan = MemoryPlan::for_megabytes(megabytes).expect("enough");
            let sum = PROGRAM_BYTES
                + plan.client_connections * CLIENT_CONNECTION_BYTES
                + plan.host_connections * HOST_CONNECTION_BYTES
                + plan.requests
                + plan.responses
                + plan.hosts * HOST_BYTES;
            assert!(sum <= plan.limit, "{megabytes}: {sum}");
            assert!(plan.client_connections > 0 && plan.host_connections > 0 && plan.list > 0, "{plan:?}");
        }
    }

    #[test]
    fn further_engines_take_their_share() {
        let plan = MemoryPlan::for_megabytes(32.0).expect("enough");
        assert_eq!(plan.for_engines(1), plan);
        assert!(plan.for_engines(4).requests + 3 * ENGINE_BYTES * REQUESTS_PERCENT / 100 <= plan.requests);
        assert!(plan.for_engines(32).requests >= plan.requests / 2 - 1_000, "{:?}", plan.for_engines(32));
    }

    #[test]
    fn a_limit_that_is_too_small_has_no_plan() {
        for megabytes in [0.0, -1.0, 15.9, f64::NAN, f64::INFINITY] {
            assert_eq!(MemoryPlan::for_megabytes(megabytes), None, "{megabytes}");
        }
    }
}
