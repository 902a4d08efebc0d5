//! Several processes that know each other, and faults between them.

use nettleworks_crew::{Crew, Event, Link, Plan};
use nettleworks_standins::{Load, Plan as Host, Site, Tally};
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nettleworks");

fn hosts(count: usize) -> Site {
    Site::start(vec![Host { service: Duration::from_millis(2), ..Host::default() }; count])
}

fn crew(name: &str, count: usize, site: &Site) -> Crew {
    let crew = Crew::start(Plan::new(PROGRAM, name, count), site);
    crew.whole();
    crew
}

/// Who was taken for failed and is none of these.
fn others(crew: &Crew, at: Duration, but: &[usize]) -> Vec<(usize, String)> {
    let but: Vec<String> = but.iter().map(|number| Crew::name(*number)).collect();
    crew.failed_since(at).into_iter().filter(|(_, whom)| !but.contains(whom)).collect()
}

fn panicked(crew: &Crew) -> bool {
    let said = crew.history.since(Duration::ZERO);
    said.iter().any(|(_, event)| matches!(event, Event::Said(_, line) if line.contains("panicked")))
}

#[test]
fn a_third_are_killed_at_once_and_come_back_under_their_names() {
    let site = hosts(1);
    let mut crew = crew("kill", 9, &site);
    let at = crew.history.now();
    for number in [1, 4, 7] {
        crew.kill(number);
    }
    for number in [1, 4, 7] {
        crew.taken_for(number, "failed", &[]);
    }
    assert_eq!(others(&crew, at, &[1, 4, 7]), [], "{}", crew.history.text());
    for number in [1, 4, 7] {
        crew.begin(number);
    }
    crew.whole();
    let back = crew.history.said(at, "come back");
    assert!(back.iter().any(|(_, whom)| whom == "p-4"), "{back:?}");
    assert!(!panicked(&crew));
}

#[test]
fn all_are_restarted_in_turn_and_nobody_counts_as_failed() {
    let site = hosts(1);
    let mut crew = crew("roll", 6, &site);
    let at = crew.history.now();
    for number in 0..6 {
        crew.end(number);
        crew.begin(number);
    }
    crew.whole();
    assert_eq!(crew.failed_since(at), [], "{}", crew.history.text());
    assert!(crew.history.said(at, "left").len() >= 6, "{}", crew.history.text());
}

/// Stopped for longer than it takes to be taken for failed; when it goes on it accuses nobody, and is back.
#[test]
fn one_that_is_stopped_is_back_when_it_goes_on_and_accuses_nobody() {
    let site = hosts(1);
    let crew = crew("stop", 6, &site);
    let at = crew.history.now();
    crew.process(2).stop();
    crew.until("it is taken for failed", |_| {
        let failed = crew.failed_since(at);
        (0..6).filter(|by| *by != 2).all(|by| failed.iter().any(|(who, whom)| *who == by && whom == "p-2"))
    });
    crew.process(2).go_on();
    crew.whole();
    assert_eq!(others(&crew, at, &[2]), [], "{}", crew.history.text());
    let accused = crew.history.said(at, "not answered somebody");
    assert!(accused.iter().all(|(who, whom)| *who != 2 || whom == "p-2"), "{accused:?}");
}

#[test]
fn a_crew_in_two_parts_is_one_again() {
    let site = hosts(1);
    let crew = crew("split", 9, &site);
    let (one, other) = ([0, 1, 2, 3, 4, 5], [6, 7, 8]);
    crew.split(&one, &other);
    for number in other {
        crew.taken_for(number, "failed", &other);
    }
    for number in one {
        crew.taken_for(number, "failed", &one);
    }
    let stands = |number: usize| crew.process(number).view().expect("it answers")["standing"].clone();
    assert_eq!((stands(0), stands(7)), ("reduced".into(), "minority".into()));
    crew.heal();
    let healed = crew.history.now();
    crew.whole();
    assert_eq!(crew.failed_since(healed), [], "nobody fails by the meeting itself: {}", crew.history.text());
}

