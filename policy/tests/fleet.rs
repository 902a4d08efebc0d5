//! Tests of many balancers together, where behaviour that is harmless for one may overload discovery or
//! servers.

mod common;
use common::*;
use nettleworks_policy::*;

/// Many balancers in front of one discovery service that handles their requests for the list one at a time,
/// each in `service_time`. A request that has waited for two seconds fails, but still costs the service time.
struct Discovery {
    proxies: Vec<Proxy>,
    /// Balancers whose requests are waiting, and since when.
    queue: std::collections::VecDeque<(usize, Micros)>,
    service_time: Micros,
    free_at: Micros,
    /// When each request arrived.
    subscriptions: Vec<Micros>,
    listed: Vec<bool>,
}

const MAX_WAIT: Micros = 2_000 * MS;

impl Discovery {
    fn new(balancers: u32, service_time: Micros) -> Discovery {
        let settings = |balancer_index| Settings {
            balancers,
            balancer_index,
            pull_list: true,
            ..settings(Idempotency::Free)
        };
        let proxies = (0..balancers)
            .map(|balancer_index| Proxy::seeded(u64::from(balancer_index), settings(balancer_index)))
            .collect::<Vec<_>>();
        let listed = vec![false; proxies.len()];
        Discovery {
            proxies,
            queue: Default::default(),
            service_time,
            free_at: 0,
            subscriptions: Vec::new(),
            listed,
        }
    }

    fn apply_actions(&mut self, now: Micros, proxy: usize, actions: &[Action]) {
        if actions.contains(&Action::Subscribe) {
            self.subscriptions.push(now);
            self.queue.push_back((proxy, now));
        }
    }

    /// Breaks the watches of all balancers.
    fn lose_watches(&mut self, now: Micros) {
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].now = now;
            let actions = self.proxies[proxy].list(ListKind::Failed, vec![]);
            self.apply_actions(now, proxy, &actions);
        }
    }

    /// Advances time in steps of 10 ms.
    fn run(&mut self, from: Micros, to: Micros) {
        let mut now = from;
        while now < to {
            now += 10 * MS;
            for proxy in 0..self.proxies.len() {
                self.proxies[proxy].now = now;
                let actions = self.proxies[proxy].event(Event::Timer);
                self.apply_actions(now, proxy, &actions);
            }
            while self.free_at <= now {
                let Some((proxy, since)) = self.queue.pop_front() else { break };
                self.free_at = self.free_at.max(now - 10 * MS) + self.service_time;
                let late = now - since > MAX_WAIT;
                let kind = if late { ListKind::Failed } else { ListKind::Full };
                let actions = self.proxies[proxy].list(kind, if late { vec![] } else { vec![ready(1)] });
                self.listed[proxy] |= !late;
                self.apply_actions(now, proxy, &actions);
            }
        }
    }

    /// Maximum number of requests within 100 ms, among those from `from` on.
    fn max_within_100_ms(&self, from: Micros) -> usize {
        let within = |at: Micros| {
            self.subscriptions
                .iter()
                .filter(|&&subscription| subscription >= at && subscription < at + 100 * MS)
                .count()
        };
        self.subscriptions.iter().filter(|&&at| at >= from).map(|&at| within(at)).max().unwrap_or(0)
    }

    fn unlisted(&self) -> usize {
        self.listed.iter().filter(|&&listed| !listed).count()
    }
}

#[test]
fn a_hundred_balancers_that_lose_their_watches_at_once_all_get_the_list() {
    let begin = 1_000_000;
    let mut discovery = Discovery::new(100, 60 * MS);
    discovery.run(begin, begin + 10_000 * MS);
    discovery.subscriptions.clear();
    discovery.listed.fill(false);
    let lost_at = begin + 10_000 * MS;
    discovery.lose_watches(lost_at);
    discovery.run(lost_at, lost_at + 20_000 * MS);
    let most = discovery.max_within_100_ms(lost_at);
    assert!(most <= 20, "{most} requests within 100 ms, where six can be answered in 300 ms");
    assert_eq!(
        discovery.unlisted(),
        0,
        "at seventeen requests per second, six seconds suffice for a hundred"
    );
}

