//! A shard's place: its mail, its beat, and its look at the others.

use crate::crossing::Crossing;
use crate::hub::{Handover, Hub, Job, Note, Post, Sizes};
use crate::member::Member;
use nettleworks_engine::calls::RequestInfo;
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::{Handle, InterceptorChain};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::FreshnessGate;
use nettleworks_engine::protocol::Protocol;
use nettleworks_engine::task::{self, Task};
use nettleworks_engine::Log;
use nettleworks_policy::CallId;
use nettleworks_shards::news::Cursor;
use nettleworks_shards::owner;
use nettleworks_shards::roll::{Change, Life, Roll};
use nettleworks_shards::room::Shard;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// How often a shard beats and looks at the others.
const TICK: Duration = Duration::from_millis(50);
/// Requests that are taken in before the next look at anything else.
const BATCH: usize = 32;
/// Jobs of others that may wait at a shard; whoever brings one more waits.
const JOBS_MOST: usize = 16;
/// How often a shard that is done looks whether all are.
const DONE_LOOK: Duration = Duration::from_millis(2);
/// How long what a torn engine has open has to be told so.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// A shard's place, before it has a thread.
pub struct Seat<P: Protocol> {
    hub: Arc<Hub<P>>,
    me: Shard,
    requests: mpsc::Receiver<Handover<P>>,
    notes: mpsc::UnboundedReceiver<Note<P>>,
    jobs: mpsc::Receiver<Job<P>>,
}

/// What an engine of a process is told, for one of so many: it is one balancer among more, and room is shared.
pub fn part(config: &Config, shards: usize, me: Shard) -> Config {
    let mut part = config.clone();
    let (all, me) = (u32::try_from(shards).unwrap_or(1), me as u32);
    let settings = &mut part.settings;
    settings.balancer_index = settings.balancer_index.saturating_mul(all).saturating_add(me);
    settings.balancers = settings.balancers.saturating_mul(all);
    settings.shares_capacity = true;
    part.seed ^= u64::from(me).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    part
}

impl<P: Protocol> Seat<P> {
    /// Seats for all shards of a process that share a configuration's seed.
    pub fn all(sizes: Sizes, seed: u64) -> Vec<Seat<P>> {
        let (posts, boxes): (Vec<_>, Vec<_>) = (0..sizes.shards)
            .map(|_| {
                let (requests, taken) = mpsc::channel(sizes.queue);
                let (notes, read) = mpsc::unbounded_channel();
                let (jobs, done) = mpsc::channel(JOBS_MOST);
                (Post::new(requests, notes, jobs), (taken, read, done))
            })
            .unzip();
        let hub = Arc::new(Hub::new(sizes, seed, posts));
        let seat = |(me, (requests, notes, jobs))| Seat { hub: hub.clone(), me, requests, notes, jobs };
        boxes.into_iter().enumerate().map(seat).collect()
    }

    /// Which shard it is.
    pub fn shard(&self) -> Shard {
        self.me
    }

    /// All shards.
    pub fn peers(&self) -> Peers<P> {
        Peers(self.hub.clone())
    }

    /// Says that a shard has ended when dropped, however its thread did. To be made on that thread, before all else.
    pub fn guard(&self) -> Ending<P> {
        Ending { hub: self.hub.clone(), me: self.me }
    }
}

/// A shard's thread. Its end is told to the others when this is dropped.
pub struct Ending<P: Protocol> {
    hub: Arc<Hub<P>>,
    me: Shard,
}

impl<P: Protocol> Drop for Ending<P> {
    fn drop(&mut self) {
        self.hub.end(self.me);
    }
}

/// Who takes the new clients of which shard, by number.
pub type StandIns = watch::Receiver<Vec<Shard>>;

/// A shard that runs.
pub struct Shared<P: Protocol> {
    /// Its engine.
    pub driver: Handle<P>,
    /// Who takes whose new clients, as it sees it.
    pub stand_ins: StandIns,
    /// All shards.
    pub peers: Peers<P>,
    mail: Mail<P>,
}

/// What a request's key belongs to, and the key.
pub(crate) fn key_of<I>(ask: &RequestInfo<I>) -> Option<(Option<u32>, u32, &[u8])> {
    let key = ask.key.as_ref()?;
    let tenant = ask.tenant.and_then(|tenant| u32::try_from(tenant.0).ok());
    Some((tenant, u32::try_from(ask.class.0).unwrap_or(u32::MAX), key))
}

