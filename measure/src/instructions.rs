//! Instructions that a request costs a process, by callgrind: CPU time is noisy where machines are shared, and a count
//! of instructions is nearly the same each time.
//!
//! The process is run twice with different numbers of requests, and what the second has more is divided by how many
//! more there were: its start and end do not count.

use crate::process::Role;
use nettleworks_standins::{run, Load};
use std::cell::RefCell;
use std::rc::Rc;

/// Requests of the shorter run, and how many more the longer one has.
const FEW: usize = 1_000;
const MORE: usize = 3_000;

/// What is asked of the process.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Connections that ask side by side.
    pub clients: usize,
    /// Classes and their shares.
    pub classes: Vec<(&'static str, f64)>,
}

/// Instructions for each request to a role; `None`: there is no valgrind here.
pub fn a_request(role: &str, config: &str, asked: &Asked) -> Option<f64> {
    a_request_on(role, config, asked, 1)
}

/// The same for a role with so many threads.
pub fn a_request_on(role: &str, config: &str, asked: &Asked, threads: usize) -> Option<f64> {
    let few = total(role, config, asked, threads, FEW)?;
    let many = total(role, config, asked, threads, FEW + MORE)?;
    Some((many - few) / MORE as f64)
}

fn total(name: &str, config: &str, asked: &Asked, threads: usize, requests: usize) -> Option<f64> {
    let out = std::env::temp_dir().join(format!("callgrind-{}-{requests}", std::process::id()));
    let role = Role::start_under(
        &["valgrind", "--quiet", "--tool=callgrind", &format!("--callgrind-out-file={}", out.display())],
        name,
        config,
        threads,
    )?;
    crate::library::until_ready(role.address);
    let served = run(async {
        let tally = Rc::new(RefCell::default());
        let mut load = Load::new(role.address, requests as u64);
        (load.clients, load.calls) = (asked.clients, requests / asked.clients);
        load.classes.clone_from(&asked.classes);
        load.run(&tally).await;
        let served = tally.borrow().served;
        served
    });
    role.finish();
    let text = std::fs::read_to_string(&out);
    // It is of no more use.
    let _ = std::fs::remove_file(&out);
    let text = text.ok()?;
    let total =
        text.lines().find_map(|line| line.strip_prefix("totals: ").or(line.strip_prefix("summary: ")));
    let total = total?.trim().parse::<f64>().ok()?;
    assert!(served as usize * 100 >= requests * 98, "{served} of {requests} were served");
    Some(total)
}