/// Changes that a silent watch missed count as notified one second after the silence was noticed, and a
/// draining server must get nothing one second after that.
#[test]
fn three_hundred_balancers_with_silent_watches_subscribe_within_half_a_second() {
    let begin = 1_000_000;
    let mut discovery = Discovery::new(300, 2 * MS);
    discovery.run(begin, begin + 20_000 * MS);
    assert_eq!(discovery.unlisted(), 0);
    discovery.listed.fill(false);
    let noticed_at = begin + 20_000 * MS;
    for proxy in 0..300 {
        discovery.proxies[proxy].now = noticed_at;
        let actions = discovery.proxies[proxy].list(ListKind::Silent, vec![]);
        discovery.apply_actions(noticed_at, proxy, &actions);
    }
    discovery.run(noticed_at, noticed_at + 500 * MS);
    let requested = discovery.subscriptions.iter().filter(|&&at| at >= noticed_at).count();
    assert_eq!(requested, 300, "requests of three hundred balancers within half a second");
    discovery.run(noticed_at + 500 * MS, noticed_at + 1_000 * MS);
    assert_eq!(discovery.unlisted(), 0, "five hundred requests per second can be answered");
}

/// The first request after a silence fails. Missed changes count as notified two seconds later, and a
/// draining server must get nothing one second after that, so the retry has to come in time. Further retries
/// become rarer.
#[test]
fn a_subscription_that_fails_after_silence_is_retried_within_a_second() {
    for balancer_index in 0..300 {
        let settings =
            Settings { balancers: 300, balancer_index, pull_list: true, ..settings(Idempotency::Free) };
        let mut proxy = Proxy::seeded(u64::from(balancer_index), settings);
        proxy.list(ListKind::Full, vec![ready(1)]);
        let mut pauses = Vec::new();
        let mut kind = ListKind::Silent;
        for _ in 0..5 {
            proxy.list(kind, vec![]);
            kind = ListKind::Failed;
            let from = proxy.now;
            while !proxy.event(Event::Timer).contains(&Action::Subscribe) {
                proxy.now += 10 * MS;
            }
            pauses.push(proxy.now - from);
        }
        assert!(pauses[0] <= 460 * MS && pauses[1] <= 910 * MS, "{pauses:?}");
        assert!(pauses[4] >= 2_400 * MS, "{pauses:?}");
        // A received list ends the handling of the silence.
        proxy.list(ListKind::Full, vec![ready(1)]);
        let failed = proxy.now;
        proxy.list(ListKind::Failed, vec![]);
        while !proxy.event(Event::Timer).contains(&Action::Subscribe) {
            proxy.now += 10 * MS;
        }
        assert!(proxy.now - failed >= 2_500 * MS);
    }
}

/// If so many balancers at once are too many, those without a response spread their retries as after any
/// failed request.
#[test]
fn a_hundred_balancers_with_silent_watches_all_get_the_list() {
    let begin = 1_000_000;
    let mut discovery = Discovery::new(100, 60 * MS);
    discovery.run(begin, begin + 20_000 * MS);
    discovery.listed.fill(false);
    let noticed_at = begin + 20_000 * MS;
    for proxy in 0..100 {
        discovery.proxies[proxy].now = noticed_at;
        let actions = discovery.proxies[proxy].list(ListKind::Silent, vec![]);
        discovery.apply_actions(noticed_at, proxy, &actions);
    }
    discovery.run(noticed_at, noticed_at + 20_000 * MS);
    assert_eq!(discovery.unlisted(), 0);
}

#[test]
fn a_hundred_balancers_that_start_at_once_spread_their_subscriptions() {
    let begin = 1_000_000;
    let mut discovery = Discovery::new(100, 60 * MS);
    discovery.run(begin, begin + 20_000 * MS);
    assert!(discovery.max_within_100_ms(begin) <= 20, "{}", discovery.max_within_100_ms(begin));
    assert_eq!(discovery.unlisted(), 0);
}

#[test]
fn a_few_balancers_subscribe_at_once_and_retry_soon() {
    let begin = 1_000_000;
    let mut discovery = Discovery::new(5, 60 * MS);
    assert!(discovery.proxies.iter().all(|p| p.actions.contains(&Action::Subscribe)), "at the start");
    discovery.lose_watches(begin);
    discovery.run(begin, begin + 1_000 * MS);
    assert_eq!(discovery.unlisted(), 0, "one second is enough for five balancers");
}

