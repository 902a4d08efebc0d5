//! What a hundred balancers do together, each harmless alone.

mod common;
use common::*;
use nettleworks_policy::*;

/// Many balancers before one discovery that takes their asks in turn, so many a second, and lets one fail that has
/// waited for two seconds: its time was taken all the same.
struct Discovery {
    proxies: Vec<Proxy>,
    /// Balancers in line, and since when they wait.
    queue: std::collections::VecDeque<(usize, Micros)>,
    service_time: Micros,
    free_at: Micros,
    /// When each ask came.
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

    /// Each watch has broken.
    fn lose_watches(&mut self, now: Micros) {
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].now = now;
            let actions = self.proxies[proxy].list(ListKind::Failed, vec![]);
            self.apply_actions(now, proxy, &actions);
        }
    }

    /// Goes on until then, in steps of 10 ms.
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

    /// Most asks within a tenth of a second, from then on.
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
    assert!(most <= 20, "{most} asks within a tenth of a second, where six can be answered in three tenths");
    assert_eq!(discovery.unlisted(), 0, "seventeen asks a second: six seconds would do for a hundred");
}

/// What a silent watch hides counts as told a second after the silence is noticed_at, and a host that drains may get nothing
/// a second later.
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
    assert_eq!(requested, 300, "of three hundred in half a second");
    discovery.run(noticed_at + 500 * MS, noticed_at + 1_000 * MS);
    assert_eq!(discovery.unlisted(), 0, "five hundred asks a second can be answered");
}

/// The first call after silence fails: two seconds later what was hidden counts as told, and a host that drains may get
/// nothing a second after that. The next ask comes in time, and then fewer and fewer at a time.
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
        // The silence is over with the first list.
        proxy.list(ListKind::Full, vec![ready(1)]);
        let failed = proxy.now;
        proxy.list(ListKind::Failed, vec![]);
        while !proxy.event(Event::Timer).contains(&Action::Subscribe) {
            proxy.now += 10 * MS;
        }
        assert!(proxy.now - failed >= 2_500 * MS);
    }
}

/// Where so many at once are too many, those that were not answered spread as after any call that failed.
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
    assert_eq!(discovery.unlisted(), 0, "a second is enough for five");
}

#[test]
fn a_cached_list_does_not_prevent_a_subscription() {
    let mut proxy =
        Proxy::seeded(3, Settings { balancers: 100, pull_list: true, ..settings(Idempotency::Free) });
    proxy.list(ListKind::Cached, vec![ready(1)]);
    let requested = (0..300).any(|_| proxy.wait(10 * MS).contains(&Action::Subscribe));
    assert!(requested, "what it had before it started may be old");
}

/// When one of a thousand that has clients asks first, by so many calls each tenth of a second.
fn first_subscription(list: bool, calls: usize) -> Micros {
    // Its draw lies beyond ten seconds: what is left is for the calls to shorten.
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
    let mut proxy = cached_or_empty((0..100).find(subscribes_late).expect("one that is drawn late"));
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
    panic!("it never asked");
}

#[test]
fn a_balancer_without_a_list_subscribes_sooner_the_more_calls_it_gets() {
    assert!(first_subscription(false, 0) >= 10_000 * MS, "nobody asks it for anything");
    assert!(
        first_subscription(false, 1) <= 2_500 * MS,
        "ten calls a second: {}",
        first_subscription(false, 1)
    );
    assert!(first_subscription(false, 5) <= 600 * MS, "fifty: {}", first_subscription(false, 5));
    assert!(first_subscription(true, 5) >= 10_000 * MS, "it has a list to go by");
}

/// Calls of a busy balancer of a hundred before sixty servers, one each 20 ms. From the two hundredth on each so many-th
/// is one whose work never ends, at whichever server; the others take 78 ms instead of 40. How many of the next thousand are refused?
fn refusals_beside_endless_calls(endless_every: usize) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 100, limits, ..settings(Idempotency::SingleShot) }, 60);
    let (mut out, mut refusals) = (Vec::<(Micros, CallId, Outcome)>::new(), 0);
    for step in 0..1_200 {
        proxy.now += 20 * MS;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, outcome) in out.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
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
            out.push((now + took * MS, call, outcome));
        }
    }
    refusals
}

#[test]
fn calls_that_never_end_do_not_block_all_others() {
    assert!(refusals_beside_endless_calls(usize::MAX) <= 10, "{}", refusals_beside_endless_calls(usize::MAX));
    let refusals = refusals_beside_endless_calls(4);
    assert!(refusals <= 50, "each fourth call times out, sixty servers answer the rest at once: {refusals}");
}

