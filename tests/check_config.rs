//! `jayreach check --config`: reports invalid parts of an operator's configuration with their file and line.

use std::{fs, process::Command};

use rstest::rstest;

const CONFIG: &str = r#"{"version":"0000001c","limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_s":1,"idle_timeout_s":1},
"routes":{
"read":{"host":"a","path_prefix":"/r/","kind":"idempotent","timeout_s":2,"target_latency_s":1,"priority":1,"service":"s","max_attempts":2},
"write":{"host":"a","path_prefix":"/w/","kind":"non_idempotent","timeout_s":2,"target_latency_s":1,"priority":0,"service":"s","max_attempts":1}}}"#;

/// Runs the check on a file with `text`; returns the exit code and the output.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("jayreach-check-{}-{name}.json", std::process::id()));
    fs::write(&file, text).expect("a file");
    let out = Command::new(env!("CARGO_BIN_EXE_jayreach")).args(["check", "--config"]).arg(&file).output();
    fs::remove_file(&file).expect("it is there");
    let out = out.expect("the program runs");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

#[test]
fn valid_configuration_has_no_findings() {
    let (code, output) = check("good", CONFIG);

    assert_eq!(code, Some(0));
    assert!(output.contains("version 28, 2 routes"), "{output}");
}

#[rstest]
#[case::unknown_kind("\"non_idempotent\"", "\"twice\"", ":4:1: routes.write.kind: `twice` is unknown")]
#[case::no_service(
    "\"service\":\"s\",\"max_attempts\":2",
    "\"max_attempts\":2",
    ":3:1: routes.read: its callers are refused"
)]
#[case::broken("\"routes\":{", "\"routes\":[", ": no configuration: ")]
fn findings_are_reported_with_their_place(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let (code, output) = check(&expected.replace(|it: char| !it.is_alphanumeric(), ""), &CONFIG.replacen(from, to, 1));

    assert_eq!(code, Some(2));
    assert!(output.contains(expected), "{output}");
}
