//! Updates of the server list, and how long the list may be used.

use super::{Balancer, Server};
use crate::api::{Entry, Freshness, ListKind, Micros, ServerState};

impl Balancer {
    pub(super) fn update_server_list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Failed | ListKind::Silent) {
            return self.resubscribe(now, kind);
        }
        if kind.verifies() {
            self.list_verified(now);
        }
        self.servers.iter_mut().for_each(|s| s.listed &= !kind.is_whole());
        for entry in entries {
            let found = self.servers.binary_search_by_key(&entry.server, |s| s.id);
            let server_index = found.unwrap_or_else(|server_index| server_index);
            // A restart under the same number is a new, cold process: what was observed of the old one does
            // not apply.
            if found.is_err() || entry.started > self.servers[server_index].started {
                let mut server = Server::new(entry, &self.settings);
                server.first_call = Some(self.draw_first_call(now));
                self.servers.splice(server_index..server_index + usize::from(found.is_ok()), [server]);
            }
            let server = &mut self.servers[server_index];
            server.listed = entry.state == ServerState::Ready;
            (server.zone, server.cell) = (entry.zone, entry.cell);
            server.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.servers.retain(|s| s.listed || s.in_flight > 0);
        self.zone_failures.retain(|zone, _| self.servers.iter().any(|s| s.zone == *zone));
        self.schedule_first_calls(now);
        self.update_counts();
    }

    /// Updates the lease of the list after a change in the state of the watch.
    pub(super) fn update_freshness(&mut self, now: Micros, freshness: Freshness) {
        if !self.settings.pull_list {
            return;
        }
        if freshness == Freshness::Verified {
            return self.list_verified(now);
        }
        self.lease.update(now, freshness);
        self.subscribe_before_expiry(now);
    }

    fn list_verified(&mut self, now: Micros) {
        (self.subscribe_failures, self.max_subscribe_pause, self.subscribe_at) =
            (0, Micros::MAX, Micros::MAX);
        self.lease.update(now, Freshness::Verified);
    }

    /// When the list expires, after which no new attempt is sent unless the list is verified before. `None`
    /// if it is verified or pushed.
    pub fn list_expires_at(&self) -> Option<Micros> {
        self.lease.expires_at()
    }

    /// Counts listed and ejected servers. At most half of the servers are ejected, as trouble at most of the
    /// fleet is not the fault of single servers.
    pub(super) fn update_counts(&mut self) {
        self.listed_count = self.servers.iter().filter(|s| s.listed).count();
        self.ejected_count = self.servers.iter().filter(|s| s.listed && s.limit.steps == 0).count();
        self.shared_limit
            .iter_mut()
            .for_each(|limit| limit.servers_up = (self.listed_count - self.ejected_count) as f64);
    }
}