/// All shards, for what is to be done at one of them.
pub struct Peers<P: Protocol>(Arc<Hub<P>>);

impl<P: Protocol> Clone for Peers<P> {
    fn clone(&self) -> Self {
        Peers(self.0.clone())
    }
}

impl<P: Protocol> Peers<P> {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.sizes.shards
    }

    /// A shard that is to stop has no clients left. Waits until none has any: until then others may need what it
    /// knows.
    pub async fn done(&self, me: Shard) {
        self.0.done(me);
        while !self.0.all_done() {
            sleep(DONE_LOOK).await;
        }
    }

    /// Whether a shard takes what comes, as far as others have seen.
    pub fn answers(&self, shard: Shard) -> bool {
        self.0.answers(shard)
    }

    /// Which shard a request's key belongs to, if it has one.
    pub fn owner(&self, ask: &RequestInfo<P::Id>) -> Option<Shard> {
        let (tenant, class, key) = key_of(ask)?;
        Some(owner::among(0..self.count(), self.0.seed, tenant, class, key))
    }

    /// Does something at a shard, on its own thread, and waits for nothing. Whoever tells it bounds how much is told.
    pub fn tell(&self, shard: Shard, job: impl FnOnce(&Handle<P>) + Send + 'static) {
        if let Some(post) = self.0.posts.get(shard) {
            // One that has ended has nothing to do it with.
            let _ = post.notes.send(Note::Do(Box::new(job)));
        }
    }

    /// Does something at a shard, on its own thread, and gives what came of it; `None`: it has ended, or does not answer
    /// within its patience.
    pub async fn at<T: Send + 'static>(
        &self,
        shard: Shard,
        job: impl FnOnce(&Handle<P>) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, done) = oneshot::channel();
        let job: Job<P> = Box::new(move |driver| {
            // Nobody may wait for it any more.
            let _ = sender.send(job(driver));
        });
        let asked = async {
            self.0.posts.get(shard)?.jobs.send(job).await.ok()?;
            done.await.ok()
        };
        timeout(self.0.sizes.patience, asked).await.ok().flatten()
    }
}

struct Mail<P: Protocol> {
    seat: Seat<P>,
    driver: Handle<P>,
    roll: Rc<RefCell<Roll>>,
    stand_ins: watch::Sender<Vec<Shard>>,
    /// Requests of others that are taken here.
    taken: Rc<RefCell<HashMap<(Shard, CallId), Task>>>,
    lists: Cursor,
    learned: Cursor,
    seen: u64,
}

impl<P> Seat<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    /// Starts the shard's engine on the thread that this is called on. `config` is its own part ([`part`]); requests
    /// with a key go to the shard that it belongs to, ahead of the stations.
    pub fn start(
        self,
        config: Rc<Config>,
        protocol: P,
        stations: InterceptorChain<P>,
        log: Log,
    ) -> Shared<P> {
        let (hub, me, sizes) = (self.hub.clone(), self.me, self.hub.sizes);
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let (patience, remembered) = (micros(sizes.patience), micros(sizes.remembered));
        let roll = Rc::new(RefCell::new(Roll::new(me, sizes.shards, hub.now(), patience, remembered)));
        let fresh = FreshnessGate::new(hub.told.clone());
        let member = Member::new(hub.clone(), me, fresh.clone(), roll.clone());
        let mut way: InterceptorChain<P> = vec![Box::new(Crossing::new(hub, me, roll.clone()))];
        way.extend(stations);
        let driver = Handle::start_in_group(Some(Box::new(member)), fresh, config, protocol, way, log);
        let peers = self.peers();
        let (stand_ins, seen) = watch::channel((0..sizes.shards).collect());
        let mail = Mail {
            seat: self,
            driver: driver.clone(),
            roll,
            stand_ins,
            taken: Rc::default(),
            lists: Cursor::default(),
            learned: Cursor::default(),
            seen: 0,
        };
        Shared { driver, stand_ins: seen, peers, mail }
    }
}

