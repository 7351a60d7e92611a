//! Origin, relays, children and the command line over real sockets, without faults.

mod hosts_common;

use std::io::Write;
use std::process::{Command, Stdio};

use hosts_common::{
    Directory, Follower, Process, binary, document, get, publish, request_change, run_test, unique_address,
    wait_for_report,
};
use hyper::StatusCode;
use serde_json::json;

#[test]
fn a_publication_reaches_a_child_over_two_relays_and_is_reported_back() {
    run_test(async {
        let directory = Directory::new("path");
        let origin = Process::origin(&directory, unique_address());
        let region = Process::relay(1, &[origin.address], unique_address());
        let zone = Process::relay(2, &[region.address], unique_address());
        let scopes = ["fleet", "region/north", "service/api"];
        let mut child = Follower::start("api-1", &[zone.address], &scopes, 5);
        child.wait_for_state("the first snapshot", |state| state.index() == 0).await;
        assert_eq!(publish(origin.address, "fleet", &document(1), "a").await, 1);
        assert_eq!(publish(origin.address, "service/api", &document(2), "b").await, 2);
        assert_eq!(publish(origin.address, "service/other", &document(3), "c").await, 3);
        child.wait_for_index(2).await;
        assert_eq!(child.body("fleet"), Some(document(1)));
        assert_eq!(child.body("service/api"), Some(document(2)));
        let (status, answer) =
            request_change(origin.address, "service/api", None, "d", Some(2)).await.unwrap();
        assert_eq!((status, answer), (StatusCode::OK, json!({ "index": 4 })));
        child.wait_for_index(4).await;
        assert_eq!(child.body("service/api"), None);
        wait_for_report(origin.address, "the child in the summed report", |status| {
            status["children"] == 1 && status["holders"]["fleet"]["versions"] == json!({ "1": 1 })
        })
        .await;
        // The relay serves the same snapshot as the origin.
        let whole = get(origin.address, "/configuration").await.unwrap();
        assert_eq!(whole.1["index"], 4);
        assert_eq!(whole.1["documents"].as_array().map(Vec::len), Some(2));
        assert_eq!(get(zone.address, "/configuration").await.unwrap(), whole);
    });
}

#[test]
fn commands_publish_withdraw_and_return_their_exit_status() {
    run_test(async {
        let directory = Directory::new("commands");
        let origin = Process::origin(&directory, unique_address());
        let to = origin.address.to_string();
        let run = |arguments: Vec<&str>, input: &str| {
            let mut child = binary()
                .args(arguments)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap();
            child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
            let output = child.wait_with_output().unwrap();
            let text = |bytes| String::from_utf8(bytes).unwrap();
            (output.status.code(), text(output.stdout), text(output.stderr))
        };
        let publish = ["publish", "--to", &to, "service/api", "-", "--request", "one"];
        assert_eq!(run(publish.to_vec(), &document(1)), (Some(0), "1\n".to_owned(), String::new()));
        // Repeating the request has no further effect and returns the same index.
        assert_eq!(run(publish.to_vec(), &document(1)).1, "1\n");
        let invalid = run(vec!["publish", "--to", &to, "fleet", "-"], r#"{"settings":{"zone":1},"more":2}"#);
        assert_eq!(invalid.0, Some(1));
        assert!(
            invalid.2.contains("settings.zone") && invalid.2.contains("more"),
            "faults not named: {}",
            invalid.2
        );
        let outdated = run(vec!["withdraw", "--to", &to, "service/api", "--if-version", "7"], "");
        assert_eq!(outdated.0, Some(1));
        assert!(outdated.2.contains("version 1 stands"), "unexpected error: {}", outdated.2);
        assert_eq!(run(vec!["withdraw", "--to", &to, "service/api"], "").1, "2\n");
        let got = run(vec!["get", "--to", &to, "service/api"], "");
        assert_eq!(got.1, "{\"index\":2,\"snapshot\":true,\"after\":0,\"documents\":[]}\n");
        assert_eq!(run(vec!["status", "--to", &to], "").0, Some(0));
        assert_eq!(run(vec!["publish", "--to", &to, "services/api", "-"], "").0, Some(2));
        let unused_address = unique_address().to_string();
        assert_eq!(run(vec!["status", "--to", &unused_address], "").0, Some(3));
        let version = Command::new(env!("CARGO_BIN_EXE_config-distribution")).arg("--help").output();
        assert!(String::from_utf8(version.unwrap().stdout).unwrap().contains("EXIT STATUS"));
    });
}
