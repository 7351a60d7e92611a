//! Tests of the adapter as a process: the output that it writes for a given input.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::{Command, Stdio};

struct Run {
    output: String,
    errors: String,
    success: bool,
}

fn run(input: &[u8]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading early, at a malformed line, so a write error is ignored.
    let mut stdin = child.stdin.take().expect("piped");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let result = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    Run {
        output: String::from_utf8(result.stdout).expect("standard output is UTF-8"),
        errors: String::from_utf8(result.stderr).expect("standard error is UTF-8"),
        success: result.status.success(),
    }
}

fn setup(me: u32) -> String {
    format!(
        r#"{{"balancers":3,"me":{me},"tier":0,"zone":"north","zones":["north","south"],"future":{{"a":[1]}},
        "lanes":[{{"name":"read","onTimeS":1,"hardLimitS":3,"effect":"idempotent","lateWorth":0,"stream":true}},
        {{"name":"pay","onTimeS":1,"hardLimitS":3,"effect":"deduplicated","dedupScope":"cell","windowS":5}},
        {{"name":"order","onTimeS":1,"hardLimitS":3,"effect":"at_most_once"}}],
        "projects":[{{"name":"acme","portion":0.5,"quotaPerS":50}},{{"name":"zeta","portion":0.5,"quotaPerS":50}}],
        "overShareWorth":0.1,"discovery":"subscribe","loadInfo":{{"via":"inline","fields":["active","cpu"]}},
        "caps":{{"tryLimit":3,"cancel":true,"retryAfter":true,"maxRetryAfterS":2}},
        "rules":{{"answerSlackS":0.02,"askWithinS":10,"coldS":20,"coldShare":0.2,"drainGraceS":1,
        "fallMultiple":3,"overloadForS":2}},"prices":{{"crossZone":0.02}}}}"#
    )
    .replace('\n', "")
}

const ENDPOINT_LIST: &str =
    "INVENTORY\t0\t2\nM\t71\tnorth\tstd\t1\tReady\t1\t-\nM\t72\tsouth\tstd\t2\tReady\t1\t-\n";
const REQUEST_LINE: &str = "ASK\treq-1\torder\tacme\t-\t2.5\t-\t0\n";

/// Returns a first batch, which starts instance 4 with an endpoint list of two upstreams.
fn first_batch() -> String {
    let setup = setup(0);
    format!(
        "TURN\t100\t1\nTO\t4\nSTART\t9\t{setup}\n{ENDPOINT_LIST}PEERS_KNOWN\tstale_copy\t1\t0\nYOUR_TURN\n"
    )
}

#[test]
fn empty_input_and_empty_batch_are_accepted() {
    let result = run(b"");
    assert!(result.success && result.output.is_empty() && result.errors.is_empty());
    assert_eq!(run(b"TURN\t8.41225\t17\nYOUR_TURN\n").output, "READY\t17\n");
}

