//! Parsing of settings and targets: all findings are reported together, each with its place.

use jayreach::{
    settings::Settings,
    targets::{ConfigIndex, differences, join_parts, parse_targets, split_targets, write_targets},
};
use rstest::rstest;

fn good_targets() -> String {
    let class = "[class.charge]\nlateness = \"2s\"\nimportance = 90\nidempotent = false\n";
    let service = "[service.billing]\nfloor_percent = 60\nweighs = \"detection-time\"\n";
    let route = "[[route]]\nprefix = \"/billing\"\nservice = \"billing\"\nclass = \"charge\"\n";
    let account = format!("[[account]]\nname = \"desk\"\ntoken_sha256 = \"{}\"\n", "ab".repeat(32));
    [class, service, route, &account].concat()
}

fn findings(text: &str) -> Vec<(usize, usize, String)> {
    let findings = parse_targets("t.toml", text).expect_err("the text has findings");
    let list = findings.as_slice().iter();
    list.map(|it| (it.place.line, it.place.column, it.message.to_string())).collect()
}

#[test]
fn all_findings_are_reported_with_their_places() {
    let text = "[class.charge]\nlateness = \"2 weeks\"\nimportance = 900\nidempotent = false\n\
                [[route]]\nprefix = \"billing\"\nservice = \"none\"\nclass = \"charge\"\n";

    let found = findings(text);

    let places: Vec<_> = found.iter().map(|it| (it.0, it.1)).collect();
    assert_eq!(places, [(2, 12), (3, 14), (6, 10), (7, 11), (8, 9)], "{found:?}");
}

#[rstest]
#[case("weight", "3", "the system chooses the weights")]
#[case("address", "\"10.0.0.1:80\"", "endpoints announce themselves")]
#[case("colour", "\"red\"", "unknown key")]
fn forbidden_and_unknown_keys_are_rejected_with_a_reason(#[case] key: &str, #[case] value: &str, #[case] reason: &str) {
    let text = good_targets().replace("floor_percent", &format!("{key} = {value}\nfloor_percent"));

    let found = findings(&text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].2.contains(reason), "{found:?}");
}

#[test]
fn syntax_errors_are_reported_as_findings() {
    let found = findings("[class.charge\nlateness = \n");

    assert!(found.iter().any(|it| it.0 == 1), "{found:?}");
}

#[test]
fn targets_round_trip_through_toml_and_parts() {
    let targets = parse_targets("t.toml", &good_targets()).expect("good targets").targets;

    let read_back = parse_targets("shown", &write_targets(&targets, 7)).expect("written targets can be parsed");
    let parts: Vec<_> = split_targets(&targets).into_iter().map(|it| it.bytes).collect();
    let joined = join_parts("parts", &parts).expect("parts made by split_targets");

    assert_eq!(read_back.based_on, Some(7));
    assert_eq!(read_back.targets, targets);
    assert_eq!(joined, targets);
}

#[rstest]
#[case("/billing", Some("/billing"))]
#[case("/billing/", Some("/billing"))]
#[case("/billing/charges/7", Some("/billing/charges"))]
#[case("/billing/chargesheet", Some("/billing"))]
#[case("/billings", None)]
#[case("/", None)]
fn a_path_matches_the_longest_prefix_of_whole_segments(#[case] path: &str, #[case] wanted: Option<&str>) {
    let charges =
        "[[route]]\nprefix = \"/billing/charges\"\nservice = \"billing\"\nclass = \"charge\"\npublic = true\n";
    let targets = parse_targets("t.toml", &(good_targets() + charges)).expect("good targets").targets;
    let parts: Vec<_> = split_targets(&targets).into_iter().map(|it| it.bytes).collect();

    let index = ConfigIndex::build("parts", &parts).expect("parts made by split_targets");

    // Only the longer prefix is public.
    let found = index.route(path).map(|it| if it.public { "/billing/charges" } else { "/billing" });
    assert_eq!(found, wanted);
}

#[test]
fn a_difference_names_the_changed_item() {
    let old = parse_targets("t.toml", &good_targets()).expect("good targets").targets;
    let new = parse_targets("t.toml", &good_targets().replace("2s", "3s")).expect("good targets").targets;

    let list = differences(&old, &new);

    assert_eq!(list.len(), 1);
    assert!(list[0].to_string().starts_with("~ class charge: "), "{}", list[0]);
}

#[test]
fn all_findings_of_settings_are_reported() {
    let text = "name = \"vm 1\"\ndata_centre = \"dc-1\"\ncallers = \"here\"\npeer_key = \"short\"\nspeed = 9\n";

    let findings = Settings::parse("s.toml", text).expect_err("the settings have findings");

    let lines: Vec<_> = findings.as_slice().iter().map(|it| it.place.line).collect();
    let missing = lines.iter().filter(|it| **it == 1).count();
    assert_eq!(missing, 4, "the invalid name and three missing keys: {findings}");
    assert!([3, 4, 5].iter().all(|it| lines.contains(it)), "{findings}");
}