#[test]
fn one_way_and_between_two_alone_nobody_fails() {
    let site = hosts(1);
    let crew = crew("oneway", 5, &site);
    let at = crew.history.now();
    let cut = Link { cut: true, ..Link::default() };
    // 0 does not reach 1, and 2 and 3 do not reach each other.
    crew.relays.set(0, 1, cut.clone());
    crew.relays.set(2, 3, cut.clone());
    crew.relays.set(3, 2, cut);
    // Each of them is asked some times in so long, and a suspicion would be over.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(crew.failed_since(at), [], "{}", crew.history.text());
}

/// A seeded course of faults under load: the four rules hold by the hosts' ledger, and in the end all know all.
#[test]
fn a_course_of_faults_under_load_breaks_no_rule() {
    let site = hosts(4);
    let crew = crew("course", 12, &site);
    let ledger = site.ledger.clone();
    let crew = RefCell::new(crew);
    let tallies: Vec<Rc<RefCell<Tally>>> = (0..12).map(|_| Rc::default()).collect();
    let mut draws = rand_pcg::Pcg64::seed_from_u64(17);
    let mut below = |most: usize| (draws.next_u64() % most as u64) as usize;
    let mut killed = std::collections::BTreeSet::new();
    nettleworks_standins::run(async {
        let stop = tokio::time::Instant::now() + Duration::from_secs(12);
        let mut loads = Vec::new();
        for (number, tally) in tallies.iter().enumerate() {
            let mut load = Load::new(crew.borrow().process(number).address, number as u64);
            (load.clients, load.pause, load.until) = (2, Duration::from_millis(15), Some(stop));
            let tally = tally.clone();
            loads.push(tokio::task::spawn_local(async move { load.run(&tally).await }));
        }
        // Kinds in turn, on whom and for how long by the seed.
        for turn in 0..6 {
            let span = Duration::from_millis(700 + below(600) as u64);
            match turn % 6 {
                0 => {
                    let at = 1 + below(10);
                    let parts: (Vec<usize>, Vec<usize>) = ((0..at).collect(), (at..12).collect());
                    crew.borrow().split(&parts.0, &parts.1);
                }
                1 => crew.borrow().links(Link { loss: 0.3, doubled: 0.2, ..Link::default() }),
                2 => {
                    let span = (Duration::ZERO, Duration::from_millis(90));
                    crew.borrow().links(Link { delay: span, ..Link::default() });
                }
                3 => {
                    let which = below(12);
                    crew.borrow().process(which).stop();
                    tokio::time::sleep(span).await;
                    crew.borrow().process(which).go_on();
                }
                4 => {
                    let which = below(12);
                    killed.insert(which);
                    crew.borrow_mut().kill(which);
                }
                _ => {
                    for from in 0..12 {
                        let to = below(12);
                        crew.borrow().relays.set(from, to, Link { cut: true, ..Link::default() });
                    }
                }
            }
            tokio::time::sleep(span).await;
            crew.borrow().heal();
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        for load in loads {
            load.await.expect("clients go on to their end");
        }
    });
    let mut crew = crew.into_inner();
    for number in &killed {
        crew.begin(*number);
    }
    crew.whole();
    assert!(!panicked(&crew));
    assert_eq!(ledger.twice(Duration::from_secs(9)), [], "an effect was had twice");
    for (number, tally) in tallies.iter().enumerate().filter(|(number, _)| !killed.contains(number)) {
        let tally = tally.borrow();
        assert_eq!((tally.lost, tally.failed), (0, 0), "at process {number}: {tally:?}");
        assert!(tally.served > 100, "at process {number}: {tally:?}");
        assert!(tally.refused * 100 <= tally.all(), "at process {number}: {tally:?}");
    }
}
