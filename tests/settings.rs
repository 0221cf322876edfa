//! Settings and targets files: all findings are reported at once with their places, and valid targets are kept in full.

use jayreach::{
    settings::Settings,
    targets::{Directory, differences, join, parse_targets, split, write_targets},
};
use rstest::rstest;

fn valid_targets() -> String {
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
fn all_findings_are_reported_at_once_with_their_places() {
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
fn keys_that_operators_may_not_set_are_refused_with_a_reason(
    #[case] key: &str,
    #[case] value: &str,
    #[case] reason: &str,
) {
    let text = valid_targets().replace("floor_percent", &format!("{key} = {value}\nfloor_percent"));

    let found = findings(&text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].2.contains(reason), "{found:?}");
}

#[test]
fn syntax_errors_are_findings() {
    let found = findings("[class.charge\nlateness = \n");

    assert!(found.iter().any(|it| it.0 == 1), "{found:?}");
}

#[test]
fn written_and_split_targets_are_read_back_in_full() {
    let targets = parse_targets("t.toml", &valid_targets()).expect("valid targets").targets;

    let read_back = parse_targets("shown", &write_targets(&targets, 7)).expect("written targets can be parsed");
    let parts: Vec<_> = split(&targets).into_iter().map(|it| it.bytes).collect();
    let joined = join("parts", &parts).expect("the parts are valid");

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
fn a_route_is_the_longest_prefix_of_whole_segments(#[case] path: &str, #[case] expected: Option<&str>) {
    let charges =
        "[[route]]\nprefix = \"/billing/charges\"\nservice = \"billing\"\nclass = \"charge\"\npublic = true\n";
    let targets = parse_targets("t.toml", &(valid_targets() + charges)).expect("valid targets").targets;
    let parts: Vec<_> = split(&targets).into_iter().map(|it| it.bytes).collect();

    let directory = Directory::build("parts", &parts).expect("the parts are valid");

    // Only the longer prefix is public.
    let found = directory.route(path).map(|it| if it.public { "/billing/charges" } else { "/billing" });
    assert_eq!(found, expected);
}

#[test]
fn a_difference_names_what_changed() {
    let old = parse_targets("t.toml", &valid_targets()).expect("valid targets").targets;
    let new = parse_targets("t.toml", &valid_targets().replace("2s", "3s")).expect("valid targets").targets;

    let changes = differences(&old, &new);

    assert_eq!(changes.len(), 1);
    assert!(changes[0].to_string().starts_with("~ class charge: "), "{}", changes[0]);
}

#[test]
fn settings_report_every_finding() {
    let text = "name = \"vm 1\"\ndata_centre = \"dc-1\"\ncallers = \"here\"\npeer_key = \"short\"\nspeed = 9\n";

    let findings = Settings::parse("s.toml", text).expect_err("the settings have findings");

    let lines: Vec<_> = findings.as_slice().iter().map(|it| it.place.line).collect();
    let missing = lines.iter().filter(|it| **it == 1).count();
    assert_eq!(missing, 4, "the bad name and three missing keys: {findings}");
    assert!([3, 4, 5].iter().all(|it| lines.contains(it)), "{findings}");
}