/// One balancer of a hundred before sixty servers has a burst of eight calls each second for a minute, answered after
/// 100 ms, and then a hundred within half a second, of which none is answered. How many of these go?
fn sent_of_a_large_burst_after_small_ones() -> usize {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    for _ in 0..60 {
        let mut out: Vec<CallId> = Vec::new();
        for _ in 0..8 {
            out.extend(sent(&proxy.call().1).iter().map(|s| s.0));
        }
        proxy.now += 100 * MS;
        while let Some(call) = out.pop() {
            out.extend(sent(&proxy.end(call, 0, Outcome::Served, 100 * MS)).iter().map(|s| s.0));
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

/// Guards against congestion collapse: a limit that grows by each small burst, however little of it is used, is no bound
/// to a large one that all balancers have at once.
#[test]
fn small_bursts_do_not_raise_the_limit_for_a_large_one() {
    let burst = sent_of_a_large_burst_after_small_ones();
    assert!(burst <= 20, "{burst} in flight, where eight are for a tenth of each second");
}

/// One balancer of a hundred before sixty servers that serve at most so many of its calls at a time, each in 40 ms; what is
/// beyond that waits there. It is asked for twice as much. The mean number of its calls in flight, over ten seconds.
fn mean_in_flight_with_capacity(capacity: usize) -> f64 {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    let mut free_at = vec![0; capacity];
    let mut out: Vec<(Micros, CallId, Micros)> = Vec::new();
    let gap = 40 * MS / (2 * capacity as u64);
    let (mut all, mut steps) = (0, 0);
    while proxy.now < 40_000 * MS {
        proxy.now += gap;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, at) in out.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            actions.extend(proxy.end(call, 0, Outcome::Served, now - at));
        }
        // The first ten seconds at half of what they serve.
        if now > 10_000 * MS || (now / gap).is_multiple_of(4) {
            actions.extend(proxy.call().1);
        }
        for (call, _) in sent(&actions) {
            let first = free_at.iter_mut().min().expect("one that serves");
            *first = (*first).max(now) + 40 * MS;
            out.push((*first, call, now));
        }
        if now > 30_000 * MS {
            (all, steps) = (all + out.len(), steps + 1);
        }
    }
    all as f64 / f64::from(steps)
}

/// Guards against congestion collapse: answers that become longer are the first sign of it, long before they are late.
#[test]
fn rising_response_times_stop_the_limit_before_they_double() {
    let in_flight = mean_in_flight_with_capacity(12);
    assert!((8.0..=24.0).contains(&in_flight), "{in_flight} in flight where twelve are served at a time");
}

/// Guards against a rest that never ends: each is counted in answers of the balancer, of which there are none where all
/// servers rest.
#[test]
fn servers_that_all_cool_down_get_calls_again() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 30, limits, ..settings(Idempotency::SingleShot) }, 30);
    // Four seconds in which three of four calls time out at whichever server, and then none.
    let mut out = Vec::<(Micros, CallId, Outcome)>::new();
    let (mut requested, mut served) = (0, 0);
    for step in 0..600 {
        proxy.now += 20 * MS;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call, outcome) in out.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            let elapsed = if outcome == Outcome::TimedOut { 500 * MS } else { 40 * MS };
            served += usize::from(step >= 400 && outcome == Outcome::Served);
            actions.extend(proxy.end(call, 0, outcome, elapsed));
        }
        actions.extend(proxy.call().1);
        requested += usize::from(step >= 400);
        for (call, _) in sent(&actions) {
            let silent = (100..300).contains(&step) && !call.0.is_multiple_of(4);
            let (took, outcome) = if silent { (500, Outcome::TimedOut) } else { (40, Outcome::Served) };
            out.push((now + took * MS, call, outcome));
        }
    }
    assert!(served * 10 >= requested * 9, "{served} of {requested} from two seconds after the end of it");
}

#[test]
fn a_burst_of_a_balancer_with_few_calls_exceeds_its_subset() {
    let mut proxy = Proxy::new(Settings { balancers: 20, ..settings(Idempotency::SingleShot) }, 60);
    // In one usual time, a quarter of the aim as nothing is known, of which none is answered.
    (0..18).for_each(|_| drop((proxy.wait(7 * MS), proxy.call())));
    let used: std::collections::BTreeSet<_> = sent(&proxy.actions).into_iter().map(|s| s.1).collect();
    assert!(used.len() >= 14, "sixty servers are idle, eight are its window: {}", used.len());
}