#[test]
fn request_is_forwarded_and_answered() {
    let input = first_batch()
        + "TURN\t100.1\t2\nTO\t4\n"
        + REQUEST_LINE
        + "YOUR_TURN\nTURN\t100.2\t3\nTO\t4\nATTEMPT_END\treq-1\t0\t71\tGOOD\t0.1\t1\t3,0.5\nYOUR_TURN\n";
    let result = run(input.as_bytes());
    assert!(result.success, "{}", result.errors);
    let lines: Vec<&str> = result.output.lines().collect();
    assert_eq!(lines[..4], ["INSTANCE\t4", "AFTER\t0.200000\tsweep", "OBSERVE\t1", "READY\t1"]);
    assert_eq!(lines[4], "INSTANCE\t4");
    assert!(lines[5].starts_with("CALL_OUT\treq-1\t7"), "{}", lines[5]);
    assert_eq!(lines[6..], ["READY\t2", "READY\t3"]);
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_retry() {
    let input = first_batch()
        + "TURN\t101\t2\nTO\t4\n"
        + REQUEST_LINE
        + "YOUR_TURN\nTURN\t101\t3\nTO\t4\nATTEMPT_END\treq-1\t0\t71\tBAD\t0.1\t0\t-\nYOUR_TURN\n";
    assert!(run(input.as_bytes()).output.ends_with("INSTANCE\t4\nABORT\treq-1\nREADY\t3\n"));
}

#[test]
fn refused_attempt_is_retried_and_then_the_request_is_refused() {
    let mut input = first_batch() + "TURN\t101\t2\nTO\t4\n" + REQUEST_LINE;
    for (n, upstream) in [(0, 71), (1, 72)] {
        input += &format!("ATTEMPT_END\treq-1\t{n}\t{upstream}\tFULL\t0.001\t0\t-\n");
    }
    let output = run((input + "YOUR_TURN\n").as_bytes()).output;
    assert_eq!(output.matches("CALL_OUT").count(), 2);
    assert!(output.contains("DENY\treq-1\t2.000000\n"), "{output}");
}

/// Covers restarts within a batch, reused list numbers, ids of ended requests, and all types of events and list
/// updates.
#[test]
fn unusual_but_valid_batches_are_accepted() {
    let setup = setup(1);
    let input = first_batch()
        + &format!(
            "TURN\t102\t2\nTO\t4\n{REQUEST_LINE}INVENTORY\t0\t1\nM\t72\tsouth\tstd\t2\tTerminating\t1\t-\n\
             PEERS_KNOWN\tpatch\t2\t0\nINVENTORY\t0\t0\nPEERS_KNOWN\tpatch\t3\t0\n\
             PEERS_KNOWN\tbroken\t3\t0\nREMINDER\tsweep\nHEALTH\tGOOD\t0.1\t71\t1,0.2\n\
             NOTE_FROM\t2\t6869\nNOTE_FROM\t2\t-\nTIMED_OUT_CLIENT\treq-1\nTIMED_OUT_CLIENT\treq-1\n\
             ATTEMPT_END\treq-1\t0\t71\tCXL\t0.1\t1\t-\nATTEMPT_END\treq-1\t0\t71\tCXL\t0.1\t1\t-\n\
             ATTEMPT_END\tnever-seen\t0\t71\tLATE\t0.1\t1\t-\nDESTROY\nASK\treq-2\tread\t0\t7\t1\t0.1\t1\n\
             START\t10\t{setup}\n{ENDPOINT_LIST}PEERS_KNOWN\twhole\t4\t0\nASK\treq-3\tread\t-\t7\t1\t0.1\t3\n\
             FIRST\treq-3\t0\t71\t0.1\nDESTROY\nREMINDER\tsweep\nYOUR_TURN\n"
        );
    let result = run(input.as_bytes());
    assert!(result.success, "{}", result.errors);
    assert!(result.output.contains("CALL_OUT\treq-3"), "{}", result.output);
    assert!(!result.output.contains("req-2"), "the instance was killed before req-2: {}", result.output);
    assert!(result.output.contains("WITHDRAW\treq-1\t0"), "{}", result.output);
}

/// Requests that follow the event that reports an upstream as draining are not sent to that upstream, even within
/// the same batch.
#[test]
fn drain_applies_to_later_events_of_the_same_batch() {
    let mut input =
        first_batch() + "TURN\t102\t2\nTO\t4\nINVENTORY\t3\t1\nM\t71\tnorth\tstd\t1\tTerminating\t1\t-\n";
    input += "PEERS_KNOWN\tpatch\t2\t3\n";
    for id in 0..20 {
        input += &format!("ASK\tr{id}\tread\tzeta\t-\t2\t-\t0\n");
    }
    let output = run((input + "YOUR_TURN\n").as_bytes()).output;
    assert!(output.contains("\t72\t") && !output.contains("\t71\t"), "{output}");
}

/// Distributes instances over one or three processes; the actions of each instance must be the same.
#[test]
fn one_process_and_three_give_the_same_actions() {
    let batches = |hosts_instance: &dyn Fn(u32) -> bool| {
        let mut input = String::from("TURN\t50\t1\n");
        for instance in (0..6).filter(|&instance| hosts_instance(instance)) {
            input += &format!(
                "TO\t{instance}\nSTART\t{}\t{}\n{ENDPOINT_LIST}PEERS_KNOWN\twhole\t1\t0\n",
                77 + instance,
                setup(instance)
            );
        }
        input += "YOUR_TURN\n";
        for turn in 0..40u32 {
            input += &format!("TURN\t{}\t{}\n", 51.0 + f64::from(turn) * 0.05, turn + 2);
            for instance in (0..6).filter(|&instance| hosts_instance(instance)) {
                input += &format!("TO\t{instance}\n");
                for n in 0..3 {
                    let class = ["read", "pay", "order"][n];
                    let tenant = ["acme", "zeta"][(turn % 2) as usize];
                    input += &format!("ASK\tq{instance}-{turn}-{n}\t{class}\t{tenant}\t-\t1\t-\t0\n");
                }
                let outcome = ["GOOD", "BAD", "FULL", "LATE"][(turn % 4) as usize];
                for n in 0..3 {
                    let end = u8::from(outcome == "GOOD");
                    input +=
                        &format!("ATTEMPT_END\tq{instance}-{turn}-{n}\t0\t71\t{outcome}\t0.04\t{end}\t-\n");
                }
                input += "REMINDER\tsweep\n";
            }
            input += "YOUR_TURN\n";
        }
        input
    };
    let by_instance = |outputs: &[String]| {
        let mut all: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for output in outputs {
            let mut instance = String::new();
            for line in output.lines() {
                match line.strip_prefix("INSTANCE\t") {
                    Some(number) => instance = number.to_owned(),
                    None if line.starts_with("READY") => instance.clear(),
                    None => all.entry(instance.clone()).or_default().push(line.to_owned()),
                }
            }
        }
        all
    };
    let process = |hosts_instance: &dyn Fn(u32) -> bool| {
        let result = run(batches(hosts_instance).as_bytes());
        assert!(result.success, "{}", result.errors);
        result.output
    };
    let one = by_instance(&[process(&|_| true)]);
    let three: Vec<String> = (0..3).map(|part| process(&move |instance| instance % 3 == part)).collect();
    assert_eq!(one.len(), 6);
    assert!(one.values().all(|actions| actions.len() > 100), "each instance has written actions");
    assert_eq!(one, by_instance(&three));
}

#[test]
fn malformed_input_stops_the_adapter_with_line_and_cause() {
    let start = first_batch();
    let lines = start.lines().count();
    let in_second_batch =
        |line: &str| (format!("{start}TURN\t101\t2\nTO\t4\n{line}\nYOUR_TURN\n").into_bytes(), lines + 3);
    let cases: Vec<((Vec<u8>, usize), &str)> = vec![
        ((b"YOUR_TURN\n".to_vec(), 1), "outside a batch"),
        ((b"TURN\t1\t1\n".to_vec(), 1), "the input ends within a batch"),
        ((b"TURN\tsoon\t1\n".to_vec(), 1), "clock is malformed: \"soon\""),
        ((b"TURN\t-1\t1\n".to_vec(), 1), "clock is malformed"),
        ((b"TURN\t1\t\xff\n".to_vec(), 1), "not UTF-8"),
        ((b"TURN\t1\n".to_vec(), 1), "batch is missing"),
        (
            (b"TURN\t2\t1\nYOUR_TURN\nTURN\t1\t2\n".to_vec(), 3),
            "the clock is earlier than in the previous batch",
        ),
        ((b"TURN\t1\t1\nREMINDER\tsweep\n".to_vec(), 2), "no TO line"),
        ((b"TURN\t1\t1\nTO\t3\nREMINDER\tsweep\n".to_vec(), 3), "instance 3 has not started"),
        ((b"TURN\t1\t1\nTO\t3\nSTART\t1\t{\n".to_vec(), 3), "setup:"),
        ((b"TURN\t1\t1\nTO\t3\nSTART\tx\t{}\n".to_vec(), 3), "nonce64 is malformed"),
        (in_second_batch("HELLO"), "unknown message \"HELLO\""),
        (in_second_batch("ASK\ta\tread"), "owner is missing"),
        (in_second_batch("ASK\ta\tfly\tacme\t-\t1\t-\t0"), "cls is malformed: \"fly\""),
        (in_second_batch("ASK\ta\tread\tnobody\t-\t1\t-\t0"), "owner is malformed"),
        (in_second_batch("ASK\ta\tread\tacme\t-\tNaN\t-\t0"), "ttlS is malformed"),
        (in_second_batch("ASK\ta\tread\tacme\t-\t1\t-\t0\t9"), "more values"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tFINE\t0.1\t1\t-"), "outcome is malformed"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tGOOD\t0.1\tyes\t-"), "terminal is malformed"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tGOOD\t0.1\t1\t1,2,3"), "stats is malformed"),
        (in_second_batch("PEERS_KNOWN\tpatch\t2\t9"), "list 9 has not been sent"),
        (in_second_batch("PEERS_KNOWN\tsome\t2\t0"), "scope is malformed"),
        (in_second_batch("NOTE_FROM\t1\txyz"), "content is malformed"),
        (in_second_batch("M\t1\tnorth\tstd\t1\tReady\t1\t-"), "list entry outside a list"),
        (in_second_batch("INVENTORY\t0\tmany"), "membersList is malformed"),
        ((in_second_batch("INVENTORY\t0\t2").0, lines + 4), "list 0 is missing 2 of its entries"),
    ];
    for ((input, line), cause) in cases {
        let result = run(&input);
        assert!(!result.success, "{cause}: the adapter did not fail");
        assert_eq!(result.errors.lines().count(), 1, "{}", result.errors);
        assert!(result.errors.contains(&format!("line {line}: ")), "{cause}: {}", result.errors);
        assert!(result.errors.contains(cause), "{cause}: {}", result.errors);
    }
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    for (from, to, cause) in [
        ("\"balancers\":3", "\"balancers\":0", "the number of copies is 0"),
        ("\"zone\":\"north\"", "\"zone\":\"west\"", "zone makes no sense: \"west\""),
        ("\"onTimeS\":1", "\"onTimeS\":9", "class 0"),
        ("\"onTimeS\":1", "\"onTimeS\":-1", "onTimeS makes no sense"),
        ("\"cell\"", "\"street\"", "dedupScope makes no sense"),
        ("\"coldShare\":0.2", "\"coldShare\":0", "cold share is out of range"),
    ] {
        let result = run(first_batch().replace(from, to).as_bytes());
        assert!(!result.success && result.errors.contains("line 3: setup: "), "{}", result.errors);
        assert!(result.errors.contains(cause), "{cause}: {}", result.errors);
    }
}

/// Corrupts the input at random positions with a fixed seed. The adapter must succeed or report an error with a line
/// number, but never panic.
#[test]
fn corrupted_input_never_panics() {
    let valid_input =
        format!("{}TURN\t101\t2\nTO\t4\n{REQUEST_LINE}REMINDER\tsweep\nYOUR_TURN\n", first_batch())
            .into_bytes();
    let mut state = 7_u64;
    let mut random_below = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below
    };
    for _ in 0..150 {
        let mut input = valid_input.clone();
        for _ in 0..=random_below(3) {
            let position = random_below(input.len());
            match random_below(4) {
                0 => input[position] = b"\t\n-09.eN\xff"[random_below(9)],
                1 => drop(input.remove(position)),
                2 => input.insert(position, b'9'),
                _ => input.truncate(position.max(1)),
            }
        }
        let result = run(&input);
        assert!(!result.errors.contains("panicked"), "{}", result.errors);
        assert!(result.success || result.errors.contains("line "), "{}", result.errors);
    }
}