impl<P> Shared<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    /// Does the shard's part for the others for as long as it is polled. It returns only when a panic has left its
    /// engine half way through a change, after all that it had open was told so: the thread is to end then.
    pub async fn serve(self) {
        // A task of its own: a panic ends it, and not what is to be said then.
        let mut mail = JoinSet::new();
        mail.spawn_local(self.mail.run());
        // However it has ended.
        let _ = mail.join_next().await;
        self.driver.abort_calls();
        self.driver.log("a panic has left this shard half way through a change: it ends");
        sleep(LAST_WORDS).await;
    }
}

impl<P> Mail<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    async fn run(mut self) {
        let hub = self.seat.hub.clone();
        let post = &hub.posts[self.seat.me];
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        while !self.driver.is_poisoned() {
            tokio::select! {
                biased;
                () = post.look.notified() => self.look(),
                Some(note) = self.seat.notes.recv() => self.note(note),
                _ = ticks.tick() => self.tick(),
                Some(job) = self.seat.jobs.recv() => job(&self.driver),
                _ = self.seat.requests.recv_many(&mut batch, BATCH) => {
                    batch.drain(..).for_each(|handover| self.take(handover));
                }
            }
        }
    }

    /// Room, the list, and news of hosts.
    fn look(&mut self) {
        if self.seat.hub.told.load(Ordering::Acquire) > self.seen {
            let (lists, told) = self.seat.hub.lists(self.seat.me, &mut self.lists);
            self.seen = told;
            lists.into_iter().for_each(|list| self.driver.list_from_peer(List::clone(&list)));
            self.driver.caught_up(told);
        }
        for (age, host, news) in self.seat.hub.learned(self.seat.me, &mut self.learned) {
            self.driver.observation_from_peer(&host, news, age);
        }
        self.driver.with_group(|member: &mut Member<P>| member.woken());
        // A shard that has just ended is missed at once.
        self.rollcall();
    }

    fn tick(&mut self) {
        self.seat.hub.beat(self.seat.me);
        self.driver.with_group(|member: &mut Member<P>| member.tick());
        self.look();
        // What one that is stalled was given since goes back too.
        let stalled = |shard: &Shard| self.roll.borrow().life(*shard) == Life::Stalled;
        for shard in (0..self.seat.hub.sizes.shards).filter(stalled) {
            self.seat.hub.reclaim(shard);
        }
    }

    fn rollcall(&mut self) {
        let hub = &self.seat.hub;
        let changes = self.roll.borrow_mut().look(hub.now(), |shard| hub.pulse(shard));
        for Change { shard, now } in changes.iter().copied() {
            self.driver.log(&Change { shard, now }.to_string());
            hub.stalled(shard, now == Life::Stalled);
            self.driver
                .with_interceptor(|crossing: &mut Crossing<P>, desk| crossing.changed(desk, shard, now));
            if now == Life::Dead {
                // Nobody there waits any more.
                self.taken.borrow_mut().retain(|(from, _), _| *from != shard);
            }
        }
        if !changes.is_empty() {
            let roll = self.roll.borrow();
            self.stand_ins.send_replace((0..hub.sizes.shards).map(|shard| roll.stands_in(shard)).collect());
            drop(roll);
            self.driver.update_watch_role();
        }
    }

    fn note(&mut self, note: Note<P>) {
        match note {
            Note::Answer { number, reply } => {
                self.driver.with_interceptor(|crossing: &mut Crossing<P>, desk| {
                    crossing.answered(desk, number, reply)
                });
            }
            // What it had here ends as that of any client that has gone.
            Note::Do(job) => job(&self.driver),
            Note::Gone { from, number } => drop(self.taken.borrow_mut().remove(&(from, number))),
        }
    }

    fn take(&mut self, handover: Handover<P>) {
        let Handover { from, number, ask, request, ticket } = handover;
        if !ticket.take() {
            return;
        }
        let ask: RequestInfo<P::Id> = ask;
        let waiting = self.driver.request_from_peer(ask, request);
        let (hub, taken, place) = (self.seat.hub.clone(), self.taken.clone(), (from, number));
        let task = task::spawn(async move {
            let reply = waiting.reply().await;
            if let Some(post) = hub.posts.get(from) {
                // One that has ended has nobody who waits.
                let _ = post.notes.send(Note::Answer { number, reply });
            }
            let done = taken.borrow_mut().remove(&place);
            drop(done);
        });
        self.taken.borrow_mut().insert(place, task);
    }
}
