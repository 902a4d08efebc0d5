//! The stand-ins and the verdicts of the review's cases: `stand CASE FOLDER TEMPORARY`. Started by each case's `run.sh`.

mod burst_of_keys;
mod common;
mod crowded_discovery;
mod second_answer;

use common::{cannot_run, Record};
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = &arguments[..] else {
        cannot_run("usage: stand CASE FOLDER TEMPORARY")
    };
    // A run takes 120 s at most. Processes that were started end with `run.sh`.
    std::thread::spawn(|| {
        common::sleep_ms(110_000);
        cannot_run("out of time");
    });
    let record = Record::new(&Path::new(folder).join("record.txt"));
    let temporary = Path::new(temporary);
    let broken = match case.as_str() {
        "second_answer" => second_answer::run(&record, temporary),
        "crowded_discovery" => crowded_discovery::run(&record, temporary),
        "burst_of_keys" => burst_of_keys::run(&record, temporary),
        _ => cannot_run("no such case"),
    };
    record.say(if broken { "the rule was BROKEN" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