#[test]
fn a_cached_list_does_not_prevent_a_subscription() {
    let mut proxy =
        Proxy::seeded(3, Settings { balancers: 100, pull_list: true, ..settings(Idempotency::Free) });
    proxy.list(ListKind::Cached, vec![ready(1)]);
    let requested = (0..300).any(|_| proxy.wait(10 * MS).contains(&Action::Subscribe));
    assert!(requested, "the cached list may be outdated");
}

/// When one of a thousand balancers first subscribes, with `calls` calls per 100 ms.
fn first_subscription(list: bool, calls: usize) -> Micros {
    // A seed with a pause above ten seconds is used, so that the calls have something to shorten.
    let cached_or_empty = |seed| {
        let mut proxy = Proxy::seeded(
            seed,
            Settings { balancers: 1_000, pull_list: true, ..settings(Idempotency::Free) },
        );
        if list {
            proxy.list(ListKind::Cached, vec![ready(1)]);
        }
        proxy
    };
    let subscribes_late = |seed: &u64| {
        let mut proxy = cached_or_empty(*seed);
        !(0..1_000).any(|_| proxy.wait(10 * MS).contains(&Action::Subscribe))
    };
    let mut proxy = cached_or_empty((0..100).find(subscribes_late).expect("a seed with a long first pause"));
    for step in 0..4_000 {
        if proxy.wait(10 * MS).contains(&Action::Subscribe) {
            return step * 10 * MS;
        }
        for _ in 0..if step % 10 == 0 { calls } else { 0 } {
            if proxy.call().1.contains(&Action::Subscribe) {
                return step * 10 * MS;
            }
        }
    }
    panic!("it never subscribed");
}

#[test]
fn a_balancer_without_a_list_subscribes_sooner_the_more_calls_it_gets() {
    assert!(first_subscription(false, 0) >= 10_000 * MS, "it gets no calls");
    assert!(
        first_subscription(false, 1) <= 2_500 * MS,
        "ten calls per second: {}",
        first_subscription(false, 1)
    );
    assert!(
        first_subscription(false, 5) <= 600 * MS,
        "fifty calls per second: {}",
        first_subscription(false, 5)
    );
    assert!(first_subscription(true, 5) >= 10_000 * MS, "it has a list");
}

/// Number of calls, out of a thousand, that are refused at a busy balancer, one of a hundred in front of
/// sixty servers, with a call every 20 ms. From the two hundredth call on, one in `endless_every` never ends,
/// at any server, and the others take 78 ms instead of 40 ms.
fn refusals_beside_endless_calls(endless_every: usize) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 100, limits, ..settings(Idempotency::SingleShot) }, 60);
    let (mut in_flight, mut refusals) = (Vec::<(Micros, CallId, Outcome)>::new(), 0);
    for step in 0..1_200 {
        proxy.now += 20 * MS;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, outcome) in in_flight.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            let elapsed = if outcome == Outcome::TimedOut {
                500 * MS
            } else if call.0 > 200 {
                70 * MS
            } else {
                40 * MS
            };
            actions.extend(proxy.end(call, 0, outcome, elapsed));
        }
        actions.extend(proxy.call().1);
        refusals += actions.iter().filter(|a| step >= 200 && matches!(a, Action::Refuse { .. })).count();
        for (call, _) in sent(&actions) {
            let endless = step >= 200 && call.0.is_multiple_of(endless_every as u64);
            let usual = if step >= 200 { 78 } else { 40 };
            let (took, outcome) = if endless { (500, Outcome::TimedOut) } else { (usual, Outcome::Served) };
            in_flight.push((now + took * MS, call, outcome));
        }
    }
    refusals
}

#[test]
fn calls_that_never_end_do_not_block_all_others() {
    assert!(refusals_beside_endless_calls(usize::MAX) <= 10, "{}", refusals_beside_endless_calls(usize::MAX));
    let refusals = refusals_beside_endless_calls(4);
    assert!(refusals <= 50, "one in four calls times out, the others are answered quickly: {refusals}");
}

/// A balancer, one of a hundred in front of sixty servers, gets a burst of eight calls per second for a
/// minute, answered after 100 ms. Then it gets a hundred calls within half a second, none of which is
/// answered. Returns how many of those are sent.
fn sent_of_a_large_burst_after_small_ones() -> usize {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    for _ in 0..60 {
        let mut in_flight: Vec<CallId> = Vec::new();
        for _ in 0..8 {
            in_flight.extend(sent(&proxy.call().1).iter().map(|s| s.0));
        }
        proxy.now += 100 * MS;
        while let Some(call) = in_flight.pop() {
            in_flight.extend(sent(&proxy.end(call, 0, Outcome::Served, 100 * MS)).iter().map(|s| s.0));
        }
        proxy.wait(900 * MS);
    }
    let mut burst = 0;
    for _ in 0..100 {
        proxy.now += 5 * MS;
        burst += sent(&proxy.call().1).len();
    }
    burst
}

