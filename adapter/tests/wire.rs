//! Runs the adapter as a process: one line of output for each line of input, and an error message for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CREATE: &str = r#"{"clock_us":5,"input":[{"verb":"CREATE","proxy":3,"seed":9,"facts":{"balancers":2,"unheard_of":1,
"classes":[{"name":"a","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"free"}],"discovery":"ask",
"limits":{"cancel":true,"max_attempts":3},"invariants":{"cold_from":0.2,"cold_us":9000000,"tip_after_us":2000000}}}]}"#;
const MEMBERS: &str = r#"{"clock_us":5,"input":[{"verb":"POOL","roster_id":0,"elements":[{"az":"z","weight":1,"cohort":0,"host":77,"state":1}]},{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}]}"#;
const JOB_IN: &str = r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x","tier_class":"a","time_budget_us":900000}]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettleworks-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // A child that has already exited has closed the pipe; the tests check its exit code.
        if writeln!(input, "{}", line.replace('\n', " ")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("it ends")
}

#[test]
fn a_call_is_routed_and_completed() {
    let done = r#"{"clock_us":99,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"served","elapsed_us":90,"terminal":true,"stats":{"odd":1,"cpu":0.5}}]}"#;
    let late = r#"{"clock_us":99,"input":[{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-x"}]}"#;
    let output = run(&[r#"{"clock_us":1,"input":[]}"#, CREATE, MEMBERS, JOB_IN, done, late]);
    assert!(output.status.success(), "end of input is not an error");
    let replies: Vec<String> = String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect();
    assert_eq!(replies.len(), 6);
    assert_eq!(replies[0], r#"{"cmds":[]}"#);
    assert!(replies[1].contains(r#""verb":"LISTEN""#));
    assert!(replies[3].contains(r#""verb":"ROUTE","proxy":3,"call":"r-x","host":77"#), "{}", replies[3]);
    assert_eq!(replies[5], r#"{"cmds":[]}"#);
}

#[test]
fn a_malformed_line_ends_the_process_with_an_error_message() {
    let malformed_lines = [
        ("not json", "line 1"),
        (r#"{"clock_us":1}"#, "input"),
        (r#"{"clock_us":1,"input":[{"verb":"ALARM"}]}"#, "ALARM without proxy"),
        (r#"{"clock_us":1,"input":[{"verb":"ALARM","proxy":8,"tag":1}]}"#, "unknown proxy 8"),
        (r#"{"clock_us":1,"input":[{"verb":"DANCE","proxy":8}]}"#, "line 1"),
        (r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1,"facts":{}}]}"#, "facts"),
        (r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1}]}"#, "CREATE without facts"),
    ];
    for (line, expected) in malformed_lines {
        let output = run(&[line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(message.contains(expected) && message.contains("line 1"), "{line}: {message}");
        assert!(!message.contains("panicked"), "{message}");
        assert!(output.stdout.is_empty());
    }
    let output = run(&[CREATE, r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x"}]}"#]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 2: JOB_IN without"));
}
