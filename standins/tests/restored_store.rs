//! The store is restored from a backup: newer objects of the proxies are gone and revisions are reused. A watch that
//! continued from an old revision would miss every change up to it.

use std::{thread, time::Duration};

use serde_json::json;
use standins::platform::{
    fixtures::{self, two_routes},
    site::{Site, eventually},
};

/// Time after the restore within which all proxies have activated the change.
const ACTIVATED_WITHIN: Duration = Duration::from_secs(2);
/// Time after a change within which the proxies watch again.
const WATCHED_WITHIN: Duration = Duration::from_millis(700);
/// Changes of other objects after the restore; more than the changes since the backup.
const CHANGES_AFTER_RESTORE: u32 = 40;

fn object_count(site: &Site, kind: &str) -> usize {
    site.store.object_names(kind).len()
}

#[test]
fn a_change_under_a_reused_revision_is_activated_in_time() {
    let site = fixtures::start_site();
    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["watching"] == true)));
    site.store.back_up();
    (0..5).for_each(|it| site.store.put_object("another-s", "y", json!(it)));
    site.store.put_config(two_routes(2));
    let all_have_version = |version: u32| site.proxies.iter().all(|it| it.status()["row"]["version"] == version);
    assert!(eventually(|| all_have_version(2)));
    thread::sleep(WATCHED_WITHIN);

    site.store.restore(Some(two_routes(3)), CHANGES_AFTER_RESTORE);
    thread::sleep(ACTIVATED_WITHIN);

    assert!(
        all_have_version(3),
        "{:?}",
        site.proxies.iter().map(|it| it.status()["row"]["version"].take()).collect::<Vec<_>>()
    );
}

#[test]
fn proxies_rewrite_their_objects_after_a_restore() {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    site.store.back_up();
    for data_centre in ["dc-1", "dc-2", "dc-1"] {
        site.add_vm("desk", data_centre, 2, fixtures::WORK_TIME).expect("the proxy starts");
    }
    assert!(site.wait_until_ready(3));
    assert!(eventually(|| object_count(&site, "jayreach-proxies") == 3));
    site.proxies.iter().for_each(|it| {
        it.endpoint.crash_on("/read/crash", Duration::from_millis(20), Duration::from_millis(300));
    });
    _ = fixtures::send_to_ledger_proxy(&site, "GET /read/crash", "crash");
    assert!(eventually(|| object_count(&site, "jayreach-quarantine") == 1));

    site.store.restore(None, CHANGES_AFTER_RESTORE);

    assert!(
        eventually(|| object_count(&site, "jayreach-proxies") == 3),
        "the presence objects are not in the store again"
    );
    assert!(
        eventually(|| object_count(&site, "jayreach-quarantine") == 1),
        "the quarantine object is not in the store again"
    );
}