/// Guards against congestion collapse: if every small burst raised the limit, however little of it is used,
/// it would not bound a large burst that all balancers get at once.
#[test]
fn small_bursts_do_not_raise_the_limit_for_a_large_one() {
    let burst = sent_of_a_large_burst_after_small_ones();
    assert!(burst <= 20, "{burst} in flight, while eight calls used a tenth of each second");
}

/// Runs one of a hundred balancers in front of sixty servers. The servers handle `capacity` of its calls at a
/// time, each in 40 ms; further calls wait there. It gets calls at half the rate that the servers can handle
/// for ten seconds, and at twice that rate afterwards. Returns the mean number of its calls in flight over
/// the last ten of forty seconds.
fn mean_in_flight_with_capacity(capacity: usize) -> f64 {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    let mut free_at = vec![0; capacity];
    let mut in_flight: Vec<(Micros, CallId, Micros)> = Vec::new();
    let gap = 40 * MS / (2 * capacity as u64);
    let (mut all, mut steps) = (0, 0);
    while proxy.now < 40_000 * MS {
        proxy.now += gap;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, at) in in_flight.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            actions.extend(proxy.end(call, 0, Outcome::Served, now - at));
        }
        // In the first ten seconds, half of what the servers can handle.
        if now > 10_000 * MS || (now / gap).is_multiple_of(4) {
            actions.extend(proxy.call().1);
        }
        for (call, _) in sent(&actions) {
            let first = free_at.iter_mut().min().expect("a worker");
            *first = (*first).max(now) + 40 * MS;
            in_flight.push((*first, call, now));
        }
        if now > 30_000 * MS {
            (all, steps) = (all + in_flight.len(), steps + 1);
        }
    }
    all as f64 / f64::from(steps)
}

/// Guards against congestion collapse: rising response times are its first sign, long before responses are
/// late.
#[test]
fn rising_response_times_stop_the_limit_before_they_double() {
    let in_flight = mean_in_flight_with_capacity(12);
    assert!((8.0..=24.0).contains(&in_flight), "{in_flight} in flight with a capacity of twelve");
}

/// Guards against a cooldown that never ends: it is counted in served calls of the balancer, and there are
/// none while all servers cool down.
#[test]
fn servers_that_all_cool_down_get_calls_again() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 30, limits, ..settings(Idempotency::SingleShot) }, 30);
    // For four seconds, three of four calls time out at any server; after that none does.
    let mut in_flight = Vec::<(Micros, CallId, Outcome)>::new();
    let (mut requested, mut served) = (0, 0);
    for step in 0..600 {
        proxy.now += 20 * MS;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, outcome) in in_flight.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            let elapsed = if outcome == Outcome::TimedOut { 500 * MS } else { 40 * MS };
            served += usize::from(step >= 400 && outcome == Outcome::Served);
            actions.extend(proxy.end(call, 0, outcome, elapsed));
        }
        actions.extend(proxy.call().1);
        requested += usize::from(step >= 400);
        for (call, _) in sent(&actions) {
            let silent = (100..300).contains(&step) && !call.0.is_multiple_of(4);
            let (took, outcome) = if silent { (500, Outcome::TimedOut) } else { (40, Outcome::Served) };
            in_flight.push((now + took * MS, call, outcome));
        }
    }
    assert!(
        served * 10 >= requested * 9,
        "{served} of {requested} served, from two seconds after the last time-out"
    );
}

#[test]
fn a_burst_of_a_balancer_with_few_calls_exceeds_its_subset() {
    let mut proxy = Proxy::new(Settings { balancers: 20, ..settings(Idempotency::SingleShot) }, 60);
    // All within one usual response time, which is a quarter of the latency target before the first response.
    // None is answered.
    (0..18).for_each(|_| drop((proxy.wait(7 * MS), proxy.call())));
    let used: std::collections::BTreeSet<_> = sent(&proxy.actions).into_iter().map(|s| s.1).collect();
    assert!(used.len() >= 14, "all sixty servers are idle, and its subset has eight: {}", used.len());
}
