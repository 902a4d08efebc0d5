//! The way of requests and ends past the stations.

use super::Driver;
use crate::calls::call::Call;
use crate::calls::{Ask, Guest, Outlives, Owner};
use crate::meter::RepeatWindow;
use crate::protocol::Protocol;
use crate::station::{Step, Told};
use nettleworks_policy::{CallId, Event, Idempotency, Micros};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl<P: Protocol> Driver<P> {
    /// Takes a request past the stations from this one on; behind the last the module hears of it.
    pub(super) fn enter(&mut self, from: usize, mut guest: Guest<P>) {
        for at in from..self.stations.len() {
            self.desk.at = at;
            match self.stations[at].arrive(&mut self.desk, guest) {
                Step::Pass(on) => guest = on,
                Step::Done => return,
            }
        }
        self.begin(guest);
    }

    /// A request has passed all stations: it is a call.
    fn begin(&mut self, guest: Guest<P>) {
        let Guest {
            number,
            ask: Ask { id, class, tenant, deadline, resent, .. },
            request,
            owner,
            outlives,
            ..
        } = guest;
        let limit = outlives.map(|Outlives { until, .. }| Rc::new(Cell::new(until.max(deadline))));
        let past_aim = outlives.is_some_and(|outlives| outlives.past_aim);
        let (owner, late, attempts, lingers, may_have_run) = (Some(owner), None, Vec::new(), false, false);
        let within = match self.desk.config.settings.classes.get(class.0).map(|class| class.idempotency) {
            Some(Idempotency::Guarded { window, .. }) => Some(Duration::from_micros(window)),
            _ => None,
        };
        let repeats = RepeatWindow::new(within);
        let call = Call {
            id,
            request,
            deadline,
            owner,
            late,
            limit,
            past_aim,
            lingers,
            may_have_run,
            repeats,
            attempts,
        };
        self.desk.calls.insert(number, call);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.desk.events.push_back(Event::Request { call: number, class, tenant, time_left, resent });
    }

    /// What stations are to hear, until none has more to say.
    pub(super) fn tell_stations(&mut self) {
        loop {
            if let Some((at, call, told)) = self.desk.told.pop_front() {
                self.desk.at = at;
                match told {
                    Told::Ended(ended) => self.stations[at].ended(&mut self.desk, call, ended),
                    Told::Late(answer) => self.stations[at].late(&mut self.desk, call, answer),
                    Told::Gone => drop(self.gone_at(at, call)),
                }
            } else if let Some((at, guest)) = self.desk.entering.pop_front() {
                self.enter(at, guest);
            } else {
                return;
            }
        }
    }

    pub(super) fn wake_stations(&mut self) {
        let now = Instant::now();
        for at in 0..self.stations.len() {
            if self.stations[at].wake_at(&self.desk).is_some_and(|due| due <= now) {
                self.desk.at = at;
                self.stations[at].wake(&mut self.desk);
            }
        }
    }

    /// A client has gone. `false`: there was none.
    pub(super) fn gone(&mut self, id: CallId) -> bool {
        if self.gone_at(0, id) {
            return true;
        }
        let plain = |owner: &mut Owner<P::Answer>| matches!(owner, Owner::Caller(_));
        if self.desk.calls.get_mut(&id).and_then(|call| call.owner.take_if(plain)).is_none() {
            return false;
        }
        self.desk.events.push_back(Event::Cancelled { call: id });
        self.desk.tidy(id);
        true
    }

    /// The same for the stations from this one on. It may have answered meanwhile.
    fn gone_at(&mut self, from: usize, id: CallId) -> bool {
        (from..self.stations.len()).any(|at| {
            self.desk.at = at;
            self.stations[at].gone(&mut self.desk, id)
        })
    }

    pub(super) fn lingering(&self) -> usize {
        self.stations.iter().map(|station| station.lingering()).sum()
    }
}
